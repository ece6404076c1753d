"""Tests that every machine of a wave begins its maintenance before the deadline."""

import unittest
from random import Random

from gypsumwalk.declaration_records import Resources
from gypsumwalk.effects import Record
from gypsumwalk.events import Event
from gypsumwalk.workload_records import Step
from tests._fleet_work_checks import find_duplicate_runs
from tests._wave_world import STANDBY, WaveWorld

LASTING_JOB = "00000000000000aa"
JOB = "00000000000000bb"
TASKS = 2000
HALF = Resources(4000, 1000)
SMALL = Resources(2000, 1000)
DURATION = 28.0


def make_busy_world(instances, *, lasting=0, budget=1, seed=1):
    """Return a world whose machines are all in use, for longer than a wave takes."""
    world = WaveWorld(seed, instances=instances, task_seconds=600.0)
    random = Random(seed)
    for number in range(TASKS):
        length = random.uniform(3.0, 12.0)
        world.run_results[f"{JOB}.0.0.{number}", 1] = (length, "done")
    world.begin()
    if lasting:
        step = Step(
            lasting, SMALL, lasting=True, max_unavailable=budget, max_per_instance=1
        )
        world.submit(LASTING_JOB, [step])
    world.submit(JOB, [Step(TASKS, HALF)])
    world.run(4.0)
    return world


def list_reasons(world):
    return [
        (entry.effect.subject, entry.effect.attributes["reason"])
        for entry in world.trace
        if isinstance(entry.effect, Record)
        and entry.effect.event is Event.MACHINE_HELD_BACK
    ]


class TestDeadlines(unittest.TestCase):
    def start(self, world, count, max_down, *, duration=DURATION):
        self.started = world.now
        machines = [f"m-{number}" for number in range(count)]
        answer = world.start_wave(1, machines, duration=duration, max_down=max_down)
        assert answer.status == 200

    def check(self, world, count, max_down, *, duration=DURATION):
        begun = world.list_begun()
        assert len(begun) == count
        assert max(begun.values()) <= self.started + duration
        assert world.find_most_down() <= max_down
        assert find_duplicate_runs(world.model.history) == []

    # Guards against a wave that spared the machines in use until too few rounds were
    # left: with 12 machines at once the last one of 85 began 1 s late, with 10 at once
    # 15 of them did.
    def test_a_wave_that_needs_nearly_every_round_ends_in_time(self):
        for max_down in (12, 10):
            with self.subTest(max_down=max_down):
                world = make_busy_world(100)
                world.boot_seconds = 0.8
                self.start(world, 85, max_down)
                world.run(DURATION + 5.0)
                self.check(world, 85, max_down)

    # Guards against lasting tasks that left their machines too late: their budget
    # allows one move at a time, and 5 of 30 machines began up to 6.9 s late.
    def test_machines_with_many_lasting_tasks_are_emptied_in_time(self):
        world = make_busy_world(36, lasting=14, seed=3)
        self.start(world, 30, 4)
        world.run(DURATION + 8.0)
        self.check(world, 30, 4)

    # Guards against machines that another pool takes when the wave needs them.
    def test_no_machine_of_a_wave_moves_once_the_time_is_short(self):
        world = WaveWorld(instances=4, task_seconds=0.5)
        world.begin()
        world.run(2.0)
        # Always less than the rounds of 3 s, the reserve of 4 s and a move.
        self.start(world, 4, 1, duration=15.0)
        world.submit(JOB, [Step(8, HALF)], queue="b")
        world.run(25.0)
        self.check(world, 4, 1, duration=15.0)
        begun = world.list_begun()
        moved = [
            (at, machine)
            for at, machine, service in world.moves
            if service != STANDBY and at > self.started
        ]
        assert moved
        assert all(at > begun[machine] for at, machine in moved)

    # Guards against a last machine that is late for a reason that no log tells.
    def test_the_log_tells_what_holds_a_machine_back(self):
        world = make_busy_world(4, lasting=4)
        world.refused = {"m-3"}
        world.model.stop_durations = [0.4]
        self.start(world, 4, 1)
        world.run(DURATION)
        reasons = list_reasons(world)
        assert ("m-3", "its order had no success") in reasons
        assert any(reason == "lasting run" for _, reason in reasons)
        assert any(reason == "draining" for _, reason in reasons)


if __name__ == "__main__":
    unittest.main()
