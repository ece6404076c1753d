"""Tests that a wave stops no lasting task that has nowhere to go."""

import unittest

from gypsumwalk.declaration_records import Resources
from gypsumwalk.effects import Record
from gypsumwalk.events import Event
from gypsumwalk.workload_records import Step
from tests._fleet_work import FleetWorld
from tests._fleet_work_checks import find_duplicate_runs
from tests.test_lasting_tasks import list_gaps, list_runs

JOB = "00000000000000aa"
OTHER_JOB = "00000000000000bb"
NEED = Resources(1000, 100)
LARGE = Resources(4000, 100)
LONGEST_GAP_SECONDS = 9.0
"""Longest time for which a lasting task may wait while there is room for it."""
DURATION = 25.0


def make_step(count, per_instance=0, budget=-1, need=NEED, label=""):
    return Step(
        count,
        need,
        lasting=True,
        label=label,
        max_per_instance=per_instance,
        max_unavailable=budget,
    )


def begin(instances, *steps, seed=0):
    """Return a world in which each step is a job whose tasks run."""
    world = FleetWorld(seed, instances=instances, task_seconds=600.0)
    world.begin()
    for step, job in zip(steps, (JOB, OTHER_JOB), strict=False):
        assert world.submit(job, [step]).status == 200
    world.run(4.0)
    return world


def list_tasks(job, step):
    return [f"{job}.0.0.{number}" for number in range(step.count)]


def find_longest_gap(world, tasks):
    """Return the longest time in seconds for which a task did not run."""
    return max(gap for task in tasks for gap in list_gaps(world, task))


def count_stops(world, tasks):
    """Return the most stops of one task."""
    return max(len(list_runs(world, task)) - 1 for task in tasks)


def list_maintained(world):
    return sorted({machine for _, _, machine in world.model.maintenance_orders})


def list_events(world, event):
    return [
        entry.effect
        for entry in world.trace
        if isinstance(entry.effect, Record) and entry.effect.event is event
    ]


def list_reasons(world, machine):
    return [
        record.attributes["reason"]
        for record in list_events(world, Event.MACHINE_HELD_BACK)
        if record.subject == machine
    ]


class TestMachinesThatCannotBeEmptied(unittest.TestCase):
    def check_undisturbed(self, world, tasks):
        assert count_stops(world, tasks) == 0
        assert find_longest_gap(world, tasks) == 0.0
        assert list_maintained(world) == []

    # Guards against two tasks that a wave stopped for good: they had no place on the
    # other machine, their own one took no tasks, and they used up the budget that the
    # third task needed (review case 7).
    def test_no_task_is_stopped_if_another_one_has_no_place(self):
        step = make_step(6, per_instance=3, budget=2)
        world = begin(2, step)
        assert world.start_wave(1, ["m-0"], duration=DURATION).status == 200
        world.run(40.0)
        self.check_undisturbed(world, list_tasks(JOB, step))
        assert list_reasons(world, "m-0") == ["no place for its lasting tasks"]

    # Guards against the same with a budget of one task.
    def test_no_task_is_stopped_if_the_budget_is_less_than_the_tasks(self):
        step = make_step(4, per_instance=2, budget=1)
        world = begin(2, step)
        assert world.start_wave(1, ["m-0"], duration=DURATION).status == 200
        world.run(40.0)
        self.check_undisturbed(world, list_tasks(JOB, step))

    # Guards against a new leader that stops the tasks that the first one spared.
    def test_the_next_leader_stops_no_task_either(self):
        step = make_step(6, per_instance=3, budget=2)
        for is_kill in (True, False):
            with self.subTest(is_kill=is_kill):
                world = begin(2, step)
                world.start_wave(1, ["m-0"], duration=DURATION)
                world.run(0.3)
                leader = world.find_leader()
                if is_kill:
                    world.kill(leader)
                else:
                    world.cut_power(leader)
                assert world.run_until(world.find_leader, within=10.0)
                world.run(30.0)
                self.check_undisturbed(world, list_tasks(JOB, step))

    # Guards against two waves each of which counts on the machine of the other.
    def test_machines_in_waves_of_their_own_are_no_places_for_each_other(self):
        step = make_step(6, per_instance=3, budget=2)
        world = begin(2, step)
        for wave, machine in enumerate(("m-0", "m-1"), start=1):
            world.start_wave(wave, [machine], duration=DURATION)
        world.run(40.0)
        self.check_undisturbed(world, list_tasks(JOB, step))

    # Guards against a machine that holds the only turn of a wave although its tasks
    # can't leave it.
    def test_the_other_machines_of_the_wave_go(self):
        step = make_step(4, per_instance=2, budget=1, label="rack-0")
        world = begin(4, step)
        machines = ["m-0", "m-2", "m-3"]
        world.start_wave(1, machines, duration=DURATION, max_down=1)
        world.run(10.0)
        assert list_maintained(world) == ["m-2", "m-3"]
        world.run(30.0)
        assert count_stops(world, list_tasks(JOB, step)) == 0
        assert list_reasons(world, "m-0")[-1] == "no place for its lasting tasks"

    # Guards against a wave that doesn't go on once there is room.
    def test_the_machine_goes_once_another_one_has_room(self):
        step = make_step(6, per_instance=3, budget=2)
        world = begin(2, step)
        world.start_wave(1, ["m-0"], duration=DURATION)
        world.run(5.0)
        world.start_instance(2)
        world.run(10.0)
        assert list_maintained(world) == ["m-0"]
        tasks = list_tasks(JOB, step)
        assert find_longest_gap(world, tasks) <= LONGEST_GAP_SECONDS
        assert count_stops(world, tasks) <= 2

    # Guards against one free place that is counted for each task of two machines.
    def test_a_place_is_promised_to_one_task_only(self):
        step = make_step(5, per_instance=2, budget=2)
        world = begin(3, step)
        machines = ["m-0", "m-1", "m-2"]
        world.start_wave(1, machines, duration=DURATION, max_down=2)
        world.run(40.0)
        tasks = list_tasks(JOB, step)
        assert find_longest_gap(world, tasks) <= LONGEST_GAP_SECONDS
        assert count_stops(world, tasks) <= 3
        assert list_maintained(world) == machines


class TestMachinesThatAreEmptied(unittest.TestCase):
    # Guards against a wave that waits for places although the budget covers all tasks.
    def test_tasks_wait_for_their_machine_if_their_budget_covers_them(self):
        step = make_step(6, per_instance=3, budget=3)
        world = begin(2, step)
        world.start_wave(1, ["m-0"], duration=DURATION)
        world.run(3.0)
        assert list_maintained(world) == ["m-0"]
        world.run(5.0)
        tasks = list_tasks(JOB, step)
        assert 0.0 < find_longest_gap(world, tasks) <= 6.0
        assert count_stops(world, tasks) == 1

    # Guards against budgets that the tasks of one machine use up while another one
    # waits for the same budget.
    def test_machines_whose_tasks_wait_go_one_after_the_other(self):
        step = make_step(6, per_instance=3, budget=3)
        world = begin(2, step)
        world.start_wave(1, ["m-0", "m-1"], duration=DURATION, max_down=2)
        world.run(DURATION)
        assert list_maintained(world) == ["m-0", "m-1"]
        tasks = list_tasks(JOB, step)
        assert find_longest_gap(world, tasks) <= 6.0
        assert find_duplicate_runs(world.model.history) == []

    # Guards against a plan that asks for all places at once: some tasks move, and the
    # others wait within their budget.
    def test_some_tasks_move_and_the_others_wait(self):
        step = make_step(8, per_instance=3, budget=2)
        world = begin(3, step)
        world.start_wave(1, ["m-0", "m-1"], duration=DURATION)
        world.run(DURATION)
        assert list_maintained(world) == ["m-0", "m-1"]
        tasks = list_tasks(JOB, step)
        assert find_longest_gap(world, tasks) <= LONGEST_GAP_SECONDS

    # Guards against tasks that stay down, as the place that they were to move to went
    # after the first stop.
    def test_tasks_return_to_their_machine_if_their_place_is_lost(self):
        for delay in (0.05, 0.3, 0.6, 1.0):
            with self.subTest(delay=delay):
                step = make_step(2, budget=1, need=LARGE)
                world = begin(2, step)
                lost = next(run.life for run in list_runs(world, f"{JOB}.0.0.0"))
                self.lose_place(world, step, lost, delay)

    def lose_place(self, world, step, life, delay):
        machine = next(
            item.registered.machine
            for item in world.model.instances.values()
            if item.registered.life == life
        )
        world.start_wave(1, [machine], duration=DURATION)
        world.run(delay)
        for item in world.model.instances.values():
            if item.registered.machine != machine:
                world.model.crash(item, world.now)
        world.run(40.0)
        tasks = list_tasks(JOB, step)
        assert all(list_runs(world, task)[-1].ended is None for task in tasks)
        assert count_stops(world, tasks) <= 3


if __name__ == "__main__":
    unittest.main()
