"""Tests that the emulated instances are as hard as the platform's page says."""

import unittest
from random import Random

from gypsumwalk.declaration_records import Resources
from gypsumwalk.effects import CallPlatform
from gypsumwalk.emulator import EmulatedPlatform
from gypsumwalk.instance_actions import StartRun
from gypsumwalk.workload_records import RegisteredInstance

ADDRESS = "host-0:80"
TASK, OTHER_TASK = (f"00000000000000aa.0.0.{number}" for number in range(2))
SHORT_LEASE, LONG_LEASE = 2_000, 5_000
"""Leases in milliseconds."""


class TestLeasesOfRefusedStarts(unittest.TestCase):
    def setUp(self):
        self.model = EmulatedPlatform(Random(0), self.find_run_result)
        registered = RegisteredInstance(
            "i-0", 1000, "service", ADDRESS, "dc", Resources(8000, 16000)
        )
        self.instance = self.model.add(registered, 0.0, clock_begin=1_000)

    def find_run_result(self, task, run):
        return (60.0 if task == TASK else 0.1), "done"

    def start(self, task, now, lease):
        clock = self.instance.read_clock(now)
        action = StartRun("i-0", ADDRESS, 1, task, 1, "spec", clock + lease)
        _, find_outcome = self.model.call(CallPlatform("token", action, 1.0), now)
        return find_outcome(now).report.refused

    def list_running(self, now):
        self.model.advance(now)
        return list(self.instance.running)

    # Guards against an emulated instance that is easier than a real one, whose lease
    # ends later than the accepted orders say.
    def test_a_start_refused_as_old_extends_the_lease(self):
        assert self.start(TASK, 0.0, SHORT_LEASE) == ""
        assert self.start(OTHER_TASK, 0.0, SHORT_LEASE) == ""
        assert self.start(OTHER_TASK, 1.0, LONG_LEASE) == "old"
        assert self.list_running(5.9) == [TASK]
        assert self.list_running(6.1) == []

    def test_a_repeated_start_extends_the_lease(self):
        assert self.start(TASK, 0.0, SHORT_LEASE) == ""
        assert self.start(TASK, 1.0, LONG_LEASE) == ""
        assert self.list_running(5.9) == [TASK]
        assert self.list_running(6.1) == []


if __name__ == "__main__":
    unittest.main()
