"""Commands already applied, so that a resent one is applied once."""

import msgspec

__all__ = ["Sessions", "DuplicateCheck"]

WINDOW = 512
MAX_SESSIONS = 1024


class _AppliedCommand(msgspec.Struct, array_like=True, frozen=True):
    index: int
    result: bytes


class _Session(msgspec.Struct, array_like=True):
    incarnation: int
    highest: int = 0
    last_index: int = 0
    done: dict[int, _AppliedCommand] = {}


class DuplicateCheck(msgspec.Struct, frozen=True):
    """What is known of a command.

    Attributes
    ----------
    fresh : bool
        Whether it is to be applied now.
    index : int
        Where it was applied earlier, or 0.
    result : bytes
        What it answered then, encoded.
    """

    fresh: bool
    index: int = 0
    result: bytes = b""


_decoder = msgspec.msgpack.Decoder(dict[str, _Session])


class Sessions:
    """Numbers and results of the latest commands of every daemon, bounded."""

    def __init__(self) -> None:
        self._sessions: dict[str, _Session] = {}

    def check(self, origin: str, incarnation: int, sequence: int) -> DuplicateCheck:
        """Tell whether a command is new.

        Parameters
        ----------
        origin : str
            Daemon that proposed it.
        incarnation : int
            Incarnation of that daemon.
        sequence : int
            Number of the command within the incarnation.

        Returns
        -------
        DuplicateCheck
            New, applied earlier, or too old to tell and so never applied again.
        """
        session = self._sessions.get(origin)
        if session is None or incarnation > session.incarnation:
            return DuplicateCheck(True)
        if incarnation < session.incarnation:
            return DuplicateCheck(False)
        if done := session.done.get(sequence):
            return DuplicateCheck(False, done.index, done.result)
        return DuplicateCheck(sequence > session.highest - WINDOW)

    def record(
        self, origin: str, incarnation: int, sequence: int, index: int, result: bytes
    ) -> None:
        """Note that a command was applied.

        Parameters
        ----------
        origin : str
            Daemon that proposed it.
        incarnation : int
            Incarnation of that daemon.
        sequence : int
            Number of the command.
        index : int
            Its index in the log.
        result : bytes
            Its result, encoded.
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
        """Return all sessions as bytes."""
        return msgspec.msgpack.encode(self._sessions)

    def load(self, content: bytes) -> None:
        """Replace all sessions by dumped ones."""
        self._sessions = _decoder.decode(content)

    def _evict(self, session: _Session) -> None:
        if len(session.done) > WINDOW:
            floor = session.highest - WINDOW
            for sequence in [known for known in session.done if known <= floor]:
                del session.done[sequence]
        if len(self._sessions) > MAX_SESSIONS:
            oldest = min(self._sessions, key=lambda name: self._eviction_key(name))
            del self._sessions[oldest]

    def _eviction_key(self, origin: str) -> tuple[int, str]:
        return self._sessions[origin].last_index, origin
