"""Clock of the runtime."""

import time

import trio

__all__ = ["RuntimeClock"]


class RuntimeClock:
    """Seconds since the epoch, read from trio's clock.

    The wall clock is read once, at the start; from then on the time follows trio's
    clock, which never steps back and which tests pause and advance.

    Parameters
    ----------
    started_at : float, optional
        Time in seconds since the epoch at which the clock starts.
    """

    def __init__(self, started_at: float | None = None) -> None:
        wall = time.time() if started_at is None else started_at
        self._offset = wall - trio.current_time()

    def now(self) -> float:
        """Return the time in seconds since the epoch."""
        return trio.current_time() + self._offset

    def convert_to_trio(self, at: float) -> float:
        """Return the time of trio's clock for a time since the epoch."""
        return at - self._offset
