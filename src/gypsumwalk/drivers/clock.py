"""Clocks of a running daemon."""

import time

import trio

__all__ = ["EpochClock", "BoottimeClock"]


class BoottimeClock(trio.abc.Clock):
    """Trio clock that includes time during which the machine was suspended.

    ``CLOCK_MONOTONIC`` stops during suspension, so a lease that expired meanwhile would
    still appear valid for a moment after the machine resumes.
    """

    def start_clock(self) -> None:
        """Do nothing, as the clock runs since the machine booted."""

    def current_time(self) -> float:
        """Return the seconds since the machine booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the time in seconds until a deadline."""
        return deadline - self.current_time()


class EpochClock:
    """Clock that returns seconds since the epoch, derived from trio's clock.

    The wall clock is read once, at the start. After that the time follows trio's clock,
    which is monotonic and which tests can pause and advance. Any thread may read it.

    Parameters
    ----------
    started_at : float, optional
        Time in seconds since the epoch at which the clock starts.
    """

    def __init__(self, started_at: float | None = None) -> None:
        wall = time.time() if started_at is None else started_at
        self._clock = trio.lowlevel.current_clock()
        self._offset = wall - self._clock.current_time()

    def now(self) -> float:
        """Return the time in seconds since the epoch."""
        return self._clock.current_time() + self._offset

    def convert_to_trio(self, at: float) -> float:
        """Convert a time in seconds since the epoch to the time of trio's clock."""
        return at - self._offset
