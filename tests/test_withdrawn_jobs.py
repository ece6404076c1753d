"""Tests that a cancelled job does not run, however late its submission arrives.

A cancel that is answered 410 says that no such job exists. It has to hold for a
submission that is on its way at that time.
"""

import unittest
from random import Random

import msgspec

from gypsumwalk.declaration_records import (
    Declaration,
    DeclaredQueue,
    DeclaredService,
    DeclaredTeam,
    Resources,
)
from gypsumwalk.fleet_calls import CancelWorkloadCall, SubmitWorkloadCall
from gypsumwalk.state import Accepted, Rejected
from gypsumwalk.withdrawn_jobs import (
    KEEP_SECONDS,
    MAX_KEPT_PER_CALLER,
    WithdrawnJob,
    WithdrawnJobs,
)
from gypsumwalk.workload_records import AcceptWorkload, CancelWorkload, Step, Workload
from gypsumwalk.workloads import JOB_WITHDRAWN, TOO_MANY_WITHDRAWN, WorkloadSection
from tests._fleet_work import HOST, KEY, NO_QUOTA, FleetWorld

JOB, OTHER_JOB = "00000000000000aa", "00000000000000bb"
OTHER_KEY = "key-of-another-team"
STEPS = [Step(1, Resources(1000, 1000), lasting=True)]
CANCEL_SECONDS = 3.0
"""Time after the answer to a cancel from which no task of the job may start."""


def make_workload(job=JOB, queue="queue-a", team="team"):
    return Workload(job, queue, "service-a", team, "spec", STEPS)


def withdraw(number, queue="queue-a", team="team", at=0.0):
    return WithdrawnJob(queue, team, f"job-{number}", at)


class TestKeptCancels(unittest.TestCase):
    def test_a_cancel_is_kept_for_a_while_after_its_latest_repetition(self):
        kept = WithdrawnJobs()
        for at in (0.0, 40.0):
            assert kept.add(withdraw(0, at=at))
        for now, is_kept in ((40.0 + KEEP_SECONDS - 0.1, True), (100.0, False)):
            assert bool(kept.find("queue-a", "team", "job-0", now)) == is_kept

    def test_a_flood_of_one_caller_replaces_no_cancel(self):
        kept = WithdrawnJobs()
        assert kept.add(withdraw(0, team="other"))
        for number in range(MAX_KEPT_PER_CALLER):
            assert kept.add(withdraw(number))
        assert not kept.add(withdraw(MAX_KEPT_PER_CALLER))
        assert kept.add(withdraw(0))
        assert kept.add(withdraw(1, team="other"))
        for team in ("team", "other"):
            assert kept.find("queue-a", team, "job-0", 1.0)

    def test_the_room_of_a_caller_is_free_again_after_a_while(self):
        kept = WithdrawnJobs()
        for number in range(MAX_KEPT_PER_CALLER):
            kept.add(withdraw(number))
        assert not kept.add(withdraw("new", at=KEEP_SECONDS - 0.1))
        assert kept.add(withdraw("new", at=KEEP_SECONDS))
        assert len(kept.dump()) == 1

    def test_a_copy_decides_as_the_original(self):
        kept = WithdrawnJobs()
        random = Random(1)
        for step in range(400):
            team = random.choice(["team", "other", ""])
            kept.add(withdraw(random.randrange(30), team=team, at=step / 2))
        copy = WithdrawnJobs()
        copy.load(kept.dump())
        for at in (200.0, 230.0, 270.0):
            for item in (kept, copy):
                item.add(withdraw("new", at=at))
            assert copy.dump() == kept.dump()


class TestSection(unittest.TestCase):
    def setUp(self):
        self.section = WorkloadSection()

    def cancel(self, job=JOB, queue="queue-a", team="team", at=0.0):
        return self.section.apply(CancelWorkload(job, queue, team), 1, at)

    def accept(self, at=1.0, **fields):
        return self.section.apply(AcceptWorkload(make_workload(**fields)), 2, at)

    def test_a_submission_that_is_committed_after_a_cancel_is_refused(self):
        assert isinstance(self.cancel(), Accepted)
        result = self.accept()
        assert isinstance(result, Rejected)
        assert result.reason == JOB_WITHDRAWN
        assert JOB not in self.section.jobs
        assert self.section.count_waiting("queue-a") == 0

    def test_a_submission_is_accepted_once_the_cancel_is_old(self):
        self.cancel()
        assert isinstance(self.accept(at=KEEP_SECONDS), Accepted)

    # Guards against a caller that cancels jobs of another queue or team.
    def test_a_cancel_refuses_no_job_of_another_queue_or_team(self):
        self.cancel()
        assert isinstance(self.accept(team="other"), Accepted)
        self.setUp()
        self.cancel(queue="public", team="")
        assert isinstance(self.accept(), Accepted)

    def test_a_cancel_on_a_public_queue_refuses_the_submission_of_any_team(self):
        self.cancel(queue="public", team="")
        for team in ("", "team"):
            assert isinstance(self.accept(queue="public", team=team), Rejected)

    def test_a_cancel_without_room_is_refused(self):
        for number in range(MAX_KEPT_PER_CALLER):
            self.cancel(f"{number:015x}f")
        result = self.cancel(JOB)
        assert isinstance(result, Rejected)
        assert result.reason == TOO_MANY_WITHDRAWN
        assert isinstance(self.accept(), Accepted)

    # A daemon that starts from a snapshot decides as those that applied the log.
    def test_a_snapshot_keeps_the_cancels(self):
        self.cancel()
        copy = WorkloadSection()
        copy.load(self.section.dump())
        assert copy.dump() == self.section.dump()
        self.section = copy
        assert isinstance(self.accept(), Rejected)

    def test_snapshots_and_commands_of_earlier_versions_keep_none(self):
        self.cancel()
        content = msgspec.msgpack.decode(self.section.dump())
        del content["withdrawn"]
        self.section = WorkloadSection()
        self.section.load(msgspec.msgpack.encode(content))
        assert isinstance(self.cancel(queue="", team=""), Rejected)
        assert isinstance(self.accept(), Accepted)


class TestCancels(unittest.TestCase):
    def make_world(self, seed=0):
        world = FleetWorld(seed, instances=1)
        world.begin()
        queues = [
            DeclaredQueue("keyed", HOST, "/keyed/", "service-a", timeout=3.0),
            DeclaredQueue(
                "public", HOST, "/public/", "service-a", timeout=3.0, public=True
            ),
        ]
        services = [DeclaredService("service-a")]
        teams = [
            DeclaredTeam("team", [KEY], 1.0, NO_QUOTA),
            DeclaredTeam("other", [OTHER_KEY], 1.0, NO_QUOTA),
        ]
        world.declare(Declaration(2, queues, services, teams, "source 2"))
        return world

    def submit(self, world, queue="keyed", job=JOB, key=KEY):
        call = SubmitWorkloadCall(HOST, f"/{queue}/{job}", "spec", STEPS)
        return world.ask(call, key=key)

    def cancel(self, world, queue="keyed", job=JOB, key=KEY):
        return world.ask(CancelWorkloadCall(HOST, f"/{queue}/{job}"), key=key)

    def assert_never_runs(self, world, seconds=8.0):
        """Assert that no task starts after the time for which a cancel may take."""
        answered_at = world.now
        world.run(seconds)
        late = [
            run
            for run in world.model.history
            if run.started > answered_at + CANCEL_SECONDS or run.ended is None
        ]
        assert late == []

    # Guards against UNASKED: a frozen entry passed on a submission after the cancel of
    # the job had been answered 410, and the job ran without an end.
    def test_a_submission_that_arrives_after_its_cancel_is_refused(self):
        world = self.make_world()
        assert self.cancel(world).status == 410
        answer = self.submit(world)
        assert answer.status == 503
        assert answer.body.type == "/problems/withdrawn"
        assert 50 <= int(answer.headers["Retry-After"]) <= KEEP_SECONDS
        assert world.describe(JOB, queue="keyed").status == 410
        self.assert_never_runs(world)
        assert world.model.history == []

    def test_the_identifier_may_be_used_again_at_the_time_that_is_named(self):
        world = self.make_world()
        self.cancel(world)
        seconds = int(self.submit(world).headers["Retry-After"])
        world.run(seconds)
        assert self.submit(world).status == 200
        assert world.run_until(lambda: world.model.history, within=2.0)

    # As before, where the cancel is known from the log, or a snapshot, only.
    def test_the_next_leader_refuses_the_submission_too(self):
        for lose_power in (False, True):
            with self.subTest(lose_power=lose_power):
                world = self.make_world()
                self.cancel(world)
                if lose_power:
                    world.lose_power()
                else:
                    world.kill(world.find_leader())
                    world.run(2.0)
                assert self.submit(world).status == 503
                self.assert_never_runs(world)

    # Guards against UNASKED: the leader answered 410 while it held the submission as
    # a proposal, and committed it some milliseconds later.
    def test_a_submission_is_cancelled_while_it_is_pending(self):
        for delay in (0.0, 0.001, 0.002, 0.005):
            with self.subTest(delay=delay):
                world = self.make_world()
                leader = world.find_leader()
                call = SubmitWorkloadCall(HOST, f"/keyed/{JOB}", "spec", STEPS)
                world.call(call, to=leader, credential=KEY)
                world.run(delay)
                assert self.cancel(world).status in (200, 410)
                self.assert_never_runs(world)

    # Guards against UNASKED: the former leader had proposed the submission, and the
    # next one committed it after it had answered the cancel with 410.
    def test_a_submission_to_a_leader_that_is_lost_is_cancelled(self):
        for seed, delay in enumerate((0.0, 0.002, 0.004, 0.006, 0.02)):
            with self.subTest(delay=delay):
                world = self.make_world(seed)
                leader = world.find_leader()
                call = SubmitWorkloadCall(HOST, f"/keyed/{JOB}", "spec", STEPS)
                world.call(call, to=leader, credential=KEY)
                world.run(delay)
                world.kill(leader)
                assert self.cancel(world).status in (200, 410)
                # The entry sends what got no answer to the next leader.
                self.submit(world)
                self.assert_never_runs(world)

    def test_a_cancel_without_the_key_of_the_team_keeps_nothing(self):
        world = self.make_world()
        assert self.cancel(world, key="").status == 401
        assert self.cancel(world, key="unknown").status == 401
        assert self.cancel(world, key=OTHER_KEY).status == 410
        assert self.cancel(world, queue="public", key="").status == 410
        assert self.submit(world).status == 200

    def test_a_cancel_on_a_public_queue_needs_no_key(self):
        world = self.make_world()
        assert self.cancel(world, queue="public", key="").status == 410
        assert self.submit(world, queue="public", key="").status == 503
        assert self.submit(world, queue="public", key=KEY).status == 503

    def test_another_job_is_accepted_after_many_cancels(self):
        world = self.make_world()
        for number in range(200):
            assert self.cancel(world, job=f"{number:015x}f").status == 410
        assert self.submit(world, job=OTHER_JOB).status == 200
        assert world.run_until(lambda: world.model.history, within=2.0)


if __name__ == "__main__":
    unittest.main()
