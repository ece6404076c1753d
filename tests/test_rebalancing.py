"""Tests of the rebalancing policy and of moves between pools."""

import unittest
from unittest import mock

from gypsumwalk import rebalancing
from gypsumwalk.folder import PoolTable
from gypsumwalk.job_calls import SubmitJobCall
from gypsumwalk.rebalancing import PoolLoad, RebalancingPolicy
from tests._fleet import FleetWorld, make_folder
from tests._fleet_checks import Sampler, check_all


def make_load(name, *, spare=False, members=4, incoming=0, movable=1, demand=0.0):
    declared = 4
    return PoolLoad(name, spare, members, members, incoming, declared, movable, demand)


class TestRebalancingPolicy(unittest.TestCase):
    def choose(self, loads, seconds, policy=None):
        policy = policy or RebalancingPolicy()
        moves = []
        for now in range(0, seconds, 2):
            moves += policy.choose_moves(loads, float(now))
        return moves

    def test_spare_pool_gives_instances_first(self):
        loads = [
            make_load("a", demand=6.0),
            make_load("b"),
            make_load("s", spare=True, movable=2),
        ]
        moves = RebalancingPolicy().choose_moves(loads, 0.0)
        assert moves == []
        policy = RebalancingPolicy()
        policy.choose_moves(loads, 0.0)
        moves = policy.choose_moves(loads, 4.0)
        assert [(move.source, move.destination) for move in moves] == [("s", "a")] * 2

    def test_short_spike_moves_nothing(self):
        policy = RebalancingPolicy()
        spare = make_load("s", spare=True)
        moves = policy.choose_moves([make_load("a", demand=9.0), spare], 0.0)
        moves += policy.choose_moves([make_load("a", demand=1.0), spare], 2.0)
        moves += policy.choose_moves([make_load("a", demand=9.0), spare], 4.0)
        assert moves == []

    def test_busy_pool_gives_no_instances(self):
        loads = [make_load("a", demand=6.0), make_load("b", demand=4.0)]
        assert self.choose(loads, 1000) == []

    def test_surplus_returns_to_the_spare_pool_after_a_delay(self):
        loads = [make_load("a", demand=1.0), make_load("s", spare=True)]
        assert self.choose(loads, int(rebalancing.SURPLUS_SECONDS)) == []
        moves = self.choose(loads, int(rebalancing.SURPLUS_SECONDS) + 10)
        assert [(move.source, move.destination) for move in moves] == [("a", "s")]

    def test_hysteresis_test_fails_without_a_delay(self):
        with mock.patch.object(rebalancing, "SURPLUS_SECONDS", 0.0):
            loads = [make_load("a", demand=1.0), make_load("s", spare=True)]
            assert self.choose(loads, 100) != []

    def test_losses_raise_the_required_size(self):
        policy = RebalancingPolicy()
        baseline = policy.compute_required_size(make_load("a", demand=2.0), 0.0)
        for number in range(3):
            policy.record_loss("a", 100.0 * number)
        assert (
            policy.compute_required_size(make_load("a", demand=2.0), 600.0)
            == baseline + 3
        )


class TestMovesUnderLoad(unittest.TestCase):
    def test_spike_is_served_from_the_spare_pool_and_budgets_hold(self):
        folder = make_folder(pools=3, instances=4, per_rack=2, limit=200)
        for name in folder.pools:
            folder.pools[name] = PoolTable(max_unavailable=2, min_instances=2)
        folder.pools["p2"] = PoolTable(max_unavailable=2, spare=True)
        world = FleetWorld(folder)
        world.settle()
        sampler = Sampler(world)
        for number in range(24):
            call = SubmitJobCall(
                job_id=f"j{number}", queue="p0", command="run 30", processors=16.0
            )
            world.call(call, credential="red")
        world.run(20.0)
        assert len(world.leader.pools.list_members("p0")) == 6
        assert len(world.leader.pools.list_members("p1")) == 4
        world.run(2000.0)
        assert len(world.leader.pools.list_members("p2")) >= 4
        assert len(world.leader.pools.list_members("p0")) >= 2
        check_all(world, sampler)


if __name__ == "__main__":
    unittest.main()
