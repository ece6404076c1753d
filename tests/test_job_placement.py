"""Tests of job scheduling: shares, urgency, backfill, estimates, overload, failures."""

import unittest
from unittest import mock

from gypsumwalk.failure_attribution import QUARANTINE_EVIDENCE, FailureAttribution
from gypsumwalk.folder import TeamTable
from gypsumwalk.job_calls import DescribeJob, SubmitJobCall
from gypsumwalk.job_estimates import JobEstimator
from gypsumwalk.job_planner import JobPlanner
from gypsumwalk.job_records import SubmitJob
from gypsumwalk.platform import TaskKey, TaskUsage
from tests._fleet import FleetWorld, make_folder


class PlacementCase(unittest.TestCase):
    def start(self, *, instances=2, **fields):
        self.world = FleetWorld(make_folder(pools=1, instances=instances, **fields))
        self.world.settle()
        return self.world

    def submit(self, job_id, credential="red", **fields):
        call = SubmitJobCall(job_id=job_id, queue="p0", **fields)
        answer = self.world.ask(call, credential=credential)
        assert answer.status == 200, answer

    def find_start(self, job_id):
        for execution in self.world.platform.executions:
            if execution.key.job_id == job_id:
                return execution.started_at
        return None

    def count_running(self, team):
        now = self.world.now
        return sum(
            self.world.leader.jobs.find(item.key.job_id).spec.team == team
            for item in self.world.platform.executions
            if item.started_at <= now < item.ended_at
        )


class TestOrder(PlacementCase):
    def fill_pool(self, *, share=1.0, seconds=20):
        world = self.start(instances=2, limit=200)
        world.platform.usage_factor = 15.0
        world.log.folder.teams["blue"] = TeamTable(share=share, limit=200)
        for number in range(40):
            self.submit(f"r{number}", command=f"run {seconds}", processors=16.0)
        for number in range(40):
            self.submit(f"b{number}", "blue", command=f"run {seconds}", processors=16.0)
        return world

    def test_teams_get_equal_shares_of_a_full_pool(self):
        world = self.fill_pool()
        world.run(50.0)
        assert self.count_running("red") == self.count_running("blue") == 4

    def test_teams_get_capacity_by_their_shares(self):
        world = self.fill_pool(share=3.0)
        world.run(50.0)
        assert (self.count_running("red"), self.count_running("blue")) == (2, 6)

    def test_share_test_fails_when_shares_are_ignored(self):
        with mock.patch.object(JobPlanner, "compute_weighted_share", return_value=0.0):
            world = self.fill_pool(share=3.0)
            world.run(50.0)
        assert (self.count_running("red"), self.count_running("blue")) != (2, 6)

    def test_urgent_job_preempts_a_repeatable_one_at_once(self):
        world = self.start(instances=2)
        for number in range(8):
            self.submit(
                f"r{number}", command="run 500", processors=16.0, repeatable=True
            )
        world.run(5.0)
        self.submit("u", "blue", command="run 5", processors=16.0, urgent=True)
        submitted_at = world.now
        world.run(10.0)
        assert self.find_start("u") - submitted_at < 1.5
        world.run(20.0)
        victims = [item for item in world.platform.executions if item.key.attempt > 1]
        assert len(victims) == 1
        task = world.platform.tasks[victims[0].key]
        assert task.checkpoint.startswith(victims[0].key.job_id)

    def test_urgent_job_preempts_no_job_that_is_not_repeatable(self):
        world = self.start(instances=1)
        self.submit("r", command="run 60", processors=64.0)
        self.submit("u", "blue", command="run 5", processors=64.0, urgent=True)
        world.run(100.0)
        assert len(world.platform.executions) == 2
        assert self.find_start("u") > self.find_start("r") + 59.0

    def test_small_job_is_backfilled_without_delaying_the_first(self):
        world = self.start(instances=1)
        self.submit("long", command="run 60", processors=48.0, run_seconds=60.0)
        world.run(2.0)
        self.submit("head", command="run 5", processors=32.0, run_seconds=5.0)
        self.submit("wide", command="run 90", processors=16.0, run_seconds=90.0)
        self.submit("small", command="run 20", processors=16.0, run_seconds=20.0)
        world.run(200.0)
        assert self.find_start("small") < self.find_start("long") + 10.0
        assert self.find_start("head") < self.find_start("long") + 65.0
        assert self.find_start("wide") >= self.find_start("head")

    def test_jobs_of_a_team_are_spread_over_racks(self):
        world = self.start(instances=8, per_rack=2)
        for number in range(4):
            self.submit(f"r{number}", command="run 60")
        world.run(5.0)
        machines = {item.machine for item in world.platform.executions}
        racks = {world.leader.pools.find(name).rack for name in machines}
        assert len(racks) == 4


class TestEstimates(PlacementCase):
    def test_usage_far_below_the_declared_resources_is_learned(self):
        world = self.start(instances=1, limit=100)
        world.platform.usage_factor = 4.0
        for number in range(12):
            self.submit(f"a{number}", command="run 5", processors=16.0, memory_gb=8.0)
        world.run(60.0)
        for number in range(12):
            self.submit(f"b{number}", command="run 30", processors=16.0, memory_gb=8.0)
        world.run(5.0)
        assert self.count_running("red") > 8

    def test_quantiles_need_samples_and_are_bounded(self):
        estimator = JobEstimator()
        spec = SubmitJob("j", "red", "q", processors=2.0, memory_gb=4.0)
        for number in range(7):
            key = TaskKey("j", number)
            estimator.record_usage(TaskUsage(key, 100.0, 4.0))
            estimator.record_end(key, spec, 30.0)
        assert estimator.estimate_resources(spec) == (2.0, 4.0, 0.0)
        estimator.record_usage(TaskUsage(TaskKey("j", 8), 100.0, 2.0))
        estimator.record_end(TaskKey("j", 8), spec, 30.0)
        assert estimator.estimate_resources(spec) == (8.0, 4.0, 0.0)
        assert estimator.estimate_run_seconds(spec) == 30.0

    def test_overload_leads_to_throttle_then_checkpoint_then_stop(self):
        world = self.start(instances=1, limit=100)
        world.platform.usage_factor = 20.0
        for number in range(4):
            call = {"command": "run 300", "processors": 1.0, "repeatable": True}
            self.submit(f"r{number}", **call)
        self.submit("b", "blue", command="run 300", processors=1.0, repeatable=True)
        world.run(60.0)
        names = [
            type(entry.effect.action).__name__
            for entry in world.trace
            if type(entry.effect).__name__ == "CallPlatform"
        ]
        steps = ["ThrottleTask", "CheckpointTask", "StopTask"]
        positions = [names.index(step) for step in steps]
        assert positions == sorted(positions)
        assert self.count_running("blue") == 1
        assert world.ask(DescribeJob("b"), credential="blue").body.attempt == 1


class TestFailureAttribution(unittest.TestCase):
    def test_worker_that_fails_jobs_which_run_elsewhere_is_a_quarantine_candidate(self):
        failures = FailureAttribution()
        failures.record_success("red", "good")
        blamed = [failures.record_failure("red", f"j{n}", "bad", 0.0) for n in range(3)]
        assert blamed == [True, False, False]
        assert failures.list_quarantine_candidates() == ["bad"]

    def test_team_whose_jobs_fail_everywhere_puts_no_worker_into_quarantine(self):
        failures = FailureAttribution()
        for number in range(40):
            failures.record_failure("red", f"j{number}", f"w{number % 4}", 0.0)
        for number in range(4):
            assert failures.sum_evidence(f"w{number}") < QUARANTINE_EVIDENCE

    def test_failure_on_a_second_worker_counts_against_the_job(self):
        failures = FailureAttribution()
        failures.record_success("red", "good")
        failures.record_failure("red", "j", "w1", 0.0)
        assert failures.record_failure("red", "j", "w2", 0.0)
        assert failures.sum_evidence("w1") == failures.sum_evidence("w2") == 0.0


if __name__ == "__main__":
    unittest.main()
