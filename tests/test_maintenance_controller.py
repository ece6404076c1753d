"""Tests of which machines of a wave count as down."""

import unittest
from types import SimpleNamespace
from unittest import mock

from gypsumwalk.maintenance_controller import MaintenanceController
from gypsumwalk.order_cooldown import OrderCooldown
from gypsumwalk.upkeep import BegunMaintenance, UpkeepWave


class Directory:
    """Directory of at most one instance."""

    machines = {}

    def __init__(self, life):
        self.life = life

    def find_instance(self, machine):
        return SimpleNamespace(life=self.life) if self.life else None


def make_controller(life):
    return MaintenanceController(
        daemon="a",
        declarations=mock.Mock(),
        workloads=mock.Mock(),
        upkeep=mock.Mock(),
        dispatcher=mock.Mock(),
        scheduler=mock.Mock(),
        directory=Directory(life),
        cooldown=OrderCooldown("a"),
        maintenance=2.0,
    )


def make_wave(*, maintained, life="i@1"):
    begun = {"m": BegunMaintenance(life, 100.0)}
    return UpkeepWave(1, ["m"], 99.0, 20.0, 1, ["m"] if maintained else [], begun)


class TestDownMachines(unittest.TestCase):
    def is_down(self, wave, life, now=101.0):
        return make_controller(life)._is_down(wave, "m", now)

    def test_a_machine_with_an_unanswered_order_is_down(self):
        """A machine that moved to another pool as its wave began had a new incarnation
        before its order was carried out, and counted as back (LIMIT in bench, Hanbit
        quiet-1)."""
        assert self.is_down(make_wave(maintained=False), "i@2")

    def test_a_machine_is_down_until_a_new_incarnation_registers(self):
        assert self.is_down(make_wave(maintained=True), None)
        assert self.is_down(make_wave(maintained=True), "i@1")
        assert not self.is_down(make_wave(maintained=True), "i@2")

    def test_a_standby_machine_is_down_for_its_maintenance(self):
        wave = make_wave(maintained=True, life="")
        assert self.is_down(wave, None, now=102.5)
        assert not self.is_down(wave, None, now=103.5)

    def test_a_late_order_takes_a_standby_machine_down_late(self):
        """An order that is answered late is carried out late, and the machine is down
        from then on (LIMIT in bench, Batedores trouble-1, seed 1073466885445)."""
        controller = make_controller(None)
        controller._answered_at["m"] = 104.0
        wave = make_wave(maintained=True, life="")
        assert controller._is_down(wave, "m", 105.5)
        assert not controller._is_down(wave, "m", 107.5)

    def test_a_new_leader_counts_from_the_start_of_its_term(self):
        controller = make_controller(None)
        controller._term_began = 104.0
        wave = make_wave(maintained=True, life="")
        assert controller._is_down(wave, "m", 105.5)

    def test_a_machine_that_never_returns_stops_counting_as_down(self):
        assert not self.is_down(make_wave(maintained=True), None, now=113.0)


if __name__ == "__main__":
    unittest.main()
