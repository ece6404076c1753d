"""Scheduler of a fleet: which waiting tasks start now, and where."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from gypsumwalk.advice import MAX_ASKED, AdviceCache, AdviceQuery, name_step
from gypsumwalk.declaration_records import Resources
from gypsumwalk.declarations import DeclarationSection
from gypsumwalk.leases import LeaseBook, RunState, RunView
from gypsumwalk.part import NEVER
from gypsumwalk.placing import Candidate, choose_instance, find_need, list_ready
from gypsumwalk.pooling import PoolDemand
from gypsumwalk.urgency import Urgencies
from gypsumwalk.workload_records import Placement, Step, TaskKey, Workload
from gypsumwalk.workloads import WorkloadSection

__all__ = ["PlannedRun", "Scheduler", "is_within"]


@dataclass(frozen=True, slots=True)
class PlannedRun:
    """A run that was chosen, and its placement for the log."""

    run: RunView
    placement: Placement


class Scheduler:
    """Chooses runs by priority and age, within room, quotas and spreads.

    Parameters
    ----------
    declarations : DeclarationSection
        Declaration in force.
    workloads : WorkloadSection
        Jobs and instances.
    advice : AdviceCache
        Which instances may run steps of queues with advice.
    """

    def __init__(
        self,
        declarations: DeclarationSection,
        workloads: WorkloadSection,
        advice: AdviceCache,
    ) -> None:
        self.cordoned: set[str] = set()
        """Machines that get no new work, as a wave takes them down next."""
        self.leaving: set[str] = set()
        """Machines that get no new work, as they are changing their pool."""
        self.wishes: list[AdviceQuery] = []
        """Questions that would let tasks start that wait now, the first ones first."""
        self._declarations = declarations
        self._workloads = workloads
        self._advice = advice
        self._urgencies = Urgencies()
        self._ready: dict[str, list[TaskKey]] = {}
        self._stale: set[str] = set()
        self._next_time = NEVER

    def reset(self) -> None:
        """Look at every job anew, as another term has begun."""
        self._ready.clear()
        self._stale = set(self._workloads.open)
        self._next_time = NEVER

    def touch(self, job: str) -> None:
        """Look at a job anew in the next pass."""
        self._stale.add(job)

    def is_time_due(self, now: float) -> bool:
        """Tell whether an occurrence of a job has become due."""
        if now < self._next_time:
            return False
        self._next_time = NEVER
        self._stale |= set(self._workloads.open)
        return True

    def adopt(self, placement: Placement, book: LeaseBook) -> None:
        """Note a run that an earlier leader placed.

        Parameters
        ----------
        placement : Placement
            Its placement.
        book : LeaseBook
            Book of the present leader.
        """
        workload = self._workloads.jobs[placement.task.job]
        run = _make_run(workload, placement, RunState.UNCONFIRMED)
        run.stopping = workload.is_over
        book.add(run)

    def choose(self, book: LeaseBook, now: float) -> list[PlannedRun]:
        """Choose what starts now, and note it in the book as planned.

        Parameters
        ----------
        book : LeaseBook
            What may be running.
        now : float
            Time in seconds since the epoch.

        Returns
        -------
        list of PlannedRun
            The runs.
        """
        self._refresh(book, now)
        self.wishes.clear()
        pools = self._find_pools(book, now)
        planned: list[PlannedRun] = []
        for workload in self._sort_waiting(now):
            candidates = pools.get(self.find_service(workload), {})
            if candidates:
                planned += self._choose_for(workload, candidates, book, now)
        return planned

    def add_demand(self, demands: Mapping[str, PoolDemand], book: LeaseBook) -> None:
        """Add what runs and what could run now to the demand of each pool.

        Tasks that a quota keeps waiting ask for nothing.

        Parameters
        ----------
        demands : Mapping of str to PoolDemand
            Demand by service.
        book : LeaseBook
            What may be running.
        """
        for run in book.list_runs():
            workload = self._workloads.jobs.get(run.task.job)
            demand = demands.get(self.find_service(workload)) if workload else None
            if workload is not None and demand is not None:
                step = workload.steps[run.task.step]
                _add_tasks(demand, step, run.need.cpu, 1)
        used = dict(book.by_team)
        for job, tasks in self._ready.items():
            workload = self._workloads.open.get(job)
            demand = demands.get(self.find_service(workload)) if workload else None
            if workload is None or demand is None:
                continue
            for task in tasks:
                step = workload.steps[task.step]
                if not self._take_quota(workload.team, step, used):
                    break
                _add_tasks(demand, step, find_need(step).cpu, 1)

    def _take_quota(self, team: str, step: Step, used: dict[str, Resources]) -> bool:
        declared = self._declarations.get_team(team)
        total = used.get(team, Resources()) + step.need
        if declared is not None and not is_within(total, declared.quota):
            return False
        used[team] = total
        return True

    def _refresh(self, book: LeaseBook, now: float) -> None:
        for job in self._stale:
            workload = self._workloads.open.get(job)
            ready = list(list_ready(workload, book, now)) if workload else []
            if ready:
                self._ready[job] = ready
            else:
                self._ready.pop(job, None)
            if workload:
                self._note_next_time(workload, now)
        self._stale.clear()

    def _note_next_time(self, workload: Workload, now: float) -> None:
        for occurrence in range(workload.occurrences):
            due = workload.first_run + occurrence * workload.interval
            if due > now:
                self._next_time = min(self._next_time, due)
                return

    def _sort_waiting(self, now: float) -> list[Workload]:
        waiting = [self._workloads.open[job] for job in self._ready]
        return sorted(waiting, key=lambda workload: self._rank(workload, now))

    def _rank(self, workload: Workload, now: float) -> tuple[int, int, float, str]:
        queue = self._declarations.get_queue(workload.queue)
        if queue is None:
            return 0, 0, workload.accepted, workload.job
        urgency = self._urgencies.rate(workload, queue, now)
        return queue.priority, urgency.standing, urgency.order, workload.job

    def find_slack(self, workload: Workload) -> float:
        """Return the time in seconds that a job can wait and still be in time."""
        queue = self._declarations.get_queue(workload.queue)
        return self._urgencies.find_slack(workload, queue) if queue else 0.0

    def find_length(self, workload: Workload) -> float | None:
        """Return the mean length in seconds of the tasks of a job's queue."""
        return self._urgencies.find_length(workload.queue)

    def note_duration(self, task: TaskKey, seconds: float) -> None:
        """Learn how long tasks of a queue take."""
        workload = self._workloads.jobs.get(task.job)
        if workload is not None:
            self._urgencies.learn(workload, task.step, seconds)

    def find_service(self, workload: Workload) -> str:
        """Return the service that runs a job under the declaration in force."""
        queue = self._declarations.get_queue(workload.queue)
        return queue.service if queue else workload.service

    def _find_pools(
        self, book: LeaseBook, now: float
    ) -> dict[str, dict[str, Candidate]]:
        pools: dict[str, dict[str, Candidate]] = {}
        for life, view in book.instances.items():
            registered = view.registered
            if registered.draining:
                continue
            if self._is_closed(registered.machine):
                continue
            if not view.is_responsive or now < view.rejected_until:
                continue
            free = registered.capacity - view.used
            serving = sum(self._is_serving(run) for run in view.runs.values())
            pool = pools.setdefault(registered.service, {})
            pool[life] = Candidate(view, free, serving)
        return pools

    def _is_closed(self, machine: str) -> bool:
        return bool(machine) and (machine in self.cordoned or machine in self.leaving)

    def _is_serving(self, run: RunView) -> bool:
        step = self._workloads.find_step(run.task)
        return step is not None and step.is_serving

    def _choose_for(
        self,
        workload: Workload,
        candidates: dict[str, Candidate],
        book: LeaseBook,
        now: float,
    ) -> list[PlannedRun]:
        planned: list[PlannedRun] = []
        ready = self._ready.pop(workload.job)
        left: list[TaskKey] = []
        steps: dict[tuple[int, int], list[TaskKey]] = {}
        for task in ready:
            steps.setdefault((task.occurrence, task.step), []).append(task)
        for tasks in steps.values():
            step = workload.steps[tasks[0].step]
            allowed = self._find_allowed(workload, tasks[0], candidates, now)
            if step.gang:
                chosen = self._choose_gang(workload, step, tasks, allowed, book)
            else:
                chosen = self._choose_tasks(workload, step, tasks, allowed, book)
            if len(chosen) < len(tasks):
                self._wish(workload, tasks[0], candidates, now)
            left += tasks[len(chosen) :]
            planned += chosen
        if left:
            self._ready[workload.job] = left
        return planned

    def _find_allowed(
        self,
        workload: Workload,
        task: TaskKey,
        candidates: dict[str, Candidate],
        now: float,
    ) -> dict[str, Candidate]:
        """Return the candidates with a ticket, or all where the queue asks for none."""
        if self._declarations.get_advice(workload.queue) is None:
            return candidates
        name = name_step(task.job, task.occurrence, task.step)
        return {
            life: item
            for life, item in candidates.items()
            if self._advice.find_ticket(name, life, now)
        }

    def _wish(
        self,
        workload: Workload,
        task: TaskKey,
        candidates: dict[str, Candidate],
        now: float,
    ) -> None:
        """Wish for advice on instances that have room, where the queue needs it."""
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
            self.wishes.append(AdviceQuery(name, policy, tuple(unknown)))

    def _choose_tasks(
        self,
        workload: Workload,
        step: Step,
        tasks: list[TaskKey],
        candidates: dict[str, Candidate],
        book: LeaseBook,
    ) -> list[PlannedRun]:
        planned: list[PlannedRun] = []
        same = _count_same(tasks[0], book)
        for task, number in zip(
            tasks, _number_runs(workload, step, tasks), strict=True
        ):
            if not self._has_quota(workload.team, step, book):
                break
            chosen = choose_instance(
                step, candidates, lambda item: same[item.view.registered.life]
            )
            if chosen is None:
                break
            same[chosen.view.registered.life] += 1
            life = chosen.view.registered.life
            placement = Placement(task, number, life)
            run = _make_run(workload, placement, RunState.PLANNED)
            book.add(run)
            chosen.free -= run.need
            planned.append(PlannedRun(run, placement))
        return planned

    def _choose_gang(
        self,
        workload: Workload,
        step: Step,
        tasks: list[TaskKey],
        candidates: dict[str, Candidate],
        book: LeaseBook,
    ) -> list[PlannedRun]:
        if len(tasks) < step.count:
            return []
        racks = {item.view.registered.rack for item in candidates.values()}
        for rack in sorted(racks):
            near = {
                life: item
                for life, item in candidates.items()
                if item.view.registered.rack == rack
            }
            if planned := self._try_gang(workload, step, tasks, near, book):
                return planned
        return self._try_gang(workload, step, tasks, candidates, book)

    def _try_gang(
        self,
        workload: Workload,
        step: Step,
        tasks: list[TaskKey],
        candidates: dict[str, Candidate],
        book: LeaseBook,
    ) -> list[PlannedRun]:
        planned = self._choose_tasks(workload, step, tasks, candidates, book)
        if len(planned) == len(tasks):
            return planned
        for item in planned:
            book.remove(item.run)
            candidate = candidates[item.run.life]
            candidate.free += item.run.need
        return []

    def _has_quota(self, team: str, step: Step, book: LeaseBook) -> bool:
        declared = self._declarations.get_team(team)
        if declared is None:
            return True
        used = book.by_team.get(team, Resources()) + step.need
        return is_within(used, declared.quota)


def is_within(used: Resources, quota: Resources) -> bool:
    """Tell whether an amount keeps a quota, in which 0 stands for no bound.

    Parameters
    ----------
    used : Resources
        The amount.
    quota : Resources
        The quota.

    Returns
    -------
    bool
        Whether it does.
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
        charge=step.need,
        state=state,
    )


def _count_same(task: TaskKey, book: LeaseBook) -> Counter[str]:
    same: Counter[str] = Counter()
    for key, runs in book.by_task.items():
        if key[:3] == task[:3]:
            same.update(run.life for run in runs.values())
    return same


def _number_runs(workload: Workload, step: Step, tasks: list[TaskKey]) -> list[int]:
    numbers = []
    for task in tasks:
        record = workload.tasks.get((task.occurrence, task.step, task.number))
        numbers.append((record.run if record else 0) + 1)
    # All members of a gang have the same number.
    return [max(numbers)] * len(numbers) if step.gang else numbers
