"""Predicted durations of tasks, from their estimates or the mean of their queue.

Some queues submit good estimates and others bad ones. The errors of both predictors are
tracked, and the one with the smaller error is used.
"""

from dataclasses import dataclass

__all__ = ["DurationTable"]

SMOOTHING_FACTOR = 0.1
"""Weight of a new sample in the moving averages, about the last ten tasks."""


@dataclass(slots=True)
class _DurationStats:
    mean: float
    ratio: float
    error_of_mean: float
    error_of_estimate: float
    count: int = 1


class DurationTable:
    """Duration statistics and predictions by queue."""

    def __init__(self) -> None:
        self._queues: dict[str, _DurationStats] = {}

    def record_duration(self, queue: str, estimate: float, seconds: float) -> None:
        """Record the duration of a finished task.

        Parameters
        ----------
        queue : str
            Queue of the task.
        estimate : float
            Estimate submitted with the task in seconds, 0 if there was none.
        seconds : float
            Duration of the task.
        """
        ratio = seconds / estimate if estimate else 1.0
        stats = self._queues.get(queue)
        if stats is None:
            error = abs(seconds - estimate)
            self._queues[queue] = _DurationStats(seconds, ratio, error, error)
            return
        error_of_mean = abs(seconds - stats.mean)
        error_of_estimate = abs(seconds - stats.ratio * estimate)
        stats.error_of_mean = _smooth(stats.error_of_mean, error_of_mean)
        stats.error_of_estimate = _smooth(stats.error_of_estimate, error_of_estimate)
        stats.count += 1
        stats.mean = _smooth(stats.mean, seconds)
        stats.ratio = _smooth(stats.ratio, ratio)

    def find_mean(self, queue: str) -> float | None:
        """Return the mean task duration of a queue in seconds, None if unknown."""
        stats = self._queues.get(queue)
        return stats.mean if stats else None

    def count_durations(self, queue: str) -> int:
        """Return the number of durations that were recorded for a queue."""
        stats = self._queues.get(queue)
        return stats.count if stats else 0

    def find_error(self, queue: str) -> float:
        """Return the mean prediction error of a queue in seconds, 0 if unknown."""
        stats = self._queues.get(queue)
        if stats is None:
            return 0.0
        return min(stats.error_of_mean, stats.error_of_estimate)

    def find_factors(self, queue: str) -> tuple[float | None, float]:
        """Return how the duration of a task of a queue is predicted.

        Parameters
        ----------
        queue : str
            Queue of the task.

        Returns
        -------
        ratio : float or None
            Factor for the estimate of a task that has one; None if such a task is
            predicted by ``mean`` too.
        mean : float
            Prediction for all other tasks in seconds.
        """
        stats = self._queues.get(queue)
        if stats is None:
            return 1.0, 0.0
        if stats.error_of_estimate < stats.error_of_mean:
            return stats.ratio, stats.mean
        return None, stats.mean

    def predict(self, queue: str, estimate: float) -> float:
        """Return the predicted duration of a task in seconds."""
        ratio, mean = self.find_factors(queue)
        return ratio * estimate if estimate and ratio is not None else mean


def _smooth(average: float, latest: float) -> float:
    return average + SMOOTHING_FACTOR * (latest - average)
