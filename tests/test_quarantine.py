"""Tests of health probes of quarantined instances that the platform does not answer."""

import unittest
from unittest.mock import patch

from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.job_calls import SubmitJobCall
from gypsumwalk.platform import ProbeInstance
from tests._fleet import FleetWorld, make_folder

BROKEN = "p0-1"
OUTAGE_SECONDS = 240.0
RELEASE_SECONDS = 15.0


class TestUnansweredProbes(unittest.TestCase):
    def find_state(self):
        return self.world.leader.pools.find(BROKEN).state

    # Guards against an instance that stayed in quarantine for minutes after an outage
    # of the platform, as unanswered probes counted as failed ones (issue 43).
    def test_an_instance_is_probed_soon_after_an_outage_of_the_platform(self):
        self.world = world = FleetWorld(make_folder(pools=1, instances=4))
        world.settle()
        machine = world.platform.machines[BROKEN]
        machine.broken = True
        for number in range(24):
            call = SubmitJobCall(
                job_id=f"j{number}", queue="p0", command="run 2", repeatable=True
            )
            world.ask(call)
            world.run(1.0)
        assert self.find_state() == "quarantined"
        call = world.platform.call

        def lose_probes(effect, now):
            if not isinstance(effect.action, ProbeInstance):
                return call(effect, now)
            unknown = PlatformOutcome(effect.token, succeeded=False, unknown=True)
            return effect.timeout, unknown

        with patch.object(world.platform, "call", lose_probes):
            world.run(OUTAGE_SECONDS)
        machine.broken = False
        assert world.run_until(
            lambda: self.find_state() != "quarantined", within=RELEASE_SECONDS
        )


if __name__ == "__main__":
    unittest.main()
