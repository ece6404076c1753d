"""Planning of runs: an instance for each ready task that may start."""

from collections.abc import Callable, Mapping, Set
from dataclasses import dataclass

from gypsumwalk.advice import MAX_ASKED, AdviceCache, AdviceQuery, name_step
from gypsumwalk.declaration_records import Resources
from gypsumwalk.declarations import DeclarationSection
from gypsumwalk.leases import LeaseTable, RunState, RunView
from gypsumwalk.placement_limits import SpreadLimit
from gypsumwalk.ready_tasks import ReadyJob
from gypsumwalk.task_placement import Candidate, CandidatePool, find_need
from gypsumwalk.workload_records import Placement, Step, TaskKey, Workload

__all__ = ["PlannedRun", "RunPlanner", "make_run"]

_Check = Callable[[Candidate], bool]
"""Tells whether a task may run on an instance that has the resources."""

_QuotaCheck = Callable[[str, Step, Mapping[str, Resources]], bool]
"""Tells whether a task of a step is within the quota of a team."""


@dataclass(frozen=True, slots=True)
class PlannedRun:
    """A run to start, and its placement for the replicated log."""

    run: RunView
    placement: Placement


class RunPlanner:
    """Chooses an instance for each task, and adds its run to the lease table.

    Parameters
    ----------
    declarations : DeclarationSection
        Declaration in force.
    advice : AdviceCache
        Tickets for steps of queues that require advice.
    has_quota : Callable
        Tells whether a task of a step is within the quota of a team, given the usage
        by team.
    """

    def __init__(
        self,
        declarations: DeclarationSection,
        advice: AdviceCache,
        has_quota: _QuotaCheck,
    ) -> None:
        self.wanted_advice: list[AdviceQuery] = []
        """Advice that tasks wait for, in the order in which the tasks are scheduled."""
        self._declarations = declarations
        self._advice = advice
        self._has_quota = has_quota
        self._avoided: Set[str] = frozenset()
        self._warm_check: _Check | None = None

    def copy(self, has_quota: _QuotaCheck) -> "RunPlanner":
        """Return a planner with the same advice, which wants none so far.

        Parameters
        ----------
        has_quota : Callable
            As for this planner.

        Returns
        -------
        RunPlanner
            The planner.
        """
        return RunPlanner(self._declarations, self._advice, has_quota)

    def begin(self, avoided: Set[str], now: float, *, has_cold: bool) -> None:
        """Begin a pass.

        Parameters
        ----------
        avoided : set of str
            Machines that lasting tasks avoid if they can.
        now : float
            Time in seconds.
        has_cold : bool
            Whether some candidate may still be slow after its start.
        """
        self.wanted_advice.clear()
        self._avoided = avoided
        self._warm_check = _make_warm_check(now) if has_cold else None

    def plan_job(
        self,
        job: ReadyJob,
        pool: CandidatePool,
        lease_table: LeaseTable,
        now: float,
        *,
        lasting: bool,
    ) -> list[PlannedRun]:
        """Plan the runs of a job, and remove their tasks from those that are ready.

        Parameters
        ----------
        job : ReadyJob
            The job.
        pool : CandidatePool
            Candidates of its service.
        lease_table : LeaseTable
            Runs that may be going on.
        now : float
            Time in seconds.
        lasting : bool
            Whether to plan its lasting or its transient tasks.

        Returns
        -------
        list of PlannedRun
            The runs.
        """
        workload = job.workload
        planned: list[PlannedRun] = []
        for key, tasks in list(job.tasks.items()):
            step = workload.steps[tasks[0].step]
            if step.lasting is not lasting or not pool.has_room(find_need(step)):
                continue
            is_allowed = self.make_advice_check(workload, tasks[0], now)
            plan = self._plan_gang if step.gang else self._plan_tasks
            chosen = plan(workload, tasks, pool, lease_table, is_allowed)
            if len(chosen) == len(tasks):
                del job.tasks[key]
            else:
                self._request_advice(workload, tasks[0], pool, now)
                del tasks[: len(chosen)]
            planned += chosen
        return planned

    def make_advice_check(
        self, workload: Workload, task: TaskKey, now: float
    ) -> _Check:
        """Return a check for a valid ticket; it is always true if none is required.

        Parameters
        ----------
        workload : Workload
            The job.
        task : TaskKey
            A task of the step.
        now : float
            Time in seconds.

        Returns
        -------
        Callable
            Tells whether the task may start on an instance that has the resources.
        """
        if self._declarations.get_advice(workload.queue) is None:
            return _allow_any
        return self._make_ticket_check(task, now)

    def _make_ticket_check(self, task: TaskKey, now: float) -> _Check:
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
        limit = SpreadLimit(step, tasks[0], lease_table)
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
            run = make_run(workload, placement, RunState.PLANNED)
            lease_table.add(run)
            pool.take(chosen, run.need)
            planned.append(PlannedRun(run, placement))
        return planned

    def _choose(
        self,
        step: Step,
        pool: CandidatePool,
        limit: SpreadLimit,
        is_allowed: _Check,
        rack: str,
    ) -> Candidate | None:
        """Choose an instance for a task.

        A lasting one avoids machines of a wave, and each one cold instances.
        """

        def allows(item: Candidate) -> bool:
            return limit.allows(item) and is_allowed(item)

        for preference in self._list_preferences(step):
            chosen = pool.choose(step, _combine(preference, allows), rack)
            if chosen is not None:
                return chosen
        return pool.choose(step, allows, rack)

    def _list_preferences(self, step: Step) -> list[_Check]:
        """Return checks of which the first one that an instance meets decides."""
        due = self._avoided
        preferences: list[_Check] = []
        if step.lasting and due:
            preferences.append(lambda item: item.view.registered.machine not in due)
        is_warm = self._warm_check
        if is_warm is None:
            return preferences
        warm = [_combine(is_warm, check) for check in preferences]
        return [*warm, *preferences, is_warm]

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

        checks = [is_allowed]
        if self._warm_check is not None:
            checks.insert(0, _combine(self._warm_check, is_allowed))
        for check in checks:
            if planned := self._plan_gang_in_rack(
                workload, tasks, pool, lease_table, check
            ):
                return planned
        return self._plan_gang_on(workload, tasks, pool, lease_table, is_allowed, "")

    def _plan_gang_in_rack(
        self,
        workload: Workload,
        tasks: list[TaskKey],
        pool: CandidatePool,
        lease_table: LeaseTable,
        is_allowed: _Check,
    ) -> list[PlannedRun]:
        def is_in_rack(item: Candidate) -> bool:
            return item.view.registered.rack == rack and is_allowed(item)

        for rack in pool.list_racks():
            if planned := self._plan_gang_on(
                workload, tasks, pool, lease_table, is_in_rack, rack
            ):
                return planned
        return []

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


def make_run(workload: Workload, placement: Placement, state: RunState) -> RunView:
    """Return the run of a placement.

    Parameters
    ----------
    workload : Workload
        Job of the task.
    placement : Placement
        The placement.
    state : RunState
        State of the run.

    Returns
    -------
    RunView
        The run.
    """
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


def _number_gang_run(workload: Workload, tasks: list[TaskKey]) -> int:
    """Return the number of the next run that all members of a gang share."""
    return max(_number_run(workload, task) for task in tasks)


def _number_run(workload: Workload, task: TaskKey) -> int:
    record = workload.tasks.get((task.occurrence, task.step, task.number))
    return (record.run if record else 0) + 1


def _combine(first: _Check, second: _Check) -> _Check:
    return lambda item: first(item) and second(item)


def _make_warm_check(now: float) -> _Check:
    return lambda item: item.view.registered.cold_until <= now


def _allow_any(_: Candidate) -> bool:
    return True
