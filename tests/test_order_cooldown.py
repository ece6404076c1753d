"""Tests of the cooldown between orders of two holders to one machine."""

import unittest

from gypsumwalk.order_cooldown import COOLDOWN_SECONDS, OrderCooldown


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


if __name__ == "__main__":
    unittest.main()
