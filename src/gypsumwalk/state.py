"""Replicated state machine, which applies the commands of the log in order."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from gypsumwalk.errors import UnknownMessage

__all__ = ["Accepted", "ReplicatedState", "Rejected", "Section"]


class Accepted(msgspec.Struct, frozen=True, tag=True):
    """Result: the state machine applied a command."""

    index: int = 0


class Rejected(msgspec.Struct, frozen=True, tag=True):
    """Result: the state machine refused a command and left the state unchanged.

    Attributes
    ----------
    reason : str
        Name of the error type, for example ``ConflictingGeneration``.
    detail : str
        Human-readable explanation.
    """

    reason: str
    detail: str


class Section(Protocol):
    """Section of the replicated state; deterministic, without clock or randomness."""

    @property
    def name(self) -> str:
        """Name of the section in snapshots."""
        ...

    @property
    def commands(self) -> tuple[type, ...]:
        """Types of the commands that the section applies."""
        ...

    def apply(self, command: msgspec.Struct, index: int, at: float) -> msgspec.Struct:
        """Apply one committed command.

        Parameters
        ----------
        command : msgspec.Struct
            The command.
        index : int
            Index of the command in the log.
        at : float
            Time in seconds that the leader assigned to the entry; it never decreases.

        Returns
        -------
        msgspec.Struct
            ``Accepted``, ``Rejected`` or a result type of the section.
        """
        ...

    def dump(self) -> bytes:
        """Return the section as bytes, which are equal for equal states."""
        ...

    def load(self, content: bytes) -> None:
        """Replace the content by a dump."""
        ...


class Snapshot(msgspec.Struct, frozen=True):
    """Dump of the replicated state after the log entry ``index``."""

    index: int
    sections: dict[str, bytes]


class ReplicatedState:
    """The sections of the replicated state, and the index of the last entry applied.

    Parameters
    ----------
    sections : Sequence[Section]
        The sections; each type of command belongs to one of them.
    """

    def __init__(self, sections: Sequence[Section]) -> None:
        self.applied = 0
        self._sections = {section.name: section for section in sections}
        self._by_command: dict[type[msgspec.Struct], Section] = {
            command: section for section in sections for command in section.commands
        }
        self._initial = {section.name: section.dump() for section in sections}

    @property
    def commands(self) -> tuple[type[msgspec.Struct], ...]:
        """Types of the commands that the sections apply."""
        return tuple(self._by_command)

    def apply(self, command: msgspec.Struct, index: int, at: float) -> msgspec.Struct:
        """Apply one committed command.

        Parameters
        ----------
        command : msgspec.Struct
            The command.
        index : int
            Index of the command in the log.
        at : float
            Time in seconds that the leader assigned to the entry.

        Returns
        -------
        msgspec.Struct
            Result that the section returned.

        Raises
        ------
        UnknownMessage
            If no section applies this type of command.
        """
        section = self._by_command.get(type(command))
        if section is None:
            raise UnknownMessage(type(command).__name__)
        result = section.apply(command, index, at)
        self.applied = index
        return result

    def skip(self, index: int) -> None:
        """Mark an entry without a command as applied."""
        self.applied = index

    def dump(self) -> bytes:
        """Return the whole state as bytes."""
        sections = {
            name: self._sections[name].dump() for name in sorted(self._sections)
        }
        return msgspec.msgpack.encode(Snapshot(self.applied, sections))

    def load(self, content: bytes) -> None:
        """Replace the whole state by a dump.

        Parameters
        ----------
        content : bytes
            Return value of ``dump``, also of an earlier version. A section that it
            lacks becomes as at the start, so that all daemons agree on it.
        """
        snapshot = msgspec.msgpack.decode(content, type=Snapshot)
        parts = {**self._initial, **snapshot.sections}
        for name, section in self._sections.items():
            section.load(parts[name])
        self.applied = snapshot.index
