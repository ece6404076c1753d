"""Replication progress of each daemon, election timing and quorum values."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["NOT_YET", "NO_LEASE", "ElectionTiming", "Progress", "find_quorum_value"]

CLOCK_DRIFT = 0.1
"""Fraction by which the rates of two clocks may differ."""

HEARTBEAT_FRACTION = 0.3
"""Heartbeat interval as a fraction of the minimum election timeout, so that two
heartbeats in a row may be lost."""

LEARNER_HEARTBEAT_FRACTION = 0.6
"""Heartbeat interval of daemons that do not vote, as a fraction of the minimum election
timeout, after which they look for another leader."""

NO_LEASE = float("-inf")
"""End of a lease that does not exist, in seconds."""

NOT_YET = float("-inf")
"""Time of what has not happened yet, in seconds."""

MAX_IN_FLIGHT = 4
"""Messages with entries that may be unanswered at a time, per daemon."""

STREAM_TIMEOUT_SECONDS = 1.0
"""Time for which entries sent over a connection are not taken for lost."""


@dataclass(frozen=True, slots=True)
class ElectionTiming:
    """Election timing; it must be the same on all voters.

    Attributes
    ----------
    min_timeout : float
        Minimum election timeout in seconds.
    """

    min_timeout: float

    @property
    def jitter(self) -> float:
        """Longest random time in seconds added to the minimum election timeout."""
        return self.min_timeout

    @property
    def lease(self) -> float:
        """Leader lease in seconds, from the send time acknowledged by a quorum."""
        return self.min_timeout * (1 - CLOCK_DRIFT)

    @property
    def heartbeat(self) -> float:
        """Heartbeat interval of voters in seconds."""
        return self.min_timeout * HEARTBEAT_FRACTION

    @property
    def learner_heartbeat(self) -> float:
        """Heartbeat interval of daemons that do not vote, in seconds."""
        return self.min_timeout * LEARNER_HEARTBEAT_FRACTION


@dataclass(slots=True)
class Progress:
    """Replication progress of one daemon, as tracked by the leader.

    Attributes
    ----------
    name : str
        Name of the daemon.
    next_index : int
        Next entry to send.
    match : int
        Last matching entry known to be synced by the daemon.
    received : int
        Last matching entry known to be received by the daemon.
    probing : bool
        Whether the last matching entry is still unknown.
    in_flight : int
        Unanswered messages with entries.
    entries_sent : float
        Time in seconds at which entries were last sent.
    streamed_index : int
        Last entry sent over a connection, which datagrams sent later may overtake.
    streamed_at : float
        Time in seconds at which it was sent.
    due : float
        Time in seconds of the next heartbeat.
    acknowledged : float
        Send time in seconds, on the leader's clock, of the latest answered message.
    stamp : float
        Clock of the daemon in seconds, from its latest answer to a leader with a
        lease; -1 before the first.
    answered_at : float
        Time in seconds of its last answer.
    valid_at : float
        Time in seconds of its last answer that did not come from an unregistered disk
        of a voter.
    removed_at : float
        Time in seconds at which this leader removed the daemon from the voters.
    snapshot_index : int
        Index of the snapshot being sent, or 0.
    snapshot_offset : int
        Bytes of the snapshot that the daemon has received.
    commit_sent : int
        Commit index last sent to the daemon.
    round_index : int
        Commit index of the leader at the start of the current round of catch-up.
    round_started_at : float
        Time in seconds at which the round started.
    caught_up_at : float
        Latest time in seconds for which the daemon is known to hold every entry that
        was committed then.
    sent_at : float
        Time in seconds at which a message was last sent.
    awaits_outcome : bool
        Whether an entry that the daemon proposed was committed since then.
    identity : str
        Disk identity that the daemon reports, empty if it has no working disk.
    data_centre : str
        Data centre that the daemon reports, empty if unknown.
    """

    name: str
    next_index: int
    match: int = 0
    received: int = 0
    probing: bool = True
    in_flight: int = 0
    entries_sent: float = 0.0
    streamed_index: int = 0
    streamed_at: float = 0.0
    due: float = 0.0
    acknowledged: float = 0.0
    stamp: float = -1.0
    answered_at: float = 0.0
    valid_at: float = 0.0
    removed_at: float = NOT_YET
    snapshot_index: int = 0
    snapshot_offset: int = 0
    commit_sent: int = 0
    round_index: int = 0
    round_started_at: float = NOT_YET
    caught_up_at: float = NOT_YET
    sent_at: float = 0.0
    awaits_outcome: bool = False
    identity: str = ""
    data_centre: str = ""

    @property
    def can_send(self) -> bool:
        """Whether more entries may be sent before the next answer."""
        limit = 1 if self.probing else MAX_IN_FLIGHT
        return self.in_flight < limit and not self.snapshot_index

    def is_streaming(self, now: float) -> bool:
        """Tell whether entries sent over a connection may still be on their way."""
        is_pending = self.received < self.streamed_index
        return is_pending and now < self.streamed_at + STREAM_TIMEOUT_SECONDS

    def register_identity(self, identity: str) -> None:
        """Record the disk that answers; another one than before holds no entries.

        Parameters
        ----------
        identity : str
            Disk identity that the daemon reports.
        """
        if identity == self.identity:
            return
        if self.identity:
            self.streamed_index = 0
        self.identity = identity
        self.match = 0
        self.received = 0
        self.probing = True
        self.in_flight = 0
        self.snapshot_index = 0
        self.round_index = 0
        self.round_started_at = self.caught_up_at = NOT_YET

    def forget_identity(self, now: float) -> None:
        """Forget the disk of a removed voter, which may be lost, until it answers anew.

        Parameters
        ----------
        now : float
            Time in seconds; answers to messages sent before may be of the lost disk.
        """
        self.register_identity("")
        self.removed_at = now

    def update_round(self, commit: int, now: float) -> None:
        """Start the next round of catch-up, if the daemon has ended this one.

        A round lasts until the daemon holds what was committed at its start, so that
        entries committed meanwhile don't matter.

        Parameters
        ----------
        commit : int
            Commit index of the leader.
        now : float
            Time in seconds.
        """
        if self.match < self.round_index:
            return
        self.caught_up_at = now if self.match >= commit else self.round_started_at
        self.round_index, self.round_started_at = commit, now

    def accept(self, match: int, received: int, sent: float, now: float) -> None:
        """Advance on an answer that the logs match.

        Parameters
        ----------
        match : int
            Last entry synced by the daemon.
        received : int
            Last entry received by the daemon.
        sent : float
            Send time in seconds of the answered message.
        now : float
            Time in seconds.
        """
        self.match = max(self.match, match)
        self.received = max(self.received, received)
        self.snapshot_index = 0
        if self.is_streaming(now):
            self.probing = False
            self.next_index = max(self.next_index, self.streamed_index + 1)
            return
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

    def reject(self, hint: int) -> None:
        """Step back and probe, after an answer that the logs do not match.

        Parameters
        ----------
        hint : int
            Index after which to retry.
        """
        self.probing = True
        self.in_flight = 0
        self.received = 0
        self.streamed_index = 0
        self.next_index = max(1, min(hint + 1, self.next_index))


def find_quorum_value(values: Iterable[float]) -> float:
    """Return the greatest value reached by a majority of voters.

    Parameters
    ----------
    values : Iterable of float
        One value per voter.

    Returns
    -------
    float
        The value.
    """
    ordered = sorted(values, reverse=True)
    return ordered[len(ordered) // 2]
