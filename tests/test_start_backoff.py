"""Tests of instances that get no starts for a while."""

import unittest
from unittest.mock import patch

from gypsumwalk.declaration_records import Resources
from gypsumwalk.fleet_calls import LeaveInstanceCall
from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.instance_actions import OrderReport, StartRun
from gypsumwalk.workload_records import Step
from tests._fleet_work import FleetWorld

JOB, NEXT_JOB = (f"{number:016x}" for number in range(2))
NEED = Resources(2000, 1000)


class TestStartBackoff(unittest.TestCase):
    # Guards against a task that waited beside an idle instance until something else
    # happened.
    def test_a_refused_task_starts_once_the_instance_takes_starts_again(self):
        world = FleetWorld(instances=1)
        world.begin()
        call, refused = world.model.call, []

        def refuse_first(effect, now):
            if not isinstance(effect.action, StartRun) or refused:
                return call(effect, now)
            refused.append(effect.token)
            report = OrderReport(clock=1000, born=1001, refused="room")
            outcome = PlatformOutcome(effect.token, succeeded=True, report=report)
            return 0.002, lambda at: outcome

        with patch.object(world.model, "call", refuse_first):
            world.submit(JOB, [Step(1, NEED)])
            assert world.await_state(JOB, "completed", within=4.0)

    def test_a_job_starts_after_a_doubtful_deregistration(self):
        world = FleetWorld(instances=1)
        world.begin()
        world.model.crash(world.get_instance(0), world.now)
        world.start_instance(0, life=2)
        world.run(3.0)
        world.ask(LeaveInstanceCall("i-0"))
        world.submit(NEXT_JOB, [Step(1, NEED)])
        assert world.await_state(NEXT_JOB, "completed", within=4.0)


if __name__ == "__main__":
    unittest.main()
