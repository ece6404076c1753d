"""Tests that a leader whose event loop is late sheds optional work first."""

import unittest
from collections import Counter
from unittest.mock import patch

from gypsumwalk.drivers.input_queue import QueuedInput
from gypsumwalk.drivers.loop_monitor import IN_TIME_SECONDS, LoopMonitor
from gypsumwalk.drivers.metrics import Metrics
from gypsumwalk.events import Event
from gypsumwalk.inputs import DiskOutcome, LoopLateness
from gypsumwalk.instance_actions import RenewLease
from gypsumwalk.pass_schedule import BATCH_SECONDS, LATE_BATCH_SECONDS, PassSchedule
from gypsumwalk.task_scheduler import TaskScheduler
from tests._stepped_leader import BEGIN, SteppedLeader

LATE = LoopLateness(0.15)
IN_TIME = LoopLateness(0.0)
JOBS = 100


def count_renewals(leader, since=BEGIN):
    return Counter(
        action.instance
        for at, action in leader.calls
        if isinstance(action, RenewLease) and at >= since
    )


def make_fleet(instances=100, **options):
    leader = SteppedLeader(instances, **options)
    leader.run(4.0)
    return leader


def count_passes(leader):
    """Return the number of passes over jobs that arrive every 5 ms."""
    passes = []
    original = TaskScheduler.plan_runs

    def plan(self, lease_table, now):
        passes.append(now)
        return original(self, lease_table, now)

    with patch.object(TaskScheduler, "plan_runs", plan):
        for number in range(JOBS):
            leader.submit(f"job-{number}", 1, service=number % 5)
            leader.run(0.005)
    return len(passes)


class TestRenewals(unittest.TestCase):
    # A leader that could not keep up called idle instances all the same.
    def test_idle_instances_are_not_called_while_the_loop_is_late(self):
        leader = make_fleet()
        leader.handle(LATE)
        leader.run(1.0)
        leader.calls.clear()
        leader.run(5.0)
        assert count_renewals(leader).total() == 0

    def test_a_lateness_that_is_tolerated_changes_nothing(self):
        leader = make_fleet()
        leader.handle(LoopLateness(0.1))
        leader.calls.clear()
        leader.run(4.0)
        assert min(count_renewals(leader).values()) >= 4

    def test_they_are_called_again_once_it_is_in_time(self):
        leader = make_fleet()
        leader.handle(LATE)
        leader.run(5.0)
        leader.handle(IN_TIME)
        resumed = leader.now
        leader.run(0.1)
        assert len(count_renewals(leader, resumed)) == 100

    def test_a_pause_of_a_large_fleet_does_not_end_in_a_burst(self):
        leader = make_fleet(1200)
        leader.handle(LATE)
        leader.run(5.0)
        leader.handle(IN_TIME)
        resumed = leader.now
        leader.run(1.0)
        assert count_renewals(leader, resumed).total() <= 440
        leader.run(3.0)
        assert len(count_renewals(leader, resumed)) == 1200

    def test_instances_with_runs_are_called_while_it_is_late(self):
        leader = make_fleet(task_seconds=30.0)
        leader.submit("job", 1)
        leader.run(0.1)
        leader.handle(LATE)
        leader.run(1.0)
        leader.calls.clear()
        leader.run(4.0)
        [run] = leader.dispatcher.lease_table.list_runs()
        renewals = count_renewals(leader)
        assert list(renewals) == [run.life.partition("@")[0]]
        assert renewals.total() >= 4

    def test_an_instance_that_gets_a_run_is_called_at_once(self):
        leader = make_fleet(task_seconds=30.0)
        leader.handle(LATE)
        leader.run(3.0)
        leader.calls.clear()
        leader.submit("job", 1)
        leader.run(0.1)
        [run] = leader.dispatcher.lease_table.list_runs()
        assert count_renewals(leader)[run.life.partition("@")[0]] >= 1
        leader.run(20.0)
        assert leader.dispatcher.lease_table.list_runs() == [run]

    def test_an_idle_instance_is_called_every_15_s_while_it_is_late(self):
        leader = make_fleet()
        leader.handle(LATE)
        leader.run(40.0)
        leader.calls.clear()
        leader.run(30.0)
        assert set(count_renewals(leader).values()) <= {1, 2}
        assert len(count_renewals(leader)) == 100

    def test_the_first_read_is_not_delayed(self):
        leader = SteppedLeader(10)
        leader.handle(LATE)
        leader.run(0.1)
        assert len(count_renewals(leader)) == 10

    def test_a_lateness_before_the_term_counts_in_it(self):
        leader = SteppedLeader(10)
        leader.leadership.holds_lease = lambda now: False
        leader.handle(LATE)
        leader.run(1.0)
        leader.leadership.holds_lease = lambda now: True
        leader.run(2.0)
        leader.calls.clear()
        leader.run(3.0)
        assert count_renewals(leader).total() == 0

    def test_the_beginning_and_the_end_of_a_pause_are_recorded(self):
        leader = make_fleet()
        records = []
        carry_out = leader.carry_out

        def keep(effects):
            records.extend(item for item in effects if hasattr(item, "event"))
            carry_out(effects)

        with patch.object(leader, "carry_out", keep):
            leader.handle(LATE)
            leader.run(1.0)
            leader.handle(LoopLateness(0.3))
            leader.run(1.0)
            leader.handle(IN_TIME)
            leader.run(1.0)
        events = [item.event for item in records]
        assert events == [Event.IDLE_RENEWALS_PAUSED, Event.IDLE_RENEWALS_RESUMED]
        assert records[0].attributes == {"idle": 100, "late": 0.15}


class TestPasses(unittest.TestCase):
    # A late leader made a pass for each event, hundreds a second.
    def test_passes_are_batched_for_longer_while_the_loop_is_late(self):
        assert count_passes(make_fleet()) >= JOBS
        late = make_fleet()
        late.handle(LATE)
        assert count_passes(late) <= JOBS * 0.005 / LATE_BATCH_SECONDS + 2

    def test_a_late_request_does_not_postpone_an_earlier_pass(self):
        passes = PassSchedule()
        passes.request(BEGIN, is_late=False)
        passes.request(BEGIN, is_late=True)
        assert passes.due == BEGIN + BATCH_SECONDS
        passes.due = float("inf")
        passes.request(BEGIN, is_late=True)
        assert passes.due == BEGIN + LATE_BATCH_SECONDS


class TestMonitor(unittest.TestCase):
    def setUp(self):
        self.monitor = LoopMonitor(Metrics(), lambda record: None)

    def end_turn(self, at, late):
        queued = QueuedInput(DiskOutcome(1, succeeded=True), at - late)
        self.monitor.count_input(queued, at, at)
        return self.monitor.end_turn(at, 0)

    def test_it_tells_once_that_the_loop_has_become_late(self):
        assert self.end_turn(BEGIN, 0.05) is None
        lateness = self.end_turn(BEGIN + 0.1, 0.2)
        assert abs(lateness - 0.2) < 1e-6
        assert self.end_turn(BEGIN + 0.2, 0.3) is None

    def test_it_tells_that_the_loop_is_in_time_only_after_some_turns(self):
        self.end_turn(BEGIN, 0.2)
        assert self.end_turn(BEGIN + 0.01, 0.0) is None
        assert self.end_turn(BEGIN + 0.1, 0.2) is None
        assert self.end_turn(BEGIN + IN_TIME_SECONDS, 0.0) is None
        assert self.end_turn(BEGIN + 0.1 + IN_TIME_SECONDS + 0.01, 0.0) == 0.0
        assert self.end_turn(BEGIN + 1.0, 0.0) is None


if __name__ == "__main__":
    unittest.main()
