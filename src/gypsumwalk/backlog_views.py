"""Views of the backlog and the room of a pool, from the state of the leader."""

from collections.abc import Callable, Iterable, Iterator, Mapping
from copy import copy
from typing import NamedTuple

from gypsumwalk.backlog import JobView, RoomView
from gypsumwalk.declaration_records import DeclaredQueue
from gypsumwalk.declarations import DeclarationSection
from gypsumwalk.leases import InstanceView, LeaseTable, RunView
from gypsumwalk.pooling import HEADROOM_FACTOR
from gypsumwalk.ready_tasks import ReadyJob, ReadyJobs
from gypsumwalk.team_rates import TeamRates
from gypsumwalk.urgency import CriticalPath, UrgencyEstimator, find_critical_path
from gypsumwalk.work_estimates import (
    MILLICORES,
    WorkMeans,
    find_later_work,
    find_step_work,
    find_total_work,
)
from gypsumwalk.workload_records import Workload, WorkloadState
from gypsumwalk.workloads import WorkloadSection

__all__ = ["BacklogViews"]

REFRESH_SECONDS = 0.25
"""Time for which the view of a job is used while none of its tasks starts or ends; only
the predicted durations of its queue change it, by a tenth of the error of a task."""


class _RunningJob(NamedTuple):
    """Latest view of a job without ready tasks; None if it has no later steps."""

    done: int
    viewed_at: float
    view: JobView | None


class BacklogViews:
    """Makes the views of jobs and pools, and learns what they need from the log.

    Only transient jobs of queues with an objective whose task durations are known have
    a view.

    Parameters
    ----------
    declarations : DeclarationSection
        Declaration in force.
    workloads : WorkloadSection
        Jobs and instances.
    urgency : UrgencyEstimator
        Learned durations and the times of objectives.
    waiting : ReadyJobs
        Jobs with ready tasks.
    list_instances : Callable
        Returns the instances of a service that may take tasks.
    """

    def __init__(
        self,
        declarations: DeclarationSection,
        workloads: WorkloadSection,
        urgency: UrgencyEstimator,
        waiting: ReadyJobs,
        list_instances: Callable[[str], Iterable[InstanceView]],
    ) -> None:
        self.lease_table = LeaseTable()
        """Runs that may be going on, as of the latest scheduling pass."""
        self.arriving: Mapping[str, tuple[tuple[float, float], ...]] = {}
        """Time in seconds and cores of each machine on its way to a service's pool."""
        self._declarations = declarations
        self._workloads = workloads
        self._urgency = urgency
        self._waiting = waiting
        self._list_instances = list_instances
        self._rates = TeamRates(self._get_weight)
        self._means = WorkMeans()
        self._running: dict[str, dict[str, _RunningJob]] = {}
        """Jobs without ready tasks, by service and identifier."""

    def copy(
        self,
        list_instances: Callable[[str], Iterable[InstanceView]] | None = None,
    ) -> "BacklogViews":
        """Return a copy for reading, which keeps its views of the jobs to itself.

        What was learned is shared, as views of jobs and pools do not change it.

        Parameters
        ----------
        list_instances : Callable, optional
            Returns the instances of a service that may take tasks; by default those of
            the latest pass.

        Returns
        -------
        BacklogViews
            The copy.
        """
        copied = copy(self)
        if list_instances is not None:
            copied._list_instances = list_instances
        copied._waiting = self._waiting.copy()
        copied._running = dict(self._running)
        return copied

    def record_arrival(self, workload: Workload, at: float) -> None:
        """Record a job that was accepted.

        Parameters
        ----------
        workload : Workload
            The job, as in the command.
        at : float
            Time in seconds that the leader gave to the command.
        """
        stored = self._workloads.jobs.get(workload.job)
        is_first = stored is not None and stored.accepted == at
        if not is_first or find_critical_path(workload).is_open_ended:
            # A repeated command is no further job; lasting and recurring jobs are never
            # excess.
            return
        self._rates.record_job(workload.job, workload.team, at)
        self._rates.discard_ended(self._workloads.open_jobs)
        work = find_total_work(workload, self._urgency.predict)
        self._means.record(workload.queue, work)

    def is_excess(self, job: str) -> bool:
        """Tell whether a job was beyond the weight of its team as it was accepted."""
        return self._rates.is_excess(job)

    def can_view(self, queue: DeclaredQueue | None) -> bool:
        """Tell whether the transient jobs of a queue have views."""
        if queue is None or queue.objective <= 0:
            return False
        return self._urgency.find_mean_duration(queue.name) is not None

    def view_job(self, workload: Workload, queue: DeclaredQueue, now: float) -> JobView:
        """Return the view of a job of which nothing has started.

        Parameters
        ----------
        workload : Workload
            The job, which need not be accepted yet.
        queue : DeclaredQueue
            Its queue.
        now : float
            Time in seconds.

        Returns
        -------
        JobView
            The view.
        """
        work = find_total_work(workload, self._urgency.predict)
        path = find_critical_path(workload)
        return self._make_view(workload, queue, path, work, now)

    def view_ready_job(
        self, job: ReadyJob, queue: DeclaredQueue, now: float
    ) -> JobView:
        """Return the view of a job with ready tasks.

        Parameters
        ----------
        job : ReadyJob
            The job.
        queue : DeclaredQueue
            Its queue.
        now : float
            Time in seconds.

        Returns
        -------
        JobView
            The view.
        """
        count = 0
        for tasks in job.tasks.values():
            count += len(tasks)
        view = job.view
        if (
            view is None
            or count != job.viewed_tasks
            or view.has_started is not _has_started(job.workload)
            or not 0 <= now - job.viewed_at < REFRESH_SECONDS
        ):
            work = self._find_ready_work(job)
            view = self._make_view(job.workload, queue, job.path, work, now)
            job.view, job.viewed_at, job.viewed_tasks = view, now, count
        return view

    def has_waiting(self, service: str) -> bool:
        """Tell whether jobs with a view have ready tasks for the pool of a service."""
        return any(
            self._find_queue(group.any_job.workload, service) is not None
            for group in self._waiting.list_groups()
        )

    def list_backlog(self, service: str, now: float) -> list[JobView]:
        """Return the accepted jobs of a pool with work that has not started.

        Parameters
        ----------
        service : str
            Service of the pool.
        now : float
            Time in seconds.

        Returns
        -------
        list of JobView
            Jobs with ready tasks, and jobs whose later steps wait for running ones.
        """
        listed: list[JobView] = []
        names: set[str] = set()
        for group in self._waiting.list_groups():
            queue = self._find_queue(group.any_job.workload, service)
            if queue is None:
                continue
            names.update(group.jobs)
            listed += [
                self.view_ready_job(job, queue, now)
                for job in group.jobs.values()
                if not job.path.is_open_ended
            ]
        listed += self._list_running(service, names, now)
        return listed

    def find_room(self, service: str, now: float) -> RoomView:
        """Return the room of a pool for transient tasks.

        Its cores are divided by the headroom of the pools' sizes, as tasks do not fill
        instances to the last core.

        Parameters
        ----------
        service : str
            Service of the pool.
        now : float
            Time in seconds.

        Returns
        -------
        RoomView
            The room.
        """
        cpu, running_work = 0, 0.0
        for view in self._list_instances(service):
            cpu += view.registered.capacity.cpu - view.lasting_used.cpu
            for run in view.runs.values():
                if not run.is_lasting:
                    running_work += run.need.cpu * self._find_remaining(run, now)
        arriving = tuple(
            (at, cores / HEADROOM_FACTOR)
            for at, cores in self.arriving.get(service, ())
        )
        cores = cpu / MILLICORES / HEADROOM_FACTOR
        return RoomView(cores, running_work / MILLICORES, arriving)

    def _find_ready_work(self, job: ReadyJob) -> float:
        """Return the work of a job that has not started, in core-seconds."""
        workload = job.workload
        work = 0.0
        for (_, number), tasks in job.tasks.items():
            seconds = self._urgency.predict(workload, number)
            work += find_step_work(workload.steps[number], len(tasks), seconds)
        if len(workload.steps) > len(job.tasks):
            begun = {number for _, number in job.tasks}
            work += find_later_work(workload, begun, self._urgency.predict)
        return work

    def _list_running(
        self, service: str, names: set[str], now: float
    ) -> Iterator[JobView]:
        """Yield the jobs whose later steps wait for running tasks."""
        running: dict[str, _RunningJob] = {}
        for name in self.lease_table.list_jobs():
            workload = self._workloads.open_jobs.get(name)
            if workload is None or name in names or len(workload.steps) == 1:
                continue
            queue = self._find_queue(workload, service)
            if queue is None:
                continue
            job = running[name] = self._view_running(workload, queue, now)
            if job.view is not None:
                yield job.view
        self._running[service] = running

    def _view_running(
        self, workload: Workload, queue: DeclaredQueue, now: float
    ) -> _RunningJob:
        """Return the view of a job without ready tasks, if it has later steps."""
        done = sum(workload.done.values())
        known = self._running.get(queue.service, {}).get(workload.job)
        if (
            known is not None
            and known.done == done
            and 0 <= now - known.viewed_at < REFRESH_SECONDS
        ):
            return known
        path = find_critical_path(workload)
        work = find_later_work(workload, (), self._urgency.predict)
        if path.is_open_ended or work <= 0:
            return _RunningJob(done, now, None)
        view = self._make_view(workload, queue, path, work, now)
        return _RunningJob(done, now, view)

    def _find_queue(self, workload: Workload, service: str) -> DeclaredQueue | None:
        """Return the queue of a job if its jobs have views and run in a service."""
        queue = self._declarations.get_queue(workload.queue)
        if queue is None or queue.service != service or not self.can_view(queue):
            return None
        return queue

    def _make_view(
        self,
        workload: Workload,
        queue: DeclaredQueue,
        path: CriticalPath,
        work: float,
        now: float,
    ) -> JobView:
        is_accepted = workload.accepted > 0
        times = self._urgency.find_times(workload, queue, path, now)
        return JobView(
            job=workload.job,
            team=workload.team,
            priority=queue.priority,
            submitted=workload.accepted if is_accepted else now,
            latest_start=times.latest_start,
            due=times.due,
            expires=times.expires,
            work=work,
            mean_work=self._means.find(workload.queue),
            total_work=find_total_work(workload, self._urgency.predict),
            has_started=_has_started(workload),
            is_excess=self._rates.is_excess(workload.job)
            if is_accepted
            else self._rates.would_exceed(workload.team, now),
        )

    def _find_remaining(self, run: RunView, now: float) -> float:
        """Return the predicted time in seconds until a run ends."""
        workload = self._workloads.jobs.get(run.task.job)
        if workload is None:
            return 0.0
        seconds = self._urgency.predict(workload, run.task.step)
        if not run.planned_at:
            # An earlier leader placed it.
            return seconds / 2
        return max(0.0, seconds - (now - run.planned_at))

    def _get_weight(self, team: str) -> float:
        declared = self._declarations.get_team(team)
        return declared.weight if declared else 0.0


def _has_started(workload: Workload) -> bool:
    return workload.state is WorkloadState.RUNNING
