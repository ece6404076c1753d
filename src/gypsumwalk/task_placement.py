"""Ready tasks of a job, and the choice of an instance for each of them."""

from bisect import bisect_left, insort
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from sys import maxsize

from gypsumwalk.declaration_records import Resources
from gypsumwalk.leases import InstanceView, LeaseTable
from gypsumwalk.part import NEVER
from gypsumwalk.workload_records import RegisteredInstance, Step, TaskKey, Workload

__all__ = [
    "Candidate",
    "CandidatePool",
    "find_need",
    "find_next_occurrence",
    "list_ready",
    "subtract_free",
]

_Entry = tuple[int, int, int]
"""Latency-sensitive runs if they count, free processors, and position in the pool."""

_Share = tuple[float, int]
"""Negative of the share of a need that is free, and position in the pool."""

MAX_REFUSED_NEEDS = 1000
"""Needs that a pool remembers as refused; a pass examines them with each instance that
gets more free."""

MAX_SORTED_LISTS = 200
"""Labels for which a pool keeps its candidates sorted; the lists are made again if a
pass asks for them."""


def find_need(step: Step) -> Resources:
    """Return the resources that a task reserves; a filler reserves no processors.

    Parameters
    ----------
    step : Step
        Step of the task.

    Returns
    -------
    Resources
        Resources reserved on its instance.
    """
    if not step.filler:
        return step.need
    return Resources(0, step.need.memory, step.need.accelerators)


def list_ready(
    workload: Workload, lease_table: LeaseTable, now: float
) -> Iterator[TaskKey]:
    """List the due tasks of a job without a run or a pending dependency.

    Parameters
    ----------
    workload : Workload
        The job.
    lease_table : LeaseTable
        Runs that may be going on.
    now : float
        Time in seconds since the epoch.

    Yields
    ------
    TaskKey
        The tasks, ordered by occurrence, step and number.
    """
    for occurrence in range(workload.occurrences):
        if workload.first_run + occurrence * workload.interval > now:
            return
        yield from _list_occurrence(workload, occurrence, lease_table)


def find_next_occurrence(workload: Workload, now: float) -> float:
    """Return the time at which the next occurrence of a job is due.

    Parameters
    ----------
    workload : Workload
        The job.
    now : float
        Time in seconds since the epoch.

    Returns
    -------
    float
        Time in seconds, ``NEVER`` if no occurrence follows.
    """
    for occurrence in range(workload.occurrences):
        due = workload.first_run + occurrence * workload.interval
        if due > now:
            return due
    return NEVER


def _list_occurrence(
    workload: Workload, occurrence: int, lease_table: LeaseTable
) -> Iterator[TaskKey]:
    for number, step in enumerate(workload.steps):
        if workload.is_step_done(occurrence, number):
            continue
        if not all(workload.is_step_done(occurrence, item) for item in step.after):
            continue
        for index in range(step.count):
            record = workload.tasks.get((occurrence, number, index))
            if record is not None and (record.done or record.placed):
                continue
            task = TaskKey(workload.job, occurrence, number, index)
            if task not in lease_table.runs_by_task:
                yield task


@dataclass(slots=True)
class Candidate:
    """An instance that can take tasks in one scheduling pass.

    Attributes
    ----------
    view : InstanceView
        The instance.
    free : Resources
        Resources not reserved yet.
    latency_sensitive_runs : int
        Number of runs there that have a latency target.
    withheld : Resources
        Needs of the lasting tasks that room is kept for.
    """

    view: InstanceView
    free: Resources
    latency_sensitive_runs: int = 0
    withheld: Resources = Resources()

    @property
    def room(self) -> Resources:
        """Resources for further lasting tasks once the transient runs have ended."""
        used = self.view.lasting_used + self.withheld
        return self.view.registered.capacity - used

    def can_take(self, step: Step) -> bool:
        """Tell whether the instance has the resources and label that a task needs."""
        if not find_need(step).fits(self.free):
            return False
        return not step.label or step.label in self.view.registered.labels


class CandidatePool:
    """Candidates of one service, sorted so that a choice examines few of them.

    A pool is kept from pass to pass: ``put`` and ``discard`` follow the instances that
    changed, and ``begin`` starts a pass.

    Parameters
    ----------
    candidates : Sequence of Candidate
        Instances of the pool; of equal candidates the first one is chosen. During a
        pass their free resources change only by ``take``, ``give_back`` and
        ``reserve``.
    """

    def __init__(self, candidates: Sequence[Candidate] = ()) -> None:
        self._candidates: dict[int, Candidate] = {}
        self._positions: dict[str, int] = {}
        self._registered: dict[int, RegisteredInstance] = {}
        """Registration of each candidate as it was added, by its position."""
        self._sorted: dict[tuple[str, bool], list[_Entry]] = {("", False): []}
        self._refused: set[tuple[Resources, str]] = set()
        self._by_share: dict[tuple[Resources, str], list[_Share]] = {}
        self._withheld: set[str] = set()
        for position, candidate in enumerate(candidates):
            self.put(position, candidate)

    def __len__(self) -> int:
        return len(self._candidates)

    def begin(self) -> None:
        """Begin a pass, in which no room is withheld yet."""
        self._by_share.clear()
        for life in self._withheld:
            position = self._positions.get(life)
            if position is not None:
                self._refresh(self._candidates[position])
        self._withheld.clear()
        if len(self._refused) > MAX_REFUSED_NEEDS:
            self._refused.clear()
        if len(self._sorted) > MAX_SORTED_LISTS:
            kept = self._sorted["", False]
            self._sorted = {("", False): kept}

    def put(self, position: int, candidate: Candidate) -> None:
        """Add a candidate at a position; it replaces one of the same life."""
        life = candidate.view.registered.life
        self.discard(life)
        self._positions[life] = position
        self._candidates[position] = candidate
        self._registered[position] = candidate.view.registered
        for key, entries in self._list_sorted(position):
            insort(entries, _make_entry(candidate, position, filler=key[1]))
        self._admit(candidate)

    def update(self, view: InstanceView) -> bool:
        """Follow the runs of an instance; return whether it is in the pool as it is.

        An instance with another registration has to be added again.
        """
        life = view.registered.life
        position = self._positions.get(life)
        if position is None:
            return False
        candidate = self._candidates[position]
        is_as_added = self._registered[position] is view.registered
        if candidate.view is not view or not is_as_added:
            return False
        self._refresh(candidate)
        return True

    def discard(self, life: str) -> None:
        """Remove the candidate of a life if it is in the pool."""
        position = self._positions.pop(life, None)
        if position is None:
            return
        candidate = self._candidates.pop(position)
        for key, entries in self._list_sorted(position):
            entry = _make_entry(candidate, position, filler=key[1])
            del entries[bisect_left(entries, entry)]
        del self._registered[position]

    def list_views(self) -> list[InstanceView]:
        """Return the instances of the candidates."""
        return [candidate.view for candidate in self._candidates.values()]

    def find_withheld(self) -> dict[str, Resources]:
        """Return the needs of lasting tasks that room is kept for, by life."""
        return {
            life: self._candidates[self._positions[life]].withheld
            for life in self._withheld
            if life in self._positions
        }

    def _refresh(self, candidate: Candidate) -> None:
        """Set what is free to what the runs of the instance leave."""
        view = candidate.view
        candidate.withheld = Resources()
        free = view.registered.capacity - view.used
        runs = view.latency_sensitive_runs
        if free != candidate.free or runs != candidate.latency_sensitive_runs:
            self._change(candidate, free, runs)
            self._admit(candidate)

    def _admit(self, candidate: Candidate) -> None:
        """Forget the refusals of needs that a candidate now has room for."""
        self._refused = {
            (need, label)
            for need, label in self._refused
            if not (need.fits(candidate.free) and _has_label(candidate, label))
        }

    def _list_sorted(
        self, position: int
    ) -> list[tuple[tuple[str, bool], list[_Entry]]]:
        """Return the sorted lists that contain a candidate, by label and kind."""
        keys = [
            (label, filler)
            for label in {"", *self._registered[position].labels}
            for filler in (False, True)
        ]
        return [(key, self._sorted[key]) for key in keys if key in self._sorted]

    def has_room(self, need: Resources) -> bool:
        """Tell whether some candidate has the resources.

        Parameters
        ----------
        need : Resources
            Resources that a task reserves.

        Returns
        -------
        bool
            Whether one has them; a refusal is kept until a candidate has more free.
        """
        by_cpu = self._sorted["", False]
        if not by_cpu or need.cpu > by_cpu[-1][1] or (need, "") in self._refused:
            return False
        for number in range(bisect_left(by_cpu, (0, need.cpu, -1)), len(by_cpu)):
            if need.fits(self._candidates[by_cpu[number][2]].free):
                return True
        self._refused.add((need, ""))
        return False

    def sum_free_cpu(self, least: Resources, enough: int) -> int:
        """Return the free processors of the candidates with room for a task.

        Parameters
        ----------
        least : Resources
            Resources that the smallest waiting task reserves.
        enough : int
            Processors in thousandths of a core from which on no further candidate is
            looked at.

        Returns
        -------
        int
            Processors in thousandths of a core.
        """
        total = 0
        for _, cpu, position in reversed(self._sorted["", False]):
            if cpu < least.cpu or total >= enough:
                break
            if least.fits(self._candidates[position].free):
                total += cpu
        return total

    def list_fitting(self, step: Step) -> list[Candidate]:
        """Return the candidates that can take a task of a step, in the given order."""
        if not self.has_room(find_need(step)):
            return []
        listed = [self._candidates[number] for number in sorted(self._candidates)]
        return [item for item in listed if item.can_take(step)]

    def list_racks(self) -> list[str]:
        """Return the racks of the candidates in the order of their names."""
        return sorted({item.view.registered.rack for item in self._candidates.values()})

    def choose(
        self,
        step: Step,
        is_allowed: Callable[[Candidate], bool],
        label: str = "",
    ) -> Candidate | None:
        """Choose an instance for one task.

        Prefers the rack that holds the data, then the instance with the fewest free
        processors (bin packing), so that others become idle and their machines can be
        moved or maintained. Fillers avoid instances with tasks that have a latency
        target.

        Parameters
        ----------
        step : Step
            Step of the task.
        is_allowed : Callable
            Tells whether the task may run on an instance that has the resources.
        label : str
            Label that the instance must have besides the label of the step; empty for
            none.

        Returns
        -------
        Candidate or None
            The chosen instance, or None if no instance fits.
        """
        need = find_need(step)
        key = (need, step.label)
        if key in self._refused or not self.has_room(need):
            return None
        label = label or step.label
        if step.data_rack:
            for item in self._iterate(step, need, step.data_rack):
                if _has_label(item, label) and is_allowed(item):
                    return item
        can_any_take = False
        for item in self._iterate(step, need, label):
            can_any_take = True
            if is_allowed(item):
                return item
        if not can_any_take and label == step.label:
            self._refused.add(key)
        return None

    def take(self, candidate: Candidate, need: Resources) -> None:
        """Reserve resources of a candidate."""
        self._change(candidate, candidate.free - need)

    def give_back(self, life: str, need: Resources) -> None:
        """Undo ``take`` on the candidate of a life, in the same pass."""
        candidate = self._candidates[self._positions[life]]
        self._change(candidate, candidate.free + need)
        self._admit(candidate)

    def withhold(self, candidate: Candidate, need: Resources) -> None:
        """Keep resources of a candidate from the rest of the pass."""
        self._withhold(self._positions[candidate.view.registered.life], need)

    def release(self, candidate: Candidate, need: Resources) -> None:
        """Undo ``withhold`` in the same pass."""
        candidate.withheld -= need
        self.give_back(candidate.view.registered.life, need)

    def reserve(
        self, step: Step, count: int, count_allowed: Callable[[Candidate], int]
    ) -> int:
        """Withhold room for tasks of a step from the rest of the pass.

        The candidates that lack least come first. What they have free of a task's need
        is withheld, so that they never lack more, while their transient runs end and
        make room. Nothing is withheld for a gang that the candidates can't hold
        together.

        Parameters
        ----------
        step : Step
            Step of tasks that can't start in this pass.
        count : int
            Number of the tasks.
        count_allowed : Callable
            Tells how many of the tasks may run on an instance with the resources.

        Returns
        -------
        int
            Number of the tasks that the candidates can hold, beside those of earlier
            calls.
        """
        need = find_need(step)
        if step.gang and self._count_held(step, count_allowed) < count:
            return 0
        queue = self._list_by_share(need, step.label)
        examined: list[int] = []
        remaining = count
        while remaining and (position := self._pop(queue, need)) is not None:
            examined.append(position)
            candidate = self._candidates[position]
            fitting = _count_fitting(need, candidate.room)
            taken = min(remaining, fitting, count_allowed(candidate))
            if taken > 0:
                remaining -= taken
                self._withhold(position, need * taken)
        for position in examined:
            share = -_find_share(need, self._candidates[position].free)
            heappush(queue, (share, position))
        return count - remaining

    def _withhold(self, position: int, need: Resources) -> None:
        candidate = self._candidates[position]
        candidate.withheld += need
        self._withheld.add(candidate.view.registered.life)
        self._change(candidate, subtract_free(candidate.free, need))

    def _pop(self, queue: list[_Share], need: Resources) -> int | None:
        """Return the position of the candidate that lacks least, None if none is left.

        The shares in the queue are upper bounds: reservations reduce what is free, and
        the room, so that a candidate without room is dropped.
        """
        while queue:
            bound, position = heappop(queue)
            candidate = self._candidates[position]
            if not need.fits(candidate.room):
                continue
            share = -_find_share(need, candidate.free)
            if share <= bound:
                return position
            heappush(queue, (share, position))
        return None

    def _count_held(self, step: Step, count_allowed: Callable[[Candidate], int]) -> int:
        """Return how many tasks the candidates hold without their transient runs."""
        need = find_need(step)
        return sum(
            max(0, min(count_allowed(item), _count_fitting(need, item.room)))
            for item in self._candidates.values()
            if _has_label(item, step.label)
        )

    def _list_by_share(self, need: Resources, label: str) -> list[_Share]:
        """Return a heap of the candidates that can hold a task, least lacking first."""
        queue = self._by_share.get((need, label))
        if queue is None:
            queue = [
                (-_find_share(need, item.free), position)
                for position, item in self._candidates.items()
                if _has_label(item, label) and need.fits(item.room)
            ]
            heapify(queue)
            self._by_share[need, label] = queue
        return queue

    def _iterate(self, step: Step, need: Resources, label: str) -> Iterator[Candidate]:
        """Iterate over the candidates that can take a task, best first."""
        entries = self._sort(label, filler=step.filler)
        # The entries before hold no candidate with enough free processors.
        start = 0 if step.filler else bisect_left(entries, (0, need.cpu, -1))
        for number in range(start, len(entries)):
            candidate = self._candidates[entries[number][2]]
            if candidate.can_take(step):
                yield candidate

    def _sort(self, label: str, *, filler: bool) -> list[_Entry]:
        entries = self._sorted.get((label, filler))
        if entries is None:
            entries = sorted(
                _make_entry(item, number, filler=filler)
                for number, item in self._candidates.items()
                if _has_label(item, label)
            )
            self._sorted[label, filler] = entries
        return entries

    def _change(
        self, candidate: Candidate, free: Resources, runs: int | None = None
    ) -> None:
        position = self._positions[candidate.view.registered.life]
        lists = self._list_sorted(position)
        for key, entries in lists:
            entry = _make_entry(candidate, position, filler=key[1])
            del entries[bisect_left(entries, entry)]
        candidate.free = free
        if runs is not None:
            candidate.latency_sensitive_runs = runs
        for key, entries in lists:
            insort(entries, _make_entry(candidate, position, filler=key[1]))


def _make_entry(candidate: Candidate, position: int, *, filler: bool) -> _Entry:
    latency_sensitive_runs = candidate.latency_sensitive_runs if filler else 0
    return latency_sensitive_runs, candidate.free.cpu, position


def subtract_free(free: Resources, need: Resources) -> Resources:
    """Return what is left of free resources, where 0 is left of those that lack.

    Parameters
    ----------
    free : Resources
        Free resources.
    need : Resources
        Resources that are taken or kept.

    Returns
    -------
    Resources
        What is left.
    """
    return Resources(
        max(0, free.cpu - need.cpu),
        max(0, free.memory - need.memory),
        max(0, free.accelerators - need.accelerators),
    )


def _find_share(need: Resources, free: Resources) -> float:
    """Return the share of a need that is free, of the resource that lacks most."""
    shares = [
        have / wanted
        for have, wanted in (
            (free.cpu, need.cpu),
            (free.memory, need.memory),
            (free.accelerators, need.accelerators),
        )
        if wanted
    ]
    return min(shares, default=0.0)


def _count_fitting(need: Resources, free: Resources) -> int:
    """Return how many tasks of a need fit into free resources."""
    if not need.fits(free):
        return 0
    counts = [
        have // wanted
        for have, wanted in (
            (free.cpu, need.cpu),
            (free.memory, need.memory),
            (free.accelerators, need.accelerators),
        )
        if wanted
    ]
    return min(counts, default=maxsize)


def _has_label(candidate: Candidate, label: str) -> bool:
    return not label or label in candidate.view.registered.labels
