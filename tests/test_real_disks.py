"""Tests that daemon processes whose disks refuse writes for a time vote again.

A limit on the size of the files that a process may write stands in for a full disk:
each write of the process fails while it is zero.
"""

import os
import tempfile
import time
import unittest
from unittest.mock import patch

from gypsumwalk.drivers.disk import FolderDisk
from gypsumwalk.incarnations import RANDOM_BITS, encode_incarnation
from tests._faulty_cluster import FaultyCluster
from tests._real_cluster import RETURN_SECONDS, STOP_SECONDS, RealCluster

HOUR_MILLISECONDS = 3_600_000

FIRST_DESCRIPTOR = 3
"""Number of the first descriptor after the standard streams."""

FILES = {"000.toml": "[teams.t0]\nlimit = 1\n"}


class RealDisksTest(unittest.TestCase):
    """Three voters and a daemon without a disk, through which changes are made."""

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

    def restart(self, *names):
        for name in names:
            self.cluster.kill(name)
            self.cluster.start(name)

    def check_configuration(self):
        self.cluster.await_leader()
        self.apply()
        for name in self.cluster.names:
            self.cluster.await_files(name, self.accepted)


class TestRealDisks(RealDisksTest):
    """Guards against a vote lost for good with one refused write (issue 40)."""

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
        # Before the process has imported what it needs to write.
        self.cluster.fill(name)
        self.cluster.await_gauge(name, 0.0)
        self.apply()
        self.cluster.empty(name)
        self.cluster.await_gauge(name, 1.0)
        self.cluster.kill(other)
        self.apply()
        self.restart(other)
        self.check_configuration()


class TestRefusedWritesInTurn(RealDisksTest):
    """Guards against a quorum lost for good with two refused writes (issue 43)."""

    def refuse_writes_of_leader(self):
        """Let the leader's disk refuse writes until another daemon leads.

        Return the former leader, a follower and the leader.
        """
        first = self.cluster.await_leader()
        self.apply()
        self.cluster.fill(first)
        self.apply()
        leader = self.cluster.await_leader(other_than=first)
        self.cluster.empty(first)
        (follower,) = set(self.cluster.voters) - {first, leader}
        return first, follower, leader

    def check_return(self, name):
        self.cluster.await_gauge(name, 0.0)
        self.cluster.empty(name)
        self.cluster.await_gauge(name, 1.0)
        self.check_configuration()

    def test_the_first_leader_and_then_a_follower_refuse_writes(self):
        _, second, _ = self.refuse_writes_of_leader()
        self.cluster.fill(second)
        self.apply()
        self.check_return(second)

    def test_the_first_leader_and_then_the_second_refuse_writes(self):
        _, _, second = self.refuse_writes_of_leader()
        self.cluster.fill(second)
        self.apply()
        self.check_return(second)

    def test_the_third_voter_is_paused_as_the_second_refuses_writes(self):
        _, second, third = self.refuse_writes_of_leader()
        self.cluster.fill(second)
        self.cluster.pause(third)
        assert self.cluster.poll(
            lambda: not self.cluster.find_leader(), RETURN_SECONDS
        ), "a leader without a quorum"
        self.cluster.resume(third)
        self.apply()
        self.check_return(second)


class TestMovedFolder(RealDisksTest):
    """Guards against entries acknowledged though their folder is gone (issue 43)."""

    def test_a_voter_votes_again_once_its_folder_is_back(self):
        leader = self.cluster.await_leader()
        self.apply()
        name, other = [name for name in self.cluster.voters if name != leader]
        folder = self.cluster.data_folder(name)
        away = folder.rename(folder.with_name("away"))
        self.apply()
        self.cluster.await_gauge(name, 0.0)
        self.apply()
        assert not folder.exists()
        away.rename(folder)
        self.cluster.await_gauge(name, 1.0)
        self.cluster.kill(other)
        self.apply()
        self.restart(name, other)
        self.check_configuration()


class TestUsedUpDescriptors(RealDisksTest):
    """Guards against a daemon that ends with its first failed write (issue 43)."""

    def test_a_voter_without_free_descriptors_votes_again(self):
        """It stores its vote in a new file, once the leader is gone."""
        leader = self.cluster.await_leader()
        self.apply()
        name = next(item for item in self.cluster.voters if item != leader)
        most = self.cluster.limit_descriptors(name, FIRST_DESCRIPTOR)
        self.cluster.pause(leader)
        self.await_event(name, "DISK_FAILED")
        self.cluster.limit_descriptors(name, most)
        self.await_event(name, "DISK_RETURNED")
        self.cluster.await_leader(other_than=leader)
        self.apply()
        self.cluster.resume(leader)
        self.check_configuration()

    def await_event(self, name, event):
        log = self.cluster.folder / f"{name}.log"
        process = self.cluster.processes[name]
        assert self.cluster.poll(
            lambda: event in log.read_text() or process.poll() is not None,
            RETURN_SECONDS,
        ), f"{name} does not report: {event}"
        assert process.poll() is None, f"{name} ended:\n{log.read_text()[-1000:]}"


class TestUnstoredIncarnation(RealDisksTest):
    """Guards against a daemon that nobody hears until its disk has room (issue 43)."""

    def test_a_voter_is_heard_above_an_incarnation_that_was_not_stored(self):
        leader = self.cluster.await_leader()
        self.apply()
        name, other = [name for name in self.cluster.voters if name != leader]
        self.cluster.kill(name)
        stored = self.read_incarnation(name)
        # A process an hour ahead, whose incarnation the disk does not keep.
        ahead = stored + (HOUR_MILLISECONDS << RANDOM_BITS)
        self.store_incarnation(name, ahead)
        self.cluster.start(name)
        self.apply()
        self.cluster.await_files(name, self.accepted)
        self.cluster.kill(name)
        assert self.read_incarnation(name) > ahead
        self.store_incarnation(name, stored)
        self.cluster.start(name)
        process = self.cluster.processes[name]
        # Before the process has imported what it needs to write.
        self.cluster.fill(name)
        self.cluster.await_gauge(name, 0.0)
        self.apply()
        self.cluster.await_files(name, self.accepted)
        assert self.read_incarnation(name) == stored
        self.cluster.empty(name)
        self.cluster.await_gauge(name, 1.0)
        assert self.read_incarnation(name) > ahead
        assert process.poll() is None
        self.cluster.kill(other)
        self.apply()

    def test_a_daemon_without_a_disk_is_heard_after_its_clock_was_set_back(self):
        self.cluster.await_leader()
        self.apply()
        self.cluster.kill("f0")
        ahead = int(time.time() * 1000) + HOUR_MILLISECONDS << RANDOM_BITS
        with patch.dict(os.environ, GYPSUMWALK_KNOWN_INCARNATION=str(ahead)):
            self.cluster.start("f0")
        self.apply()
        self.cluster.kill("f0")
        self.cluster.start("f0")
        process = self.cluster.processes["f0"]
        self.apply()
        self.cluster.await_files("v0", self.accepted)
        assert "INCARNATION_OUTDATED" in (self.cluster.folder / "f0.log").read_text()
        process.terminate()
        assert process.wait(STOP_SECONDS) == 0

    def read_incarnation(self, name):
        disk = FolderDisk(str(self.cluster.data_folder(name)))
        return int(disk.recover().files["incarnation"])

    def store_incarnation(self, name, incarnation):
        disk = FolderDisk(str(self.cluster.data_folder(name)))
        self.addCleanup(disk.close)
        disk.write([encode_incarnation(incarnation)])


class TestStalledStart(unittest.TestCase):
    """Guards against a process that waits for a disk that hangs (issue 43)."""

    def test_a_voter_that_starts_while_its_disk_hangs_follows_until_it_votes(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        cluster = FaultyCluster(folder.name, voters=3)
        self.addCleanup(cluster.close)
        leader = cluster.await_leader()
        name, other = [name for name in cluster.voters if name != leader]
        cluster.kill(name)
        cluster.set_faults(name, is_stalled=True)
        cluster.start(name)
        assert cluster.poll(
            lambda: cluster.find_leader([name, leader]) == leader, RETURN_SECONDS
        ), f"{name} does not follow: {cluster.describe()}"
        cluster.end_faults(name)
        cluster.kill(other)
        assert cluster.poll(
            lambda: (answer := cluster.apply(leader, 0, FILES)) and answer[0] == 200,
            RETURN_SECONDS,
        ), f"{name} does not vote"


if __name__ == "__main__":
    unittest.main()
