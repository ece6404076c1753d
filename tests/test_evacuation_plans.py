"""Tests of the plans by which lasting tasks leave an evacuated data centre."""

import unittest

import msgspec

from gypsumwalk.advice import AdviceCache
from gypsumwalk.declaration_records import Resources
from gypsumwalk.leases import RunState
from gypsumwalk.task_scheduler import TaskScheduler
from gypsumwalk.workload_records import Step
from tests._scheduling import NOW, Fleet, make_instance, make_job

NEED = Resources(20000, 1000)
SMALL = Resources(1000, 100)
ELSEWHERE = "elsewhere"


class PlanTest(unittest.TestCase):
    """Instances in data centre ``dc``, which is to be evacuated, and elsewhere."""

    def setUp(self):
        self.fleet, self.evacuated = Fleet(), set()
        self.fleet.scheduler = TaskScheduler(
            self.fleet.declarations,
            self.fleet.workloads,
            AdviceCache(),
            self.evacuated,
        )

    def add(self, *numbers, data_centre="dc", capacity=NEED):
        for number in numbers:
            instance = msgspec.structs.replace(
                make_instance(number), data_centre=data_centre, capacity=capacity
            )
            self.fleet.add_instance(instance)
            self.fleet.table.instances[instance.life].evacuated = self.evacuated

    def run_job(self, name, step):
        """Return the runs of a job that starts at once."""
        self.fleet.submit(make_job(name, steps=[step]))
        runs = [item.run for item in self.fleet.plan()]
        assert len(runs) == step.count
        for run in runs:
            run.state, run.first_listed_at = RunState.RUNNING, NOW
        return runs

    def plan_moves(self):
        return self.fleet.scheduler.plan_moves(self.fleet.table, NOW)


class TestRoom(PlanTest):
    # Guards against a gang that never leaves, as the instances that it found room on
    # are not kept for it: the attempt counted its tasks on them.
    def test_a_spread_gang_without_enough_room_keeps_what_it_found(self):
        self.add(3, data_centre=ELSEWHERE)
        (passing,) = self.run_job("a-passing", Step(1, SMALL))
        self.add(0, 1)
        gang = Step(
            2, NEED, lasting=True, gang=True, max_unavailable=2, max_per_instance=1
        )
        self.run_job("b-gang", gang)
        self.add(2, data_centre=ELSEWHERE)
        self.evacuated.add("dc")
        assert self.plan_moves() == []
        self.fleet.submit(make_job("c-passing", steps=[Step(1, SMALL)]))
        assert self.fleet.plan() == []
        self.fleet.end(passing)
        assert len(self.plan_moves()) == 2

    # Guards against a task that is stopped for a place that the limit of its step
    # leaves to another one, which is being stopped.
    def test_the_place_of_a_task_that_is_being_stopped_counts_for_the_spread(self):
        self.add(0, 1)
        step = Step(2, NEED, lasting=True, max_unavailable=2, max_per_instance=1)
        self.run_job("job", step)
        self.add(2, data_centre=ELSEWHERE, capacity=NEED * 2)
        self.evacuated.add("dc")
        (move,) = self.plan_moves()
        move.run.is_stopping = True
        assert self.plan_moves() == []


class TestBudgets(PlanTest):
    # Guards against a task that never leaves, as it runs at less than full speed and
    # so counts as the one that may be away.
    def test_a_task_that_is_away_already_moves_within_its_budget(self):
        self.add(0, 1)
        step = Step(2, NEED, lasting=True, max_unavailable=1)
        _, slowed = self.run_job("job", step)
        slowed.percent = 50
        self.add(2, 3, data_centre=ELSEWHERE)
        self.evacuated.add("dc")
        assert [move.run for move in self.plan_moves()] == [slowed]

    def test_no_task_moves_beyond_its_budget(self):
        self.add(0, 1)
        step = Step(2, NEED, lasting=True, max_unavailable=1)
        for run in self.run_job("job", step):
            run.percent = 50
        self.add(2, 3, data_centre=ELSEWHERE)
        self.evacuated.add("dc")
        assert self.plan_moves() == []


if __name__ == "__main__":
    unittest.main()
