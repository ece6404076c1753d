"""Tests of faults during waves, moves and jobs.

Deliberate faults show that the checks can fail.
"""

import unittest
from unittest import mock

from gypsumwalk import tasks
from gypsumwalk.folder import PoolTable, WaveTable
from gypsumwalk.job_calls import CancelJobCall, DescribeJob, ExplainJob, SubmitJobCall
from gypsumwalk.operator_calls import (
    AbortWaveCall,
    DescribeWave,
    ExplainWave,
    MoveInstanceCall,
    PauseWaveCall,
    StartWaveCall,
)
from gypsumwalk.pools import PoolSection
from tests._fleet import FleetWorld, make_folder
from tests._fleet_checks import (
    Sampler,
    check_all,
    check_budget,
    check_limit,
    check_one_pool,
    check_starts,
)


class FaultCase(unittest.TestCase):
    def start(self, *, budget=1, **fields):
        fields = {"instances": 4, "per_rack": 2} | fields
        folder = make_folder(**fields)
        for name in folder.pools:
            folder.pools[name] = PoolTable(max_unavailable=budget)
        self.world = FleetWorld(folder)
        self.world.settle()
        self.sampler = Sampler(self.world)
        return self.world

    def call_as_operator(self, call):
        return self.world.ask(call, credential="operator")

    def start_wave(self, name="w", run=1):
        answer = self.call_as_operator(StartWaveCall(name, run))
        assert answer.status == 200, answer

    def describe_wave(self, name="w"):
        return self.call_as_operator(DescribeWave(name)).body

    def wait_for_reboots(self, count, within=300.0):
        reboots = self.world.platform.reboots
        assert self.world.run_until(lambda: len(reboots) >= count, within=within)
        return reboots[count - 1][1]

    def crash(self, *names):
        for name in names:
            self.world.platform.crash(name, self.world.now)

    def submit(self, job_id, queue="p0", credential="red", **fields):
        call = SubmitJobCall(job_id=job_id, queue=queue, **fields)
        answer = self.world.ask(call, credential=credential)
        assert answer.status == 200, answer

    def get_state(self, job_id, credential="red"):
        return self.world.ask(DescribeJob(job_id), credential=credential).body.state


class TestWaveFaults(FaultCase):
    def test_rack_lost_during_a_wave_pauses_it_at_once(self):
        world = self.start(budget=3)
        self.start_wave()
        self.wait_for_reboots(1)
        self.crash("p0-2", "p0-3")
        world.run(20.0)
        assert self.describe_wave().state == "paused"
        before = len(world.platform.reboots)
        world.run(300.0)
        assert len(world.platform.reboots) == before
        reasons = self.call_as_operator(ExplainWave("w")).body.reasons
        assert any("p0-2, p0-3" in item.text for item in reasons), reasons
        for name in ("p0-2", "p0-3"):
            world.platform.restore(name, world.now)
        world.run(60.0)
        self.start_wave()
        world.run(400.0)
        assert self.describe_wave().state == "finished"
        check_all(world, self.sampler)

    def test_second_instance_lost_right_after_a_repair_delays_the_wave(self):
        world = self.start()
        self.start_wave()
        first = self.wait_for_reboots(1)
        world.run(35.0)
        assert world.leader.pools.find(first).state == "dwelling"
        other = next(name for name in ("p0-2", "p0-3") if name != first)
        self.crash(other)
        world.run(200.0)
        assert len(world.platform.reboots) == 1
        world.platform.restore(other, world.now)
        world.run(500.0)
        assert self.describe_wave().state == "finished"
        check_all(world, self.sampler)

    def test_reboot_that_never_returns_counts_as_a_loss(self):
        world = self.start(budget=2)
        world.platform.machines["p0-0"].recovers = False
        self.start_wave()
        world.run(2500.0)
        status = self.describe_wave()
        assert status.state == "finished", status
        assert (status.done, status.skipped) == (3, 1)
        assert world.leader.pools.find("p0-0").state == "lost"
        check_all(world, self.sampler)

    def test_isolated_leader_orders_no_more_reboots(self):
        world = self.start()
        self.start_wave()
        self.wait_for_reboots(1)
        world.elect("b")
        world.run(400.0)
        assert self.describe_wave().state == "finished"
        calls = [
            entry
            for entry in world.trace
            if entry.node == "a" and type(entry.effect).__name__ == "CallPlatform"
        ]
        assert calls[-1].at < world.log.cut_off_at["a"] + 3.0
        world.heal()
        world.log.cut_off_at.clear()
        world.run(5.0)
        check_all(world, self.sampler)

    def test_pause_returns_drained_instances_and_resume_continues(self):
        world = self.start(drain_seconds=100.0)
        for number in range(4):
            self.submit(f"j{number}", command="run 60", processors=60.0)
        world.run(3.0)
        self.start_wave()
        world.run(5.0)
        self.call_as_operator(PauseWaveCall("w"))
        world.run(5.0)
        assert all(item.is_available for item in world.leader.pools.list_instances())
        assert self.describe_wave().state == "paused"
        self.start_wave()
        world.run(600.0)
        assert self.describe_wave().state == "finished"
        assert self.get_state("j0") == "succeeded"
        check_all(world, self.sampler)

    def test_abort_ends_the_wave_and_rebooting_instances_return(self):
        world = self.start()
        self.start_wave()
        self.wait_for_reboots(1)
        assert self.call_as_operator(AbortWaveCall("w")).status == 200
        assert self.call_as_operator(AbortWaveCall("w")).status == 200
        world.run(200.0)
        assert len(world.platform.reboots) == 1
        assert all(item.is_available for item in world.leader.pools.list_instances())
        assert self.call_as_operator(StartWaveCall("w", run=2)).status == 200
        world.run(500.0)
        assert self.describe_wave().state == "finished"
        check_all(world, self.sampler)

    def test_repeated_start_after_the_end_has_no_effect(self):
        world = self.start()
        self.start_wave()
        world.run(500.0)
        self.start_wave()
        world.run(60.0)
        assert len(world.platform.reboots) == 4
        assert self.call_as_operator(StartWaveCall("w", run=3)).status == 409

    def test_wave_reboots_instances_in_its_window_only(self):
        world = self.start()
        hour = (world.now / 3600.0) % 24.0
        start = (hour + 1.0) % 24.0
        table = WaveTable(pools=["p0"], window_start_hour=start, window_hours=0.05)
        world.log.folder.waves["w"] = table
        self.start_wave()
        world.run(3500.0)
        assert world.platform.reboots == []
        world.run(1000.0)
        opens_after = (start - hour) % 24.0 * 3600.0
        assert world.platform.reboots
        opens_at = self.sampler.began + opens_after
        for at, _ in world.platform.reboots:
            assert opens_at <= at < opens_at + 0.05 * 3600.0 + 60.0
        check_all(world, self.sampler)

    def test_two_waves_at_once_share_the_budget(self):
        world = self.start()
        world.log.folder.waves["v"] = WaveTable(pools=["p0", "p1"], concurrency=4)
        self.start_wave("w")
        self.start_wave("v")
        world.run(2500.0)
        assert self.describe_wave("w").state == "finished"
        assert self.describe_wave("v").state == "finished"
        assert len(world.platform.reboots) == 12
        check_all(world, self.sampler)

    def test_wave_survives_restarts_of_every_daemon(self):
        world = self.start()
        self.start_wave()
        for _ in range(8):
            world.run(17.0)
            for name in ("a", "b", "c"):
                world.restart(name)
        world.run(400.0)
        assert self.describe_wave().state == "finished"
        assert len(world.platform.reboots) == 4
        check_all(world, self.sampler)

    def test_budget_check_fails_when_grants_ignore_the_budget(self):
        with mock.patch.object(PoolSection, "find_budget", lambda self, pool: 99):
            world = self.start(concurrency=4)
            self.start_wave()
            world.run(200.0)
        with self.assertRaises(AssertionError):
            check_budget(self.sampler)

    def test_budget_check_fails_without_a_dwell_time(self):
        with mock.patch(
            "gypsumwalk.pool_controller.PoolController._find_dwell_seconds",
            return_value=0.0,
        ):
            world = self.start()
            self.start_wave()
            world.run(200.0)
        with self.assertRaises(AssertionError):
            check_budget(self.sampler)


class TestJobFaults(FaultCase):
    def test_job_of_a_lost_worker_restarts_after_its_lease_only(self):
        world = self.start()
        self.submit("j", command="run 100", repeatable=True)
        world.run(3.0)
        machine = world.platform.executions[0].machine
        world.platform.machines[machine].reachable = False
        world.run(300.0)
        assert self.get_state("j") == "succeeded"
        assert len(world.platform.executions) == 2
        check_all(world, self.sampler, {"j"})

    def test_lease_check_fails_when_the_lease_end_is_not_awaited(self):
        with mock.patch.object(tasks, "LEASE_END_SECONDS", 0.0):
            world = self.start()
            self.submit("j", command="run 100", repeatable=True)
            world.run(3.0)
            machine = world.platform.executions[0].machine
            world.platform.machines[machine].reachable = False
            world.run(100.0)
        with self.assertRaises(AssertionError):
            check_starts(world, {"j"})

    def test_job_that_is_not_repeatable_is_never_started_twice(self):
        world = self.start()
        self.submit("j", command="run 100")
        world.run(3.0)
        self.crash(world.platform.executions[0].machine)
        world.run(200.0)
        assert self.get_state("j") == "unknown"
        check_all(world, self.sampler)

    def test_start_check_fails_when_every_job_counts_as_repeatable(self):
        world = self.start()
        self.submit("j", command="run 100", repeatable=True)
        world.run(3.0)
        self.crash(world.platform.executions[0].machine)
        world.run(200.0)
        with self.assertRaises(AssertionError):
            check_starts(world)

    def test_new_leader_restarts_no_job(self):
        world = self.start()
        for number in range(6):
            self.submit(f"j{number}", command="run 60")
        world.elect("b")
        world.run(120.0)
        assert all(self.get_state(f"j{number}") == "succeeded" for number in range(6))
        check_all(world, self.sampler)

    def test_upper_limit_holds_and_is_given_as_the_reason(self):
        world = self.start(limit=2)
        for number in range(5):
            self.submit(f"j{number}", command="run 20")
        world.run(5.0)
        for daemon in ("a", "b"):
            reasons = world.ask(ExplainJob("j4"), to=daemon).body.reasons
            assert any("upper limit" in item.text for item in reasons), reasons
        world.partition(["b"], ["a"])
        assert world.ask(ExplainJob("j4"), to="b").status == 200
        world.heal()
        world.run(100.0)
        assert all(self.get_state(f"j{number}") == "succeeded" for number in range(5))
        check_all(world, self.sampler)

    def test_limit_check_fails_when_no_unit_is_taken(self):
        with mock.patch("tests._fleet.FakeViews.acquire", return_value=True):
            world = self.start(limit=2)
            for number in range(5):
                self.submit(f"j{number}", command="run 20")
            world.run(10.0)
        with self.assertRaises(AssertionError):
            check_limit(world)

    def test_cancellations_of_every_other_job(self):
        world = self.start(instances=2)
        for number in range(30):
            self.submit(f"j{number}", command="run 30", processors=16.0)
        for number in range(0, 30, 2):
            world.call(CancelJobCall(f"j{number}"), credential="red")
        world.run(400.0)
        states = [self.get_state(f"j{number}") for number in range(30)]
        assert set(states[0::2]) <= {"cancelled", "succeeded"}
        assert set(states[1::2]) == {"succeeded"}
        assert world.leader.views.units_in_use["red"] == 0
        check_all(world, self.sampler)

    def test_broken_worker_is_quarantined_and_its_jobs_are_not_blamed(self):
        world = self.start(instances=4)
        world.platform.machines["p0-1"].broken = True
        for number in range(24):
            self.submit(f"j{number}", command="run 2", repeatable=True)
            world.run(1.0)
        world.run(120.0)
        assert world.leader.pools.find("p0-1").state == "quarantined"
        assert all(self.get_state(f"j{number}") == "succeeded" for number in range(24))
        world.platform.machines["p0-1"].broken = False
        world.run(300.0)
        assert world.leader.pools.find("p0-1").state == "active"

    def test_jobs_that_always_fail_put_no_worker_into_quarantine(self):
        world = self.start(instances=4)
        for number in range(10):
            self.submit(f"good{number}", credential="blue", command="run 2")
            self.submit(f"bad{number}", command="fail 1", repeatable=True)
        world.run(300.0)
        assert all(self.get_state(f"bad{number}") == "failed" for number in range(10))
        assert all(item.is_available for item in world.leader.pools.list_instances())

    def test_job_that_can_no_longer_be_placed_fails_with_a_reason(self):
        world = self.start()
        self.submit("big", processors=64.0, command="run 1000")
        for number in range(4):
            self.submit(f"j{number}", processors=64.0, command="run 1000")
        instances = dict(world.log.folder.instances)
        for name in [name for name in instances if name.startswith("p0")]:
            del instances[name]
        world.change_folder(instances=instances)
        world.run(5.0)
        states = [self.get_state(f"j{number}") for number in range(4)]
        assert "failed" in states
        reasons = world.ask(ExplainJob("j3"), to="a").body.reasons
        assert "pool p0 has no instances" in reasons[-1].text


class TestMoves(FaultCase):
    def move(self, name, destination):
        return self.call_as_operator(MoveInstanceCall(name, destination))

    def test_move_drains_reassigns_and_joins(self):
        world = self.start()
        self.submit("j", command="run 20", processors=64.0)
        world.run(2.0)
        name = world.platform.executions[0].machine
        assert self.move(name, "p1").status == 200
        world.run(5.0)
        assert world.leader.pools.find(name).pool == "p0"
        world.run(60.0)
        record = world.leader.pools.find(name)
        assert (record.pool, record.state) == ("p1", "active")
        check_all(world, self.sampler)

    def test_one_of_two_concurrent_moves_succeeds(self):
        world = self.start()
        first = world.call(MoveInstanceCall("p0-0", "p1"), credential="operator")
        second = world.call(MoveInstanceCall("p0-1", "p1"), credential="operator")
        world.run(1.0)
        statuses = sorted([first.answer.status, second.answer.status])
        assert statuses == [200, 409]
        world.run(60.0)
        check_all(world, self.sampler)

    def test_move_continues_after_restarts_and_a_crash(self):
        world = self.start()
        self.move("p0-0", "p1")
        for _ in range(5):
            world.run(0.7)
            for name in ("a", "b", "c"):
                world.restart(name)
        self.crash("p0-0")
        world.run(60.0)
        check_one_pool(world)
        world.platform.restore("p0-0", world.now)
        world.run(60.0)
        assert world.leader.pools.find("p0-0").state == "active"
        check_all(world, self.sampler)

    def test_one_pool_check_fails_when_the_old_pool_keeps_its_member(self):
        def assign(self, record, pool):
            record.pool = pool
            self._index.add(record)

        with mock.patch.object(PoolSection, "_assign", assign):
            world = self.start()
            self.move("p0-0", "p1")
            world.run(60.0)
        with self.assertRaises(AssertionError):
            check_one_pool(world)


if __name__ == "__main__":
    unittest.main()
