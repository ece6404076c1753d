"""Tests of reboots that the platform does not answer for long."""

import unittest
from unittest.mock import patch

from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.operator_calls import StartWaveCall
from gypsumwalk.platform import RebootInstance
from tests._fleet import FleetWorld, make_folder

OUTAGE_SECONDS = 1800.0
"""Longer than a reboot is waited for, and than a wave waits for a lost instance."""

RETURN_SECONDS = 120.0
"""Time of a scan, of a reboot, and until the instance has settled."""


class TestUnansweredReboots(unittest.TestCase):
    # Guards against instances that stayed lost for good, as a wave that had skipped
    # them did not ask any more what had become of their reboot (issue 43).
    def test_an_instance_returns_once_the_platform_answers(self):
        world = FleetWorld(make_folder(pools=1, instances=4, per_rack=2))
        world.settle()
        call = world.platform.call

        def lose_reboots(effect, now):
            if not isinstance(effect.action, RebootInstance):
                return call(effect, now)
            unknown = PlatformOutcome(effect.token, succeeded=False, unknown=True)
            return effect.timeout, unknown

        with patch.object(world.platform, "call", lose_reboots):
            world.ask(StartWaveCall("w"), credential="operator")
            world.run(OUTAGE_SECONDS)
        lost = [item for item in world.leader.pools.list_instances() if not is_up(item)]
        assert lost
        world.run(RETURN_SECONDS)
        assert all(is_up(item) for item in lost), [item.state for item in lost]


def is_up(record):
    return record.is_available


if __name__ == "__main__":
    unittest.main()
