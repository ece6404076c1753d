"""Tests of random days on which instances leave while links and leaders are lost.

``GYPSUMWALK_SCHEDULES`` sets the number of seeds; a seed runs alone with
``GYPSUMWALK_SEED``.
"""

import os
import unittest
from random import Random

from msgspec.structs import replace

from gypsumwalk.fleet_calls import AnnounceInstanceCall, LeaveInstanceCall
from tests._random_lives import (
    INSTANCES,
    RandomDay,
    kill_leader,
    pause_leader,
    stop_leader,
)

SEEDS = int(os.environ.get("GYPSUMWALK_SCHEDULES", "8"))
ANSWER_SECONDS = 1.0
GIVE_UP_SECONDS = 4.0


class RandomDeparture:
    """Instance that drains, deregisters until it is answered, ends and begins again."""

    def __init__(self, day, number):
        self.day, self.world, self.random = day, day.world, day.departures
        self.number = number
        self.instance = self.world.get_instance(number)
        self.hears_control = self.is_heard = True
        self._call(
            AnnounceInstanceCall(replace(self.instance.registered, draining=True))
        )
        drain = self.random.uniform(0.2, 2.0)
        if self.random.random() < 0.6:
            begin = max(0.0, drain + self.random.uniform(-0.5, 0.3))
            self.world.schedule(begin, self._cut_off)
        if self.random.random() < 0.4:
            act = self.random.choice([kill_leader, pause_leader, stop_leader])
            delay = drain + self.random.uniform(0.0, 1.5)
            self.world.schedule(delay, lambda: act(self.world, self.random))
        self.world.schedule(drain, self._begin)

    def _call(self, body):
        leader = self.world.find_leader()
        if leader and self.is_heard:
            return self.world.call(body, to=leader)
        return None

    def _cut_off(self):
        self.instance.is_silent = True
        self.is_heard = self.random.random() < 0.5
        seconds = self.random.choice([1.0, 3.0, 6.0])
        self.world.schedule(seconds, self._restore)

    def _restore(self):
        self.instance.is_silent, self.is_heard = False, True

    def _begin(self):
        self.deadline = self.world.now + GIVE_UP_SECONDS
        self._deregister()

    def _deregister(self):
        if self.instance.is_dead:
            return
        if self.world.now >= self.deadline:
            self._end()
            return
        registered = self.instance.registered
        born = registered.born if self.random.random() < 0.5 else 0
        call = self._call(LeaveInstanceCall(registered.instance, born))
        if call is not None:
            call.on_answer = self._handle_answer
        self.world.schedule(ANSWER_SECONDS, self._deregister)

    def _handle_answer(self, call):
        is_heard = call.answer is not None and call.answer.status == 200
        if is_heard and not self.instance.is_silent and self.random.random() < 0.8:
            self._end()

    def _end(self):
        if self.instance.is_dead:
            return
        clock = self.instance.read_clock(self.world.now)
        self.world.model.crash(self.instance, self.world.now)
        delay = self.random.choice([0.3, 2.0, 6.0])
        self.world.schedule(
            delay, lambda: self.day.instances.begin_life(self.number, clock)
        )


class DepartureDay(RandomDay):
    """Day on which instances leave as well, drawn from a seed."""

    def __init__(self, seed):
        super().__init__(seed)
        self.departures = Random(f"departures {seed}")
        self._leaving = {}

    def _act(self, chance):
        if self.departures.random() < 0.25:
            self._leave(self.departures.randrange(INSTANCES))
        else:
            super()._act(chance)

    def _leave(self, number):
        instance = self.world.get_instance(number)
        if instance.is_dead or self._leaving.get(number) is instance:
            return
        self._leaving[number] = instance
        RandomDeparture(self, number)


class TestRandomDepartures(unittest.TestCase):
    # Guards against TWICE: silence was taken for the end of an instance that had
    # deregistered, by the leader that heard it or by the next one.
    def test_the_leader_counts_every_run_of_an_instance_that_leaves(self):
        seed = os.environ.get("GYPSUMWALK_SEED")
        for number in [int(seed)] if seed else range(SEEDS):
            with self.subTest(seed=number):
                day = DepartureDay(number)
                day.play()
                assert day.world.model.history
                assert day.uncounted == {}
                assert day.list_duplicate_runs() == []


if __name__ == "__main__":
    unittest.main()
