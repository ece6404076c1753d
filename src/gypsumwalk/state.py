"""State that every daemon builds by applying the replicated log in order."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from gypsumwalk.errors import UnknownMessage

__all__ = ["Accepted", "ReplicatedState", "Rejected", "Section"]


class Accepted(msgspec.Struct, frozen=True, tag=True):
    """The state machine carried out a command."""

    index: int = 0


class Rejected(msgspec.Struct, frozen=True, tag=True):
    """The state machine refused a command and changed nothing.

    Attributes
    ----------
    reason : str
        Name of the error type, for example ``ConflictingGeneration``.
    detail : str
        Sentence for a person.
    """

    reason: str
    detail: str


class Section(Protocol):
    """One section of the replicated state: deterministic, without clock or chance."""

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
            Its position in the log.
        at : float
            Time in seconds that the leader gave the entry, never decreasing.

        Returns
        -------
        msgspec.Struct
            ``Accepted``, ``Rejected`` or a result of the section's own.
        """
        ...

    def dump(self) -> bytes:
        """Return the section as bytes, the same for the same state."""
        ...

    def load(self, content: bytes) -> None:
        """Replace the section by one that was dumped."""
        ...


class Snapshot(msgspec.Struct, frozen=True):
    """The replicated state after one entry of the log."""

    index: int
    sections: dict[str, bytes]


class ReplicatedState:
    """All sections, and the index of the last entry applied.

    Parameters
    ----------
    sections : Sequence[Section]
        The sections, each with commands of its own.
    """

    def __init__(self, sections: Sequence[Section]) -> None:
        self.applied = 0
        self._sections = {section.name: section for section in sections}
        self._by_command: dict[type[msgspec.Struct], Section] = {
            command: section for section in sections for command in section.commands
        }

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
            Its position in the log.
        at : float
            Time in seconds that the leader gave the entry.

        Returns
        -------
        msgspec.Struct
            Result of the section.

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
        """Note an entry without a command as applied."""
        self.applied = index

    def dump(self) -> bytes:
        """Return the whole state as bytes."""
        sections = {
            name: self._sections[name].dump() for name in sorted(self._sections)
        }
        return msgspec.msgpack.encode(Snapshot(self.applied, sections))

    def load(self, content: bytes) -> None:
        """Replace the whole state by one that was dumped.

        Parameters
        ----------
        content : bytes
            What ``dump`` returned.
        """
        snapshot = msgspec.msgpack.decode(content, type=Snapshot)
        for name, part in snapshot.sections.items():
            if name in self._sections:
                self._sections[name].load(part)
        self.applied = snapshot.index
