"""Tests of throttles on overloaded instances, which have to end with the overload."""

import unittest
from unittest.mock import patch

from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.job_calls import SubmitJobCall
from gypsumwalk.platform import ThrottleTask
from tests._fake_platform import CALL_DELAY
from tests._fleet import FleetWorld, make_folder

BUSY, CALM = 40.0, 1.0
"""Processors and gigabytes that each task uses, of 64 processors."""


class TestThrottle(unittest.TestCase):
    def setUp(self):
        self.world = FleetWorld(make_folder(pools=1, instances=1, limit=100))
        self.world.settle()

    def submit(self, job_id, seconds, **fields):
        call = SubmitJobCall(
            job_id=job_id, queue="p0", command=f"run {seconds}", **fields
        )
        answer = self.world.ask(call)
        assert answer.status == 200, answer

    def list_throttles(self):
        return [task.throttle for task in self.world.platform.tasks.values()]

    def overload(self):
        """Run two tasks that use too much, until one of them is throttled."""
        self.world.platform.usage_factor = BUSY
        for number in range(2):
            self.submit(f"r{number}", 500)
        assert self.world.run_until(
            lambda: min(self.list_throttles(), default=1.0) < 1.0, within=10.0
        )

    def lose_throttles(self):
        """Return a patch that loses every order to throttle a task."""
        call = self.world.platform.call

        def lose(effect, now):
            if not isinstance(effect.action, ThrottleTask):
                return call(effect, now)
            unknown = PlatformOutcome(effect.token, succeeded=False, unknown=True)
            return effect.timeout, unknown

        return patch.object(self.world.platform, "call", lose)

    # Guards against a task that kept half of its processors until its end, as the
    # order that lifts its throttle was lost and not repeated (issue 43).
    def test_a_throttle_is_lifted_although_the_first_order_is_lost(self):
        self.overload()
        with self.lose_throttles():
            self.world.platform.usage_factor = CALM
            self.world.run(4.0)
        self.world.run(10.0)
        assert self.list_throttles() == [1.0, 1.0]

    # Guards against an overload that nothing relieved, as the order for it was lost
    # and its task may not be stopped (issue 43).
    def test_a_task_is_throttled_although_the_first_order_is_lost(self):
        self.world.platform.usage_factor = BUSY
        with self.lose_throttles():
            for number in range(2):
                self.submit(f"r{number}", 500)
            self.world.run(5.0)
        self.world.run(10.0)
        assert sorted(self.list_throttles()) == [0.5, 1.0]

    # Guards against a task that kept half of its processors until its end, as only the
    # former leader knew of its throttle (issue 43).
    def test_a_new_leader_lifts_a_throttle(self):
        self.overload()
        self.world.platform.usage_factor = CALM
        self.world.elect("b")
        self.world.heal()
        self.world.run(10.0)
        assert self.list_throttles() == [1.0, 1.0]

    # Guards against a task that was slowed down for an overload that had ended with
    # the last task on its instance (issue 43).
    def test_an_instance_without_tasks_is_not_overloaded(self):
        self.world.platform.usage_factor = BUSY
        for number in range(4):
            self.submit(f"r{number}", 4)
        self.world.run(15.0)
        self.world.platform.usage_factor = 0.9 * 64
        with patch.object(self.world.platform, "call", self.refuse_throttles):
            self.submit("n", 500)
            self.world.run(10.0)

    def refuse_throttles(self, effect, now):
        assert not isinstance(effect.action, ThrottleTask), "a task is throttled"
        report = self.world.platform.execute(effect.token, effect.action, now)
        return CALL_DELAY, PlatformOutcome(effect.token, succeeded=True, report=report)


if __name__ == "__main__":
    unittest.main()
