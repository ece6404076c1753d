"""Tests with seeded schedules of disk outages, and of faults that the checks detect.

``GYPSUMWALK_SCHEDULES`` sets the number of seeds; a seed runs alone with
``GYPSUMWALK_SEED``.
"""

import os
import unittest
from contextlib import ExitStack
from random import Random
from unittest import mock

import msgspec

from gypsumwalk.effects import AppendRecords, WriteFile
from gypsumwalk.errors import CorruptRecord
from gypsumwalk.events import Event
from gypsumwalk.replica import Replica, name_log_file
from gypsumwalk.storage import DiskState, Storage
from tests._checked_cluster import CheckedCluster

SEEDS = int(os.environ.get("GYPSUMWALK_SCHEDULES", "16"))
ROUNDS = 3
COMMIT_SECONDS = 6.0
"""Time in which a command is committed while no more disks are lost than allowed."""

RETURN_SECONDS = 4.0
RECOVERY_SECONDS = 12.0
"""Time after which commands are committed again once too many disks were lost."""

MAX_FAILED_WRITES_PER_SECOND = 4
SMALL_SIZES = {"replica.SNAPSHOT_ENTRIES": 25, "replica.KEPT_ENTRIES": 5}
"""Reduced sizes, so that snapshots fall into outages."""


class Schedule:
    """Outages of disks with kills and losses of power, drawn from a seed."""

    def __init__(self, seed):
        self.random = Random(f"disks {seed}")
        self.cluster = CheckedCluster(seed, self.random.choice([3, 5]))
        self.tolerated = len(self.cluster.voters) // 2
        self.seconds = 0.0

    def run(self):
        self.cluster.elect()
        self.cluster.run_checked(1.0)
        for _ in range(ROUNDS):
            rounds = (self.lose_in_turn, self.lose_together, self.lose_all)
            self.random.choice(rounds)()
            self.recover()
        self.check_tries()

    def lose_in_turn(self):
        """Disks fail one after the other, each once the last counts as back."""
        for _ in range(self.random.randint(2, 3)):
            name = self.random.choice(self.cluster.voters)
            seconds = self.random.uniform(0.3, 4.0)
            self.begin_outage(name, seconds)
            self.work(seconds / 2)
            self.cluster.commit(within=COMMIT_SECONDS)
            self.end_outage(name)
            self.work(RETURN_SECONDS)

    def lose_together(self):
        """As many disks as may be lost fail at times that overlap."""
        names = self.random.sample(self.cluster.voters, self.tolerated)
        for name in names:
            self.begin_outage(name, 3.0)
            self.work(self.random.uniform(0.0, 1.0))
        self.cluster.commit(within=COMMIT_SECONDS)
        for name in self.random.sample(names, len(names)):
            self.work(self.random.uniform(0.0, 1.0))
            self.end_outage(name)

    def lose_all(self):
        """More disks fail than may be lost; no content of a disk is lost."""
        for name in self.cluster.voters:
            if self.random.random() < 0.8:
                self.begin_outage(name, 3.0)
            self.work(self.random.uniform(0.0, 0.5))
        if self.random.random() < 0.5:
            for name in self.cluster.voters:
                self.cluster.cut_power(name)
                self.cluster.restart_later(name, self.random.uniform(0.3, 1.0))
        self.work(self.random.uniform(0.5, 3.0))

    def begin_outage(self, name, seconds):
        """Let a disk fail; within some seconds its process may end."""
        disk = self.cluster.daemons[name].disk
        disk.write_seconds = self.random.choice([0.0005, 0.02, 0.1])
        if self.random.random() < 0.75:
            self.cluster.fill_disk(name)
            if self.random.random() < 0.3:
                flicker = self.random.uniform(0.1, 1.0)
                self.cluster.schedule(flicker, lambda: self.flicker(name))
        else:
            self.cluster.stall_disk(name)
        if self.random.random() < 0.5:
            delay = self.random.uniform(0.0, seconds)
            end = self.random.choice([self.cluster.kill, self.cluster.cut_power])
            self.cluster.schedule(delay, lambda: self.end_process(name, end))

    def end_process(self, name, end):
        end(name)
        self.cluster.restart_later(name, self.random.uniform(0.2, 1.0))

    def flicker(self, name):
        """Let a full disk take a few writes, and be full again."""
        if not self.cluster.daemons[name].disk.full:
            return
        self.cluster.fill_disk(name, full=False)
        delay = self.random.uniform(0.001, 0.1)
        self.cluster.schedule(delay, lambda: self.cluster.fill_disk(name))

    def end_outage(self, name):
        self.cluster.fill_disk(name, full=False)
        self.cluster.daemons[name].disk.write_seconds = 0.0005
        self.cluster.resume_disk(name)

    def work(self, seconds):
        """Run with commands from any daemons."""
        end = self.cluster.now + seconds
        self.seconds += seconds
        while self.cluster.now < end:
            name = self.random.choice([*self.cluster.voters, "f0"])
            if self.cluster.daemons[name].alive:
                self.cluster.put(name)
            pause = self.random.uniform(0.02, 0.3)
            self.cluster.run_checked(min(pause, end - self.cluster.now))

    def recover(self):
        self.work(1.2)  # Processes that ended are back.
        for name in self.cluster.voters:
            self.end_outage(name)
        self.work(0.2)  # So are disks that flicker.
        for name in self.cluster.voters:
            self.end_outage(name)
        self.cluster.run_checked(RETURN_SECONDS)
        assert all(self.cluster.get_identities()), "a disk does not vote again"
        self.cluster.commit(within=RECOVERY_SECONDS - RETURN_SECONDS)
        self.cluster.run_checked(6.0)  # Until the last proposals have timed out.
        first, *others = self.cluster.get_lists().values()
        assert all(items == first for items in others), "states differ"

    def check_tries(self):
        for name in self.cluster.voters:
            failed = self.cluster.daemons[name].disk.failed_writes
            limit = MAX_FAILED_WRITES_PER_SECOND * (self.seconds + 1)
            assert failed <= limit, f"{name} failed to write {failed} times"


def run_schedule(seed):
    with ExitStack() as stack:
        for name, value in SMALL_SIZES.items():
            stack.enter_context(mock.patch(f"gypsumwalk.{name}", value))
        Schedule(seed).run()


def list_seeds():
    seed = os.environ.get("GYPSUMWALK_SEED")
    return range(SEEDS) if seed is None else [int(seed)]


class TestSchedules(unittest.TestCase):
    """Guards against votes lost for good and acknowledged commands lost (issue 40)."""

    def test_disks_that_fail_for_a_time_cost_nothing_acknowledged(self):
        for seed in list_seeds():
            with self.subTest(seed=seed):
                run_schedule(seed)


def lose_power_in_the_rewrite():
    """A voter loses power as it writes its state anew, after a command was committed.

    The other voters are the leader, which is lost as well, and one that never received
    the command.
    """
    cluster = CheckedCluster(1, voters=3)
    leader = cluster.elect()
    returning, lacking = [name for name in cluster.voters if name != leader]
    cluster.run_checked(1.0)
    cluster.fill_disk(returning)
    cluster.put(leader)
    cluster.run_checked(2.0)
    cluster.partition([lacking])
    cluster.daemons[returning].disk.write_seconds = 0.5
    cluster.fill_disk(returning, full=False)
    cluster.run_checked(1.0)
    cluster.put(leader)
    cluster.run_checked(0.2)
    cluster.cut_power(returning)
    cluster.kill(leader)
    cluster.heal()
    cluster.daemons[returning].disk.write_seconds = 0.0005
    cluster.restart(returning)
    cluster.run_checked(1.0)
    cluster.commit(within=RECOVERY_SECONDS)


def vote_again_after_a_rewrite():
    """A voter votes, its disk fails and works again, it loses power and is asked again.

    The first candidate is elected by its vote and cut off, the second one has not heard
    of that term.
    """
    cluster = CheckedCluster(4, voters=3)
    cluster.elect()
    cluster.run_checked(1.0)
    old_leader = cluster.find_leader()
    others = [name for name in cluster.voters if name != old_leader]
    cluster.partition([old_leader])
    assert cluster.run_until(
        lambda: any(
            entry.node in others for entry in cluster.list_events(Event.LEADER_ELECTED)
        ),
        within=10.0,
    )
    elected = cluster.list_events(Event.LEADER_ELECTED)[-1].node
    (voter,) = set(others) - {elected}
    cluster.partition([elected])
    cluster.fill_disk(voter)
    cluster.daemons[voter].node.consensus.replica.save_vote()
    cluster.run_checked(3.0)
    cluster.fill_disk(voter, full=False)
    cluster.run_checked(RETURN_SECONDS)
    cluster.cut_power(voter)
    cluster.restart(voter)
    cluster.network.partitions = [
        item for item in cluster.network.partitions if elected in item.sources
    ]
    cluster.run_checked(6.0)


class TestDeliberateFaults(unittest.TestCase):
    """Each fault turns a check red; without it the same run passes."""

    def find_failure(self, run, *patches):
        try:
            with ExitStack() as stack:
                for patch in patches:
                    stack.enter_context(patch)
                run()
        except (AssertionError, CorruptRecord) as error:
            return str(error)
        return ""

    def test_the_runs_pass_without_a_fault(self):
        lose_power_in_the_rewrite()
        vote_again_after_a_rewrite()

    def test_a_file_that_is_written_on_after_a_failed_sync_is_detected(self):
        fail = Storage._fail

        def remember(storage, now):
            if storage._state is DiskState.WORKING:
                storage.kept = storage.durable
            fail(storage, now)

        def append_to_the_same_file(replica, now):
            last_index = replica.log.last_index
            kept = min(getattr(replica.storage, "kept", last_index), last_index)
            records = [msgspec.msgpack.encode(item) for item in replica.log.tail(kept)]
            file = name_log_file(replica._log_file)
            operations = [replica._encode_vote(), AppendRecords(file, tuple(records))]
            return replica.storage.begin_rewrite(operations, last_index, now)

        patches = [
            mock.patch.object(Storage, "_fail", remember),
            mock.patch.object(Replica, "rewrite", append_to_the_same_file),
        ]
        failures = [
            self.find_failure(lambda seed=seed: run_schedule(seed), *patches)
            for seed in range(6)
        ]
        assert any("dropped" in failure for failure in failures), failures

    def test_an_answer_before_the_rewrite_is_synced_is_detected(self):
        begin_rewrite, stage = Storage.begin_rewrite, Storage.stage
        defer = Storage.defer_until_synced

        def count_as_written(storage, operations, durable_index, now):
            effects = begin_rewrite(storage, operations, durable_index, now)
            storage._state = DiskState.WORKING
            storage.durable = durable_index
            storage.early = storage._in_flight
            return effects

        def is_early(storage):
            early = getattr(storage, "early", None)
            return early is not None and storage._in_flight is early

        def stage_early(storage, *operations, durable_index=0):
            stage(storage, *operations, durable_index=durable_index)
            if is_early(storage):
                storage.durable = max(storage.durable, durable_index)

        def send_early(storage, effects):
            return list(effects) if is_early(storage) else defer(storage, effects)

        failure = self.find_failure(
            lose_power_in_the_rewrite,
            mock.patch.object(Storage, "begin_rewrite", count_as_written),
            mock.patch.object(Storage, "defer_until_synced", send_early),
            mock.patch.object(Storage, "stage", stage_early),
        )
        assert "lost" in failure or "differs" in failure, failure

    def test_an_old_vote_that_is_written_back_is_detected(self):
        rewrite = Replica.rewrite

        def write_old_vote(replica, now):
            vote = msgspec.structs.replace(
                replica.vote, term=replica.vote.term - 1, voted_for=""
            )
            old = WriteFile("vote", msgspec.msgpack.encode(vote))
            with mock.patch.object(Replica, "_encode_vote", lambda _: old):
                return rewrite(replica, now)

        failure = self.find_failure(
            vote_again_after_a_rewrite,
            mock.patch.object(Replica, "rewrite", write_old_vote),
        )
        assert "two leaders in term" in failure, failure


if __name__ == "__main__":
    unittest.main()
