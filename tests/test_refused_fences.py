"""Tests of instances that refuse the fence of the leader."""

import unittest

from gypsumwalk.declaration_records import Resources
from gypsumwalk.workload_records import Step
from tests._fleet_work import FleetWorld

JOB, NEXT_JOB = (f"{number:016x}" for number in range(2))
NEED = Resources(2000, 1000)
LATER_FENCE = 1 << 60
MAX_REFUSED = 4
"""Calls that were on their way, or were made before the refusal was known."""


class TestRefusedFence(unittest.TestCase):
    def refuse(self, world, number):
        """Let an instance refuse the fence, and return the list of refused calls."""
        instance = world.get_instance(number)
        instance.fence = LATER_FENCE
        call, refused = world.model.call, []

        def count_refused(effect, now):
            if getattr(effect.action, "address", "") == instance.registered.address:
                refused.append(now)
            return call(effect, now)

        world.model.call = count_refused
        return refused

    # Guards against a leader that gave no orders to any instance for the rest of its
    # term, and kept the leadership, so that no other daemon did (issue 43).
    def test_the_others_get_work_from_a_leader_that_keeps_its_lease(self):
        world = FleetWorld(instances=3)
        world.begin()
        self.refuse(world, 0)
        world.run(5.0)
        world.submit(JOB, [Step(4, NEED)])
        assert world.await_state(JOB, "completed", within=5.0)
        assert {run.life for run in world.model.history} <= {"i-1@1001", "i-2@1001"}

    def test_its_own_tasks_run_elsewhere_once_its_lease_has_ended(self):
        world = FleetWorld(instances=2, task_seconds=600.0)
        world.begin()
        world.submit(JOB, [Step(2, NEED, lasting=True, max_per_instance=1)])
        world.run(2.0)
        self.refuse(world, 0)
        world.submit(NEXT_JOB, [Step(1, NEED)])
        world.run(12.0)
        world.start_instance(2)
        world.run(6.0)
        running = [run for run in world.model.history if run.ended is None]
        assert {run.life for run in running} == {"i-1@1001", "i-2@1001"}

    def test_it_is_not_called_again_in_the_term(self):
        world = FleetWorld(instances=2)
        world.begin()
        refused = self.refuse(world, 0)
        world.submit(JOB, [Step(2, NEED)])
        world.run(20.0)
        assert 0 < len(refused) <= MAX_REFUSED

    # Guards against a leader that gives no orders for 3 s each time that the instance
    # is registered again (issue 43).
    def test_its_next_refusals_in_the_term_stop_no_orders(self):
        world = FleetWorld(instances=2, task_seconds=600.0)
        world.begin()
        refused = self.refuse(world, 0)
        assert world.run_until(lambda: refused, within=2.0)
        world.run(5.0)
        term = world.get_leader().dispatcher.term
        count = len(refused)
        for _ in range(800):
            world.run(0.1)
            assert world.get_leader().dispatcher.is_leading(world.now), world.now
        assert world.get_leader().dispatcher.term == term
        assert len(refused) > count, "it was not registered again"

    def test_no_instance_gets_orders_while_there_may_be_a_later_leader(self):
        world = FleetWorld(instances=2)
        world.begin()
        refused = self.refuse(world, 0)
        assert world.run_until(lambda: refused, within=2.0)
        world.run(0.1)
        assert world.get_leader().dispatcher.term
        assert not world.get_leader().dispatcher.is_leading(world.now)


if __name__ == "__main__":
    unittest.main()
