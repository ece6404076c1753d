"""Roll-out times of waves: lower bounds under the budgets, and estimates."""

from math import ceil

from gypsumwalk.folder import WaveTable
from gypsumwalk.operator_calls import WaveStatus
from gypsumwalk.pools import PoolSection
from gypsumwalk.wave_records import ItemState, WaveRecord

__all__ = ["compute_lower_bound", "estimate_wave"]

DEFAULT_OUTAGE_SECONDS = 60.0
"""Drain and reboot time assumed until the first instance of a run finishes."""


def compute_lower_bound(
    counts: dict[str, int],
    budgets: dict[str, int],
    concurrency: int,
    outage_seconds: float,
) -> float:
    """Return the minimum roll-out time of any plan within the budgets.

    Parameters
    ----------
    counts : dict of str to int
        Number of instances to reboot, by pool.
    budgets : dict of str to int
        Maximum number of instances out of service at once, by pool.
    concurrency : int
        Maximum number of instances out of service at once, over all pools.
    outage_seconds : float
        Time in seconds that each instance is out of service.

    Returns
    -------
    float
        Lower bound in seconds; infinite if the budget of a pool allows no instance.
    """
    rounds = ceil(sum(counts.values()) / concurrency) if concurrency else 0
    for pool, count in counts.items():
        if count and budgets.get(pool, 0) < 1:
            return float("inf")
        if count:
            rounds = max(rounds, ceil(count / budgets[pool]))
    return rounds * outage_seconds


def estimate_wave(
    name: str,
    wave: WaveRecord | None,
    table: WaveTable | None,
    pools: PoolSection,
    now: float,
) -> WaveStatus:
    """Return the status of a wave and its estimated remaining time.

    Parameters
    ----------
    name : str
        The wave.
    wave : WaveRecord or None
        Latest run of the wave, if any.
    table : WaveTable or None
        Declaration of the wave, if it is still declared.
    pools : PoolSection
        Instances and their pools.
    now : float
        Time in seconds.

    Returns
    -------
    WaveStatus
        Status and estimates.
    """
    table = table or WaveTable(pools=[])
    names = list(wave.items) if wave else _list_members(table, pools)
    finished = (ItemState.DONE, ItemState.SKIPPED)
    remaining = [
        item for item in names if not wave or wave.items[item].state not in finished
    ]
    away = list(wave.away) if wave else []
    outage_seconds = DEFAULT_OUTAGE_SECONDS + table.dwell_seconds
    if wave and wave.done:
        outage_seconds = wave.away_seconds / wave.done
    budgets = {pool: pools.find_budget(pool) for pool in table.pools}
    end = (wave.ended_at or now) if wave else 0.0
    remaining_budgets = _subtract_unplanned_losses(budgets, away, pools)
    estimate = _compute_wave_bound(
        remaining, remaining_budgets, table.concurrency, outage_seconds, pools
    )
    is_active = wave is None or wave.is_active
    return WaveStatus(
        name=name,
        run=wave.run if wave else 0,
        state=wave.state.value if wave else "not started",
        instances=len(names),
        done=wave.done if wave else 0,
        skipped=wave.skipped if wave else 0,
        away=away,
        elapsed_seconds=end - wave.started_at if wave else 0.0,
        lower_bound_seconds=_compute_wave_bound(
            names, budgets, table.concurrency, outage_seconds, pools
        ),
        estimated_seconds=estimate if is_active else 0.0,
    )


def _list_members(table: WaveTable, pools: PoolSection) -> list[str]:
    return [
        name for pool in sorted(set(table.pools)) for name in pools.list_members(pool)
    ]


def _subtract_unplanned_losses(
    budgets: dict[str, int], away: list[str], pools: PoolSection
) -> dict[str, int]:
    """Return the budgets less unplanned losses, which use up budget."""
    planned: dict[str, int] = {}
    for name in away:
        record = pools.find(name)
        if record and not record.is_available:
            planned[record.pool] = planned.get(record.pool, 0) + 1
    return {
        pool: budget - pools.count_unavailable(pool) + planned.get(pool, 0)
        for pool, budget in budgets.items()
    }


def _compute_wave_bound(
    names: list[str],
    budgets: dict[str, int],
    concurrency: int,
    outage_seconds: float,
    pools: PoolSection,
) -> float:
    counts: dict[str, int] = {}
    for name in names:
        record = pools.find(name)
        if record and record.pool in budgets:
            counts[record.pool] = counts.get(record.pool, 0) + 1
    return compute_lower_bound(counts, budgets, concurrency, outage_seconds)
