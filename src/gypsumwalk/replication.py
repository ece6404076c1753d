"""Entries and peer messages of the replicated log."""

import msgspec

__all__ = [
    "COMMANDS",
    "MAX_DATAGRAM_BYTES",
    "PEER_MESSAGES",
    "AppendAnswer",
    "AppendEntries",
    "ChangeVoters",
    "Entry",
    "Follow",
    "Forward",
    "Introduce",
    "Introduced",
    "LeaderHint",
    "OutdatedIncarnation",
    "SnapshotAnswer",
    "SnapshotChunk",
    "TakeOver",
    "VoteAnswer",
    "VoteRequest",
]

MAX_DATAGRAM_BYTES = 6000
"""Commands and entries above this size are sent over a connection, which costs much
more processor time; with their envelope they fit into the largest datagram sent."""


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log.

    Attributes
    ----------
    index : int
        Position, from 1.
    term : int
        Term of the leader that appended it.
    at : float
        Time in seconds assigned by the leader, never decreasing.
    origin : str
        Daemon that proposed the command; empty for entries that the leader adds.
    incarnation : int
        Incarnation of that daemon.
    sequence : int
        Sequence number of the command within the incarnation.
    command : bytes
        The command as encoded by ``encode_command``; empty in a no-op entry.
    commit : int
        Commit index that the leader knew when it appended the entry. Each log with this
        entry is committed up to there, since it equals that leader's up to the entry.
    """

    index: int
    term: int
    at: float
    origin: str = ""
    incarnation: int = 0
    sequence: int = 0
    command: bytes = b""
    commit: int = 0


class ChangeVoters(msgspec.Struct, frozen=True, tag=True):
    """Command: single-step membership change, in effect from its entry on.

    Attributes
    ----------
    voters : dict of str to str
        Identity of the disk of each voter, by name.
    """

    voters: dict[str, str]


class VoteRequest(msgspec.Struct, frozen=True, tag=True):
    """Request for a vote, or for a pre-vote before a new term.

    Attributes
    ----------
    term : int
        Term of the election.
    last_index, last_term : int
        Last entry of the candidate's log.
    pre_vote : bool
        Whether this is a pre-vote, which changes no term and records no vote.
    handed_over : bool
        Whether the leader has transferred leadership to this candidate and given up
        its lease.
    """

    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    handed_over: bool = False


class VoteAnswer(msgspec.Struct, frozen=True, tag=True):
    """Answer to a ``VoteRequest``."""

    term: int
    granted: bool
    pre_vote: bool
    identity: str


class AppendEntries(msgspec.Struct, frozen=True, tag=True):
    """Entries from the leader, or a heartbeat without entries.

    Attributes
    ----------
    term : int
        Term of the leader.
    previous_index, previous_term : int
        Entry before the first one sent.
    commit : int
        Commit index, 0 until the leader has committed an entry of its own term.
    sent : float
        Leader's clock in seconds, echoed by the answer.
    stamp : float
        Latest ``stamp`` in seconds that the leader received from the recipient while
        it held its lease, or -1; every entry committed before that time has an index
        of at most ``commit``.
    entries : list of Entry
        The entries.
    """

    term: int
    previous_index: int
    previous_term: int
    commit: int
    sent: float
    stamp: float = -1.0
    entries: list[Entry] = []


class AppendAnswer(msgspec.Struct, frozen=True, tag=True):
    """Answer to ``AppendEntries``.

    Attributes
    ----------
    term : int
        Term of the recipient.
    accepted : bool
        Whether the log matched the leader's at ``previous_index``.
    match : int
        Last synced entry known to match the leader's log.
    received : int
        Last entry known to match the leader's log, or, if not accepted, the index
        after which the leader should retry.
    sent : float
        ``sent`` of the message answered, in seconds of the leader's clock.
    stamp : float
        Clock of the answering daemon in seconds.
    identity : str
        Identity of its disk, empty if there is none or it has failed.
    data_centre : str
        Data centre of the answering daemon, empty if unknown.
    """

    term: int
    accepted: bool
    match: int
    received: int
    sent: float
    stamp: float
    identity: str
    data_centre: str = ""


class SnapshotChunk(msgspec.Struct, frozen=True, tag=True):
    """Chunk of a snapshot, for a daemon that needs compacted entries."""

    term: int
    index: int
    offset: int
    total: int
    content: bytes
    sent: float


class SnapshotAnswer(msgspec.Struct, frozen=True, tag=True):
    """Answer to a ``SnapshotChunk``: the bytes received so far.

    Attributes
    ----------
    term : int
        Term of the leader.
    index : int
        Index of the snapshot.
    offset : int
        Bytes of the snapshot that were received.
    sent : float
        ``sent`` of the chunk answered, in seconds of the leader's clock.
    stamp : float
        Clock of the answering daemon in seconds.
    identity : str
        Identity of its disk, empty if there is none or it has failed.
    """

    term: int
    index: int
    offset: int
    sent: float
    stamp: float
    identity: str = ""


class TakeOver(msgspec.Struct, frozen=True, tag=True):
    """Leadership transfer: the leader stepped down and the recipient may succeed it."""

    term: int


class Follow(msgspec.Struct, frozen=True, tag=True):
    """Request of a daemon without a leader to be sent the log."""

    last_index: int


class OutdatedIncarnation(msgspec.Struct, frozen=True, tag=True):
    """Refusal of a message, as a higher incarnation of its sender is known."""

    incarnation: int


class LeaderHint(msgspec.Struct, frozen=True, tag=True):
    """Leader known to the sender."""

    leader: str
    term: int


class Forward(msgspec.Struct, frozen=True, tag=True):
    """Command forwarded by the proposing daemon to the leader."""

    incarnation: int
    sequence: int
    command: bytes


class Introduce(msgspec.Struct, frozen=True, tag=True):
    """Request of an initial voter to register its new disk under its name."""

    identity: str


class Introduced(msgspec.Struct, frozen=True, tag=True):
    """Answer to ``Introduce``, with the disk identity of the answering daemon.

    Attributes
    ----------
    introduced : str
        Identity of the disk that was introduced.
    accepted : bool
        Whether no other disk is known under its name.
    identity : str
        Identity of the disk of the answering daemon.
    listed : bool
        Whether the log of the answering daemon lists the introduced disk.
    """

    introduced: str
    accepted: bool
    identity: str
    listed: bool = False


PEER_MESSAGES = (
    VoteRequest,
    VoteAnswer,
    AppendEntries,
    AppendAnswer,
    SnapshotChunk,
    SnapshotAnswer,
    TakeOver,
    Follow,
    LeaderHint,
    Forward,
    Introduce,
    Introduced,
    OutdatedIncarnation,
)
COMMANDS = (ChangeVoters,)
