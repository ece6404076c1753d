"""Tests of daemons that ended, and of how long the others know them."""

import unittest

from gypsumwalk.membership import ENDED_RETENTION_SECONDS, EXCHANGE_INTERVAL_SECONDS
from tests._agreement import Cluster

PARTITION_SECONDS = 150.0
FORGET_SECONDS = ENDED_RETENTION_SECONDS + PARTITION_SECONDS + 60.0
REJOIN_SECONDS = 40.0


class TestEndedMembers(unittest.TestCase):
    def begin(self):
        self.cluster = Cluster(1, voters=3, followers=2)
        self.cluster.elect()
        self.cluster.run(EXCHANGE_INTERVAL_SECONDS)

    def end_during_partition(self, name):
        """End a daemon while another one is cut off and hears of it later."""
        self.cluster.partition(["v2"])
        self.cluster.kill(name)
        self.cluster.run(PARTITION_SECONDS)
        self.cluster.heal()

    def list_knowing(self, name, *, alive=False):
        """Return the daemons that know another one, only as alive if stated."""
        return [
            other
            for other, node in self.cluster.get_nodes().items()
            if (member := node.membership.find(name)) is not None
            and (member.alive or not alive)
        ]

    def test_all_forget_it_although_they_heard_of_its_end_at_different_times(self):
        # Guards against ended daemons that stay in all lists for good (issue 43).
        self.begin()
        self.end_during_partition("f0")
        self.cluster.run(FORGET_SECONDS)
        assert self.list_knowing("f0") == []
        self.cluster.run(ENDED_RETENTION_SECONDS)
        assert self.list_knowing("f0") == []

    def test_a_daemon_that_is_cut_off_for_longer_is_known_again(self):
        self.begin()
        self.cluster.partition(["f0"])
        self.cluster.run(FORGET_SECONDS)
        assert self.list_knowing("f0") == ["f0"]
        self.cluster.heal()
        self.cluster.run(REJOIN_SECONDS)
        assert len(self.list_knowing("f0", alive=True)) == 5

    def test_a_daemon_that_starts_again_later_is_known_again(self):
        self.begin()
        self.end_during_partition("f0")
        self.cluster.run(FORGET_SECONDS)
        self.cluster.restart("f0")
        self.cluster.run(REJOIN_SECONDS)
        assert len(self.list_knowing("f0", alive=True)) == 5


if __name__ == "__main__":
    unittest.main()
