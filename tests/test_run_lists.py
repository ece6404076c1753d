"""Tests of what a run list proves about the runs that it omits."""

import unittest
from unittest.mock import patch

from msgspec.structs import replace

from gypsumwalk.declaration_records import Resources
from gypsumwalk.effects import Record
from gypsumwalk.events import Event
from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.instance_actions import InstanceReport
from gypsumwalk.workload_records import Step
from tests._fleet_work import FleetWorld

JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"
NEED = Resources(2000, 1000)


class ChangedLists:
    """Changes the run lists of all instances by ``change``, which returns a list."""

    def __init__(self, world, change):
        self._change = change
        self._call = world.model.call

    def __call__(self, effect, now):
        delay, find_outcome = self._call(effect, now)

        def find_changed(at):
            outcome = find_outcome(at)
            if not isinstance(outcome.report, InstanceReport):
                return outcome
            report = self._change(outcome.report)
            return PlatformOutcome(effect.token, succeeded=True, report=report)

        return delay, find_changed


def omit_runs(report):
    return replace(report, running=[])


class RunListTest(unittest.TestCase):
    def make_world(self, *, task_seconds=60.0, lasting=False):
        """Return a world in which one run of the job goes on."""
        world = FleetWorld(task_seconds=task_seconds, instances=2)
        world.begin()
        world.submit(JOB, [Step(1, NEED, lasting=lasting)])
        assert world.run_until(lambda: world.model.history, within=3.0)
        world.run(1.0)
        return world

    def change_lists(self, world, change):
        return patch.object(world.model, "call", ChangedLists(world, change))

    def list_records(self, world, event):
        effects = [entry.effect for entry in world.trace]
        return [
            effect
            for effect in effects
            if isinstance(effect, Record) and effect.event is event
        ]


class TestMissingRuns(RunListTest):
    def test_the_list_that_a_run_is_missing_from_is_logged(self):
        world = self.make_world()
        with self.change_lists(world, omit_runs):
            world.run(2.0)
        record = self.list_records(world, Event.RUN_MISSING)[0]
        assert record.subject == TASK
        run = world.model.history[0]
        seen = record.attributes
        assert (seen["run"], seen["life"]) == (1, run.life)
        assert seen["born"] == 1001
        assert seen["state"] == "running"
        assert (seen["running"], seen["ended"]) == (0, 0)
        assert (seen["unread_runs"], seen["unread_ends"]) == (0, 0)
        assert 0 < seen["requested"] < seen["missing"] < seen["confirmed"]


if __name__ == "__main__":
    unittest.main()
