"""Tests that disks which refuse writes in turn cost no answer, task or declaration."""

import unittest
from functools import partial

from gypsumwalk.declaration_records import Resources
from gypsumwalk.effects import Record
from gypsumwalk.events import Event
from gypsumwalk.fleet_calls import SubmitWorkloadCall
from gypsumwalk.workload_records import Step
from tests._fleet_work import HOST, KEY, FleetWorld, make_declaration
from tests._fleet_work_checks import find_duplicate_runs

LASTING_JOB = "00000000000000aa"
LASTING_TASK = f"{LASTING_JOB}.0.0.0"
EARLY_JOB = "00000000000000bb"
LATE_JOB = "00000000000000cc"
SMALL = Resources(500, 500)
SEEDS = 2
LOAD_SECONDS = 0.5
"""Interval of the jobs that callers hand in, so that every disk is written to."""

OUTAGE_SECONDS = 5.0
SECOND_OUTAGE_SECONDS = 10.0
"""Time from the first refused write until the disk of a second voter refuses writes."""

PAUSE_SECONDS = 2.0
ELECTION_SECONDS = 4.0
RETURN_SECONDS = 4.0
"""Time after which a machine whose disk works again counts as back, as users say."""

RECOVERY_SECONDS = 12.0
"""Time after which the service is back once too many voters were lost at a time."""

ANSWER_SECONDS = 3.0
RESTART_SECONDS = 6.0
"""Time after its last run from which a lasting task has to run again."""

ALLOWED_SECONDS = 3.0
"""Time within which it has to run then, where the end of its last run was unnoticed."""


class TestRefusedWritesInTurn(unittest.TestCase):
    """Guards against a quorum lost for good with two refused writes (issue 43)."""

    def begin(self, seed):
        """Start a lasting task, and let callers hand in jobs all the time."""
        world = FleetWorld(seed, max_lease=10.0)
        world.run_results = {
            (LASTING_TASK, run): (600.0, "done") for run in range(1, 20)
        }
        world.begin()
        self.world = world
        self.jobs = 0
        self.version = 1
        self.declare()
        assert world.submit(EARLY_JOB).status == 200
        step = Step(1, SMALL, lasting=True)
        assert world.submit(LASTING_JOB, [step]).status == 200
        assert world.run_until(self.list_lasting_runs, within=ALLOWED_SECONDS)
        world.schedule(0.0, self.hand_in)
        world.run(2.0)
        return world.find_leader()

    def hand_in(self):
        """Hand in a job, unless nobody leads, and do so again after an interval."""
        self.world.schedule(LOAD_SECONDS, self.hand_in)
        if leader := self.world.find_leader():
            self.jobs += 1
            path = f"/b/{self.jobs:016x}"
            call = SubmitWorkloadCall(HOST, path, "load", [Step(1, SMALL)])
            self.world.call(call, to=leader, credential=KEY)

    def declare(self):
        self.await_leader(ANSWER_SECONDS)
        answer = self.world.declare(make_declaration(self.version + 1))
        assert answer is not None, f"declaration {self.version + 1} gets no answer"
        assert answer.status == 200, answer
        self.version += 1

    def refuse(self, name, at, seconds):
        """Let a disk refuse writes for some seconds from a time on."""
        delay = at - self.world.now
        self.world.schedule(delay, lambda: self.world.fill_disk(name))
        self.world.schedule(
            delay + seconds, lambda: self.world.fill_disk(name, full=False)
        )

    def pause(self, name, at, seconds):
        delay = at - self.world.now
        self.world.schedule(delay, lambda: self.world.pause(name))
        self.world.schedule(delay + seconds, lambda: self.world.resume(name))

    def list_lasting_runs(self):
        history = self.world.model.history
        return [run for run in history if run.task == LASTING_TASK]

    def list_refusals(self):
        """Return the daemons whose disks refused a write, in order."""
        return [
            entry.node
            for entry in self.world.trace
            if isinstance(entry.effect, Record)
            and entry.effect.event is Event.DISK_FAILED
        ]

    def await_leader(self, within):
        has_leader = self.world.run_until(self.world.find_leader, within=within)
        assert has_leader, f"nobody leads within {within} s"

    def choose_second(self, first, role):
        """Return the voter whose disk refuses writes next, and the third one."""
        leader = self.world.find_leader()
        assert leader != first, "the daemon without a disk leads"
        (follower,) = set(self.world.names) - {first, leader}
        pair = (leader, follower)
        return pair if role == "leader" else pair[::-1]

    def refuse_in_turn(self, role, seed):
        """Let the first leader's disk refuse writes, and then that of another voter."""
        first = self.begin(seed)
        self.refuse(first, self.world.now, OUTAGE_SECONDS)
        end = self.world.now + SECOND_OUTAGE_SECONDS
        self.world.run(1.0)
        self.await_leader(ELECTION_SECONDS)
        self.declare()
        self.world.run(end - self.world.now)
        second, _ = self.choose_second(first, role)
        self.refuse(second, self.world.now, OUTAGE_SECONDS)
        self.world.run(OUTAGE_SECONDS + RETURN_SECONDS)
        assert self.list_refusals() == [first, second], self.list_refusals()

    def check_after(self, play, check):
        """Check after days on which the second voter leads, or follows."""
        for role in ("leader", "follower"):
            for seed in range(SEEDS):
                with self.subTest(role=role, seed=seed):
                    play(role, seed)
                    check()

    def check_answers(self):
        for job in (EARLY_JOB, LASTING_JOB):
            self.await_leader(ANSWER_SECONDS)
            answer = self.world.describe(job)
            assert answer is not None, f"job {job} gets no answer"
            assert answer.status == 200, answer
        assert self.world.submit(LATE_JOB).status == 200
        is_done = self.world.await_state(LATE_JOB, "completed", within=RETURN_SECONDS)
        assert is_done, "a job that was handed in after the outages is not completed"

    def check_declarations(self):
        for _ in range(2):
            self.await_leader(ANSWER_SECONDS)
            answer = self.world.read_declaration()
            assert answer.body.source == f"source {self.version}", answer
            self.declare()

    def check_lasting_task(self):
        self.world.model.advance(self.world.now)
        runs = self.list_lasting_runs()
        starts = [run.started for run in runs[1:]] + [self.world.now]
        ends = [self.world.now if run.ended is None else run.ended for run in runs]
        gaps = [start - end for end, start in zip(ends, starts, strict=True)]
        assert max(gaps) < RESTART_SECONDS + ALLOWED_SECONDS, gaps
        assert runs[-1].ended is None, f"the lasting task is not at work: {runs[-1]}"
        assert find_duplicate_runs(self.world.model.history) == []

    def check_service(self):
        self.check_lasting_task()
        self.check_answers()
        self.check_declarations()

    def test_jobs_are_answered_after_the_outages(self):
        self.check_after(self.refuse_in_turn, self.check_answers)

    def test_the_last_declaration_is_kept_and_a_new_one_accepted(self):
        self.check_after(self.refuse_in_turn, self.check_declarations)

    def test_a_lasting_task_is_at_work_after_the_outages(self):
        self.check_after(self.refuse_in_turn, self.check_lasting_task)

    # Two of three voters have no disk for a moment, so nobody may lead then.
    def test_the_outages_of_two_voters_overlap_at_their_ends(self):
        for overlap in (0.3, 1.0):
            with self.subTest(overlap=overlap):
                play = partial(self.refuse_with_overlap, overlap)
                self.check_after(play, self.check_service)

    def refuse_with_overlap(self, overlap, role, seed):
        first = self.begin(seed)
        end = self.world.now + SECOND_OUTAGE_SECONDS
        self.refuse(first, self.world.now, SECOND_OUTAGE_SECONDS + overlap)
        self.world.run(1.0)
        self.await_leader(ELECTION_SECONDS)
        self.declare()
        self.world.run(end - self.world.now)
        second, _ = self.choose_second(first, role)
        self.refuse(second, self.world.now, OUTAGE_SECONDS)
        self.world.run(overlap)
        self.await_leader(RECOVERY_SECONDS)
        self.world.run(OUTAGE_SECONDS + RETURN_SECONDS)
        assert self.list_refusals() == [first, second], self.list_refusals()

    def test_the_third_voter_is_paused_as_the_second_refuses_writes(self):
        self.check_after(self.refuse_beside_a_pause, self.check_service)

    def refuse_beside_a_pause(self, role, seed):
        first = self.begin(seed)
        self.refuse(first, self.world.now, OUTAGE_SECONDS)
        self.world.run(SECOND_OUTAGE_SECONDS)
        second, third = self.choose_second(first, role)
        self.refuse(second, self.world.now, OUTAGE_SECONDS)
        self.pause(third, self.world.now, PAUSE_SECONDS)
        self.world.run(PAUSE_SECONDS)
        self.await_leader(RECOVERY_SECONDS)
        self.world.run(OUTAGE_SECONDS + RETURN_SECONDS)
        assert self.list_refusals() == [first, second], self.list_refusals()


if __name__ == "__main__":
    unittest.main()
