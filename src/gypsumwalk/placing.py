"""Choice of instances for the tasks of a job that may start now."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

from gypsumwalk.declaration_records import Resources
from gypsumwalk.leases import InstanceView, LeaseBook
from gypsumwalk.workload_records import Step, TaskKey, Workload

__all__ = ["Candidate", "choose_instance", "find_need", "list_ready"]


def find_need(step: Step) -> Resources:
    """Return the room that a task takes; a filler's processors are not counted.

    Parameters
    ----------
    step : Step
        Step of the task.

    Returns
    -------
    Resources
        What it takes of an instance.
    """
    if not step.filler:
        return step.need
    return Resources(0, step.need.memory, step.need.accelerators)


def list_ready(workload: Workload, book: LeaseBook, now: float) -> Iterator[TaskKey]:
    """List the tasks of a job that may start now and have no run.

    Parameters
    ----------
    workload : Workload
        The job.
    book : LeaseBook
        What may be running.
    now : float
        Time in seconds since the epoch.

    Yields
    ------
    TaskKey
        The tasks, in the order of occurrences, steps and numbers.
    """
    for occurrence in range(workload.occurrences):
        if workload.first_run + occurrence * workload.interval > now:
            return
        yield from _list_occurrence(workload, occurrence, book)


def _list_occurrence(
    workload: Workload, occurrence: int, book: LeaseBook
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
            if task not in book.by_task:
                yield task


@dataclass(slots=True)
class Candidate:
    """An instance that may take tasks in one pass, and the room left there."""

    view: InstanceView
    free: Resources
    serving: int = 0

    def can_take(self, step: Step) -> bool:
        """Tell whether it has room and the label for a task of a step."""
        if not find_need(step).fits(self.free):
            return False
        return not step.label or step.label in self.view.registered.labels


def choose_instance(
    step: Step,
    candidates: Mapping[str, Candidate],
    count_same: Callable[[Candidate], int],
) -> Candidate | None:
    """Choose an instance for one task.

    The rack of the data goes first, then the fullest instance that has room, so that
    others become idle and can rest. Fillers avoid instances with tasks that have a
    latency target.

    Parameters
    ----------
    step : Step
        Step of the task.
    candidates : Mapping of str to Candidate
        Instances of the pool, by life.
    count_same : Callable
        Returns how many tasks of the same step and occurrence an instance has.

    Returns
    -------
    Candidate or None
        The choice, or None if no instance fits.
    """
    best: Candidate | None = None
    best_rank: tuple[bool, int, int] | None = None
    for candidate in candidates.values():
        if not candidate.can_take(step):
            continue
        registered = candidate.view.registered
        if step.max_per_instance and count_same(candidate) >= step.max_per_instance:
            continue
        near = not step.data_rack or step.data_rack in registered.labels
        crowding = candidate.serving if step.filler else 0
        rank = (near, -crowding, -candidate.free.cpu)
        if best_rank is None or rank > best_rank:
            best, best_rank = candidate, rank
    return best
