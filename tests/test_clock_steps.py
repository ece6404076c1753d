"""Tests of daemons that start again after their clock was set back."""

import unittest

from gypsumwalk.events import Event
from gypsumwalk.keys import FRESH_SECONDS
from tests._agreement import Cluster
from tests._clock_world import RESTART_SECONDS, ClockWorld
from tests._fleet_work import make_declaration

STEP_SECONDS = 60.0
CATCH_UP_SECONDS = 3.0
REPLACEMENT_SECONDS = 12.0
ELECTION_SECONDS = 10.0
MAX_LEADERS = 20


class TestFreshness(unittest.TestCase):
    """Guards against a view that counts as fresh while cut off (issue 43)."""

    def begin(self):
        self.cluster = Cluster(1, voters=3, followers=1)
        self.cluster.elect()
        self.cluster.run(CATCH_UP_SECONDS)
        leader = self.cluster.find_leader()
        return next(name for name in self.cluster.voters if name != leader)

    def restart_with_earlier_clock(self, name):
        self.cluster.daemons[name].clock_offset -= STEP_SECONDS
        self.cluster.restart(name)
        self.cluster.run(CATCH_UP_SECONDS)

    def check(self, name):
        keys = self.cluster.get_nodes()[name].keys
        assert keys.is_fresh(self.cluster.read_local_clock(name))
        self.cluster.partition([name])
        self.cluster.run(FRESH_SECONDS + 1.0)
        assert not keys.is_fresh(self.cluster.read_local_clock(name))

    def test_a_voter_is_not_fresh_for_longer_than_before(self):
        name = self.begin()
        self.restart_with_earlier_clock(name)
        self.check(name)

    def test_a_learner_is_not_fresh_for_longer_than_before(self):
        self.begin()
        self.restart_with_earlier_clock("f0")
        self.check("f0")

    def test_without_a_step_of_the_clock(self):
        name = self.begin()
        self.cluster.restart(name)
        self.cluster.run(CATCH_UP_SECONDS)
        self.check(name)


class TestIncarnation(unittest.TestCase):
    """Guards against a daemon that nobody hears until its next start (issue 43)."""

    def begin(self, seed=1):
        self.world = ClockWorld(seed)
        self.world.begin()
        self.world.run(CATCH_UP_SECONDS)

    def lose_disk_and_set_clock_back(self, name):
        self.world.lose_disk(name)
        self.world.daemons[name].clock_offset -= STEP_SECONDS
        self.world.run(RESTART_SECONDS)
        self.world.restart(name)

    def may_vote(self, name):
        consensus = self.world.assemblies[name].consensus
        identity = consensus.replica.identity
        return bool(identity) and consensus.replica.voters.get(name) == identity

    def make_leader(self, name):
        """Restart every other leader until a daemon leads."""
        for _ in range(MAX_LEADERS):
            assert self.world.run_until(self.world.find_leader, within=ELECTION_SECONDS)
            leader = self.world.find_leader()
            if leader == name:
                return
            self.world.kill(leader)
            self.world.run(RESTART_SECONDS)
            self.world.restart(leader)
        raise AssertionError(f"{name} does not lead")

    def count_restarts(self):
        events = [getattr(entry.effect, "event", None) for entry in self.world.trace]
        return events.count(Event.INCARNATION_OUTDATED)

    def test_a_voter_with_a_new_disk_votes_again(self):
        self.begin()
        leader = self.world.find_leader()
        name = next(name for name in self.world.names if name != leader)
        self.lose_disk_and_set_clock_back(name)
        assert self.world.run_until(
            lambda: self.may_vote(name), within=REPLACEMENT_SECONDS
        )
        assert self.count_restarts() == 1

    def test_a_leader_with_a_new_disk_votes_again(self):
        self.begin(seed=2)
        name = self.world.find_leader()
        self.lose_disk_and_set_clock_back(name)
        assert self.world.run_until(
            lambda: self.may_vote(name), within=REPLACEMENT_SECONDS
        )
        assert self.world.declare(make_declaration(2)).status == 200

    def test_commands_of_a_leader_are_committed_after_a_restart_of_all(self):
        # The other daemons have forgotten the higher incarnation, the log has not.
        self.begin(seed=3)
        name = self.world.find_leader()
        self.world.run(CATCH_UP_SECONDS)
        self.lose_disk_and_set_clock_back(name)
        for other in self.world.names:
            self.world.restart(other)
        assert self.world.run_until(
            lambda: self.may_vote(name), within=REPLACEMENT_SECONDS
        )
        self.make_leader(name)
        assert self.world.declare(make_declaration(2)).status == 200

    def test_messages_of_an_earlier_process_start_nothing_again(self):
        self.begin(seed=4)
        for name in self.world.names:
            self.world.restart(name)
            self.world.run(CATCH_UP_SECONDS)
        assert self.count_restarts() == 0


if __name__ == "__main__":
    unittest.main()
