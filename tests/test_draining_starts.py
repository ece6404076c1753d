"""Tests of starts that are not answered before their instance begins to drain."""

import unittest
from unittest.mock import patch

import msgspec

from gypsumwalk.declaration_records import Resources
from gypsumwalk.fleet_calls import AnnounceInstanceCall
from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.instance_actions import StartRun
from gypsumwalk.workload_records import Step
from tests._fleet_work import FleetWorld
from tests._fleet_work_checks import find_duplicate_runs

JOB = "00000000000000aa"
NEED = Resources(2000, 1000)


class TestLostStart(unittest.TestCase):
    def begin(self, *, is_carried_out):
        """Lose the first start, or its answer, and let its instance drain."""
        self.world = world = FleetWorld(instances=2, task_seconds=3.0)
        world.begin()
        call, lost = world.model.call, []

        def lose_first(effect, now):
            if not isinstance(effect.action, StartRun) or lost:
                return call(effect, now)
            lost.append(effect.action)
            if is_carried_out:
                call(effect, now)
            unknown = PlatformOutcome(effect.token, succeeded=False, unknown=True)
            return effect.timeout, lambda at: unknown

        with patch.object(world.model, "call", lose_first):
            world.submit(JOB, [Step(1, NEED)])
            assert world.run_until(lambda: lost, within=1.0)
        instance = world.model.instances[lost[0].address]
        instance.registered = msgspec.structs.replace(
            instance.registered, draining=True
        )
        world.ask(AnnounceInstanceCall(instance.registered))

    # Guards against a task that waited until its instance had left, as its start was
    # neither repeated nor withdrawn (issue 43).
    def test_the_task_starts_elsewhere(self):
        self.begin(is_carried_out=False)
        assert self.world.await_state(JOB, "completed", within=9.0)

    def test_a_run_that_began_goes_on(self):
        self.begin(is_carried_out=True)
        assert self.world.await_state(JOB, "completed", within=9.0)
        assert len(self.world.model.history) == 1
        assert not find_duplicate_runs(self.world.model.history)


if __name__ == "__main__":
    unittest.main()
