"""What a leader knows of each daemon that it sends the log to."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["ElectionTiming", "Progress", "find_quorum_value"]

CLOCK_DRIFT = 0.1
"""Share by which the rates of two clocks may differ."""

HEARTBEAT_FRACTION = 0.3
"""Share of the silence between two heartbeats, so that two of them may be lost."""

MAX_IN_FLIGHT = 4


@dataclass(frozen=True, slots=True)
class ElectionTiming:
    """Times that all voters of a group have to agree on.

    Attributes
    ----------
    silence : float
        Shortest time in seconds without a leader after which a voter may stand.
    """

    min_timeout: float

    @property
    def jitter(self) -> float:
        """Longest time in seconds that a voter waits beyond the silence."""
        return self.min_timeout

    @property
    def lease(self) -> float:
        """Lease of a leader, in seconds from the sending of what was answered."""
        return self.min_timeout * (1 - CLOCK_DRIFT)

    @property
    def heartbeat(self) -> float:
        """Interval of heartbeats, in seconds."""
        return self.min_timeout * HEARTBEAT_FRACTION


@dataclass(slots=True)
class Progress:
    """How far one daemon has come.

    Attributes
    ----------
    name : str
        Name of the daemon.
    next_index : int
        Next entry to send.
    match : int
        Last entry known to be synced there.
    received : int
        Last entry known to have arrived there.
    probing : bool
        Whether it is not yet known where the logs part.
    in_flight : int
        Messages with entries that were not answered.
    entries_sent : float
        Time in seconds at which entries were sent last.
    due : float
        Time in seconds of the next heartbeat.
    acknowledged : float
        Leader's time in seconds of sending the latest message answered.
    stamp : float
        The daemon's clock from its latest answer, -1 before the first.
    heard : float
        Time in seconds at which it answered last.
    snapshot_index : int
        Snapshot that is being sent, or 0.
    snapshot_offset : int
        Bytes of it that have arrived.
    commit_sent : int
        Committed index that it was told of last.
    identity : str
        Identity of its disk as it says, empty without one in order.
    """

    name: str
    next_index: int
    match: int = 0
    received: int = 0
    probing: bool = True
    in_flight: int = 0
    entries_sent: float = 0.0
    due: float = 0.0
    acknowledged: float = 0.0
    stamp: float = -1.0
    answered_at: float = 0.0
    snapshot_index: int = 0
    snapshot_offset: int = 0
    commit_sent: int = 0
    identity: str = ""

    @property
    def can_send(self) -> bool:
        """Whether more entries may be sent before an answer comes."""
        limit = 1 if self.probing else MAX_IN_FLIGHT
        return self.in_flight < limit and not self.snapshot_index

    def accept(self, match: int, received: int, sent: float) -> None:
        """Take in an answer that the logs match up to an entry.

        Parameters
        ----------
        match : int
            Last entry that is synced there.
        received : int
            Last entry that has arrived there.
        sent : float
            Time in seconds of sending the message that was answered.
        """
        self.match = max(self.match, match)
        self.received = max(self.received, received)
        self.snapshot_index = 0
        is_entry_lost = sent > self.entries_sent and received < self.next_index - 1
        if self.probing or is_entry_lost:
            self.next_index = self.received + 1
            self.in_flight = 0
        self.probing = False
        self.next_index = max(self.next_index, self.received + 1)
        if self.received == self.next_index - 1:
            self.in_flight = 0
        else:
            self.in_flight = max(0, self.in_flight - 1)

    def refuse(self, hint: int) -> None:
        """Take in an answer that the logs don't match.

        Parameters
        ----------
        hint : int
            Index after which to try.
        """
        self.probing = True
        self.in_flight = 0
        self.received = 0
        self.next_index = max(1, min(hint + 1, self.next_index))


def find_quorum_value(values: Iterable[float]) -> float:
    """Return the greatest value that a majority has reached.

    Parameters
    ----------
    values : Iterable of float
        One value of each voter.

    Returns
    -------
    float
        The value.
    """
    ordered = sorted(values, reverse=True)
    return ordered[len(ordered) // 2]
