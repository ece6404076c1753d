"""Tests of random fault schedules, and that each check detects a deliberate fault."""

import unittest
from unittest import mock

from hypothesis.stateful import run_state_machine_as_test

from gypsumwalk.consensus import Consensus
from gypsumwalk.elections import Elections
from gypsumwalk.follower import Follower
from gypsumwalk.keys import KeyPart
from gypsumwalk.leadership import Leadership
from gypsumwalk.quota_portions import PortionGranted, PortionSection
from gypsumwalk.replica import Replica
from gypsumwalk.sessions import DuplicateCheck, Sessions
from gypsumwalk.storage import Storage
from tests._faults import SCHEDULES, FaultMachine, make_settings

SEEDS = range(30)
FOLLOWER = 5
STALE_VOTER = 4


def elect_over_slow_network(machine):
    machine.cluster.network.delay = 0.25
    for _ in range(3):
        machine.kill_leader(duration=2.5)
        machine.run_for(2.5)
        machine.restart_all(duration=2.5)


def partition_leader(machine):
    machine.partition_leader(duration=2.5)
    machine.run_for(2.5)


def elect_after_a_voter_fell_behind(machine):
    machine.kill(number=STALE_VOTER, duration=0.05)
    machine.put(number=0, repeats=5)
    machine.run_for(1.0)
    machine.kill_leader(duration=0.05)
    machine.restart(number=STALE_VOTER, duration=2.5)
    machine.run_for(2.5)
    machine.put(number=STALE_VOTER, repeats=3)
    machine.run_for(2.5)


def cut_power_with_slow_disks(machine):
    machine.slow_disks(write=0.3)
    for _ in range(3):
        machine.cut_power(delay=0.05)


def repeat_commands_without_answers(machine):
    for number in range(5):
        machine.put_with_one_way_partition(number=number)


def restart_after_changes(machine):
    for _ in range(3):
        machine.apply_and_restart(number=FOLLOWER)


def acquire_everywhere(machine):
    for number in range(6):
        machine.acquire(number=number, units=2)


def withdraw_while_cut_off(machine):
    machine.cluster.partition(["f0"])
    machine.withdraw_key(number=0)
    machine.run_for(5.0)


def heal_after_two_leaders(machine):
    for number in range(3):
        machine.partition_leader(duration=0.05)
        for name in range(5):
            machine.put(number=name, repeats=3)
        machine.run_for(2.5)
        machine.put(number=number, repeats=3)
        machine.heal(duration=1.0)


class TestFaults(unittest.TestCase):
    def test_promises_hold_over_random_fault_schedules(self):
        run_state_machine_as_test(FaultMachine, settings=make_settings(SCHEDULES))


class TestChecksCanFail(unittest.TestCase):
    """Each deliberate fault makes the check of its promise fail."""

    def run_mutated(self, schedule, *patches):
        """Return the message of the first check that fails under the patches."""
        for patch in patches:
            patch.start()
            self.addCleanup(patch.stop)
        for seed in SEEDS:
            if message := self.run_one(schedule, seed):
                return message
        return "no check failed"

    def run_one(self, schedule, seed):
        machine = FaultMachine()
        try:
            machine.begin(seed=seed, focus="log")
            schedule(machine)
        except AssertionError as error:
            return str(error)
        finally:
            machine.stop()
        return ""

    def test_voting_twice_breaks_election_safety(self):
        def grant(elections, source, body):
            return body.term >= elections._replica.vote.term

        message = self.run_mutated(
            elect_over_slow_network,
            mock.patch.object(Elections, "_grant_vote", grant),
            mock.patch.object(Consensus, "_has_leader_contact", lambda *_: False),
        )
        assert "two leaders in term" in message or "leases" in message, message

    def test_lease_that_outlives_its_quorum_breaks_election_safety(self):
        message = self.run_mutated(
            partition_leader,
            mock.patch.object(
                Leadership, "holds_lease", lambda self, now: bool(self.known_commit)
            ),
        )
        assert "leases at the same time" in message, message

    def test_skipping_the_comparison_of_entries_breaks_log_matching(self):
        message = self.run_mutated(
            elect_after_a_voter_fell_behind,
            mock.patch.object(Elections, "_is_up_to_date", lambda *_: True),
            mock.patch.object(Consensus, "_has_leader_contact", lambda *_: False),
        )
        assert "differs on" in message, message

    def test_acknowledging_before_the_sync_loses_commands(self):
        def stage(storage, *operations, durable_index=0):
            storage.durable = max(storage.durable, durable_index)
            if storage.enabled:
                storage._staged.operations += operations

        message = self.run_mutated(
            cut_power_with_slow_disks,
            mock.patch.object(Storage, "stage", stage),
            mock.patch.object(
                Storage, "defer_until_synced", lambda _, effects: list(effects)
            ),
        )
        assert "lost" in message or "differs" in message, message

    def test_forgetting_sessions_applies_twice(self):
        message = self.run_mutated(
            repeat_commands_without_answers,
            mock.patch.object(Sessions, "check", lambda *_: DuplicateCheck(True)),
            mock.patch("gypsumwalk.leadership.MAX_UNCOMMITTED_ENTRIES", 10**9),
        )
        assert "applied twice" in message, message

    def test_serving_before_the_apply_barrier_steps_a_generation_back(self):
        original = Replica.apply_committed

        def apply_at_once(replica):
            replica.apply_barrier = 0
            return original(replica)

        message = self.run_mutated(
            restart_after_changes,
            mock.patch.object(Replica, "apply_committed", apply_at_once),
        )
        assert "went back to" in message, message

    def test_granting_beyond_the_limit_exceeds_it(self):
        original = PortionSection._grant

        def grant(section, command, at):
            granted = original(section, command, at)
            if granted.units:
                return granted
            with mock.patch.object(section, "count_allocated", lambda _: 0):
                original(section, command, at)
            return PortionGranted(command.units)

        message = self.run_mutated(
            acquire_everywhere, mock.patch.object(PortionSection, "_grant", grant)
        )
        assert "units granted" in message or "in use" in message, message

    def test_using_a_stale_view_accepts_a_withdrawn_key(self):
        message = self.run_mutated(
            withdraw_while_cut_off,
            mock.patch.object(KeyPart, "is_fresh", lambda *_: True),
        )
        assert "valid on" in message, message

    def test_trusting_any_mismatch_breaks_log_matching(self):
        message = self.run_mutated(
            heal_after_two_leaders,
            mock.patch.object(Follower, "_find_mismatch", lambda *_: None),
        )
        assert "differs" in message or "lost" in message, message


if __name__ == "__main__":
    unittest.main()
