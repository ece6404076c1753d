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
        self._data_centres: set[str] = set()

    def __contains__(self, data_centre: str) -> bool:
        return data_centre in self._data_centres

    def __bool__(self) -> bool:
        return bool(self._data_centres)

    @property
    def data_centres(self) -> list[str]:
        """Names of the evacuated data centres in order."""
        return sorted(self._data_centres)

    def apply(self, command: msgspec.Struct, index: int, at: float) -> msgspec.Struct:
        """Apply one committed command."""
        match command:
            case StartEvacuation(data_centre=data_centre):
                self._data_centres.add(data_centre)
            case FinishEvacuation(data_centre=data_centre):
                self._data_centres.discard(data_centre)
        return Accepted(index)

    def dump(self) -> bytes:
        """Return the section as bytes; equal states give equal bytes."""
        return msgspec.msgpack.encode(self.data_centres)

    def load(self, content: bytes) -> None:
        """Replace the section by a dumped one."""
        self._data_centres = set(msgspec.msgpack.decode(content, type=list[str]))
