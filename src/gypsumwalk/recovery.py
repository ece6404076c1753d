"""Content of the data folder as recovered at startup."""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["Recovered"]


@dataclass(frozen=True, slots=True)
class Recovered:
    """Validated content of a data folder.

    Attributes
    ----------
    records : Mapping[str, tuple of bytes]
        Records of each file written by ``AppendRecords``, in order.
    files : Mapping[str, bytes]
        Content of each file written by ``WriteFile``.
    is_synced : bool
        Whether all of this is known to be synced. What an earlier process wrote may be
        read back although its sync failed or never came.
    """

    records: Mapping[str, tuple[bytes, ...]] = field(default_factory=dict)
    files: Mapping[str, bytes] = field(default_factory=dict)
    is_synced: bool = True
