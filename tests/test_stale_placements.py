"""Tests of placements of a deposed leader that are committed in a later term."""

import unittest
from unittest.mock import patch

from gypsumwalk.workload_records import Placement, PlaceRuns, Step, TaskKey
from tests._fleet_work import FleetWorld

JOB = "00000000000000aa"


def record_of(leader):
    return leader.workloads.jobs[JOB].tasks.get((0, 0, 0))


class TestStalePlacement(unittest.TestCase):
    def test_a_run_that_no_leader_starts_is_ended(self):
        world = FleetWorld()
        world.begin()
        # No instance has the label, so the leader places nothing in its term.
        world.submit(JOB, [Step(1, label="absent")])
        world.run(1.0)
        leader = world.assemblies[world.find_leader()]
        dispatcher = leader.dispatcher
        life = world.get_instance(0).registered.life
        placement = Placement(TaskKey(JOB, 0, 0, 0), 1, life)
        stale = dispatcher._propose(PlaceRuns(dispatcher.term - 1, [placement]))
        proposals = [stale]

        def place(now):
            return [proposals.pop()] if proposals else []

        with patch.object(dispatcher, "_place_ready_tasks", place):
            dispatcher.request_scheduling_pass(world.now)
            world.run_until(lambda: record_of(leader), within=1.0)
        assert not proposals
        assert record_of(leader).placed == {1: life}
        world.run(10.0)
        assert not record_of(leader).placed


if __name__ == "__main__":
    unittest.main()
