"""Tests with seeded schedules of restarts, late calls of ended lives, and removals.

``GYPSUMWALK_SCHEDULES`` sets the number of seeds; a seed runs alone with
``GYPSUMWALK_SEED``. Deliberate faults show that the checks can fail.
"""

import os
import unittest
from random import Random
from unittest import mock

import msgspec

from gypsumwalk.declaration_records import Resources
from gypsumwalk.effects import Propose
from gypsumwalk.fleet_calls import AnnounceInstanceCall, LeaveInstanceCall
from gypsumwalk.life_checks import LifeChecks
from gypsumwalk.workload_records import RegisterInstance, RemoveInstance, Step
from gypsumwalk.workloads import WorkloadSection
from tests._fleet_work import FleetWorld
from tests._fleet_work_checks import find_duplicate_runs

SEEDS = int(os.environ.get("GYPSUMWALK_SCHEDULES", "12"))
NEED = Resources(2000, 1000)
INSTANCES = 4
STEPS = 25
MAX_DELAY_SECONDS = 12.0
"""Longest time for which a call is on its way."""

DRAIN_SECONDS = 2.0
CALM_SECONDS = 10.0
"""Shorter than a silent life stays registered, so that one that was revived shows."""


class Schedule:
    """World whose instances restart while calls of their ended lives arrive."""

    def __init__(self, seed):
        self.random = Random(f"late calls {seed}")
        self.world = FleetWorld(seed, instances=INSTANCES, task_seconds=2.0)
        self.ended = []
        """Registrations of the lives that have ended."""
        self.jobs = []
        self.busy = set()
        self.lost = set()
        self.last_life = 10

    def run(self):
        self.world.begin()
        for _ in range(STEPS):
            getattr(self, self.random.choice(ACTIONS))()
            self.world.run(self.random.uniform(0.2, 2.0))
        for name in self.world.names:
            if not self.world.daemons[name].alive:
                self.world.restart(name)
        self.world.run(MAX_DELAY_SECONDS + CALM_SECONDS)

    # Actions

    def submit(self):
        job = f"{len(self.jobs):016x}"
        self.jobs.append(job)
        steps = [Step(self.random.randint(1, 6), NEED)]
        self.world.submit(job, steps)

    def call_late(self, body, *, longest=MAX_DELAY_SECONDS):
        """Deliver a call to whichever daemon leads then."""
        delay = self.random.uniform(0, longest)
        world = self.world

        def deliver():
            if leader := world.find_leader():
                world.call(body, to=leader)

        world.schedule(delay, deliver)

    def choose_instance(self):
        free = [number for number in range(INSTANCES) if number not in self.busy]
        return self.random.choice(free) if free else None

    def restart_as_planned(self):
        """Drain an instance, deregister it once or more, and start it again."""
        number = self.choose_instance()
        if number is None:
            return
        self.busy.add(number)
        registered = self.world.get_instance(number).registered
        draining = msgspec.structs.replace(registered, draining=True)
        self.world.get_instance(number).registered = draining
        self.world.ask(AnnounceInstanceCall(draining))
        self.world.schedule(DRAIN_SECONDS, lambda: self.leave(number))

    def leave(self, number):
        registered = self.world.get_instance(number).registered
        for _ in range(self.random.randint(0, 3)):
            self.call_late(LeaveInstanceCall(registered.instance))
        self.end(number)

    def crash(self):
        number = self.choose_instance()
        if number is not None:
            self.busy.add(number)
            self.end(number)

    def lose_machine(self):
        """End an instance for good; the leader learns that its machine is down."""
        number = self.choose_instance()
        if number is None or len(self.lost) > INSTANCES // 2:
            return
        self.busy.add(number)
        self.lost.add(number)
        instance = self.stop(number)
        self.remove(instance.registered.instance)

    def remove(self, instance):
        """Propose the removal of the lives of an instance until none is registered."""
        if leader := self.world.find_leader():
            registered = self.world.assemblies[leader].workloads.instances.values()
            lives = [item.life for item in registered if item.instance == instance]
            for life in lives:
                self.world.propose(leader, RemoveInstance(life))
            if not lives:
                return
        self.world.schedule(0.5, lambda: self.remove(instance))

    def end(self, number):
        self.stop(number)
        delay = self.random.uniform(0.3, 4.0)
        self.world.schedule(delay, lambda: self.start(number))

    def stop(self, number):
        instance = self.world.get_instance(number)
        self.world.model.crash(instance, self.world.now)
        # Nothing tells a life that was never registered from one that begins.
        if any(
            instance.registered.life in assembly.workloads.instances
            for assembly in self.world.assemblies.values()
        ):
            self.ended.append(instance.registered)
        return instance

    def start(self, number):
        self.last_life += 1
        self.world.start_instance(number, life=self.last_life)
        self.busy.discard(number)

    def announce_late(self):
        if not self.ended:
            return
        registered = self.random.choice(self.ended)
        draining = self.random.random() < 0.3
        late = msgspec.structs.replace(registered, draining=draining)
        self.call_late(AnnounceInstanceCall(late))

    def remove_by_mistake(self):
        """Commit the removal of a life without runs, which goes on."""
        leader = self.world.find_leader()
        if not leader:
            return
        table = self.world.assemblies[leader].dispatcher.lease_table
        idle = sorted(life for life, view in table.instances.items() if not view.runs)
        if idle:
            self.world.propose(leader, RemoveInstance(self.random.choice(idle)))

    def change_leader(self):
        for name in self.world.names:
            if not self.world.daemons[name].alive:
                self.world.restart(name)
                return
        if leader := self.world.find_leader():
            self.world.kill(leader)

    # Checks

    def find_violations(self):
        world = self.world
        world.model.advance(world.now)
        registered = world.list_lives()
        live = {
            item.registered.life
            for item in world.model.instances.values()
            if not item.is_dead
        }
        job = f"{len(self.jobs):016x}"
        world.submit(job, [Step(len(live), NEED, max_per_instance=1)])
        completed = world.await_state(job, "completed", within=6.0)
        return {
            "doubles": find_duplicate_runs(world.model.history),
            "out": sorted(live - registered),
            "revived": sorted(registered - live),
            "lost": [
                job
                for job in self.jobs
                if world.get_state(job) in ("queued", "running")
            ],
            "unused": [] if completed else [job],
        }


ACTIONS = (
    "submit",
    "submit",
    "restart_as_planned",
    "restart_as_planned",
    "restart_as_planned",
    "crash",
    "lose_machine",
    "announce_late",
    "announce_late",
    "announce_late",
    "remove_by_mistake",
    "change_leader",
)


def run_schedule(seed):
    schedule = Schedule(seed)
    schedule.run()
    return schedule.find_violations()


class TestSchedules(unittest.TestCase):
    def test_every_life_that_is_up_gets_work_and_no_other_is_registered(self):
        chosen = os.environ.get("GYPSUMWALK_SEED")
        seeds = [int(chosen)] if chosen else range(SEEDS)
        for seed in seeds:
            with self.subTest(seed=seed):
                violations = run_schedule(seed)
                assert not any(violations.values()), violations


class TestDeliberateFaults(unittest.TestCase):
    """Each check detects the fault that it is meant for."""

    def fails_any(self, *names):
        return any(
            any(violations[name] for name in names)
            for violations in map(run_schedule, range(8))
        )

    def test_lives_that_cannot_return(self):
        with mock.patch.object(WorkloadSection, "may_return", lambda *_: False):
            assert self.fails_any("out", "unused")

    def test_lives_that_return_unasked(self):
        def confirm(self, registered, now):
            command = RegisterInstance(registered, has_answered=True)
            return [Propose(f"{self.name}/return", command, 2.0)]

        with mock.patch.object(LifeChecks, "check", confirm):
            assert self.fails_any("revived")

    def test_deregistrations_that_concern_any_life(self):
        with (
            mock.patch.object(WorkloadSection, "may_have_left", lambda *_: True),
            mock.patch.object(WorkloadSection, "may_return", lambda *_: False),
        ):
            assert self.fails_any("out", "unused")


if __name__ == "__main__":
    unittest.main()
