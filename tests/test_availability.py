"""Tests that lasting tasks are interrupted only within the budget of their step."""

import unittest
from unittest.mock import patch

import msgspec

from gypsumwalk.availability import AvailabilityBudget
from gypsumwalk.declaration_records import (
    Declaration,
    DeclaredQueue,
    DeclaredService,
    DeclaredTeam,
    Resources,
)
from gypsumwalk.fleet_calls import AnnounceInstanceCall
from gypsumwalk.workload_records import Step
from tests._fleet_work import HOST, KEY, NO_QUOTA, FleetWorld
from tests._fleet_work_checks import find_duplicate_runs

JOB = "00000000000000aa"
OTHER_JOB = "00000000000000bb"
NEED = Resources(2000, 1000)
STEP_SECONDS = 0.02


def make_world(*, tasks, instances, seed=0):
    """Return a world in which one lasting task runs on each of some instances."""
    world = FleetWorld(seed, task_seconds=1000.0, instances=instances)
    world.model.stop_durations = [0.4]
    world.begin()
    step = Step(tasks, NEED, max_per_instance=1, lasting=True, max_unavailable=1)
    world.submit(JOB, [step])
    world.run(4.0)
    assert len(list_running(world)) == tasks
    return world


def list_running(world, job=JOB):
    return [
        run
        for run in world.model.history
        if run.ended is None and run.task.startswith(job)
    ]


def list_used(world, job=JOB):
    """Return the numbers of the instances on which tasks of a job run."""
    return sorted(
        int(run.life.partition("@")[0].removeprefix("i-"))
        for run in list_running(world, job)
    )


def drain(world, number):
    registered = world.get_instance(number).registered
    draining = msgspec.structs.replace(registered, draining=True)
    return world.call(AnnounceInstanceCall(draining), to=world.find_leader())


def declare_standby(world):
    """Declare a standby pool, so that a wave first waits for machines to enter it."""
    queues = [DeclaredQueue("queue-a", HOST, "/a/", "service-a", timeout=3.0)]
    services = [
        DeclaredService("service-a"),
        DeclaredService("service-off", standby=True),
    ]
    teams = [DeclaredTeam("team", [KEY], 1.0, NO_QUOTA)]
    world.declare(Declaration(2, queues, services, teams, "source 2"))


def find_least_running(world, seconds):
    """Return the fewest tasks that ran at the same time in some seconds."""
    least = len(list_running(world))
    end = world.now + seconds
    while world.now < end:
        world.run(STEP_SECONDS)
        least = min(least, len(list_running(world)))
    return least


class TestDrainingInstances(unittest.TestCase):
    # Each draining instance was emptied at once, whatever else was away.
    def test_tasks_on_two_draining_instances_are_moved_one_after_the_other(self):
        world = make_world(tasks=3, instances=6)
        for number in list_used(world)[:2]:
            drain(world, number)
        assert find_least_running(world, 6.0) >= 2
        assert len(list_running(world)) == 3
        assert find_duplicate_runs(world.model.history) == []

    # The new leader knows of no task before its instance has listed it.
    def test_a_new_leader_counts_what_its_predecessor_has_stopped(self):
        for delay in (0.0, 0.1, 0.3):
            with self.subTest(delay=delay):
                world = make_world(tasks=3, instances=6)
                for number in list_used(world)[:2]:
                    drain(world, number)
                world.run(delay)
                world.kill(world.find_leader())
                assert find_least_running(world, 9.0) >= 2
                assert len(list_running(world)) == 3

    def test_an_unplanned_loss_counts_too(self):
        world = make_world(tasks=3, instances=6)
        crashed, draining, _ = list_used(world)
        world.get_instance(crashed).is_silent = True
        world.run(2.5)
        drain(world, draining)
        end = world.now + 1.0
        while world.now < end:
            world.run(STEP_SECONDS)
            # The silent instance still works, but nobody knows.
            assert draining in list_used(world)


class TestCheck(unittest.TestCase):
    """A deliberate fault turns the checks above red."""

    def test_a_budget_that_is_not_asked_is_seen(self):
        world = make_world(tasks=3, instances=6)
        with patch.object(AvailabilityBudget, "may_interrupt", return_value=True):
            for number in list_used(world)[:2]:
                drain(world, number)
            assert find_least_running(world, 6.0) < 2


class TestWaveOfManyLastingTasks(unittest.TestCase):
    """Half of a pool is due, and each budget allows one evacuation at a time."""

    # Evacuations began in the second half of the wave, and were too many for it.
    def test_lasting_tasks_leave_the_machines_of_a_wave_from_its_start(self):
        world = make_world(tasks=6, instances=12)
        declare_standby(world)
        due = list_used(world)
        world.start_wave(1, [f"m-{item}" for item in due], duration=60.0, max_down=6)
        world.run(16.0)
        assert world.model.maintenance_orders == []
        assert not set(list_used(world)) & set(due)
        assert len(list_running(world)) == 6

    def test_a_lasting_task_stays_where_no_other_machine_has_room(self):
        world = make_world(tasks=3, instances=3)
        declare_standby(world)
        machines = [f"m-{item}" for item in list_used(world)]
        world.start_wave(1, machines, duration=60.0, max_down=3)
        world.run(10.0)
        assert [run.run for run in list_running(world)] == [1, 1, 1]

    def test_a_new_lasting_task_avoids_the_machines_of_a_wave(self):
        world = make_world(tasks=2, instances=6)
        declare_standby(world)
        due = range(4)
        world.start_wave(1, [f"m-{item}" for item in due], duration=60.0, max_down=4)
        world.run(1.0)
        step = Step(2, NEED, max_per_instance=1, lasting=True)
        world.submit(OTHER_JOB, [step])
        world.run(2.0)
        assert not set(list_used(world, OTHER_JOB)) & set(due)


if __name__ == "__main__":
    unittest.main()
