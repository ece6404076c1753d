"""Readings of the clock of an instance's life, and what the clock can show later."""

from dataclasses import dataclass

__all__ = [
    "CLOCK_RATE_ERROR",
    "MILLISECONDS_PER_SECOND",
    "ClockBounds",
    "ClockReading",
]

CLOCK_RATE_ERROR = 0.02
"""Largest relative rate error of an instance's clock, as the platform states: it may
be slow."""

CLOCK_GAIN = 0.001
"""Largest relative gain of an instance's clock on ours; twice the rate at which the
kernel slews ours."""

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
        elapsed = max(0.0, at - self.requested_at) * (1 + CLOCK_GAIN)
        return self.value + int(elapsed * MILLISECONDS_PER_SECOND) + 1


@dataclass(frozen=True, slots=True)
class ClockBounds:
    """What the clock of one life can show, from the closest of its readings.

    A list of runs may have been made at any time of a long poll, so it says little of
    how far ahead the clock can be; an order is answered at once.

    Attributes
    ----------
    earliest : ClockReading
        The reading from which the highest lower bound follows.
    latest : ClockReading
        The reading from which the lowest upper bound follows.
    """

    earliest: ClockReading
    latest: ClockReading

    def find_earliest(self, at: float) -> int:
        """Return a lower bound at a time in seconds, in milliseconds."""
        return self.earliest.find_earliest(at)

    def find_latest(self, at: float) -> int:
        """Return an upper bound at a time in seconds, in milliseconds."""
        return self.latest.find_latest(at)

    def may_show(self, value: int, *, begin: float, end: float) -> bool:
        """Tell whether the clock can show a value at some time in an interval.

        Parameters
        ----------
        value : int
            The value in milliseconds.
        begin : float
            Begin of the interval in seconds, after all readings were requested.
        end : float
            End of the interval in seconds.

        Returns
        -------
        bool
            False if the value is one of another clock, which may be ahead or behind.
        """
        if value > self.find_latest(end):
            return False
        # No lower bound is known of a time before the reading arrived.
        is_known = begin >= self.earliest.received_at
        return not is_known or value >= self.find_earliest(begin)

    def add(self, reading: ClockReading) -> "ClockBounds":
        """Return the bounds that follow from one more reading of the same clock."""
        earliest, latest = self.earliest, self.latest
        # Bounds of the same kind differ by as much at all times after both readings.
        arrival = max(reading.received_at, earliest.received_at)
        if reading.find_earliest(arrival) >= earliest.find_earliest(arrival):
            earliest = reading
        request = max(reading.requested_at, latest.requested_at)
        if reading.find_latest(request) <= latest.find_latest(request):
            latest = reading
        return ClockBounds(earliest, latest)
