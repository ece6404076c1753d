"""Tests of the time between two holders of a machine after a start from a snapshot."""

import unittest
from itertools import pairwise
from unittest.mock import patch

from gypsumwalk import replica
from gypsumwalk.instance_actions import MaintainMachine
from tests._fleet_work import FleetWorld

HOLDER_SECONDS = 3.0
"""Time that the platform asks for between two holders of a machine."""

SEEDS = range(1, 7)


class TestHoldersAfterSnapshots(unittest.TestCase):
    """Guards against a start that forgets who ordered a machine last (issue 43).

    The holder is known from commands that are applied after a start. A snapshot holds
    neither the holder nor the time of the order.
    """

    def begin(self, seed):
        self.enterContext(patch.object(replica, "SNAPSHOT_ENTRIES", 0))
        self.world = FleetWorld(seed, instances=2)
        self.world.begin()
        self.orders = []
        call = self.world.model.call

        def record(effect, now):
            if isinstance(effect.action, MaintainMachine):
                self.orders.append((self.world.now, effect.action.holder))
            return call(effect, now)

        self.enterContext(patch.object(self.world.model, "call", record))

    def is_completed(self, wave):
        leader = self.world.find_leader()
        if not leader:
            return False
        state = self.world.assemblies[leader].consensus.replica.state
        return state._sections["upkeep"].is_completed(wave)

    def order_in_two_waves(self, change_leader):
        """Let a leader order a machine, and another one right after it."""
        self.world.start_wave(1, ["m-0"])
        assert self.world.run_until(lambda: self.is_completed(1), within=10.0)
        self.world.run(0.05)
        first = self.world.find_leader()
        change_leader(first)
        assert self.world.run_until(
            lambda: self.world.find_leader() not in ("", first), within=5.0
        )
        self.world.start_wave(2, ["m-0"])
        assert self.world.run_until(lambda: self.is_completed(2), within=15.0)

    def check_waits(self):
        waits = [
            later - earlier
            for (earlier, former), (later, holder) in pairwise(self.orders)
            if holder != former
        ]
        assert waits, "no order of another holder"
        assert min(waits) >= HOLDER_SECONDS, waits

    def restart_followers(self, leader):
        for name in self.world.names:
            if name != leader:
                self.world.restart(name)
        self.world.run(0.3)
        self.world.kill(leader)

    def cut_power_of_all(self, leader):
        for name in self.world.names:
            self.world.cut_power(name)
        for name in self.world.names:
            if name != leader:
                self.world.restart(name)

    def test_the_other_voters_started_again_before_the_leader_ended(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.begin(seed)
                self.order_in_two_waves(self.restart_followers)
                self.check_waits()

    def test_all_lost_power_and_the_leader_its_disk(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.begin(seed)
                self.order_in_two_waves(self.cut_power_of_all)
                self.check_waits()


if __name__ == "__main__":
    unittest.main()
