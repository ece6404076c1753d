"""Tests of the time for which a run holds its place without running."""

import unittest
from unittest.mock import patch

from gypsumwalk.declaration_records import Resources
from gypsumwalk.leases import RunState, RunView
from gypsumwalk.task_scheduler import TaskScheduler
from gypsumwalk.workload_records import Step, TaskKey
from tests._fleet_work import FleetWorld

TASKS = 6
TASK_SECONDS = 0.5
JOB = "00000000000000aa"


def make_run():
    task = TaskKey(JOB, 0, 0, 0)
    need = Resources(1000, 1000)
    return RunView(task, 1, "i-0@1", need, "team", need, RunState.RUNNING)


def measure_overheads(result="done"):
    """Return the overheads recorded while the tasks of a job run."""
    world = FleetWorld(instances=4, task_seconds=TASK_SECONDS)
    world.begin()
    for number in range(TASKS):
        world.run_results[f"{JOB}.0.0.{number}", 1] = (TASK_SECONDS, result)
    with patch.object(TaskScheduler, "record_overhead") as record:
        world.submit(JOB, [Step(TASKS, Resources(1000, 1000))])
        world.run(4.0)
    return [item.args[0] for item in record.call_args_list]


class TestOverhead(unittest.TestCase):
    def test_it_is_the_time_from_the_plan_to_the_end_without_the_run_itself(self):
        run = make_run()
        run.planned_at, run.started_clock = 10.0, 5000
        run.measure(5600)
        assert abs(run.find_overhead(11.0) - 0.4) < 1e-9

    def test_it_is_unknown_for_a_run_of_an_earlier_leader(self):
        run = make_run()
        run.started_clock = 5000
        run.measure(5600)
        assert run.find_overhead(11.0) is None

    def test_it_is_unknown_for_a_run_whose_start_was_not_answered(self):
        run = make_run()
        run.planned_at = 10.0
        run.measure(5600)
        assert run.find_overhead(11.0) is None

    def test_the_dispatcher_records_it_for_each_run_that_is_done(self):
        overheads = measure_overheads()
        assert len(overheads) == TASKS
        assert all(seconds < TASK_SECONDS / 2 for seconds in overheads), overheads

    def test_runs_that_failed_are_not_counted(self):
        # The second run of each task is done.
        assert len(measure_overheads(result="failed")) == TASKS


if __name__ == "__main__":
    unittest.main()
