"""Tests of machines that move to another pool while the declaration changes."""

import unittest

import msgspec

from gypsumwalk.declaration_records import DeclaredService, Resources
from gypsumwalk.workload_records import Step
from tests._fleet_work import CAPACITY, FleetWorld, make_declaration

JOB = "00000000000000aa"
NEED = Resources(6000, 1000)


def declare(world, version, *, has_standby):
    declaration = make_declaration(version)
    services = list(declaration.services)
    if has_standby:
        services.append(DeclaredService("service-off", standby=True))
    world.declare(msgspec.structs.replace(declaration, services=services))


class TestStandbyPool(unittest.TestCase):
    # Guards against machines that got no work any more, as their moves were followed
    # only while a standby pool was declared (issue 43).
    def test_a_machine_gets_work_although_its_move_outlives_the_standby_pool(self):
        world = FleetWorld(instances=3, task_seconds=0.5)
        world.begin()
        declare(world, 2, has_standby=True)

        def find_moving():
            leader = world.find_leader()
            return leader and world.assemblies[leader].scheduler.changing_pool

        assert world.run_until(find_moving, within=5.0)
        declare(world, 3, has_standby=False)
        world.run(10.0)
        world.submit(JOB, [Step(3, NEED)])
        assert world.await_state(JOB, "completed", within=5.0)
        assert len({run.life for run in world.model.history}) == 3

    # Jobs were dropped although machines that would do them in time were on their way.
    def test_a_machine_on_its_way_counts_as_room_of_its_new_pool(self):
        world = FleetWorld(instances=3, task_seconds=0.5)
        world.begin()
        for machine, info in world.model.machines.items():
            info = msgspec.structs.replace(info, capacity=CAPACITY)
            world.model.machines[machine] = info
        declare(world, 2, has_standby=True)

        def find_arriving():
            leader = world.find_leader()
            return leader and world.assemblies[leader].scheduler.backlog.arriving

        assert world.run_until(find_arriving, within=5.0)
        leader = world.find_leader()
        arriving = [item for items in find_arriving().values() for item in items]
        now = world.daemons[leader].read_clock(world.now)
        assert all(now < at < now + 2.5 and cores == 8.0 for at, cores in arriving)
        assert world.run_until(lambda: not find_arriving(), within=10.0)


if __name__ == "__main__":
    unittest.main()
