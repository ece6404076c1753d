"""Roll-out times of waves: the lower bound that budgets allow, and estimates."""

from math import ceil

from gypsumwalk.folder import WaveTable
from gypsumwalk.operator_calls import WaveStatus
from gypsumwalk.pools import PoolSection
from gypsumwalk.wave_records import ItemState, WaveRecord

__all__ = ["bound_rollout", "estimate_wave"]

TYPICAL_REBOOT_SECONDS = 60.0
"""Reboot and drain time in seconds that is assumed before any was seen."""


def bound_rollout(
    counts: dict[str, int],
    budgets: dict[str, int],
    concurrency: int,
    away_seconds: float,
) -> float:
    """Return the seconds that no plan within the budgets can stay under.

    Parameters
    ----------
    counts : dict of str to int
        Instances to take away, by pool.
    budgets : dict of str to int
        Instances that may be away at once, by pool.
    concurrency : int
        Instances that may be away at once over all pools.
    away_seconds : float
        Seconds for which each instance is away.

    Returns
    -------
    float
        The bound; infinite if some pool's budget allows none.
    """
    rounds = ceil(sum(counts.values()) / concurrency) if concurrency else 0
    for pool, count in counts.items():
        if count and budgets.get(pool, 0) < 1:
            return float("inf")
        if count:
            rounds = max(rounds, ceil(count / budgets[pool]))
    return rounds * away_seconds


def estimate_wave(
    name: str,
    wave: WaveRecord | None,
    table: WaveTable | None,
    pools: PoolSection,
    now: float,
) -> WaveStatus:
    """Return how a wave stands and how long it will take from now on.

    Parameters
    ----------
    name : str
        The wave.
    wave : WaveRecord or None
        Its latest run, if any.
    table : WaveTable or None
        Its declaration, if it still has one.
    pools : PoolSection
        Instances and their pools.
    now : float
        Time in seconds.

    Returns
    -------
    WaveStatus
        The status.
    """
    table = table or WaveTable(pools=[])
    names = list(wave.items) if wave else _list_members(table, pools)
    finished = (ItemState.DONE, ItemState.SKIPPED)
    left = [
        item for item in names if not wave or wave.items[item].state not in finished
    ]
    away = list(wave.away) if wave else []
    seconds = TYPICAL_REBOOT_SECONDS + table.dwell_seconds
    if wave and wave.done:
        seconds = wave.away_seconds / wave.done
    budgets = {pool: pools.budget(pool) for pool in table.pools}
    end = (wave.ended_at or now) if wave else 0.0
    room = _leave_room(budgets, away, pools)
    estimate = _bound(left, room, table.concurrency, seconds, pools)
    running = wave is None or wave.active
    return WaveStatus(
        name=name,
        run=wave.run if wave else 0,
        state=wave.state.value if wave else "not started",
        instances=len(names),
        done=wave.done if wave else 0,
        skipped=wave.skipped if wave else 0,
        away=away,
        elapsed_seconds=end - wave.started_at if wave else 0.0,
        lower_bound_seconds=_bound(names, budgets, table.concurrency, seconds, pools),
        estimated_seconds=estimate if running else 0.0,
    )


def _list_members(table: WaveTable, pools: PoolSection) -> list[str]:
    return [name for pool in sorted(set(table.pools)) for name in pools.members(pool)]


def _leave_room(
    budgets: dict[str, int], away: list[str], pools: PoolSection
) -> dict[str, int]:
    """Subtract unplanned loss, which takes room from the wave."""
    planned: dict[str, int] = {}
    for name in away:
        record = pools.find(name)
        if record and not record.available:
            planned[record.pool] = planned.get(record.pool, 0) + 1
    return {
        pool: budget - pools.count_unavailable(pool) + planned.get(pool, 0)
        for pool, budget in budgets.items()
    }


def _bound(
    names: list[str],
    budgets: dict[str, int],
    concurrency: int,
    seconds: float,
    pools: PoolSection,
) -> float:
    counts: dict[str, int] = {}
    for name in names:
        record = pools.find(name)
        if record and record.pool in budgets:
            counts[record.pool] = counts.get(record.pool, 0) + 1
    return bound_rollout(counts, budgets, concurrency, seconds)
