"""Tests of pools and waves while a data centre is evacuated."""

import unittest
from unittest import mock

from gypsumwalk.effects import Propose
from gypsumwalk.evacuations import EvacuationSection, StartEvacuation
from gypsumwalk.instance_actions import MachineInfo
from gypsumwalk.maintenance_controller import MaintenanceController
from gypsumwalk.order_cooldown import OrderCooldown
from gypsumwalk.pooling import (
    STANDBY_IDLE_SECONDS,
    PoolDemand,
    PoolMachine,
    plan_moves,
    size_pools,
)
from gypsumwalk.task_scheduler import TaskScheduler
from gypsumwalk.upkeep import BeginMaintenance, UpkeepWave

CPU = 16_000
NOW = 100.0
BUSY = float("inf")


def make_machines(service, count, *, is_evacuated=False, idle_since=BUSY):
    prefix = "gone" if is_evacuated else "kept"
    return [
        PoolMachine(
            f"{service}-{prefix}-{number}",
            service,
            CPU,
            True,
            idle_since,
            is_evacuated=is_evacuated,
        )
        for number in range(count)
    ]


class TestPooling(unittest.TestCase):
    # Guards against a pool that is not refilled, as machines that get no work any more
    # count as its capacity.
    def test_evacuated_machines_are_no_capacity(self):
        machines = [
            *make_machines("a", 1),
            *make_machines("a", 4, is_evacuated=True),
            *make_machines("off", 6, idle_since=0.0),
        ]
        demands = {"a": PoolDemand(lasting=2 * CPU)}
        assert len(size_pools(machines, demands, "off")["a"].machines) == 1
        moves = plan_moves(machines, demands, "off", NOW)
        assert [move.service for move in moves] == ["a", "a"]
        assert all(move.machine.startswith("off-kept") for move in moves)

    # Guards against machines that are moved into a pool and then get no work.
    def test_evacuated_machines_are_not_moved_into_pools(self):
        machines = [
            *make_machines("a", 1),
            *make_machines("b", 3, is_evacuated=True, idle_since=NOW),
            *make_machines("off", 6, is_evacuated=True, idle_since=0.0),
        ]
        demands = {"a": PoolDemand(lasting=4 * CPU), "b": PoolDemand()}
        assert plan_moves(machines, demands, "off", NOW) == []

    # Guards against an evacuation that takes the idle machines of other pools, which
    # miss them at their next burst.
    def test_standby_machines_come_before_idle_ones_of_other_pools(self):
        for is_evacuated, source in ((True, "off"), (False, "b")):
            machines = [
                *make_machines("a", 2, is_evacuated=is_evacuated),
                *make_machines("b", 4, idle_since=NOW - STANDBY_IDLE_SECONDS + 0.1),
                *make_machines("off", 4, idle_since=0.0),
            ]
            demands = {"a": PoolDemand(lasting=2 * CPU), "b": PoolDemand()}
            moves = plan_moves(machines, demands, "off", NOW)
            assert moves[0].machine.startswith(source), moves

    def test_idle_evacuated_machines_move_to_standby(self):
        machines = [
            *make_machines("a", 2),
            *make_machines("a", 1, is_evacuated=True, idle_since=0.0),
            *make_machines("a", 1, is_evacuated=True),
        ]
        demands = {"a": PoolDemand(lasting=CPU, can_shrink=False)}
        moves = plan_moves(machines, demands, "off", NOW)
        assert [(move.machine, move.service) for move in moves] == [("a-gone-0", "off")]

    def test_without_an_evacuation_the_order_of_donors_is_as_before(self):
        machines = [
            *make_machines("a", 1),
            *make_machines("b", 3, idle_since=0.0),
            *make_machines("off", 3, idle_since=0.0),
        ]
        demands = {"a": PoolDemand(lasting=2 * CPU), "b": PoolDemand()}
        moves = plan_moves(machines, demands, "off", NOW)
        assert [move.machine for move in moves if move.service == "a"] == [
            "b-kept-0",
            "b-kept-1",
        ]


class TestSpareMachines(unittest.TestCase):
    """A wave that still waits for machines to enter standby."""

    def begin(self, *, runs=()):
        machine = MachineInfo("m-0", "service-a", "up", data_centre="east")
        directory = mock.Mock(machines={"m-0": machine})
        directory.find_data_centre.return_value = "east"
        directory.find_instance.return_value.draining = False
        directory.find_view.return_value.runs = dict(enumerate(runs))
        self.evacuations = EvacuationSection()
        self.controller = MaintenanceController(
            daemon="a",
            declarations=mock.Mock(find_standby=lambda: "service-off"),
            upkeep=mock.Mock(loads=0),
            evacuations=self.evacuations,
            dispatcher=mock.Mock(),
            scheduler=TaskScheduler(mock.Mock(), mock.Mock(), mock.Mock()),
            directory=directory,
            cooldown=OrderCooldown("a"),
            maintenance=2.0,
        )
        self.wave = UpkeepWave(1, ["m-0"], NOW, 120.0, 1)

    def list_begun(self):
        effects = self.controller._advance_wave(self.wave, set(), NOW + 1.0)
        return [
            item.command.machine
            for item in effects
            if isinstance(item, Propose) and isinstance(item.command, BeginMaintenance)
        ]

    # Guards against a wave that waits for its last part although nothing runs, and
    # nothing may start, on its machines.
    def test_an_idle_machine_of_an_evacuated_data_centre_is_taken_down(self):
        self.begin()
        assert self.list_begun() == []
        self.evacuations.apply(StartEvacuation("east"), 1, NOW)
        assert self.list_begun() == ["m-0"]

    def test_a_busy_one_is_waited_for(self):
        self.begin(runs=[mock.Mock(is_lasting=False, task=("a", 0, 0, 0))])
        self.evacuations.apply(StartEvacuation("east"), 1, NOW)
        assert self.list_begun() == []


if __name__ == "__main__":
    unittest.main()
