"""Writes of one daemon, batched so that one sync covers many of them."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from gypsumwalk.effects import DiskOperation, Effect, WriteDisk

__all__ = ["Storage"]


@dataclass(slots=True)
class _Batch:
    operations: list[DiskOperation] = field(default_factory=list)
    deferred: list[Effect] = field(default_factory=list)
    top: int = 0


class Storage:
    """Orders writes to the disk and holds back effects until they are synced.

    Parameters
    ----------
    enabled : bool
        Whether the daemon has a disk; without one nothing is held back.
    durable : int
        Index of the last entry of the log that the disk holds.
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
        """Whether there is a disk, and it has not failed."""
        return self._enabled and not self.failed

    def stage(self, *operations: DiskOperation, top: int = 0) -> None:
        """Add operations to the next batch.

        Parameters
        ----------
        *operations : DiskOperation
            The operations.
        top : int
            Last index of the log that is durable once they are synced.
        """
        if not self.enabled:
            self.durable = max(self.durable, top)
            return
        self._staged.operations += operations
        self._staged.top = max(self._staged.top, top)

    def truncate(self, last_index: int) -> None:
        """Note that the log was cut after an index."""
        self.durable = min(self.durable, last_index)
        self._staged.top = min(self._staged.top, last_index)
        if self._in_flight:
            self._in_flight.top = min(self._in_flight.top, last_index)

    def defer_until_synced(self, effects: Sequence[Effect]) -> list[Effect]:
        """Hold effects back until all that was staged so far is synced.

        Parameters
        ----------
        effects : Sequence[Effect]
            The effects.

        Returns
        -------
        list of Effect
            Those that need not wait.
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
        """Return the write of the staged batch, if the disk is free."""
        if self._in_flight or not self._staged.operations:
            return []
        self._token += 1
        self._in_flight, self._staged = self._staged, _Batch()
        return [WriteDisk(self._token, tuple(self._in_flight.operations))]

    def complete(self, token: int, succeeded: bool) -> list[Effect]:
        """Take in the end of a write.

        Parameters
        ----------
        token : int
            Token of the write.
        succeeded : bool
            Whether all of it is synced.

        Returns
        -------
        list of Effect
            Effects that waited for it.
        """
        if token != self._token or self._in_flight is None:
            return []
        batch, self._in_flight = self._in_flight, None
        if not succeeded:
            self.failed = True
            self._staged = _Batch()
            return []
        self.durable = max(self.durable, batch.top)
        return batch.deferred
