"""Choice of the lasting runs that leave an evacuated data centre."""

from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass

from gypsumwalk.availability import AvailabilityBudget
from gypsumwalk.leases import (
    InstanceTable,
    InstanceView,
    LeaseTable,
    RunState,
    RunView,
)
from gypsumwalk.placement_limits import SpreadLimit
from gypsumwalk.task_placement import Candidate, CandidatePool
from gypsumwalk.workload_records import Step
from gypsumwalk.workloads import WorkloadSection

__all__ = ["EvacuationPlanner", "LeavingStep", "PlannedMove"]

NOT_REQUIRED = "not required"
"""Stated as the new place where the budget has no limit."""


@dataclass(frozen=True, slots=True)
class LeavingStep:
    """Lasting runs of one step and occurrence in evacuated data centres.

    Attributes
    ----------
    step : Step
        The step.
    runs : list of RunView
        The runs, including those that are being stopped.
    """

    step: Step
    runs: list[RunView]


@dataclass(frozen=True, slots=True)
class PlannedMove:
    """A run to stop, so that its task starts elsewhere.

    Attributes
    ----------
    run : RunView
        The run.
    room : str
        Life of an instance that has room for the task.
    """

    run: RunView
    room: str


class EvacuationPlanner:
    """Chooses the runs that may leave now, and keeps the room for their tasks.

    Parameters
    ----------
    workloads : WorkloadSection
        Jobs and instances.
    evacuated : Set of str
        Data centres that are evacuated, kept up to date by their holder.
    """

    def __init__(self, workloads: WorkloadSection, evacuated: Set[str]) -> None:
        self._workloads = workloads
        self._evacuated = evacuated
        self._instances = InstanceTable()
        self._changed: set[str] = set()
        self._known: frozenset[str] = frozenset()
        """Data centres that were evacuated at the latest list."""
        self._lives: set[str] = set()
        """Lives in these data centres that have lasting runs."""
        self._availability = AvailabilityBudget(workloads)

    def list_leaving(self, lease_table: LeaseTable) -> list[LeavingStep]:
        """Return the lasting runs in evacuated data centres by step.

        Parameters
        ----------
        lease_table : LeaseTable
            Instances and the runs that may be going on there.

        Returns
        -------
        list of LeavingStep
            Runs of jobs that go on.
        """
        if not self._evacuated:
            self._changed.clear()
            self._lives.clear()
            self._known = frozenset()
            return []
        self._follow_changes(lease_table.instances)
        found: dict[tuple[str, int, int], LeavingStep] = {}
        for life in sorted(self._lives, key=self._instances.get_number):
            view = self._instances[life]
            for run in view.runs.values() if view.is_responsive else ():
                step = self._workloads.find_step(run.task) if run.is_lasting else None
                if step is None or run.task.job not in self._workloads.open_jobs:
                    continue
                leaving = found.setdefault(run.task[:3], LeavingStep(step, []))
                leaving.runs.append(run)
        return list(found.values())

    def _follow_changes(self, instances: InstanceTable) -> None:
        """Follow the instances that changed; all of them if an order was committed."""
        if instances is not self._instances:
            self._instances, self._changed = instances, instances.watch()
            self._lives.clear()
        if self._known != self._evacuated:
            self._known = frozenset(self._evacuated)
            self._changed.update(instances)
        for life in self._changed:
            view = instances.get(life)
            if view is not None and view.is_evacuated and _has_lasting(view):
                self._lives.add(life)
            else:
                self._lives.discard(life)
        self._changed.clear()

    def plan(
        self,
        leaving: Iterable[LeavingStep],
        pools: Mapping[str, CandidatePool],
        lease_table: LeaseTable,
        avoided: Set[str],
    ) -> list[PlannedMove]:
        """Choose the runs that may be stopped now.

        A task needs room elsewhere before, unless its budget has no limit. The room is
        taken from the pools, also for the tasks whose runs are being stopped already,
        and is kept where it is not enough yet.

        Parameters
        ----------
        leaving : Iterable of LeavingStep
            Lasting runs in evacuated data centres.
        pools : Mapping of str to CandidatePool
            Candidates by job; those in evacuated data centres are left out.
        lease_table : LeaseTable
            Instances and the runs that may be going on there.
        avoided : set of str
            Machines that get no lasting task, as a wave takes them down.

        Returns
        -------
        list of PlannedMove
            The runs; those of a gang all together.
        """
        steps = [
            (item, _Places(item, pools, lease_table, avoided))
            for item in leaving
            if item.runs[0].task.job in pools
        ]
        for item, places in steps:
            for run in item.runs:
                if run.is_stopping:
                    places.take(run)
        planned: list[PlannedMove] = []
        for item, places in steps:
            plan = self._plan_gang if item.step.gang else self._plan_tasks
            planned += plan(item, places, lease_table)
        return planned

    def _plan_tasks(
        self, leaving: LeavingStep, places: "_Places", lease_table: LeaseTable
    ) -> list[PlannedMove]:
        runs = [run for run in leaving.runs if _is_going_on(run)]
        if leaving.step.max_unavailable < 0:
            return [PlannedMove(run, NOT_REQUIRED) for run in runs]
        planned: list[PlannedMove] = []
        allowed = self._availability.choose_interruptible(runs, lease_table)
        for number, run in enumerate(allowed):
            room = places.take(run)
            if room is None:
                places.reserve(len(allowed) - number)
                break
            planned.append(PlannedMove(run, room.view.registered.life))
        return planned

    def _plan_gang(
        self, leaving: LeavingStep, places: "_Places", lease_table: LeaseTable
    ) -> list[PlannedMove]:
        """Plan the move of a whole gang: its members outside keep their places."""
        runs = leaving.runs
        if not all(_is_going_on(run) for run in runs):
            return []
        if leaving.step.max_unavailable < 0:
            return [PlannedMove(run, NOT_REQUIRED) for run in runs]
        if leaving.step.count > leaving.step.max_unavailable:
            # A stop of one member ends all of them.
            return []
        taken = [places.take(run) for run in runs]
        rooms = [room for room in taken if room is not None]
        if len(rooms) == len(runs):
            return [
                PlannedMove(run, room.view.registered.life)
                for run, room in zip(runs, rooms, strict=True)
            ]
        for run, room in zip(runs, taken, strict=True):
            if room is not None:
                places.give_back(run, room)
        places.reserve(len(runs))
        return []


class _Places:
    """Free places for the tasks of one step outside the evacuated data centres."""

    def __init__(
        self,
        leaving: LeavingStep,
        pools: Mapping[str, CandidatePool],
        lease_table: LeaseTable,
        avoided: Set[str],
    ) -> None:
        task = leaving.runs[0].task
        self._step = leaving.step
        self._pool = pools[task.job]
        self._limit = SpreadLimit(leaving.step, task, lease_table)
        self._avoided = avoided

    def take(self, run: RunView) -> Candidate | None:
        """Take the place of a task, and return the instance, or None without one."""
        chosen = self._pool.choose(self._step, self._is_allowed)
        if chosen is not None:
            self._limit.count(chosen)
            self._pool.withhold(chosen, run.need)
        return chosen

    def reserve(self, count: int) -> None:
        """Keep what is free for tasks without a place, until there is enough."""
        self._pool.reserve(self._step, count, self._limit.count_allowed)

    def give_back(self, run: RunView, chosen: Candidate) -> None:
        """Undo ``take``."""
        self._limit.uncount(chosen)
        self._pool.release(chosen, run.need)

    def _is_allowed(self, item: Candidate) -> bool:
        is_avoided = item.view.registered.machine in self._avoided
        return not is_avoided and self._limit.allows(item)


def _has_lasting(view: InstanceView) -> bool:
    return any(run.is_lasting for run in view.runs.values())


def _is_going_on(run: RunView) -> bool:
    return run.state is RunState.RUNNING and not run.is_stopping
