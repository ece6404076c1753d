"""Tests of random days on which instances return under their identifiers.

They are cut off at times, and leaders are lost.
"""

import unittest
from random import Random
from unittest.mock import patch

from gypsumwalk.declaration_records import Resources
from gypsumwalk.fleet_calls import AnnounceInstanceCall, LeaveInstanceCall
from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.instance_actions import PaceRun, RenewLease, StartRun, StopRun
from gypsumwalk.workload_records import Step
from tests._fleet_work import CAPACITY, FleetWorld
from tests._fleet_work_checks import find_duplicate_runs, find_overloads

NEED = Resources(2000, 1000)
CALLS = (PaceRun, RenewLease, StartRun, StopRun)
INSTANCES = 3
DAY_SECONDS = 25.0
REST_SECONDS = 16.0
ARRIVAL_SECONDS = 0.02


class ReturningInstances:
    """Instances that crash and begin again, at times heard of and at times cut off.

    A call to one that is down is carried out by its next life if the call still waits.
    """

    def __init__(self, world, random):
        self.world = world
        self.random = random
        self._begins = {}
        self._lives = dict.fromkeys(range(INSTANCES), 1)
        self._call = world.model.call

    def __call__(self, effect, now):
        action = effect.action
        if not isinstance(action, CALLS):
            return self._call(effect, now)
        delay = self._begins.get(action.address, now) - now
        is_change = isinstance(action, StartRun | StopRun)
        is_lost = self.random.random() < (0.2 if delay > 0 else 0.05 * is_change)
        lost = PlatformOutcome(effect.token, succeeded=False, unknown=True)
        if delay <= 0:
            answer = self._call(effect, now)
            return (effect.timeout, lambda at: lost) if is_lost else answer
        if delay > effect.timeout - ARRIVAL_SECONDS:
            return effect.timeout, lambda at: lost

        def find_outcome(at):
            outcome = self._call(effect, at)[1](at)
            return lost if is_lost else outcome

        return delay + self.random.uniform(0.001, ARRIVAL_SECONDS), find_outcome

    def crash(self, number):
        world, instance = self.world, self.world.get_instance(number)
        address = instance.registered.address
        if self._begins.get(address, 0.0) > world.now:
            return
        if not instance.is_dead:
            world.model.crash(instance, world.now)
        delay = self.random.choice([0.1, 0.3, 0.6, 0.9])
        self._begins[address] = world.now + delay
        world.schedule(delay, lambda: self._begin(number))

    def _begin(self, number):
        world = self.world
        self._lives[number] += 1
        clock_begin = self.random.randrange(100_000, 9_000_000)
        instance = world.start_instance(
            number, life=self._lives[number], clock_begin=clock_begin
        )
        if self.random.random() < 0.6:
            delay = self.random.uniform(0.0, 0.3)
            world.schedule(delay, lambda: self._announce(instance))
        if self.random.random() < 0.6:
            begin = self.random.uniform(0.02, 1.0)
            end = begin + self.random.choice([1.0, 3.0, 9.0])
            world.schedule(begin, lambda: setattr(instance, "is_silent", True))
            world.schedule(end, lambda: setattr(instance, "is_silent", False))

    def _announce(self, instance):
        leader = self.world.find_leader()
        if leader and not instance.is_dead and not instance.is_silent:
            self.world.call(AnnounceInstanceCall(instance.registered), to=leader)

    def deregister(self, number):
        instance, leader = self.world.get_instance(number), self.world.find_leader()
        if not leader or instance.is_dead or instance.is_silent:
            return
        registered = instance.registered
        call = LeaveInstanceCall(registered.instance, registered.born)
        self.world.call(call, to=leader).on_answer = lambda call: self.crash(number)


def kill_leader(world, random):
    leader = world.find_leader()
    if leader:
        world.kill(leader)
        world.schedule(random.choice([0.5, 2.0]), lambda: world.restart(leader))


def play(seed):
    """Return the history of the runs of a random day."""
    random = Random(seed)
    task_seconds = random.choice([0.4, 1.0, 3.0, 20.0])
    world = FleetWorld(
        seed, task_seconds=task_seconds, instances=INSTANCES, max_lease=10.0
    )
    world.begin()
    returning = ReturningInstances(world, random)
    end = world.now + DAY_SECONDS
    jobs = 0
    with patch.object(world.model, "call", returning):
        while world.now < end:
            world.run(random.uniform(0.05, 1.0))
            chance = random.random()
            if chance < 0.35 and world.find_leader():
                jobs += 1
                world.submit(f"{jobs:016x}", [Step(random.choice([1, 2, 4]), NEED)])
            elif chance < 0.6:
                returning.crash(random.randrange(INSTANCES))
            elif chance < 0.65:
                for number in range(INSTANCES):
                    returning.crash(number)
            elif chance < 0.72:
                kill_leader(world, random)
            elif chance < 0.75:
                returning.deregister(random.randrange(INSTANCES))
        world.run(REST_SECONDS)
    return world.model.history


class TestRandomReturns(unittest.TestCase):
    def check(self, seeds):
        for seed in seeds:
            with self.subTest(seed=seed):
                history = play(seed)
                assert history
                assert find_duplicate_runs(history) == []
                assert find_overloads(history, lambda _: NEED.cpu, CAPACITY.cpu) == []

    # Each seed breaks both rules or one where the former life of an instance is
    # credited with what the next one answers.
    def test_no_task_runs_twice_and_no_instance_has_too_much(self):
        self.check((0, 2, 6, 10, 16, 28, 32, 43))

    # Guards against ends of the next life that are acknowledged unseen, as a renewal
    # of the former life with the number of its latest end reaches the next one.
    def test_no_end_is_acknowledged_for_a_former_life(self):
        self.check((14, 20))


if __name__ == "__main__":
    unittest.main()
