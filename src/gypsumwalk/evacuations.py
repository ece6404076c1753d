"""Evacuated data centres, as a section of the replicated state."""

import msgspec

from gypsumwalk.state import Accepted

__all__ = ["EvacuationSection", "FinishEvacuation", "StartEvacuation"]


class StartEvacuation(msgspec.Struct, frozen=True, tag=True):
    """Command: send no more work to a data centre; idempotent."""

    data_centre: str


class FinishEvacuation(msgspec.Struct, frozen=True, tag=True):
    """Command: use a data centre again; idempotent."""

    data_centre: str


class EvacuationSection:
    """The data centres that are evacuated.

    The last command committed for a data centre holds.
    """

    name = "evacuations"
    commands: tuple[type, ...] = (StartEvacuation, FinishEvacuation)

    def __init__(self) -> None:
        self.data_centres: set[str] = set()
        """Names of the evacuated data centres; always the same object, so that others
        can hold it."""

    def list_data_centres(self) -> list[str]:
        """Return the names of the evacuated data centres in order."""
        return sorted(self.data_centres)

    def apply(self, command: msgspec.Struct, index: int, at: float) -> msgspec.Struct:
        """Apply one committed command."""
        match command:
            case StartEvacuation(data_centre=data_centre):
                self.data_centres.add(data_centre)
            case FinishEvacuation(data_centre=data_centre):
                self.data_centres.discard(data_centre)
        return Accepted(index)

    def dump(self) -> bytes:
        """Return the section as bytes; equal states give equal bytes."""
        return msgspec.msgpack.encode(self.list_data_centres())

    def load(self, content: bytes) -> None:
        """Replace the section by a dumped one."""
        self.data_centres.clear()
        self.data_centres.update(msgspec.msgpack.decode(content, type=list[str]))
