"""Release of machines from a pool with late work to a pool with work on time.

A machine can move only while it is idle. Tasks of jobs that will be late in any case
would keep it from work that can still be on time, so a released machine gets no further
tasks, and runs of late jobs are stopped where that makes it idle clearly sooner.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from gypsumwalk.pooling import Pool, PoolDemand, PoolMachine, size_pools

__all__ = ["ReleasedRun", "choose_preempted", "plan_releases"]

MIN_GAIN_SECONDS = 0.4
"""Least time by which a machine must become idle sooner; a stop takes 0.2 to 0.4 s."""


@dataclass(frozen=True, slots=True)
class ReleasedRun:
    """A run on a released machine.

    Attributes
    ----------
    task : str
        Its task.
    remaining : float
        Predicted time in seconds until it ends.
    unsaved : float
        Time in seconds that it has run since its start or its latest checkpoint.
    is_late : bool
        Whether its job will be late in any case, so that it may be stopped.
    """

    task: str
    remaining: float
    unsaved: float
    is_late: bool


def plan_releases(
    machines: Sequence[PoolMachine], demands: Mapping[str, PoolDemand], standby: str
) -> set[str]:
    """Choose busy machines that get no further tasks, so that they become idle.

    These are machines of pools with late work that other pools lack, and those that a
    pool no longer needs: spread over fewer machines, its tasks free the others sooner.
    This is done only in pools with an objective.

    Parameters
    ----------
    machines : Sequence of PoolMachine
        All machines, after the moves that are planned.
    demands : Mapping of str to PoolDemand
        Demand by service, without the standby pool.
    standby : str
        Service of the standby pool, empty if there is none.

    Returns
    -------
    set of str
        Machines that are released, without those that have lasting tasks.
    """
    pools = size_pools(machines, demands, standby)
    shortage = sum(max(0, -pools[name].surplus) for name in demands)
    released: set[str] = set()
    for name, demand in demands.items():
        pool = pools[name]
        spare = _count_spare(pool, demand) if standby else 0
        if not demand.deferred and not spare:
            continue
        candidates = [
            item for item in pool.machines if item.is_movable and not item.has_lasting
        ]
        # Those that are released already are nearer to being idle.
        candidates.sort(key=lambda item: (not item.is_released, item.run_count))
        needed = max(0, min(pool.surplus, shortage)) if demand.deferred else 0
        shortage -= needed
        released.update(item.machine for item in candidates[: max(needed, spare)])
    return released


def _count_spare(pool: Pool, demand: PoolDemand) -> int:
    """Return how many machines of a pool may rest.

    None may while tasks wait: the sizes of pools count processors only, and the tasks
    may need the memory, the accelerators or the labels of the machines.
    """
    if demand.waiting or not demand.has_objective:
        return 0
    return pool.count_spare(demand)


def choose_preempted(runs: Sequence[ReleasedRun]) -> list[ReleasedRun]:
    """Choose the runs of one released machine to stop.

    A run is stopped only if its job will be late in any case, and less work is thrown
    away than it would still do.

    Parameters
    ----------
    runs : Sequence of ReleasedRun
        All runs on the machine.

    Returns
    -------
    list of ReleasedRun
        Runs to stop; empty if the machine would not become idle clearly sooner.
    """
    stopped = [run for run in runs if run.is_late and run.unsaved < run.remaining]
    kept = max((run.remaining for run in runs if run not in stopped), default=0.0)
    return [run for run in stopped if run.remaining > kept + MIN_GAIN_SECONDS]
