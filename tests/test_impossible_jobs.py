"""Tests of jobs that can never run, and of doubts about that."""

import unittest

from gypsumwalk.declaration_records import DeclaredTeam, Resources
from gypsumwalk.impossible_jobs import (
    KnownMachine,
    find_obstacle,
    list_known_machines,
)
from gypsumwalk.instance_actions import MachineInfo
from gypsumwalk.workload_records import RegisteredInstance, Step

SMALL = KnownMachine(Resources(8000, 16000), frozenset({"disk"}))
LARGE = KnownMachine(Resources(16000, 32000, 2), frozenset({"accelerated"}))
FLEET = [SMALL, LARGE]
FITTING = Step(1, Resources(1000, 1000))


def make_info(machine="m-1", *, capacity=SMALL.capacity, labels=("disk",)):
    return MachineInfo(machine, "service", "up", capacity=capacity, labels=list(labels))


def make_instance(machine="m-1"):
    return RegisteredInstance(
        "i", 1, "service", "host:80", "dc", SMALL.capacity, ["disk"], machine
    )


def find(step, *, team=None, machines=FLEET):
    return find_obstacle([FITTING, step], machines, team)


class TestMachines(unittest.TestCase):
    """A job that no machine can run would wait without an end."""

    def test_a_job_that_fits_has_no_obstacle(self):
        assert not find(Step(50, Resources(16000, 32000, 2)))

    def test_a_task_larger_than_every_machine_never_runs(self):
        for need in (
            Resources(16001, 1),
            Resources(1, 32001),
            Resources(1, 1, 3),
            # Each of these fits somewhere, but not both on one machine.
            Resources(1, 1, 2) + Resources(16000, 0, 1),
        ):
            reason = find(Step(1, need))
            assert reason.startswith("step 1 can never run: a task needs"), reason
            assert "16 cores, 32000 MB and 2 accelerators" in reason

    def test_a_label_that_no_machine_has(self):
        reason = find(Step(1, Resources(1, 1), label="quantum"))
        assert 'no machine has the label "quantum"' in reason

    def test_a_task_that_fits_only_on_machines_without_its_label(self):
        reason = find(Step(1, Resources(16000, 1), label="disk"))
        assert 'no machine with the label "disk" has that' in reason

    def test_a_filler_needs_no_processors(self):
        assert not find(Step(1, Resources(64000, 1000), filler=True))


class TestQuota(unittest.TestCase):
    """A task within every machine, but not within the quota of its team."""

    TEAM = DeclaredTeam("team", [], 1.0, Resources(4000, 0, 0))

    def test_a_task_beyond_the_quota_never_runs(self):
        reason = find(Step(1, Resources(5000, 1)), team=self.TEAM)
        assert 'the quota of team "team" is 4 cores' in reason

    def test_tasks_that_fit_one_after_the_other_may_run(self):
        assert not find(Step(9, Resources(4000, 9999)), team=self.TEAM)

    def test_a_gang_must_fit_as_a_whole(self):
        reason = find(Step(3, Resources(2000, 1), gang=True), team=self.TEAM)
        assert "its gang needs 6 cores" in reason
        assert not find(Step(2, Resources(2000, 1), gang=True), team=self.TEAM)


class TestKnownMachines(unittest.TestCase):
    """Machines that are not fully known are no ground for a refusal."""

    def test_machines_and_instances_are_known(self):
        machines = {"m-1": make_info()}
        elsewhere = make_instance("m-2")
        assert list_known_machines(machines, [elsewhere]) == [SMALL, SMALL]

    def test_an_instance_tells_what_the_list_does_not(self):
        machines = {"m-1": make_info(capacity=Resources(), labels=())}
        assert list_known_machines(machines, [make_instance()]) == [SMALL]

    def test_a_machine_without_known_resources_or_labels_leaves_a_doubt(self):
        for unknown in (make_info(capacity=Resources()), make_info(labels=())):
            machines = {"m-1": unknown, "m-2": make_info("m-2")}
            assert list_known_machines(machines, []) is None


if __name__ == "__main__":
    unittest.main()
