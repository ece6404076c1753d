"""Tests of the replicated log in a world of fakes."""

import unittest

from gypsumwalk.events import Event
from gypsumwalk.inputs import ProposalStatus
from tests._agreement import Cluster


class TestConsensus(unittest.TestCase):
    def test_command_reaches_every_daemon_with_and_without_disk(self):
        cluster = Cluster(1, voters=5, followers=4)
        cluster.elect()
        cluster.run(3)
        expected = [f"a{number}" for number in range(20)]
        for text in expected:
            cluster.propose("f0", text)
        cluster.run(1)
        first, *others = cluster.lists().values()
        assert sorted(first) == sorted(expected)
        assert all(items == first for items in others)
        for text in expected:
            outcome = cluster.outcome("f0", text)
            assert outcome.status is ProposalStatus.COMMITTED

    def test_acknowledged_commands_survive_the_leader_and_all_restarts(self):
        cluster = Cluster(2)
        leader = cluster.elect()
        cluster.propose("v0", "first")
        cluster.run(1)
        cluster.kill(leader)
        other = cluster.elect()
        assert other != leader
        cluster.propose(other, "second")
        cluster.run(1)
        for name in cluster.voters:
            cluster.restart(name)
        cluster.elect()
        cluster.run(2)
        assert list(cluster.lists().values()) == [["first", "second"]] * 5

    def test_minority_commits_nothing_and_its_leader_steps_down(self):
        cluster = Cluster(3)
        leader = cluster.elect()
        cluster.part([leader])
        cluster.propose(leader, "lost", timeout=2.0)
        cluster.run(4)
        assert cluster.outcome(leader, "lost").status is ProposalStatus.UNKNOWN
        assert cluster.find_leader() not in ("", leader)
        cluster.heal()
        cluster.run(3)
        assert len({tuple(items) for items in cluster.lists().values()}) == 1

    def test_voter_with_a_lost_disk_does_not_vote(self):
        cluster = Cluster(4, voters=3)
        cluster.elect()
        cluster.propose("v0", "kept")
        cluster.run(1)
        cluster.lose_disk("v1")
        cluster.restart("v1")
        cluster.run(3)
        assert cluster.events(Event.VOTER_REFUSED)
        cluster.kill("v0")
        cluster.run(8)
        assert cluster.find_leader() == ""

    def test_leader_with_a_full_disk_steps_down_and_acknowledges_nothing(self):
        cluster = Cluster(5)
        leader = cluster.elect()
        cluster.fill_disk(leader)
        cluster.propose(leader, "full", timeout=3.0)
        cluster.run(6)
        assert cluster.find_leader() not in ("", leader)
        assert not cluster.daemons[leader].node.consensus.replica.identity


if __name__ == "__main__":
    unittest.main()
