"""Tests that daemon processes lose no acknowledged change when they are killed."""

import tempfile
import unittest

from tests._real_cluster import RealCluster


class TestRealAgreement(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = RealCluster(folder.name, voters=3, followers=1)
        self.addCleanup(self.cluster.close)
        self.accepted = {}

    def apply(self, name):
        generation = len(self.accepted)
        file = f"{generation:03}.toml"
        text = f"[teams.t{generation}]\nlimit = 1\n"
        status, body = self.cluster.apply(name, generation, {file: text})
        assert status == 200, body
        self.accepted[file] = text
        return body["report"]

    def test_nothing_accepted_is_lost_when_the_leader_is_killed_twice(self):
        leader = self.cluster.await_leader()
        for _ in range(3):
            self.apply(leader)
        for _ in range(2):
            self.cluster.kill(leader)
            dead, leader = leader, self.cluster.await_leader(other_than=leader)
            report = self.apply(leader)
            assert dead in report["unreachable"]
            self.cluster.start(dead)
        self.apply(leader)
        self.cluster.await_leader()
        for name in self.cluster.names:
            self.cluster.await_files(name, self.accepted)


if __name__ == "__main__":
    unittest.main()
