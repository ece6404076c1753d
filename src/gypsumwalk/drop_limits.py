"""Limits of what the selection of a pool drops, so that no group of jobs starves.

Large jobs have the least value per core-second, so that a selection by value alone
drops nearly all of them while the overload lasts, and all jobs of a team whose jobs are
large. Large jobs have to be completed at least half as often as all jobs of their
class, and no team may wait for longer than ``MAX_DEFERRAL_SECONDS``.
"""

from collections import defaultdict, deque
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from gypsumwalk.backlog import JobView
from gypsumwalk.job_selection import JobGroup, Selection
from gypsumwalk.job_values import find_size, find_value_density

__all__ = ["DropLimits"]

WINDOW_SECONDS = 10.0
"""Time over which the served jobs of a group are compared with those of its class."""

MAX_DEFERRAL_SECONDS = 10.0
"""Time after which the oldest job of a team is kept if none of its jobs is selected."""

MIN_RELATIVE_SHARE = 0.6
"""Least share of the large jobs that is served, relative to the share of all jobs. They
have to be completed half as often as all; some of those that begin in time end late."""

LARGE_SIZE = 2.0
"""Multiple of the mean work of a queue above which a job is large. About a tenth of the
jobs is; the fifth below is completed often enough without a limit."""

_Group = tuple[int, bool]
"""Priority of the queue, and whether the jobs are large."""


@dataclass(slots=True)
class _Outcomes:
    """Jobs of one group that were served or missed their time, within the window."""

    items: deque[tuple[float, bool]] = field(default_factory=deque)
    served: int = 0

    def record(self, now: float, *, is_served: bool) -> None:
        self.items.append((now, is_served))
        self.served += is_served

    def expire(self, before: float) -> None:
        while self.items and self.items[0][0] < before:
            self.served -= self.items.popleft()[1]


class DropLimits:
    """Outcomes of the latest selections of one pool, and the jobs to keep in the next.

    A job is served if it starts or ends while it can be on time, and missed if it still
    waits when it can only be late.
    """

    def __init__(self) -> None:
        self._outcomes: dict[_Group, _Outcomes] = defaultdict(_Outcomes)
        self._open: dict[str, _Group] = {}
        """Waiting jobs that could be on time at the latest selection."""
        self._kept: set[str] = set()
        """Jobs that were kept for their size and are not done."""
        self._deferred_since: dict[str, float] = {}
        """Time in seconds since which a team has waiting jobs and none is selected."""
        self._oldest: dict[str, tuple[str, bool]] = {}
        """The job that is kept for a deferred team, and whether it had started."""

    def choose_kept(self, jobs: Sequence[JobView], now: float) -> frozenset[str]:
        """Update the outcomes, and return the jobs to keep in the next selection.

        Parameters
        ----------
        jobs : Sequence of JobView
            Jobs of the pool.
        now : float
            Time in seconds.

        Returns
        -------
        frozenset of str
            At most one job of each group that was served too rarely, and one of each
            team that was deferred for too long.
        """
        self._record_outcomes(jobs, now)
        kept = self._keep_by_size(jobs, now)
        return frozenset(kept + self._keep_by_team(jobs, now))

    def record(self, jobs: Sequence[JobView], selection: Selection, now: float) -> None:
        """Record which teams a selection serves.

        Parameters
        ----------
        jobs : Sequence of JobView
            Jobs of the pool.
        selection : Selection
            The selection.
        now : float
            Time in seconds.
        """
        served: set[str] = set()
        waiting: set[str] = set()
        oldest = {name for name, _ in self._oldest.values()}
        for job in jobs:
            waiting.add(job.team)
            if _is_selected(job, selection) and job.job not in oldest:
                served.add(job.team)
        self._deferred_since = {
            team: self._deferred_since.get(team, now) for team in waiting - served
        }

    def _record_outcomes(self, jobs: Sequence[JobView], now: float) -> None:
        previous, self._open = self._open, {}
        for job in jobs:
            if job.has_started:
                continue
            group = previous.pop(job.job, None)
            if job.latest_start >= now:
                self._open[job.job] = group or _find_group(job)
            elif group is not None:
                self._outcomes[group].record(now, is_served=False)
        # The others have started or ended, or were cancelled, while they could be on
        # time.
        for group in previous.values():
            self._outcomes[group].record(now, is_served=True)
        for outcomes in self._outcomes.values():
            outcomes.expire(now - WINDOW_SECONDS)

    def _keep_by_size(self, jobs: Sequence[JobView], now: float) -> list[str]:
        """Return the jobs that were kept and have begun, and the next of each group."""
        neglected = self._list_neglected()
        if not neglected and not self._kept:
            return []
        best: dict[_Group, JobView] = {}
        begun: list[str] = []
        for job in jobs:
            if job.job in self._kept and job.has_started and job.latest_start >= now:
                begun.append(job.job)
            group = self._open.get(job.job)
            if group is None or group not in neglected:
                continue
            known = best.get(group)
            if known is None or _order_kept(job) < _order_kept(known):
                best[group] = job
        self._kept = {*begun, *(job.job for job in best.values())}
        return list(self._kept)

    def _list_neglected(self) -> Collection[_Group]:
        """Return the groups that are served too rarely."""
        neglected: set[_Group] = set()
        for priority in {group[0] for group in self._outcomes}:
            groups = {
                group: item
                for group, item in self._outcomes.items()
                if group[0] == priority and item.items
            }
            count = sum(len(item.items) for item in groups.values())
            served = sum(item.served for item in groups.values())
            for group, item in groups.items():
                least = MIN_RELATIVE_SHARE * served / count * len(item.items)
                if group[1] and item.served < least:
                    neglected.add(group)
        return neglected

    def _keep_by_team(self, jobs: Sequence[JobView], now: float) -> list[str]:
        """Return the oldest job of each deferred team, until it starts or ends."""
        if not self._deferred_since:
            self._oldest.clear()
            return []
        waiting: dict[str, list[JobView]] = {}
        for job in jobs:
            if job.team in self._deferred_since:
                waiting.setdefault(job.team, []).append(job)
        for team, (name, had_started) in list(self._oldest.items()):
            known = [job for job in waiting.get(team, ()) if job.job == name]
            if not known or known[0].has_started is not had_started:
                del self._oldest[team]
                self._deferred_since[team] = now
        for team, listed in waiting.items():
            is_due = now - self._deferred_since[team] >= MAX_DEFERRAL_SECONDS
            if is_due and team not in self._oldest:
                first = min(listed, key=_order_by_age)
                self._oldest[team] = first.job, first.has_started
        return [name for name, _ in self._oldest.values()]


def _is_selected(job: JobView, selection: Selection) -> bool:
    return selection.ranks[job.job][1] in (JobGroup.SELECTED, JobGroup.EXCESS)


def _find_group(job: JobView) -> _Group:
    return job.priority, find_size(job) > LARGE_SIZE


def _order_kept(job: JobView) -> tuple[float, str]:
    # The job of the group that takes the least from others.
    return -find_value_density(job), job.job


def _order_by_age(job: JobView) -> tuple[float, str]:
    return job.submitted, job.job
