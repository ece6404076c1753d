"""Lasting tasks on the machines of a wave, which are stopped within their budgets."""

from collections import Counter
from collections.abc import Iterable, Sequence

from gypsumwalk.dispatcher import Dispatcher
from gypsumwalk.effects import Effect, Record, Scalar
from gypsumwalk.emptying import PlannedMove, StepKey, find_step_key
from gypsumwalk.events import Event
from gypsumwalk.leases import RunState, RunView
from gypsumwalk.machine_directory import MachineDirectory
from gypsumwalk.machine_emptying import MachineEmptying
from gypsumwalk.task_scheduler import TaskScheduler

__all__ = ["WaveDraining"]


class WaveDraining:
    """Stops lasting tasks on machines that a wave takes down.

    Parameters
    ----------
    dispatcher : Dispatcher
        Placement of runs on instances, and orders to stop them.
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
        self._emptying = MachineEmptying(
            dispatcher=dispatcher, scheduler=scheduler, directory=directory
        )
        self._reserved: set[StepKey] = set()
        """Steps whose budgets a machine that goes next waits for."""

    def list_runs(self, machine: str) -> list[RunView]:
        """Return the runs that may be going on on a machine."""
        view = self._directory.find_view(machine)
        return list(view.runs.values()) if view else []

    def count_moves(self, machines: Iterable[str]) -> tuple[int, int]:
        """Count the moves of lasting tasks that the emptying of machines takes.

        Parameters
        ----------
        machines : Iterable of str
            The machines.

        Returns
        -------
        tuple of int
            Most moves of one step that its budget allows only one after the other, and
            the number of moves that all budgets allow at the same time.
        """
        counts: Counter[StepKey] = Counter()
        limits: dict[StepKey, int] = {}
        for machine in machines:
            for run in self.list_runs(machine):
                if run.is_lasting:
                    step = find_step_key(run.task)
                    counts[step] += 1
                    limit = self._dispatcher.find_interruption_limit(run)
                    limits[step] = max(1, limit)
        rounds = [-(-count // limits[step]) for step, count in counts.items()]
        at_once = sum(min(counts[step], limit) for step, limit in limits.items())
        return max(rounds, default=0), at_once

    def list_movable(self, machines: Iterable[str], limit: int) -> list[str]:
        """Return machines that the budgets allow to empty now.

        Parameters
        ----------
        machines : Iterable of str
            Machines with lasting tasks.
        limit : int
            Most machines to return.

        Returns
        -------
        list of str
            Machines each of whose lasting tasks is being stopped, or may be.
        """
        movable: list[str] = []
        exhausted: set[StepKey] = set()
        for machine in machines:
            if len(movable) >= limit:
                break
            lasting = [run for run in self.list_runs(machine) if run.is_lasting]
            if all(self._may_move(run, exhausted) for run in lasting):
                movable.append(machine)
        return movable

    def _may_move(self, run: RunView, exhausted: set[StepKey]) -> bool:
        if run.is_stopping:
            return True
        step = find_step_key(run.task)
        if step in exhausted or run.state is not RunState.RUNNING:
            return False
        if self._dispatcher.may_interrupt(run):
            return True
        exhausted.add(step)
        return False

    def begin(self, due: Sequence[str], now: float) -> None:
        """Begin a pass over the machines that are due, the next one first."""
        self._reserved.clear()
        self._emptying.begin(due, now)

    def clear(self) -> None:
        """Forget which machines are being emptied, at the start of a term."""
        self._emptying.clear()

    def take_records(self) -> list[Record]:
        """Return the events of machines that were given up in this pass."""
        return self._emptying.take_records()

    def is_pausing(self, machine: str) -> bool:
        """Tell whether tasks were stopped to wait for the return of a machine."""
        return self._emptying.is_pausing(machine)

    def is_started(self, machine: str) -> bool:
        """Tell whether lasting tasks of a machine that goes next were stopped."""
        return self._emptying.is_started(machine)

    def can_empty(
        self, machine: str, *, can_go_down: bool = False, is_leaving: bool = False
    ) -> bool:
        """Tell whether all lasting tasks can leave a machine that goes next.

        Parameters
        ----------
        machine : str
            The machine.
        can_go_down : bool
            Whether it is empty and can be taken down in this pass.
        is_leaving : bool
            Whether its instance leaves in any case.

        Returns
        -------
        bool
            Whether each task has a place, or may wait for the return of the machine.
        """
        return self._emptying.can_empty(
            machine, can_go_down=can_go_down, is_leaving=is_leaving
        )

    def drain(self, machine: str, now: float, *, can_go_down: bool) -> list[Effect]:
        """Stop the lasting tasks of a machine that is taken down next.

        Tasks that wait for the return of the machine are stopped last, all at the same
        time.

        Parameters
        ----------
        machine : str
            A machine whose lasting tasks can leave it.
        now : float
            Time in seconds.
        can_go_down : bool
            Whether it can be taken down as soon as its lasting tasks have ended.

        Returns
        -------
        list of Effect
            Orders to stop runs, and their events.
        """
        plan = self._emptying.find_plan(machine)
        if plan is None:
            return []
        if not plan.moves:
            return self._pause(machine, plan.pauses, now) if can_go_down else []
        effects: list[Effect] = []
        for move in sorted(plan.moves, key=_find_readiness):
            effects += self._move(move.run, machine, now)
        return effects

    def _pause(self, machine: str, runs: Sequence[RunView], now: float) -> list[Effect]:
        """Stop runs whose tasks wait for the return of a machine."""
        if not runs:
            return []
        is_known = all(run.state is RunState.RUNNING for run in runs)
        if not is_known or not self._dispatcher.may_interrupt_all(runs):
            # Moves from other machines would use up the budgets again and again.
            self._reserved.update(find_step_key(run.task) for run in runs)
            return []
        self._emptying.note_pause(machine, runs)
        effects: list[Effect] = []
        for run in runs:
            effects += self._evacuate(run, machine, now)
        return effects

    def _move(self, run: RunView, machine: str, now: float) -> list[Effect]:
        """Stop a run whose task has another place, if its budget allows."""
        is_known = run.state is RunState.RUNNING
        if not is_known or find_step_key(run.task) in self._reserved:
            return []
        if not self._dispatcher.may_interrupt(run):
            return []
        self._emptying.note_started(machine)
        return self._evacuate(run, machine, now)

    def drain_ahead(self, machines: Sequence[str], now: float) -> list[Effect]:
        """Evacuate lasting tasks of machines that are taken down later.

        The budgets of their steps allow only a few evacuations at a time, too few for
        the end of a wave. Transient tasks still start on these machines, so a task
        needs a free place of its own on a machine that stays, and nothing else.
        """
        effects: list[Effect] = []
        exhausted: set[StepKey] = set(self._reserved)
        for machine in machines:
            for run in self._list_movable(machine):
                if not self._may_move(run, exhausted):
                    continue
                if self._emptying.promise_free(run):
                    effects += self._evacuate(run, machine, now)
                else:
                    exhausted.add(find_step_key(run.task))
        return effects

    def _list_movable(self, machine: str) -> list[RunView]:
        return [
            run
            for run in self.list_runs(machine)
            if run.is_lasting and not run.is_stopping and run.state is RunState.RUNNING
        ]

    def _evacuate(self, run: RunView, machine: str, now: float) -> list[Effect]:
        attributes: dict[str, Scalar] = {"run": run.run, "machine": machine}
        record = Record(Event.RUN_EVACUATED, str(run.task), attributes)
        return [record, *self._dispatcher.stop(run, now)]


def _find_readiness(move: PlannedMove) -> bool:
    """Return a sort key by which tasks with a free place move first."""
    return not move.is_ready
