"""Group commit: disk writes of one daemon, batched so that they share one sync."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import chain, groupby

from gypsumwalk.effects import AppendRecords, DiskOperation, Effect, WriteDisk

__all__ = ["Storage"]


@dataclass(slots=True)
class _Batch:
    operations: list[DiskOperation] = field(default_factory=list)
    deferred: list[Effect] = field(default_factory=list)
    durable_index: int = 0


class Storage:
    """Orders disk writes, and defers effects until the writes are synced.

    Parameters
    ----------
    enabled : bool
        Whether the daemon has a disk; without one no effect is deferred.
    durable : int
        Index of the last log entry on the disk.
    """

    def __init__(self, *, enabled: bool, durable: int) -> None:
        self.durable = durable
        self.failed = False
        self._enabled = enabled
        self._token = 0
        self._staged = _Batch()
        self._in_flight: _Batch | None = None

    @property
    def enabled(self) -> bool:
        """Whether there is a disk that has not failed."""
        return self._enabled and not self.failed

    def stage(self, *operations: DiskOperation, durable_index: int = 0) -> None:
        """Add operations to the next batch.

        Parameters
        ----------
        *operations : DiskOperation
            The operations.
        durable_index : int
            Last log index that is durable once the operations are synced.
        """
        if not self.enabled:
            self.durable = max(self.durable, durable_index)
            return
        self._staged.operations += operations
        self._staged.durable_index = max(self._staged.durable_index, durable_index)

    def lower_durable_index(self, last_index: int) -> None:
        """Lower the durable indexes, as the log was truncated after an index."""
        self.durable = min(self.durable, last_index)
        self._staged.durable_index = min(self._staged.durable_index, last_index)
        if self._in_flight:
            self._in_flight.durable_index = min(
                self._in_flight.durable_index, last_index
            )

    def defer_until_synced(self, effects: Sequence[Effect]) -> list[Effect]:
        """Defer effects until every operation staged so far is synced.

        Parameters
        ----------
        effects : Sequence[Effect]
            The effects.

        Returns
        -------
        list of Effect
            The effects if nothing has to be synced first, else an empty list.
        """
        if not self.enabled:
            return list(effects)
        if self._staged.operations:
            self._staged.deferred += effects
            return []
        if self._in_flight:
            self._in_flight.deferred += effects
            return []
        return list(effects)

    def flush(self) -> list[Effect]:
        """Return the write of the staged batch, unless a write is in flight."""
        if self._in_flight or not self._staged.operations:
            return []
        self._token += 1
        self._in_flight, self._staged = self._staged, _Batch()
        operations = tuple(_merge_appends(self._in_flight.operations))
        return [WriteDisk(self._token, operations)]

    def complete(self, token: int, succeeded: bool) -> list[Effect]:
        """Handle the outcome of a write; a failure disables the storage for good.

        Parameters
        ----------
        token : int
            Token of the write.
        succeeded : bool
            Whether every operation of it is synced.

        Returns
        -------
        list of Effect
            The effects deferred until this write.
        """
        if token != self._token or self._in_flight is None:
            return []
        batch, self._in_flight = self._in_flight, None
        if not succeeded:
            self.failed = True
            self._staged = _Batch()
            return []
        self.durable = max(self.durable, batch.durable_index)
        return batch.deferred


def _merge_appends(operations: Iterable[DiskOperation]) -> Iterator[DiskOperation]:
    """Merge successive appends to one file, as each operation is synced by itself."""
    for file, group in groupby(operations, _find_append_file):
        if not file:
            yield from group
            continue
        appends = (item for item in group if isinstance(item, AppendRecords))
        records = chain.from_iterable(item.records for item in appends)
        yield AppendRecords(file, tuple(records))


def _find_append_file(operation: DiskOperation) -> str:
    return operation.file if isinstance(operation, AppendRecords) else ""
