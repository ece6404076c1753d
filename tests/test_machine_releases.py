"""Machines of a pool with late work go to the pool whose turn begins."""

import unittest

from gypsumwalk.machine_releases import ReleasedRun, choose_preempted, plan_releases
from gypsumwalk.part import NEVER
from gypsumwalk.pooling import PoolDemand, PoolMachine, plan_moves, size_pools

MACHINE_CPU = 16_000
NOW = 100.0


def make_busy(service, count, *, runs=4, has_lasting=False):
    return [
        PoolMachine(
            f"{service}-{number}",
            service,
            MACHINE_CPU,
            True,
            NEVER,
            has_lasting=has_lasting,
            run_count=runs + number,
        )
        for number in range(count)
    ]


class TestTurnBehindATurn(unittest.TestCase):
    """A queue's turn begins while all machines do late work of the turn before."""

    def setUp(self):
        self.machines = make_busy("a", 20)
        self.demands = {
            "a": PoolDemand(transient=40 * MACHINE_CPU, deferred=35 * MACHINE_CPU),
            "b": PoolDemand(expected=10 * MACHINE_CPU),
        }

    def test_late_work_does_not_keep_machines_from_a_pool_with_work_on_time(self):
        released = plan_releases(self.machines, self.demands, "off")
        sizes = size_pools(self.machines, self.demands, "off")
        assert sizes["b"].desired == 13
        assert len(released) == 20 - sizes["a"].desired == 13

    def test_without_late_work_no_machine_is_released(self):
        self.demands["a"].deferred = 0
        assert plan_releases(self.machines, self.demands, "off") == set()

    def test_machines_with_few_runs_are_released_first_and_stay_released(self):
        self.demands["b"] = PoolDemand(expected=2 * MACHINE_CPU)
        first = plan_releases(self.machines, self.demands, "off")
        assert first == {"a-0", "a-1", "a-2", "a-3"}
        for item in self.machines:
            item.is_released = item.machine == "a-9"
        assert "a-9" in plan_releases(self.machines, self.demands, "off")

    def test_a_machine_with_lasting_tasks_is_not_released(self):
        machines = make_busy("a", 20, has_lasting=True)
        assert plan_releases(machines, self.demands, "off") == set()

    def test_a_released_machine_moves_as_soon_as_it_is_idle(self):
        self.machines[0].is_released = True
        self.machines[0].idle_since = NOW
        self.machines[1].idle_since = NOW
        moves = plan_moves(self.machines, self.demands, "off", NOW)
        assert [move.machine for move in moves] == ["a-0"]


class TestRoomForLateWork(unittest.TestCase):
    """Late work gets what work on time leaves, so that it is done in the end."""

    def test_late_work_keeps_its_machines_while_no_pool_lacks_any(self):
        machines = make_busy("a", 20) + make_busy("b", 1)
        demands = {
            "a": PoolDemand(transient=40 * MACHINE_CPU, deferred=40 * MACHINE_CPU),
            "b": PoolDemand(),
        }
        assert size_pools(machines, demands, "off")["a"].desired == 20
        assert plan_releases(machines, demands, "off") == set()

    def test_two_pools_with_late_work_share_what_is_left_in_proportion(self):
        machines = make_busy("a", 10) + make_busy("b", 12)
        demands = {
            "a": PoolDemand(transient=30 * MACHINE_CPU, deferred=30 * MACHINE_CPU),
            "b": PoolDemand(transient=10 * MACHINE_CPU, deferred=10 * MACHINE_CPU),
        }
        pools = size_pools(machines, demands, "off")
        assert (pools["a"].desired, pools["b"].desired) == (16, 7)


class TestPreemption(unittest.TestCase):
    """Runs of late jobs hold machines that a pool with work on time lacks."""

    def test_a_late_run_that_has_begun_just_now_is_stopped(self):
        run = ReleasedRun("t", remaining=1.5, unsaved=0.2, is_late=True)
        assert choose_preempted([run]) == [run]

    def test_a_run_whose_job_can_be_on_time_goes_on(self):
        run = ReleasedRun("t", remaining=1.5, unsaved=0.2, is_late=False)
        assert choose_preempted([run]) == []

    def test_a_run_that_throws_away_more_than_is_gained_goes_on(self):
        run = ReleasedRun("t", remaining=0.7, unsaved=1.0, is_late=True)
        assert choose_preempted([run]) == []

    def test_no_run_is_stopped_if_another_one_keeps_the_machine_as_long(self):
        late = ReleasedRun("late", remaining=1.5, unsaved=0.2, is_late=True)
        timely = ReleasedRun("timely", remaining=1.4, unsaved=0.2, is_late=False)
        assert choose_preempted([late, timely]) == []

    def test_a_run_that_ends_soon_is_waited_for(self):
        run = ReleasedRun("t", remaining=0.3, unsaved=0.1, is_late=True)
        assert choose_preempted([run]) == []
