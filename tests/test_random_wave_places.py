"""Tests of waves over random fleets with lasting tasks, against an exhaustive search.

``GYPSUMWALK_SCHEDULES`` sets the number of seeds of each test; a seed runs alone with
``GYPSUMWALK_SEED``.
"""

import os
import unittest
from dataclasses import dataclass
from random import Random

from gypsumwalk.declaration_records import Resources
from gypsumwalk.workload_records import Step
from tests._fleet_work import CAPACITY, FleetWorld
from tests._fleet_work_checks import find_duplicate_runs

SEEDS = int(os.environ.get("GYPSUMWALK_SCHEDULES", "25"))
TRANSIENT_JOB = "00000000000000ff"
SAMPLE_SECONDS = 0.1
DURATION = 28.0
RESTART_SECONDS = 6.0
"""Time after its last run from which a lasting task has to run again."""
ALLOWED_SECONDS = 3.0
"""Time for which it may then still wait although there is room for it."""
CALM_SECONDS = 4.0
"""Time without a fault before that time begins."""
MAX_STOPS = 2
"""Most stops of one task in the time below that its users would bear."""
STOP_SECONDS = 40.0


def list_seeds():
    chosen = os.environ.get("GYPSUMWALK_SEED")
    return [int(chosen)] if chosen else range(SEEDS)


@dataclass
class Place:
    """A machine in service, as the model of the platform knows it."""

    machine: str
    labels: list
    free: int
    counts: dict


class RandomFleet:
    """A random fleet whose lasting tasks run, and a wave over some of its machines."""

    def __init__(self, seed, faults=()):
        self.random = Random(f"wave places {seed}")
        self.count = self.random.randint(2, 5)
        self.world = FleetWorld(seed, instances=self.count, task_seconds=600.0)
        self.world.begin()
        self.steps = {}
        for number in range(self.random.randint(1, 3)):
            job = f"{number + 10:016x}"
            self.steps[job] = self._make_step()
            assert self.world.submit(job, [self.steps[job]]).status == 200
        self.world.run(4.0)
        if self.random.random() < 0.5:
            self._submit_transient()
        self.world.run(1.0)
        self.away_since = {}
        self.late_since = {}
        self.calm_since = 0.0
        self.most_away = dict.fromkeys(self.steps, 0)
        self.overdue = []
        self.machines = self.random.sample(
            [f"m-{number}" for number in range(self.count)],
            self.random.randint(1, self.count),
        )
        self.faults = faults

    def _make_step(self):
        count = self.random.randint(1, 2 * self.count)
        return Step(
            count,
            Resources(self.random.choice([500, 1000, 2000, 4000]), 100),
            lasting=True,
            label=self.random.choice(["", "", "rack-0"]),
            max_per_instance=self.random.choice([0, 0, 1, 2, 3]),
            max_unavailable=self.random.randint(1, 4),
        )

    def _submit_transient(self):
        """Submit a job whose tasks fill the fleet for most of the time."""
        count = 25 * self.count
        for number in range(count):
            length = self.random.uniform(0.5, 2.5)
            self.world.run_results[f"{TRANSIENT_JOB}.0.0.{number}", 1] = length, "done"
        self.world.submit(TRANSIENT_JOB, [Step(count, Resources(2000, 100))])

    def play(self):
        """Play the wave, and sample which tasks are away."""
        self.begin_runs()
        self.started = self.world.now
        for wave, machines in enumerate(self._split_waves(), start=1):
            most_down = self.random.randint(1, 2)
            answer = self.world.start_wave(
                wave, machines, duration=DURATION, max_down=most_down
            )
            assert answer.status == 200
        self._schedule_faults()
        while self.world.now < self.started + DURATION + 12.0:
            self.world.run(SAMPLE_SECONDS)
            self._sample()

    def begin_runs(self):
        self.running_before = {
            run.task for run in self.world.model.history if run.ended is None
        }

    def _split_waves(self):
        if self.random.random() < 0.3:
            return [[machine] for machine in self.machines]
        return [self.machines]

    def _schedule_faults(self):
        for fault in self.faults:
            action = {"leader": self._restart_leader, "place": self._crash}[fault]
            self.world.schedule(self.random.uniform(0.05, 4.0), action)

    def _restart_leader(self):
        if leader := self.world.find_leader():
            self.world.cut_power(leader)
            self.world.schedule(1.0, lambda: self.world.restart(leader))
            self.calm_since = self.world.now + 1.0 + CALM_SECONDS

    def _crash(self):
        alive = self._list_alive()
        if alive:
            self.calm_since = max(self.calm_since, self.world.now + CALM_SECONDS)
            self.world.model.crash(self.random.choice(alive), self.world.now)

    def _list_alive(self):
        return [
            item for item in self.world.model.instances.values() if not item.is_dead
        ]

    def _list_running(self):
        return {run.task: run for run in self.world.model.history if run.ended is None}

    def list_places(self):
        """Return the machines in service with what their lasting runs leave free."""
        running = self._list_running().values()
        places = []
        for item in self._list_alive():
            runs = [run for run in running if run.life == item.registered.life]
            counts = dict.fromkeys(self.steps, 0)
            free = CAPACITY.cpu
            for run in runs:
                job = run.task.partition(".")[0]
                if job == TRANSIENT_JOB:
                    continue
                counts[job] += 1
                free -= self.steps[job].need.cpu
            registered = item.registered
            places.append(Place(registered.machine, registered.labels, free, counts))
        return places

    def has_place(self, job, place):
        step = self.steps[job]
        return (
            (not step.label or step.label in place.labels)
            and place.free >= step.need.cpu
            and (not step.max_per_instance or place.counts[job] < step.max_per_instance)
        )

    def _sample(self):
        running = self._list_running()
        places = self.list_places()
        for job, step in self.steps.items():
            has_place = any(self.has_place(job, place) for place in places)
            tasks = [f"{job}.0.0.{number}" for number in range(step.count)]
            away = [item for item in tasks if item not in running]
            away = [item for item in away if item in self.running_before]
            self.most_away[job] = max(self.most_away[job], len(away))
            for task in tasks:
                if task not in away:
                    self.away_since.pop(task, None)
                    self.late_since.pop(task, None)
                else:
                    self._sample_away(task, has_place)

    def _sample_away(self, task, has_place):
        now = self.world.now
        since = self.away_since.setdefault(task, now)
        is_due = now >= max(since + RESTART_SECONDS, self.calm_since)
        if not is_due or not has_place:
            self.late_since.pop(task, None)
        elif now - self.late_since.setdefault(task, now) > ALLOWED_SECONDS:
            self.overdue.append((task, round(now - since, 1)))

    def find_most_stops(self):
        """Return the most stops of one task within the time above."""
        most = 0
        for job, step in self.steps.items():
            for number in range(step.count):
                task = f"{job}.0.0.{number}"
                ends = [
                    run.ended
                    for run in self.world.model.history
                    if run.task == task and run.ended is not None
                ]
                for first in ends:
                    within = [at for at in ends if first <= at < first + STOP_SECONDS]
                    most = max(most, len(within))
        return most

    def list_left_out(self):
        """Return machines without maintenance that an exhaustive search can empty."""
        begun = {machine for _, _, machine in self.world.model.maintenance_orders}
        places = self.list_places()
        away = {
            job: sum(
                f"{job}.0.0.{number}" not in self._list_running()
                for number in range(step.count)
            )
            for job, step in self.steps.items()
        }
        left_out = []
        for place in places:
            if place.machine not in self.machines or place.machine in begun:
                continue
            others = [item for item in places if item is not place]
            tasks = [job for job, count in place.counts.items() for _ in range(count)]
            budgets = {
                job: step.max_unavailable - away[job]
                for job, step in self.steps.items()
            }
            if any(budgets[job] < 1 for job in tasks):
                continue
            if self._can_leave(tasks, others, budgets):
                left_out.append(place.machine)
        return left_out

    def _can_leave(self, tasks, others, budgets):
        if not tasks:
            return True
        job, *rest = tasks
        for place in others:
            if self.has_place(job, place):
                place.counts[job] += 1
                place.free -= self.steps[job].need.cpu
                can_leave = self._can_leave(rest, others, budgets)
                place.counts[job] -= 1
                place.free += self.steps[job].need.cpu
                if can_leave:
                    return True
        if budgets[job] < 1:
            return False
        return self._can_leave(rest, others, {**budgets, job: budgets[job] - 1})


class TestRandomFleets(unittest.TestCase):
    # Guards against tasks that a wave stops without a place to go to, and against waves
    # that leave out machines that can be emptied.
    def test_waves_stop_tasks_only_with_a_place_to_go_to(self):
        for seed in list_seeds():
            with self.subTest(seed=seed):
                fleet = RandomFleet(seed)
                fleet.play()
                assert fleet.overdue == []
                for job, step in fleet.steps.items():
                    assert fleet.most_away[job] <= step.max_unavailable
                assert fleet.find_most_stops() <= max(MAX_STOPS, len(fleet.machines))
                assert fleet.list_left_out() == []
                assert find_duplicate_runs(fleet.world.model.history) == []

    def check_return(self, faults):
        for seed in list_seeds():
            with self.subTest(seed=seed):
                fleet = RandomFleet(seed, faults)
                fleet.play()
                assert fleet.overdue == []
                assert find_duplicate_runs(fleet.world.model.history) == []

    # Guards against tasks that stay down if a machine is lost after the first stop.
    def test_tasks_return_if_a_place_is_lost(self):
        self.check_return(["place"])

    # Guards against tasks that stay down if the leader that planned a place is lost.
    def test_tasks_return_if_the_leader_is_lost(self):
        self.check_return(["leader"])

    # Guards against tasks that stay down if both are lost.
    def test_tasks_return_if_a_place_and_the_leader_are_lost(self):
        self.check_return(["leader", "place"])


if __name__ == "__main__":
    unittest.main()
