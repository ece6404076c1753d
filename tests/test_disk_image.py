"""Tests of what is left of a data folder after a simulated loss of power.

Deliberate faults show that a missing sync of the product is detected.
"""

import tempfile
import unittest
from contextlib import contextmanager
from pathlib import Path
from random import Random
from unittest import mock

from gypsumwalk.drivers import disk
from gypsumwalk.drivers.disk import FolderDisk
from gypsumwalk.effects import AppendRecords, KeepRecords, WriteFile
from gypsumwalk.errors import DiskFailure
from tests._disk_image import DiskImage
from tests._faulty_serve import Faults, FaultyOs, write_faults

SEEDS = range(12)


class PoweredFolder:
    """Data folder on a disk that can fail and lose its power."""

    def __init__(self, folder):
        self.data_folder = folder / "data"
        self._faults_path = folder / "faults"
        self.image = DiskImage(self.data_folder, folder / "image")
        self.system = FaultyOs(self._faults_path, self.image)
        self.set_faults()

    def set_faults(self, **faults):
        write_faults(self._faults_path, Faults(**faults))

    def write(self, *operations):
        folder_disk = FolderDisk(str(self.data_folder))
        try:
            folder_disk.write(operations)
        finally:
            folder_disk.close()

    def lose_power(self, seed):
        self.image.restore(Random(seed))
        return FolderDisk(str(self.data_folder)).recover()


@contextmanager
def open_folder():
    with tempfile.TemporaryDirectory() as name:
        folder = PoweredFolder(Path(name))
        with mock.patch.object(disk, "os", folder.system):
            yield folder


class TestDiskImage(unittest.TestCase):
    """Guards against a loss of power that spares what was not synced (issue 43)."""

    def test_nothing_is_left_of_a_folder_that_was_never_synced(self):
        with open_folder() as folder:
            folder.data_folder.mkdir()
            (folder.data_folder / "vote.file").write_bytes(b"x")
            assert folder.lose_power(0).files == {}

    def test_what_was_written_is_left(self):
        for seed in SEEDS:
            with open_folder() as folder:
                folder.write(AppendRecords("log-0", (b"a",)), WriteFile("vote", b"x"))
                folder.write(WriteFile("vote", b"y"), KeepRecords("log-1"))
                folder.write(AppendRecords("log-1", (b"b",)))
                for _ in range(2):
                    recovered = folder.lose_power(seed)
                    assert recovered.files == {"vote": b"y"}
                    assert recovered.records == {"log-1": (b"b",)}

    def test_a_write_that_failed_is_left_in_part_or_not_at_all(self):
        found = set()
        for seed in SEEDS:
            with open_folder() as folder:
                folder.write(AppendRecords("log-0", (b"a",)))
                path = folder.data_folder / "log-0.records"
                whole = path.read_bytes()
                with open(path, "ab") as file:
                    file.write(b"unsynced")
                folder.lose_power(seed)
                left = path.read_bytes()
                assert left.startswith(whole)
                found.add(left.removeprefix(whole))
        assert {b"", b"unsynced"} < found, found

    def test_a_full_disk_keeps_the_former_file(self):
        for seed in SEEDS:
            with open_folder() as folder:
                folder.write(WriteFile("vote", b"x"))
                folder.set_faults(is_full=True)
                with self.assertRaises(DiskFailure):
                    folder.write(WriteFile("vote", b"y"))
                assert folder.lose_power(seed).files == {"vote": b"x"}

    def test_what_a_failed_sync_dropped_is_lost_after_a_good_one(self):
        for seed in SEEDS:
            with open_folder() as folder:
                folder.write(AppendRecords("log-0", (b"a",)))
                path = folder.data_folder / "log-0.records"
                whole = path.read_bytes()
                with open(path, "ab", buffering=0) as file:
                    file.write(b"unsynced")
                    folder.set_faults(is_failing=True)
                    with self.assertRaises(OSError):
                        folder.system.fdatasync(file.fileno())
                    folder.set_faults()
                    folder.system.fdatasync(file.fileno())
                folder.lose_power(seed)
                assert path.read_bytes() == whole

    def test_a_missing_sync_of_records_is_detected(self):
        def skip(system, descriptor):
            pass

        found = set()
        with mock.patch.object(FaultyOs, "fdatasync", skip):
            for seed in SEEDS:
                with open_folder() as folder:
                    folder.write(AppendRecords("log-0", (b"a",)))
                    found.add(folder.lose_power(seed).records.get("log-0", ()))
        assert () in found, found

    def test_a_missing_sync_of_the_folder_is_detected(self):
        found = set()
        for seed in SEEDS:
            with open_folder() as folder:
                folder.write(WriteFile("vote", b"x"))
                with mock.patch.object(disk, "_sync_folder"):
                    folder.write(WriteFile("vote", b"y"))
                found.add(folder.lose_power(seed).files["vote"])
        assert found == {b"x", b"y"}, found


if __name__ == "__main__":
    unittest.main()
