"""Release of machines: they get no further tasks, and late runs on them are stopped."""

from gypsumwalk.dispatcher import Dispatcher
from gypsumwalk.effects import Effect, Record, Scalar
from gypsumwalk.events import Event
from gypsumwalk.leases import RunState, RunView
from gypsumwalk.machine_directory import MachineDirectory
from gypsumwalk.machine_releases import ReleasedRun, choose_preempted
from gypsumwalk.task_scheduler import TaskScheduler

__all__ = ["MachineReleaser"]


class MachineReleaser:
    """Carries out the release of machines for the controller of the pools.

    Parameters
    ----------
    dispatcher : Dispatcher
        Stops runs and starts scheduling passes.
    scheduler : TaskScheduler
        Places no runs on released machines.
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

    def release(self, machines: set[str], now: float) -> list[Effect]:
        """Replace the released machines, and stop late runs on them.

        Parameters
        ----------
        machines : set of str
            Machines that get no further tasks.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Events and orders.
        """
        known = self._scheduler.released
        if known - machines:
            self._dispatcher.request_scheduling_pass(now)
        self._scheduler.released = machines
        effects: list[Effect] = []
        for machine in sorted(machines - known):
            effects.append(Record(Event.MACHINE_RELEASED, machine, {}))
        for machine in sorted(machines):
            effects += self._preempt(machine, now)
        return effects

    def _preempt(self, machine: str, now: float) -> list[Effect]:
        """Stop runs of late jobs on a released machine, so that it can move sooner."""
        view = self._directory.find_view(machine)
        if view is None:
            return []
        by_task: dict[str, RunView] = {str(run.task): run for run in view.runs.values()}
        described = [self._describe_run(run, now) for run in by_task.values()]
        effects: list[Effect] = []
        for item in choose_preempted(described):
            attributes: dict[str, Scalar] = {
                "machine": machine,
                "remaining": round(item.remaining, 2),
                "unsaved": round(item.unsaved, 2),
            }
            effects.append(Record(Event.RUN_PREEMPTED, item.task, attributes))
            effects += self._dispatcher.stop(by_task[item.task], now)
        return effects

    def _describe_run(self, run: RunView, now: float) -> ReleasedRun:
        elapsed = max(0.0, now - (run.confirmed_at or now))
        remaining = self._scheduler.lateness.predict_remaining(run, elapsed)
        may_stop = run.state is RunState.RUNNING and not run.is_stopping
        return ReleasedRun(
            task=str(run.task),
            remaining=0.0 if run.is_stopping else remaining,
            unsaved=0.0 if run.checkpoint else elapsed,
            is_late=may_stop and self._scheduler.lateness.may_preempt(run, now),
        )
