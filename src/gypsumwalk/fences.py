"""Fences of daemons: the log's word that a daemon's targets may be taken over."""

import msgspec

from gypsumwalk.state import Accepted

__all__ = ["COMMANDS", "FenceDaemon", "FenceSection"]


class FenceDaemon(msgspec.Struct, frozen=True, tag=True):
    """Takes from a silent daemon every target that it owns.

    Attributes
    ----------
    daemon : str
        The silent daemon.
    """

    daemon: str


COMMANDS = (FenceDaemon,)


class FenceSection:
    """How often each daemon has been fenced, as replicated state."""

    name = "fences"
    commands = COMMANDS

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}

    def count(self, daemon: str) -> int:
        """Return how often a daemon has been fenced."""
        return self._counts.get(daemon, 0)

    def apply(self, command: msgspec.Struct, index: int, at: float) -> msgspec.Struct:
        """Apply one committed command."""
        assert isinstance(command, FenceDaemon)
        self._counts[command.daemon] = self.count(command.daemon) + 1
        return Accepted(index)

    def dump(self) -> bytes:
        """Return the section as bytes, the same for the same state."""
        return msgspec.msgpack.encode(sorted(self._counts.items()))

    def load(self, content: bytes) -> None:
        """Replace the section by one that was dumped."""
        pairs = msgspec.msgpack.decode(content, type=list[tuple[str, int]])
        self._counts = dict(pairs)
