"""Lasting tasks on the machines of a wave, which are stopped within their budgets."""

from collections import Counter
from collections.abc import Iterable, Sequence

from gypsumwalk.dispatcher import Dispatcher
from gypsumwalk.effects import Effect, Record, Scalar
from gypsumwalk.events import Event
from gypsumwalk.leases import RunState, RunView
from gypsumwalk.machine_directory import MachineDirectory
from gypsumwalk.task_scheduler import TaskScheduler

__all__ = ["WaveDraining"]

_StepKey = tuple[str, int, int]


class WaveDraining:
    """Stops lasting tasks on machines that a wave takes down.

    Parameters
    ----------
    dispatcher : Dispatcher
        Placement of runs on instances, and orders to stop them.
    scheduler : TaskScheduler
        Tells whether another machine has room for a task.
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
        counts: Counter[_StepKey] = Counter()
        limits: dict[_StepKey, int] = {}
        for machine in machines:
            for run in self.list_runs(machine):
                if run.is_lasting:
                    step = _find_step(run)
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
        exhausted: set[_StepKey] = set()
        for machine in machines:
            if len(movable) >= limit:
                break
            lasting = [run for run in self.list_runs(machine) if run.is_lasting]
            if all(self._may_move(run, exhausted) for run in lasting):
                movable.append(machine)
        return movable

    def _may_move(self, run: RunView, exhausted: set[_StepKey]) -> bool:
        if run.is_stopping:
            return True
        step = _find_step(run)
        if step in exhausted or run.state is not RunState.RUNNING:
            return False
        if self._dispatcher.may_interrupt(run):
            return True
        exhausted.add(step)
        return False

    def drain(self, machine: str, now: float) -> list[Effect]:
        """Stop the lasting tasks of a machine that is taken down next."""
        effects: list[Effect] = []
        for run in self._list_movable(machine):
            if self._dispatcher.may_interrupt(run):
                effects += self._evacuate(run, machine, now)
        return effects

    def drain_ahead(self, machines: Sequence[str], now: float) -> list[Effect]:
        """Evacuate lasting tasks of machines that are taken down later.

        The budgets of their steps allow only a few evacuations at a time, too few for
        the end of a wave. Transient tasks still start on these machines.
        """
        effects: list[Effect] = []
        exhausted: set[_StepKey] = set()
        for machine in machines:
            for run in self._list_movable(machine):
                step = _find_step(run)
                if step in exhausted:
                    continue
                if not self._dispatcher.may_interrupt(run):
                    exhausted.add(step)
                elif self._scheduler.can_move(run, self._dispatcher.lease_table, now):
                    effects += self._evacuate(run, machine, now)
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


def _find_step(run: RunView) -> _StepKey:
    job, occurrence, step, _ = run.task
    return job, occurrence, step
