"""Order of the waiting jobs of pools whose room does not suffice for them."""

from collections.abc import Callable, Sequence
from copy import deepcopy
from dataclasses import dataclass, field

from gypsumwalk.backlog import JobView, RoomView
from gypsumwalk.backlog_views import BacklogViews
from gypsumwalk.declaration_records import DeclaredQueue
from gypsumwalk.drop_limits import DropLimits
from gypsumwalk.effects import Record, Scalar
from gypsumwalk.events import Event
from gypsumwalk.job_selection import (
    JobGroup,
    Rank,
    Selection,
    find_arrival_rank,
    select_jobs,
)
from gypsumwalk.ordered_backlog import OrderedBacklog, find_completion
from gypsumwalk.ready_tasks import ReadyJob, ReadyJobs, find_least
from gypsumwalk.task_placement import CandidatePool, find_need
from gypsumwalk.workload_records import Workload

__all__ = ["OrderPreview", "OverloadOrder"]

MIN_INTERVAL_SECONDS = 0.02
"""Shortest time between two selections of a pool; a task runs for much longer."""

SECONDS_PER_ITEM = 2e-5
"""Time between two selections for each job and run that one looks at. It takes about
a fourth of that, so that selections use a fourth of a processor at most."""

MAX_INTERVAL_SECONDS = 0.5
"""Longest time for which a selection is used."""

REPORT_SECONDS = 1.0
"""Interval of the events of an overloaded pool."""


@dataclass(slots=True)
class _PoolState:
    """Latest selection of a pool.

    Attributes
    ----------
    ranks : dict of str to Rank
        Ranks of the jobs, with those that arrived since.
    valid_until : float
        Time in seconds from which the next selection may be made.
    limits : DropLimits
        Limits of what is dropped.
    reported_at : float
        Time in seconds of the latest event.
    """

    ranks: dict[str, Rank] = field(default_factory=dict)
    valid_until: float = float("-inf")
    limits: DropLimits = field(default_factory=DropLimits)
    reported_at: float = float("-inf")


@dataclass(frozen=True, slots=True)
class OrderPreview:
    """Place of a job in the order under overload.

    Attributes
    ----------
    group : JobGroup
        Its group.
    is_overloaded : bool
        Whether the ready work does not fit, so that the order decides.
    latest_start : float
        Latest time in seconds at which its tasks can start to be on time.
    completion : float
        Time in seconds at which its work and that of the jobs before it would be done;
        infinite without any room.
    """

    group: JobGroup
    is_overloaded: bool
    latest_start: float
    completion: float


class OverloadOrder:
    """Orders the jobs of a pool by a selection while its ready work does not fit.

    Parameters
    ----------
    waiting : ReadyJobs
        Jobs with ready tasks.
    views : BacklogViews
        Views of the jobs and of the room.
    find_service : Callable
        Returns the service that runs a job.
    """

    def __init__(
        self,
        waiting: ReadyJobs,
        views: BacklogViews,
        find_service: Callable[[Workload], str],
    ) -> None:
        self.records: list[Record] = []
        """Events of selections, to be taken by the caller of a pass."""
        self._waiting = waiting
        self._views = views
        self._find_service = find_service
        self._pools: dict[str, _PoolState] = {}

    def clear(self) -> None:
        """Discard the selections at the start of a term."""
        self._pools.clear()
        self.records.clear()

    def sort(
        self,
        service: str,
        jobs: Sequence[tuple[ReadyJob, DeclaredQueue]],
        pool: CandidatePool,
        now: float,
    ) -> list[ReadyJob] | None:
        """Sort the jobs of a pool if it is overloaded.

        Parameters
        ----------
        service : str
            Service of the pool.
        jobs : Sequence of (ReadyJob, DeclaredQueue)
            Transient jobs that have views, with their queues.
        pool : CandidatePool
            Instances that may take tasks.
        now : float
            Time in seconds.

        Returns
        -------
        list of ReadyJob or None
            The jobs, first the one that gets room first; None if all ready work fits.
        """
        state = self._pools.setdefault(service, _PoolState())
        if not 0 <= state.valid_until - now <= MAX_INTERVAL_SECONDS:
            if not self._is_overloaded(service, pool):
                return None
            self._select(service, state, now)
        keys: dict[str, Rank] = {}
        for job, queue in jobs:
            name = job.workload.job
            rank = state.ranks.get(name)
            if rank is None:
                rank = find_arrival_rank(self._views.view_ready_job(job, queue, now))
                state.ranks[name] = rank
            keys[name] = rank
        return sorted((job for job, _ in jobs), key=lambda job: keys[job.workload.job])

    def preview(
        self, job: ReadyJob, queue: DeclaredQueue, pool: CandidatePool, now: float
    ) -> OrderPreview:
        """Return the place that a job which is not accepted would have in the order.

        It is that in the next selection. Nothing of this object changes, and no view is
        kept.

        Parameters
        ----------
        job : ReadyJob
            The job, of a queue whose jobs have views.
        queue : DeclaredQueue
            Its queue.
        pool : CandidatePool
            Instances that may take tasks.
        now : float
            Time in seconds.

        Returns
        -------
        OrderPreview
            The place.
        """
        service = queue.service
        # The passes may not have followed the instances of a pool without waiting jobs.
        views = self._views.copy(lambda _: pool.list_views())
        view = views.view_job(job.workload, queue, now)
        backlog = views.list_backlog(service, now)
        jobs = [*backlog, view]
        room = views.find_room(service, now)
        state = self._pools.get(service)
        limits = deepcopy(state.limits) if state is not None else DropLimits()
        kept = limits.choose_kept(jobs, now)
        ranks = select_jobs(jobs, room, now, kept=kept).ranks
        rank = ranks[view.job]
        group = JobGroup(rank[1])
        if group in (JobGroup.SELECTED, JobGroup.EXCESS, JobGroup.EXPIRED):
            ahead = sum(item.work for item in jobs if ranks[item.job] < rank)
        else:
            # A dropped job is taken to become late, as admission does.
            ordered = OrderedBacklog(backlog, room, now)
            ahead = ordered.sum_work_before_late(view, 0.0)
        return OrderPreview(
            group=group,
            is_overloaded=self._is_overloaded(service, pool, job),
            latest_start=view.latest_start,
            completion=find_completion(room, ahead + view.work, now),
        )

    def _is_overloaded(
        self, service: str, pool: CandidatePool, added: ReadyJob | None = None
    ) -> bool:
        """Tell whether the ready tasks of a pool need more than it has free."""
        groups = [
            group
            for group in self._waiting.list_groups()
            if self._find_service(group.any_job.workload) == service
        ]
        ready = sum(_sum_ready(job) for group in groups for job in group.jobs.values())
        needs = [group.least for group in groups]
        if added is not None:
            ready += _sum_ready(added)
            needs.append(added.least)
        least = find_least(needs)
        return pool.sum_free_cpu(least, ready) < ready

    def _select(self, service: str, state: _PoolState, now: float) -> None:
        jobs = self._views.list_backlog(service, now)
        room = self._views.find_room(service, now)
        kept = state.limits.choose_kept(jobs, now)
        selection = select_jobs(jobs, room, now, kept=kept)
        state.limits.record(jobs, selection, now)
        state.ranks = dict(selection.ranks)
        items = len(jobs) + len(self._views.lease_table.runs_by_task)
        interval = max(MIN_INTERVAL_SECONDS, SECONDS_PER_ITEM * items)
        state.valid_until = now + min(interval, MAX_INTERVAL_SECONDS)
        if not 0 <= now - state.reported_at < REPORT_SECONDS:
            state.reported_at = now
            record = _describe(service, jobs, room, selection, len(kept))
            self.records.append(record)


def _describe(
    service: str,
    jobs: Sequence[JobView],
    room: RoomView,
    selection: Selection,
    kept: int,
) -> Record:
    selected = selection.count(JobGroup.SELECTED) + selection.count(JobGroup.EXCESS)
    attributes: dict[str, Scalar] = {
        "jobs": len(jobs),
        "work": round(sum(job.work for job in jobs), 1),
        "cores": round(room.cores, 1),
        "running": round(room.running_work, 1),
        "arriving": len(room.arriving),
        "selected": selected,
        "dropped": len(selection.dropped),
        "late": selection.count(JobGroup.LATE),
        "expired": selection.count(JobGroup.EXPIRED),
        "excess": sum(job.is_excess for job in jobs),
        "kept": kept,
    }
    return Record(Event.POOL_OVERLOADED, service, attributes)


def _sum_ready(job: ReadyJob) -> int:
    """Return what the ready transient tasks of a job need, in thousandths of a core."""
    steps = job.workload.steps
    return sum(
        find_need(steps[number]).cpu * len(tasks)
        for (_, number), tasks in job.tasks.items()
        if not steps[number].lasting
    )
