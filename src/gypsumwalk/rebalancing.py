"""Rebalancing policy: required size of each pool, and moves between pools."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from math import ceil
from typing import NamedTuple, Protocol

__all__ = ["RebalancingPolicy", "MovePolicy", "PlannedMove", "PoolLoad"]

DEMAND_WINDOW_SECONDS = 600.0
"""Length of the demand history that a forecast uses."""
SAMPLE_PERIOD_SECONDS = 5.0
"""Interval between two demand samples of a pool."""
DEMAND_QUANTILE = 0.9
"""Quantile of the sampled demand, from 0 to 1, that a pool is sized for."""
REPAIR_SECONDS = 900.0
"""Assumed time to repair a failed instance."""
SHORTAGE_SECONDS = 2.0
"""Time that a shortage lasts before instances move to the pool."""
SURPLUS_SECONDS = 300.0
"""Time that a surplus lasts before instances leave the pool."""
MOVE_COOLDOWN_SECONDS = 120.0
"""Minimum time between two moves out of a pool that is not spare."""
MAX_MOVES_INTO_POOL = 4
"""Maximum number of instances moving to one pool at once."""


class PoolLoad(NamedTuple):
    """Load of one pool.

    Attributes
    ----------
    name : str
        Name of the pool.
    spare : bool
        Whether it is the spare pool, from which other pools take instances first.
    members : int
        Number of its instances.
    available : int
        Number of available instances.
    incoming : int
        Number of instances that are moving to it or joining it.
    declared : int
        Number of instances that the folder declares for it.
    movable : int
        Number of instances that may leave within its budget and minimum size.
    demand : float
        Resources that its jobs use or wait for, in instances.
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
    """One move requested by a policy."""

    source: str
    destination: str
    reason: str


class MovePolicy(Protocol):
    """Policy that decides on moves between pools."""

    def record_loss(self, pool: str, now: float) -> None:
        """Record the unplanned loss of an instance of a pool."""
        ...

    def choose_moves(self, loads: Sequence[PoolLoad], now: float) -> list[PlannedMove]:
        """Return the moves to make now."""
        ...


@dataclass(slots=True)
class _PoolHistory:
    since: float
    samples: deque[tuple[float, float]] = field(default_factory=deque)
    losses: deque[float] = field(default_factory=deque)
    short_since: float | None = None
    surplus_since: float | None = None
    moved_at: float = float("-inf")


class RebalancingPolicy:
    """Moves instances to pools with a lasting shortage, and surplus ones to the spare.

    The required size of a pool is the larger of its current demand and the
    ``DEMAND_QUANTILE`` of its demand in the last ``DEMAND_WINDOW_SECONDS``, plus a
    reserve for the instances expected to fail within ``REPAIR_SECONDS``.
    """

    def __init__(self) -> None:
        self._pools: dict[str, _PoolHistory] = {}

    def record_loss(self, pool: str, now: float) -> None:
        """Record the unplanned loss of an instance of a pool.

        Parameters
        ----------
        pool : str
            Pool of the instance.
        now : float
            Time in seconds.
        """
        self._find_history(pool, now).losses.append(now)

    def choose_moves(self, loads: Sequence[PoolLoad], now: float) -> list[PlannedMove]:
        """Return the moves to make now.

        Parameters
        ----------
        loads : Sequence of PoolLoad
            Loads of all pools.
        now : float
            Time in seconds.

        Returns
        -------
        list of PlannedMove
            Moves to pools with a shortage, worst first, then moves to the spare pool.
        """
        needs = {load.name: self._record_sample(load, now) for load in loads}
        movable = {load.name: load.movable for load in loads}
        short_pools = [load for load in loads if self._is_short(load, needs, now)]
        short_pools.sort(key=lambda load: load.available - load.demand)
        moves: list[PlannedMove] = []
        for load in short_pools:
            moves += self._cover_shortage(load, loads, needs, movable, now)
        return moves + self._return_surplus(loads, movable, now)

    def compute_required_size(self, load: PoolLoad, now: float) -> int:
        """Return the required size of a pool.

        Parameters
        ----------
        load : PoolLoad
            Load of the pool.
        now : float
            Time in seconds.

        Returns
        -------
        int
            Number of instances: forecast demand plus failure reserve.
        """
        history = self._find_history(load.name, now)
        values = sorted(value for _, value in history.samples)
        forecast = values[int(DEMAND_QUANTILE * (len(values) - 1))] if values else 0.0
        return ceil(max(forecast, load.demand)) + self._compute_failure_reserve(
            history, now
        )

    def _compute_failure_reserve(self, history: _PoolHistory, now: float) -> int:
        observed = max(now - history.since, REPAIR_SECONDS)
        return ceil(len(history.losses) * REPAIR_SECONDS / observed)

    def _record_sample(self, load: PoolLoad, now: float) -> int:
        history = self._find_history(load.name, now)
        samples = history.samples
        if not samples or now - samples[-1][0] >= SAMPLE_PERIOD_SECONDS:
            samples.append((now, load.demand))
        while samples and now - samples[0][0] > DEMAND_WINDOW_SECONDS:
            samples.popleft()
        while history.losses and now - history.losses[0] > 10 * REPAIR_SECONDS:
            history.losses.popleft()
        required = self.compute_required_size(load, now)
        capacity = load.available + load.incoming
        history.short_since = _update_since(
            history.short_since, load.demand > capacity and not load.spare, now
        )
        history.surplus_since = _update_since(
            history.surplus_since, load.available > required and not load.spare, now
        )
        return required

    def _is_short(self, load: PoolLoad, needs: dict[str, int], now: float) -> bool:
        since = self._find_history(load.name, now).short_since
        return since is not None and now - since >= SHORTAGE_SECONDS

    def _cover_shortage(
        self,
        load: PoolLoad,
        loads: Sequence[PoolLoad],
        needs: dict[str, int],
        movable: dict[str, int],
        now: float,
    ) -> list[PlannedMove]:
        capacity = load.available + load.incoming
        missing = ceil(load.demand) - capacity
        share = _compute_spare_share(loads) - (capacity - load.declared)
        max_moves = min(missing, share, MAX_MOVES_INTO_POOL - load.incoming)
        moves: list[PlannedMove] = []
        sources = sorted(
            (other for other in loads if other.name != load.name),
            key=lambda other: (not other.spare, needs[other.name] - other.available),
        )
        for source in sources:
            while max_moves > 0 and self._can_release(source, needs, movable, now):
                max_moves -= 1
                movable[source.name] -= 1
                self._find_history(source.name, now).moved_at = now
                reason = f"pool {load.name} lacks {missing} instances"
                moves.append(PlannedMove(source.name, load.name, reason))
        return moves

    def _can_release(
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
        history = self._find_history(source.name, now)
        is_surplus_sustained = history.surplus_since is not None and (
            now - history.surplus_since >= SURPLUS_SECONDS
        )
        return is_surplus_sustained and now - history.moved_at >= MOVE_COOLDOWN_SECONDS

    def _return_surplus(
        self, loads: Sequence[PoolLoad], movable: dict[str, int], now: float
    ) -> list[PlannedMove]:
        spare = next((load.name for load in loads if load.spare), "")
        if not spare:
            return []
        moves = []
        for load in loads:
            if load.spare or not self._can_release(load, {}, movable, now):
                continue
            movable[load.name] -= 1
            self._find_history(load.name, now).moved_at = now
            reason = f"pool {load.name} had a surplus for {SURPLUS_SECONDS:.0f} s"
            moves.append(PlannedMove(load.name, spare, reason))
        return moves

    def _find_history(self, pool: str, now: float) -> _PoolHistory:
        return self._pools.setdefault(pool, _PoolHistory(now))


def _compute_spare_share(loads: Sequence[PoolLoad]) -> int:
    """Return the maximum share of the spare instances that one pool may take."""
    spare = sum(load.declared for load in loads if load.spare)
    others = sum(not load.spare for load in loads)
    return max(1, ceil(spare / others)) if others else 0


def _update_since(since: float | None, holds: bool, now: float) -> float | None:
    if not holds:
        return None
    return now if since is None else since
