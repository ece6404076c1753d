"""Tests of the replicated log on a seeded fake network."""

import unittest

from gypsumwalk.inputs import ProposalStatus
from tests._network import MemoryDisk, Network


def read_items(network):
    return [daemon.section.items for daemon in network.daemons.values()]


class TestConsensus(unittest.TestCase):
    def test_command_reaches_every_daemon_with_and_without_disk(self):
        network = Network(1, voters=5, learners=4)
        network.run(4)
        assert network.find_leader()
        for number in range(20):
            network.propose("f0", f"a{number}")
        network.run(1)
        expected = [f"a{number}" for number in range(20)]
        first, *others = read_items(network)
        assert sorted(first) == sorted(expected)
        for items in others:
            assert items == first
        outcomes = network.daemons["f0"].client.outcomes
        assert len(outcomes) == 20
        for outcome in outcomes.values():
            assert outcome.status is ProposalStatus.COMMITTED

    def test_acknowledged_commands_survive_the_leader_and_all_restarts(self):
        network = Network(2)
        network.run(4)
        network.propose("v0", "first")
        network.run(1)
        leader = network.find_leader()
        network.crash(leader)
        network.run(4)
        other = network.find_leader()
        assert other and other != leader
        network.propose(other, "second")
        network.run(1)
        for name in network.voters:
            network.crash(name)
            network.start(name)
        network.run(5)
        for items in read_items(network):
            assert items == ["first", "second"]

    def test_minority_commits_nothing_and_its_leader_steps_down(self):
        network = Network(3)
        network.run(4)
        leader = network.find_leader()
        network.part([leader])
        network.propose(leader, "lost", timeout=2.0)
        network.run(4)
        outcome = network.daemons[leader].client.outcomes["lost"]
        assert outcome.status is ProposalStatus.UNKNOWN
        assert not network.daemons[leader].consensus.holds_lease(network.now)
        assert network.find_leader() != leader
        network.heal()
        network.run(3)
        assert len({tuple(items) for items in read_items(network)}) == 1

    def test_voter_with_a_lost_disk_does_not_vote(self):
        network = Network(4, voters=3)
        network.run(4)
        network.propose("v0", "kept")
        network.run(1)
        network.crash("v1")
        network.disks["v1"] = MemoryDisk()
        network.start("v1")
        network.run(3)
        assert not network.daemons["v1"].consensus._admission.may_vote()
        others = [name for name in network.voters if name != "v1"]
        network.crash(others[0])
        network.run(6)
        assert network.find_leader() == ""

    def test_leader_with_a_full_disk_steps_down_and_acknowledges_nothing(self):
        network = Network(5)
        network.run(4)
        leader = network.find_leader()
        network.disks[leader].full = True
        network.propose(leader, "full", timeout=3.0)
        network.run(6)
        assert network.find_leader() not in ("", leader)
        assert not network.daemons[leader].consensus._admission.may_vote()


if __name__ == "__main__":
    unittest.main()
