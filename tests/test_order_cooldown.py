"""Tests that two holders keep a distance at one machine."""

import unittest

from gypsumwalk.order_cooldown import COOLDOWN_SECONDS, OrderCooldown


class TestOrderCooldown(unittest.TestCase):
    def test_a_machine_that_nobody_ordered_is_free_at_once(self):
        assert OrderCooldown("a").can_order("m", 100.0)

    def test_the_same_holder_goes_on(self):
        cooldown = OrderCooldown("a")
        cooldown.record(["m"], "a", at=100.0, now=100.0)
        assert cooldown.can_order("m", 100.1)

    def test_another_holder_waits(self):
        cooldown = OrderCooldown("b")
        cooldown.record(["m"], "a", at=100.0, now=100.0)
        assert not cooldown.can_order("m", 103.0)
        assert cooldown.can_order("m", 100.0 + COOLDOWN_SECONDS)

    def test_an_old_order_heard_again_holds_nobody_up(self):
        cooldown = OrderCooldown("b")
        cooldown.record(["m"], "a", at=90.0, now=100.0)
        assert cooldown.can_order("m", 100.0)

    def test_a_clock_that_is_behind_makes_no_order_old(self):
        cooldown = OrderCooldown("b")
        cooldown.record(["m"], "a", at=97.0, now=100.0)
        assert not cooldown.can_order("m", 101.0)


if __name__ == "__main__":
    unittest.main()
