"""Tests of the data folder while its disk refuses writes, and after."""

import errno
import os
import shutil
import tempfile
import threading
import unittest
from pathlib import Path
from unittest import mock

import msgspec

from gypsumwalk.drivers.disk import FolderDisk
from gypsumwalk.drivers.disk_writer import write_within
from gypsumwalk.effects import (
    AppendRecords,
    KeepRecords,
    TruncateRecords,
    WriteFile,
)
from gypsumwalk.errors import DiskFailure
from gypsumwalk.frames import encode_frame
from gypsumwalk.proposals import Proposals
from gypsumwalk.recovery import Recovered
from gypsumwalk.replica import Replica, SnapshotContent
from gypsumwalk.replication import Entry
from gypsumwalk.state import ReplicatedState

FULL = OSError(errno.ENOSPC, "No space left on device")
NO_DESCRIPTORS = OSError(errno.EMFILE, "Too many open files")
ERRORS = [
    OSError(number, os.strerror(number))
    for number in (errno.EIO, errno.EMFILE, errno.EACCES, errno.EROFS)
]
CALLS = (
    "open",
    "close",
    "fstat",
    "pwrite",
    "ftruncate",
    "fsync",
    "fdatasync",
    "replace",
    "unlink",
    "listdir",
)
"""System calls of a data folder whose failure fails the write."""

MAX_RETRY_SECONDS = 1.0
CLOSE = os.close
WRITES = ("pwrite", "ftruncate", "fsync", "fdatasync", "unlink", "replace", "mkdir")


def fail(name, error=FULL):
    return mock.patch.object(os, name, side_effect=error)


def fail_later(name, calls):
    """Let a system call fail after it has succeeded a number of times."""
    original, left = getattr(os, name), iter(range(calls))

    def call(*args):
        if next(left, None) is None:
            raise FULL
        return original(*args)

    return mock.patch.object(os, name, call)


class FailingCall:
    """System call that fails some times, after it has succeeded a number of times."""

    def __init__(self, name, error, *, after, count):
        self.original = getattr(os, name)
        self.error = error
        self.failing = range(after, after + count)
        self.calls = 0
        self.failures = 0

    def __call__(self, *args, **options):
        self.calls += 1
        if self.calls - 1 not in self.failing:
            return self.original(*args, **options)
        self.failures += 1
        if self.original is CLOSE:
            CLOSE(*args)
        raise self.error


def make_replica(recovered):
    proposals = Proposals("v0", 1)
    return Replica(ReplicatedState([]), recovered, "identity", {"v0": ""}, proposals)


def check_recovered(recovered, replica):
    """A new process reads the state that a replica has."""
    read = make_replica(recovered)
    assert read.vote == replica.vote
    assert read.log.base_index == replica.log.base_index
    assert read.log.tail(0) == replica.log.tail(0)
    assert read.snapshot == replica.snapshot


class DiskTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "data"
        self.disk = self.open()

    def open(self):
        disk = FolderDisk(str(self.folder))
        self.addCleanup(disk.close)
        return disk

    def recover(self):
        return self.open().recover()


class TestFailedWrites(DiskTest):
    """Guards against a folder that was closed for good by one refused write."""

    def test_a_failure_names_its_reason_and_the_size_of_the_folder(self):
        self.disk.write([WriteFile("state", bytes(1000))])
        size = sum(path.stat().st_size for path in self.folder.iterdir())
        with fail("pwrite"), self.assertRaises(DiskFailure) as caught:
            self.disk.write([AppendRecords("log-0", (b"a",))])
        assert str(FULL) in str(caught.exception)
        assert f"the folder holds {size} bytes" in str(caught.exception)

    def test_a_failure_of_a_folder_that_is_not_there_has_no_size(self):
        with fail("mkdir"), self.assertRaises(DiskFailure) as caught:
            self.disk.write([WriteFile("state", b"all")])
        assert "the size of the folder is unknown" in str(caught.exception)

    def test_a_file_and_new_records_are_written_after_a_failure(self):
        self.disk.write([AppendRecords("log-0", (b"a",))])
        with fail("fdatasync"), self.assertRaises(DiskFailure):
            self.disk.write([AppendRecords("log-0", (b"b",))])
        self.disk.write([WriteFile("state", b"all"), KeepRecords("log-1")])
        self.disk.write([AppendRecords("log-1", (b"c",))])
        recovered = self.recover()
        assert recovered.files == {"state": b"all"}
        assert recovered.records == {"log-1": (b"c",)}

    def test_records_are_refused_after_a_failed_sync_and_after_a_restart(self):
        self.disk.write([AppendRecords("log-0", (b"a",))])
        with fail("fdatasync"), self.assertRaises(DiskFailure):
            self.disk.write([AppendRecords("log-0", (b"b",))])
        other = self.open()
        other.recover()
        for disk in (self.disk, other):
            for operation in (
                AppendRecords("log-0", (b"c",)),
                TruncateRecords("log-0", 0),
            ):
                with self.assertRaisesRegex(DiskFailure, "log-0"):
                    disk.write([operation])

    def test_a_failed_replacement_leaves_no_temporary_file(self):
        self.disk.write([WriteFile("vote", b"old")])
        for name in ("pwrite", "fsync", "replace"):
            with fail(name), self.assertRaises(DiskFailure):
                self.disk.write([WriteFile("vote", b"new")])
            assert [path.name for path in self.folder.iterdir()] == ["vote.file"]
        assert self.recover().files == {"vote": b"old"}

    def test_failures_leave_no_descriptor_open(self):
        self.disk.write([WriteFile("vote", b"x")])
        before = len(os.listdir("/proc/self/fd"))
        for number in range(5):
            for name in ("pwrite", "fsync", "fdatasync"):
                with fail(name), self.assertRaises(DiskFailure):
                    self.disk.write([AppendRecords(f"log-{number}-{name}", (b"a",))])
        assert len(os.listdir("/proc/self/fd")) == before

    def test_a_write_without_free_descriptors_fails_for_that_time_only(self):
        with fail("open", NO_DESCRIPTORS), self.assertRaises(DiskFailure):
            self.disk.write([AppendRecords("log-0", (b"a",))])
        self.disk.write([WriteFile("state", b"x"), AppendRecords("log-1", (b"a",))])
        assert self.recover().records == {"log-1": (b"a",)}


class TestDamagedRecords(DiskTest):
    """Guards against records that a truncation reads back damaged (issue 43)."""

    def damage(self):
        """Change a byte of the first frame."""
        path = self.folder / "log-1.records"
        content = bytearray(path.read_bytes())
        content[len(encode_frame([])) + 1] ^= 0xFF
        path.write_bytes(content)

    def check(self):
        with self.assertRaises(DiskFailure):
            self.disk.write([TruncateRecords("log-1", 2)])
        self.disk.write([WriteFile("snapshot", b"all"), KeepRecords("log-2")])
        self.disk.write([AppendRecords("log-2", (b"e",))])
        recovered = self.recover()
        assert recovered.records == {"log-2": (b"e",)}
        assert recovered.files == {"snapshot": b"all"}

    def test_the_last_frame(self):
        self.disk.write([AppendRecords("log-1", (b"a", b"b", b"c"))])
        self.damage()
        self.check()

    def test_a_frame_before_an_intact_one(self):
        self.disk.write([AppendRecords("log-1", (b"a", b"b", b"c"))])
        self.disk.write([AppendRecords("log-1", (b"d",))])
        self.damage()
        self.check()


class TestRewrites(DiskTest):
    """Guards against attempts that take up the room that is missing."""

    def test_failed_attempts_leave_nothing_behind(self):
        self.disk.write([])
        replica = make_replica(Recovered(is_synced=False))
        replica.append([Entry(index, 1, float(index)) for index in range(1, 50)])
        now = 0.0
        for number in range(30):
            now = replica.storage.wakeup
            (write,) = replica.rewrite(now)
            name = ("pwrite", "fsync", "replace")[number % 3]
            # The vote is written first, and the snapshot after it.
            with fail_later(name, number % 2), self.assertRaises(DiskFailure):
                self.disk.write(write.operations)
            replica.storage.complete(write.token, False, now)
            assert set(os.listdir(self.folder)) <= {"vote.file"}
        (write,) = replica.rewrite(now + 1.0)
        self.disk.write(write.operations)
        replica.storage.complete(write.token, True, now + 1.0)
        assert sorted(os.listdir(self.folder)) == ["snapshot.file", "vote.file"]
        assert make_replica(self.recover()).log.last_index == 49


class Voter:
    """Replica that writes to a data folder, with every kind of operation."""

    def __init__(self, disk):
        self.disk = disk
        self.disk.write([])
        self.replica = make_replica(Recovered())
        self.now = 0.0

    def work(self):
        replica = self.replica
        self.vote()
        self.append()
        self.append()
        for dropped in (3, 1):
            replica.truncate(replica.log.last_index - dropped)
            self.flush()
        self.append()
        replica.install_snapshot(self.make_snapshot())
        self.append()

    def vote(self):
        self.replica.enter_term(self.replica.vote.term + 1, "v0")
        self.flush()

    def append(self):
        first = self.replica.log.last_index + 1
        entries = [Entry(first + n, 1, float(first + n)) for n in range(3)]
        self.replica.append(entries)
        self.flush()

    def make_snapshot(self):
        index = self.replica.log.last_index - 1
        content = SnapshotContent(index, 1, {"v0": ""}, b"", b"state")
        return msgspec.msgpack.encode(content)

    def flush(self):
        """Write what is due until a write fails."""
        storage = self.replica.storage
        while True:
            if storage.is_rewrite_due(self.now):
                effects = self.replica.rewrite(self.now)
            else:
                effects = storage.flush(self.now)
            if not effects:
                return
            (write,) = effects
            try:
                self.disk.write(write.operations)
            except DiskFailure:
                storage.complete(write.token, False, self.now)
                return
            storage.complete(write.token, True, self.now)

    def retry(self):
        self.now += MAX_RETRY_SECONDS
        self.flush()


class TestEveryStep(DiskTest):
    """Guards against a vote lost for good by a failure of any kind (issue 43)."""

    def setUp(self):
        super().setUp()
        # The syncs of a real disk would take most of the time of these tests.
        for name in ("fsync", "fdatasync"):
            patch = mock.patch.object(os, name, lambda descriptor: None)
            patch.start()
            self.addCleanup(patch.stop)

    def test_a_voter_votes_again_after_a_failure_at_any_step(self):
        for name in CALLS:
            for count in (1, 100):
                after = 0
                while self.fail_and_return(name, after, count):
                    after += 1
                assert after, f"{name} is not called"

    def fail_and_return(self, name, after, count):
        """Let calls fail, check the return, and return whether a call was reached."""
        self.folder = self.folder.with_name(f"{name}-{after}-{count}")
        voter = Voter(self.open())
        voter.work()
        error = ERRORS[after % len(ERRORS)]
        call = FailingCall(name, error, after=after, count=count)
        with self.subTest(name=name, after=after, count=count, error=str(error)):
            with mock.patch.object(os, name, call):
                voter.work()
            voter.retry()
            assert voter.replica.identity, "the disk may not vote again"
            voter.work()
            check_recovered(self.recover(), voter.replica)
            assert not [*self.folder.glob("*.temporary")]
        return call.failures


class TestReplacedFolder(DiskTest):
    """Guards against a voter that restarts without entries it acknowledged (issue 43).

    They went to files of a folder that was moved away, while its identity and its vote
    were written to another one in its place.
    """

    def setUp(self):
        super().setUp()
        self.voter = Voter(self.disk)
        self.voter.work()

    def move_away(self):
        return self.folder.rename(self.folder.with_name("away"))

    def check_no_vote(self):
        for _ in range(3):
            self.voter.retry()
            assert not self.voter.replica.identity, "what is written would be lost"

    def check_vote(self):
        self.voter.retry()
        assert self.voter.replica.identity, "the disk may not vote again"
        self.voter.work()
        check_recovered(self.recover(), self.voter.replica)

    def test_a_voter_has_no_vote_until_its_folder_is_back(self):
        away = self.move_away()
        self.voter.append()
        self.check_no_vote()
        assert not self.folder.exists()
        away.rename(self.folder)
        self.check_vote()

    def test_nothing_is_written_to_another_folder_in_its_place(self):
        away = self.move_away()
        self.folder.mkdir()
        self.voter.work()
        self.check_no_vote()
        assert os.listdir(self.folder) == []
        self.folder.rmdir()
        away.rename(self.folder)
        self.check_vote()

    def test_a_folder_that_was_deleted_and_made_again_is_another_disk(self):
        shutil.rmtree(self.folder)
        self.folder.mkdir()
        self.voter.vote()
        self.voter.append()
        recovered = self.recover()
        assert recovered == Recovered(), make_replica(recovered).vote
        self.check_no_vote()


class TestFullAtStart(DiskTest):
    """Guards against a process that ends again and again on a full disk."""

    def test_recovery_writes_nothing(self):
        self.disk.write([AppendRecords("log-0", (b"a",)), WriteFile("vote", b"x")])
        path = self.folder / "log-0.records"
        torn = path.read_bytes() + encode_frame([b"torn"])[:-1]
        path.write_bytes(torn)
        (self.folder / "vote.file.temporary").write_bytes(b"part")
        with mock.patch.multiple(
            os, **{name: mock.Mock(side_effect=FULL) for name in WRITES}
        ):
            recovered = self.recover()
        assert recovered.records == {"log-0": (b"a",)}
        assert recovered.files == {"vote": b"x"}
        assert not recovered.is_synced
        assert path.read_bytes() == torn

    def test_a_folder_that_could_not_be_created_is_created_by_a_later_write(self):
        with fail("mkdir"), self.assertRaises(DiskFailure):
            self.disk.write([WriteFile("vote", b"x")])
        assert self.recover() == Recovered(is_synced=True)
        self.disk.write([WriteFile("vote", b"x")])
        assert self.recover().files == {"vote": b"x"}

    def test_the_first_write_removes_temporaries(self):
        self.disk.write([WriteFile("vote", b"x")])
        left = self.folder / "snapshot.file.temporary"
        left.write_bytes(b"part of a snapshot")
        disk = self.open()
        disk.recover()
        assert left.exists()
        disk.write([WriteFile("vote", b"y")])
        assert not left.exists()


class TestNewFolders(DiskTest):
    """Guards against a data folder that is lost with the folder above it (issue 43)."""

    def test_the_entry_of_each_new_folder_is_synced(self):
        base, synced = self.folder.parent, []
        fsync = os.fsync

        def record(descriptor):
            synced.append(Path(os.readlink(f"/proc/self/fd/{descriptor}")))
            fsync(descriptor)

        disk = FolderDisk(str(base / "state" / "voter" / "data"))
        self.addCleanup(disk.close)
        with mock.patch.object(os, "fsync", record):
            disk.write([WriteFile("vote", b"x")])
        for path in (base, base / "state", base / "state" / "voter"):
            assert path.resolve() in synced, f"{path} is not synced"


class TestHangingWrites(DiskTest):
    """Guards against a process that waits for a disk that hangs (issue 43)."""

    def test_a_write_that_hangs_is_given_up_and_the_next_one_waits_for_it(self):
        begun, released = threading.Event(), threading.Event()
        pwrite = os.pwrite

        def hang(*arguments):
            begun.set()
            released.wait()
            return pwrite(*arguments)

        later = threading.Thread(
            target=self.disk.write, args=([WriteFile("vote", b"new")],)
        )
        with mock.patch.object(os, "pwrite", hang):
            with self.assertRaisesRegex(DiskFailure, "no outcome after 0.05 s"):
                write_within(self.disk, [WriteFile("vote", b"old")], 0.05)
            begun.wait()
            later.start()
            released.set()
            later.join()
        assert self.recover().files == {"vote": b"new"}

    def test_a_write_without_a_thread_fails(self):
        error = RuntimeError("can't start new thread")
        with (
            mock.patch.object(threading.Thread, "start", side_effect=error),
            self.assertRaisesRegex(DiskFailure, "new thread"),
        ):
            write_within(self.disk, [WriteFile("vote", b"x")], 10.0)

    def test_a_failure_of_a_write_is_raised_as_it_is(self):
        with fail("pwrite"), self.assertRaisesRegex(DiskFailure, "No space left"):
            write_within(self.disk, [WriteFile("vote", b"x")], 10.0)
        write_within(self.disk, [WriteFile("vote", b"x")], 10.0)
        assert self.recover().files == {"vote": b"x"}


class TestFormerData(DiskTest):
    """Guards against data of the version before that can't be read."""

    def make_entries(self, *indexes):
        return [
            msgspec.msgpack.encode(Entry(index, 1, float(index), commit=index - 1))
            for index in indexes
        ]

    def test_a_log_beside_its_snapshot_is_recovered(self):
        stored = {"log_file": 1, "base_index": 4, "base_term": 1, "content": b""}
        entries = self.make_entries(5, 6, 7)
        self.disk.write(
            [
                WriteFile("snapshot", msgspec.msgpack.encode(stored)),
                AppendRecords("log-0", ()),
                AppendRecords("log-1", tuple(entries)),
            ]
        )
        replica = make_replica(self.recover())
        assert (replica.log.base_index, replica.log.last_index) == (4, 7)
        assert replica.commit == 6
        assert not replica.identity
        (write,) = replica.rewrite(0.0)
        self.open().write(write.operations)
        again = make_replica(self.recover())
        assert (again.log.base_index, again.log.last_index) == (4, 7)
        assert "log-1" not in self.recover().records


if __name__ == "__main__":
    unittest.main()
