"""Tests that a departing instance is waited for after a change of leader.

It goes on for some seconds if its deregistration is not acknowledged, under the lease
that the leader before granted.
"""

import unittest
from unittest.mock import patch

from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.instance_actions import OrderReport, RenewLease, StopRun
from tests._fleet_work_checks import find_duplicate_runs
from tests.test_departing_instances import DepartingInstance, make_world


class UnhealthyInstance:
    """Lets instance 0 refuse stops and renewals as busy, with all runs going on."""

    def __init__(self, world):
        self._call = world.model.call

    def __call__(self, effect, now):
        action = effect.action
        is_refused = isinstance(action, RenewLease | StopRun)
        if not is_refused or action.instance != "i-0":
            return self._call(effect, now)
        outcome = PlatformOutcome(effect.token, succeeded=False)
        if isinstance(action, StopRun):
            report = OrderReport(refused="busy")
            outcome = PlatformOutcome(effect.token, succeeded=True, report=report)
        return 0.002, lambda at: outcome


class TestDeparturesAfterTakeover(unittest.TestCase):
    def setUp(self):
        self.world = make_world()

    def change_leader(self):
        former = self.world.find_leader()
        self.world.kill(former)
        assert self.world.run_until(
            lambda: self.world.find_leader() not in ("", former), within=5.0
        )

    def check_repeated_once(self):
        self.world.run(12.0)
        assert len(self.world.model.history) == 2
        assert find_duplicate_runs(self.world.model.history) == []

    # Guards against TWICE: the next leader had granted no lease, and took that of the
    # leader before as expired as the stop was refused.
    def test_a_refused_stop_ends_no_run_within_the_lease_of_the_leader_before(self):
        with patch.object(self.world.model, "call", UnhealthyInstance(self.world)):
            self.change_leader()
            leader = self.world.get_leader()
            assert self.world.run_until(lambda: leader.dispatcher.term, within=1.0)
            DepartingInstance(self.world, 0, lost_answers=10)
            self.check_repeated_once()

    # Guards against TWICE: the leader was lost, whose stop had been refused, after it
    # had answered. The next leader waited 2 s, though it heard of further
    # deregistrations.
    def test_a_departed_instance_is_waited_for_while_it_deregisters_again(self):
        with patch.object(self.world.model, "call", UnhealthyInstance(self.world)):
            departing = DepartingInstance(self.world, 0, lost_answers=10)
            assert self.world.run_until(lambda: departing.lost_answers < 10, within=1.0)
            self.change_leader()
            self.check_repeated_once()


if __name__ == "__main__":
    unittest.main()
