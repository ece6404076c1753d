"""Tests of answers to orders that don't say whether the order was carried out."""

import unittest
from unittest.mock import patch

from gypsumwalk.declaration_records import Resources
from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.instance_actions import OrderReport, StartRun
from gypsumwalk.workload_records import Step
from tests._fleet_work import FleetWorld
from tests._fleet_work_checks import find_duplicate_runs

JOB = "00000000000000aa"
NEED = Resources(2000, 1000)
UNCLEAR = OrderReport(refused="unclear", detail="status 502")


class UnclearInstance:
    """Instance 0, some of whose answers to starts are replaced by unclear ones.

    It carries out the start unless ``loses_starts``. Calls are counted from the first
    start, ``count`` of which are answered so.
    """

    def __init__(self, world, *, count=1, loses_starts=False):
        self.count = count
        self.loses_starts = loses_starts
        self.starts = 0
        self._call = world.model.call
        self._address = world.get_instance(0).registered.address

    def __call__(self, effect, now):
        action = effect.action
        if not isinstance(action, StartRun) or action.address != self._address:
            return self._call(effect, now)
        self.starts += 1
        if self.starts > self.count:
            return self._call(effect, now)
        if not self.loses_starts:
            self._call(effect, now)
        unclear = PlatformOutcome(
            effect.token, succeeded=False, unknown=True, report=UNCLEAR
        )
        return 0.002, lambda at: unclear


class TestUnclearAnswers(unittest.TestCase):
    def run_job(self, *, task_seconds=20.0, **answers):
        world = FleetWorld(instances=1, task_seconds=task_seconds)
        world.begin()
        unclear = UnclearInstance(world, **answers)
        world.run(1.0)
        with patch.object(world.model, "call", unclear):
            world.submit(JOB, [Step(1, NEED)])
            world.run(0.5)
            world.start_instance(1)
            world.run(30.0)
        assert unclear.starts
        assert find_duplicate_runs(world.model.history) == []
        return world

    # Guards against TWICE: a start that was carried out, and whose answer a 502
    # replaced, counted as refused, and its task was started elsewhere.
    def test_a_start_with_an_unclear_answer_may_have_begun_the_run(self):
        world = self.run_job()
        assert len(world.model.history) == 1
        assert world.get_state(JOB) == "completed"

    def test_a_start_that_was_not_carried_out_is_sent_again(self):
        world = self.run_job(loses_starts=True)
        assert len(world.model.history) == 1
        assert world.get_state(JOB) == "completed"

    # A task must not wait for ever beside an instance that answers starts by errors.
    def test_a_task_starts_elsewhere_if_all_answers_are_unclear(self):
        for loses_starts in (False, True):
            with self.subTest(loses_starts=loses_starts):
                world = self.run_job(
                    count=1000, loses_starts=loses_starts, task_seconds=8.0
                )
                assert world.get_state(JOB) == "completed"


if __name__ == "__main__":
    unittest.main()
