"""Admission to one pool, on a backlog that is at most some milliseconds old."""

from collections.abc import Sequence
from dataclasses import replace
from typing import Protocol

from gypsumwalk.backlog import JobView, RoomView
from gypsumwalk.declaration_records import DeclaredQueue
from gypsumwalk.job_admission import Admission, Admit, JobAdmission
from gypsumwalk.leases import LeaseTable
from gypsumwalk.ordered_backlog import OrderedBacklog
from gypsumwalk.retry_slots import RetrySlots
from gypsumwalk.spare_machines import SpareMachines
from gypsumwalk.workload_records import Workload
from gypsumwalk.workloads import WorkloadSection

__all__ = ["PoolAdmission", "PoolViews"]

MIN_REFRESH_SECONDS = 0.02
"""Shortest time for which an order of the backlog is used, as in the scheduler."""

SECONDS_PER_ITEM = 4e-5
"""Time for which it is used for each job of the backlog and each run, as one that is
looked at takes a few microseconds."""

MAX_REFRESH_SECONDS = 0.5
"""Longest time for which it is used."""

COMMIT_SECONDS = 2.0
"""Time after which a job that was admitted and is not stored was not accepted, the
timeout of its proposal."""


class PoolViews(Protocol):
    """Source of the views of jobs and pools."""

    lease_table: LeaseTable
    """Runs that may be going on."""

    def copy(self) -> "PoolViews":
        """Return a copy for reading, which keeps nothing in this object."""
        ...

    def has_waiting(self, service: str) -> bool:
        """Tell whether ready tasks wait for the pool of a service."""
        ...

    def view_job(self, workload: Workload, queue: DeclaredQueue, now: float) -> JobView:
        """Return the view of a job that need not be accepted yet."""
        ...

    def list_backlog(self, service: str, now: float) -> Sequence[JobView]:
        """Return the accepted jobs of a pool that have work left."""
        ...

    def find_room(self, service: str, now: float) -> RoomView:
        """Return the room of a pool."""
        ...


class PoolAdmission:
    """Admission of jobs to the pool of a service.

    Parameters
    ----------
    service : str
        Service of the pool.
    views : PoolViews
        Source of the views of its jobs and its room.
    spares : SpareMachines
        Machines that may join the pool.
    workloads : WorkloadSection
        Accepted jobs.
    slots : RetrySlots
        Reservations of refused callers.
    """

    def __init__(
        self,
        service: str,
        *,
        views: PoolViews,
        spares: SpareMachines,
        workloads: WorkloadSection,
        slots: RetrySlots,
    ) -> None:
        self._service = service
        self._views = views
        self._spares = spares
        self._workloads = workloads
        self._slots = slots
        self._admission = JobAdmission(service, slots)
        self._backlog: OrderedBacklog | None = None
        self._ordered_at = 0.0
        self._valid_seconds = 0.0
        self._admitted: dict[str, tuple[float, JobView]] = {}
        """Jobs that were admitted and may not be stored yet, with the time."""

    def copy(
        self, *, views: PoolViews, spares: SpareMachines, slots: RetrySlots
    ) -> "PoolAdmission":
        """Return a copy that decides as this object would and does not change it.

        Parameters
        ----------
        views : PoolViews
            Copy of the source of the views.
        spares : SpareMachines
            Copy of the machines that may join the pool.
        slots : RetrySlots
            Copy of the reservations.

        Returns
        -------
        PoolAdmission
            The copy.
        """
        copied = PoolAdmission(
            self._service,
            views=views,
            spares=spares,
            workloads=self._workloads,
            slots=slots,
        )
        copied._backlog = self._backlog.copy() if self._backlog is not None else None
        copied._ordered_at = self._ordered_at
        copied._valid_seconds = self._valid_seconds
        copied._admitted = dict(self._admitted)
        return copied

    def decide(self, job: JobView, now: float) -> Admission:
        """Decide on a submitted job.

        Parameters
        ----------
        job : JobView
            The job.
        now : float
            Time in seconds.

        Returns
        -------
        Admit or Refuse
            The decision.
        """
        if not self._views.has_waiting(self._service):
            # Nothing is to be ordered, and an old order is of no use any more.
            self._backlog = None
            self._forget_stored(now)
            self.admit(job, now)
            return Admit()
        decision = self._admission.decide_in_order(job, self._order(now), now)
        if isinstance(decision, Admit):
            self._admitted[job.job] = now, job
        return decision

    def admit(self, job: JobView, now: float) -> None:
        """Admit a job whatever the backlog is, as there is free capacity for it."""
        self._slots.release(self._service, job.job)
        self._admitted[job.job] = now, job
        if self._backlog is not None:
            self._backlog.add(job, now)

    def _order(self, now: float) -> OrderedBacklog:
        age = now - self._ordered_at
        if self._backlog is None or not 0 <= age < self._valid_seconds:
            room = self._views.find_room(self._service, now)
            spare = self._spares.find_arriving(self._service, now)
            room = replace(room, arriving=(*room.arriving, *spare))
            jobs = self._list_jobs(now)
            self._backlog = OrderedBacklog(jobs, room, now)
            self._ordered_at = now
            items = len(jobs) + len(self._views.lease_table.runs_by_task)
            valid = max(MIN_REFRESH_SECONDS, SECONDS_PER_ITEM * items)
            self._valid_seconds = min(valid, MAX_REFRESH_SECONDS)
        return self._backlog

    def _forget_stored(self, now: float) -> None:
        self._admitted = {
            job: (at, view)
            for job, (at, view) in self._admitted.items()
            if job not in self._workloads.jobs and now - at < COMMIT_SECONDS
        }

    def _list_jobs(self, now: float) -> list[JobView]:
        self._forget_stored(now)
        pending = [view for _, view in self._admitted.values()]
        return [*self._views.list_backlog(self._service, now), *pending]
