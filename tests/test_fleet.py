"""Tests of waves, jobs and pools on complete nodes."""

import unittest

from gypsumwalk.job_calls import CancelJobCall, DescribeJob, ExplainJob, SubmitJobCall
from gypsumwalk.operator_calls import (
    DescribeWave,
    ExplainInstance,
    ListPools,
    StartWaveCall,
)
from tests._fleet import FleetNode, FleetWorld, make_folder


class TestJobs(unittest.TestCase):
    def setUp(self):
        self.world = FleetWorld()
        self.world.settle()

    def _submit(self, job_id="j1", **fields):
        call = SubmitJobCall(job_id=job_id, queue="p0", **fields)
        return self.world.ask(call)

    def _get_state(self, job_id="j1"):
        return self.world.ask(DescribeJob(job_id)).body.state

    def test_job_runs_once_and_its_whole_result_is_returned(self):
        assert self._submit(command="run 5").status == 200
        self.world.run(10.0)
        status = self.world.ask(DescribeJob("j1")).body
        assert status.state == "succeeded"
        assert status.result == "j1 done"
        assert len(self.world.platform.executions) == 1

    def test_repeated_submission_gets_the_same_answer(self):
        self._submit(command="run 5")
        assert self._submit(command="run 5").status == 200
        assert self._submit(command="run 6").status == 409
        self.world.run(10.0)
        assert len(self.world.platform.executions) == 1

    def test_job_that_can_never_run_is_refused_at_once(self):
        answer = self._submit(processors=65.0)
        assert answer.status == 422
        assert answer.body.outcome == "not run"
        assert "needs 65 processors, the largest has 64" in answer.body.detail

    def test_cancelled_job_is_stopped_and_returns_its_unit(self):
        self._submit(command="run 500")
        self.world.run(3.0)
        assert self._get_state() == "running"
        assert self.world.ask(CancelJobCall("j1")).status == 200
        self.world.run(3.0)
        assert self._get_state() == "cancelled"
        assert self.world.leader.views.units_in_use["red"] == 0
        assert self.world.platform.executions[0].ended_at < self.world.now

    def test_job_is_hidden_from_other_teams(self):
        self._submit()
        answer = self.world.ask(DescribeJob("j1"), credential="blue")
        assert answer.status == 403

    def test_explanation_names_the_placement(self):
        self._submit(command="run 5")
        self.world.run(2.0)
        reasons = self.world.ask(ExplainJob("j1")).body.reasons
        assert any("attempt 1 placed on p0-" in item.text for item in reasons)


class TestWaves(unittest.TestCase):
    def test_wave_reboots_each_instance_once_and_ends(self):
        world = FleetWorld(make_folder(instances=4, per_rack=2))
        world.settle()
        before = world.ask(DescribeWave("w"), credential="operator").body
        assert before.state == "not started"
        assert before.lower_bound_seconds > 0
        answer = world.ask(StartWaveCall("w"), credential="operator")
        assert answer.status == 200
        world.run(400.0)
        status = world.ask(DescribeWave("w"), credential="operator").body
        assert status.state == "finished", status
        assert status.done == 4
        names = sorted(name for _, name in world.platform.reboots)
        assert names == ["p0-0", "p0-1", "p0-2", "p0-3"]

    def test_snapshot_during_a_wave_holds_the_whole_state(self):
        world = FleetWorld(make_folder(instances=4, per_rack=2))
        world.settle()
        for number in range(6):
            body = SubmitJobCall(
                job_id=f"j{number}", queue="p0", processors=48.0, command="run 100"
            )
            world.ask(body)
        world.ask(StartWaveCall("w"), credential="operator")
        world.run(15.0)
        world.platform.crash("p1-0", world.now)
        world.run(20.0)
        original = world.leader
        restored = FleetNode("a", world.log)
        restored.state.load(original.state.dump())
        assert restored.state.dump() == original.state.dump()
        for pool in ("p0", "p1"):
            lost = original.pools.count_unavailable(pool)
            assert restored.pools.count_unavailable(pool) == lost > 0
            assert restored.pools.list_members(pool) == original.pools.list_members(
                pool
            )
        ids = [
            {item.spec.job_id for item in node.jobs.list_in_progress()}
            for node in (restored, original)
        ]
        assert ids[0] == ids[1] != set()
        assert restored.waves.list_waves() == original.waves.list_waves()

    def test_operators_calls_need_an_operators_key(self):
        world = FleetWorld()
        assert world.ask(StartWaveCall("w"), credential="red").status == 401
        world.leader.views.fresh = False
        for call in (StartWaveCall("w"), ListPools()):
            answer = world.ask(call, credential="operator", to=world.log.leader)
            assert (answer.status, answer.body.type) == (
                503,
                "/problems/key-view-stale",
            )

    def test_explanation_of_an_instance_gives_its_history(self):
        world = FleetWorld()
        world.settle()
        answer = world.ask(ExplainInstance("p0-0"), credential="operator").body
        assert answer.state == "active"
        assert "stayed healthy" in answer.reasons[-1].text
        pools = world.ask(ListPools(), credential="operator").body.pools
        assert [pool.unavailable for pool in pools] == [0, 0]


if __name__ == "__main__":
    unittest.main()
