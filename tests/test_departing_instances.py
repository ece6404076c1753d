"""Tests that a run goes on nowhere when its task starts after a deregistration.

An instance ends once its deregistration is acknowledged, or else some seconds later.
"""

import unittest
from unittest.mock import patch

from gypsumwalk.declaration_records import Resources
from gypsumwalk.fleet_calls import LeaveInstanceCall
from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.instance_actions import StopRun
from gypsumwalk.run_orders import LEASE_SECONDS
from gypsumwalk.workload_records import Step
from tests._fleet_work import FleetWorld
from tests._fleet_work_checks import find_duplicate_runs

JOB = "00000000000000aa"
NEED = Resources(2000, 1000)
ANSWER_SECONDS = 1.0
"""Time for which an instance waits for an answer before it calls another daemon."""

GIVE_UP_SECONDS = 4.0


class DepartingInstance:
    """Instance that deregisters until it is answered, and then ends.

    One that closes takes no calls meanwhile. Its machine leaves the list with it.
    """

    def __init__(self, world, number, *, lost_answers=0, closes=False):
        self.world = world
        self.instance = world.get_instance(number)
        self.lost_answers = lost_answers
        self.closes = closes
        self.began = world.now
        self.instance.is_silent = closes
        self.deregister()

    def deregister(self):
        world, registered = self.world, self.instance.registered
        if self.instance.is_dead:
            return
        if world.now - self.began >= GIVE_UP_SECONDS:
            self.leave()
            return
        leader = world.find_leader()
        if leader:
            call = LeaveInstanceCall(registered.instance, registered.born)
            world.call(call, to=leader).on_answer = self.end
        world.schedule(ANSWER_SECONDS, self.deregister)

    def end(self, call):
        if call.answer is None:
            return
        if self.lost_answers:
            self.lost_answers -= 1
        elif not self.instance.is_dead:
            self.leave()

    def leave(self):
        self.world.model.crash(self.instance, self.world.now)
        if self.closes:
            del self.world.model.machines[self.instance.registered.machine]


def make_world(seed=0, **step):
    """Return a world in which one task runs, on instance 0."""
    world = FleetWorld(seed, task_seconds=600.0, instances=1)
    world.begin()
    world.submit(JOB, [Step(1, NEED, **step)])
    world.run_until(lambda: world.model.history, within=3.0)
    world.run(2.0)
    world.start_instance(1)
    world.run(2.0)
    return world


def measure_restart(world, within):
    """Return the time from the end of the first run of the task to its next start."""
    assert world.run_until(lambda: len(world.model.history) > 1, within=within)
    world.run(within)
    assert find_duplicate_runs(world.model.history) == []
    first, second = world.model.history
    return second.started - first.ended


class TestDepartingInstances(unittest.TestCase):
    # Its runs are stopped before it hears the acknowledgement, so that their ends are
    # known from itself.
    def test_a_task_runs_again_as_soon_as_its_instance_leaves(self):
        world = make_world()
        world.model.stop_durations = [0.4]
        DepartingInstance(world, 0)
        assert measure_restart(world, within=6.0) < 1.0

    def test_a_deregistration_is_answered_before_the_instance_calls_another_daemon(
        self,
    ):
        for is_silent in (False, True):
            with self.subTest(is_silent=is_silent):
                world = make_world()
                world.model.stop_durations = [0.4]
                world.get_instance(0).is_silent = is_silent
                called_at = world.now
                assert world.ask(LeaveInstanceCall("i-0", 1001)).status == 200
                assert world.now - called_at < ANSWER_SECONDS

    # It takes no calls any more as it deregisters, but its runs go on until it has the
    # answer, so that the list of machines is what shows their end.
    def test_a_task_runs_again_if_its_instance_takes_no_calls_as_it_leaves(self):
        for lost_answers in (0, 1, 3):
            with self.subTest(lost_answers=lost_answers):
                world = make_world()
                DepartingInstance(world, 0, lost_answers=lost_answers, closes=True)
                assert measure_restart(world, within=8.0) < 1.0

    # The instance went on, and the task was started elsewhere.
    def test_a_task_runs_once_if_the_acknowledgement_is_lost(self):
        for lost_answers in (1, 2, 10):
            with self.subTest(lost_answers=lost_answers):
                world = make_world()
                DepartingInstance(world, 0, lost_answers=lost_answers)
                measure_restart(world, within=8.0)

    # The leader was lost after it had committed the deregistration.
    def test_a_task_runs_once_if_the_leader_is_lost_before_the_acknowledgement(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                world = make_world(seed)
                DepartingInstance(world, 0, lost_answers=1)
                instances = world.get_leader().workloads.instances
                world.run_until(lambda i=instances: len(i) == 1, within=1.0)
                world.kill(world.find_leader())
                assert measure_restart(world, within=12.0) < 6.0

    # No stop reaches the instance, so that its runs end with it. It might as well be
    # cut off: its lease has to expire, and no more.
    def test_a_task_runs_again_if_an_instance_that_has_left_answers_no_stop(self):
        world = make_world()
        call = world.model.call

        def lose_stops(effect, now):
            if not isinstance(effect.action, StopRun):
                return call(effect, now)
            lost = PlatformOutcome(effect.token, succeeded=False, unknown=True)
            return effect.timeout, lambda at: lost

        with patch.object(world.model, "call", lose_stops):
            DepartingInstance(world, 0)
            assert measure_restart(world, within=6.0) < LEASE_SECONDS


if __name__ == "__main__":
    unittest.main()
