"""Tests that a run outlives no lease that the leader counts with.

An order that was meant for the former life of an instance extends the lease of the next
one, up to the longest lease, as it names a time on another clock.
"""

import unittest
from unittest.mock import patch

from gypsumwalk.declaration_records import Resources
from gypsumwalk.fleet_calls import AnnounceInstanceCall
from gypsumwalk.instance_actions import RenewLease, StartRun
from gypsumwalk.workload_records import Step
from tests._fleet_work import FleetWorld
from tests._fleet_work_checks import find_duplicate_runs

JOB = "00000000000000aa"
OTHER_JOB = "00000000000000bb"
NEED = Resources(2000, 1000)
FORMER_AGE = 20.0
MAX_LEASE = 10.0
CLOCK_LEAD = -10_000
"""Milliseconds by which the clock of the next life is ahead of the former's."""

TASK_SECONDS = 60.0


class ReturningInstance:
    """Begins the next life of instance 0 as an order with a lease arrives there.

    ``kind`` is the type of the order. The next life is announced at once.
    """

    def __init__(self, world, kind):
        self.returned = None
        self._world = world
        self._kind = kind
        self._call = world.model.call

    def __call__(self, effect, now):
        action = effect.action
        has_lease = isinstance(action, self._kind) and action.lease_until
        if self.returned is not None or not has_lease:
            return self._call(effect, now)
        world = self._world
        clock = world.get_instance(0).read_clock(now)
        self.returned = world.start_instance(0, life=2, clock_begin=clock + CLOCK_LEAD)
        answer = self._call(effect, now)
        announcement = AnnounceInstanceCall(self.returned.registered)
        world.call(announcement, to=world.find_leader())
        return answer


class TestLeasesOfOtherLives(unittest.TestCase):
    def setUp(self):
        self.world = FleetWorld(
            task_seconds=TASK_SECONDS, instances=1, max_lease=MAX_LEASE
        )
        self.world.begin()
        self.world.run(FORMER_AGE)

    def cut_off_once_running(self, instance):
        """Cut an instance off as a run begins there, and add another instance."""
        running = self.world.run_until(lambda: instance.running, within=3.0)
        assert running, "nothing runs on the next life"
        instance.is_silent = True
        self.world.start_instance(1)
        self.world.run(16.0)

    def check_repeated_once(self):
        history = self.world.model.history
        assert find_duplicate_runs(history, self.world.now) == []
        assert [run.life for run in history[-2:]] == ["i-0@1002", "i-1@1001"]

    # Guards against TWICE: a renewal for the former life gave the next one a lease of
    # 10 s, and a run on it was repeated after 5 s.
    def test_no_run_is_repeated_within_a_lease_that_a_renewal_gave_the_next_life(self):
        returning = ReturningInstance(self.world, RenewLease)
        self.world.submit(JOB, [Step(1, NEED)])
        self.world.run(1.0)
        with patch.object(self.world.model, "call", returning):
            self.world.run_until(lambda: returning.returned, within=3.0)
            self.cut_off_once_running(returning.returned)
        self.check_repeated_once()

    # Guards against TWICE: a start for the former life gave the next one a lease of
    # 10 s. Its run was stopped there, and the next leader, which knew nothing of that
    # lease, repeated a run of a later job after 5 s.
    def test_a_new_leader_repeats_no_run_within_a_lease_from_before_its_term(self):
        returning = ReturningInstance(self.world, StartRun)
        with patch.object(self.world.model, "call", returning):
            self.world.submit(JOB, [Step(1, NEED)])
            self.world.run_until(lambda: returning.returned, within=3.0)
            self.world.cancel(JOB)
            self.world.run(1.0)
            assert not returning.returned.running
            self.world.shut_down(self.world.find_leader())
            self.world.run(0.5)
            self.world.submit(OTHER_JOB, [Step(1, NEED)])
            self.cut_off_once_running(returning.returned)
        self.check_repeated_once()


if __name__ == "__main__":
    unittest.main()
