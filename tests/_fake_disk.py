"""Simulated disk: synced writes survive a crash, writes in flight may be torn."""

from collections import deque
from random import Random

from gypsumwalk.effects import AppendRecords, TruncateRecords, WriteFile
from gypsumwalk.recovery import Recovered


class FakeDisk:
    """In-memory data folder with the semantics of ``DiskOperation``.

    Each operation takes ``write_seconds``, as it is synced.
    """

    def __init__(self, random: Random, *, write_seconds: float = 0.0005) -> None:
        self.write_seconds = write_seconds
        self.full = False
        self.synced_writes = 0
        self._random = random
        self._records: dict[str, list[bytes]] = {}
        self._files: dict[str, bytes] = {}
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
        if self.full:
            return False
        for operation in operations:
            self._carry_out(operation)
        self.synced_writes += 1
        return True

    def crash(self):
        """Drop unsynced writes; the write in flight is torn at a random point."""
        if self._pending and not self.full:
            operations = self._pending[0]
            whole = self._random.randint(0, len(operations))
            for operation in operations[:whole]:
                self._carry_out(operation)
            if whole < len(operations):
                self._tear(operations[whole])
        self._pending.clear()
        self._busy_until = 0.0

    def lose(self):
        """Drop all content, as if the disk were replaced by an empty one."""
        self._pending.clear()
        self._records.clear()
        self._files.clear()
        self.full = False

    def recover(self):
        """Return the content that a starting daemon reads."""
        records = {name: tuple(kept) for name, kept in self._records.items()}
        return Recovered(records, dict(self._files))

    def size(self):
        """Return the size of the content in bytes."""
        records = sum(len(item) for kept in self._records.values() for item in kept)
        return records + sum(len(content) for content in self._files.values())

    def _tear(self, operation):
        if isinstance(operation, AppendRecords):
            count = self._random.randint(0, len(operation.records))
            part = AppendRecords(operation.file, operation.records[:count])
            self._carry_out(part)

    def _carry_out(self, operation):
        match operation:
            case AppendRecords(file, records):
                self._records.setdefault(file, []).extend(records)
            case TruncateRecords(file, keep):
                del self._records.setdefault(file, [])[keep:]
            case WriteFile(file, content):
                self._files[file] = content
