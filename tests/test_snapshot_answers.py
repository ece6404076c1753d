"""Tests of what a leader concludes from answers to the chunks of a snapshot."""

import unittest
from unittest import mock

from tests._agreement import Cluster

ENTRIES = 40
TEXT = "x" * 500
CHUNK_BYTES = 16
LAPSE_SECONDS = 1.5
"""Longer than a lease."""


class TestSnapshotAnswers(unittest.TestCase):
    """Guards against answers of a new disk that count for the lost one (issue 43)."""

    def setUp(self):
        sizes = {
            "replica.SNAPSHOT_ENTRIES": 8,
            "replica.KEPT_ENTRIES": 2,
            "leadership.SNAPSHOT_CHUNK_BYTES": CHUNK_BYTES,
        }
        for name, size in sizes.items():
            self.enterContext(mock.patch(f"gypsumwalk.{name}", size))

    def begin_snapshot(self):
        """Let a voter that was cut off receive a snapshot; return all three."""
        self.cluster = cluster = Cluster(2, voters=3)
        leader = cluster.elect()
        cluster.run(2)
        name, other = [name for name in cluster.voters if name != leader]
        cluster.partition([name])
        for number in range(ENTRIES):
            cluster.propose(leader, f"{TEXT} {number}")
            cluster.run(0.05)
        cluster.heal()
        self.progress = self.find_progress(leader, name)
        assert cluster.run_until(lambda: self.progress.snapshot_offset, within=3.0)
        assert cluster.find_leader() == leader
        return leader, name, other

    def find_progress(self, leader, name):
        return self.cluster.daemons[leader].node.consensus._leadership._progress[name]

    def is_sending(self):
        return self.progress.snapshot_index != 0

    def test_a_new_disk_extends_no_lease(self):
        leader, name, other = self.begin_snapshot()
        self.cluster.lose_disk(name)
        self.cluster.restart(name)
        self.cluster.partition([other])
        self.cluster.run(LAPSE_SECONDS)
        assert self.is_sending()
        assert self.cluster.find_leader() == ""

    def test_the_disk_that_votes_extends_the_lease(self):
        leader, name, other = self.begin_snapshot()
        self.cluster.partition([other])
        self.cluster.run(LAPSE_SECONDS)
        assert self.is_sending()
        assert self.cluster.find_leader() == leader


if __name__ == "__main__":
    unittest.main()
