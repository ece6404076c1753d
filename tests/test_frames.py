"""Tests of the framing of records and of the data folder."""

import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from gypsumwalk.drivers.disk import FolderDisk
from gypsumwalk.effects import AppendRecords, TruncateRecords, WriteFile
from gypsumwalk.errors import CorruptRecord, DiskFailure
from gypsumwalk.frames import encode_frame, scan_frames


class TestFrames(unittest.TestCase):
    def test_every_torn_tail_leaves_the_whole_frames(self):
        intact = encode_frame([b"a", b"b"])
        last = encode_frame([b"c" * 50])
        for cut in range(len(last)):
            scan = scan_frames(intact + last[:cut], "log")
            assert [frame.records for frame in scan.frames] == [(b"a", b"b")]
            assert scan.length == len(intact)

    def test_every_damaged_byte_before_a_whole_frame_is_refused(self):
        first, second = encode_frame([b"abc"]), encode_frame([b"def"])
        for position in range(len(first)):
            content = bytearray(first + second)
            content[position] ^= 0xFF
            with self.assertRaises(CorruptRecord):
                scan_frames(bytes(content), "log")


class TestFolderDisk(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.disk = self.open()

    def open(self):
        disk = FolderDisk(self.folder)
        self.addCleanup(disk.close)
        disk.recover()
        return disk

    def test_everything_written_is_recovered(self):
        self.disk.write([AppendRecords("log", (b"a", b"b")), WriteFile("vote", b"x")])
        self.disk.write([AppendRecords("log", (b"c",)), WriteFile("vote", b"y")])
        recovered = self.open().recover()
        assert recovered.records == {"log": (b"a", b"b", b"c")}
        assert recovered.files == {"vote": b"y"}

    def test_truncation_keeps_the_first_records_at_any_place(self):
        records = (b"a", b"b", b"c")
        for keep in range(4):
            self.disk.write([TruncateRecords("log", 0)])
            self.disk.write([AppendRecords("log", records)])
            self.disk.write([AppendRecords("log", (b"d",))])
            self.disk.write([TruncateRecords("log", keep)])
            self.disk.write([AppendRecords("log", (b"e",))])
            expected = (*records[:keep], b"e")
            assert self.open().recover().records["log"] == expected

    def test_damage_in_the_middle_is_refused(self):
        self.disk.write([AppendRecords("log", (b"aaaa",))])
        self.disk.write([AppendRecords("log", (b"bbbb",))])
        path = Path(self.folder) / "log.records"
        content = bytearray(path.read_bytes())
        content[14] ^= 1
        path.write_bytes(bytes(content))
        with self.assertRaises(CorruptRecord):
            FolderDisk(self.folder).recover()

    def test_failed_sync_fails_that_write_and_every_later_one(self):
        self.disk.write([AppendRecords("log", (b"a",))])
        full = mock.patch.object(os, "fdatasync", side_effect=OSError(28, "full"))
        with full, self.assertRaises(DiskFailure):
            self.disk.write([AppendRecords("log", (b"b",))])
        with self.assertRaises(DiskFailure):
            self.disk.write([AppendRecords("log", (b"c",))])


if __name__ == "__main__":
    unittest.main()
