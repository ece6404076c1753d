"""Tests of pool sizing under bursts: moves between pools and to the standby pool."""

import unittest

from gypsumwalk.pooling import MAX_SUCCESSORS, PoolDemand, PoolMachine, plan_moves

MACHINE_CPU = 32_000
NEVER = float("inf")


def make_pool(service, count, *, idle_since=NEVER, first=0):
    return [
        PoolMachine(f"{service}-{number}", service, MACHINE_CPU, True, idle_since)
        for number in range(first, first + count)
    ]


def count_moves(moves, service):
    return sum(move.service == service for move in moves)


class TestBursts(unittest.TestCase):
    """One queue has a burst, and the others have almost no demand."""

    def test_idle_machines_of_other_pools_move_before_standby_machines(self):
        machines = [
            *make_pool("a", 2),
            *make_pool("b", 4, idle_since=0.0),
            *make_pool("off", 3, idle_since=0.0),
        ]
        demands = {
            "a": PoolDemand(transient=4 * MACHINE_CPU),
            "b": PoolDemand(lasting=MACHINE_CPU),
        }
        moves = plan_moves(machines, demands, "off", 10.0)
        sources = sorted(
            move.machine.partition("-")[0] for move in moves if move.service == "a"
        )
        assert sources == ["b", "b", "off", "off"]

    # The pool with the largest shortage took every machine that was free.
    def test_a_pool_without_room_for_its_lasting_tasks_gets_machines_first(self):
        machines = [
            *make_pool("a", 1),
            *make_pool("b", 1),
            *make_pool("c", 1),
            *make_pool("off", 2, idle_since=0.0),
        ]
        demands = {
            "a": PoolDemand(transient=9 * MACHINE_CPU),
            "b": PoolDemand(lasting=MACHINE_CPU + 1),
            "c": PoolDemand(lasting=1000, min_machines=2),
        }
        moves = plan_moves(machines, demands, "off", 10.0)
        assert [move.service for move in moves] == ["b", "c"]

    def test_a_pool_with_room_for_its_lasting_tasks_comes_after_larger_shortages(self):
        machines = [
            *make_pool("a", 1),
            *make_pool("b", 1),
            *make_pool("off", 1, idle_since=0.0),
        ]
        demands = {
            "a": PoolDemand(transient=9 * MACHINE_CPU),
            "b": PoolDemand(lasting=MACHINE_CPU),
        }
        moves = plan_moves(machines, demands, "off", 10.0)
        assert [move.service for move in moves] == ["a"]

    def test_a_busy_machine_never_moves(self):
        machines = [*make_pool("a", 1), *make_pool("b", 6)]
        demands = {"a": PoolDemand(transient=5 * MACHINE_CPU), "b": PoolDemand()}
        assert plan_moves(machines, demands, "off", 10.0) == []

    def test_machines_move_to_standby_after_the_burst(self):
        machines = make_pool("a", 8, idle_since=0.0)
        moves = plan_moves(
            machines, {"a": PoolDemand(lasting=MACHINE_CPU // 2)}, "off", 10.0
        )
        assert count_moves(moves, "off") == 6

    def test_machines_do_not_move_to_standby_at_once(self):
        machines = make_pool("a", 8, idle_since=9.5)
        assert plan_moves(machines, {"a": PoolDemand()}, "off", 10.0) == []

    def test_a_pool_whose_demand_is_unknown_keeps_its_machines(self):
        machines = make_pool("a", 8, idle_since=0.0)
        demands = {"a": PoolDemand(can_shrink=False)}
        assert plan_moves(machines, demands, "off", 10.0) == []

    def test_spread_tasks_keep_as_many_machines_as_they_need(self):
        machines = make_pool("a", 8, idle_since=0.0)
        demands = {"a": PoolDemand(lasting=MACHINE_CPU // 4, min_machines=5)}
        moves = plan_moves(machines, demands, "off", 10.0)
        assert count_moves(moves, "off") == 2

    def test_an_expected_burst_moves_machines_before_tasks_wait(self):
        machines = [*make_pool("a", 1), *make_pool("off", 4, idle_since=0.0)]
        demands = {"a": PoolDemand(expected=3 * MACHINE_CPU)}
        assert count_moves(plan_moves(machines, demands, "off", 1.0), "a") == 4


class TestWaves(unittest.TestCase):
    """Machines of a pool without a burst are due, and their lasting tasks have to move.

    A pool that had shrunk to what its lasting tasks need had no machine to move them
    to, so that its wave ended late.
    """

    def make_machines(self, *, due):
        pool = make_pool("a", 9)
        for machine in pool[:due]:
            machine.must_pass_on = True
        return [*pool, *make_pool("off", 6, idle_since=0.0)]

    def test_the_pool_gets_a_machine_for_each_that_has_to_pass_on_its_tasks(self):
        demands = {"a": PoolDemand(lasting=MACHINE_CPU, min_machines=8)}
        for due in (0, 2, 4):
            moves = plan_moves(self.make_machines(due=due), demands, "off", 10.0)
            with self.subTest(due=due):
                assert count_moves(moves, "a") == due

    # The pool with the burst needs them more than the wave, which has time.
    def test_it_gets_a_few_of_them_at_a_time(self):
        demands = {"a": PoolDemand(lasting=MACHINE_CPU, min_machines=8)}
        moves = plan_moves(self.make_machines(due=9), demands, "off", 10.0)
        assert count_moves(moves, "a") == MAX_SUCCESSORS

    def test_a_burst_in_another_pool_comes_first(self):
        machines = [*self.make_machines(due=4), *make_pool("b", 1)]
        demands = {
            "a": PoolDemand(lasting=MACHINE_CPU, min_machines=8),
            "b": PoolDemand(transient=20 * MACHINE_CPU),
        }
        moves = plan_moves(machines, demands, "off", 10.0)
        assert [move.service for move in moves] == ["b"] * 6

    def test_the_machines_go_once_the_tasks_have_moved(self):
        machines = make_pool("a", 5) + make_pool("a", 3, idle_since=0.0, first=5)
        demands = {"a": PoolDemand(lasting=MACHINE_CPU, min_machines=4)}
        moves = plan_moves(machines, demands, "off", 10.0)
        assert count_moves(moves, "off") == 3


if __name__ == "__main__":
    unittest.main()
