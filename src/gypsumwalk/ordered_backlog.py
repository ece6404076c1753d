"""Work of an overloaded pool that goes before a submitted job.

The order of the jobs is found once for a number of submissions, as it takes some
milliseconds for 1,000 jobs.
"""

from bisect import insort
from collections.abc import Sequence
from copy import copy
from dataclasses import dataclass
from math import inf
from typing import NamedTuple

from gypsumwalk.backlog import JobView, RoomView
from gypsumwalk.job_selection import JobGroup, find_horizon, select_jobs
from gypsumwalk.job_values import find_value_density

__all__ = ["OrderedBacklog", "find_completion"]

ON_TIME_GROUPS = (JobGroup.SELECTED, JobGroup.EXCESS)
"""Groups of jobs that go before the late ones of their priority."""


@dataclass(frozen=True, slots=True)
class _OnTimeJob:
    """A job that is on time; the least valuable ones give way to a submitted one."""

    horizon: float
    precedence: tuple[int, bool, float]
    work: float


class _LateJob(NamedTuple):
    """A late job, in the order in which the pool runs them."""

    priority: int
    negative_density: float
    job: str
    expires: float
    work: float


class OrderedBacklog:
    """Admitted jobs of a pool in the order in which it runs them.

    Parameters
    ----------
    jobs : Sequence of JobView
        The jobs, with their work that has not started.
    room : RoomView
        Room of the pool.
    now : float
        Time in seconds.

    Attributes
    ----------
    work : float
        Work of all jobs in core-seconds.
    """

    def __init__(self, jobs: Sequence[JobView], room: RoomView, now: float) -> None:
        self.room = room
        self._ordered_at = now
        self._left = room.running_work / room.cores if room.cores > 0 else 0.0
        self.work = sum(job.work for job in jobs)
        ranks = select_jobs(jobs, room, now).ranks
        self._on_time: list[_OnTimeJob] = []
        self._late: list[_LateJob] = []
        for job in jobs:
            group = ranks[job.job][1]
            if group in ON_TIME_GROUPS:
                self._on_time.append(_describe_on_time(job, self._left))
            elif group != JobGroup.EXPIRED:
                self._late.append(_describe_late(job))
        self._late.sort()

    def copy(self) -> "OrderedBacklog":
        """Return a copy whose changes do not affect this object."""
        copied = copy(self)
        copied._on_time = list(self._on_time)
        copied._late = list(self._late)
        return copied

    def add(self, job: JobView, now: float) -> None:
        """Add a job that was admitted."""
        self.work += job.work
        if self.can_be_on_time(job, now):
            self._on_time.append(_describe_on_time(job, self._left))
        else:
            insort(self._late, _describe_late(job))

    def find_supply(self, until: float) -> float:
        """Return the work that the pool does for these jobs until a time.

        It counts from the time of the order, as the work of the jobs does.
        """
        return self.room.find_supply(until, self._ordered_at)

    def find_completion(self, work: float) -> float:
        """Return the time at which the pool has done some work of these jobs."""
        return find_completion(self.room, work, self._ordered_at)

    def can_be_on_time(self, job: JobView, now: float) -> bool:
        """Tell whether a job may be among those that are on time.

        It is not if the jobs of higher priority and those of its own that have started
        or have more value per core-second leave no room for it. If there is room, it
        may still be dropped for jobs that are due later.

        Parameters
        ----------
        job : JobView
            The job.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether it may be on time.
        """
        if job.latest_start < now:
            return False
        submitted = _describe_on_time(job, self._left)
        ahead = sum(
            item.work
            for item in self._on_time
            if item.horizon <= submitted.horizon
            and item.precedence <= submitted.precedence
        )
        # All jobs of a higher priority go before it, also the late ones.
        first = _LateJob(job.priority, -inf, "", 0.0, 0.0)
        ahead = self._add_late_work(ahead, first)
        return ahead + job.work <= self.find_supply(submitted.horizon)

    def sum_work_before_late(self, job: JobView, promised: float) -> float:
        """Return the work that goes before a job once it is late.

        These are the jobs on time of its priority and of higher ones, and the late jobs
        that go before it and have a value when it is their turn.

        Parameters
        ----------
        job : JobView
            The job.
        promised : float
            Further work that goes before it, in core-seconds.

        Returns
        -------
        float
            Work in core-seconds, including what is promised.
        """
        work = promised + sum(
            item.work for item in self._on_time if item.precedence[0] <= job.priority
        )
        return self._add_late_work(work, _describe_late(job))

    def _add_late_work(self, work: float, end: _LateJob) -> float:
        """Add the work of the late jobs before one, unless they expire before."""
        for item in self._late:
            if item > end:
                break
            if work + item.work <= self.find_supply(item.expires):
                work += item.work
        return work


def find_completion(room: RoomView, work: float, now: float) -> float:
    """Return the time at which a pool has done some work after its running work.

    Parameters
    ----------
    room : RoomView
        Room of the pool.
    work : float
        Work in core-seconds.
    now : float
        Time in seconds.

    Returns
    -------
    float
        Time in seconds; infinite if the pool has no cores and none are on their way.
    """
    left, cores, at = work + room.running_work, room.cores, now
    for arrives_at, arriving in sorted(room.arriving):
        done = cores * max(0.0, arrives_at - at)
        if done >= left:
            break
        left -= done
        cores += arriving
        at = max(at, arrives_at)
    return at + left / cores if cores > 0 else inf


def _describe_on_time(job: JobView, left: float) -> _OnTimeJob:
    precedence = job.priority, not job.has_started, -find_value_density(job)
    return _OnTimeJob(find_horizon(job, left), precedence, job.work)


def _describe_late(job: JobView) -> _LateJob:
    density = find_value_density(job)
    return _LateJob(job.priority, -density, job.job, job.expires, job.work)
