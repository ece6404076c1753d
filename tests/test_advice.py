"""Tests of advice: tickets are requested, cached, renewed and sent with each start."""

import itertools
import unittest
from unittest.mock import patch

from gypsumwalk.advice import MAX_STEPS, AdviceCache
from gypsumwalk.declaration_records import AdvicePolicy, Resources
from gypsumwalk.emulator import EmulatedAdvice
from gypsumwalk.workload_records import Step
from tests._fleet_work import FleetWorld

JOB = "00000000000000aa"
NEED = Resources(2000, 1000)
POLICY = AdvicePolicy(decision=0.02, per_instance=0.001, validity=5.0)


class TestAdviceCache(unittest.TestCase):
    def test_a_ticket_is_valid_for_one_incarnation_until_it_expires(self):
        cache = AdviceCache()
        cache.record_answer("step", ["x@1", "y@1"], {"x@1": "ticket"}, until=10.0)
        assert cache.find_ticket("step", "x@1", 9.0) == "ticket"
        assert cache.find_ticket("step", "x@1", 10.0) == ""
        assert cache.find_ticket("step", "x@2", 9.0) == ""
        assert cache.find_ticket("another", "x@1", 9.0) == ""

    def test_unknown_and_expired_tickets_are_requested_but_refused_ones_are_not(self):
        cache = AdviceCache()
        cache.record_answer("step", ["x@1", "y@1"], {"x@1": "ticket"}, until=10.0)
        lives = ["x@1", "y@1", "z@1"]
        assert cache.list_unknown("step", lives, 9.0) == ["z@1"]
        assert cache.list_unknown("step", lives, 11.0) == ["x@1", "z@1"]

    def test_steps_of_ended_jobs_are_pruned_at_the_limit(self):
        cache = AdviceCache()
        for number in range(MAX_STEPS):
            cache.record_answer(
                f"job{number}.0.0", ["x@1"], {"x@1": "ticket"}, until=10.0
            )
        cache.prune({"job7"})
        assert cache.find_ticket("job7.0.0", "x@1", 1.0) == "ticket"
        assert cache.find_ticket("job8.0.0", "x@1", 1.0) == ""


class TestAdvisedQueue(unittest.TestCase):
    def make_world(self, is_allowed, *, task_seconds=0.5):
        world = FleetWorld(task_seconds=task_seconds)
        world.model.advice = EmulatedAdvice(
            is_allowed,
            decision=POLICY.decision,
            per_instance=POLICY.per_instance,
            validity=POLICY.validity,
        )
        world.begin(advice=POLICY)
        return world

    def test_tasks_run_only_where_the_policy_allows_them(self):
        world = self.make_world(lambda step, instance: instance == "i-1")
        world.submit(JOB, [Step(3, NEED), Step(2, NEED, after=[0])])
        assert world.await_state(JOB, "completed", within=5.0)
        assert {item.life for item in world.model.history} == {"i-1@1001"}
        assert len(world.model.history) == 5
        assert len(world.model.advice.requests) == 2

    def test_one_query_is_pending_at_a_time(self):
        world = self.make_world(lambda *_: True)
        for number in range(4):
            world.submit(f"{number:016x}")
        world.run(3.0)
        times = [at for at, _, _ in world.model.advice.requests]
        assert len(times) == 4
        assert all(b - a >= POLICY.decision for a, b in itertools.pairwise(times))

    def test_an_expired_ticket_is_renewed(self):
        world = self.make_world(lambda *_: True, task_seconds=POLICY.validity + 1.0)
        world.run_results[f"{JOB}.0.0.0", 1] = (POLICY.validity + 1.0, "failed")
        world.submit(JOB, [Step(1, NEED)])
        assert world.await_state(JOB, "completed", within=20.0)
        assert len(world.model.history) == 2
        assert len(world.model.advice.requests) == 2

    def test_a_step_that_no_instance_may_run_waits_after_one_query(self):
        world = self.make_world(lambda *_: False)
        world.submit(JOB)
        world.run(5.0)
        assert world.get_state(JOB) == "queued"
        assert len(world.model.advice.requests) == 1

    def test_an_unresponsive_service_is_queried_again(self):
        world = self.make_world(lambda *_: True)
        service, world.model.advice = world.model.advice, None
        world.submit(JOB)
        world.run(2.0)
        assert world.model.history == []
        world.model.advice = service
        assert world.await_state(JOB, "completed", within=5.0)

    # Guards against a task that waited for good: the leader forgot its query as its
    # lease lapsed for a moment, and nothing asked for another one (issue 43).
    def test_a_query_outlives_a_lapse_of_the_lease(self):
        world = self.make_world(lambda *_: True)
        service, world.model.advice = world.model.advice, None
        world.submit(JOB)
        leader = world.get_leader()
        assert world.run_until(lambda: leader.scheduler.wanted_advice, within=3.0)
        with patch.object(leader.consensus, "holds_lease", return_value=False):
            world.run(0.5)
        world.model.advice = service
        assert world.await_state(JOB, "completed", within=5.0)

    def test_a_new_leader_queries_again(self):
        world = self.make_world(lambda *_: True, task_seconds=4.0)
        world.submit(JOB, [Step(1, NEED), Step(1, NEED, after=[0])])
        world.run(1.0)
        world.kill(world.find_leader())
        assert world.await_state(JOB, "completed", within=30.0)


if __name__ == "__main__":
    unittest.main()
