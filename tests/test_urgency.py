"""Tests of the order of waiting jobs when a queue asks for more than its room."""

import unittest

from gypsumwalk.declaration_records import DeclaredQueue, Resources
from gypsumwalk.urgency import Urgencies
from gypsumwalk.workload_records import Step, Workload, WorkloadState

QUEUE = DeclaredQueue("q", "h", "/q/", "s", timeout=3.0, objective=0.6, stretch=1.6)
NEED = Resources(1000, 1000)


def make_job(job, accepted, *, length=1.0, state=WorkloadState.QUEUED, count=1):
    steps = [Step(count, NEED, length)]
    return Workload(job, "q", "s", "t", "", steps, accepted=accepted, state=state)


def sort_jobs(jobs, now):
    urgencies = Urgencies()

    def rank(job):
        urgency = urgencies.rate(job, QUEUE, now)
        return urgency.standing, urgency.order

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
        urgencies = Urgencies()
        job = make_job("job", 4.0, length=0.1)
        slack = urgencies.find_slack(job, QUEUE)
        urgencies.learn(job, 0, 3.0)
        assert urgencies.find_slack(job, QUEUE) > slack


if __name__ == "__main__":
    unittest.main()
