"""Clock of the runtime."""

import time

import trio

__all__ = ["RuntimeClock", "SuspendClock"]


class SuspendClock(trio.abc.Clock):
    """Clock of trio that counts the time for which the machine was suspended.

    The steady clock stands still then, so that a lease that ended meanwhile would seem
    to hold for a moment after the machine has woken.
    """

    def start_clock(self) -> None:
        """Do nothing, as the clock runs from the start of the machine."""

    def current_time(self) -> float:
        """Return the seconds since the start of the machine."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the seconds until a deadline."""
        return deadline - self.current_time()


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
