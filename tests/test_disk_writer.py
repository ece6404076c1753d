"""Tests of the task that writes to a daemon's disk."""

import threading
import unittest

import trio

from gypsumwalk.drivers.disk_writer import DiskWriter
from gypsumwalk.drivers.metrics import Metrics
from gypsumwalk.effects import WriteDisk
from gypsumwalk.errors import DiskFailure

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
