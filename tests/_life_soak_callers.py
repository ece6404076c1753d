"""Clients of the soak of lives, which submit jobs until they are told to stop."""

import threading
from concurrent.futures import ThreadPoolExecutor
from random import Random

from tests._platform_processes import ENTRY, Caller, await_true

REFUSALS = (429, 503)
SHORT_SECONDS, LONG_SECONDS = (0.1, 0.6), (1.5, 5.0)
LONG_SHARE = 0.25
MAX_ATTEMPTS = 8
PAUSE_SECONDS = (0.05, 0.4)


def find_length(task, run):
    """Return the seconds that each run of a task takes, and how it ends."""
    random = Random(task.partition(".")[0])
    bounds = LONG_SECONDS if random.random() < LONG_SHARE else SHORT_SECONDS
    return random.uniform(*bounds), "done"


class Submitter:
    """Client that submits short and long jobs, and notes how they were answered."""

    pause_seconds = PAUSE_SECONDS
    find_length = staticmethod(find_length)

    def __init__(self, random, hosts=(ENTRY,)):
        self.accepted = []
        self.refused = set()
        """Jobs whose every submission was answered with a refusal."""
        self._random = random
        self._hosts = hosts
        self._caller = Caller(hosts)
        self._stopping = threading.Event()
        self._pool = ThreadPoolExecutor(1)
        self._work = self._pool.submit(self._run)

    def stop(self):
        self._stopping.set()
        self._pool.shutdown()
        self._work.result()
        self._caller.close()

    def await_completion(self, seconds):
        """Return the accepted jobs that are not shown as completed within a time."""
        return self.await_state(self.accepted, "completed", seconds)

    def await_state(self, jobs, state, seconds):
        """Return the jobs that are not shown in a state within a time."""
        caller = Caller(self._hosts)
        remaining = list(jobs)

        def is_over():
            answers = {job: caller.call("GET", job) for job in remaining}
            for job, answer in answers.items():
                if answer == (200, {"state": state}):
                    remaining.remove(job)
            return not remaining

        await_true(is_over, seconds)
        caller.close()
        return remaining

    def _run(self):
        while not self._stopping.wait(self._random.uniform(*self.pause_seconds)):
            self._submit(f"{self._random.getrandbits(64):016x}")

    def _submit(self, job):
        step = self._make_step(job)
        body = {"spec": "text", "steps": [step]}
        statuses = []
        for _ in range(MAX_ATTEMPTS):
            status, _ = self._caller.call("POST", job, body)
            statuses.append(status)
            is_given_up = status in REFUSALS and self._random.random() < 0.5
            if status == 200 or is_given_up:
                break
            self._stopping.wait(0.2)
        if statuses[-1] == 200:
            self.accepted.append(job)
        elif all(status in REFUSALS for status in statuses):
            self.refused.add(job)

    def _make_step(self, job):
        seconds, _ = self.find_length(job, 1)
        step = {"count": self._random.randint(1, 4), "cpu": 1000, "mem_mb": 100}
        step["estimated_ms"] = int(seconds * 1000)
        return step
