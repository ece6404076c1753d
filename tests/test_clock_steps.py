"""Tests of daemons that start again after their clock was set back."""

import unittest

from gypsumwalk.keys import FRESH_SECONDS
from tests._agreement import Cluster

STEP_SECONDS = 60.0
CATCH_UP_SECONDS = 3.0


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


if __name__ == "__main__":
    unittest.main()
