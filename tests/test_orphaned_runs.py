"""Tests of until when the next life of an instance may have a run."""

import unittest

from gypsumwalk.answer_origins import find_origin
from gypsumwalk.declaration_records import Resources
from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.instance_actions import OrderReport
from gypsumwalk.instance_orders import OpenOrder, OrderKind
from gypsumwalk.leases import InstanceView, LeaseTable, RunState, RunView
from gypsumwalk.life_clocks import ClockBounds, ClockReading
from gypsumwalk.order_delivery import note_start_outcome
from gypsumwalk.orphaned_runs import OrphanedRuns, note_lease
from gypsumwalk.workload_records import RegisteredInstance, TaskKey

TASK = TaskKey("00000000000000aa", 0, 0, 0)
NEED = Resources(1000, 1000)
CAPACITY = Resources(8000, 8000)
STARTED = 100.0
READING = ClockReading(500_000, STARTED - 1.0, STARTED)
CLOCK = ClockBounds(READING, READING)
LIFETIME = 1.3 + 10.0 / 0.98


def make_view(born, **fields):
    registered = RegisteredInstance("i-0", born, "service", "host:1", "dc", CAPACITY)
    return InstanceView(registered, **fields)


class TestOrphanedRuns(unittest.TestCase):
    def setUp(self):
        self.orphans = OrphanedRuns(max_lease=10.0, transit=1.3)
        self.table = LeaseTable()
        self.run_view = RunView(
            TASK,
            1,
            "i-0@1",
            NEED,
            "team",
            NEED,
            RunState.STARTING,
            unanswered_starts=1,
            start_sent_at=STARTED,
        )

    def end_life(self, *, lease_sent_at):
        self.table.instances["i-0@1"] = make_view(1, lease_sent_at=lease_sent_at)
        self.table.add(self.run_view)
        runs = note_lease(self.table.instances["i-0@1"])
        del self.table.instances["i-0@1"]
        certain, kept = self.orphans.separate(runs, STARTED + 2.0)
        assert (certain, kept) == ([], [self.run_view])

    def find_released_at(self):
        now = STARTED
        while not self.orphans.take_ended(self.table, now):
            now += 0.05
        return now

    def test_a_run_is_kept_for_the_longest_lease_after_its_start(self):
        self.end_life(lease_sent_at=STARTED)
        assert STARTED + LIFETIME <= self.find_released_at() <= STARTED + LIFETIME + 0.1

    # Guards against TWICE: the start of another run, 1.7 s later, reached the next
    # life as well and extended the lease of all its runs.
    def test_an_order_for_another_run_extends_the_time_for_which_a_run_is_kept(self):
        self.end_life(lease_sent_at=STARTED + 1.7)
        assert self.find_released_at() >= STARTED + 1.7 + LIFETIME

    # Guards against TWICE: the instance came back, answered the start, and was cut off
    # before anyone heard of it.
    def test_a_run_that_another_life_answered_is_kept(self):
        order = OpenOrder(
            OrderKind.START,
            "i-0@1",
            STARTED,
            1,
            self.run_view,
            CLOCK,
        )
        outcome = PlatformOutcome("token", succeeded=True, report=OrderReport(1_000))
        origin = find_origin(order, outcome.report, STARTED + 0.6)
        note_start_outcome(order, self.run_view, outcome, origin)
        self.end_life(lease_sent_at=STARTED)
        assert self.find_released_at() >= STARTED + LIFETIME

    def test_an_adopted_run_keeps_nothing_of_the_former_life(self):
        self.run_view.started_clock = 500_000
        self.end_life(lease_sent_at=STARTED)
        following = make_view(2)
        self.table.instances["i-0@2"] = following
        self.orphans.adopt(self.table, lambda _: following.registered)
        assert not self.run_view.started_clock

    def test_a_next_life_that_falls_silent_counts_with_the_lease_of_the_former(self):
        self.end_life(lease_sent_at=STARTED + 1.7)
        following = make_view(2)
        self.table.instances["i-0@2"] = following
        adopted = self.orphans.adopt(self.table, lambda _: following.registered)
        assert adopted == [self.run_view]
        assert following.min_lease_expiry >= STARTED + 1.7 + LIFETIME


if __name__ == "__main__":
    unittest.main()
