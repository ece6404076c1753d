"""Which machines lasting tasks can leave, and which ones are given back to them."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from gypsumwalk.dispatcher import Dispatcher
from gypsumwalk.effects import Record, Scalar
from gypsumwalk.emptying import (
    EmptyingPlan,
    LastingTask,
    PlaceBook,
    PlannedMove,
    find_step_key,
)
from gypsumwalk.events import Event
from gypsumwalk.leases import RunView
from gypsumwalk.machine_directory import MachineDirectory
from gypsumwalk.task_scheduler import TaskScheduler
from gypsumwalk.workload_records import TaskKey

__all__ = ["MachineEmptying"]

REFUSAL_SECONDS = 0.5
"""Time until a machine without a plan is examined again."""

RETRY_SECONDS = 15.0
"""Time until a machine that was given up may be emptied again; doubles each time."""

MAX_RETRY_SECONDS = 120.0
"""Longest such time."""

PAUSE_SECONDS = 3.0
"""Time for which a machine whose tasks wait for its return is kept for its order."""

RETURN_SECONDS = 8.0
"""Time after which tasks that wait for the return of a machine count as stranded."""

WAIT_SECONDS = 5.0
"""Time for which a task waits for a place that is in use by transient runs."""


@dataclass(frozen=True, slots=True)
class _Retry:
    at: float
    pause: float


class MachineEmptying:
    """Plans of a term to empty machines, which are made anew in each pass.

    A machine is emptied only if each of its lasting tasks has a place elsewhere, or may
    wait for the return of the machine. One that lost this after its first stop is given
    up, so that its tasks can return.

    Parameters
    ----------
    dispatcher : Dispatcher
        Runs and the budgets of their steps.
    scheduler : TaskScheduler
        Instances that take work, and tasks that wait for one.
    directory : MachineDirectory
        Machines of the fleet.
    """

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        scheduler: TaskScheduler,
        directory: MachineDirectory,
    ) -> None:
        self._dispatcher = dispatcher
        self._scheduler = scheduler
        self._directory = directory
        self._refused_until: dict[str, float] = {}
        self._retries: dict[str, _Retry] = {}
        self._started: set[str] = set()
        """Machines whose lasting tasks have been stopped."""
        self._pausing: dict[str, float] = {}
        """Machines whose tasks wait for their return, and how long they are kept."""
        self._returning: dict[TaskKey, float] = {}
        """Tasks that wait for the return of their machine, and until when."""
        self._waiting_since: dict[TaskKey, float] = {}
        self._due: Sequence[str] = ()
        self._now = 0.0
        self._kept: set[str] = set()
        """Machines that have been closed to new tasks since the latest pass."""
        self._plans: dict[str, EmptyingPlan | None] = {}
        self._book: PlaceBook | None = None
        self._stranded: list[LastingTask] = []
        """Tasks that ran before and have no free place."""
        self._records: list[Record] = []

    def clear(self) -> None:
        """Forget all plans, at the start of a term."""
        for state in (
            self._refused_until,
            self._retries,
            self._started,
            self._pausing,
            self._returning,
            self._waiting_since,
            self._plans,
        ):
            state.clear()

    def begin(self, due: Sequence[str], now: float) -> None:
        """Begin a pass over the machines that are due, the next one first."""
        self._kept = {item for item, plan in self._plans.items() if plan is not None}
        self._plans = {}
        self._book = None
        self._due = due
        self._now = now
        machines = set(due)
        self._started &= machines
        self._retries = {
            machine: retry
            for machine, retry in self._retries.items()
            if machine in machines
        }
        self._pausing = {
            machine: until
            for machine, until in self._pausing.items()
            if machine in machines and now < until
        }

    def take_records(self) -> list[Record]:
        """Return the events of the pass."""
        records, self._records = self._records, []
        return records

    def is_pausing(self, machine: str) -> bool:
        """Tell whether tasks were stopped to wait for the return of a machine."""
        return machine in self._pausing

    def is_started(self, machine: str) -> bool:
        """Tell whether lasting tasks of a machine that goes next were stopped."""
        return machine in self._started

    def find_plan(self, machine: str) -> EmptyingPlan | None:
        """Return the plan of this pass for a machine that may be emptied."""
        return self._plans.get(machine)

    def can_empty(
        self, machine: str, *, can_go_down: bool = False, is_leaving: bool = False
    ) -> bool:
        """Tell whether all lasting tasks can leave a machine, and plan how.

        Parameters
        ----------
        machine : str
            The machine, to be closed to new tasks from then on.
        can_go_down : bool
            Whether it is empty and can be taken down in this pass.
        is_leaving : bool
            Whether its instance leaves in any case.

        Returns
        -------
        bool
            Whether it has a plan in this pass.
        """
        if machine not in self._plans:
            if is_leaving:
                runs = self._list_staying(machine)
                moves = [PlannedMove(run, is_ready=True) for run in runs]
                self._plans[machine] = EmptyingPlan(moves)
            elif self.is_pausing(machine):
                self._plans[machine] = EmptyingPlan()
            else:
                self._plans[machine] = self._find_plan(machine, can_go_down)
        return self._plans[machine] is not None

    def promise_free(self, run: RunView) -> bool:
        """Promise a free place to the task of a run whose machine is not next.

        The place is on a machine that stays, so that the task moves only once.
        """
        item = self._scheduler.describe_lasting(run, self._dispatcher.lease_table)
        return item is None or self._open_book().promise_free(item)

    def note_started(self, machine: str) -> None:
        """Note that a lasting task of a machine is being stopped."""
        self._started.add(machine)

    def note_pause(self, machine: str, runs: Iterable[RunView]) -> None:
        """Note that runs are being stopped whose tasks wait for their machine."""
        self._started.add(machine)
        self._pausing[machine] = self._now + PAUSE_SECONDS
        for run in runs:
            self._returning[run.task] = self._now + RETURN_SECONDS

    def _is_refused(self, machine: str) -> bool:
        return self._now < self._refused_until.get(machine, 0.0)

    def _is_resting(self, machine: str) -> bool:
        """Tell whether a machine that was given up keeps its tasks for a while."""
        retry = self._retries.get(machine)
        if retry is None or self._now >= retry.at:
            return False
        return bool(self._list_staying(machine))

    def _find_plan(self, machine: str, can_go_down: bool) -> EmptyingPlan | None:
        if self._is_refused(machine) or self._is_resting(machine):
            return None
        is_held = machine in self._kept and not can_go_down
        if is_held and self._return_stranded(machine):
            self._give_up(machine)
            return None
        plan = self._make_plan(machine)
        if plan is None:
            self._refused_until[machine] = self._now + REFUSAL_SECONDS
            if machine in self._started:
                self._give_up(machine)
        return plan

    def _make_plan(self, machine: str) -> EmptyingPlan | None:
        runs = self._list_staying(machine)
        if not runs and self._book is None and not self._has_claims():
            return EmptyingPlan()
        lease_table = self._dispatcher.lease_table
        items: list[LastingTask] = []
        moves: list[PlannedMove] = []
        for run in runs:
            item = self._scheduler.describe_lasting(run, lease_table)
            if item is None:
                moves.append(PlannedMove(run, is_ready=True))
            else:
                items.append(item)
        budgets = {
            find_step_key(run.task): self._dispatcher.find_interruption_limit(run)
            for run in runs
        }
        plan = self._open_book().plan(machine, items, budgets)
        if plan is None:
            return None
        return EmptyingPlan([*moves, *plan.moves], plan.pauses)

    def _list_staying(self, machine: str) -> list[RunView]:
        view = self._directory.find_view(machine)
        runs = view.runs.values() if view is not None else ()
        return [run for run in runs if run.is_lasting and not run.is_stopping]

    def _has_claims(self) -> bool:
        """Tell whether another machine may need to be a place for some task."""
        return bool(self._started) or self._scheduler.has_waiting_lasting()

    def _open_book(self) -> PlaceBook:
        """Return the places of this pass, without those of tasks that are away."""
        if self._book is not None:
            return self._book
        lease_table = self._dispatcher.lease_table
        left = [item for item, plan in self._plans.items() if plan is not None]
        views = self._scheduler.list_open_instances(lease_table, self._now)
        book = self._book = PlaceBook(views, lease_table, self._due, left)
        self._stranded = []
        self._returning = {
            task: until for task, until in self._returning.items() if self._now < until
        }
        for view in lease_table.instances.values():
            for run in view.runs.values():
                if not run.is_lasting or not run.is_stopping:
                    continue
                item = self._scheduler.describe_lasting(run, lease_table)
                if item is not None and run.task not in self._returning:
                    book.promise(item)
        self._claim_for_waiting(book)
        return book

    def _claim_for_waiting(self, book: PlaceBook) -> None:
        lease_table = self._dispatcher.lease_table
        waiting = self._scheduler.list_waiting_lasting(lease_table, self._now)
        since = self._waiting_since
        self._waiting_since = {}
        for item in waiting:
            if item.task in self._returning:
                continue
            if not self._scheduler.has_run_before(item.task):
                book.note_fresh(item)
                continue
            began = since.get(item.task, self._now)
            self._waiting_since[item.task] = began
            has_waited = self._now - began >= WAIT_SECONDS
            is_late = has_waited and not book.has_free_place(item)
            if not book.promise(item) or is_late:
                self._stranded.append(item)

    def _return_stranded(self, machine: str) -> bool:
        """Promise a closed machine to tasks without a free place, if any fits."""
        view = self._directory.find_view(machine)
        if view is None or (self._book is None and not self._has_claims()):
            return False
        taken = self._open_book().reopen(view, self._stranded)
        self._stranded = [item for item in self._stranded if item not in taken]
        return bool(taken)

    def _give_up(self, machine: str) -> None:
        """Open a machine to its tasks again.

        One whose tasks were stopped stays open for a while, as they are not to be
        stopped again and again.
        """
        pause = REFUSAL_SECONDS
        if machine in self._started:
            known = self._retries.get(machine)
            pause = min(2 * known.pause, MAX_RETRY_SECONDS) if known else RETRY_SECONDS
            self._retries[machine] = _Retry(self._now + pause, pause)
            self._started.discard(machine)
        self._refused_until[machine] = self._now + REFUSAL_SECONDS
        attributes: dict[str, Scalar] = {"pause": pause}
        self._records.append(Record(Event.MACHINE_REOPENED, machine, attributes))
