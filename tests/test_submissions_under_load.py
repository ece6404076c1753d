"""Tests of refusals by a simulated cluster whose pool has more work than it can do."""

import unittest
from collections import Counter
from unittest.mock import patch

import msgspec

from gypsumwalk.declaration_records import Resources
from gypsumwalk.events import Event
from gypsumwalk.fleet_calls import SubmitWorkloadCall
from gypsumwalk.workload_records import Step
from tests._fleet_work import HOST, KEY, FleetWorld, make_declaration

NEED = Resources(1000, 1000)
TASK_SECONDS = 0.5
SMALL = [Step(1, NEED, TASK_SECONDS)]
LARGE = [Step(6, NEED, TASK_SECONDS)]
"""Jobs with less value per core-second than the small ones, as the value of a job grows
less than its work."""

SMALL_JOBS = 160
LARGE_JOBS = 20

MAX_RETRIES = 4


def make_loaded_declaration():
    """Return a declaration whose jobs are due 1 s after their submission.

    Their results have no value after 3 s.
    """
    declaration = make_declaration(2)
    queues = [
        msgspec.structs.replace(queue, objective=0.4, stretch=1.2)
        for queue in declaration.queues
    ]
    teams = [msgspec.structs.replace(team, weight=1000.0) for team in declaration.teams]
    return msgspec.structs.replace(declaration, queues=queues, teams=teams)


class Caller:
    """Submits a job, and returns when it is told to after a refusal."""

    def __init__(self, world, job, steps, retries=MAX_RETRIES):
        self.world = world
        self.job = job
        self.steps = steps
        self.retries = retries
        self.answers = []
        self.waits = []
        self.call = None

    @property
    def status(self):
        return self.answers[-1].status if self.answers else 0

    @property
    def has_ended(self):
        return self.status == 200 or (self.status == 503 and not self.retries)

    def submit(self):
        leader = self.world.find_leader()
        body = SubmitWorkloadCall(HOST, f"/a/{self.job}", "spec", self.steps)
        if not leader:
            self.world.schedule(0.2, self.submit)
            return
        self.call = self.world.call(body, to=leader, credential=KEY)
        self.sent_at = self.world.now
        self.world.schedule(0.01, self.check)

    def check(self):
        if not self.call.ended:
            self.world.schedule(0.01, self.check)
            return
        answer = self.call.answer
        if answer is None:
            # The daemon was killed, so the outcome is not known.
            self.world.schedule(0.1, self.submit)
            return
        self.answers.append(answer)
        self.waits.append(self.world.now - self.sent_at)
        if answer.status == 503 and self.retries:
            self.retries -= 1
            delay = int(answer.headers["Retry-After"])
            self.world.schedule(delay, self.submit)
        elif answer.status not in (200, 503):
            self.world.schedule(0.05, self.submit)


class LoadedWorld(FleetWorld):
    """A cluster with 16 cores that knows the durations of tasks, and its callers."""

    def __init__(self, seed=0):
        super().__init__(seed, instances=2, task_seconds=TASK_SECONDS)
        self.begin()
        self.declare(make_loaded_declaration())
        self.submit("learned", [Step(24, NEED, TASK_SECONDS)])
        assert self.await_state("learned", "completed")
        self.callers = {}
        self.submit_calm()

    def add_caller(self, job, steps=SMALL, *, after=0.0, retries=MAX_RETRIES):
        caller = Caller(self, job, steps, retries)
        self.callers[job] = caller
        self.schedule(after, caller.submit)
        return caller

    def submit_calm(self):
        """Submit a tenth of the capacity, so that the mean work of a job is known."""
        for number in range(105):
            steps = LARGE if number % 15 == 0 else SMALL
            self.add_caller(f"calm-{number:03}", steps, after=number / 10)
        assert self.await_callers()
        self.run(3.0)
        assert not self.list_refused()
        self.callers.clear()

    def submit_burst(self, seconds=0.2, **fields):
        """Submit 80 core-seconds of small jobs, and 60 of large ones after them."""
        for number in range(SMALL_JOBS):
            after = seconds * number / SMALL_JOBS
            self.add_caller(f"small-{number:03}", after=after, **fields)
        for number in range(LARGE_JOBS):
            after = seconds * (1 + number / LARGE_JOBS)
            self.add_caller(f"large-{number:03}", LARGE, after=after, **fields)

    def await_callers(self, within=90.0):
        return self.run_until(
            lambda: all(caller.has_ended for caller in self.callers.values()),
            within=within,
        )

    def list_refused(self):
        return [
            caller.job
            for caller in self.callers.values()
            if any(answer.status == 503 for answer in caller.answers)
        ]

    def count_completed_tasks(self):
        """Count the completed runs of tasks, by job."""
        done = {item.task for item in self.model.history if item.end_kind == "done"}
        return Counter(task.split(".")[0] for task in done)

    def list_records(self, event):
        return [
            entry.effect
            for entry in self.trace
            if getattr(entry.effect, "event", None) is event
        ]


class TestBurst(unittest.TestCase):
    """A burst of twice what the pool does until the results have no value."""

    def setUp(self):
        self.world = LoadedWorld()

    def check_outcomes(self):
        """Nobody who was refused has run, and nobody who was accepted is lost."""
        completed = self.world.count_completed_tasks()
        started = {item.task.split(".")[0] for item in self.world.model.history}
        for job, caller in self.world.callers.items():
            if caller.status == 200:
                count = sum(step.count for step in caller.steps)
                assert completed[job] == count, (job, completed[job])
            else:
                assert job not in started, job
                assert not self.world.get_state(job), job

    def test_refused_jobs_never_run_and_accepted_ones_are_not_lost(self):
        self.world.submit_burst(retries=0)
        assert self.world.await_callers()
        self.world.run(15.0)
        refused = self.world.list_refused()
        assert 5 <= len(refused) < SMALL_JOBS, len(refused)
        self.check_outcomes()

    def test_refusals_are_immediate_and_tell_when_to_return(self):
        self.world.submit_burst(retries=0)
        assert self.world.await_callers()
        for job in self.world.list_refused():
            caller = self.world.callers[job]
            assert caller.waits[0] <= 0.02, caller.waits
            answer = caller.answers[0]
            assert answer.body.outcome.value == "not run"
            assert answer.body.type == "/problems/overloaded"
            assert 1 <= int(answer.headers["Retry-After"]) <= 30

    def test_all_callers_are_served_within_their_retries(self):
        self.world.submit_burst()
        assert self.world.await_callers()
        assert self.world.list_refused()
        statuses = Counter(caller.status for caller in self.world.callers.values())
        assert statuses == {200: SMALL_JOBS + LARGE_JOBS}, statuses
        self.world.run(10.0)
        self.check_outcomes()

    def test_each_refusal_and_each_return_has_an_event(self):
        self.world.submit_burst()
        assert self.world.await_callers()
        refusals = self.world.list_records(Event.SUBMISSION_REFUSED)
        answers = [
            answer
            for caller in self.world.callers.values()
            for answer in caller.answers
            if answer.status == 503
        ]
        assert len(refusals) == len(answers) > 0
        for record in refusals:
            assert record.attributes["backlog"] > 0
            assert record.event.template.format(**record.attributes)
        assert self.world.list_records(Event.SUBMISSION_RETURNED)

    def test_without_overload_nothing_is_refused(self):
        self.world.submit_burst(10.0)
        assert self.world.await_callers()
        assert not self.world.list_refused()


class TestFailures(unittest.TestCase):
    """Faults between a refusal and the return of its caller."""

    def setUp(self):
        self.world = LoadedWorld()

    def refuse_one(self):
        """Submit a burst; return a caller that was refused and does not return."""
        self.world.submit_burst(retries=0)
        caller = self.world.add_caller("late", LARGE, after=0.3, retries=0)
        self.world.run_until(lambda: caller.has_ended, within=2.0)
        assert caller.status == 503
        return caller

    def count_runs(self, job):
        return Counter(
            item.task for item in self.world.model.history if item.task.startswith(job)
        )

    def test_a_change_of_leader_between_refusal_and_return(self):
        caller = self.refuse_one()
        self.world.kill(self.world.find_leader())
        self.world.run(int(caller.answers[0].headers["Retry-After"]))
        caller.submit()
        # The new leader has no reservations, and admits.
        assert self.world.run_until(lambda: caller.status == 200, within=6.0)
        assert self.world.await_state("late", "completed")
        runs = self.count_runs("late")
        assert len(runs) == 6 and set(runs.values()) == {1}, runs

    def test_a_lost_answer_of_a_refusal(self):
        caller = self.refuse_one()
        first = caller.answers[0]
        # The caller has not seen the answer, and repeats the call.
        self.world.run(0.05)
        caller.submit()
        self.world.run_until(lambda: len(caller.answers) == 2, within=1.0)
        second = caller.answers[1]
        assert second.status == 503
        assert int(second.headers["Retry-After"]) <= int(first.headers["Retry-After"])
        assert not self.count_runs("late")
        self.world.run(int(second.headers["Retry-After"]))
        caller.submit()
        assert self.world.run_until(lambda: caller.status == 200, within=1.0)
        assert self.world.await_state("late", "completed")
        runs = self.count_runs("late")
        assert len(runs) == 6 and set(runs.values()) == {1}, runs

    def test_a_repeated_submission_of_unknown_outcome_is_not_refused(self):
        self.refuse_one()
        leader = self.world.find_leader()
        others = [name for name in self.world.names if name != leader]
        handler = self.world.assemblies[leader].call_handler
        unknown = self.world.add_caller("unknown", LARGE)
        with (
            patch("gypsumwalk.fleet_call_handler.PROPOSAL_SECONDS", 0.05),
            patch.object(handler._submission_control, "_may_refuse") as may_refuse,
        ):
            may_refuse.return_value = False
            self.world.partition([leader], others)
            self.world.run_until(lambda: unknown.answers, within=0.2)
        assert unknown.status == 502
        # While it may still be committed, a new job is refused and this one is not.
        caller = self.world.add_caller("new", LARGE, retries=0)
        again = self.world.call(unknown.call.body, to=leader, credential=KEY)
        self.world.run(0.05)
        assert caller.status == 503
        assert not again.ended
        self.world.heal()
        assert self.world.run_until(lambda: again.ended, within=3.0)
        assert again.answer.status == 200
        assert self.world.await_state("unknown", "completed")
        runs = self.count_runs("unknown")
        assert len(runs) == 6 and set(runs.values()) == {1}, runs


class TestImpossibleJobs(unittest.TestCase):
    """A job with a label that no machine has."""

    STEPS = (Step(1, NEED, label="quantum"),)

    def test_it_is_refused_once_and_for_all(self):
        world = LoadedWorld()
        answer = world.submit("impossible", list(self.STEPS))
        assert answer.status == 422
        assert 'no machine has the label "quantum"' in answer.body.detail
        assert world.describe("impossible").status == 410
        (record,) = world.list_records(Event.SUBMISSION_IMPOSSIBLE)
        assert record.subject == "impossible"

    def test_it_is_admitted_after_a_change_of_leader(self):
        # The new leader does not know yet which machines there are.
        world = LoadedWorld()
        world.kill(world.find_leader())
        assert world.submit("impossible", list(self.STEPS)).status == 200


if __name__ == "__main__":
    unittest.main()
