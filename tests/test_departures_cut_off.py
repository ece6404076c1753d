"""Tests that an instance that is cut off as it deregisters is waited for.

Silence does not show its end: its runs go on until their lease has expired.
"""

import unittest

from gypsumwalk.fleet_calls import LeaveInstanceCall
from gypsumwalk.run_orders import LEASE_SECONDS
from tests._fleet_work_checks import find_duplicate_runs
from tests.test_departing_instances import (
    GIVE_UP_SECONDS,
    DepartingInstance,
    make_world,
)

CUT_SECONDS = 6.0
CHANGE_OF_LEADER_SECONDS = 3.0


def cut_off(world):
    """Let no call arrive at instance 0 for some seconds."""
    instance = world.get_instance(0)
    instance.is_silent = True
    world.schedule(CUT_SECONDS, lambda: setattr(instance, "is_silent", False))


def deregister_once(world):
    """Let instance 0 deregister without an answer, and then end."""
    instance = world.get_instance(0)
    registered = instance.registered
    call = LeaveInstanceCall(registered.instance, registered.born)
    world.call(call, to=world.find_leader())
    end = GIVE_UP_SECONDS
    world.schedule(end, lambda: world.model.crash(instance, world.now))


class TestDeparturesCutOff(unittest.TestCase):
    def check_repeated_once(self, world):
        world.run(GIVE_UP_SECONDS + 12.0)
        assert len(world.model.history) == 2
        assert find_duplicate_runs(world.model.history) == []

    # Guards against TWICE: the deregistration was the last call that came through. The
    # instance got neither its acknowledgement nor a stop, went on for 4 s, and its task
    # was started elsewhere after 0.5 s.
    def test_a_task_runs_once_if_its_instance_is_cut_off_as_it_deregisters(self):
        world = make_world()
        DepartingInstance(world, 0, lost_answers=10)
        cut_off(world)
        self.check_repeated_once(world)

    # Guards against TWICE: the next leader took the instance as ended 2 s after it had
    # begun to lead, as it heard of no other deregistration.
    def test_a_task_runs_once_if_the_leader_is_lost_as_well(self):
        for seed, seconds in enumerate((0.0, 0.3, 0.6, 0.9, 1.2)):
            with self.subTest(seconds=seconds):
                world = make_world(seed)
                cut_off(world)
                deregister_once(world)
                world.run(seconds)
                world.kill(world.find_leader())
                self.check_repeated_once(world)

    def test_a_task_of_an_instance_that_is_cut_off_waits_for_its_lease_only(self):
        world = make_world()
        DepartingInstance(world, 0, lost_answers=10)
        cut_off(world)
        began = world.now
        assert world.run_until(lambda: len(world.model.history) == 2, within=12.0)
        assert world.now - began < LEASE_SECONDS + 0.5

    # The leader that heard the deregistration is lost, but the instance is not cut off:
    # the next leader learns of the ends from it.
    def test_a_task_waits_for_no_lease_if_only_the_leader_is_lost(self):
        for seed, seconds in enumerate((0.0, 0.05, 0.1, 0.3)):
            with self.subTest(seconds=seconds):
                world = make_world(seed)
                world.model.stop_durations = [0.4]
                DepartingInstance(world, 0)
                world.run(seconds)
                world.kill(world.find_leader())
                within = CHANGE_OF_LEADER_SECONDS
                restarted = world.run_until(
                    lambda history=world.model.history: len(history) == 2,
                    within=within,
                )
                assert restarted
                self.check_repeated_once(world)


if __name__ == "__main__":
    unittest.main()
