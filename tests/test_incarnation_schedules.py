"""Random schedules of daemons whose clocks step while their disks refuse writes."""

import unittest
from random import Random
from unittest import mock

from tests._clock_world import ClockWorld
from tests._fleet_work import make_declaration

SEEDS = range(12)
STEPS = 25
SETTLE_SECONDS = 3.0
RETURN_SECONDS = 20.0


class Schedule:
    """Kills, steps of clocks, and full or hanging disks, at random."""

    def __init__(self, seed):
        self.random = Random(f"incarnations {seed}")
        self.world = ClockWorld(seed, daemons=3)
        self.world.begin()
        self.world.run(SETTLE_SECONDS)
        self.version = 1

    def run(self):
        actions = [self.kill, self.kill, self.step, self.fill, self.empty]
        actions += [self.stall, self.resume, self.declare]
        for _ in range(STEPS):
            self.random.choice(actions)(self.random.choice(self.world.names))
            self.world.run(self.random.uniform(0.0, 2.0))
        for name in self.world.names:
            self.empty(name)
            self.resume(name)
        self.start_all()

    def kill(self, name):
        self.world.kill(name)
        self.world.run(self.random.uniform(0.0, 1.0))
        self.world.restart(name)

    def step(self, name):
        self.world.daemons[name].clock_offset -= self.random.uniform(0.0, 60.0)
        self.kill(name)

    def fill(self, name):
        self.world.fill_disk(name)

    def empty(self, name):
        self.world.fill_disk(name, full=False)

    def stall(self, name):
        self.world.stall_disk(name)

    def resume(self, name):
        self.world.resume_disk(name)

    def declare(self, name):
        leader = self.world.find_leader()
        if leader:
            self.version += 1
            self.world.declare(make_declaration(self.version))

    def start_all(self):
        for name in self.world.names:
            if not self.world.daemons[name].alive:
                self.world.restart(name)

    def are_all_heard(self):
        """Tell whether all follow one leader and may vote."""
        leader = self.world.find_leader()
        parts = [self.world.assemblies[name].consensus for name in self.world.names]
        return bool(leader) and all(
            part.leader == leader and part.replica.identity for part in parts
        )

    def is_any_shared(self):
        """Tell whether two processes of a daemon had one incarnation."""
        lists = self.world.incarnations.values()
        return any(len(used) != len(set(used)) for used in lists)


class TestSchedules(unittest.TestCase):
    """Guards against two processes with one incarnation (issue 43)."""

    def test_random_schedules(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                schedule = Schedule(seed)
                schedule.run()
                world = schedule.world
                assert world.run_until(schedule.are_all_heard, within=RETURN_SECONDS)
                assert not schedule.is_any_shared()
                answer = world.declare(make_declaration(schedule.version + 1))
                assert answer.status == 200, answer

    def test_the_check_finds_incarnations_without_random_bits(self):
        with mock.patch("gypsumwalk.incarnations.RANDOM_BITS", 0):
            schedules = [Schedule(seed) for seed in SEEDS]
            for schedule in schedules:
                schedule.run()
        assert any(schedule.is_any_shared() for schedule in schedules)


if __name__ == "__main__":
    unittest.main()
