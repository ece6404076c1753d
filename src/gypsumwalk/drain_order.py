"""Order in which a wave drains its pending instances, by pool."""

from collections import deque
from collections.abc import Iterator

from gypsumwalk.pools import PoolSection
from gypsumwalk.wave_records import ItemState, WaveRecord

__all__ = ["DrainOrder"]


class DrainOrder:
    """Queues of the pending instances of one run of a wave, by pool.

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
        """Return the next instances to drain of each pool with budget left.

        Parameters
        ----------
        wave : WaveRecord
            Current record of the run.

        Returns
        -------
        list of str
            Names of the instances in drain order.
        """
        candidates: list[str] = []
        for pool, queue in self._queues.items():
            unavailable_count = self._pools.count_unavailable(pool)
            headroom = self._pools.find_budget(pool) - unavailable_count
            if headroom > 0 and queue:
                candidates += self._iterate_available(wave, pool, queue, headroom)
        return sorted(candidates, key=self._ranks.__getitem__)

    def _iterate_available(
        self, wave: WaveRecord, pool: str, queue: deque[str], headroom: int
    ) -> Iterator[str]:
        while queue and not self._is_pending(wave, queue[0], pool):
            queue.popleft()
        count = 0
        for name in queue:
            record = self._pools.find(name)
            if record is None or not record.is_available:
                continue
            if not self._is_pending(wave, name, pool):
                continue
            yield name
            count += 1
            if count == headroom:
                return

    def _is_pending(self, wave: WaveRecord, name: str, pool: str) -> bool:
        item = wave.items.get(name)
        record = self._pools.find(name)
        pending = item is not None and item.state is ItemState.PENDING
        return pending and record is not None and record.pool == pool
