"""Tests of which machines of a wave may be emptied within the budgets."""

import unittest
from types import SimpleNamespace

from gypsumwalk.leases import RunState
from gypsumwalk.wave_draining import WaveDraining
from gypsumwalk.workload_records import TaskKey


def make_run(step, number, *, is_stopping=False, is_lasting=True):
    task = TaskKey("job", 0, step, number)
    return SimpleNamespace(
        task=task,
        is_lasting=is_lasting,
        is_stopping=is_stopping,
        state=RunState.RUNNING,
    )


class Fleet:
    """Machines with runs, and steps whose budgets are used up or not."""

    def __init__(self, runs, *, limits, exhausted=()):
        self.asked = 0
        self._runs = runs
        self._limits = limits
        self._exhausted = exhausted

    def find_view(self, machine):
        runs = {run.task: run for run in self._runs[machine]}
        return SimpleNamespace(runs=runs)

    def find_interruption_limit(self, run):
        return self._limits[run.task.step]

    def may_interrupt(self, run):
        self.asked += 1
        return run.task.step not in self._exhausted

    def make_draining(self):
        return WaveDraining(dispatcher=self, scheduler=None, directory=self)


class TestMoves(unittest.TestCase):
    def test_the_tightest_budget_sets_the_number_of_rounds(self):
        runs = {
            f"m-{item}": [make_run(0, item), make_run(1, item)] for item in range(6)
        }
        fleet = Fleet(runs, limits={0: 1, 1: 4})
        assert fleet.make_draining().count_moves(runs) == (6, 5)

    def test_a_step_that_may_not_be_interrupted_counts_one_at_a_time(self):
        fleet = Fleet({"m-0": [make_run(0, 0)]}, limits={0: 0})
        assert fleet.make_draining().count_moves(["m-0"]) == (1, 1)

    def test_transient_runs_do_not_count(self):
        fleet = Fleet({"m-0": [make_run(0, 0, is_lasting=False)]}, limits={})
        assert fleet.make_draining().count_moves(["m-0"]) == (0, 0)


class TestMovable(unittest.TestCase):
    # Guards against machines that wait behind others whose budget is used up.
    def test_machines_of_an_exhausted_step_hold_up_no_others(self):
        runs = {f"m-{item}": [make_run(item // 3, item)] for item in range(6)}
        fleet = Fleet(runs, limits={0: 1, 1: 1}, exhausted={0})
        assert fleet.make_draining().list_movable(runs, 2) == ["m-3", "m-4"]

    def test_a_machine_with_one_task_that_has_to_stay_is_not_emptied(self):
        runs = {"m-0": [make_run(0, 0), make_run(1, 0)], "m-1": [make_run(1, 1)]}
        fleet = Fleet(runs, limits={0: 1, 1: 1}, exhausted={0})
        assert fleet.make_draining().list_movable(runs, 2) == ["m-1"]

    def test_a_machine_whose_task_is_being_stopped_goes_on(self):
        runs = {"m-0": [make_run(0, 0, is_stopping=True)], "m-1": [make_run(0, 1)]}
        fleet = Fleet(runs, limits={0: 1}, exhausted={0})
        assert fleet.make_draining().list_movable(runs, 2) == ["m-0"]

    # Guards against a cost that grows with the machines times the tasks of a step.
    def test_the_budget_of_an_exhausted_step_is_asked_once(self):
        runs = {f"m-{item}": [make_run(0, item)] for item in range(50)}
        fleet = Fleet(runs, limits={0: 1}, exhausted={0})
        assert fleet.make_draining().list_movable(runs, 1) == []
        assert fleet.asked == 1


if __name__ == "__main__":
    unittest.main()
