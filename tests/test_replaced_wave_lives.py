"""Tests of a machine of a wave whose instance is replaced between two orders."""

import unittest

from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.instance_actions import MachineReport
from tests.test_maintenance_controller import is_down, make_controller, make_wave


class TestReplacedLives(unittest.TestCase):
    def begin(self, life):
        """Send an order without an answer, and a second one that is carried out."""
        controller = make_controller("i@1")
        controller._dispatcher.term = controller._term = 1
        controller._upkeep.waves = {1: make_wave(maintained=False)}
        controller._lives["m"] = "i@1"
        *_, unanswered = controller._order(1, "m", 100.0)
        unknown = PlatformOutcome(unanswered.token, succeeded=False, unknown=True)
        controller.handle(unknown, 102.0)
        controller._directory.life = life
        *_, answered = controller._order(1, "m", 103.0)
        report = PlatformOutcome(answered.token, succeeded=True, report=MachineReport())
        controller.handle(report, 103.1)
        return controller

    # Guards against a second machine that is taken down beside this one: its instance
    # had crashed and begun again before the order that took it down, and counted as
    # back.
    def test_a_machine_is_down_if_its_order_may_have_ended_a_later_life(self):
        controller, wave = self.begin("i@2"), make_wave(maintained=True)
        assert is_down(controller, wave, 103.2)
        assert is_down(controller, wave, 106.0)
        assert not is_down(controller, wave, 106.2)

    def test_a_machine_is_back_with_its_next_life(self):
        controller, wave = self.begin("i@1"), make_wave(maintained=True)
        assert is_down(controller, wave, 103.2)
        controller._directory.life = "i@2"
        assert not is_down(controller, wave, 103.5)

    def test_a_machine_without_an_instance_at_the_order_is_back_with_the_next(self):
        controller, wave = self.begin(None), make_wave(maintained=True)
        assert is_down(controller, wave, 103.2)
        controller._directory.life = "i@2"
        assert not is_down(controller, wave, 103.5)


if __name__ == "__main__":
    unittest.main()
