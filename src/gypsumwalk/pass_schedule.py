"""Times of the scheduling passes."""

from gypsumwalk.part import NEVER

__all__ = ["PassSchedule"]

BATCH_SECONDS = 0.002
"""Time for which events are batched before one scheduling pass."""

LATE_BATCH_SECONDS = 0.05
"""Time for which a leader that is late batches events; short compared to its delay."""


class PassSchedule:
    """Time of the next scheduling pass; one pass serves all requests before it."""

    def __init__(self) -> None:
        self.due = NEVER
        """Time in seconds of the next pass."""
        self._not_before = 0.0

    def clear(self) -> None:
        """Forget all requests, at the end of a term."""
        self.due = NEVER
        self._not_before = 0.0

    def request(self, now: float, *, is_late: bool) -> None:
        """Schedule a pass after a batching delay, longer if the event loop is late."""
        batch = LATE_BATCH_SECONDS if is_late else BATCH_SECONDS
        self.due = min(self.due, max(now + batch, self._not_before))

    def postpone(self, until: float) -> None:
        """Schedule a pass for a time in seconds, and none before."""
        self.due = self._not_before = until
