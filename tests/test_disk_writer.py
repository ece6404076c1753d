"""Tests of the task that writes to a daemon's disk."""

import threading
import unittest
from unittest import mock

import trio

from gypsumwalk.drivers.disk_writer import DiskWriter
from gypsumwalk.drivers.metrics import Metrics
from gypsumwalk.effects import WriteDisk
from gypsumwalk.errors import DiskFailure
from gypsumwalk.inputs import DiskOutcome

HANG_SECONDS = 5.0


class FakeClock:
    def now(self):
        return 0.0


class FullDisk:
    def write(self, operations):
        raise DiskFailure("no space left")


class HangingDisk:
    """Disk whose writes hang until they are released."""

    def __init__(self):
        self.begun = threading.Event()
        self.released = threading.Event()
        self.has_ended = False

    def write(self, operations):
        self.begun.set()
        self.released.wait(HANG_SECONDS)
        self.has_ended = True


class TestDiskWriter(unittest.TestCase):
    def make(self, disk):
        self.outcomes = []
        return DiskWriter(
            disk, clock=FakeClock(), metrics=Metrics(), report=self.outcomes.append
        )

    def test_a_failure_is_reported_with_its_reason(self):
        async def run():
            writer = self.make(FullDisk())
            writer.submit(WriteDisk(7, ()))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(writer.run)
                while not self.outcomes:
                    await trio.lowlevel.checkpoint()
                nursery.cancel_scope.cancel()

        trio.run(run)
        (outcome,) = self.outcomes
        assert (outcome.token, outcome.succeeded) == (7, False)
        assert outcome.reason == "no space left"

    def run_writes(self, disk, count):
        async def run():
            writer = self.make(disk)
            for token in range(count):
                writer.submit(WriteDisk(token, ()))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(writer.run)
                while len(self.outcomes) < count:
                    await trio.lowlevel.checkpoint()
                nursery.cancel_scope.cancel()

        trio.run(run)
        return [(outcome.succeeded, outcome.reason) for outcome in self.outcomes]

    def test_a_lack_of_memory_is_a_failed_write(self):
        """The process ended, as the error left its event loop (issue 43)."""
        disk = mock.Mock()
        disk.write.side_effect = [MemoryError("no memory"), None]
        expected = [(False, "MemoryError: no memory"), (True, "")]
        assert self.run_writes(disk, 2) == expected

    def test_a_lack_of_threads_is_a_failed_write(self):
        """The process ended, as the error left its event loop (issue 43)."""
        disk = mock.Mock()
        reason = "can't start new thread"
        run_sync = mock.AsyncMock(
            side_effect=[RuntimeError(reason), DiskOutcome(1, True)]
        )
        with mock.patch.object(trio.to_thread, "run_sync", run_sync):
            outcomes = self.run_writes(disk, 2)
        assert outcomes == [(False, f"RuntimeError: {reason}"), (True, "")]

    def test_a_shutdown_does_not_wait_for_a_write_that_hangs(self):
        """The process stayed until the disk answered, after its graceful shutdown."""
        disk = HangingDisk()
        self.addCleanup(disk.released.set)

        async def run():
            writer = self.make(disk)
            writer.submit(WriteDisk(1, ()))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(writer.run)
                while not disk.begun.is_set():
                    await trio.lowlevel.checkpoint()
                nursery.cancel_scope.cancel()

        trio.run(run)
        assert not disk.has_ended


if __name__ == "__main__":
    unittest.main()
