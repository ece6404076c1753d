"""Tests that the refusal of a renewal is not read as a run list."""

import unittest
from unittest.mock import patch

from gypsumwalk.declaration_records import Resources
from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.instance_actions import InstanceReport, RenewLease
from gypsumwalk.workload_records import Step
from tests._fleet_work import FleetWorld
from tests._fleet_work_checks import find_duplicate_runs

JOB = "00000000000000aa"
NEED = Resources(2000, 1000)
REFUSALS_SECONDS = 1.0


class TestRefusedRenewals(unittest.TestCase):
    # Guards against TWICE: a refusal for another reason than the fence names no life,
    # and lists nothing. Its clock fitted, so that every run on the instance was gone
    # after two of them, without a warning.
    def test_a_refused_renewal_ends_no_run(self):
        world = FleetWorld(task_seconds=600.0, instances=2, max_lease=10.0)
        world.begin()
        world.submit(JOB, [Step(1, NEED)])
        world.run(3.0)
        call = world.model.call

        def refuse(effect, now):
            action = effect.action
            if not isinstance(action, RenewLease):
                return call(effect, now)
            instance = world.model.instances[action.address]

            def find_outcome(at):
                report = InstanceReport(instance.read_clock(at), refused="late")
                return PlatformOutcome(effect.token, succeeded=True, report=report)

            return 0.004, find_outcome

        with patch.object(world.model, "call", refuse):
            world.run(REFUSALS_SECONDS)
        world.run(3.0)
        assert find_duplicate_runs(world.model.history) == []
        assert len(world.model.history) == 1


if __name__ == "__main__":
    unittest.main()
