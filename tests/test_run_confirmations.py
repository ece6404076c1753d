"""Tests of the runs that the log records as settled."""

import unittest

import msgspec

from gypsumwalk.declaration_records import Resources
from gypsumwalk.leases import InstanceView, LeaseTable, RunState, RunView
from gypsumwalk.orphaned_runs import LATE_ORDER_SECONDS, OrphanedRuns
from gypsumwalk.run_confirmations import (
    BATCH_SECONDS,
    TRANSIENT_SECONDS,
    RunConfirmations,
)
from gypsumwalk.workload_records import (
    ConfirmRuns,
    Placement,
    PlaceRuns,
    RegisteredInstance,
    TaskKey,
    TaskRecord,
    Workload,
)
from gypsumwalk.workloads import WorkloadSection

JOB = "00000000000000aa"
TASK = TaskKey(JOB, 0, 0, 0)
NEED = Resources(1000, 1000)
CAPACITY = Resources(8000, 8000)


def make_run(**fields):
    fields = {"state": RunState.RUNNING, **fields}
    return RunView(TASK, 1, "i-0@1", NEED, "team", NEED, **fields)


def make_table(run):
    table = LeaseTable()
    registered = RegisteredInstance("i-0", 1, "service", "host:1", "dc", CAPACITY)
    table.instances["i-0@1"] = InstanceView(registered, answered_at=1.0)
    table.add(run)
    return table


class TestRunConfirmations(unittest.TestCase):
    def setUp(self):
        self.orphans = OrphanedRuns(max_lease=10.0, transit=1.3)
        self.confirmations = RunConfirmations(self.orphans)

    def find_settled_at(self, run, *, is_lasting=True, until=60.0):
        """Return the first time at which a run that started at 10 s is confirmed."""
        table = make_table(run)
        self.confirmations.watch(run, 10.0, is_lasting=is_lasting)
        now = 10.0
        while now < until:
            if self.confirmations.take_settled(table, now):
                return now
            now += 0.05
        return None

    def test_a_lasting_run_is_confirmed_with_the_next_batch(self):
        settled_at = self.find_settled_at(make_run())
        assert settled_at <= 10.0 + BATCH_SECONDS + 0.1

    def test_a_transient_run_is_confirmed_if_it_goes_on(self):
        settled_at = self.find_settled_at(make_run(), is_lasting=False)
        assert settled_at >= 10.0 + TRANSIENT_SECONDS

    # A start that was not answered may be carried out for 12 s.
    def test_a_run_with_a_late_start_is_not_confirmed_before_it_is_too_late(self):
        run = make_run(late_start_until=22.0)
        assert self.find_settled_at(run) >= 22.0

    # The start of an earlier leader counts as unanswered.
    def test_a_run_with_an_unanswered_start_is_not_confirmed_before_its_time(self):
        run = make_run(unanswered_starts=1, start_sent_at=10.0)
        assert self.find_settled_at(run) >= 10.0 + LATE_ORDER_SECONDS

    def test_a_run_that_is_unconfirmed_stopped_or_ending_is_not_confirmed(self):
        for fields in (
            {"state": RunState.STARTING},
            {"state": RunState.UNCONFIRMED},
            {"state": RunState.ENDING},
            {"is_stopping": True},
            {"is_order_pending": True},
        ):
            with self.subTest(**fields):
                self.setUp()
                assert self.find_settled_at(make_run(**fields)) is None


class TestSettledRuns(unittest.TestCase):
    def setUp(self):
        self.section = WorkloadSection()
        self.section.jobs[JOB] = Workload(JOB, "queue", "service", "team", "", [])
        self.placement = Placement(TASK, 1, "i-0@1")
        self.apply(PlaceRuns(1, [self.placement]))

    def apply(self, command):
        self.section.apply(command, 1, 1.0)

    def test_a_confirmed_run_is_settled(self):
        assert not self.section.is_settled(self.placement)
        self.apply(ConfirmRuns([self.placement]))
        assert self.section.is_settled(self.placement)

    def test_the_next_run_of_a_task_is_not_settled(self):
        self.apply(ConfirmRuns([self.placement]))
        following = Placement(TASK, 2, "i-1@1")
        self.apply(PlaceRuns(1, [following]))
        assert not self.section.is_settled(following)

    def test_a_confirmation_for_another_life_or_an_unknown_job_is_ignored(self):
        unknown = Placement(TaskKey("00000000000000bb", 0, 0, 0), 1, "i-0@1")
        self.apply(ConfirmRuns([Placement(TASK, 1, "i-0@2"), unknown]))
        assert not self.section.is_settled(self.placement)
        assert not self.section.is_settled(unknown)

    # Logs and snapshots of earlier versions have no such field.
    def test_a_record_without_the_field_is_decoded(self):
        encoded = msgspec.msgpack.encode([1, 0, False, "", {1: "i-0@1"}])
        record = msgspec.msgpack.decode(encoded, type=TaskRecord)
        assert record.settled == 0


if __name__ == "__main__":
    unittest.main()
