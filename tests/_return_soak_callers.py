"""Clients of the soak of returns, whose tasks are short, long or lasting."""

from random import Random

from tests._life_soak_callers import Submitter
from tests._platform_processes import Caller, await_true

SHORT_SECONDS, LONG_SECONDS, LASTING_SECONDS = (0.1, 0.8), (4.0, 15.0), (1e6, 1e6)
LONG_SHARE, LASTING_SHARE = 0.4, 0.04
NEED = {"cpu": 500, "mem_mb": 100}
"""Little enough for the runs of lost instances to find room on the others at once."""

OVER = (200, 410)


def find_bounds(job):
    chance = Random(job).random()
    if chance < LASTING_SHARE:
        return LASTING_SECONDS
    return LONG_SECONDS if chance < LASTING_SHARE + LONG_SHARE else SHORT_SECONDS


def find_length(task, run):
    """Return the seconds that each run of a task takes, and how it ends."""
    job = task.partition(".")[0]
    return Random(f"{job} length").uniform(*find_bounds(job)), "done"


def is_lasting(job):
    return find_bounds(job) == LASTING_SECONDS


class MixedSubmitter(Submitter):
    """Client that also submits jobs that last until it cancels them."""

    pause_seconds = (0.1, 0.7)
    find_length = staticmethod(find_length)

    def __init__(self, random, hosts):
        self.counts = {}
        """Number of tasks of each job."""
        super().__init__(random, hosts)

    def await_completion(self, seconds):
        jobs = [job for job in self.accepted if not is_lasting(job)]
        return self.await_state(jobs, "completed", seconds)

    def list_lasting(self):
        return [job for job in self.accepted if is_lasting(job)]

    def cancel(self, jobs, seconds):
        """Cancel jobs, and return those whose cancelling is not acknowledged."""
        caller = Caller(self._hosts)
        remaining = list(jobs)

        def is_over():
            for job in list(remaining):
                if caller.call("DELETE", job)[0] in OVER:
                    remaining.remove(job)
            return not remaining

        await_true(is_over, seconds)
        caller.close()
        return remaining

    def _make_step(self, job):
        if is_lasting(job):
            return {"count": 1, **NEED, "long_running": True}
        step = super()._make_step(job) | NEED
        self.counts[job] = step["count"]
        return step
