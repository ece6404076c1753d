"""Order in which a wave takes its pending instances away, pool by pool."""

from collections import deque
from collections.abc import Iterator

from gypsumwalk.pools import PoolSection
from gypsumwalk.wave_records import ItemState, WaveRecord

__all__ = ["PendingOrder"]


class PendingOrder:
    """Pending instances of one run of a wave, by pool.

    Parameters
    ----------
    wave : WaveRecord
        The wave.
    pools : PoolSection
        Instances and their pools.
    """

    def __init__(self, wave: WaveRecord, pools: PoolSection) -> None:
        self._pools = pools
        self._ranks: dict[str, int] = {}
        self._queues: dict[str, deque[str]] = {}
        for rank, name in enumerate(wave.list_items(ItemState.PENDING)):
            record = pools.find(name)
            if record is not None:
                self._ranks[name] = rank
                self._queues.setdefault(record.pool, deque()).append(name)

    def list_candidates(self, wave: WaveRecord) -> list[str]:
        """Return the next instances of each pool whose budget has room, in order.

        Parameters
        ----------
        wave : WaveRecord
            The wave, as it stands now.

        Returns
        -------
        list of str
            Names of the instances.
        """
        candidates: list[str] = []
        for pool, queue in self._queues.items():
            room = self._pools.budget(pool) - self._pools.count_unavailable(pool)
            if room > 0 and queue:
                candidates += self._take(wave, pool, queue, room)
        return sorted(candidates, key=self._ranks.__getitem__)

    def _take(
        self, wave: WaveRecord, pool: str, queue: deque[str], room: int
    ) -> Iterator[str]:
        while queue and not self._is_pending(wave, queue[0], pool):
            queue.popleft()
        taken = 0
        for name in queue:
            record = self._pools.find(name)
            if record is None or not record.available:
                continue
            if not self._is_pending(wave, name, pool):
                continue
            yield name
            taken += 1
            if taken == room:
                return

    def _is_pending(self, wave: WaveRecord, name: str, pool: str) -> bool:
        item = wave.items.get(name)
        record = self._pools.find(name)
        pending = item is not None and item.state is ItemState.PENDING
        return pending and record is not None and record.pool == pool
