"""Task that writes to the disk of one daemon, off the event loop."""

import threading
from collections.abc import Callable, Sequence
from concurrent.futures import Future

import trio

from gypsumwalk.drivers.metrics import Metrics
from gypsumwalk.effects import DiskOperation, WriteDisk
from gypsumwalk.errors import DiskFailure
from gypsumwalk.inputs import DiskOutcome
from gypsumwalk.interfaces import Clock, Disk

__all__ = ["DiskWriter", "write_within"]

MAX_QUEUED_WRITES = 1024


class DiskWriter:
    """Carries out writes one after the other, each in a worker thread.

    Parameters
    ----------
    disk : Disk or None
        The disk; without one every write fails.
    clock : Clock
        Clock for the latency of writes.
    metrics : Metrics
        Counts and latencies of writes.
    report : Callable
        Takes the outcome of each write.
    """

    def __init__(
        self,
        disk: Disk | None,
        *,
        clock: Clock,
        metrics: Metrics,
        report: Callable[[DiskOutcome], None],
    ) -> None:
        self._disk = disk
        self._clock = clock
        self._metrics = metrics
        self._report = report
        self._send, self._writes = trio.open_memory_channel[WriteDisk](
            MAX_QUEUED_WRITES
        )

    def submit(self, write: WriteDisk) -> None:
        """Queue a write."""
        self._send.send_nowait(write)

    async def run(self) -> None:
        """Write until cancelled; a write that hangs then is abandoned."""
        async for write in self._writes:
            started = self._clock.now()
            outcome = await self._write_in_thread(write)
            name = "succeeded" if outcome.succeeded else "failed"
            self._metrics.count("disk_writes", outcome=name)
            self._metrics.observe_latency("disk_write", self._clock.now() - started)
            self._report(outcome)

    async def _write_in_thread(self, write: WriteDisk) -> DiskOutcome:
        try:
            return await trio.to_thread.run_sync(
                self._write, write, abandon_on_cancel=True
            )
        except (RuntimeError, MemoryError) as error:
            # No thread could be started, or there is no memory to encode the content.
            reason = f"{type(error).__name__}: {error}"
            return DiskOutcome(write.token, False, reason)

    def _write(self, write: WriteDisk) -> DiskOutcome:
        if self._disk is None:
            return DiskOutcome(write.token, False, "there is no data folder")
        try:
            self._disk.write(write.operations)
        except DiskFailure as failure:
            return DiskOutcome(write.token, False, str(failure))
        return DiskOutcome(write.token, True)


def write_within(
    disk: Disk, operations: Sequence[DiskOperation], seconds: float
) -> None:
    """Write, and stop waiting for a write that hangs.

    Parameters
    ----------
    disk : Disk
        The disk; later writes to it wait until this one has ended.
    operations : Sequence of DiskOperation
        The operations.
    seconds : float
        Time in seconds after which the write counts as failed; it may still succeed.

    Raises
    ------
    DiskFailure
        If the write failed, had no outcome in that time, or no thread could be started.
    """
    outcome: Future[None] = Future()
    arguments = (disk, operations, outcome)
    thread = threading.Thread(target=_write_and_report, args=arguments, daemon=True)
    try:
        thread.start()
    except RuntimeError as error:
        raise DiskFailure(str(error)) from error
    try:
        outcome.result(seconds)
    except TimeoutError:
        raise DiskFailure(f"no outcome after {seconds:g} s") from None


def _write_and_report(
    disk: Disk, operations: Sequence[DiskOperation], outcome: Future[None]
) -> None:
    try:
        disk.write(operations)
    except DiskFailure as failure:
        outcome.set_exception(failure)
    else:
        outcome.set_result(None)
