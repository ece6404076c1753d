"""Forecast of the placement of a job: which tasks would start now, and where.

The tasks are planned as a scheduling pass does it, with copies of what a pass changes.
Of the other waiting jobs only the room and the quota count that the latest pass kept
for lasting tasks: what else has room has started by the time of a call.
"""

from collections import Counter
from collections.abc import Mapping, Sequence, Set
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from gypsumwalk.candidates import can_schedule_on
from gypsumwalk.declaration_records import Resources
from gypsumwalk.leases import InstanceView, LeaseTable
from gypsumwalk.placement_limits import SpreadLimit, TeamQuotas
from gypsumwalk.ready_tasks import make_ready_job
from gypsumwalk.run_planning import PlannedRun, RunPlanner
from gypsumwalk.task_placement import (
    Candidate,
    CandidatePool,
    find_need,
    list_ready,
    subtract_free,
)
from gypsumwalk.workload_records import Step, TaskKey, Workload

__all__ = [
    "Place",
    "PlacementForecast",
    "PoolSnapshot",
    "Wait",
    "WaitReason",
    "forecast_placement",
    "make_candidates",
]

FIRST_STEP = 0


class WaitReason(StrEnum):
    """What tasks wait for; the first ones would let a task start at once."""

    QUOTA = "quota"
    """The team has no quota left."""
    ADVICE = "advice"
    """Instances have room, and there is no ticket of the advice service for them."""
    GANG = "gang"
    """Instances have room for some tasks of a gang and not for all."""
    EVACUATED = "evacuated data centre"
    """Instances with room are in a data centre that is evacuated."""
    WAVE = "wave"
    """A wave takes machines with room down next."""
    MOVE = "move"
    """Machines with room move to another pool."""
    DRAINING = "draining"
    """Instances with room are draining."""
    SILENT = "no answer"
    """Instances with room do not answer, or refused a start lately."""
    SPREAD = "spread"
    """Instances with room have as many tasks of the step as it allows."""
    KEPT = "room kept for lasting tasks"
    """The room of instances is kept for lasting tasks that wait."""
    ROOM = "room"
    """Instances are too full."""
    SIZE = "size"
    """Instances are too small, also while nothing runs there."""
    LABEL = "label"
    """Instances lack the label."""
    NO_INSTANCE = "instance"
    """The service has no instances."""


@dataclass(frozen=True, slots=True)
class PoolSnapshot:
    """What the placement of a job depends on; none of it is changed.

    Attributes
    ----------
    instances : Sequence of InstanceView
        Instances of the service, in the order in which a pass prefers equal ones.
    withheld : Mapping of str to Resources
        What the latest pass withheld for lasting tasks, by life.
    cordoned : Set of str
        Machines that a wave takes down next.
    moving : Set of str
        Machines that move to another pool or are released for it.
    due_for_maintenance : Set of str
        Machines that lasting tasks avoid if they can.
    usage_by_team : Mapping of str to Resources
        Usage of the quotas.
    quotas : TeamQuotas
        Copy of the quotas.
    planner : RunPlanner
        Planner that is not used otherwise.
    """

    instances: Sequence[InstanceView]
    withheld: Mapping[str, Resources]
    cordoned: Set[str]
    moving: Set[str]
    due_for_maintenance: Set[str]
    usage_by_team: Mapping[str, Resources]
    quotas: TeamQuotas
    planner: RunPlanner


@dataclass(frozen=True, slots=True)
class Place:
    """Tasks that would start on one instance.

    Attributes
    ----------
    view : InstanceView
        The instance.
    tasks : int
        Number of the tasks.
    free_cpu : int
        Free processors before they start, in thousandths of a core.
    """

    view: InstanceView
    tasks: int
    free_cpu: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Reason for which tasks wait.

    Attributes
    ----------
    reason : WaitReason
        The reason.
    instances : int
        Number of instances that it holds for, 0 if it is not one of instances.
    detail : str
        Further explanation, may be empty.
    """

    reason: WaitReason
    instances: int = 0
    detail: str = ""


@dataclass(frozen=True, slots=True)
class PlacementForecast:
    """Where the tasks of the first step of a job would start.

    Attributes
    ----------
    tasks : int
        Number of the tasks.
    places : tuple of Place
        Instances on which some of them would start now.
    waits : tuple of Wait
        What the others wait for; empty if all of them would start.
    """

    tasks: int
    places: tuple[Place, ...]
    waits: tuple[Wait, ...]

    @property
    def starting(self) -> int:
        """Number of the tasks that would start now."""
        return sum(place.tasks for place in self.places)


class _Trial:
    """Plan of all ready tasks of a job on copies.

    Parameters
    ----------
    workload : Workload
        The job, which is not accepted yet.
    pool : PoolSnapshot
        What the placement depends on.
    now : float
        Time in seconds.
    """

    def __init__(self, workload: Workload, pool: PoolSnapshot, now: float) -> None:
        self._workload = workload
        self._pool = pool
        self._now = now
        # Without instances, a run that is added does not change any.
        self._table = LeaseTable()
        self._table.usage_by_team.update(pool.usage_by_team)
        self._candidates = {
            item.view.registered.life: item for item in _list_candidates(pool, now)
        }
        self._free_before = {
            life: item.free.cpu for life, item in self._candidates.items()
        }
        self._step = workload.steps[FIRST_STEP]
        self._planned = self._plan()

    def _plan(self) -> list[PlannedRun]:
        """Plan the tasks of all steps that are ready; return those of the first one."""
        ready = make_ready_job(
            self._workload, list_ready(self._workload, self._table, self._now)
        )
        if ready is None:
            return []
        candidates = CandidatePool(list(self._candidates.values()))
        has_cold = any(
            item.view.registered.cold_until > self._now
            for item in self._candidates.values()
        )
        planner = self._pool.planner
        planner.begin(self._pool.due_for_maintenance, self._now, has_cold=has_cold)
        planned: list[PlannedRun] = []
        for lasting in (True, False):
            planned += planner.plan_job(
                ready, candidates, self._table, self._now, lasting=lasting
            )
        return [item for item in planned if item.run.task.step == FIRST_STEP]

    @property
    def count(self) -> int:
        """Number of tasks of the first step that start."""
        return len(self._planned)

    def list_places(self) -> tuple[Place, ...]:
        """Return where the tasks of the first step start."""
        tasks = Counter(item.run.life for item in self._planned)
        return tuple(
            Place(self._candidates[life].view, number, self._free_before[life])
            for life, number in tasks.items()
        )

    def list_waits(self) -> list[Wait]:
        """Return what one more task of the first step waits for."""
        waits: list[Wait] = []
        if quota := self._find_quota_wait():
            waits.append(quota)
        if not self._pool.instances:
            return [*waits, Wait(WaitReason.NO_INSTANCE)]
        task = TaskKey(self._workload.job, 0, FIRST_STEP, self.count)
        limit = SpreadLimit(self._step, task, self._table)
        has_ticket = self._pool.planner.make_advice_check(
            self._workload, task, self._now
        )
        reasons = Counter(
            self._find_reason(view, limit)
            or ("" if has_ticket(self._candidates[view.registered.life]) else _ADVICE)
            for view in self._pool.instances
        )
        if quota and "" in reasons:
            # Instances have room, so that nothing but the quota is waited for.
            return waits
        return waits + [
            Wait(reason, reasons[reason], self._describe(reason))
            for reason in WaitReason
            if reasons[reason]
        ]

    def _find_quota_wait(self) -> Wait | None:
        team, quotas = self._workload.team, self._pool.quotas
        if quotas.has_quota(team, self._step, self._table.usage_by_team):
            return None
        used = quotas.add_kept(team, self._table.usage_by_team)
        detail = (
            f'team "{team}" would have {_describe_resources(used)} in use or kept, and'
            f" its quota is {_describe_resources(quotas.get_quota(team))} (0: no limit)"
        )
        return Wait(WaitReason.QUOTA, detail=detail)

    def _find_reason(self, view: InstanceView, limit: SpreadLimit) -> str:
        """Return why an instance can't take one more task, empty if it can.

        An instance that is held counts as too full if it has no room, either.
        """
        candidate = self._candidates.get(view.registered.life)
        if candidate is None:
            candidate = _make_candidate(view, self._pool)
        return (
            self._find_capacity_reason(candidate)
            or ("" if limit.allows(candidate) else WaitReason.SPREAD)
            or self._find_hold(view)
        )

    def _find_capacity_reason(self, candidate: Candidate) -> str:
        registered = candidate.view.registered
        need = find_need(self._step)
        if self._step.label and self._step.label not in registered.labels:
            return WaitReason.LABEL
        if not need.fits(registered.capacity):
            return WaitReason.SIZE
        if need.fits(candidate.free):
            return ""
        withheld = self._pool.withheld.get(registered.life, Resources())
        is_kept = need.fits(candidate.free + withheld)
        return WaitReason.KEPT if is_kept else WaitReason.ROOM

    def _find_hold(self, view: InstanceView) -> str:
        machine = view.registered.machine
        if view.is_evacuated:
            return WaitReason.EVACUATED
        if machine and machine in self._pool.cordoned:
            return WaitReason.WAVE
        if machine and machine in self._pool.moving:
            return WaitReason.MOVE
        if view.registered.draining:
            return WaitReason.DRAINING
        is_silent = not view.is_responsive or self._now < view.start_backoff_until
        return WaitReason.SILENT if is_silent else ""

    def _describe(self, reason: WaitReason) -> str:
        step = self._step
        match reason:
            case WaitReason.LABEL:
                return f'label "{step.label}"'
            case WaitReason.SIZE | WaitReason.ROOM | WaitReason.KEPT:
                return f"a task needs {_describe_resources(find_need(step))}"
            case WaitReason.SPREAD:
                return f"at most {step.max_per_instance} tasks on an instance"
            case WaitReason.EVACUATED:
                evacuated = {
                    view.registered.data_centre
                    for view in self._pool.instances
                    if view.is_evacuated
                }
                return ", ".join(sorted(evacuated))
        return ""


_ADVICE: str = WaitReason.ADVICE


def forecast_placement(
    workload: Workload, pool: PoolSnapshot, now: float
) -> PlacementForecast:
    """Return where the first step of a job that is not accepted would start now.

    Parameters
    ----------
    workload : Workload
        The job, due now, with at least one step.
    pool : PoolSnapshot
        Its pool.
    now : float
        Time in seconds.

    Returns
    -------
    PlacementForecast
        Places of its tasks, and what the others wait for.
    """
    trial = _Trial(workload, pool, now)
    step = workload.steps[FIRST_STEP]
    if trial.count >= step.count:
        return PlacementForecast(step.count, trial.list_places(), ())
    if not step.gang:
        return PlacementForecast(
            step.count, trial.list_places(), tuple(trial.list_waits())
        )
    return PlacementForecast(step.count, (), _list_gang_waits(workload, pool, now))


def make_candidates(pool: PoolSnapshot, now: float) -> CandidatePool:
    """Return the candidates of a pool, apart from those that the passes keep."""
    return CandidatePool(_list_candidates(pool, now))


def _list_gang_waits(
    workload: Workload, pool: PoolSnapshot, now: float
) -> tuple[Wait, ...]:
    """Return what a gang waits for: what the first task waits for that has no room."""
    step = workload.steps[FIRST_STEP]
    single = _replace_first(workload, msgspec.structs.replace(step, gang=False))
    trial = _Trial(single, pool, now)
    detail = f"{trial.count} of {step.count} tasks that start together have room"
    waits = trial.list_waits()
    if trial.count:
        waits.insert(0, Wait(WaitReason.GANG, len(trial.list_places()), detail))
    return tuple(waits)


def _replace_first(workload: Workload, step: Step) -> Workload:
    return msgspec.structs.replace(workload, steps=[step, *workload.steps[1:]])


def _list_candidates(pool: PoolSnapshot, now: float) -> list[Candidate]:
    closed = pool.cordoned | pool.moving
    return [
        _make_candidate(view, pool)
        for view in pool.instances
        if can_schedule_on(view, closed, now)
    ]


def _make_candidate(view: InstanceView, pool: PoolSnapshot) -> Candidate:
    free = view.registered.capacity - view.used
    withheld = pool.withheld.get(view.registered.life)
    if withheld is not None:
        free = subtract_free(free, withheld)
    return Candidate(view, free, view.latency_sensitive_runs)


def _describe_resources(resources: Resources) -> str:
    return (
        f"{resources.cpu / 1000:g} cores, {resources.memory} MB and"
        f" {resources.accelerators} accelerators"
    )
