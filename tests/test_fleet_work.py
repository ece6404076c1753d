"""End-to-end tests of jobs on a fleet, on a simulated clock."""

import unittest
from unittest.mock import patch

import msgspec

from gypsumwalk.declaration_records import Resources
from gypsumwalk.dispatcher import Dispatcher
from gypsumwalk.effects import CallPlatform
from gypsumwalk.fleet_calls import (
    AnnounceInstanceCall,
    DescribeUpkeepCall,
    SubmitWorkloadCall,
)
from gypsumwalk.instance_actions import StopRun
from gypsumwalk.workload_records import Step, TaskKey, TaskRecord, Workload
from tests._fleet_work import CAPACITY, HOST, KEY, FleetWorld, make_declaration
from tests._fleet_work_checks import (
    find_duplicate_runs,
    find_early_starts,
    find_excess_attempts,
    find_overloads,
    find_quota_excess,
)

JOB = "00000000000000aa"
NEED = Resources(2000, 1000)


def is_stop(effect):
    return isinstance(effect, CallPlatform) and isinstance(effect.action, StopRun)


class TestWithoutFaults(unittest.TestCase):
    def test_a_job_of_two_steps_completes_in_order(self):
        world = FleetWorld()
        world.begin()
        steps = [Step(3, NEED), Step(2, NEED, after=[0])]
        assert world.submit(JOB, steps).status == 200
        assert world.await_state(JOB, "completed", within=3.0)
        history = world.model.history
        assert len(history) == 5
        assert (
            find_early_starts(history, lambda step: [(0, 3)] if step == 1 else []) == []
        )
        assert find_duplicate_runs(history) == []

    def test_no_stop_is_sent_to_runs_that_end_together(self):
        world = FleetWorld(instances=1)
        world.begin()
        world.submit(JOB, [Step(4, NEED)])
        assert world.await_state(JOB, "completed", within=3.0)
        stops = [entry for entry in world.trace if is_stop(entry.effect)]
        assert stops == []

    def test_the_first_task_starts_at_once(self):
        world = FleetWorld()
        world.begin()
        world.submit(JOB)
        sent = world.now
        world.run(0.1)
        assert world.model.history[0].started - sent < 0.05

    def test_submission_is_idempotent_by_identifier(self):
        world = FleetWorld()
        world.begin()
        for _ in range(3):
            assert world.submit(JOB).status == 200
        world.await_state(JOB, "completed")
        assert world.submit(JOB).status == 200
        world.run(2.0)
        assert len(world.model.history) == 2

    def test_capacity_limits_concurrent_runs(self):
        world = FleetWorld(instances=2)
        world.begin()
        world.submit(JOB, [Step(20, NEED)])
        assert world.await_state(JOB, "completed")
        assert find_overloads(world.model.history, lambda task: 2000, 8000) == []

    def test_a_quota_limits_the_runs_of_a_team(self):
        world = FleetWorld()
        world.begin(quota=Resources(4000, 0))
        world.submit(JOB, [Step(10, NEED)])
        assert world.await_state(JOB, "completed")
        assert find_quota_excess(world.model.history, lambda task: 2000, 4000) == []

    def test_a_task_that_always_fails_ends_the_job(self):
        world = FleetWorld()
        world.begin(attempts=3)
        for run in range(1, 10):
            world.run_results[f"{JOB}.0.0.0", run] = (0.1, "failed")
        world.submit(JOB, [Step(1, NEED)])
        assert world.await_state(JOB, "failed")
        world.run(3.0)
        assert len(world.model.history) == 3
        assert find_excess_attempts(world.model.history, 3) == []

    def test_max_per_instance_limits_tasks_on_one_instance(self):
        world = FleetWorld()
        world.begin()
        world.submit(JOB, [Step(3, NEED, max_per_instance=1)])
        assert world.await_state(JOB, "completed")
        assert len({item.life for item in world.model.history}) == 3

    def test_an_occurrence_starts_when_it_is_due(self):
        world = FleetWorld()
        world.begin()
        due = world.now + 2.0
        world.submit(JOB, [Step(1, NEED)], first_run=due, interval=3.0, occurrences=2)
        assert world.await_state(JOB, "completed")
        starts = [item.started for item in world.model.history]
        assert starts[0] >= due
        assert starts[1] >= due + 3.0
        assert starts[0] - due < 0.1

    def test_members_of_a_gang_start_with_the_same_run_number(self):
        world = FleetWorld()
        world.begin()
        world.run_results[f"{JOB}.0.0.0", 1] = (0.2, "failed")
        world.submit(JOB, [Step(3, NEED, gang=True)])
        world.run(0.1)
        assert {item.run for item in world.model.history} == {1}
        assert len(world.model.history) == 3

    def test_a_gang_that_lost_a_member_is_stopped_and_restarts_together(self):
        world = FleetWorld(task_seconds=60.0)
        world.begin()
        world.run_results[f"{JOB}.0.0.0", 1] = (0.5, "failed")
        world.submit(JOB, [Step(3, NEED, gang=True)])
        world.run(1.5)
        history = world.model.history
        first = [item for item in history if item.run == 1]
        assert [item.end_kind for item in first] == ["failed", "stopped", "stopped"]
        assert len([item for item in history if item.run == 2]) == 3
        assert find_duplicate_runs(history) == []

    def test_a_run_that_is_being_stopped_counts_until_its_end_is_listed(self):
        """Reports sent for the ends of other runs omit a run that is being stopped."""
        world = FleetWorld(instances=1, task_seconds=60.0)
        world.begin()
        world.model.stop_durations = [0.05, 0.1, 0.2, 0.35]
        world.run_results[f"{JOB}.0.0.0", 1] = (0.5, "failed")
        world.submit(JOB, [Step(4, NEED, gang=True)])
        world.run(3.0)
        history = world.model.history
        assert find_duplicate_runs(history) == []
        assert find_overloads(history, lambda task: 2000, 8000) == []
        assert len([item for item in history if item.run == 2]) == 4

    def test_all_members_of_a_gang_resume_from_one_checkpoint(self):
        tasks = {
            (0, 0, number): TaskRecord(run=1, checkpoint=checkpoint)
            for number, checkpoint in enumerate(["", "saved-1", "saved-2"])
        }
        for gang, expected in (
            (True, ["saved-1", "saved-1", "saved-1"]),
            (False, ["", "saved-1", "saved-2"]),
        ):
            steps = [Step(3, NEED, gang=gang, checkpoints=True)]
            job = Workload(JOB, "queue", "service", "team", "", steps, tasks=tasks)
            found = [job.find_checkpoint(TaskKey(JOB, 0, 0, item)) for item in range(3)]
            assert found == expected


class TestCalls(unittest.TestCase):
    def test_an_unknown_key_is_refused(self):
        world = FleetWorld()
        world.begin()
        assert world.submit(JOB, key="another").status == 401
        assert world.describe(JOB, key="another").status == 401

    def test_an_unknown_queue_or_job_is_named(self):
        world = FleetWorld()
        world.begin()
        assert world.submit(JOB, queue="none").status == 404
        answer = world.describe(JOB)
        assert answer.status == 410
        assert JOB in answer.body.detail

    def test_a_cancelled_job_is_stopped(self):
        world = FleetWorld(task_seconds=60.0)
        world.begin()
        world.submit(JOB)
        world.run(1.0)
        assert world.cancel(JOB).status == 200
        world.run(0.5)
        assert world.get_state(JOB) == "cancelled"
        assert all(item.end_kind == "stopped" for item in world.model.history)
        assert world.cancel(JOB).status == 200

    def test_jobs_are_refused_before_the_first_declaration(self):
        world = FleetWorld()
        world.run_until(world.find_leader, within=10.0)
        answer = world.submit(JOB)
        assert answer.status == 503
        assert "Retry-After" in answer.headers

    def test_a_follower_names_the_leader(self):
        world = FleetWorld()
        world.begin()
        leader = world.find_leader()
        other = next(name for name in world.names if name != leader)
        from gypsumwalk.fleet_calls import ReadDeclarationCall

        call = world.call(ReadDeclarationCall(), to=other, credential=KEY)
        world.run_until(lambda: call.ended, within=1.0)
        assert call.answer.status == 503
        assert call.answer.headers["Gypsumwalk-Leader"] == leader


class TestPendingSubmissions(unittest.TestCase):
    def setUp(self):
        self.world = FleetWorld()
        self.world.begin()
        self.leader = self.world.find_leader()
        self.consensus = self.world.get_leader().consensus
        self.call = SubmitWorkloadCall(HOST, f"/a/{JOB}", "spec", [Step(1, NEED)])

    def isolate_leader(self):
        others = [name for name in self.world.names if name != self.leader]
        self.world.partition([self.leader], others)

    def send(self, *, key=KEY):
        return self.world.call(self.call, to=self.leader, credential=key)

    def await_answers(self, *calls):
        assert self.world.run_until(
            lambda: all(call.ended for call in calls), within=5.0
        )
        return [call.answer.status for call in calls]

    def test_a_second_submission_joins_the_pending_proposal(self):
        self.isolate_leader()
        first = self.send()
        self.world.run(0.1)
        with patch.object(
            self.consensus, "propose", side_effect=self.consensus.propose
        ) as propose:
            second = self.send()
            self.world.run(0.1)
            self.world.heal()
            assert self.await_answers(first, second) == [200, 200]
        assert propose.call_count == 0

    def test_a_joining_call_needs_the_key_as_well(self):
        self.isolate_leader()
        first = self.send()
        self.world.run(0.1)
        assert self.await_answers(self.send(key="another")) == [401]
        assert not first.ended

    def test_a_former_leader_does_not_refuse_a_job_that_it_has_proposed(self):
        self.isolate_leader()
        first = self.send()
        self.world.run(1.2)
        assert not self.consensus.holds_lease(self.world.now)
        second = self.send()
        self.world.run(0.1)
        assert not first.ended
        assert self.await_answers(first, second) == [502, 502]

    def test_a_leader_with_too_many_proposals_does_not_refer_to_itself(self):
        with patch("gypsumwalk.proposals.MAX_PENDING", 0):
            call = self.send()
            assert self.await_answers(call) == [503]
        assert "Gypsumwalk-Leader" not in call.answer.headers
        assert call.answer.headers["Retry-After"] == "1"

    def test_a_job_of_unknown_outcome_is_not_refused_afterwards(self):
        self.isolate_leader()
        assert self.await_answers(self.send()) == [502]
        handler = self.world.assemblies[self.leader].call_handler
        with (
            patch("gypsumwalk.proposals.MAX_PENDING", 0),
            patch.object(handler, "_leadership") as leadership,
        ):
            leadership.holds_lease.return_value = True
            assert self.await_answers(self.send()) == [502]


class TestDeclarations(unittest.TestCase):
    def test_the_highest_version_is_in_force(self):
        world = FleetWorld()
        world.begin()
        assert world.declare(make_declaration(7)).status == 200
        assert world.declare(make_declaration(3)).status == 200
        assert world.read_declaration().body.source == "source 7"

    def test_a_leader_without_a_quorum_does_not_report_itself_active(self):
        world = FleetWorld()
        world.begin()
        isolated = world.find_leader()
        assert world.assemblies[isolated].dispatcher.is_active
        world.partition([isolated])
        world.run(1.2)
        assert not world.assemblies[isolated].dispatcher.is_active

    # A leader whose event loop stood still was taken for the leader after its lease.
    def test_a_leader_that_stands_still_leads_until_its_lease_ends(self):
        world = FleetWorld()
        world.begin()
        paused = world.find_leader()
        assembly = world.assemblies[paused]
        assert assembly.is_leading(world.now)
        world.pause(paused)
        world.run(1.2)
        assert not assembly.is_leading(world.now)
        world.resume(paused)
        world.run(5.0)
        assert world.get_leader().is_leading(world.now)

    def test_the_lease_end_agrees_with_the_lease(self):
        world = FleetWorld()
        world.begin()
        for _ in range(200):
            world.run(0.01)
            for name in world.names:
                consensus = world.assemblies[name].consensus
                holds = world.now < consensus.lease_end
                assert holds == consensus.holds_lease(world.now)

    def test_an_invalid_declaration_is_refused_as_a_whole(self):
        world = FleetWorld()
        world.begin()
        bad = make_declaration(9)
        bad.queues.append(bad.queues[0])
        answer = world.declare(bad)
        assert answer.status == 422
        assert 'queue "queue-a" is declared twice' in answer.body.errors
        assert world.read_declaration().body.source == "source 1"


class TestInstances(unittest.TestCase):
    def test_a_run_that_is_reported_lost_is_not_started_afterwards(self):
        """A network link recovers while the loss of a placed run is being committed."""
        world = FleetWorld(task_seconds=1.0)
        world.begin()
        world.network.delay = 0.1
        checks = []

        def may_start(dispatcher, run, now):
            checks.append(run)
            return len(checks) > 1

        with patch.object(Dispatcher, "_can_start", may_start):
            world.submit(JOB, [Step(1, NEED)])
            world.run(5.0)
        assert world.get_state(JOB) == "completed"
        assert find_duplicate_runs(world.model.history) == []
        assert len(world.model.history) == 1

    def test_a_crashed_instance_loses_no_task(self):
        world = FleetWorld(task_seconds=3.0)
        world.begin()
        world.submit(JOB)
        world.run(1.0)
        lives = {item.life for item in world.model.history}
        for number in range(3):
            instance = world.get_instance(number)
            if instance.registered.life in lives:
                world.model.crash(instance, world.now)
                break
        assert world.await_state(JOB, "completed", within=20.0)
        assert find_duplicate_runs(world.model.history) == []

    def test_a_silent_instance_continues_until_its_lease_ends(self):
        world = FleetWorld(task_seconds=60.0)
        world.begin()
        world.submit(JOB, [Step(1, NEED, lasting=True)])
        world.run(1.0)
        instance = next(item for item in world.model.instances.values() if item.running)
        instance.is_silent = True
        world.run(15.0)
        runs = world.model.history
        assert len(runs) == 2
        assert runs[0].end_kind == "lapsed"
        assert find_duplicate_runs(runs) == []

    def test_an_order_carried_out_late_starts_nothing_twice(self):
        world = FleetWorld(task_seconds=1.0)
        world.begin()
        for instance in world.model.instances.values():
            instance.order_delay = 3.0
        world.submit(JOB)
        world.run(2.0)
        for instance in world.model.instances.values():
            instance.order_delay = 0.0
        assert world.await_state(JOB, "completed")
        world.run(5.0)
        assert find_duplicate_runs(world.model.history) == []

    def test_a_restarted_instance_has_lost_its_runs(self):
        world = FleetWorld(task_seconds=3.0)
        world.begin()
        world.submit(JOB, [Step(3, NEED, max_per_instance=1)])
        world.run(1.0)
        world.start_instance(0, life=2)
        assert world.await_state(JOB, "completed", within=15.0)
        assert find_duplicate_runs(world.model.history) == []


class TestAnnouncements(unittest.TestCase):
    def setUp(self):
        self.world = FleetWorld()
        self.world.begin()
        self.registered = self.world.get_instance(0).registered
        leader = self.world.find_leader()
        self.follower = next(name for name in self.world.names if name != leader)
        self.world.run_until(self.is_registered, within=5.0)

    def is_registered(self):
        workloads = self.world.assemblies[self.follower].workloads
        return self.registered.life in workloads.instances

    def announce(self, **changes):
        registered = msgspec.structs.replace(self.registered, **changes)
        call = self.world.call(AnnounceInstanceCall(registered), to=self.follower)
        assert self.world.run_until(lambda: call.ended, within=1.0)
        return call.answer.status

    def isolate_follower(self):
        others = [name for name in self.world.names if name != self.follower]
        self.world.partition([self.follower], others)
        self.world.run(3.0)

    def test_a_follower_acknowledges_what_it_knows(self):
        assert self.announce() == 200

    def test_a_follower_refers_what_is_new_or_changed_to_the_leader(self):
        changes = (
            {"draining": True},
            {"labels": ["b"]},
            {"born": self.registered.born + 1},
            {"instance": "i-new", "address": "host-new:80"},
        )
        for change in changes:
            with self.subTest(**change):
                assert self.announce(**change) == 503

    def test_a_follower_that_is_cut_off_acknowledges_only_what_is_committed(self):
        self.isolate_follower()
        leader = self.world.find_leader()
        draining = msgspec.structs.replace(self.registered, draining=True)
        committed = self.world.call(AnnounceInstanceCall(draining), to=leader)
        assert self.world.run_until(lambda: committed.ended, within=2.0)
        assert committed.answer.status == 200
        assert self.announce(draining=True) == 503
        assert self.announce() == 200
        self.world.heal()
        workloads = self.world.assemblies[self.follower].workloads
        assert self.world.run_until(
            lambda: workloads.instances[self.registered.life].draining, within=5.0
        )
        assert self.announce(draining=True) == 200

    def test_a_follower_acknowledges_an_earlier_life(self):
        later = msgspec.structs.replace(
            self.registered, born=self.registered.born + 1000
        )
        self.world.ask(AnnounceInstanceCall(later))
        self.world.run_until(lambda: not self.is_registered(), within=5.0)
        assert self.announce() == 200


class TestChangeOfLeader(unittest.TestCase):
    def test_a_new_leader_continues_and_starts_no_task_twice(self):
        world = FleetWorld(task_seconds=2.0)
        world.begin()
        world.submit(JOB, [Step(6, NEED), Step(3, NEED, after=[0])])
        world.run(1.0)
        world.kill(world.find_leader())
        assert world.await_state(JOB, "completed", within=20.0)
        history = world.model.history
        assert len(history) == 9
        assert find_duplicate_runs(history) == []

    def test_all_daemons_lose_power_and_nothing_accepted_is_lost(self):
        world = FleetWorld(task_seconds=2.0)
        world.begin()
        world.submit(JOB)
        world.declare(make_declaration(5))
        world.lose_power(down=1.0)
        assert world.read_declaration().body.source == "source 5"
        assert world.await_state(JOB, "completed", within=20.0)
        assert find_duplicate_runs(world.model.history) == []

    def test_a_voter_with_a_wiped_disk_rejoins_by_itself(self):
        world = FleetWorld()
        world.begin()
        leader = world.find_leader()
        other = next(name for name in world.names if name != leader)
        world.lose_disk(other)
        world.run(0.5)
        world.restart(other)
        world.run(4.0)
        voters = world.get_leader().consensus.replica.voters
        assert sorted(voters) == world.names
        assert voters[other] != f"first-{other}"
        third = next(name for name in world.names if name not in (leader, other))
        world.kill(third)
        world.run(3.0)
        assert world.declare(make_declaration(5)).status == 200

    # A leader counted the entries on a lost disk as entries on the new one.
    def test_a_new_disk_votes_only_once_it_holds_every_committed_entry(self):
        world = FleetWorld(instances=0)
        world.begin()
        leader = world.find_leader()
        other = next(name for name in world.names if name != leader)
        consensus = world.get_leader().consensus
        world.lose_disk(other)
        world.run(0.5)
        world.restart(other)
        assert world.run_until(
            lambda: consensus.plan_voter_change(world.now), within=5.0
        )
        storage = world.assemblies[other].consensus.replica.storage
        assert storage.durable == consensus.commit

    def test_a_paused_leader_sends_no_stale_orders_after_it_resumes(self):
        world = FleetWorld(task_seconds=2.0)
        world.begin()
        world.submit(JOB, [Step(6, NEED), Step(3, NEED, after=[0])])
        world.run(1.0)
        paused = world.find_leader()
        world.pause(paused)
        world.run(4.0)
        world.resume(paused)
        assert world.await_state(JOB, "completed", within=20.0)
        assert find_duplicate_runs(world.model.history) == []

    def test_a_leader_without_a_majority_renews_no_lease(self):
        """A cut-off leader kept renewing leases (bench, Batedores trouble-2)."""
        world = FleetWorld(task_seconds=60.0, instances=2)
        world.begin()
        world.submit(JOB, [Step(2, NEED, lasting=True)])
        world.run(1.0)
        old = world.find_leader()
        others = [name for name in world.names if name != old]
        minority_instance = next(
            item for item in world.model.instances.values() if item.running
        )
        minority_instance.unreachable_from = set(others)
        world.partition([old], others)
        world.run(12.0)
        world.heal()
        minority_instance.unreachable_from = set()
        world.run(3.0)
        assert find_duplicate_runs(world.model.history) == []
        assert len(world.model.history) >= 2


class TestWaves(unittest.TestCase):
    def test_a_wave_respects_max_down_and_the_budget_of_lasting_tasks(self):
        world = FleetWorld(task_seconds=1000.0, instances=4)
        world.begin()
        step = Step(3, NEED, max_per_instance=1, lasting=True, max_unavailable=1)
        world.submit(JOB, [step])
        world.run(2.0)
        machines = [f"m-{number}" for number in range(4)]
        assert world.start_wave(1, machines, duration=40.0).status == 200
        world.run(40.0)
        ordered_at = [at for at, _, _ in world.model.maintenance_orders]
        assert (
            sorted(machine for _, _, machine in world.model.maintenance_orders)
            == machines
        )
        intervals = [
            later - earlier
            for earlier, later in zip(ordered_at, ordered_at[1:], strict=False)
        ]
        assert min(intervals) >= 2.0
        assert find_duplicate_runs(world.model.history) == []
        ordered = sorted(machine for _, machine, _, _ in world.model.machine_orders)
        assert ordered == machines
        holders = {holder for _, _, holder, _ in world.model.machine_orders}
        assert len(holders) == 1

    # A wave was completed without a machine that no list had shown for a moment.
    def test_a_wave_waits_for_a_machine_that_is_missing_from_the_list_for_seconds(self):
        world = FleetWorld(task_seconds=1000.0)
        world.begin()
        missing = world.model.machines.pop("m-2")
        world.run(2.0)
        machines = ["m-0", "m-1", "m-2"]
        world.start_wave(1, machines, duration=30.0, max_down=3)
        world.run(5.0)
        assert not world.ask(DescribeUpkeepCall(1)).body.completed
        world.model.machines["m-2"] = missing
        world.run(30.0)
        ordered = {machine for _, _, machine in world.model.maintenance_orders}
        assert ordered == set(machines)
        assert world.ask(DescribeUpkeepCall(1)).body.completed

    # Guards against a machine that was left out of its wave for good, as it had been
    # missing from the lists while others of the wave were still due (issue 43).
    def test_a_wave_takes_a_machine_that_has_returned_to_the_list(self):
        world = FleetWorld(instances=2, task_seconds=30.0)
        world.begin()
        world.submit(JOB, [Step(1, CAPACITY)])
        world.run(1.0)
        (run,) = world.model.history
        busy = world.model.instances[f"host-{run.life[2]}:80"].registered.machine
        missing = {"m-0": "m-1", "m-1": "m-0"}[busy]
        info = world.model.machines.pop(missing)
        world.run(2.0)
        world.start_wave(1, ["m-0", "m-1"], duration=90.0)
        world.run(15.0)
        world.model.machines[missing] = info
        world.run(40.0)
        ordered = {machine for _, _, machine in world.model.maintenance_orders}
        assert ordered == {"m-0", "m-1"}
        assert world.ask(DescribeUpkeepCall(1)).body.completed

    def test_a_wave_is_completed_without_a_machine_that_has_left_the_fleet(self):
        world = FleetWorld(task_seconds=1000.0)
        world.begin()
        del world.model.machines["m-2"]
        world.run(2.0)
        world.start_wave(1, ["m-0", "m-2"], duration=20.0)
        world.run(6.0)
        assert not world.ask(DescribeUpkeepCall(1)).body.completed
        world.run(12.0)
        assert world.ask(DescribeUpkeepCall(1)).body.completed


if __name__ == "__main__":
    unittest.main()
