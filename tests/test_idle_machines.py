"""Tests of tasks that wait for a machine which gets no work for a while."""

import unittest

from gypsumwalk.declaration_records import Resources
from gypsumwalk.workload_records import Step
from tests._fleet_work import CAPACITY, FleetWorld

JOB, NEXT_JOB = (f"{number:016x}" for number in range(2))
WHOLE = Resources(CAPACITY.cpu, 1000)
RETURN_SECONDS = 6.0
"""Time of a maintenance, and until the new instance is announced and read."""


class TestMaintainedMachine(unittest.TestCase):
    # Guards against a task that waited beside the idle instance of a maintained machine
    # until something else happened (issue 43).
    def test_a_waiting_task_starts_once_the_machine_has_returned(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                world = FleetWorld(seed, instances=2, task_seconds=60.0)
                world.begin()
                world.submit(JOB, [Step(1, WHOLE)])
                world.run(1.0)
                # The wave stays open, as the other machine is busy.
                world.start_wave(1, ["m-0", "m-1"], duration=90.0)
                assert world.run_until(
                    lambda world=world: world.model.maintenance_orders, within=5.0
                )
                world.run_results[f"{NEXT_JOB}.0.0.0", 1] = (0.5, "done")
                world.submit(NEXT_JOB, [Step(1, WHOLE)])
                assert world.await_state(NEXT_JOB, "completed", within=RETURN_SECONDS)


if __name__ == "__main__":
    unittest.main()
