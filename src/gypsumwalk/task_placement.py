"""Ready tasks of a job, and the choice of an instance for each of them."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

from gypsumwalk.declaration_records import Resources
from gypsumwalk.leases import InstanceView, LeaseTable
from gypsumwalk.workload_records import Step, TaskKey, Workload

__all__ = ["Candidate", "choose_instance", "find_need", "list_ready"]


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
    """

    view: InstanceView
    free: Resources
    latency_sensitive_runs: int = 0

    def can_take(self, step: Step) -> bool:
        """Tell whether the instance has the resources and label that a task needs."""
        if not find_need(step).fits(self.free):
            return False
        return not step.label or step.label in self.view.registered.labels


def choose_instance(
    step: Step,
    candidates: Mapping[str, Candidate],
    count_tasks: Callable[[Candidate], int],
) -> Candidate | None:
    """Choose an instance for one task.

    Prefers the rack that holds the data, then the instance with the fewest free
    processors (bin packing), so that others become idle and their machines can be moved
    or maintained. Fillers avoid instances with tasks that have a latency target.

    Parameters
    ----------
    step : Step
        Step of the task.
    candidates : Mapping of str to Candidate
        Instances of the pool, by life.
    count_tasks : Callable
        Returns the number of tasks of the same step and occurrence on an instance.

    Returns
    -------
    Candidate or None
        The chosen instance, or None if no instance fits.
    """
    best: Candidate | None = None
    best_rank: tuple[bool, int, int] | None = None
    for candidate in candidates.values():
        if not candidate.can_take(step):
            continue
        registered = candidate.view.registered
        if step.max_per_instance and count_tasks(candidate) >= step.max_per_instance:
            continue
        is_near_data = not step.data_rack or step.data_rack in registered.labels
        latency_sensitive_tasks = candidate.latency_sensitive_runs if step.filler else 0
        rank = (is_near_data, -latency_sensitive_tasks, -candidate.free.cpu)
        if best_rank is None or rank > best_rank:
            best, best_rank = candidate, rank
    return best
