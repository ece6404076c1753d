"""Tests of lives that are removed and registered again between two ticks."""

import unittest

from gypsumwalk.workload_records import RegisterInstance, RemoveInstance
from tests._stepped_leader import SteppedLeader
from tests.test_renewal_schedule import list_renewals


def register_again(leader, number):
    """Remove a life and register it again before the next tick."""
    registered = leader.instances[f"i-{number}"].registered
    leader.commit(RemoveInstance(registered.life, left=False))
    leader.commit(RegisterInstance(registered))


class TestLivesRegisteredAgain(unittest.TestCase):
    # Guards against an instance that is never called again in a term, and so gets no
    # task: the schedule took the new view for the one that it knew.
    def test_a_life_that_refused_the_fence_is_called_again(self):
        leader = SteppedLeader(3)
        leader.run(2.0)
        view = leader.get_view(1)
        view.is_fenced_off = True
        view.silent_since = leader.now
        leader.run(3.0)
        assert list_renewals(leader, 1, leader.now - 1.0) == []
        register_again(leader, 1)
        began = leader.now
        leader.run(2.0)
        assert list_renewals(leader, 1, began)
        assert leader.get_view(1).is_responsive

    def test_a_life_that_is_silent_is_called_again(self):
        leader = SteppedLeader(3)
        leader.run(2.0)
        leader.instances["i-1"].is_silent = True
        leader.run(3.0)
        leader.instances["i-1"].is_silent = False
        register_again(leader, 1)
        leader.run(2.0)
        assert leader.get_view(1).is_responsive


if __name__ == "__main__":
    unittest.main()
