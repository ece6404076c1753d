"""Tests that a tick of the leader visits the instances that are due, and no others."""

import unittest
from itertools import pairwise
from unittest.mock import patch

import msgspec

from gypsumwalk.events import Event
from gypsumwalk.instance_actions import RenewLease, StopRun
from gypsumwalk.leases import LeaseTable
from gypsumwalk.pace_controller import PaceController
from gypsumwalk.renewals import Renewals
from gypsumwalk.workload_records import RegisterInstance, RemoveInstance
from tests._scheduling import CountingDict
from tests._stepped_leader import SteppedInstance, SteppedLeader

INSTANCES = 300
TICKS_PER_SECOND = 20


def count_visits(leader, seconds):
    """Return how many instances the ticks of some seconds look at."""
    visits = []
    original = Renewals._check_unresponsive

    def check(self, view, now):
        visits.append(view)
        return original(self, view, now)

    with patch.object(Renewals, "_check_unresponsive", check):
        leader.run(seconds)
    return len(visits)


def list_renewals(leader, number, since):
    """Return the times at which the run list of an instance was requested."""
    return [
        at
        for at, action in leader.calls
        if isinstance(action, RenewLease)
        and action.instance == f"i-{number}"
        and at >= since
    ]


class TestTick(unittest.TestCase):
    # Each tick of 50 ms went through all instances: 60,000 a second of 3,000.
    def test_a_tick_of_an_idle_fleet_visits_no_instance(self):
        leader = SteppedLeader(INSTANCES)
        leader.run(2.0)
        assert count_visits(leader, 1.0) == 0

    def test_a_tick_visits_the_instances_that_are_silent(self):
        leader = SteppedLeader(INSTANCES)
        leader.run(2.0)
        leader.instances["i-7"].is_silent = True
        leader.run(3.0)
        visits = count_visits(leader, 1.0)
        assert TICKS_PER_SECOND - 1 <= visits <= 2 * TICKS_PER_SECOND, visits

    def test_each_instance_is_called_without_a_break(self):
        leader = SteppedLeader(INSTANCES)
        leader.run(5.0)
        for number in range(INSTANCES):
            times = list_renewals(leader, number, leader.now - 2.0)
            assert 2 <= len(times) <= 3, (number, times)


class TestInstances(unittest.TestCase):
    def test_a_silent_instance_is_called_every_third_of_a_second_after_each_failure(
        self,
    ):
        leader = SteppedLeader(3)
        leader.run(2.0)
        leader.instances["i-1"].is_silent = True
        leader.run(10.0)
        times = list_renewals(leader, 1, leader.now - 5.0)
        gaps = [later - earlier for earlier, later in pairwise(times)]
        # Without an answer the timeout is one second.
        assert gaps and all(1.25 < gap < 1.45 for gap in gaps), gaps

    def test_runs_of_a_silent_instance_are_lost_when_their_lease_has_expired(self):
        leader = SteppedLeader(5, task_seconds=60.0)
        leader.run(1.0)
        leader.submit("job", 1)
        leader.run(1.0)
        [run] = leader.dispatcher.lease_table.list_runs()
        leader.instances[run.life.partition("@")[0]].is_silent = True
        leader.run(8.0)
        assert leader.dispatcher.lease_table.find(run.task, run.run) is None

    def test_an_instance_without_an_answer_for_long_is_removed(self):
        leader = SteppedLeader(3)
        leader.run(2.0)
        leader.instances["i-1"].is_silent = True
        leader.run(35.0)
        assert "i-1@1000" not in leader.dispatcher.lease_table.instances

    def test_a_new_instance_is_called_and_a_removed_one_is_not(self):
        leader = SteppedLeader(3)
        leader.run(2.0)
        registered = leader.instances["i-1"].registered
        leader.commit(RemoveInstance(registered.life, reason="gone"))
        leader.run(1.0)
        removed_at = leader.now
        leader.run(2.0)
        assert list_renewals(leader, 1, removed_at) == []
        born = msgspec.structs.replace(registered, born=2000)
        leader.instances["i-1"].registered = born
        leader.commit(RegisterInstance(born))
        leader.run(0.1)
        assert list_renewals(leader, 1, removed_at + 2.0)

    def test_the_end_of_a_backoff_is_noticed(self):
        leader = SteppedLeader(3)
        leader.run(2.0)
        life = leader.get_view(1).registered.life
        leader.dispatcher.hold_starts(life, leader.now)
        leader.run(1.9)
        assert leader.get_view(1).start_backoff_until
        leader.run(0.2)
        assert not leader.get_view(1).start_backoff_until

    def test_a_lasting_run_on_an_instance_that_drains_is_stopped(self):
        leader = SteppedLeader(10, task_seconds=600.0)
        leader.run(1.0)
        leader.submit("job", 1, lasting=True)
        leader.run(1.0)
        [run] = leader.dispatcher.lease_table.list_runs()
        registered = leader.dispatcher.lease_table.instances[run.life].registered
        draining = msgspec.structs.replace(registered, draining=True)
        leader.commit(RegisterInstance(draining))
        leader.run(0.2)
        stops = [action for _, action in leader.calls if isinstance(action, StopRun)]
        assert [action.instance for action in stops] == [registered.instance]

    def test_a_new_term_calls_every_instance(self):
        leader = SteppedLeader(5)
        leader.run(2.0)
        leader.leadership.term = 2
        begun = leader.now
        table = leader.dispatcher.lease_table
        leader.run(2.0)
        assert leader.dispatcher.lease_table is not table
        assert isinstance(leader.dispatcher.lease_table, LeaseTable)
        for number in range(5):
            assert len(list_renewals(leader, number, begun)) >= 2

    def test_renewals_go_on_when_the_lease_of_the_leader_returns(self):
        leader = SteppedLeader(5)
        leader.run(2.0)
        leader.leadership.holds_lease = lambda now: False
        leader.run(2.0)
        leader.leadership.holds_lease = lambda now: True
        returned = leader.now
        leader.run(0.2)
        for number in range(5):
            assert list_renewals(leader, number, returned), number


class TestRegistrations(unittest.TestCase):
    # The registration of each life went through all instances: a fleet of 3,000 that
    # starts cost the leader 9,000,000 steps.
    def test_a_registration_does_not_walk_over_the_other_instances(self):
        leader = SteppedLeader(INSTANCES)
        leader.run(1.0)
        registered = leader.instances["i-3"].registered
        new = msgspec.structs.replace(registered, instance="i-x", address="x:80")
        leader.instances["i-x"] = SteppedInstance(new)
        known = CountingDict(leader.workloads.instances)
        leader.workloads.instances = known
        leader.commit(RegisterInstance(new))
        assert known.walked == 0
        assert new.life in leader.dispatcher.lease_table.instances

    def test_the_life_that_a_registration_replaces_is_removed(self):
        leader = SteppedLeader(5, task_seconds=60.0)
        leader.run(1.0)
        leader.submit("job", 1)
        leader.run(0.5)
        [run] = leader.dispatcher.lease_table.list_runs()
        instance = leader.instances[run.life.partition("@")[0]]
        instance.running.clear()
        old = instance.registered
        instance.registered = msgspec.structs.replace(old, born=9000)
        leader.commit(RegisterInstance(instance.registered))
        lives = set(leader.dispatcher.lease_table.instances)
        assert lives == set(leader.workloads.instances)
        assert old.life not in lives and instance.registered.life in lives
        leader.run(1.0)
        assert run not in leader.dispatcher.lease_table.list_runs()

    def test_a_registration_that_is_refused_changes_nothing(self):
        leader = SteppedLeader(5)
        leader.run(1.0)
        stale = msgspec.structs.replace(leader.instances["i-3"].registered, born=5)
        leader.commit(RegisterInstance(stale))
        lives = set(leader.dispatcher.lease_table.instances)
        assert lives == set(leader.workloads.instances)
        assert stale.life not in lives


class TestPace(unittest.TestCase):
    # Each check, ten a second, looked for fillers on all instances.
    def test_instances_without_runs_are_not_looked_at(self):
        leader = SteppedLeader(INSTANCES, task_seconds=30.0)
        leader.run(1.0)
        leader.submit("job", 1)
        leader.run(0.5)
        pacer = PaceController(workloads=leader.workloads, dispatcher=leader.dispatcher)
        looked_at = []
        pace = PaceController._pace

        def count(self, view, now):
            looked_at.append(view)
            return pace(self, view, now)

        with patch.object(PaceController, "_pace", count):
            pacer.advance(leader.now)
        [run] = leader.dispatcher.lease_table.list_runs()
        assert [view.registered.life for view in looked_at] == [run.life]

    def test_an_instance_whose_runs_have_ended_is_no_longer_contended(self):
        leader = SteppedLeader(3)
        leader.run(1.0)
        leader.get_view(1).is_contended = True
        pacer = PaceController(workloads=leader.workloads, dispatcher=leader.dispatcher)
        pacer.advance(leader.now)
        assert not leader.get_view(1).is_contended


class TestOrder(unittest.TestCase):
    # The order of effects decides what a seed plays.
    def test_instances_are_called_in_the_order_of_their_registration(self):
        leader = SteppedLeader(30)
        effects = leader.dispatcher.advance(leader.now)
        called = [
            effect.action.instance for effect in effects if hasattr(effect, "action")
        ]
        assert called == [f"i-{number}" for number in range(30)]
        assert any(
            getattr(item, "event", 0) is Event.FLEET_TAKEN_OVER for item in effects
        )


if __name__ == "__main__":
    unittest.main()
