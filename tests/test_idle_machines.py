"""Tests of tasks that wait for a machine which gets no work for a while."""

import unittest
from unittest.mock import patch

import msgspec

from gypsumwalk.declaration_records import DeclaredService, Resources
from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.instance_actions import MachineReport, MoveMachine
from gypsumwalk.workload_records import Step
from tests._fleet_work import CAPACITY, FleetWorld, make_declaration

JOB, NEXT_JOB = (f"{number:016x}" for number in range(2))
WHOLE = Resources(CAPACITY.cpu, 1000)
RETURN_SECONDS = 6.0
"""Time of a maintenance, and until the new instance is announced and read."""


class TestMaintainedMachine(unittest.TestCase):
    # Guards against a task that waited beside the idle instance of a maintained machine
    # until something else happened (issue 43).
    def test_a_waiting_task_starts_once_the_machine_has_returned(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                world = FleetWorld(seed, instances=2, task_seconds=60.0)
                world.begin()
                world.submit(JOB, [Step(1, WHOLE)])
                world.run(1.0)
                # The wave stays open, as the other machine is busy.
                world.start_wave(1, ["m-0", "m-1"], duration=90.0)
                assert world.run_until(
                    lambda world=world: world.model.maintenance_orders, within=5.0
                )
                world.run_results[f"{NEXT_JOB}.0.0.0", 1] = (0.5, "done")
                world.submit(NEXT_JOB, [Step(1, WHOLE)])
                assert world.await_state(NEXT_JOB, "completed", within=RETURN_SECONDS)


class TestMachineThatStays(unittest.TestCase):
    """A machine is ordered into another pool, and does not move."""

    def order_move(self, outcome, delay):
        """Have a move ordered whose outcome arrives after some seconds."""
        self.world = world = FleetWorld(instances=3, task_seconds=60.0)
        world.begin()
        call, ordered = world.model.call, []

        def answer(effect, now):
            if not isinstance(effect.action, MoveMachine):
                return call(effect, now)
            ordered.append(now)
            return delay, lambda at: outcome(effect.token)

        self.enterContext(patch.object(world.model, "call", answer))
        declaration = make_declaration(2)
        services = [*declaration.services, DeclaredService("off", standby=True)]
        world.declare(msgspec.structs.replace(declaration, services=services))
        assert world.run_until(lambda: ordered, within=5.0)

    def use_all(self, *, within):
        """Submit a task for each machine, and wait until all of them run."""
        self.world.submit(JOB, [Step(3, WHOLE)])
        return self.world.run_until(
            lambda: len(self.world.model.history) == 3, within=within
        )

    # Guards against a task that waited beside an idle machine whose move was refused
    # (issue 43).
    def test_a_waiting_task_starts_once_the_move_is_refused(self):
        report = MachineReport("busy")
        self.order_move(
            lambda token: PlatformOutcome(token, succeeded=True, report=report), 0.5
        )
        assert self.use_all(within=3.0)

    # Guards against a task that waited beside an idle machine whose move could not be
    # ordered (issue 43).
    def test_a_waiting_task_starts_once_the_order_to_move_has_failed(self):
        self.order_move(lambda token: PlatformOutcome(token, succeeded=False), 0.5)
        assert self.use_all(within=1.0)

    # Guards against a task that waited beside an idle machine whose move was not
    # answered (issue 43).
    def test_a_waiting_task_starts_once_the_move_is_given_up(self):
        self.order_move(
            lambda token: PlatformOutcome(token, succeeded=False, unknown=True), 2.0
        )
        assert self.use_all(within=6.0)


if __name__ == "__main__":
    unittest.main()
