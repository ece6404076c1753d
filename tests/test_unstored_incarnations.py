"""Tests of daemons whose incarnation can't be stored after a clock was set back."""

import unittest

from gypsumwalk.events import Event
from tests._clock_world import RESTART_SECONDS, ClockWorld
from tests._fleet_work import make_declaration

STEP_SECONDS = 60.0
SETTLE_SECONDS = 3.0
HEARD_SECONDS = 3.0
VOTE_SECONDS = 12.0
SEEDS = range(8)


class TestUnstoredIncarnations(unittest.TestCase):
    """Guards against two processes with one incarnation (issue 43)."""

    def begin(self, seed):
        self.world = ClockWorld(seed)
        self.world.begin()
        self.world.run(SETTLE_SECONDS)
        leader = self.world.find_leader()
        self.name = next(name for name in self.world.names if name != leader)

    def set_clock_back(self):
        self.world.daemons[self.name].clock_offset -= STEP_SECONDS

    def start_again(self):
        self.world.kill(self.name)
        self.world.run(RESTART_SECONDS)
        self.world.restart(self.name)

    def is_heard(self):
        """Tell whether the leader has heard the current process just now."""
        world = self.world
        if not world.find_leader():
            return False
        now = world.daemons[world.find_leader()].read_clock(world.now)
        leadership = world.get_leader().consensus._leadership
        known = {daemon.name: daemon for daemon in leadership.list_daemons(now)}
        return self.name in known and known[self.name].is_answering

    def follows(self):
        consensus = self.world.assemblies[self.name].consensus
        return consensus.leader == self.world.find_leader() != ""

    def may_vote(self):
        consensus = self.world.assemblies[self.name].consensus
        identity = consensus.replica.identity
        return bool(identity) and consensus.replica.voters.get(self.name) == identity

    def check_incarnations(self):
        used = self.world.incarnations[self.name]
        assert len(used) == len(set(used)), used

    def check_heard(self):
        # What the leader heard of the former process is no longer recent.
        self.world.run(HEARD_SECONDS)
        assert self.is_heard()
        assert self.follows()

    def test_a_second_process_is_heard_while_the_disk_is_full(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.begin(seed)
                self.world.fill_disk(self.name)
                self.set_clock_back()
                for _ in range(4):
                    self.start_again()
                    self.check_heard()
                self.check_incarnations()

    def test_it_votes_once_the_disk_has_room(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.begin(seed)
                self.world.fill_disk(self.name)
                self.set_clock_back()
                for _ in range(2):
                    self.start_again()
                    self.world.run(HEARD_SECONDS)
                self.world.fill_disk(self.name, full=False)
                assert self.world.run_until(self.may_vote, within=VOTE_SECONDS)
                self.check_heard()
                self.check_incarnations()
                self.start_again()
                self.check_heard()
                self.check_incarnations()
                assert self.world.declare(make_declaration(2)).status == 200

    def count(self, event):
        events = [getattr(entry.effect, "event", None) for entry in self.world.trace]
        return events.count(event)

    # A write that hangs may still change the files that a next process reads.
    def test_it_says_so_while_a_write_hangs_and_is_heard_after_it(self):
        refused = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.begin(seed)
                self.world.stall_disk(self.name)
                # A kill ends no write of a full disk.
                self.world.fill_disk(self.name)
                self.set_clock_back()
                for _ in range(2):
                    self.start_again()
                    self.world.run(HEARD_SECONDS)
                self.world.run(2 * HEARD_SECONDS)
                is_refused = bool(self.count(Event.INCARNATION_REFUSED))
                assert self.count(Event.INCARNATION_REFUSED) <= 1
                refused += is_refused
                assert self.is_heard() is not is_refused
                assert not self.count(Event.INCARNATION_OUTDATED)
                self.world.fill_disk(self.name, full=False)
                self.world.resume_disk(self.name)
                self.check_heard()
                assert self.world.run_until(self.may_vote, within=VOTE_SECONDS)
                self.check_incarnations()
        assert 0 < refused < len(SEEDS)


if __name__ == "__main__":
    unittest.main()
