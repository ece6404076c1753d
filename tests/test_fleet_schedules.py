"""Tests with seeded schedules of faults, checked against the runs of instances.

``GYPSUMWALK_SCHEDULES`` sets the number of seeds; a seed runs alone with
``GYPSUMWALK_SEED``. Deliberate faults show that the checks can fail.
"""

import os
import unittest
from random import Random
from unittest import mock

from gypsumwalk.declaration_records import Resources
from gypsumwalk.dispatcher import Dispatcher
from gypsumwalk.fleet_calls import SubmitWorkloadCall
from gypsumwalk.leases import InstanceView
from gypsumwalk.workload_records import Step
from tests._fleet_work import HOST, KEY, FleetWorld
from tests._fleet_work_checks import (
    find_duplicate_runs,
    find_early_starts,
    find_excess_attempts,
    find_overloads,
)

SEEDS = int(os.environ.get("GYPSUMWALK_SCHEDULES", "12"))
NEED = Resources(2000, 1000)
FAULT_SECONDS = 12.0
RECOVERY_SECONDS = 25.0
JOBS = 12
ATTEMPTS = 3


class Schedule:
    """World with jobs and faults that are drawn from a seed."""

    def __init__(self, seed):
        self.random = Random(f"schedule {seed}")
        self.world = FleetWorld(seed, instances=4, task_seconds=1.0)
        self.jobs = {}
        self.cancelled = set()
        self.down = set()
        self.wiped = False
        self.last_life = 10

    def run(self):
        world = self.world
        world.begin(attempts=ATTEMPTS)
        for number in range(JOBS):
            delay = self.random.uniform(0, FAULT_SECONDS)
            world.schedule(delay, lambda number=number: self.submit(number))
        for _ in range(self.random.randint(2, 5)):
            kind = self.random.choice(FAULTS)
            at = self.random.uniform(0, FAULT_SECONDS)
            world.schedule(at, lambda kind=kind: getattr(self, kind)())
        world.run(FAULT_SECONDS)
        self.heal()
        world.run(RECOVERY_SECONDS)

    def submit(self, number):
        job = f"{number:016x}"
        for step in range(2):
            for index in range(3):
                task_seconds = self.random.uniform(0.2, 2.5)
                end_kind = "failed" if self.random.random() < 0.1 else "done"
                self.world.run_results[f"{job}.0.{step}.{index}", 1] = (
                    task_seconds,
                    end_kind,
                )
        leader = self.world.find_leader()
        if not leader:
            return
        steps = [Step(3, NEED), Step(3, NEED, after=[0])]
        body = SubmitWorkloadCall(HOST, f"/a/{job}", f"spec {job}", steps)
        self.jobs[job] = self.world.call(body, to=leader, credential=KEY)

    # Faults

    def kill_leader(self):
        name = self.world.find_leader()
        if name:
            self.world.kill(name)
            self.world.schedule(1.0, lambda: self.world.restart(name))

    def kill_all(self):
        for name in self.world.names:
            self.world.kill(name)
            self.world.schedule(1.0, lambda name=name: self.world.restart(name))

    def pause_leader(self):
        name = self.world.find_leader()
        if name:
            self.world.pause(name)
            self.world.schedule(4.0, lambda: self.resume(name))

    def resume(self, name):
        daemon = self.world.daemons[name]
        if daemon.alive and daemon.paused:
            self.world.resume(name)

    def wipe_disk(self):
        if self.wiped:
            return
        self.wiped = True
        name = self.random.choice(self.world.names)
        self.world.lose_disk(name)
        self.world.schedule(1.0, lambda: self.world.restart(name))

    def isolate_leader(self):
        name = self.world.find_leader()
        if not name:
            return
        others = [other for other in self.world.names if other != name]
        self.world.partition([name], others)
        for instance in self.world.model.instances.values():
            if self.random.random() < 0.5:
                instance.unreachable_from = set(others)
            else:
                instance.unreachable_from = {name}
        self.world.schedule(5.0, self.heal_links)

    def heal_links(self):
        self.world.heal()
        for instance in self.world.model.instances.values():
            instance.unreachable_from = set()

    def crash_instance(self):
        number = self.random.randrange(4)
        self.world.model.crash(self.world.get_instance(number), self.world.now)
        self.last_life += 1
        life = self.last_life
        delay = self.random.uniform(0.5, 6.0)
        self.world.schedule(delay, lambda: self.world.start_instance(number, life=life))

    def mute_instance(self):
        instance = self.world.get_instance(self.random.randrange(4))
        instance.is_silent = True
        self.world.schedule(self.random.uniform(1.0, 8.0), lambda: unmute(instance))

    def delay_orders(self):
        for instance in self.world.model.instances.values():
            instance.order_delay = self.random.uniform(2.0, 6.0)
        self.world.schedule(3.0, self.end_order_delays)

    def end_order_delays(self):
        for instance in self.world.model.instances.values():
            instance.order_delay = 0.0

    def lose_answers(self):
        instance = self.world.get_instance(self.random.randrange(4))
        instance.drops_answers = True
        self.world.schedule(3.0, lambda: restore_answers(instance))

    def heal(self):
        self.heal_links()
        self.end_order_delays()
        for instance in self.world.model.instances.values():
            instance.is_silent = False
            instance.drops_answers = False
        for name in self.world.names:
            if not self.world.daemons[name].alive:
                self.world.restart(name)
            self.resume(name)

    # Checks

    def find_violations(self):
        self.world.model.advance(self.world.now)
        history = self.world.model.history
        accepted = [
            job
            for job, call in self.jobs.items()
            if getattr(call.answer, "status", 0) == 200
        ]
        open_jobs = [
            job
            for job in accepted
            if self.world.get_state(job) not in ("completed", "failed")
        ]
        return {
            "doubles": find_duplicate_runs(history),
            "overloads": find_overloads(history, lambda task: 2000, 8000),
            "early": find_early_starts(history, lambda step: [(0, 3)] if step else []),
            "overspent": find_excess_attempts(history, ATTEMPTS),
            "lost": open_jobs,
        }


def unmute(instance):
    instance.is_silent = False


def restore_answers(instance):
    instance.drops_answers = False


FAULTS = (
    "kill_leader",
    "kill_all",
    "pause_leader",
    "wipe_disk",
    "isolate_leader",
    "crash_instance",
    "mute_instance",
    "delay_orders",
    "lose_answers",
)


def run_schedule(seed):
    schedule = Schedule(seed)
    schedule.run()
    return schedule.find_violations()


def fails_any(names, seeds):
    """Return whether one of the checks fails with one of the seeds."""
    return any(
        any(violations[name] for name in names)
        for violations in map(run_schedule, seeds)
    )


class TestSchedules(unittest.TestCase):
    def test_no_schedule_breaks_a_rule(self):
        chosen = os.environ.get("GYPSUMWALK_SEED")
        seeds = [int(chosen)] if chosen else range(SEEDS)
        for seed in seeds:
            with self.subTest(seed=seed):
                violations = run_schedule(seed)
                assert not any(violations.values()), violations


class TestDeliberateFaults(unittest.TestCase):
    """Each check detects the fault that it is meant for."""

    def test_leases_that_end_at_once(self):
        with mock.patch.object(InstanceView, "find_lease_expiry", lambda self: 0.0):
            assert fails_any(["doubles"], range(12))

    def test_used_capacity_that_is_not_counted(self):
        with mock.patch.object(InstanceView, "used", Resources()):
            assert fails_any(["overloads"], range(4))

    def test_orders_without_the_leadership(self):
        def leads(self, now):
            return self._leadership.leader != "" or self._term > 0

        with mock.patch.object(Dispatcher, "is_leading", leads):
            assert fails_any(["doubles", "overloads", "lost"], range(25))


if __name__ == "__main__":
    unittest.main()
