"""Selection of the jobs of a pool that can all be on time, by value.

The selection is the weighted form of the Moore-Hodgson rule: jobs are taken by the time
at which their work has to have begun, and as soon as the work of those taken exceeds
what the pool can begin until such a time, the one with the least value per core-second
is dropped.

Tasks are not divisible: what a pool can do until the due date of a job includes the
time after its latest start, in which only tasks that run already make use of a core.
With the work that can be done until the due dates, a turn earns 0.741 of the value
instead of 0.813 (docs/measurements/overload-policies.md).
"""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from enum import IntEnum
from heapq import heappop, heappush

from gypsumwalk.backlog import JobView, RoomView
from gypsumwalk.job_values import find_value_density

__all__ = [
    "JobGroup",
    "Rank",
    "Selection",
    "find_arrival_rank",
    "find_horizon",
    "select_jobs",
]

Rank = tuple[int, int, float, str]
"""Priority of the queue, group, order within both, and identifier of a job."""


class JobGroup(IntEnum):
    """Groups of jobs in the order in which they get room."""

    SELECTED = 0
    """Can be on time together with all others of the group."""
    DROPPED = 1
    """Could be on time, but not together with those that are selected."""
    EXCESS = 2
    """As selected, but its team has submitted more than its weight allows."""
    DROPPED_EXCESS = 3
    """As dropped, but its team has submitted more than its weight allows."""
    LATE = 4
    """Can only be late."""
    EXPIRED = 5
    """Has no value when it is done."""


@dataclass(frozen=True, slots=True)
class Selection:
    """Order of the jobs of a pool.

    Attributes
    ----------
    ranks : Mapping of str to Rank
        Rank of each job by its identifier; lower ones go first.
    dropped : frozenset of str
        Jobs that could be on time and are not selected.
    """

    ranks: Mapping[str, Rank]
    dropped: frozenset[str] = frozenset()

    @property
    def order(self) -> list[str]:
        """Identifiers of the jobs, first the one that gets room first."""
        return sorted(self.ranks, key=self.ranks.__getitem__)

    def count(self, group: JobGroup) -> int:
        """Return the number of jobs in a group."""
        return sum(rank[1] == group for rank in self.ranks.values())


def select_jobs(
    jobs: Sequence[JobView],
    room: RoomView,
    now: float,
    *,
    kept: Collection[str] = (),
) -> Selection:
    """Select the jobs with the largest value that can all be on time, and order all.

    Parameters
    ----------
    jobs : Sequence of JobView
        Jobs of one pool with work that has not started.
    room : RoomView
        Room of the pool.
    now : float
        Time in seconds.
    kept : Collection of str
        Jobs that are dropped only if no other job of their class is left to drop.

    Returns
    -------
    Selection
        Order of all jobs.
    """
    densities = {job.job: find_value_density(job) for job in jobs}
    selected = _select(jobs, room, now, kept, densities)
    ranks: dict[str, Rank] = {}
    dropped: list[str] = []
    for job in jobs:
        name = job.job
        if name not in selected:
            ranks[name] = _find_rank(job, densities[name], now)
            if job.latest_start >= now:
                dropped.append(name)
        elif name in kept:
            # Wide jobs would otherwise begin only just before their latest start, and
            # then not with all their tasks.
            ranks[name] = job.priority, JobGroup.SELECTED, job.submitted, name
        else:
            ranks[name] = find_arrival_rank(job)
    return Selection(ranks, frozenset(dropped))


def find_arrival_rank(job: JobView) -> Rank:
    """Return the rank of a job that arrived after the selection: it is selected."""
    group = JobGroup.EXCESS if job.is_excess else JobGroup.SELECTED
    return job.priority, group, job.latest_start, job.job


def _select(
    jobs: Sequence[JobView],
    room: RoomView,
    now: float,
    kept: Collection[str],
    densities: Mapping[str, float],
) -> set[str]:
    """Return the selected jobs.

    The heap drops lower classes first. A higher class is thus selected as if there
    were no other, and a lower class gets what it leaves. A kept job that can't be on
    time has no due date to plan for, so it is selected without a claim on the supply.
    """
    left = room.running_work / room.cores if room.cores > 0 else 0.0
    candidates = [
        (find_horizon(job, left), job.job, job)
        for job in jobs
        if job.latest_start >= now
    ]
    candidates.sort(key=lambda item: item[:2])
    heap: list[tuple[int, bool, bool, float, str, float]] = []
    work = 0.0
    for horizon, name, job in candidates:
        density = densities[name]
        entry = -job.priority, name in kept, job.has_started, density, name, job.work
        heappush(heap, entry)
        work += job.work
        supply = room.find_supply(horizon, now)
        while work > supply and heap:
            work -= heappop(heap)[-1]
    late = {job.job for job in jobs if job.job in kept and job.latest_start < now}
    return late | {entry[4] for entry in heap}


def find_horizon(job: JobView, left: float) -> float:
    """Return the time until which the supply is the work that can begin in time.

    A core that becomes free shortly before the latest start of a job still does a whole
    task for it. In the mean, the time that this adds is half of the job's run, and as
    much is left of the runs that occupy the pool. If these are longer, only the time
    that it adds is compensated.

    Parameters
    ----------
    job : JobView
        The job.
    left : float
        Running work of the pool divided by its cores, in seconds.

    Returns
    -------
    float
        Time in seconds.
    """
    return job.latest_start + min(left, (job.due - job.latest_start) / 2)


def _find_rank(job: JobView, density: float, now: float) -> Rank:
    """Return the rank of a job that is not selected."""
    if job.latest_start >= now:
        group = JobGroup.DROPPED_EXCESS if job.is_excess else JobGroup.DROPPED
        return job.priority, group, -density, job.job
    if job.latest_start + (job.expires - job.due) >= now:
        return job.priority, JobGroup.LATE, -density, job.job
    return job.priority, JobGroup.EXPIRED, job.submitted, job.job
