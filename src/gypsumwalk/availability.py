"""Budget of the tasks of a lasting step that may be unavailable at the same time."""

from collections.abc import Sequence

from gypsumwalk.leases import LeaseTable, RunState, RunView
from gypsumwalk.workload_records import TaskKey
from gypsumwalk.workloads import WorkloadSection

__all__ = ["AvailabilityBudget"]

FULL_PERCENT = 100


class AvailabilityBudget:
    """Tells which lasting tasks may be interrupted within ``max_unavailable``.

    Every task that is not known to be at work counts as unavailable, whatever the
    cause: a new leader counts a task again once its instance has listed it.

    Parameters
    ----------
    workloads : WorkloadSection
        Jobs and instances.
    """

    def __init__(self, workloads: WorkloadSection) -> None:
        self._workloads = workloads

    def choose_interruptible(
        self, runs: Sequence[RunView], lease_table: LeaseTable
    ) -> list[RunView]:
        """Return the runs of a step that may be stopped together.

        Those whose tasks are unavailable already come first and cost nothing more.

        Parameters
        ----------
        runs : Sequence of RunView
            Runs of different lasting tasks of one step and occurrence.
        lease_table : LeaseTable
            Runs that may be going on.

        Returns
        -------
        list of RunView
            Some of the runs.
        """
        step = self._workloads.find_step(runs[0].task) if runs else None
        if step is None or step.max_unavailable < 0:
            return list(runs)
        tasks = [runs[0].task._replace(number=number) for number in range(step.count)]
        unavailable = sum(not _is_available(task, lease_table) for task in tasks)
        left = step.max_unavailable - unavailable
        if left < 0:
            return []
        away = [run for run in runs if not _is_available(run.task, lease_table)]
        others = [run for run in runs if _is_available(run.task, lease_table)]
        return away + others[:left]

    def may_interrupt(self, run: RunView, lease_table: LeaseTable) -> bool:
        """Tell whether a run may be stopped, although its task has to go on.

        Parameters
        ----------
        run : RunView
            A run of a lasting task.
        lease_table : LeaseTable
            Runs that may be going on.

        Returns
        -------
        bool
            True if fewer than ``max_unavailable`` other tasks of its step are
            unavailable, or the step has no such limit. The budget of a gang has to
            cover all its members.
        """
        step = self._workloads.find_step(run.task)
        if step is None or step.max_unavailable < 0:
            return True
        if step.gang:
            # A stop of one member ends all of them.
            return step.count <= step.max_unavailable
        unavailable = 0
        for number in range(step.count):
            task = run.task._replace(number=number)
            if number != run.task.number and not _is_available(task, lease_table):
                unavailable += 1
                if unavailable >= step.max_unavailable:
                    return False
        return unavailable < step.max_unavailable

    def may_interrupt_all(
        self, runs: Sequence[RunView], lease_table: LeaseTable
    ) -> bool:
        """Tell whether runs of different steps may be stopped together."""
        by_step: dict[tuple[str, int, int], list[RunView]] = {}
        for run in runs:
            by_step.setdefault(run.task[:3], []).append(run)
        return all(
            len(self.choose_interruptible(group, lease_table)) == len(group)
            and self.may_interrupt(group[0], lease_table)
            for group in by_step.values()
        )

    def find_limit(self, run: RunView) -> int:
        """Return how many tasks of the step of a run may be stopped at once.

        0 if none may ever be, as for a gang with a smaller budget than members.
        """
        step = self._workloads.find_step(run.task)
        if step is None:
            return 1
        if step.max_unavailable < 0:
            return step.count
        if step.gang and step.count > step.max_unavailable:
            return 0
        return step.max_unavailable


def _is_available(task: TaskKey, lease_table: LeaseTable) -> bool:
    runs = lease_table.runs_by_task.get(task, {})
    return any(_is_at_work(run, lease_table) for run in runs.values())


def _is_at_work(run: RunView, lease_table: LeaseTable) -> bool:
    if run.state is not RunState.RUNNING or run.is_stopping:
        return False
    view = lease_table.instances.get(run.life)
    is_listed = run.first_listed_at > 0 and run.percent >= FULL_PERCENT
    return is_listed and view is not None and view.is_responsive
