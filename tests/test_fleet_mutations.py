"""Tests of the rules of a fleet, each with a deliberate fault that breaks it."""

import unittest
from unittest.mock import patch

import msgspec

from gypsumwalk import task_placement
from gypsumwalk.declaration_records import Resources
from gypsumwalk.declarations import DeclarationSection
from gypsumwalk.dispatcher import Dispatcher
from gypsumwalk.fleet_calls import AnnounceInstanceCall, PutDeclarationCall
from gypsumwalk.state import Accepted
from gypsumwalk.task_scheduler import TaskScheduler
from gypsumwalk.workload_records import Step, TaskKey
from gypsumwalk.workloads import WorkloadSection
from tests._fleet_work import KEY, FleetWorld, make_declaration
from tests._fleet_work_checks import (
    count_unfinished_tasks,
    find_early_starts,
    find_excess_attempts,
    find_quota_excess,
    find_runs_after_cancel,
    find_split_gangs,
    find_starts_on,
)

JOB = "00000000000000aa"
NEED = Resources(2000, 1000)
CANCEL_SECONDS = 3.4
"""Time until a cancelled job has no runs: 3.0 s, and 0.4 s to stop them."""
DRAIN_SECONDS = 2.0
ORIGINAL_REPLACE = DeclarationSection._replace


def check_step_order():
    world = FleetWorld()
    world.begin()
    world.submit(JOB, [Step(2, NEED), Step(2, NEED, after=[0])])
    world.run(5.0)
    return find_early_starts(
        world.model.history, lambda step: [(0, 2)] if step == 1 else []
    )


def check_quota():
    world = FleetWorld()
    world.begin(quota=Resources(4000, 0))
    world.submit(JOB, [Step(10, NEED)])
    world.run(5.0)
    return find_quota_excess(world.model.history, lambda task: 2000, 4000)


def check_attempt_limit():
    world = FleetWorld()
    world.begin(attempts=3)
    for run in range(1, 10):
        world.run_results[f"{JOB}.0.0.0", run] = (0.1, "failed")
    world.submit(JOB, [Step(1, NEED)])
    world.run(5.0)
    return find_excess_attempts(world.model.history, 3)


def check_cancellation():
    world = FleetWorld(task_seconds=60.0)
    world.begin()
    world.submit(JOB)
    world.run(1.0)
    assert world.cancel(JOB).status == 200
    cancelled_at = world.now
    world.run(CANCEL_SECONDS + 1.0)
    return find_runs_after_cancel(
        world.model.history, JOB, cancelled_at, CANCEL_SECONDS
    )


def check_drain():
    world = FleetWorld()
    world.begin()
    for instance in list(world.model.instances.values())[1:]:
        world.model.crash(instance, world.now)
    instance = world.get_instance(0)
    leaving = msgspec.structs.replace(instance.registered, draining=True)
    call = world.call(AnnounceInstanceCall(leaving), to=world.find_leader())
    assert world.run_until(lambda: call.ended, within=3.0)
    since = world.now + DRAIN_SECONDS
    world.run(DRAIN_SECONDS)
    world.submit(JOB)
    world.run(3.0)
    return find_starts_on(world.model.history, instance.registered.life, since)


def check_completion():
    world = FleetWorld()
    world.begin()
    world.run_results[f"{JOB}.0.0.1", 1] = (4.0, "done")
    world.submit(JOB, [Step(2, NEED)])
    assert world.await_state(JOB, "completed")
    return count_unfinished_tasks(world.model.history, JOB, 2)


def check_gang():
    world = FleetWorld(task_seconds=60.0)
    world.begin()
    world.run_results[f"{JOB}.0.0.0", 1] = (0.5, "failed")
    world.submit(JOB, [Step(3, NEED, gang=True)])
    world.run(2.0)
    return find_split_gangs(world.model.history, JOB)


def check_declaration_version():
    world = FleetWorld()
    world.begin()
    leader = world.find_leader()
    calls = []
    for version in (7, 3):
        body = PutDeclarationCall(make_declaration(version))
        calls.append(world.call(body, to=leader))
        # The second declaration arrives before the first one is committed.
        world.run(0.001)
    assert world.run_until(lambda: all(call.ended for call in calls), within=3.0)
    in_force = world.read_declaration().body.source
    return [] if in_force == "source 7" else [in_force]


def check_withdrawn_key():
    world = FleetWorld()
    world.begin()
    without = make_declaration(5)
    without.teams[0].keys.remove(KEY)
    world.declare(without)
    answer = world.submit(JOB)
    return [] if answer.status == 401 else [answer.status]


def list_ignoring_order(workload, occurrence, lease_table):
    for number, step in enumerate(workload.steps):
        for index in range(step.count):
            task = TaskKey(workload.job, occurrence, number, index)
            if task not in lease_table.runs_by_task and task[1:] not in workload.tasks:
                yield task


def keep_withdrawn_keys(section, current):
    keys = dict(section._teams_by_key)
    ORIGINAL_REPLACE(section, current)
    section._teams_by_key = {**keys, **section._teams_by_key}


def accept_any_version(section, command, index, at):
    section._replace(command.declaration)
    return Accepted(index)


FAULTS = {
    check_step_order: (task_placement, "_list_occurrence", list_ignoring_order),
    check_quota: (TaskScheduler, "_has_quota", lambda *_: True),
    check_attempt_limit: (WorkloadSection, "_record_failure", lambda *_: None),
    check_cancellation: (Dispatcher, "_stop_job", lambda *_: []),
    check_drain: (
        WorkloadSection,
        "_register",
        lambda section, instance: section.instances.update(
            {instance.life: msgspec.structs.replace(instance, draining=False)}
        ),
    ),
    check_completion: (WorkloadSection, "_is_complete", lambda *_: True),
    check_gang: (Dispatcher, "_stop_gang", lambda *_: []),
    check_declaration_version: (DeclarationSection, "apply", accept_any_version),
    check_withdrawn_key: (DeclarationSection, "_replace", keep_withdrawn_keys),
}
"""Check of a rule, and the fault that must break it: owner, name, replacement."""


class TestRules(unittest.TestCase):
    def test_each_rule_holds(self):
        for check in FAULTS:
            with self.subTest(check=check.__name__):
                assert check() == [] or check() == 0

    def test_each_deliberate_fault_is_found(self):
        for check, (owner, name, replacement) in FAULTS.items():
            with (
                self.subTest(check=check.__name__),
                patch.object(owner, name, replacement),
            ):
                assert check()


if __name__ == "__main__":
    unittest.main()
