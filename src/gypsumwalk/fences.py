"""Fences in the replicated log, after which a daemon's targets may be taken over."""

import msgspec

from gypsumwalk.state import Accepted

__all__ = ["COMMANDS", "FenceDaemon", "FenceSection"]


class FenceDaemon(msgspec.Struct, frozen=True, tag=True):
    """Revokes a silent daemon's ownership of all its targets.

    Attributes
    ----------
    daemon : str
        The silent daemon.
    """

    daemon: str


COMMANDS = (FenceDaemon,)


class FenceSection:
    """Replicated count of the fences of each daemon."""

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
        """Return the section as bytes, identical for identical state."""
        return msgspec.msgpack.encode(sorted(self._counts.items()))

    def load(self, content: bytes) -> None:
        """Replace the section by dumped content."""
        pairs = msgspec.msgpack.decode(content, type=list[tuple[str, int]])
        self._counts = dict(pairs)
