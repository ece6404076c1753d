"""Group commit: disk writes of one daemon, batched so that they share one sync."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum
from itertools import chain, groupby

from gypsumwalk.effects import AppendRecords, DiskOperation, Effect, WriteDisk
from gypsumwalk.part import NEVER
from gypsumwalk.statecharts import load_chart

__all__ = ["DiskEvent", "DiskState", "Storage"]

DISK_CHART = load_chart("disk")

WRITE_TIMEOUT_SECONDS = 3.0
"""Time without an outcome after which a write counts as failed; ten syncs of a slow
disk, with 0.2 s each, end before."""

REWRITE_TIMEOUT_SECONDS = 10.0
"""The same for a write of the whole state, which takes several syncs."""

MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.0
"""Pauses before the whole state is written, doubled after each failure."""

STABLE_SECONDS = 5.0
"""Time that a disk has to work for the next failure to have the shortest pause."""


class DiskState(Enum):
    """State of the disk of one daemon."""

    WORKING = "working"
    FAILED = "failed"
    REWRITING = "rewriting"


class DiskEvent(Enum):
    """Event in the life cycle of the disk of one daemon."""

    FAIL = "fail"
    BEGIN_REWRITE = "begin_rewrite"
    FINISH_REWRITE = "finish_rewrite"


@dataclass(slots=True)
class _Batch:
    operations: list[DiskOperation] = field(default_factory=list)
    deferred: list[Effect] = field(default_factory=list)
    durable_index: int = 0
    started_at: float = 0.0
    is_given_up: bool = False


class Storage:
    """Orders disk writes, and defers effects until the writes are synced.

    After a failed write it is unknown what the disk holds after the last good sync. The
    disk then backs nothing until the whole state was written anew and synced; until
    then operations are dropped, as the rewrite covers them.

    Parameters
    ----------
    enabled : bool
        Whether the daemon has a disk; without one no effect is deferred.
    durable : int
        Index of the last log entry on the disk.
    is_synced : bool
        Whether everything on the disk is known to be synced. If not, the whole state
        is written before the disk backs anything.
    """

    def __init__(self, *, enabled: bool, durable: int, is_synced: bool = True) -> None:
        self.durable = durable
        self._has_disk = enabled
        self._state = DiskState.WORKING if is_synced else DiskState.FAILED
        self._token = 0
        self._staged = _Batch()
        self._in_flight: _Batch | None = None
        self._retry_at = 0.0
        self._retry_pause = MIN_RETRY_SECONDS
        self._working_since = float("-inf")

    @property
    def enabled(self) -> bool:
        """Whether there is a disk that works, so that it may back votes and answers."""
        return self._has_disk and self._state is DiskState.WORKING

    @property
    def is_writing(self) -> bool:
        """Whether a write has no outcome yet; one that was given up may still end."""
        return self._in_flight is not None

    @property
    def wakeup(self) -> float:
        """Time in seconds at which to call ``give_up`` or to begin a rewrite."""
        if self._in_flight:
            return self._find_deadline(self._in_flight)
        if self._has_disk and self._state is DiskState.FAILED:
            return self._retry_at
        return NEVER

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
        if self._has_disk and self._state is not DiskState.FAILED:
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

    def flush(self, now: float) -> list[Effect]:
        """Return the write of the staged batch, unless a write is in flight.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            The write.
        """
        if self._in_flight or not self._staged.operations:
            return []
        batch, self._staged = self._staged, _Batch()
        batch.operations = list(_merge_appends(batch.operations))
        return self._start(batch, now)

    def is_rewrite_due(self, now: float) -> bool:
        """Tell whether the whole state is to be written now.

        A write that was given up may still change the disk, so its outcome is awaited.
        """
        is_failed = self._has_disk and self._state is DiskState.FAILED
        return is_failed and self._in_flight is None and now >= self._retry_at

    def begin_rewrite(
        self, operations: Sequence[DiskOperation], durable_index: int, now: float
    ) -> list[Effect]:
        """Return the write of the whole state.

        Parameters
        ----------
        operations : Sequence[DiskOperation]
            Operations after which the disk holds the state, whatever it held before.
        durable_index : int
            Index of the last log entry among them.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            The write.
        """
        self._trigger(DiskEvent.BEGIN_REWRITE)
        return self._start(_Batch(list(operations), [], durable_index), now)

    def give_up(self, now: float) -> bool:
        """Count a write without an outcome as failed; return whether there was one.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether a write was given up.
        """
        batch = self._in_flight
        if batch is None or now < self._find_deadline(batch):
            return False
        batch.is_given_up = True
        self._fail(now)
        return True

    def complete(self, token: int, succeeded: bool, now: float) -> list[Effect]:
        """Handle the outcome of a write; after a failure the disk backs nothing.

        Parameters
        ----------
        token : int
            Token of the write.
        succeeded : bool
            Whether every operation of it is synced.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            The effects deferred until this write.
        """
        if token != self._token or self._in_flight is None:
            return []
        batch, self._in_flight = self._in_flight, None
        if batch.is_given_up:
            return []
        if not succeeded:
            self._fail(now)
            return []
        if self._state is DiskState.REWRITING:
            self._trigger(DiskEvent.FINISH_REWRITE)
            self._working_since = now
            self.durable = batch.durable_index
        self.durable = max(self.durable, batch.durable_index)
        return batch.deferred

    def _start(self, batch: _Batch, now: float) -> list[Effect]:
        self._token += 1
        batch.started_at = now
        self._in_flight = batch
        return [WriteDisk(self._token, tuple(batch.operations))]

    def _find_deadline(self, batch: _Batch) -> float:
        if batch.is_given_up:
            return NEVER
        if self._state is DiskState.REWRITING:
            return batch.started_at + REWRITE_TIMEOUT_SECONDS
        return batch.started_at + WRITE_TIMEOUT_SECONDS

    def _fail(self, now: float) -> None:
        is_stable = now - self._working_since > STABLE_SECONDS
        if self._state is DiskState.WORKING and is_stable:
            self._retry_pause = MIN_RETRY_SECONDS
        self._trigger(DiskEvent.FAIL)
        self._staged = _Batch()
        self._retry_at = now + self._retry_pause
        self._retry_pause = min(2 * self._retry_pause, MAX_RETRY_SECONDS)

    def _trigger(self, event: DiskEvent) -> None:
        after = DISK_CHART.follow(self._state.value, event.value)
        self._state = DiskState(after)


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
