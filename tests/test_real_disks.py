"""Tests that daemon processes whose disks refuse writes for a time vote again.

A limit on the size of the files that a process may write stands in for a full disk:
each write of the process fails while it is zero.
"""

import tempfile
import unittest

from tests._real_cluster import RETURN_SECONDS, RealCluster


class TestRealDisks(unittest.TestCase):
    """Guards against a vote lost for good with one refused write (issue 40)."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = RealCluster(folder.name, voters=3, followers=1)
        self.addCleanup(self.cluster.close)
        self.accepted = {}

    def apply(self):
        """Have a configuration accepted through the daemon without a disk.

        It refuses while it has no contact to a leader; the same is accepted once only.
        """
        generation = len(self.accepted)
        file = f"{generation:03}.toml"
        text = f"[teams.t{generation}]\nlimit = 1\n"
        is_accepted = self.cluster.poll(
            lambda: self.is_accepted(generation, {file: text}), RETURN_SECONDS
        )
        assert is_accepted, f"generation {generation} is not accepted"
        self.accepted[file] = text

    def is_accepted(self, generation, files):
        answer = self.cluster.apply("f0", generation, files)
        return answer and answer[0] == 200

    def test_disks_are_full_in_turn(self):
        leader = self.cluster.await_leader()
        self.apply()
        others = [name for name in self.cluster.voters if name != leader]
        for name in (others[0], leader):
            self.cluster.fill(name)
            self.apply()
            self.cluster.await_gauge(name, 0.0)
            self.apply()
            self.cluster.empty(name)
            self.cluster.await_gauge(name, 1.0)
        # Both voters whose disks were full are needed now.
        self.cluster.kill(others[1])
        self.cluster.await_leader()
        self.apply()
        self.restart(*self.cluster.voters)
        self.check_configuration()

    def test_a_voter_is_killed_and_starts_while_its_disk_is_full(self):
        leader = self.cluster.await_leader()
        self.apply()
        name, other = [name for name in self.cluster.voters if name != leader]
        self.cluster.fill(name)
        self.apply()
        self.cluster.await_gauge(name, 0.0)
        self.cluster.kill(name)
        self.cluster.start(name)
        self.cluster.fill(
            name
        )  # Before the process has imported what it needs to write.
        self.cluster.await_gauge(name, 0.0)
        self.apply()
        self.cluster.empty(name)
        self.cluster.await_gauge(name, 1.0)
        self.cluster.kill(other)
        self.apply()
        self.restart(other)
        self.check_configuration()

    def restart(self, *names):
        for name in names:
            self.cluster.kill(name)
            self.cluster.start(name)

    def check_configuration(self):
        self.cluster.await_leader()
        self.apply()
        for name in self.cluster.names:
            self.cluster.await_files(name, self.accepted)


if __name__ == "__main__":
    unittest.main()
