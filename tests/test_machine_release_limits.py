"""Tests of machines that must not be released, or must take work again."""

import unittest
from unittest import mock

import msgspec

from gypsumwalk.declaration_records import PutDeclaration
from gypsumwalk.instance_actions import MachineInfo
from gypsumwalk.lateness import MAX_PREEMPTED_RUNS
from gypsumwalk.machine_releases import plan_releases
from gypsumwalk.part import NEVER
from gypsumwalk.pool_scaling_controller import PoolScalingController
from gypsumwalk.pooling import PoolDemand, PoolMachine
from gypsumwalk.workload_records import Step
from tests._scheduling import CAPACITY, NEED, NOW, Fleet, make_instance, make_job

CPU = 16_000
JOB = "00000000000000aa"


def make_controller(scheduler, *, standby="off", machines=()):
    directory = mock.Mock(machines={item.machine: item for item in machines})
    return PoolScalingController(
        daemon="a",
        declarations=mock.Mock(find_standby=lambda: standby),
        upkeep=mock.Mock(),
        evacuations=mock.Mock(),
        dispatcher=mock.Mock(term=1),
        scheduler=scheduler,
        directory=directory,
        cooldown=mock.Mock(),
        forecast=mock.Mock(),
    )


def make_fleet(*, objective, weight=1.0):
    fleet = Fleet()
    declaration = fleet.declarations.current
    queues = [
        msgspec.structs.replace(queue, objective=objective)
        for queue in declaration.queues
    ]
    teams = [msgspec.structs.replace(declaration.teams[0], weight=weight)]
    declaration = msgspec.structs.replace(
        declaration, version=2, queues=queues, teams=teams
    )
    fleet.declarations.apply(PutDeclaration(declaration), 2, NOW)
    return fleet


class TestRest(unittest.TestCase):
    """Machines of a pool whose tasks would fit on fewer ones."""

    def plan(self, **fields):
        machines = [
            PoolMachine(f"m-{number}", "a", CPU, True, NEVER, run_count=1)
            for number in range(10)
        ]
        demands = {"a": PoolDemand(transient=CPU, **fields)}
        return plan_releases(machines, demands, "off")

    def test_machines_beyond_the_demand_are_released(self):
        assert len(self.plan(has_objective=True)) == 7

    # Tasks that need memory, accelerators or a label found no room, while the machines
    # that have these were released as the processors of others sufficed.
    def test_no_machine_is_released_while_tasks_wait(self):
        assert self.plan(has_objective=True, waiting=1) == set()

    # The pools of deployments without an objective were packed, too.
    def test_no_machine_is_released_without_an_objective(self):
        assert self.plan() == set()


class TestWaitingTasks(unittest.TestCase):
    """Ready tasks as part of the demand."""

    def test_tasks_that_found_no_room_are_counted(self):
        fleet = Fleet()
        fleet.add_instance(make_instance(1))
        fleet.submit(make_job(JOB, steps=[Step(12, NEED, 0.5)]))
        started = len(fleet.plan())
        demand = PoolDemand()
        fleet.scheduler.add_demand({"service-a": demand}, fleet.table)
        assert 0 < started < 12
        assert demand.waiting == 12 - started


class TestController(unittest.TestCase):
    """The controller that releases machines."""

    # Released machines got no task until the next change of leader if a declaration
    # without a standby pool came into force.
    def test_machines_take_tasks_again_without_a_standby_pool(self):
        scheduler = mock.Mock(released={"m-0"}, changing_pool=set())
        controller = make_controller(scheduler, standby="")
        controller._term = 1
        controller.advance(NOW)
        assert scheduler.released == set()
        controller._dispatcher.request_scheduling_pass.assert_called_with(NOW)

    # An admission took 17 ms with 1,000 waiting jobs and 60 machines on their way, as
    # each of these was looked at for each job.
    def test_machines_that_arrive_together_are_one_entry(self):
        machines = [
            MachineInfo(f"m-{number}", "off", "moving", capacity=CAPACITY)
            for number in range(60)
        ]
        controller = make_controller(mock.Mock(), machines=machines)
        for info in machines:
            controller._moving[info.machine] = "a", NOW
        ((_, cores),) = controller._list_arriving()["a"]
        assert cores == 60 * CAPACITY.cpu / 1000

    # The pool of a queue without an objective gave up machines amid a burst.
    def test_a_pool_without_an_objective_keeps_its_machines_in_a_burst(self):
        for objective, expected in ((0.0, False), (1.0, True)):
            fleet = make_fleet(objective=objective)
            controller = make_controller(mock.Mock())
            controller._declarations.current = fleet.declarations.current
            controller._forecast.can_shrink.return_value = False
            controller._forecast.find_expected.return_value = 0.0
            demands = controller._find_demands("off", NOW)
            assert demands["service-a"].can_shrink is expected


class TestLateWork(unittest.TestCase):
    """Which jobs other work displaces."""

    def submit(self, fleet, name=JOB):
        fleet.submit(make_job(name))
        workload = fleet.workloads.jobs[name]
        fleet.scheduler.backlog.record_arrival(workload, NOW)
        return workload

    # Jobs of a queue without an objective gave way as their team was beyond its weight.
    def test_a_job_without_an_objective_is_not_deferred_as_excess_work(self):
        for objective, expected in ((0.0, False), (1000.0, True)):
            fleet = make_fleet(objective=objective)
            self.submit(fleet, "00000000000000bb")
            workload = self.submit(fleet)
            assert fleet.scheduler.backlog.is_excess(JOB)
            assert fleet.scheduler.lateness.is_deferrable(workload, NOW) is expected

    # A task that takes longer than the time between two turns was stopped each time.
    def test_a_task_that_was_begun_again_several_times_goes_on(self):
        fleet = make_fleet(objective=0.1)
        fleet.add_instance(make_instance(1))
        self.submit(fleet)
        run = fleet.plan()[0].run
        lateness = fleet.scheduler.lateness
        assert lateness.may_preempt(run, NOW + 60)
        run.run = MAX_PREEMPTED_RUNS
        assert lateness.may_preempt(run, NOW + 60)
        run.run += 1
        assert not lateness.may_preempt(run, NOW + 60)


class TestMoveOfLastingTask(unittest.TestCase):
    # A wave stopped a lasting task as a released machine had room for it, where it was
    # not placed.
    def test_a_released_machine_has_no_room_for_it(self):
        fleet = Fleet()
        for number in (1, 2):
            fleet.add_instance(make_instance(number))
        fleet.submit(make_job(JOB, steps=[Step(1, NEED, lasting=True)]))
        (planned,) = fleet.plan()
        machine = fleet.table.instances[planned.run.life].registered.machine
        (other,) = {"m-1", "m-2"} - {machine}
        scheduler = fleet.scheduler
        scheduler.cordoned.add(machine)
        assert scheduler.can_move(planned.run, fleet.table, NOW)
        scheduler.released = {other}
        assert not scheduler.can_move(planned.run, fleet.table, NOW)


if __name__ == "__main__":
    unittest.main()
