"""Tests of what the clock of a life can show, as known from its answers."""

import heapq
import unittest
from random import Random

from gypsumwalk.answer_origins import AnswerOrigin, find_origin
from gypsumwalk.declaration_records import Resources
from gypsumwalk.effects import Record
from gypsumwalk.events import Event
from gypsumwalk.instance_actions import OrderReport
from gypsumwalk.instance_orders import OpenOrder, OrderKind
from gypsumwalk.leases import InstanceView
from gypsumwalk.life_clocks import ClockReading
from gypsumwalk.workload_records import RegisteredInstance, Step
from tests._fleet_work import FleetWorld
from tests._fleet_work_checks import find_duplicate_runs

BORN = 1796584298625
REGISTERED = RegisteredInstance("i-0", BORN, "s", "host-0:80", "dc", Resources(1, 1))
LONG_POLL_SECONDS = 0.8
LATENCY_SECONDS = 0.002
JOB, OTHER_JOB = "00000000000000aa", "00000000000000bb"


class SteadyClock:
    """Clock of an instance, whose rate changes at random."""

    def __init__(self, random, rates=(0.98, 1.0)):
        self.random = random
        self.rates = rates
        self.at, self.value, self.rate = 100.0, random.uniform(1e3, 9e6), 1.0
        self.rate_until = self.at

    def read(self, at):
        """Return the reading in milliseconds, at times that never decrease."""
        while self.at < at:
            if self.at >= self.rate_until:
                self.rate = self.random.uniform(*self.rates)
                self.rate_until = self.at + self.random.uniform(0.2, 30.0)
            step = min(at, self.rate_until) - self.at
            self.value += step * self.rate * 1000
            self.at += step
        return int(self.value)


class Caller:
    """Calls one life as the leader does, and judges which life has answered."""

    def __init__(self, clock, random):
        self.clock = clock
        self.random = random
        self.view = InstanceView(REGISTERED)
        self.now = 100.0
        self.origins = []
        self._events = []
        self._count = 0

    def call(self, kind, *, wait=0.0, latency=LATENCY_SECONDS):
        order = OpenOrder(kind, REGISTERED.life, self.now, 1, clock=self.view.clock)
        reading_at = self.now + wait + self.random.uniform(0.0, latency)
        arrival = reading_at + self.random.uniform(0.0, latency)
        self._add(reading_at, lambda: self._answer(order, arrival))

    def _answer(self, order, arrival):
        value = self.clock.read(self.now)
        self._add(arrival, lambda: self._receive(order, value))

    def _receive(self, order, value):
        reading = ClockReading(value, order.sent_at, self.now)
        if order.kind is OrderKind.RENEW:
            self.view.update_clock(reading, is_certain=True)
            return
        origin = find_origin(order, OrderReport(value), self.now)
        self.origins.append(origin)
        if origin is AnswerOrigin.SAME_LIFE:
            self.view.update_clock(reading, is_certain=False)

    def _add(self, at, action):
        self._count += 1
        heapq.heappush(self._events, (at, self._count, action))

    def run(self, seconds):
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def measure_window(self):
        """Return the width in seconds of what counts as an answer of this life."""
        clock = self.view.clock
        answered_at = self.now + 2 * LATENCY_SECONDS
        width = clock.find_latest(answered_at) - clock.find_earliest(self.now)
        return width / 1000


def poll(caller, seconds, *, orders_every):
    """Poll for a time in seconds, and send an order at intervals; return the widths.

    The widths in seconds are those at the time of each order.
    """
    widths = []
    end, next_order = caller.now + seconds, caller.now + orders_every
    next_poll = caller.now
    caller.call(OrderKind.RENEW)
    caller.run(0.05)
    while caller.now < end:
        if caller.now >= next_poll:
            caller.call(OrderKind.RENEW, wait=LONG_POLL_SECONDS)
            next_poll = caller.now + LONG_POLL_SECONDS + 0.005
        if caller.now >= next_order:
            widths.append(caller.measure_window())
            caller.call(OrderKind.START)
            next_order = caller.now + orders_every
        caller.run(min(next_poll, next_order, end) - caller.now)
    return widths


class TestWindow(unittest.TestCase):
    # Guards against a next life that is taken for the former one because its clock fits
    # into the 0.8 s or more that a long poll leaves open.
    def test_an_instance_that_gets_orders_has_a_narrow_window(self):
        for orders_every, limit in ((0.5, 0.04), (2.0, 0.07), (10.0, 0.25)):
            for rate in (0.98, 0.99, 1.0):
                with self.subTest(orders_every=orders_every, rate=rate):
                    random = Random(f"{orders_every} {rate}")
                    clock = SteadyClock(random, (rate, rate))
                    widths = poll(
                        Caller(clock, random), 60.0, orders_every=orders_every
                    )
                    assert max(widths) < limit

    def test_without_orders_it_is_as_wide_as_a_poll_at_most(self):
        random = Random(0)
        caller = Caller(SteadyClock(random, (0.98, 0.98)), random)
        poll(caller, 120.0, orders_every=200.0)
        assert caller.measure_window() < LONG_POLL_SECONDS + 0.06


class TestSoundness(unittest.TestCase):
    # Rates change, answers overtake each other, and some arrive late.
    def test_every_answer_of_the_same_life_is_taken_for_one(self):
        for seed in range(60):
            with self.subTest(seed=seed):
                random = Random(seed)
                caller = Caller(SteadyClock(random), random)
                caller.call(OrderKind.RENEW)
                caller.run(0.1)
                for _ in range(300):
                    kind = random.choice([OrderKind.RENEW, OrderKind.START])
                    wait = random.choice([0.0, 0.25, 0.8])
                    caller.call(
                        kind,
                        wait=wait if kind is OrderKind.RENEW else 0.0,
                        latency=random.choice([0.0005, 0.01, 0.3]),
                    )
                    caller.run(random.choice([0.001, 0.1, 1.0, 5.0]))
                caller.run(2.0)
                assert set(caller.origins) == {AnswerOrigin.SAME_LIFE}

    # The clock of a process that was suspended lags behind: a list that names the life
    # puts the bounds right.
    def test_a_clock_that_runs_ahead_is_known_again_after_a_list(self):
        random = Random(0)
        caller = Caller(SteadyClock(random), random)
        poll(caller, 5.0, orders_every=1.0)
        caller.clock.value += 3_000
        caller.origins.clear()
        caller.call(OrderKind.START)
        caller.run(0.1)
        assert caller.origins == [AnswerOrigin.OTHER_LIFE]
        caller.call(OrderKind.RENEW)
        caller.run(0.1)
        caller.origins.clear()
        poll(caller, 5.0, orders_every=0.5)
        assert set(caller.origins) == {AnswerOrigin.SAME_LIFE}


class TestSuspendedLeader(unittest.TestCase):
    # The leader takes the answers to its orders for those of another life at first.
    def test_a_suspended_process_repeats_no_run(self):
        world = FleetWorld(instances=1, task_seconds=4.0)
        world.begin()
        world.submit(JOB, [Step(1, Resources(1000, 1000))])
        world.run(1.0)
        leader = world.find_leader()
        world.pause(leader)
        world.run(0.4)
        # Its clock did not count the pause.
        world.daemons[leader].clock_offset -= 0.4
        world.resume(leader)
        world.submit(OTHER_JOB, [Step(2, Resources(1000, 1000))])
        assert world.await_state(JOB, "completed", within=8.0)
        assert world.await_state(OTHER_JOB, "completed", within=8.0)
        assert find_duplicate_runs(world.model.history) == []
        assert len(world.model.history) == 3
        events = [
            entry.effect.event
            for entry in world.trace
            if isinstance(entry.effect, Record)
        ]
        assert Event.ANSWER_OF_OTHER_LIFE in events
        assert Event.INSTANCE_REMOVED not in events
        assert Event.RUNS_LOST not in events


if __name__ == "__main__":
    unittest.main()
