"""Work of jobs in core-seconds, by the durations that are predicted of their tasks."""

from collections.abc import Callable, Collection

from gypsumwalk.task_placement import find_need
from gypsumwalk.workload_records import Step, Workload

__all__ = ["WorkMeans", "find_later_work", "find_step_work", "find_total_work"]

MILLICORES = 1000.0
"""Thousandths of a core in a core."""

MEMORY_JOBS = 100
"""Number of jobs over which the mean work of a queue is taken."""

PredictSeconds = Callable[[Workload, int], float]
"""Returns the predicted duration in seconds of a task of a step of a job."""


class WorkMeans:
    """Mean work of the accepted jobs of each queue, in core-seconds."""

    def __init__(self) -> None:
        self._means: dict[str, tuple[int, float]] = {}

    def record(self, queue: str, work: float) -> None:
        """Record the work of an accepted job; jobs without known work are left out."""
        if work <= 0:
            return
        count, mean = self._means.get(queue, (0, 0.0))
        count = min(count + 1, MEMORY_JOBS)
        self._means[queue] = count, mean + (work - mean) / count

    def find(self, queue: str) -> float:
        """Return the mean work of a queue, 0 if unknown."""
        return self._means.get(queue, (0, 0.0))[1]


def find_total_work(workload: Workload, predict: PredictSeconds) -> float:
    """Return the work of all steps of a job in core-seconds."""
    return sum(
        find_step_work(step, step.count, predict(workload, number))
        for number, step in enumerate(workload.steps)
    )


def find_later_work(
    workload: Workload, begun: Collection[int], predict: PredictSeconds
) -> float:
    """Return the work of the steps that wait for others.

    Parameters
    ----------
    workload : Workload
        The job; it has one occurrence.
    begun : Collection of int
        Numbers of the steps with ready tasks, whose work is found from these.
    predict : Callable
        Returns the predicted duration in seconds of a task of a step.

    Returns
    -------
    float
        Work in core-seconds.
    """
    return sum(
        find_step_work(step, step.count, predict(workload, number))
        for number, step in enumerate(workload.steps)
        if number not in begun
        and not all(workload.is_step_done(0, item) for item in step.after)
    )


def find_step_work(step: Step, count: int, seconds: float) -> float:
    """Return the work of some tasks of a step, in core-seconds."""
    return count * find_need(step).cpu * seconds / MILLICORES
