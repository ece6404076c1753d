"""Tests of pools and waves while a data centre is evacuated."""

import unittest
from unittest import mock

from gypsumwalk.declaration_records import Resources
from gypsumwalk.effects import Propose
from gypsumwalk.evacuations import EvacuationSection, StartEvacuation
from gypsumwalk.inputs import Committed
from gypsumwalk.instance_actions import MachineInfo, MoveMachine
from gypsumwalk.maintenance_controller import MaintenanceController
from gypsumwalk.order_cooldown import OrderCooldown
from gypsumwalk.pool_scaling_controller import PoolScalingController
from gypsumwalk.pooling import (
    STANDBY_IDLE_SECONDS,
    PoolDemand,
    PoolMachine,
    plan_moves,
    size_pools,
)
from gypsumwalk.state import Accepted
from gypsumwalk.task_scheduler import TaskScheduler
from gypsumwalk.upkeep import BeginMaintenance, OrderMoves, UpkeepWave
from gypsumwalk.workload_records import Step
from tests import _fleet_work
from tests._evacuation_world import EAST, STANDBY, WEST, EvacuationWorld
from tests._scheduling import Fleet, make_instance, make_job

CPU = 16_000
NOW = 100.0
BUSY = float("inf")
WHOLE = Resources(_fleet_work.CAPACITY.cpu, 1000)


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


class TestDemand(unittest.TestCase):
    # Guards against machines that are moved into a pool for runs that need none.
    def test_transient_runs_in_an_evacuated_data_centre_need_no_capacity(self):
        for is_lasting in (False, True):
            fleet = Fleet()
            fleet.add_instance(make_instance(0))
            step = Step(2, Resources(1000, 1000), lasting=is_lasting)
            fleet.submit(make_job("job", steps=[step]))
            assert len(fleet.plan()) == 2
            for evacuated, expected in (((), 2000), (("dc",), 2000 * is_lasting)):
                for view in fleet.table.instances.values():
                    view.evacuated = frozenset(evacuated)
                demand = PoolDemand()
                fleet.scheduler.add_demand({"service-a": demand}, fleet.table)
                assert demand.lasting + demand.transient == expected


class TestMoves(unittest.TestCase):
    """Moves of a cluster with machines in a pool and in standby."""

    def list_moves(self, world, since):
        return [
            (entry.effect.action.machine, entry.effect.action.service)
            for entry in world.trace
            if entry.at > since
            and isinstance(getattr(entry.effect, "action", None), MoveMachine)
        ]

    # Guards against lasting tasks that stay, as nothing makes room for them elsewhere.
    def test_a_pool_is_refilled_from_standby_machines_elsewhere(self):
        world = EvacuationWorld(instances=2, task_seconds=600.0)
        for number in range(2, 12):
            world.add_machine(number, STANDBY)
        world.begin()
        world.declare_standby()
        step = Step(2, WHOLE, lasting=True, max_unavailable=1)
        world.submit("00000000000000aa", [step])
        world.run(10.0)
        assert len(world.list_running(EAST)) == 1
        world.evacuate(EAST)
        world.run(10.0)
        moves = self.list_moves(world, world.acknowledged_at[EAST])
        into_pools = [machine for machine, service in moves if service != STANDBY]
        assert into_pools
        assert all(int(machine.removeprefix("m-")) % 2 for machine in into_pools)
        assert len(world.list_running(WEST)) == 2
        assert ("m-0", STANDBY) in moves

    # Guards against a move that was on its way to the log as the evacuation was.
    def test_a_move_into_a_pool_is_not_ordered_any_more(self):
        for service, expected in (("service-a", []), (STANDBY, ["m-0"])):
            evacuations = EvacuationSection()
            directory = mock.Mock()
            directory.find_data_centre.return_value = EAST
            controller = PoolScalingController(
                daemon="a",
                declarations=mock.Mock(find_standby=lambda: STANDBY),
                upkeep=mock.Mock(ordered_at={}),
                evacuations=evacuations,
                dispatcher=mock.Mock(term=1),
                scheduler=mock.Mock(changing_pool={"m-0"}),
                directory=directory,
                cooldown=OrderCooldown("a"),
                forecast=mock.Mock(),
            )
            controller._term = 1
            controller._moving["m-0"] = (service, NOW)
            evacuations.apply(StartEvacuation(EAST), 1, NOW)
            command = OrderMoves("a", 1, {"m-0": service})
            effects = controller.handle(Committed(2, command, Accepted(2), NOW), NOW)
            assert [item.action.machine for item in effects] == expected
            assert ("m-0" in controller._scheduler.changing_pool) is bool(expected)


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
            declarations=mock.Mock(find_standby=lambda: STANDBY),
            upkeep=mock.Mock(loads=0, list_open=lambda: [self.wave]),
            evacuations=self.evacuations,
            dispatcher=mock.Mock(term=1),
            scheduler=TaskScheduler(mock.Mock(), mock.Mock(), mock.Mock()),
            directory=directory,
            cooldown=OrderCooldown("a"),
            maintenance=2.0,
        )
        self.wave = UpkeepWave(1, ["m-0"], NOW, 120.0, 1)

    def list_begun(self):
        effects = self.controller.advance(NOW + 1.0)
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
