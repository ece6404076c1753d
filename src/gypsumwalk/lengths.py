"""Lengths of tasks, expected from their estimates or from others of their queue.

Some queues give good estimates and others bad ones. Both ways to expect a length are
followed by their errors, and the better one is used.
"""

from dataclasses import dataclass

__all__ = ["LengthTable"]

LEARNING_SHARE = 0.1
"""Weight of a new length; about the last ten tasks count."""


@dataclass(slots=True)
class _Lengths:
    mean: float
    ratio: float
    error_of_mean: float
    error_of_estimate: float


class LengthTable:
    """Expected lengths of tasks by queue."""

    def __init__(self) -> None:
        self._queues: dict[str, _Lengths] = {}

    def learn(self, queue: str, estimate: float, seconds: float) -> None:
        """Take in how long a task has taken.

        Parameters
        ----------
        queue : str
            Its queue.
        estimate : float
            Its estimate in seconds, 0 where there is none.
        seconds : float
            Its length.
        """
        ratio = seconds / estimate if estimate else 1.0
        known = self._queues.get(queue)
        if known is None:
            error = abs(seconds - estimate)
            self._queues[queue] = _Lengths(seconds, ratio, error, error)
            return
        error_of_mean = abs(seconds - known.mean)
        error_of_estimate = abs(seconds - known.ratio * estimate)
        known.error_of_mean = _blend(known.error_of_mean, error_of_mean)
        known.error_of_estimate = _blend(known.error_of_estimate, error_of_estimate)
        known.mean = _blend(known.mean, seconds)
        known.ratio = _blend(known.ratio, ratio)

    def find_mean(self, queue: str) -> float | None:
        """Return the mean length in seconds of a queue's tasks, None before one."""
        known = self._queues.get(queue)
        return known.mean if known else None

    def find_error(self, queue: str) -> float:
        """Return the usual error in seconds of an expected length, 0 before one."""
        known = self._queues.get(queue)
        if known is None:
            return 0.0
        return min(known.error_of_mean, known.error_of_estimate)

    def expect(self, queue: str, estimate: float) -> float:
        """Return the length in seconds that a task is expected to have."""
        known = self._queues.get(queue)
        if known is None:
            return estimate
        if estimate and known.error_of_estimate < known.error_of_mean:
            return known.ratio * estimate
        return known.mean


def _blend(known: float, latest: float) -> float:
    return known + LEARNING_SHARE * (latest - known)
