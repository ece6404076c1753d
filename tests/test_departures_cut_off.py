"""Tests that an instance that is cut off as it deregisters is waited for."""

import unittest

from tests._fleet_work_checks import find_duplicate_runs
from tests.test_departing_instances import (
    GIVE_UP_SECONDS,
    DepartingInstance,
    make_world,
)

CUT_SECONDS = 6.0


class TestDeparturesCutOff(unittest.TestCase):
    # Guards against TWICE: the deregistration was the last call that came through. The
    # instance got neither its acknowledgement nor a stop, went on for 4 s, and its task
    # was started elsewhere after 0.5 s.
    @unittest.expectedFailure
    def test_a_task_runs_once_if_its_instance_is_cut_off_as_it_deregisters(self):
        world = make_world()
        DepartingInstance(world, 0, lost_answers=10)
        instance = world.get_instance(0)
        instance.is_silent = True
        world.schedule(CUT_SECONDS, lambda: setattr(instance, "is_silent", False))
        world.run(GIVE_UP_SECONDS + 12.0)
        assert len(world.model.history) == 2
        assert find_duplicate_runs(world.model.history) == []


if __name__ == "__main__":
    unittest.main()
