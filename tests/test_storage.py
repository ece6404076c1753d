"""Tests that the writes of one daemon share syncs."""

import unittest

from gypsumwalk.effects import AppendRecords, TruncateRecords, WriteFile
from gypsumwalk.inputs import ProposalStatus
from gypsumwalk.storage import Storage
from tests._agreement import Cluster

SYNC_SECONDS = 0.006
LOAD_SECONDS = 4.0
ENTRY_INTERVAL_SECONDS = 0.002
"""Interval of the entries under load; three of them take less than one sync."""

COMMIT_SECONDS = 0.5


def append(*records, file="log"):
    return AppendRecords(file, records)


class TestGroupCommit(unittest.TestCase):
    def stage(self, *operations):
        """Return the operations of the write that follows on these."""
        storage = Storage(enabled=True, durable=0)
        storage.stage(*operations)
        (write,) = storage.flush(0.0)
        return write.operations

    def test_appends_to_one_file_are_one_operation(self):
        operations = self.stage(append(b"a"), append(b"b", b"c"), append(b"d"))
        assert operations == (append(b"a", b"b", b"c", b"d"),)

    def test_operations_keep_their_order(self):
        truncate, vote = TruncateRecords("log", 1), WriteFile("vote", b"x")
        operations = self.stage(
            append(b"a"), append(b"b"), vote, append(b"c"), truncate, append(b"d")
        )
        assert operations == (
            append(b"a", b"b"),
            vote,
            append(b"c"),
            truncate,
            append(b"d"),
        )

    def test_appends_to_different_files_stay_apart(self):
        other = append(b"b", file="other")
        operations = self.stage(append(b"a"), other, append(b"c"))
        assert operations == (append(b"a"), other, append(b"c"))


class TestLeaderUnderLoad(unittest.TestCase):
    # The leader synced each entry by itself, and its disk fell behind by seconds, which
    # showed only once the other voters made no majority without it.
    def test_commits_go_on_when_two_of_five_voters_are_cut_off(self):
        cluster = Cluster(1, voters=5)
        leader = cluster.elect()
        cluster.run(2)
        for daemon in cluster.daemons.values():
            daemon.disk.write_seconds = SYNC_SECONDS
        for number in range(int(LOAD_SECONDS / ENTRY_INTERVAL_SECONDS)):
            cluster.propose(leader, f"load {number}")
            cluster.run(ENTRY_INTERVAL_SECONDS)
        others = [name for name in cluster.voters if name != leader]
        cluster.partition(others[:2])
        cluster.propose(leader, "after")
        cluster.run(COMMIT_SECONDS)
        outcome = cluster.get_outcome(leader, "after")
        assert outcome is not None, "the entry is not committed yet"
        assert outcome.status is ProposalStatus.COMMITTED
        assert cluster.find_leader() == leader


if __name__ == "__main__":
    unittest.main()
