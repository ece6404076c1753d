"""Readings of the clock of an instance's life, and what the clock can show later."""

from dataclasses import dataclass

__all__ = ["CLOCK_RATE_ERROR", "MILLISECONDS_PER_SECOND", "ClockReading"]

CLOCK_RATE_ERROR = 0.02
"""Largest relative rate error of an instance's clock, as the platform states."""

MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class ClockReading:
    """A reading of the clock of one life of an instance.

    Attributes
    ----------
    value : int
        The reading in milliseconds.
    requested_at : float
        Time in seconds at which it was requested.
    received_at : float
        Time in seconds at which it arrived.
    """

    value: int
    requested_at: float
    received_at: float

    def find_earliest(self, at: float) -> int:
        """Return a lower bound of the clock at a later time, in milliseconds."""
        elapsed = max(0.0, at - self.received_at) * (1 - CLOCK_RATE_ERROR)
        return self.value + int(elapsed * MILLISECONDS_PER_SECOND)

    def find_latest(self, at: float) -> int:
        """Return an upper bound of the clock at a later time, in milliseconds."""
        elapsed = max(0.0, at - self.requested_at) * (1 + CLOCK_RATE_ERROR)
        return self.value + int(elapsed * MILLISECONDS_PER_SECOND) + 1

    def may_precede(self, value: int, *, begin: float, end: float) -> bool:
        """Tell whether the same clock can show a value at some time in an interval.

        Parameters
        ----------
        value : int
            The value in milliseconds.
        begin : float
            Begin of the interval in seconds.
        end : float
            End of the interval in seconds.

        Returns
        -------
        bool
            False if the value is one of another clock, which may be ahead or behind.
        """
        return self.find_earliest(begin) <= value <= self.find_latest(end)
