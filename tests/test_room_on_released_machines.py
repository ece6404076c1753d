"""Tests that a lasting task is not moved for room on a released machine."""

import unittest

from gypsumwalk.workload_records import Step
from tests._scheduling import NEED, NOW, Fleet, make_instance, make_job


class TestReleasedMachines(unittest.TestCase):
    # Guards against a wave that stops a lasting task ahead of its turn for room on a
    # machine that gets no tasks, as it is to move to another pool.
    def test_a_released_machine_is_no_room_for_a_move(self):
        fleet = Fleet()
        for number in range(2):
            fleet.add_instance(make_instance(number))
        fleet.submit(make_job("job", steps=[Step(1, NEED, lasting=True)]))
        run = fleet.plan()[0].run
        place = fleet.table.instances[run.life].registered.machine
        scheduler = fleet.scheduler
        scheduler.due_for_maintenance.add(place)
        assert scheduler.can_move(run, fleet.table, NOW)
        scheduler.released = {"m-0", "m-1"} - {place}
        assert not scheduler.can_move(run, fleet.table, NOW)


if __name__ == "__main__":
    unittest.main()
