"""Messages of the replicated log, and its entries."""

import msgspec

__all__ = [
    "COMMANDS",
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
    "SnapshotAnswer",
    "SnapshotChunk",
    "TakeOver",
    "VoteAnswer",
    "VoteRequest",
]


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log.

    Attributes
    ----------
    index : int
        Position, from 1.
    term : int
        Term of the leader that appended it.
    at : float
        Time in seconds that the leader gave it, never decreasing.
    origin : str
        Daemon that proposed the command; empty for entries of the log's own.
    incarnation : int
        Incarnation of that daemon.
    sequence : int
        Number of the command within the incarnation.
    command : bytes
        The command in MessagePack; empty where there is none.
    """

    index: int
    term: int
    at: float
    origin: str = ""
    incarnation: int = 0
    sequence: int = 0
    command: bytes = b""


class ChangeVoters(msgspec.Struct, frozen=True, tag=True):
    """Command of the log's own: the voters from this entry on.

    Attributes
    ----------
    voters : dict of str to str
        Identity of the disk of each voter, by name.
    """

    voters: dict[str, str]


class VoteRequest(msgspec.Struct, frozen=True, tag=True):
    """A candidate asks for a vote, or before it stands, whether it would get one.

    Attributes
    ----------
    term : int
        Term that it stands for.
    last_index, last_term : int
        Last entry of its log.
    pre_vote : bool
        Whether it only asks.
    handed_over : bool
        Whether the leader has given up its lease to this candidate.
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
    """The leader's heartbeat, with entries where there are some to send.

    Attributes
    ----------
    term : int
        Term of the leader.
    previous_index, previous_term : int
        Entry before the first one sent.
    commit : int
        Last committed entry, 0 until the leader has committed one of its own term.
    sent : float
        Leader's clock in seconds, which the answer repeats.
    stamp : float
        Recipient's clock in seconds as it last sent it, or -1; everything committed
        before that time has an index of at most ``commit``.
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
        Whether the entry before the first one matched.
    match : int
        Last synced entry known to equal the leader's.
    received : int
        Last entry known to equal the leader's, or where to go on after a refusal.
    sent : float
        The leader's clock from the message answered.
    stamp : float
        Clock of the answering daemon in seconds.
    identity : str
        Identity of its disk, empty where there is none in order.
    """

    term: int
    accepted: bool
    match: int
    received: int
    sent: float
    stamp: float
    identity: str


class SnapshotChunk(msgspec.Struct, frozen=True, tag=True):
    """A part of a snapshot, for a daemon too far behind."""

    term: int
    index: int
    offset: int
    total: int
    content: bytes
    sent: float


class SnapshotAnswer(msgspec.Struct, frozen=True, tag=True):
    """Bytes of a snapshot received so far."""

    term: int
    index: int
    offset: int
    sent: float
    stamp: float


class TakeOver(msgspec.Struct, frozen=True, tag=True):
    """A leader that leaves has stepped down; the recipient stands at once."""

    term: int


class Follow(msgspec.Struct, frozen=True, tag=True):
    """A daemon that hears no leader asks to be sent the log."""

    last_index: int


class LeaderHint(msgspec.Struct, frozen=True, tag=True):
    """Who leads, as the sender knows."""

    leader: str
    term: int


class Forward(msgspec.Struct, frozen=True, tag=True):
    """A command on its way from the proposing daemon to the leader."""

    incarnation: int
    sequence: int
    command: bytes


class Introduce(msgspec.Struct, frozen=True, tag=True):
    """A first voter with a new disk asks whether another disk had its name."""

    identity: str


class Introduced(msgspec.Struct, frozen=True, tag=True):
    """Answer to ``Introduce``, with the identity of the answering daemon's disk."""

    introduced: str
    accepted: bool
    identity: str


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
)
COMMANDS = (ChangeVoters,)
