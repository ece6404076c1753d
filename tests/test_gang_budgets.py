"""Tests that a lasting gang is stopped only if its budget covers all its members."""

import unittest

from gypsumwalk.fleet_calls import StartUpkeepCall
from gypsumwalk.workload_records import Step
from tests._fleet_work import FleetWorld
from tests.test_availability import (
    JOB,
    NEED,
    drain,
    find_least_running,
    list_running,
    list_used,
)


class TestGangBudgets(unittest.TestCase):
    def begin(self, *, budget):
        self.world = FleetWorld(0, task_seconds=1000.0, instances=5)
        self.world.begin()
        step = Step(
            2,
            NEED,
            max_per_instance=1,
            lasting=True,
            gang=True,
            max_unavailable=budget,
        )
        self.world.submit(JOB, [step])
        self.world.run(4.0)
        assert len(list_running(self.world)) == 2

    # Guards against a stop of one member, which ends the other one too, within a
    # budget that only allows one.
    def test_a_draining_instance_keeps_a_gang_beyond_its_budget(self):
        self.begin(budget=1)
        drain(self.world, list_used(self.world)[0])
        assert find_least_running(self.world, 4.0) == 2

    def test_a_gang_within_its_budget_moves(self):
        self.begin(budget=2)
        number = list_used(self.world)[0]
        drain(self.world, number)
        self.world.run(5.0)
        assert len(list_running(self.world)) == 2
        assert number not in list_used(self.world)

    def test_a_wave_keeps_a_gang_beyond_its_budget(self):
        self.begin(budget=1)
        machines = [f"m-{number}" for number in range(5)]
        self.world.ask(StartUpkeepCall(1, machines, 20.0, 1))
        assert find_least_running(self.world, 24.0) == 2


if __name__ == "__main__":
    unittest.main()
