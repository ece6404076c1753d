"""Buffers of pools: how many instances each needs, and which moves are worth it."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from math import ceil
from typing import NamedTuple, Protocol

__all__ = ["BufferPolicy", "MovePolicy", "PlannedMove", "PoolLoad"]

WINDOW_SECONDS = 600.0
"""Seconds of demand that a forecast looks back on."""
SAMPLE_SECONDS = 5.0
DEMAND_QUANTILE = 0.9
REPAIR_SECONDS = 900.0
"""Seconds for which a failed instance is missed."""
SHORTAGE_SECONDS = 2.0
"""Seconds for which a pool is short before an instance moves to it."""
SURPLUS_SECONDS = 300.0
"""Seconds for which a pool has more than it needs before an instance leaves it."""
REST_SECONDS = 120.0
"""Seconds between two moves out of the same pool other than the spare."""
MAX_MOVES_INTO_POOL = 4
"""Instances on their way to one pool at once."""


class PoolLoad(NamedTuple):
    """How one pool stands.

    Attributes
    ----------
    name : str
        The pool.
    spare : bool
        Whether other pools take instances from it first.
    members : int
        Instances that belong to it.
    available : int
        Instances that carry work.
    incoming : int
        Instances on their way to it.
    declared : int
        Instances that the folder gives it.
    movable : int
        Instances that its budget and smallest size let go now.
    demand : float
        What its jobs use and wait for, in instances.
    """

    name: str
    spare: bool
    members: int
    available: int
    incoming: int
    declared: int
    movable: int
    demand: float


class PlannedMove(NamedTuple):
    """One move that a policy asks for."""

    source: str
    destination: str
    reason: str


class MovePolicy(Protocol):
    """Way to decide on moves."""

    def note_loss(self, pool: str, now: float) -> None:
        """Take in the unplanned loss of an instance."""
        ...

    def choose(self, loads: Sequence[PoolLoad], now: float) -> list[PlannedMove]:
        """Return the moves that are worth it now."""
        ...


@dataclass(slots=True)
class _History:
    since: float
    samples: deque[tuple[float, float]] = field(default_factory=deque)
    losses: deque[float] = field(default_factory=deque)
    short_since: float | None = None
    surplus_since: float | None = None
    moved_at: float = float("-inf")


class BufferPolicy:
    """Moves instances where a shortage lasts, and back where a surplus does.

    A pool needs what its demand reached in nine of ten samples of the last minutes, or
    what it demands now if that is more, and as many instances as fail within the time
    of a repair.
    """

    def __init__(self) -> None:
        self._pools: dict[str, _History] = {}

    def note_loss(self, pool: str, now: float) -> None:
        """Take in the unplanned loss of an instance.

        Parameters
        ----------
        pool : str
            Its pool.
        now : float
            Time in seconds.
        """
        self._find(pool, now).losses.append(now)

    def choose(self, loads: Sequence[PoolLoad], now: float) -> list[PlannedMove]:
        """Return the moves that are worth it now.

        Parameters
        ----------
        loads : Sequence of PoolLoad
            Every pool.
        now : float
            Time in seconds.

        Returns
        -------
        list of PlannedMove
            The moves, the worst shortage first.
        """
        needs = {load.name: self._note(load, now) for load in loads}
        movable = {load.name: load.movable for load in loads}
        short = [load for load in loads if self._is_short(load, needs, now)]
        short.sort(key=lambda load: load.available - load.demand)
        moves: list[PlannedMove] = []
        for load in short:
            moves += self._fill(load, loads, needs, movable, now)
        return moves + self._return_surplus(loads, movable, now)

    def find_need(self, load: PoolLoad, now: float) -> int:
        """Return how many instances a pool needs.

        Parameters
        ----------
        load : PoolLoad
            The pool.
        now : float
            Time in seconds.

        Returns
        -------
        int
            Its forecast demand and its buffer.
        """
        history = self._find(load.name, now)
        values = sorted(value for _, value in history.samples)
        usual = values[int(DEMAND_QUANTILE * (len(values) - 1))] if values else 0.0
        return ceil(max(usual, load.demand)) + self._allow_failures(history, now)

    def _allow_failures(self, history: _History, now: float) -> int:
        observed = max(now - history.since, REPAIR_SECONDS)
        return ceil(len(history.losses) * REPAIR_SECONDS / observed)

    def _note(self, load: PoolLoad, now: float) -> int:
        history = self._find(load.name, now)
        samples = history.samples
        if not samples or now - samples[-1][0] >= SAMPLE_SECONDS:
            samples.append((now, load.demand))
        while samples and now - samples[0][0] > WINDOW_SECONDS:
            samples.popleft()
        while history.losses and now - history.losses[0] > 10 * REPAIR_SECONDS:
            history.losses.popleft()
        need = self.find_need(load, now)
        here = load.available + load.incoming
        history.short_since = _keep_since(
            history.short_since, load.demand > here and not load.spare, now
        )
        history.surplus_since = _keep_since(
            history.surplus_since, load.available > need and not load.spare, now
        )
        return need

    def _is_short(self, load: PoolLoad, needs: dict[str, int], now: float) -> bool:
        since = self._find(load.name, now).short_since
        return since is not None and now - since >= SHORTAGE_SECONDS

    def _fill(
        self,
        load: PoolLoad,
        loads: Sequence[PoolLoad],
        needs: dict[str, int],
        movable: dict[str, int],
        now: float,
    ) -> list[PlannedMove]:
        here = load.available + load.incoming
        missing = ceil(load.demand) - here
        part = _find_part(loads) - (here - load.declared)
        room = min(missing, part, MAX_MOVES_INTO_POOL - load.incoming)
        moves: list[PlannedMove] = []
        sources = sorted(
            (other for other in loads if other.name != load.name),
            key=lambda other: (not other.spare, needs[other.name] - other.available),
        )
        for source in sources:
            while room > 0 and self._can_give(source, needs, movable, now):
                room -= 1
                movable[source.name] -= 1
                self._find(source.name, now).moved_at = now
                reason = f"pool {load.name} lacks {missing} instances"
                moves.append(PlannedMove(source.name, load.name, reason))
        return moves

    def _can_give(
        self,
        source: PoolLoad,
        needs: dict[str, int],
        movable: dict[str, int],
        now: float,
    ) -> bool:
        if movable[source.name] <= 0:
            return False
        if source.spare:
            return True
        history = self._find(source.name, now)
        lasting = history.surplus_since is not None and (
            now - history.surplus_since >= SURPLUS_SECONDS
        )
        return lasting and now - history.moved_at >= REST_SECONDS

    def _return_surplus(
        self, loads: Sequence[PoolLoad], movable: dict[str, int], now: float
    ) -> list[PlannedMove]:
        spare = next((load.name for load in loads if load.spare), "")
        if not spare:
            return []
        moves = []
        for load in loads:
            if load.spare or not self._can_give(load, {}, movable, now):
                continue
            movable[load.name] -= 1
            self._find(load.name, now).moved_at = now
            reason = f"pool {load.name} had more than it needs for long"
            moves.append(PlannedMove(load.name, spare, reason))
        return moves

    def _find(self, pool: str, now: float) -> _History:
        return self._pools.setdefault(pool, _History(now))


def _find_part(loads: Sequence[PoolLoad]) -> int:
    """Return how many instances each pool may have of what the spare was declared."""
    spare = sum(load.declared for load in loads if load.spare)
    others = sum(not load.spare for load in loads)
    return max(1, ceil(spare / others)) if others else 0


def _keep_since(since: float | None, holds: bool, now: float) -> float | None:
    if not holds:
        return None
    return now if since is None else since
