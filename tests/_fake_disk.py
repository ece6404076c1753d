"""Simulated disk with a page cache: what is read back is not always synced."""

from collections import deque
from dataclasses import dataclass
from random import Random

from gypsumwalk.effects import (
    AppendRecords,
    KeepRecords,
    TruncateRecords,
    WriteFile,
)
from gypsumwalk.errors import CorruptRecord
from gypsumwalk.recovery import Recovered


@dataclass
class _Record:
    """One record of a file, as a process reads it."""

    content: bytes
    is_synced: bool
    is_dropped: bool = False
    """Whether a failed sync marked it as clean, so that no later sync writes it."""


class FakeDisk:
    """In-memory data folder with the semantics of ``DiskOperation``.

    Each operation takes ``write_seconds``, as it is synced. While the disk is ``full``
    each operation fails, and may leave parts that can be read back without being
    synced. While it is ``stalled`` no write ends.

    Parameters
    ----------
    random : Random
        Source of what torn and failed writes leave behind.
    write_seconds : float
        Time of one operation in seconds.
    """

    def __init__(self, random: Random, *, write_seconds: float = 0.0005) -> None:
        self.write_seconds = write_seconds
        self.full = False
        self.stalled = False
        self.synced_writes = 0
        self.failed_writes = 0
        self.crash_after: int | None = None
        """Operations of the oldest write that the next crash leaves whole; None draws
        their number."""
        self._random = random
        self._records: dict[str, list[_Record]] = {}
        self._files: dict[str, bytes] = {}
        self._synced_files: dict[str, bytes] = {}
        self._pending: deque[tuple] = deque()
        self._busy_until = 0.0

    def begin(self, operations, now):
        """Queue a write and return the time at which it completes."""
        self._pending.append(tuple(operations))
        duration = self.write_seconds * len(operations)
        self._busy_until = max(self._busy_until, now) + duration
        return self._busy_until

    def finish(self):
        """Complete the oldest write, and return whether it succeeded."""
        operations = self._pending.popleft()
        for operation in operations:
            if self.full:
                self._fail(operation)
                self.failed_writes += 1
                return False
            self._carry_out(operation)
        self.synced_writes += 1
        return True

    def crash(self):
        """End the process: what it wrote without a sync can still be read back."""
        if self._pending and not self.full:
            operations = self._pending[0]
            whole = self._draw_whole_operations(operations)
            for operation in operations[:whole]:
                self._carry_out(operation)
            if whole < len(operations):
                self._tear(operations[whole])
        self._pending.clear()
        self._busy_until = 0.0
        self.crash_after = None

    def lose_power(self):
        """Lose what is not synced, but for some of what no sync has failed on."""
        for records in self._records.values():
            self._drop_unsynced(records)
        for file, content in self._files.items():
            if content != self._synced_files.get(file) and self._random.random() < 0.5:
                self._synced_files[file] = content
        self._files = dict(self._synced_files)

    def lose(self):
        """Drop all content, as if the disk were replaced by an empty one."""
        self._pending.clear()
        self._records.clear()
        self._files.clear()
        self._synced_files.clear()
        self.full = False

    def recover(self):
        """Return the content that a starting daemon reads."""
        records = {
            name: tuple(record.content for record in kept)
            for name, kept in self._records.items()
        }
        is_empty = not records and not self._files
        return Recovered(records, dict(self._files), is_synced=is_empty)

    def size(self):
        """Return the size of the synced content in bytes."""
        records = sum(
            len(item.content)
            for kept in self._records.values()
            for item in kept
            if item.is_synced
        )
        return records + sum(len(content) for content in self._synced_files.values())

    def _draw_whole_operations(self, operations):
        if self.crash_after is not None:
            return min(self.crash_after, len(operations))
        return self._random.randint(0, len(operations))

    def _tear(self, operation):
        match operation:
            case AppendRecords(file, records):
                count = self._random.randint(0, len(records))
                self._write_unsynced(file, records[:count], is_dropped=False)
            case WriteFile(file, content):
                if self._random.random() < 0.5:
                    self._files[file] = content

    def _fail(self, operation):
        """Leave what a write without space, or with a failed sync, leaves behind."""
        match operation:
            case AppendRecords(file, records):
                count = self._random.randint(0, len(records))
                self._write_unsynced(file, records[:count], is_dropped=True)
            case WriteFile(file, content):
                if self._random.random() < 0.1:
                    self._files[file] = content

    def _write_unsynced(self, file, records, *, is_dropped):
        written = [_Record(content, False, is_dropped) for content in records]
        self._records.setdefault(file, []).extend(written)

    def _drop_unsynced(self, records):
        """Cut a file at the first record that is lost, as recovery does."""
        for position, record in enumerate(records):
            is_kept = not record.is_dropped and self._random.random() < 0.5
            if record.is_synced or is_kept:
                record.is_synced = True
                continue
            if any(later.is_synced for later in records[position:]):
                raise CorruptRecord("a synced record follows one that a sync dropped")
            del records[position:]
            return

    def _carry_out(self, operation):
        match operation:
            case AppendRecords(file, records):
                kept = self._records.setdefault(file, [])
                kept += [_Record(content, False) for content in records]
                self._sync(kept)
            case TruncateRecords(file, keep):
                kept = self._records.setdefault(file, [])
                del kept[keep:]
                self._sync(kept)
            case WriteFile(file, content):
                self._files[file] = content
                self._synced_files[file] = content
            case KeepRecords(file):
                for other in set(self._records) - {file}:
                    del self._records[other]

    def _sync(self, records):
        for record in records:
            record.is_synced = record.is_synced or not record.is_dropped
