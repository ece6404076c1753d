"""Scheduler of a fleet: which ready tasks start now, and on which instances."""

from collections.abc import Iterable, Mapping, Sequence, Set

from gypsumwalk.advice import AdviceCache, AdviceQuery
from gypsumwalk.backlog_views import BacklogViews
from gypsumwalk.candidates import CandidateLister
from gypsumwalk.declaration_records import Resources
from gypsumwalk.declarations import DeclarationSection
from gypsumwalk.effects import Record
from gypsumwalk.emptying import LastingTask
from gypsumwalk.evacuation_planning import (
    EvacuationPlanner,
    LeavingStep,
    PlannedMove,
)
from gypsumwalk.lateness import LatenessPredictor
from gypsumwalk.leases import (
    UNKNOWN_PERCENT,
    InstanceView,
    LeaseTable,
    RunState,
    RunView,
)
from gypsumwalk.overload_order import OrderPreview
from gypsumwalk.part import NEVER
from gypsumwalk.placement_forecast import PoolSnapshot
from gypsumwalk.placement_limits import SpreadLimit, TeamQuotas, is_within_quota
from gypsumwalk.pool_demands import DemandCounter, IsDeferred
from gypsumwalk.pooling import PoolDemand
from gypsumwalk.ready_tasks import ReadyJob, ReadyJobs, make_ready_job
from gypsumwalk.run_planning import PlannedRun, RunPlanner, make_run
from gypsumwalk.task_placement import CandidatePool, find_next_occurrence, list_ready
from gypsumwalk.urgency import UrgencyEstimator
from gypsumwalk.waiting_order import WaitingOrder
from gypsumwalk.workload_records import Placement, Step, TaskKey, Workload
from gypsumwalk.workloads import WorkloadSection

__all__ = ["PlannedRun", "TaskScheduler", "is_within_quota"]


class TaskScheduler:
    """Schedules tasks by priority and urgency, within capacity, quotas and spread.

    Lasting tasks come first, whatever the priority of their queue.

    Parameters
    ----------
    declarations : DeclarationSection
        Declaration in force.
    workloads : WorkloadSection
        Jobs and instances.
    advice : AdviceCache
        Tickets for steps of queues that require advice.
    evacuated : Set of str
        Data centres that are evacuated, kept up to date by their holder.
    """

    def __init__(
        self,
        declarations: DeclarationSection,
        workloads: WorkloadSection,
        advice: AdviceCache,
        evacuated: Set[str] = frozenset(),
    ) -> None:
        self.cordoned: set[str] = set()
        """Machines that get no new work because a wave takes them down next."""
        self.due_for_maintenance: set[str] = set()
        """Machines that get no lasting task if another one has room, as a wave takes
        them down later."""
        self.held_in_pool: set[str] = set()
        """Machines that stay in their pools, as a wave is short of time for them."""
        self.changing_pool: set[str] = set()
        """Machines that get no new work because they are moving to another pool."""
        self.released: set[str] = set()
        """Machines that get no new work so that they can move to another pool."""
        self._declarations = declarations
        self._workloads = workloads
        self._urgency = UrgencyEstimator()
        self._waiting = ReadyJobs()
        self._stale: set[str] = set()
        self._next_due = NEVER
        self._quotas = TeamQuotas(declarations)
        self._demand = DemandCounter(workloads, self._quotas, self.find_service)
        self._evacuation = EvacuationPlanner(workloads, evacuated)
        self._lister = CandidateLister(self._waiting, self.find_service, evacuated)
        self.backlog = BacklogViews(
            declarations,
            workloads,
            self._urgency,
            self._waiting,
            self._lister.list_views,
        )
        """Views of the waiting jobs and of the pools, as of the latest pass."""
        self.lateness = LatenessPredictor(
            declarations, workloads, self._urgency, self.backlog.is_excess
        )
        """Prediction of late jobs, by the durations that this scheduler learns."""
        self._order = WaitingOrder(
            declarations, self._waiting, self._urgency, self.backlog, self.find_service
        )
        self._planner = RunPlanner(
            declarations, advice, lambda *task: self._has_quota(*task)
        )

    @property
    def _closed(self) -> Set[str]:
        """Machines that get no new work."""
        return self.cordoned | self.changing_pool | self.released

    @property
    def wanted_advice(self) -> list[AdviceQuery]:
        """Advice that tasks wait for, in the order in which the tasks are scheduled."""
        return self._planner.wanted_advice

    def reset(self) -> None:
        """Discard cached state at the start of a term and mark all open jobs stale."""
        self._waiting.clear()
        self._order.overload.clear()
        self._stale = set(self._workloads.open_jobs)
        self._next_due = NEVER

    def take_records(self) -> list[Record]:
        """Return the events of the latest passes, which are not returned again."""
        records = self._order.overload.records[:]
        self._order.overload.records.clear()
        return records

    def invalidate(self, job: str) -> None:
        """Mark a job stale, so that the next pass recomputes its ready tasks."""
        self._stale.add(job)

    def invalidate_if_due(self, now: float) -> bool:
        """Mark all open jobs stale if an occurrence is due; return whether one is."""
        if now < self._next_due:
            return False
        self._next_due = NEVER
        self._stale |= set(self._workloads.open_jobs)
        return True

    def restore_run(self, placement: Placement, lease_table: LeaseTable) -> RunView:
        """Add a run that an earlier leader placed, as unconfirmed.

        Parameters
        ----------
        placement : Placement
            Its placement.
        lease_table : LeaseTable
            Lease table of the current leader.

        Returns
        -------
        RunView
            The run.
        """
        workload = self._workloads.jobs[placement.task.job]
        run = make_run(workload, placement, RunState.UNCONFIRMED)
        run.is_stopping = workload.has_ended
        run.requested_percent = UNKNOWN_PERCENT
        lease_table.add(run)
        return run

    def plan_runs(self, lease_table: LeaseTable, now: float) -> list[PlannedRun]:
        """Choose the runs to start now, and add them to the lease table as planned.

        Parameters
        ----------
        lease_table : LeaseTable
            Runs that may be going on.
        now : float
            Time in seconds since the epoch.

        Returns
        -------
        list of PlannedRun
            Runs to commit and then start.
        """
        self._update_ready(lease_table, now)
        self.backlog.lease_table = lease_table
        self._quotas.clear_kept()
        leaving = self._evacuation.list_leaving(lease_table)
        pools = self._list_pools(leaving, lease_table, now)
        self._planner.begin(
            self.due_for_maintenance, now, has_cold=self._lister.has_cold(now)
        )
        waiting = self._order.sort(pools, now)
        lasting = [item for item in waiting if item[0].is_lasting]
        planned: list[PlannedRun] = []
        for item in lasting:
            planned += self._plan_jobs([item], lease_table, now, lasting=True)
            self._reserve(*item, lease_table)
        self._plan_moves(leaving, pools, lease_table)
        transient = [item for item in waiting if item[0].is_transient]
        return planned + self._plan_jobs(transient, lease_table, now, lasting=False)

    def plan_moves(self, lease_table: LeaseTable, now: float) -> list[PlannedMove]:
        """Choose the lasting runs that may leave evacuated data centres now.

        Waiting lasting tasks get room first, as in a pass.

        Parameters
        ----------
        lease_table : LeaseTable
            Runs that may be going on.
        now : float
            Time in seconds.

        Returns
        -------
        list of PlannedMove
            Runs to stop.
        """
        leaving = self._evacuation.list_leaving(lease_table)
        if not leaving:
            return []
        self._update_ready(lease_table, now)
        self._quotas.clear_kept()
        pools = self._list_pools(leaving, lease_table, now)
        for item in self._order.sort(pools, now):
            if item[0].is_lasting:
                self._reserve(*item, lease_table)
        return self._plan_moves(leaving, pools, lease_table)

    def _plan_moves(
        self,
        leaving: Sequence[LeavingStep],
        pools: Mapping[str, CandidatePool],
        lease_table: LeaseTable,
    ) -> list[PlannedMove]:
        pools_by_job: dict[str, CandidatePool] = {}
        for item in leaving:
            workload = self._workloads.jobs[item.runs[0].task.job]
            pool = pools.get(self.find_service(workload))
            if pool is not None:
                pools_by_job[workload.job] = pool
        return self._evacuation.plan(
            leaving, pools_by_job, lease_table, self.due_for_maintenance
        )

    def _list_pools(
        self, leaving: Sequence[LeavingStep], lease_table: LeaseTable, now: float
    ) -> dict[str, CandidatePool]:
        jobs = self._workloads.jobs
        services = {self.find_service(jobs[item.runs[0].task.job]) for item in leaving}
        return self._lister.list_pools(lease_table, self._closed, now, leaving=services)

    def _plan_jobs(
        self,
        waiting: Iterable[tuple[ReadyJob, CandidatePool]],
        lease_table: LeaseTable,
        now: float,
        *,
        lasting: bool,
    ) -> list[PlannedRun]:
        """Plan either the lasting or the transient tasks of jobs."""
        planned: list[PlannedRun] = []
        for job, pool in waiting:
            if pool.has_room(job.least):
                planned += self._planner.plan_job(
                    job, pool, lease_table, now, lasting=lasting
                )
            if not job.tasks:
                self._waiting.remove(job.workload.job)
        return planned

    def _reserve(
        self, job: ReadyJob, pool: CandidatePool, lease_table: LeaseTable
    ) -> None:
        """Keep room and quota for the lasting tasks of a job that can't start yet.

        Without this, smaller tasks would take each part as it becomes free. Both are
        kept at once: a task that waits for one of them would lose the other.
        """
        workload = job.workload
        if self._declarations.get_advice(workload.queue) is not None:
            return
        for tasks in job.tasks.values():
            step = workload.steps[tasks[0].step]
            if not step.lasting:
                continue
            in_use = dict(lease_table.lasting_usage_by_team)
            in_use[workload.team] = self._quotas.add_kept(workload.team, in_use)
            count = self._quotas.charge(workload.team, step, len(tasks), in_use)
            if step.gang and count < len(tasks):
                continue
            limit = SpreadLimit(step, tasks[0], lease_table)
            count = pool.reserve(step, count, limit.count_allowed)
            self._quotas.keep(workload.team, step.need * count)

    def add_demand(
        self,
        demands: Mapping[str, PoolDemand],
        lease_table: LeaseTable,
        is_deferred: IsDeferred | None = None,
    ) -> None:
        """Add running and ready tasks to the demand of each pool.

        Tasks that exceed the quota of their team are not counted.

        Parameters
        ----------
        demands : Mapping of str to PoolDemand
            Demand by service.
        lease_table : LeaseTable
            Runs that may be going on.
        is_deferred : Callable, optional
            Tells whether a job, whose critical path may be known, will be late in any
            case; by default no job is.
        """
        self._demand.add_demand(demands, self._waiting, lease_table, is_deferred)

    def _update_ready(self, lease_table: LeaseTable, now: float) -> None:
        for job in self._stale:
            workload = self._workloads.open_jobs.get(job)
            if workload is None:
                self._waiting.remove(job)
                continue
            ready = list_ready(workload, lease_table, now)
            waiting = make_ready_job(workload, ready)
            if waiting is None:
                self._waiting.remove(job)
            else:
                self._waiting.put(waiting)
            due = find_next_occurrence(workload, now)
            self._next_due = min(self._next_due, due)
        self._stale.clear()

    def find_slack(self, workload: Workload) -> float:
        """Return the seconds that a job can wait and still meet its objective."""
        queue = self._declarations.get_queue(workload.queue)
        return self._urgency.find_slack(workload, queue) if queue else 0.0

    def find_mean_duration(self, workload: Workload) -> float | None:
        """Return the mean task duration of a job's queue in seconds."""
        return self._urgency.find_mean_duration(workload.queue)

    def count_durations(self, queue: str) -> int:
        """Return the number of tasks of a queue whose durations are known."""
        return self._urgency.count_durations(queue)

    def has_free_capacity(
        self,
        workload: Workload,
        lease_table: LeaseTable,
        now: float,
        *,
        is_trial: bool = False,
    ) -> bool:
        """Tell whether all ready tasks of a job, accepted or not, have room now.

        A trial changes nothing of what the passes keep.
        """
        closed = self._closed
        service = self.find_service(workload)
        return self._lister.has_room_for_job(
            workload, service, lease_table, closed, now, is_trial=is_trial
        )

    def read_pool(self, service: str, lease_table: LeaseTable) -> PoolSnapshot:
        """Return what placements in the pool of a service depend on.

        Parameters
        ----------
        service : str
            The service.
        lease_table : LeaseTable
            Instances and the runs that may be going on there.

        Returns
        -------
        PoolSnapshot
            Views for reading, and copies of what a pass changes.
        """
        quotas = self._quotas.copy()
        return PoolSnapshot(
            instances=[
                view
                for view in lease_table.instances.values()
                if view.registered.service == service
            ],
            withheld=self._lister.find_withheld(service),
            cordoned=self.cordoned,
            moving=self.changing_pool | self.released,
            due_for_maintenance=self.due_for_maintenance,
            usage_by_team=lease_table.usage_by_team,
            quotas=quotas,
            planner=self._planner.copy(quotas.has_quota),
        )

    def preview_order(
        self, workload: Workload, pool: CandidatePool, now: float
    ) -> OrderPreview | None:
        """Return the place of a job that is not accepted in the order under overload.

        Parameters
        ----------
        workload : Workload
            The job, due now.
        pool : CandidatePool
            Candidates of its service, apart from those that the passes keep.
        now : float
            Time in seconds.

        Returns
        -------
        OrderPreview or None
            The place; None if its queue has no objective or no known durations, or if
            it is lasting or recurring, so that the order does not apply.
        """
        queue = self._declarations.get_queue(workload.queue)
        job = make_ready_job(workload, list_ready(workload, LeaseTable(), now))
        if queue is None or job is None or job.path.is_open_ended:
            return None
        if not self.backlog.can_view(queue):
            return None
        return self._order.overload.preview(job, queue, pool, now)

    def predict_job(self, workload: Workload) -> float:
        """Return the predicted duration of a job without waits in seconds, or 0."""
        return self._urgency.predict_job(workload)

    def record_duration(self, task: TaskKey, seconds: float) -> None:
        """Record the duration of a task in the statistics of its queue."""
        workload = self._workloads.jobs.get(task.job)
        if workload is not None:
            self._urgency.record_duration(workload, task.step, seconds)

    def record_overhead(self, seconds: float) -> None:
        """Record for how long a finished run held its place without running."""
        self._urgency.record_overhead(seconds)

    def find_service(self, workload: Workload) -> str:
        """Return the service that runs a job under the declaration in force."""
        queue = self._declarations.get_queue(workload.queue)
        return queue.service if queue else workload.service

    def can_move(self, run: RunView, lease_table: LeaseTable, now: float) -> bool:
        """Tell whether an instance that stays has room for the task of a run.

        Parameters
        ----------
        run : RunView
            Run of a lasting task.
        lease_table : LeaseTable
            Runs that may be going on.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether the task can start there once the run is stopped.
        """
        workload = self._workloads.jobs.get(run.task.job)
        if workload is None:
            return False
        return self._lister.has_room_for(
            run.task,
            workload.steps[run.task.step],
            self.find_service(workload),
            lease_table,
            self._closed,
            self.due_for_maintenance,
            now,
        )

    def list_open_instances(
        self, lease_table: LeaseTable, now: float
    ) -> dict[str, list[InstanceView]]:
        """Return the instances that take new tasks if they have room, by service."""
        return self._lister.list_open(lease_table, self._closed, now)

    def describe_lasting(
        self, run: RunView, lease_table: LeaseTable
    ) -> LastingTask | None:
        """Describe the task of a lasting run that has to leave its machine.

        Parameters
        ----------
        run : RunView
            The run.
        lease_table : LeaseTable
            Runs that may be going on.

        Returns
        -------
        LastingTask or None
            The task; None if its job has ended, so that it needs no place.
        """
        workload = self._workloads.open_jobs.get(run.task.job)
        if workload is None:
            return None
        quota = self._quotas.get_quota(workload.team)
        used = lease_table.usage_by_team.get(workload.team, Resources())
        return LastingTask(
            run.task,
            workload.steps[run.task.step],
            self.find_service(workload),
            run,
            has_quota=is_within_quota(used, quota),
        )

    def has_waiting_lasting(self) -> bool:
        """Tell whether lasting tasks waited at the latest pass."""
        return any(group.is_lasting for group in self._waiting.list_groups())

    def list_waiting_lasting(
        self, lease_table: LeaseTable, now: float
    ) -> list[LastingTask]:
        """Return the lasting tasks that wait for room only.

        Parameters
        ----------
        lease_table : LeaseTable
            Runs that may be going on.
        now : float
            Time in seconds.

        Returns
        -------
        list of LastingTask
            The tasks within the quotas of their teams.
        """
        self._update_ready(lease_table, now)
        used = dict(lease_table.usage_by_team)
        listed: list[LastingTask] = []
        for group in self._waiting.list_groups():
            for name in sorted(group.lasting_jobs):
                workload = group.jobs[name].workload
                service = self.find_service(workload)
                for tasks in group.jobs[name].tasks.values():
                    step = workload.steps[tasks[0].step]
                    if not step.lasting:
                        continue
                    count = self._quotas.charge(workload.team, step, len(tasks), used)
                    listed += [
                        LastingTask(task, step, service) for task in tasks[:count]
                    ]
        return listed

    def has_run_before(self, task: TaskKey) -> bool:
        """Tell whether a run of a task has been placed before."""
        workload = self._workloads.jobs.get(task.job)
        record = workload.tasks.get(task[1:]) if workload else None
        return record is not None and record.run > 0

    def _has_quota(
        self, team: str, step: Step, usage_by_team: Mapping[str, Resources]
    ) -> bool:
        return self._quotas.has_quota(team, step, usage_by_team)
