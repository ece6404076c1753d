"""Tests of the order of waiting jobs when a queue asks for more than its room."""

import unittest
from random import Random
from unittest.mock import patch

from gypsumwalk.declaration_records import DeclaredQueue, Resources
from gypsumwalk.task_durations import DurationTable
from gypsumwalk.urgency import UrgencyEstimator
from gypsumwalk.workload_records import Step, Workload, WorkloadState

QUEUE = DeclaredQueue("q", "h", "/q/", "s", timeout=3.0, objective=0.6, stretch=1.6)
NEED = Resources(1000, 1000)


def make_job(job, accepted, *, length=1.0, state=WorkloadState.QUEUED, count=1):
    steps = [Step(count, NEED, length)]
    return Workload(job, "q", "s", "t", "", steps, accepted=accepted, state=state)


def sort_jobs(jobs, now):
    estimator = UrgencyEstimator()

    def rank(job):
        urgency = estimator.rate(job, QUEUE, now)
        return urgency.tier, urgency.sort_key

    return [job.job for job in sorted(jobs, key=rank)]


class TestOverload(unittest.TestCase):
    """Pattern: a turn hands in more than the pool holds for some seconds."""

    def test_jobs_that_can_be_in_time_go_before_late_ones(self):
        jobs = [make_job("late", 0.0), make_job("fresh", 4.9)]
        assert sort_jobs(jobs, 5.0) == ["fresh", "late"]

    def test_among_those_in_time_the_one_with_least_time_goes_first(self):
        jobs = [make_job("new", 4.9), make_job("old", 4.0)]
        assert sort_jobs(jobs, 5.0) == ["old", "new"]

    def test_a_job_that_has_begun_is_finished_first(self):
        begun = make_job("begun", 4.9, state=WorkloadState.RUNNING)
        assert sort_jobs([make_job("old", 4.0), begun], 5.0) == ["begun", "old"]

    def test_small_late_jobs_go_before_large_ones(self):
        jobs = [make_job("large", 2.0, count=9), make_job("small", 2.0)]
        assert sort_jobs(jobs, 5.0) == ["small", "large"]

    def test_jobs_whose_time_is_over_go_last(self):
        jobs = [make_job("over", 0.0), make_job("late", 16.0, count=9)]
        assert sort_jobs(jobs, 20.0) == ["late", "over"]

    def test_lengths_are_learned(self):
        estimator = UrgencyEstimator()
        job = make_job("job", 4.0, length=0.1)
        slack = estimator.find_slack(job, QUEUE)
        estimator.record_duration(job, 0, 3.0)
        assert estimator.find_slack(job, QUEUE) > slack


class Turn:
    """A pool of slots, and jobs of one task that a queue hands in for some seconds."""

    SLOTS = 20
    STEP_SECONDS = 0.02
    TURN_SECONDS = 4.0
    END_SECONDS = 12.0
    MEAN_SECONDS = 0.69

    def __init__(self, seed, error):
        self.random = Random(seed)
        self.error = error
        self.estimator = UrgencyEstimator()
        self.lengths = {}
        self.waiting = []
        self.running = []
        self.in_time = 0

    def play(self, load):
        """Hand in ``load`` times what the slots can serve; return the share in time."""
        rate = load * self.SLOTS / self.MEAN_SECONDS
        now = 0.0
        while now < self.END_SECONDS:
            while now < self.TURN_SECONDS and len(self.lengths) < rate * now:
                self.hand_in(now)
            self.finish(now)
            self.start(now)
            now += self.STEP_SECONDS
        return self.in_time / len(self.lengths)

    def hand_in(self, now):
        length = self.random.lognormvariate(-0.5, 0.5)
        estimate = length * self.random.lognormvariate(0, self.error)
        job = make_job(f"{len(self.lengths):04}", now, length=estimate)
        self.lengths[job.job] = length
        self.waiting.append(job)

    def finish(self, now):
        for end, job in list(self.running):
            if end <= now:
                length = self.lengths[job.job]
                self.running.remove((end, job))
                objective = QUEUE.stretch * length + QUEUE.objective
                self.in_time += now - job.accepted <= objective
                self.estimator.record_duration(job, 0, length)

    def start(self, now):
        def rank(job):
            urgency = self.estimator.rate(job, QUEUE, now)
            return urgency.tier, urgency.sort_key, job.job

        self.waiting.sort(key=rank)
        free = self.SLOTS - len(self.running)
        for job in self.waiting[:free]:
            job.state = WorkloadState.RUNNING
            self.running.append((now + self.lengths[job.job], job))
        self.waiting = self.waiting[max(0, free) :]


class TestTurn(unittest.TestCase):
    """Pattern: a queue in its turn asks for more than its pool holds."""

    SEEDS = 3

    def play(self, load, error):
        shares = [Turn(seed, error).play(load) for seed in range(self.SEEDS)]
        return sum(shares) / self.SEEDS

    def play_without_margin(self, load, error):
        with (
            patch("gypsumwalk.urgency.START_OVERHEAD_SECONDS", 0.0),
            patch.object(DurationTable, "find_error", lambda *_: 0.0),
        ):
            return self.play(load, error)

    def test_at_twice_the_room_the_margin_keeps_more_jobs_in_time(self):
        for error in (0.0, 0.2, 0.9):
            with self.subTest(error=error):
                with_margin = self.play(2.0, error)
                assert with_margin > self.play_without_margin(2.0, error) + 0.03

    def test_below_the_room_all_are_in_time(self):
        assert self.play(0.9, 0.2) > 0.99


if __name__ == "__main__":
    unittest.main()
