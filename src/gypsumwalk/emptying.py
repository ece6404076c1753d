"""Whether all lasting tasks of a machine can leave it, and where each of them goes."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from gypsumwalk.declaration_records import Resources
from gypsumwalk.leases import InstanceView, LeaseTable, RunView
from gypsumwalk.placement_limits import SpreadLimit
from gypsumwalk.task_placement import Candidate, find_need
from gypsumwalk.workload_records import Step, TaskKey

__all__ = [
    "EmptyingPlan",
    "LastingTask",
    "PlaceBook",
    "PlannedMove",
    "StepKey",
    "find_step_key",
]

MAX_SEARCH_STEPS = 20_000
"""Instances that are examined at most for the tasks of one machine, some 20 ms."""

StepKey = tuple[str, int, int]
"""Job, occurrence and step."""


class LastingTask(NamedTuple):
    """A lasting task that needs a place.

    Attributes
    ----------
    task : TaskKey
        The task.
    step : Step
        Its step.
    service : str
        Service that runs it.
    run : RunView or None
        Its run that has to leave; None if it has none that goes on.
    has_quota : bool
        Whether its team may start it again once the run has ended.
    """

    task: TaskKey
    step: Step
    service: str
    run: RunView | None = None
    has_quota: bool = True


class PlannedMove(NamedTuple):
    """A run whose task has a place on another machine.

    Attributes
    ----------
    run : RunView
        The run.
    is_ready : bool
        Whether the place is free now, on a machine that stays in service.
    """

    run: RunView
    is_ready: bool


@dataclass(frozen=True, slots=True)
class EmptyingPlan:
    """How the lasting runs of a machine leave it.

    Attributes
    ----------
    moves : list of PlannedMove
        Runs whose tasks have places on other machines, which go first.
    pauses : list of RunView
        Runs whose tasks wait until the machine is back, all at the same time.
    """

    moves: list[PlannedMove] = field(default_factory=list)
    pauses: list[RunView] = field(default_factory=list)


class _Promise(NamedTuple):
    item: LastingTask
    place: Candidate
    is_ready: bool


class PlaceBook:
    """Places for lasting tasks, each of which is promised to one task only.

    A place is room beside the lasting runs of an instance: transient runs there end,
    and passes keep what becomes free for waiting lasting tasks. Places that are free at
    once come first, then those on machines that stay, then those on the last machines
    of a wave.

    Parameters
    ----------
    views : Mapping of str to Sequence of InstanceView
        Instances that take work, by service.
    lease_table : LeaseTable
        Runs that may be going on.
    due : Sequence of str
        Machines that are taken down later, the next one first.
    left : Iterable of str
        Machines that are no places.
    """

    def __init__(
        self,
        views: Mapping[str, Sequence[InstanceView]],
        lease_table: LeaseTable,
        due: Sequence[str] = (),
        left: Iterable[str] = (),
    ) -> None:
        self._lease_table = lease_table
        self._ranks = {machine: -number for number, machine in enumerate(due)}
        self._candidates = {
            service: sorted(
                [
                    Candidate(view, view.registered.capacity - view.used)
                    for view in listed
                ],
                key=self._rate,
            )
            for service, listed in views.items()
        }
        self._limits: dict[StepKey, SpreadLimit] = {}
        self._left = set(left)
        """Machines that are no places, as they are emptied."""
        self._promises: dict[str, list[_Promise]] = {}
        """Promises by the machine of the place."""
        self._unplaced: Counter[StepKey] = Counter()
        """Tasks of each step that are away and have no place."""
        self._placeable: dict[StepKey, bool] = {}
        """Whether there is a place for the tasks of a step that have not run yet."""
        self._steps_left = 0
        """Instances that the search of a plan may still examine."""

    def promise(self, item: LastingTask) -> bool:
        """Promise a place to a task that is away; return whether there is one."""
        step = find_step_key(item.task)
        if not self._unplaced[step]:
            self._steps_left = MAX_SEARCH_STEPS
            for place in self._list_places(item):
                self._take(item, place)
                return True
        self._unplaced[step] += 1
        return False

    def promise_free(self, item: LastingTask) -> bool:
        """Promise a place that is free on a machine that stays, if there is one."""
        need = find_need(item.step)
        self._steps_left = MAX_SEARCH_STEPS
        for place in self._list_places(item):
            machine = place.view.registered.machine
            if machine in self._ranks or not need.fits(place.free):
                return False
            self._take(item, place)
            return True
        return False

    def note_fresh(self, item: LastingTask) -> None:
        """Note a task that has not run yet, which takes no place from the others."""
        step = find_step_key(item.task)
        if step not in self._placeable:
            self._placeable[step] = self._count_places(item, 1) > 0
        self._unplaced[step] += not self._placeable[step]

    def has_free_place(self, item: LastingTask) -> bool:
        """Tell whether a task that waits finds a free place that nobody is promised."""
        need = find_need(item.step)
        return any(need.fits(place.free) for place in self._find_places(item))

    def reopen(
        self, view: InstanceView, items: Iterable[LastingTask]
    ) -> list[LastingTask]:
        """Promise an instance that takes no work to tasks without a free place.

        Parameters
        ----------
        view : InstanceView
            The instance; it becomes a place if any of the tasks can start there.
        items : Iterable of LastingTask
            The tasks.

        Returns
        -------
        list of LastingTask
            Those that can start there at once.
        """
        registered = view.registered
        if not view.is_responsive:
            return []
        place = Candidate(view, registered.capacity - view.used)
        taken: list[LastingTask] = []
        for item in items:
            if registered.service != item.service or not place.can_take(item.step):
                continue
            if self._find_limit(item).allows(place):
                self._take(item, place)
                taken.append(item)
        if taken:
            self._candidates.setdefault(registered.service, []).append(place)
        return taken

    def plan(
        self,
        machine: str,
        items: Sequence[LastingTask],
        budgets: Mapping[StepKey, int],
    ) -> EmptyingPlan | None:
        """Plan how all lasting tasks leave a machine, and promise them their places.

        Parameters
        ----------
        machine : str
            The machine, on which no task is placed from then on.
        items : Sequence of LastingTask
            Tasks with the runs that have to leave.
        budgets : Mapping of tuple to int
            Most tasks of a step that may be away at the same time.

        Returns
        -------
        EmptyingPlan or None
            The plan; None, with all promises as before, if some task could neither move
            nor wait for the return of the machine within the budget of its step.
        """
        budgets = {key: limit - self._unplaced[key] for key, limit in budgets.items()}
        if any(budgets[find_step_key(item.task)] < 1 for item in items):
            return None
        self._left.add(machine)
        moved = self._promises.pop(machine, [])
        for promise in moved:
            self._release(promise)
        wanted = [*items, *(promise.item for promise in moved)]
        wanted.sort(key=_find_size, reverse=True)
        leaving = {item.task for item in items}
        pauses = dict(budgets)
        self._steps_left = MAX_SEARCH_STEPS
        found: list[_Promise | LastingTask] = []
        may_fit = self._may_fit(items, budgets)
        if not may_fit or not self._search(wanted, leaving, pauses, found):
            self._left.discard(machine)
            for promise in moved:
                self._take(promise.item, promise.place)
            return None
        plan = EmptyingPlan()
        for entry in found:
            item = entry.item if isinstance(entry, _Promise) else entry
            if item.run is None or item.task not in leaving:
                continue
            if isinstance(entry, _Promise):
                plan.moves.append(PlannedMove(item.run, entry.is_ready))
            else:
                plan.pauses.append(item.run)
        return plan

    def _may_fit(
        self, items: Sequence[LastingTask], budgets: Mapping[StepKey, int]
    ) -> bool:
        """Tell whether there are places enough for each step on its own."""
        counts = Counter(find_step_key(item.task) for item in items)
        firsts = {find_step_key(item.task): item for item in items}
        for step, item in firsts.items():
            moving = counts[step] - (budgets[step] if item.has_quota else 0)
            if self._count_places(item, moving) < moving:
                return False
        return True

    def _count_places(self, item: LastingTask, most: int) -> int:
        """Count the places for tasks of a step, up to a number."""
        need = find_need(item.step)
        count = 0
        for place in self._find_places(item):
            if count >= most:
                break
            fitting = _count_fitting(place.room, need, most)
            count += min(fitting, self._find_limit(item).count_allowed(place))
        return count

    def _search(
        self,
        wanted: Sequence[LastingTask],
        leaving: set[TaskKey],
        pauses: dict[StepKey, int],
        found: list[_Promise | LastingTask],
    ) -> bool:
        """Find a place for each task, or let it wait, depth first."""
        if len(found) == len(wanted):
            return True
        item = wanted[len(found)]
        for place in self._list_places(item):
            promise = self._take(item, place)
            found.append(promise)
            if self._search(wanted, leaving, pauses, found):
                return True
            found.pop()
            self._withdraw(promise)
        key = find_step_key(item.task)
        if item.task not in leaving or not item.has_quota or pauses[key] < 1:
            return False
        pauses[key] -= 1
        found.append(item)
        if self._search(wanted, leaving, pauses, found):
            return True
        found.pop()
        pauses[key] += 1
        return False

    def _list_places(self, item: LastingTask) -> Iterator[Candidate]:
        """Return places for a task, best first, and of equal ones the first only."""
        need = find_need(item.step)
        limit = self._find_limit(item)
        tried: set[tuple[object, ...]] = set()
        for is_free in (True, False):
            for place in self._find_places(item):
                self._steps_left -= 1
                if self._steps_left < 0:
                    return
                if need.fits(place.free) is not is_free:
                    continue
                registered = place.view.registered
                key = (
                    place.free,
                    place.room,
                    registered.machine in self._ranks,
                    limit.count_allowed(place),
                    tuple(registered.labels),
                )
                if key not in tried:
                    tried.add(key)
                    yield place

    def _rate(self, place: Candidate) -> tuple[bool, int, int]:
        """Return a sort key by which equally free places are tried."""
        rank = self._ranks.get(place.view.registered.machine)
        return rank is not None, rank or 0, place.free.cpu

    def _find_places(self, item: LastingTask) -> Iterator[Candidate]:
        """Return all places for a task."""
        if not item.has_quota:
            return
        need = find_need(item.step)
        limit = self._find_limit(item)
        label = item.step.label
        for place in self._candidates.get(item.service, ()):
            registered = place.view.registered
            if registered.machine in self._left or not need.fits(place.room):
                continue
            if label and label not in registered.labels:
                continue
            if limit.allows(place):
                yield place

    def _find_limit(self, item: LastingTask) -> SpreadLimit:
        key = find_step_key(item.task)
        if key not in self._limits:
            self._limits[key] = SpreadLimit(item.step, item.task, self._lease_table)
        return self._limits[key]

    def _take(self, item: LastingTask, place: Candidate) -> _Promise:
        need = find_need(item.step)
        machine = place.view.registered.machine
        is_ready = need.fits(place.free) and machine not in self._ranks
        place.free -= need
        place.withheld += need
        self._find_limit(item).count(place)
        promise = _Promise(item, place, is_ready)
        self._promises.setdefault(machine, []).append(promise)
        return promise

    def _withdraw(self, promise: _Promise) -> None:
        self._promises[promise.place.view.registered.machine].remove(promise)
        self._release(promise)

    def _release(self, promise: _Promise) -> None:
        need = find_need(promise.item.step)
        promise.place.free += need
        promise.place.withheld -= need
        self._find_limit(promise.item).uncount(promise.place)


def find_step_key(task: TaskKey) -> StepKey:
    """Return the job, occurrence and step of a task."""
    return task.job, task.occurrence, task.step


def _count_fitting(room: Resources, need: Resources, most: int) -> int:
    """Return how many times a need fits into some room, up to a number."""
    for available, needed in (
        (room.cpu, need.cpu),
        (room.memory, need.memory),
        (room.accelerators, need.accelerators),
    ):
        if needed:
            most = min(most, available // needed)
    return most


def _find_size(item: LastingTask) -> tuple[int, int, int, int]:
    need: Resources = find_need(item.step)
    # Tasks with a label or a limit of their spread have the fewest places.
    is_bound = bool(item.step.label) + bool(item.step.max_per_instance)
    return need.accelerators, is_bound, need.cpu, need.memory
