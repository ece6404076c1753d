"""Scheduler of a fleet: which ready tasks start now, and on which instances."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from gypsumwalk.advice import MAX_ASKED, AdviceCache, AdviceQuery, name_step
from gypsumwalk.declaration_records import Resources
from gypsumwalk.declarations import DeclarationSection
from gypsumwalk.leases import LeaseTable, RunState, RunView
from gypsumwalk.part import NEVER
from gypsumwalk.pooling import PoolDemand
from gypsumwalk.task_placement import Candidate, choose_instance, find_need, list_ready
from gypsumwalk.urgency import UrgencyEstimator
from gypsumwalk.workload_records import Placement, Step, TaskKey, Workload
from gypsumwalk.workloads import WorkloadSection

__all__ = ["PlannedRun", "TaskScheduler", "is_within_quota"]


@dataclass(frozen=True, slots=True)
class PlannedRun:
    """A run to start, and its placement for the replicated log."""

    run: RunView
    placement: Placement


class TaskScheduler:
    """Schedules tasks by priority and urgency, within capacity, quotas and spread.

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
        self.changing_pool: set[str] = set()
        """Machines that get no new work because they are moving to another pool."""
        self.wanted_advice: list[AdviceQuery] = []
        """Advice that tasks wait for, in the order in which the tasks are scheduled."""
        self._declarations = declarations
        self._workloads = workloads
        self._advice = advice
        self._urgency = UrgencyEstimator()
        self._ready: dict[str, list[TaskKey]] = {}
        self._stale: set[str] = set()
        self._next_due = NEVER

    def reset(self) -> None:
        """Discard cached state at the start of a term and mark all open jobs stale."""
        self._ready.clear()
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

    def restore_run(self, placement: Placement, lease_table: LeaseTable) -> None:
        """Add a run that an earlier leader placed, as unconfirmed.

        Parameters
        ----------
        placement : Placement
            Its placement.
        lease_table : LeaseTable
            Lease table of the current leader.
        """
        workload = self._workloads.jobs[placement.task.job]
        run = _make_run(workload, placement, RunState.UNCONFIRMED)
        run.is_stopping = workload.has_ended
        lease_table.add(run)

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
        pools = self._list_candidates(lease_table, now)
        planned: list[PlannedRun] = []
        for workload in self._sort_waiting(now):
            candidates = pools.get(self.find_service(workload), {})
            if candidates:
                planned += self._plan_job(workload, candidates, lease_table, now)
        return planned

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
        for run in lease_table.list_runs():
            workload = self._workloads.jobs.get(run.task.job)
            demand = demands.get(self.find_service(workload)) if workload else None
            if workload is not None and demand is not None:
                step = workload.steps[run.task.step]
                _add_tasks(demand, step, run.need.cpu, 1)
        used = dict(lease_table.usage_by_team)
        for job, tasks in self._ready.items():
            workload = self._workloads.open_jobs.get(job)
            demand = demands.get(self.find_service(workload)) if workload else None
            if workload is None or demand is None:
                continue
            for task in tasks:
                step = workload.steps[task.step]
                if not self._reserve_quota(workload.team, step, used):
                    break
                _add_tasks(demand, step, find_need(step).cpu, 1)

    def _reserve_quota(self, team: str, step: Step, used: dict[str, Resources]) -> bool:
        declared = self._declarations.get_team(team)
        total = used.get(team, Resources()) + step.need
        if declared is not None and not is_within_quota(total, declared.quota):
            return False
        used[team] = total
        return True

    def _update_ready(self, lease_table: LeaseTable, now: float) -> None:
        for job in self._stale:
            workload = self._workloads.open_jobs.get(job)
            ready = list(list_ready(workload, lease_table, now)) if workload else []
            if ready:
                self._ready[job] = ready
            else:
                self._ready.pop(job, None)
            if workload:
                self._update_next_due(workload, now)
        self._stale.clear()

    def _update_next_due(self, workload: Workload, now: float) -> None:
        for occurrence in range(workload.occurrences):
            due = workload.first_run + occurrence * workload.interval
            if due > now:
                self._next_due = min(self._next_due, due)
                return

    def _sort_waiting(self, now: float) -> list[Workload]:
        waiting = [self._workloads.open_jobs[job] for job in self._ready]
        return sorted(waiting, key=lambda workload: self._rank(workload, now))

    def _rank(self, workload: Workload, now: float) -> tuple[int, int, float, str]:
        queue = self._declarations.get_queue(workload.queue)
        if queue is None:
            return 0, 0, workload.accepted, workload.job
        urgency = self._urgency.rate(workload, queue, now)
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

    def find_service(self, workload: Workload) -> str:
        """Return the service that runs a job under the declaration in force."""
        queue = self._declarations.get_queue(workload.queue)
        return queue.service if queue else workload.service

    def _list_candidates(
        self, lease_table: LeaseTable, now: float
    ) -> dict[str, dict[str, Candidate]]:
        pools: dict[str, dict[str, Candidate]] = {}
        for life, view in lease_table.instances.items():
            registered = view.registered
            if registered.draining:
                continue
            if self._is_unschedulable(registered.machine):
                continue
            if not view.is_responsive or now < view.start_backoff_until:
                continue
            free = registered.capacity - view.used
            latency_sensitive_runs = sum(
                self._has_latency_target(run) for run in view.runs.values()
            )
            pool = pools.setdefault(registered.service, {})
            pool[life] = Candidate(view, free, latency_sensitive_runs)
        return pools

    def _is_unschedulable(self, machine: str) -> bool:
        return bool(machine) and (
            machine in self.cordoned or machine in self.changing_pool
        )

    def _has_latency_target(self, run: RunView) -> bool:
        step = self._workloads.find_step(run.task)
        return step is not None and step.has_latency_target

    def _plan_job(
        self,
        workload: Workload,
        candidates: dict[str, Candidate],
        lease_table: LeaseTable,
        now: float,
    ) -> list[PlannedRun]:
        planned: list[PlannedRun] = []
        ready = self._ready.pop(workload.job)
        remaining: list[TaskKey] = []
        steps: dict[tuple[int, int], list[TaskKey]] = {}
        for task in ready:
            steps.setdefault((task.occurrence, task.step), []).append(task)
        for tasks in steps.values():
            step = workload.steps[tasks[0].step]
            allowed = self._list_allowed(workload, tasks[0], candidates, now)
            if step.gang:
                chosen = self._plan_gang(workload, step, tasks, allowed, lease_table)
            else:
                chosen = self._plan_tasks(workload, step, tasks, allowed, lease_table)
            if len(chosen) < len(tasks):
                self._request_advice(workload, tasks[0], candidates, now)
            remaining += tasks[len(chosen) :]
            planned += chosen
        if remaining:
            self._ready[workload.job] = remaining
        return planned

    def _list_allowed(
        self,
        workload: Workload,
        task: TaskKey,
        candidates: dict[str, Candidate],
        now: float,
    ) -> dict[str, Candidate]:
        """Return the candidates with a valid ticket, or all if none is required."""
        if self._declarations.get_advice(workload.queue) is None:
            return candidates
        name = name_step(task.job, task.occurrence, task.step)
        return {
            life: item
            for life, item in candidates.items()
            if self._advice.find_ticket(name, life, now)
        }

    def _request_advice(
        self,
        workload: Workload,
        task: TaskKey,
        candidates: dict[str, Candidate],
        now: float,
    ) -> None:
        """Ask for advice on the instances with capacity if the queue requires it."""
        policy = self._declarations.get_advice(workload.queue)
        if policy is None:
            return
        step = workload.steps[task.step]
        name = name_step(task.job, task.occurrence, task.step)
        fitting = [item for item in candidates.values() if item.can_take(step)]
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
        step: Step,
        tasks: list[TaskKey],
        candidates: dict[str, Candidate],
        lease_table: LeaseTable,
    ) -> list[PlannedRun]:
        planned: list[PlannedRun] = []
        counts = _count_by_instance(tasks[0], lease_table)
        for task, number in zip(
            tasks, _number_runs(workload, step, tasks), strict=True
        ):
            if not self._has_quota(workload.team, step, lease_table):
                break
            chosen = choose_instance(
                step, candidates, lambda item: counts[item.view.registered.life]
            )
            if chosen is None:
                break
            counts[chosen.view.registered.life] += 1
            life = chosen.view.registered.life
            placement = Placement(task, number, life)
            run = _make_run(workload, placement, RunState.PLANNED)
            lease_table.add(run)
            chosen.free -= run.need
            planned.append(PlannedRun(run, placement))
        return planned

    def _plan_gang(
        self,
        workload: Workload,
        step: Step,
        tasks: list[TaskKey],
        candidates: dict[str, Candidate],
        lease_table: LeaseTable,
    ) -> list[PlannedRun]:
        if len(tasks) < step.count:
            return []
        racks = {item.view.registered.rack for item in candidates.values()}
        for rack in sorted(racks):
            in_rack = {
                life: item
                for life, item in candidates.items()
                if item.view.registered.rack == rack
            }
            if planned := self._plan_gang_on(
                workload, step, tasks, in_rack, lease_table
            ):
                return planned
        return self._plan_gang_on(workload, step, tasks, candidates, lease_table)

    def _plan_gang_on(
        self,
        workload: Workload,
        step: Step,
        tasks: list[TaskKey],
        candidates: dict[str, Candidate],
        lease_table: LeaseTable,
    ) -> list[PlannedRun]:
        planned = self._plan_tasks(workload, step, tasks, candidates, lease_table)
        if len(planned) == len(tasks):
            return planned
        for item in planned:
            lease_table.remove(item.run)
            candidate = candidates[item.run.life]
            candidate.free += item.run.need
        return []

    def _has_quota(self, team: str, step: Step, lease_table: LeaseTable) -> bool:
        declared = self._declarations.get_team(team)
        if declared is None:
            return True
        used = lease_table.usage_by_team.get(team, Resources()) + step.need
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
    )


def _count_by_instance(task: TaskKey, lease_table: LeaseTable) -> Counter[str]:
    counts: Counter[str] = Counter()
    for key, runs in lease_table.runs_by_task.items():
        if key[:3] == task[:3]:
            counts.update(run.life for run in runs.values())
    return counts


def _number_runs(workload: Workload, step: Step, tasks: list[TaskKey]) -> list[int]:
    numbers = []
    for task in tasks:
        record = workload.tasks.get((task.occurrence, task.step, task.number))
        numbers.append((record.run if record else 0) + 1)
    # All members of a gang share one run number.
    return [max(numbers)] * len(numbers) if step.gang else numbers
