"""Deduplication of resent commands, so that each is applied at most once."""

import msgspec

__all__ = ["DuplicateCheck", "Sessions"]

DEDUPLICATION_WINDOW = 512
"""Latest sequence numbers of each daemon whose results are kept."""

MAX_SESSIONS = 1024
"""Sessions kept; the one that applied a command longest ago is evicted first."""


class _AppliedCommand(msgspec.Struct, array_like=True, frozen=True):
    index: int
    result: bytes


class _Session(msgspec.Struct, array_like=True):
    incarnation: int
    highest: int = 0
    last_index: int = 0
    done: dict[int, _AppliedCommand] = {}


class DuplicateCheck(msgspec.Struct, frozen=True):
    """Result of looking up a command among those applied.

    Attributes
    ----------
    fresh : bool
        Whether the command is new and has to be applied.
    index : int
        Log index of its earlier application, or 0 if none is known.
    result : bytes
        Encoded result of that application.
    """

    fresh: bool
    index: int = 0
    result: bytes = b""


_decoder = msgspec.msgpack.Decoder(dict[str, _Session])


class Sessions:
    """Sequence numbers and results of the latest commands of each daemon."""

    def __init__(self) -> None:
        self._sessions: dict[str, _Session] = {}

    def check(self, origin: str, incarnation: int, sequence: int) -> DuplicateCheck:
        """Look up whether a command was applied.

        Parameters
        ----------
        origin : str
            Daemon that proposed it.
        incarnation : int
            Incarnation of that daemon.
        sequence : int
            Sequence number of the command within the incarnation.

        Returns
        -------
        DuplicateCheck
            New, applied earlier, or too old to tell, which is never applied.
        """
        session = self._sessions.get(origin)
        if session is None or incarnation > session.incarnation:
            return DuplicateCheck(True)
        if incarnation < session.incarnation:
            return DuplicateCheck(False)
        if done := session.done.get(sequence):
            return DuplicateCheck(False, done.index, done.result)
        return DuplicateCheck(sequence > session.highest - DEDUPLICATION_WINDOW)

    def find_incarnation(self, origin: str) -> int:
        """Return the latest incarnation of a daemon with an applied command, or 0."""
        session = self._sessions.get(origin)
        return session.incarnation if session else 0

    def record(
        self, origin: str, incarnation: int, sequence: int, index: int, result: bytes
    ) -> None:
        """Record an applied command and its result.

        Parameters
        ----------
        origin : str
            Daemon that proposed it.
        incarnation : int
            Incarnation of that daemon.
        sequence : int
            Sequence number of the command.
        index : int
            Its index in the log.
        result : bytes
            Its encoded result.
        """
        session = self._sessions.get(origin)
        if session is None or session.incarnation != incarnation:
            session = self._sessions[origin] = _Session(incarnation, done={})
        session.done[sequence] = _AppliedCommand(index, result)
        session.last_index = index
        if sequence > session.highest:
            session.highest = sequence
        self._evict(session)

    def dump(self) -> bytes:
        """Return all sessions, encoded."""
        return msgspec.msgpack.encode(self._sessions)

    def load(self, content: bytes) -> None:
        """Replace all sessions by those of a dump."""
        self._sessions = _decoder.decode(content)

    def _evict(self, session: _Session) -> None:
        if len(session.done) > DEDUPLICATION_WINDOW:
            floor = session.highest - DEDUPLICATION_WINDOW
            for sequence in [known for known in session.done if known <= floor]:
                del session.done[sequence]
        if len(self._sessions) > MAX_SESSIONS:
            oldest = min(self._sessions, key=lambda name: self._eviction_key(name))
            del self._sessions[oldest]

    def _eviction_key(self, origin: str) -> tuple[int, str]:
        return self._sessions[origin].last_index, origin
