"""Tests that machines that can't be taken down don't hold up the others of a wave."""

import unittest

from gypsumwalk.wave_pacing import WaveMachine
from tests.test_wave_pacing import plan


class TestBlockedMachines(unittest.TestCase):
    # Guards against a wave of one machine at a time that waits for good for a machine
    # that is down.
    def test_a_machine_that_is_not_up_gives_way(self):
        for is_standby in (True, False):
            machines = [
                WaveMachine("m-0", is_up=False, is_standby=is_standby),
                WaveMachine("m-1", is_standby=is_standby, runs=1),
            ]
            assert plan(machines, 0.0).chosen == ("m-1",)

    # Guards against a wave that waits for good for a lasting task that must not be
    # stopped, as its machine has the fewest runs.
    def test_a_machine_whose_task_can_never_be_stopped_gives_way(self):
        machines = [
            WaveMachine("m-0", runs=1, lasting_runs=1, is_pinned=True),
            WaveMachine("m-1", runs=2),
        ]
        assert plan(machines, 0.0).chosen == ("m-1",)
        assert plan(machines[:1], 0.0).chosen == ("m-0",)


if __name__ == "__main__":
    unittest.main()
