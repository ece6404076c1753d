"""Tests of removals of instances that are committed after a change of leader."""

import unittest

from gypsumwalk.declaration_records import Resources
from gypsumwalk.renewals import REMOVE_SILENT_SECONDS
from gypsumwalk.state import Accepted, Rejected
from gypsumwalk.workload_records import (
    AcceptWorkload,
    Placement,
    PlaceRuns,
    RegisteredInstance,
    RegisterInstance,
    RemoveInstance,
    Step,
    TaskKey,
    Workload,
)
from gypsumwalk.workloads import WorkloadSection
from tests._fleet_work import FleetWorld
from tests._fleet_work_checks import find_duplicate_runs

JOB = "00000000000000aa"
NEED = Resources(2000, 1000)


class TestLateRemovals(unittest.TestCase):
    # Guards against TWICE: a leader that an instance has not answered for long proposes
    # its removal, and is cut off. The next leader hears of the instance, starts a run
    # there, and takes it for ended as the removal arrives.
    def test_a_removal_by_the_former_leader_ends_no_run_of_the_next_one(self):
        for heal_after in (1.4, 1.6):
            with self.subTest(heal_after=heal_after):
                history = self.remove_late(heal_after)
                assert find_duplicate_runs(history) == []
                assert len(history) == 1

    def remove_late(self, heal_after):
        world = FleetWorld(instances=1, task_seconds=60.0)
        world.begin()
        leader = world.find_leader()
        instance = world.get_instance(0)
        life = instance.registered.life
        instance.unreachable_from.add(leader)
        assert world.run_until(lambda: world.get_view(life).silent_since, within=5.0)
        due = world.get_view(life).silent_since + REMOVE_SILENT_SECONDS
        world.run(due - 0.02 - world.now)
        world.partition({leader})
        world.schedule(heal_after, world.heal)
        assert world.run_until(
            lambda: world.find_leader() not in ("", leader), within=3.0
        )
        world.submit(JOB, [Step(1, NEED)])
        world.run(12.0)
        return world.model.history


class TestCommand(unittest.TestCase):
    def setUp(self):
        self.section = WorkloadSection()
        self.instance = RegisteredInstance("i", 1, "s", "host:80", "dc", NEED)
        self.section.apply(RegisterInstance(self.instance), 1, 0.0)
        job = Workload(JOB, "q", "s", "team", "", [Step(1, NEED)])
        self.section.apply(AcceptWorkload(job), 2, 0.0)
        placement = Placement(TaskKey(JOB, 0, 0, 0), 1, self.instance.life)
        self.section.apply(PlaceRuns(2, [placement]), 3, 0.0)

    def remove(self, term):
        command = RemoveInstance(self.instance.life, left=False, term=term)
        return self.section.apply(command, 4, 0.0)

    def test_a_removal_is_rejected_after_a_placement_of_a_later_term(self):
        assert isinstance(self.remove(1), Rejected)
        assert self.instance.life in self.section.instances

    def test_a_removal_of_the_same_term_or_of_an_ended_life_is_accepted(self):
        for term in (2, 0):
            with self.subTest(term=term):
                self.setUp()
                assert isinstance(self.remove(term), Accepted)
                assert self.instance.life not in self.section.instances


if __name__ == "__main__":
    unittest.main()
