"""Seeded soak of the platform's programs with instances that begin again, and are cut.

Instances and clients are in the test's process, and what they see is checked.
"""

import time
from concurrent.futures import ThreadPoolExecutor
from random import Random

from tests._fake_instance import FakeInstance
from tests._fleet_work_checks import find_duplicate_runs
from tests._life_soak_callers import Submitter, find_length
from tests._platform_processes import (
    CONTROL_ADDRESSES,
    INSTANCES,
    Processes,
    await_true,
)

NAMES = [f"i-{number}" for number in range(8)]
CALLERS = 4
START_SECONDS = 60.0
LEADER_SECONDS = 20.0
TROUBLE_SECONDS = 8.0
COMPLETION_SECONDS = 45.0
"""Limit from the end of the troubles until all accepted jobs are completed. A start
that was not answered is waited for 12 s, and a lease of 6 s may follow; the rest is for
the work, another such wait, and a busy machine."""

PROCESS_TROUBLES = ["", "", "leader killed", "leader terminated", "entry terminated"]


class Soak:
    """Instances in trouble drawn from a seed, while clients submit jobs."""

    title = "life soak"
    names = NAMES
    completion_seconds = COMPLETION_SECONDS

    def __init__(self, seed, folder):
        self._random = Random(f"{self.title} {seed}")
        self._steps_path = folder / "steps"
        self._began = time.monotonic()
        self._processes = self._make_processes(folder)
        draws = self._draw_seeds(len(self.names))
        self._instances = [
            self._make_instance(name, Random(draw))
            for name, draw in zip(self.names, draws, strict=True)
        ]
        self._submitters = []
        self._failures = []
        self._steps = []

    def run(self):
        assert await_true(self._processes.configure, START_SECONDS), "no start"
        for instance in self._instances:
            instance.begin_life()
        self._submitters = [
            self._make_submitter(Random(draw)) for draw in self._draw_seeds(CALLERS)
        ]
        time.sleep(0.5)
        self._disturb()
        for submitter in self._submitters:
            submitter.stop()
        self._await_completion()
        for instance in self._instances:
            instance.close()
        self._check()

    def close(self):
        for submitter in self._submitters:
            submitter.stop()
        for instance in self._instances:
            instance.close()
        self._processes.close()
        self._steps_path.write_text("".join(self._steps))

    def _make_processes(self, folder):
        return Processes(folder)

    def _make_instance(self, name, random):
        return FakeInstance(name, INSTANCES, CONTROL_ADDRESSES, random, find_length)

    def _make_submitter(self, random):
        return Submitter(random)

    def _draw_seeds(self, count):
        return [self._random.getrandbits(64) for _ in range(count)]

    def _disturb(self):
        """Play the series of the instances and the troubles of the processes."""
        for instance in self._instances:
            instance.is_harassed = True
        steps = sorted(self._draw_steps(), key=lambda step: step[0])
        trouble = self._random.choice(PROCESS_TROUBLES)
        delays = self._random.uniform(1.0, 6.0), self._random.uniform(0.3, 2.0)
        with ThreadPoolExecutor(1) as pool:
            disturbed = pool.submit(self._disturb_process, trouble, *delays)
            began = time.monotonic()
            for at, number, action in steps:
                time.sleep(max(0.0, began + at - time.monotonic()))
                getattr(self._instances[number], action)()
                self._note(f"{NAMES[number]} {action}")
            disturbed.result()
        for instance in self._instances:
            instance.is_harassed = False

    def _draw_steps(self):
        """Return time, instance and action of each step of series that overlap."""
        steps = []
        free_from = [0.0] * len(NAMES)
        at = 0.0
        while at < TROUBLE_SECONDS - 3.0:
            free = [x for x in range(len(NAMES)) if free_from[x] <= at]
            count = min(len(free), self._random.randint(1, 4))
            for number in self._random.sample(free, count):
                dark = at + self._random.uniform(0.0, 0.3)
                born = dark + self._random.uniform(0.05, 0.6)
                cut = born + 0.02 * 50 ** self._random.random()
                back = cut + self._random.uniform(2.0, 5.0)
                times = [dark, born, cut, back]
                actions = ["go_dark", "begin_life", "cut_off", "reconnect"]
                steps += zip(times, [number] * 4, actions, strict=True)
                free_from[number] = back + 0.3
            at += self._random.uniform(0.3, 1.2)
        return steps

    def _disturb_process(self, trouble, delay, outage):
        if not trouble:
            return
        time.sleep(delay)
        name, action = trouble.split()
        if name == "leader":
            name = await_true(self._processes.find_leader, LEADER_SECONDS)
            assert name, f"no leader in {LEADER_SECONDS} s"
        self._note(f"{name} is {action}")
        self._processes.end(name, is_killed=action == "killed")
        time.sleep(outage)
        self._processes.start(name)
        self._note(f"{name} starts again")

    def _await_completion(self):
        began = time.monotonic()
        for submitter in self._submitters:
            left = began + self.completion_seconds - time.monotonic()
            jobs = submitter.await_completion(max(1.0, left))
            self._failures += [f"{job} is accepted, not completed" for job in jobs]
        self._note(f"completion took {time.monotonic() - began:.1f} s")
        for name in self._processes.list_ended():
            self._failures.append(f"{name} has ended by itself")

    def _check(self):
        history = [run for item in self._instances for run in item.history]
        refused = set().union(*(item.refused for item in self._submitters))
        accepted = sum(len(item.accepted) for item in self._submitters)
        self._note(f"{len(history)} runs; {accepted} jobs accepted, {len(refused)} not")
        failures = self._failures
        for task, *runs, what in find_duplicate_runs(history, time.monotonic()):
            failures.append(f"{task}, runs {runs}: {what}")
            failures += [str(item) for item in history if item.task == task]
        for item in history:
            if item.task.partition(".")[0] in refused:
                failures.append(f"a refused job runs: {item}")
        for instance in self._instances:
            failures += instance.errors
        if failures:
            self._note("\n".join(failures))
            raise AssertionError(self._describe(failures))
        assert accepted and history, "nothing ran"

    def _describe(self, failures):
        lines = [f"now is {time.monotonic():.3f}", *failures]
        lines += ["".join(self._steps), self._processes.describe()]
        return "\n".join(lines)

    def _note(self, step):
        now = time.monotonic()
        self._steps.append(f"{now - self._began:7.2f} {now:.3f} {step}\n")
