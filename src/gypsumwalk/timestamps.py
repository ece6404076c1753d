"""Hybrid logical clock, which orders events across processes."""

from typing import NamedTuple

__all__ = ["HybridClock", "Timestamp"]

MILLISECONDS_PER_SECOND = 1000


class Timestamp(NamedTuple):
    """One reading of a hybrid logical clock.

    Attributes
    ----------
    milliseconds : int
        Physical part, milliseconds since the epoch.
    counter : int
        Logical part, which orders readings within the same millisecond.
    """

    milliseconds: int
    counter: int


class HybridClock:
    """Hybrid logical clock of one daemon."""

    def __init__(self) -> None:
        self._last = Timestamp(0, 0)

    def read(self, now: float) -> Timestamp:
        """Return a timestamp later than all earlier ones.

        Parameters
        ----------
        now : float
            Local time in seconds since the epoch.

        Returns
        -------
        Timestamp
            The reading.
        """
        physical = int(now * MILLISECONDS_PER_SECOND)
        if physical > self._last.milliseconds:
            self._last = Timestamp(physical, 0)
        else:
            self._last = Timestamp(self._last.milliseconds, self._last.counter + 1)
        return self._last

    def merge(self, remote: Timestamp, now: float) -> Timestamp:
        """Merge a peer's timestamp and return a later one.

        Parameters
        ----------
        remote : Timestamp
            Timestamp of the peer's message.
        now : float
            Local time in seconds since the epoch.

        Returns
        -------
        Timestamp
            The reading.
        """
        self._last = max(self._last, remote)
        return self.read(now)
