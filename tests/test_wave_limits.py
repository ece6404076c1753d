"""Tests that a wave takes no more machines down at once than it may."""

import unittest

from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.instance_actions import MachineReport, MaintainMachine
from tests._fleet_work import FleetWorld

MAINTENANCE_SECONDS = 2.0


class MachineApi:
    """Machine API of a simulated cluster that answers orders as told.

    ``refusal`` is the reason of each definite refusal, and ``refused`` holds machines
    that are refused in any case. While ``is_lost`` is set, orders to take a machine
    down are neither carried out nor answered.
    """

    def __init__(self, world):
        self.refusal = ""
        self.is_lost = False
        self.refused = set()
        self._model = world.model
        self._handle = world.model._handle_machine_action
        self._call = world.model.call
        world.model._handle_machine_action = self._answer
        world.model.call = self._deliver

    def _answer(self, action, now):
        is_refused = self.refusal or getattr(action, "machine", "") in self.refused
        if isinstance(action, MaintainMachine) and is_refused:
            return MachineReport(self.refusal or "busy")
        return self._handle(action, now)

    def _deliver(self, effect, now):
        if not self.is_lost or not isinstance(effect.action, MaintainMachine):
            return self._call(effect, now)
        unknown = PlatformOutcome(effect.token, succeeded=False, unknown=True)
        return effect.timeout, lambda at: unknown


def find_most_down(orders):
    """Return the most machines that were in maintenance at the same time."""
    times = sorted(at for at, _, _ in orders)
    return max(
        sum(at <= other < at + MAINTENANCE_SECONDS for other in times) for at in times
    )


class TestUnansweredOrders(unittest.TestCase):
    def begin(self, instances=3):
        world = FleetWorld(instances=instances)
        api = MachineApi(world)
        world.begin()
        return world, api

    def start_wave(self, world, count, **options):
        machines = [f"m-{number}" for number in range(count)]
        assert world.start_wave(1, machines, **options).status == 200

    # Guards against a second machine that was ordered down beside one whose orders got
    # no success for 12 s, as that one no longer counted as down although it was still
    # ordered; both went down once the machine API worked again (review case 5).
    def test_a_machine_that_is_still_ordered_down_counts(self):
        for fault in ("refused", "lost"):
            with self.subTest(fault=fault):
                world, api = self.begin()
                if fault == "refused":
                    api.refusal = "busy"
                else:
                    api.is_lost = True
                self.start_wave(world, 3, duration=60.0)
                world.run(20.0)
                api.refusal, api.is_lost = "", False
                world.run(30.0)
                orders = world.model.maintenance_orders
                assert len(orders) == 3
                assert find_most_down(orders) == 1

    # Guards against a wave that waits for good for one machine that the machine API
    # always refuses.
    def test_the_others_follow_if_one_machine_is_always_refused(self):
        world, api = self.begin(4)
        api.refused = {"m-0"}
        self.start_wave(world, 4, duration=60.0)
        world.run(40.0)
        orders = world.model.maintenance_orders
        assert {machine for _, _, machine in orders} == {"m-1", "m-2", "m-3"}
        assert find_most_down(orders) == 1
        api.refused = set()
        world.run(5.0)
        assert len(world.model.maintenance_orders) == 4
        assert find_most_down(orders) == 1


if __name__ == "__main__":
    unittest.main()
