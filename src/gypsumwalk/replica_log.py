"""In-memory part of the replicated log of one daemon."""

from collections.abc import Sequence

from gypsumwalk.replication import Entry

__all__ = ["ReplicaLog"]

ENTRY_OVERHEAD_BYTES = 64
"""Estimated size of an entry without its command, to limit the size of a batch."""


class ReplicaLog:
    """Entries after a snapshot, in order and without gaps.

    Parameters
    ----------
    base_index : int
        Index of the last entry that the snapshot covers.
    base_term : int
        Term of that entry.
    """

    def __init__(self, base_index: int = 0, base_term: int = 0) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[Entry] = []

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def last_time(self) -> float:
        """Time in seconds of the last entry kept, 0 if there is none."""
        return self._entries[-1].at if self._entries else 0.0

    def get(self, index: int) -> Entry:
        """Return an entry after the base index."""
        return self._entries[index - self.base_index - 1]

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if the log does not hold it."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self.get(index).term

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries."""
        self._entries.extend(entries)

    def truncate(self, last_index: int) -> None:
        """Drop every entry after an index."""
        del self._entries[max(0, last_index - self.base_index) :]

    def compact(self, index: int) -> None:
        """Drop every entry up to an index that a snapshot covers."""
        term = self.term_at(index)
        if term is None:
            return
        del self._entries[: index - self.base_index]
        self.base_index, self.base_term = index, term

    def reset(self, index: int, term: int) -> None:
        """Drop every entry, and continue after a snapshot."""
        self.base_index, self.base_term = index, term
        self._entries.clear()

    def tail(self, after: int) -> list[Entry]:
        """Return every entry after an index."""
        return self._entries[max(0, after - self.base_index) :]

    def read(self, after: int, max_bytes: int, max_count: int) -> list[Entry]:
        """Return a batch of entries after an index.

        Parameters
        ----------
        after : int
            Index before the first entry.
        max_bytes : int
            Estimated size of the batch; the first entry may exceed it.
        max_count : int
            Largest number of entries.

        Returns
        -------
        list of Entry
            The entries.
        """
        start = after - self.base_index
        chosen: list[Entry] = []
        size = 0
        for entry in self._entries[start : start + max_count]:
            size += len(entry.command) + ENTRY_OVERHEAD_BYTES
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return chosen
