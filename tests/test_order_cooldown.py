"""Tests of the cooldown between orders of two holders to one machine."""

import unittest
from itertools import pairwise
from unittest.mock import patch

from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.instance_actions import MaintainMachine
from gypsumwalk.order_cooldown import COOLDOWN_SECONDS, OrderCooldown
from tests._fleet_work import FleetWorld

HOLDER_SECONDS = 3.0
"""Time that the platform asks for between two holders of a machine."""


class TestOrderCooldown(unittest.TestCase):
    def test_a_machine_without_orders_can_be_ordered_at_once(self):
        assert OrderCooldown("a").can_order("m", 100.0)

    def test_the_same_holder_need_not_wait(self):
        cooldown = OrderCooldown("a")
        cooldown.record(["m"], "a", at=100.0, now=100.0)
        assert cooldown.can_order("m", 100.1)

    def test_another_holder_waits(self):
        cooldown = OrderCooldown("b")
        cooldown.record(["m"], "a", at=100.0, now=100.0)
        assert not cooldown.can_order("m", 103.0)
        assert cooldown.can_order("m", 100.0 + COOLDOWN_SECONDS)

    def test_a_replayed_old_order_delays_no_holder(self):
        cooldown = OrderCooldown("b")
        cooldown.record(["m"], "a", at=90.0, now=100.0)
        assert cooldown.can_order("m", 100.0)

    def test_an_order_stamped_by_a_slow_clock_still_counts(self):
        cooldown = OrderCooldown("b")
        cooldown.record(["m"], "a", at=97.0, now=100.0)
        assert not cooldown.can_order("m", 101.0)


class TestUnansweredOrders(unittest.TestCase):
    """The machine API answers no order, so that each leader repeats its own."""

    def setUp(self):
        self.world = FleetWorld(instances=2)
        self.world.begin()
        self.orders = []
        call = self.world.model.call

        def lose_orders(effect, now):
            if not isinstance(effect.action, MaintainMachine):
                return call(effect, now)
            self.orders.append((now, effect.action.holder))
            unknown = PlatformOutcome(effect.token, succeeded=False, unknown=True)
            return effect.timeout, lambda at: unknown

        self.enterContext(patch.object(self.world.model, "call", lose_orders))
        self.world.start_wave(1, ["m-0"])

    def change_leader(self):
        """Let the disk of the leader fail right after it has repeated its order."""
        world, count = self.world, len(self.orders)
        assert world.run_until(lambda: len(self.orders) >= count + 3, within=15.0)
        name = world.find_leader()
        world.fill_disk(name)
        world.submit(f"{count:016x}")
        assert world.run_until(
            lambda: world.find_leader() not in ("", name), within=5.0
        )
        world.fill_disk(name, full=False)
        world.run(0.5)

    # Guards against a new leader that counted from the first order to a machine, while
    # the former one had repeated it until just then (issue 43).
    def test_a_new_leader_waits_from_the_last_order_of_the_former_one(self):
        for _ in range(3):
            self.change_leader()
        self.world.run(6.0)
        holders = [holder for _, holder in self.orders]
        assert len(set(holders)) > 1
        waits = [
            next_at - at
            for (at, holder), (next_at, other) in pairwise(self.orders)
            if holder != other
        ]
        assert len(waits) == 3
        assert min(waits) >= HOLDER_SECONDS


if __name__ == "__main__":
    unittest.main()
