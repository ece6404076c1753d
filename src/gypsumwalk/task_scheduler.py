"""Scheduler of a fleet: which ready tasks start now, and on which instances."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from sys import maxsize

from gypsumwalk.advice import MAX_ASKED, AdviceCache, AdviceQuery, name_step
from gypsumwalk.declaration_records import DeclaredQueue, Resources
from gypsumwalk.declarations import DeclarationSection
from gypsumwalk.leases import (
    UNKNOWN_PERCENT,
    InstanceView,
    LeaseTable,
    RunState,
    RunView,
)
from gypsumwalk.part import NEVER
from gypsumwalk.pooling import PoolDemand
from gypsumwalk.ready_tasks import (
    ReadyJob,
    ReadyJobs,
    find_least,
    make_ready_job,
)
from gypsumwalk.task_placement import Candidate, CandidatePool, find_need, list_ready
from gypsumwalk.urgency import UrgencyEstimator
from gypsumwalk.workload_records import Placement, Step, TaskKey, Workload
from gypsumwalk.workloads import WorkloadSection

__all__ = ["PlannedRun", "TaskScheduler", "is_within_quota"]


_Rank = tuple[int, int, float, str]
"""Priority and urgency of a job."""

_Check = Callable[[Candidate], bool]
"""Tells whether a task may run on an instance that has the resources."""


@dataclass(frozen=True, slots=True)
class PlannedRun:
    """A run to start, and its placement for the replicated log."""

    run: RunView
    placement: Placement


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
    """

    def __init__(
        self,
        declarations: DeclarationSection,
        workloads: WorkloadSection,
        advice: AdviceCache,
    ) -> None:
        self.cordoned: set[str] = set()
        """Machines that get no new work because a wave takes them down next."""
        self.due_for_maintenance: set[str] = set()
        """Machines that get no lasting task if another one has room, as a wave takes
        them down later."""
        self.changing_pool: set[str] = set()
        """Machines that get no new work because they are moving to another pool."""
        self.wanted_advice: list[AdviceQuery] = []
        """Advice that tasks wait for, in the order in which the tasks are scheduled."""
        self._declarations = declarations
        self._workloads = workloads
        self._advice = advice
        self._urgency = UrgencyEstimator()
        self._waiting = ReadyJobs()
        self._stale: set[str] = set()
        self._next_due = NEVER
        self._kept_quota: dict[str, Resources] = {}
        """What the pass keeps of the quota of each team for lasting tasks."""

    def reset(self) -> None:
        """Discard cached state at the start of a term and mark all open jobs stale."""
        self._waiting.clear()
        self._stale = set(self._workloads.open_jobs)
        self._next_due = NEVER

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
        run = _make_run(workload, placement, RunState.UNCONFIRMED)
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
        self.wanted_advice.clear()
        self._kept_quota.clear()
        pools = self._list_pools(lease_table, now)
        waiting = self._sort_waiting(pools, now)
        lasting = [item for item in waiting if item[0].is_lasting]
        planned: list[PlannedRun] = []
        for item in lasting:
            planned += self._plan_jobs([item], lease_table, now, lasting=True)
            self._reserve(*item, lease_table)
        transient = [item for item in waiting if item[0].is_transient]
        return planned + self._plan_jobs(transient, lease_table, now, lasting=False)

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
                planned += self._plan_job(job, pool, lease_table, now, lasting=lasting)
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
            in_use[workload.team] = self._add_kept(workload.team, in_use)
            count = self._reserve_quota(workload.team, step, len(tasks), in_use)
            if step.gang and count < len(tasks):
                continue
            limit = _SpreadLimit(step, tasks[0], lease_table)
            count = pool.reserve(step, count, limit.count_allowed)
            kept = self._kept_quota.get(workload.team, Resources())
            self._kept_quota[workload.team] = kept + step.need * count

    def _add_kept(self, team: str, usage_by_team: Mapping[str, Resources]) -> Resources:
        """Return the usage of a team with the quota that is kept for lasting tasks."""
        kept = self._kept_quota.get(team, Resources())
        return usage_by_team.get(team, Resources()) + kept

    def add_demand(
        self, demands: Mapping[str, PoolDemand], lease_table: LeaseTable
    ) -> None:
        """Add running and ready tasks to the demand of each pool.

        Tasks that exceed the quota of their team are not counted.

        Parameters
        ----------
        demands : Mapping of str to PoolDemand
            Demand by service.
        lease_table : LeaseTable
            Runs that may be going on.
        """
        for job in lease_table.list_jobs():
            workload = self._workloads.jobs.get(job)
            demand = demands.get(self.find_service(workload)) if workload else None
            if workload is not None and demand is not None:
                for run in lease_table.list_runs_of_job(job):
                    step = workload.steps[run.task.step]
                    _add_tasks(demand, step, run.need.cpu, 1)
        used = dict(lease_table.usage_by_team)
        for waiting in self._waiting:
            demand = demands.get(self.find_service(waiting.workload))
            if demand is not None:
                self._add_waiting(demand, waiting, used)

    def _add_waiting(
        self, demand: PoolDemand, waiting: ReadyJob, used: dict[str, Resources]
    ) -> None:
        workload = waiting.workload
        for (_, number), tasks in waiting.tasks.items():
            step = workload.steps[number]
            count = self._reserve_quota(workload.team, step, len(tasks), used)
            if count:
                _add_tasks(demand, step, find_need(step).cpu, count)
            if count < len(tasks):
                return

    def _reserve_quota(
        self, team: str, step: Step, count: int, used: dict[str, Resources]
    ) -> int:
        """Charge up to a number of tasks to a quota; return how many fit."""
        declared = self._declarations.get_team(team)
        in_use = used.get(team, Resources())
        if declared is not None:
            count = _count_within_quota(in_use, step.need, declared.quota, count)
        used[team] = in_use + step.need * count
        return count

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
            self._update_next_due(workload, now)
        self._stale.clear()

    def _update_next_due(self, workload: Workload, now: float) -> None:
        for occurrence in range(workload.occurrences):
            due = workload.first_run + occurrence * workload.interval
            if due > now:
                self._next_due = min(self._next_due, due)
                return

    def _sort_waiting(
        self, pools: Mapping[str, CandidatePool], now: float
    ) -> list[tuple[ReadyJob, CandidatePool]]:
        """List the jobs that may get room, most urgent first, with their pools."""
        listed: list[tuple[_Rank, ReadyJob, CandidatePool]] = []
        for group in self._waiting.list_groups():
            any_job = next(iter(group.jobs.values()))
            pool = pools.get(self.find_service(any_job.workload))
            if pool is None:
                continue
            has_room = pool.has_room(group.least)
            if not has_room and not group.is_lasting:
                continue
            queue = self._declarations.get_queue(any_job.workload.queue)
            for job in group.jobs.values():
                if has_room or job.is_lasting:
                    listed.append((self._rank(job, queue, now), job, pool))
        listed.sort(key=lambda item: item[0])
        return [(job, pool) for _, job, pool in listed]

    def _rank(self, job: ReadyJob, queue: DeclaredQueue | None, now: float) -> _Rank:
        workload = job.workload
        if queue is None:
            return 0, 0, workload.accepted, workload.job
        urgency = self._urgency.rate(workload, queue, now, job.path)
        return queue.priority, urgency.tier, urgency.sort_key, workload.job

    def find_slack(self, workload: Workload) -> float:
        """Return the seconds that a job can wait and still meet its objective."""
        queue = self._declarations.get_queue(workload.queue)
        return self._urgency.find_slack(workload, queue) if queue else 0.0

    def find_mean_duration(self, workload: Workload) -> float | None:
        """Return the mean task duration of a job's queue in seconds."""
        return self._urgency.find_mean_duration(workload.queue)

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

    def _list_pools(
        self, lease_table: LeaseTable, now: float
    ) -> dict[str, CandidatePool]:
        """Return the instances that may take a waiting task, by service."""
        least_needs = self._find_least_needs()
        # Full instances count as well where transient runs may have to make room.
        reserving = {
            self.find_service(next(iter(group.jobs.values())).workload)
            for group in self._waiting.list_groups()
            if group.is_lasting
        }
        listed: dict[str, list[Candidate]] = {}
        if not least_needs:
            return {}
        for view in lease_table.instances.values():
            registered = view.registered
            least = least_needs.get(registered.service)
            if least is None or not self._can_schedule_on(view, now):
                continue
            free = registered.capacity - view.used
            if least.fits(free) or registered.service in reserving:
                candidate = Candidate(view, free, view.latency_sensitive_runs)
                listed.setdefault(registered.service, []).append(candidate)
        return {service: CandidatePool(items) for service, items in listed.items()}

    def _find_least_needs(self) -> dict[str, Resources]:
        """Return lower bounds of what a waiting task reserves, by service."""
        needs: dict[str, Resources] = {}
        for group in self._waiting.list_groups():
            any_job = next(iter(group.jobs.values()))
            service = self.find_service(any_job.workload)
            needs[service] = find_least([needs.get(service, group.least), group.least])
        return needs

    def _can_schedule_on(self, view: InstanceView, now: float) -> bool:
        if view.registered.draining or self._is_unschedulable(view.registered.machine):
            return False
        return view.is_responsive and now >= view.start_backoff_until

    def _is_unschedulable(self, machine: str) -> bool:
        return bool(machine) and (
            machine in self.cordoned or machine in self.changing_pool
        )

    def _plan_job(
        self,
        job: ReadyJob,
        pool: CandidatePool,
        lease_table: LeaseTable,
        now: float,
        *,
        lasting: bool,
    ) -> list[PlannedRun]:
        workload = job.workload
        planned: list[PlannedRun] = []
        for key, tasks in list(job.tasks.items()):
            step = workload.steps[tasks[0].step]
            if step.lasting is not lasting or not pool.has_room(find_need(step)):
                continue
            is_allowed = self._make_advice_check(workload, tasks[0], now)
            plan = self._plan_gang if step.gang else self._plan_tasks
            chosen = plan(workload, tasks, pool, lease_table, is_allowed)
            if len(chosen) == len(tasks):
                del job.tasks[key]
            else:
                self._request_advice(workload, tasks[0], pool, now)
                del tasks[: len(chosen)]
            planned += chosen
        if not job.tasks:
            self._waiting.remove(workload.job)
        return planned

    def _make_advice_check(
        self, workload: Workload, task: TaskKey, now: float
    ) -> _Check:
        """Return a check for a valid ticket; it is always true if none is required."""
        if self._declarations.get_advice(workload.queue) is None:
            return _allow_any
        name = name_step(task.job, task.occurrence, task.step)

        def has_ticket(item: Candidate) -> bool:
            life = item.view.registered.life
            return bool(self._advice.find_ticket(name, life, now))

        return has_ticket

    def _request_advice(
        self, workload: Workload, task: TaskKey, pool: CandidatePool, now: float
    ) -> None:
        """Ask for advice on the instances with capacity if the queue requires it."""
        policy = self._declarations.get_advice(workload.queue)
        if policy is None:
            return
        step = workload.steps[task.step]
        name = name_step(task.job, task.occurrence, task.step)
        fitting = pool.list_fitting(step)
        fitting.sort(
            key=lambda item: (
                step.data_rack not in item.view.registered.labels,
                item.free.cpu,
            )
        )
        lives = [item.view.registered.life for item in fitting]
        unknown = self._advice.list_unknown(name, lives, now)[:MAX_ASKED]
        if unknown:
            self.wanted_advice.append(AdviceQuery(name, policy, tuple(unknown)))

    def _plan_tasks(
        self,
        workload: Workload,
        tasks: list[TaskKey],
        pool: CandidatePool,
        lease_table: LeaseTable,
        is_allowed: _Check,
        rack: str = "",
    ) -> list[PlannedRun]:
        planned: list[PlannedRun] = []
        step = workload.steps[tasks[0].step]
        limit = _SpreadLimit(step, tasks[0], lease_table)
        gang_run = _number_gang_run(workload, tasks) if step.gang else 0
        for task in tasks:
            if not self._has_quota(workload.team, step, lease_table.usage_by_team):
                break
            chosen = self._choose(step, pool, limit, is_allowed, rack)
            if chosen is None:
                break
            limit.count(chosen)
            number = gang_run or _number_run(workload, task)
            placement = Placement(task, number, chosen.view.registered.life)
            run = _make_run(workload, placement, RunState.PLANNED)
            lease_table.add(run)
            pool.take(chosen, run.need)
            planned.append(PlannedRun(run, placement))
        return planned

    def _choose(
        self,
        step: Step,
        pool: CandidatePool,
        limit: "_SpreadLimit",
        is_allowed: _Check,
        rack: str,
    ) -> Candidate | None:
        """Choose an instance for a task; a lasting one avoids machines of a wave."""

        def allows(item: Candidate) -> bool:
            return limit.allows(item) and is_allowed(item)

        if step.lasting and self.due_for_maintenance:
            due = self.due_for_maintenance
            chosen = pool.choose(
                step,
                lambda item: item.view.registered.machine not in due and allows(item),
                rack,
            )
            if chosen is not None:
                return chosen
        return pool.choose(step, allows, rack)

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
        service, step = self.find_service(workload), workload.steps[run.task.step]
        limit = _SpreadLimit(step, run.task, lease_table)
        for view in lease_table.instances.values():
            registered = view.registered
            if registered.service != service or not self._can_schedule_on(view, now):
                continue
            if registered.machine in self.due_for_maintenance:
                continue
            candidate = Candidate(view, registered.capacity - view.used)
            if candidate.can_take(step) and limit.allows(candidate):
                return True
        return False

    def _plan_gang(
        self,
        workload: Workload,
        tasks: list[TaskKey],
        pool: CandidatePool,
        lease_table: LeaseTable,
        is_allowed: _Check,
    ) -> list[PlannedRun]:
        if len(tasks) < workload.steps[tasks[0].step].count:
            return []

        def is_in_rack(item: Candidate) -> bool:
            return item.view.registered.rack == rack and is_allowed(item)

        for rack in pool.list_racks():
            if planned := self._plan_gang_on(
                workload, tasks, pool, lease_table, is_in_rack, rack
            ):
                return planned
        return self._plan_gang_on(workload, tasks, pool, lease_table, is_allowed, "")

    def _plan_gang_on(
        self,
        workload: Workload,
        tasks: list[TaskKey],
        pool: CandidatePool,
        lease_table: LeaseTable,
        is_allowed: _Check,
        rack: str,
    ) -> list[PlannedRun]:
        planned = self._plan_tasks(workload, tasks, pool, lease_table, is_allowed, rack)
        if len(planned) == len(tasks):
            return planned
        for item in planned:
            lease_table.remove(item.run)
            pool.give_back(item.run.life, item.run.need)
        return []

    def _has_quota(
        self, team: str, step: Step, usage_by_team: Mapping[str, Resources]
    ) -> bool:
        declared = self._declarations.get_team(team)
        if declared is None:
            return True
        used = self._add_kept(team, usage_by_team) + step.need
        return is_within_quota(used, declared.quota)


def is_within_quota(used: Resources, quota: Resources) -> bool:
    """Tell whether usage is within a quota, where 0 means unlimited.

    Parameters
    ----------
    used : Resources
        Resources in use.
    quota : Resources
        Upper limits.

    Returns
    -------
    bool
        Whether no limit is exceeded.
    """
    return (
        (not quota.cpu or used.cpu <= quota.cpu)
        and (not quota.memory or used.memory <= quota.memory)
        and (not quota.accelerators or used.accelerators <= quota.accelerators)
    )


def _add_tasks(demand: PoolDemand, step: Step, cpu: int, count: int) -> None:
    if not step.lasting:
        demand.transient += cpu * count
        return
    demand.lasting += cpu * count
    if step.max_per_instance:
        machines = -(-step.count // step.max_per_instance)
        demand.min_machines = max(demand.min_machines, machines)


def _make_run(workload: Workload, placement: Placement, state: RunState) -> RunView:
    step = workload.steps[placement.task.step]
    return RunView(
        task=placement.task,
        run=placement.run,
        life=placement.life,
        need=find_need(step),
        team=workload.team,
        quota_charge=step.need,
        state=state,
        has_latency_target=step.has_latency_target,
        is_lasting=step.lasting,
    )


class _SpreadLimit:
    """Limit of the tasks of a step and occurrence on one instance."""

    def __init__(self, step: Step, task: TaskKey, lease_table: LeaseTable) -> None:
        self._most = step.max_per_instance
        self._counts: Counter[str] = Counter()
        if self._most:
            for run in lease_table.list_runs_of_job(task.job):
                if run.task[:3] == task[:3]:
                    self._counts[run.life] += 1

    def allows(self, item: Candidate) -> bool:
        """Tell whether an instance may take one more task."""
        return self.count_allowed(item) > 0

    def count_allowed(self, item: Candidate) -> int:
        """Return how many more tasks an instance may take."""
        if not self._most:
            return maxsize
        return self._most - self._counts[item.view.registered.life]

    def count(self, item: Candidate) -> None:
        """Count one more task on an instance."""
        if self._most:
            self._counts[item.view.registered.life] += 1


def _number_gang_run(workload: Workload, tasks: list[TaskKey]) -> int:
    """Return the number of the next run that all members of a gang share."""
    return max(_number_run(workload, task) for task in tasks)


def _number_run(workload: Workload, task: TaskKey) -> int:
    record = workload.tasks.get((task.occurrence, task.step, task.number))
    return (record.run if record else 0) + 1


def _allow_any(_: Candidate) -> bool:
    return True


def _count_within_quota(
    used: Resources, need: Resources, quota: Resources, count: int
) -> int:
    """Return how many tasks can be added one by one within a quota."""
    for in_use, added, limit in (
        (used.cpu, need.cpu, quota.cpu),
        (used.memory, need.memory, quota.memory),
        (used.accelerators, need.accelerators, quota.accelerators),
    ):
        if limit and in_use + added > limit:
            return 0
        if limit and added:
            count = min(count, (limit - in_use) // added)
    return count
