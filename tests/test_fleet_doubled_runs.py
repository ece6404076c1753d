"""Tests that no task runs twice where an instance or a machine has a new life."""

import unittest
from unittest.mock import patch

from msgspec.structs import replace

from gypsumwalk.declaration_records import Resources
from gypsumwalk.dispatcher import Dispatcher
from gypsumwalk.effects import CallPlatform, Propose
from gypsumwalk.fleet_calls import AnnounceInstanceCall, LeaveInstanceCall
from gypsumwalk.inputs import Committed, PlatformOutcome
from gypsumwalk.instance_actions import (
    ListMachines,
    MachineReport,
    MaintainMachine,
    StartRun,
)
from gypsumwalk.state import Accepted
from gypsumwalk.upkeep import BeginMaintenance, OrderMoves
from gypsumwalk.workload_records import Step
from tests._fleet_work import FleetWorld, lose_answer
from tests._fleet_work_checks import find_duplicate_runs

JOB = "00000000000000aa"
NEED = Resources(2000, 1000)


class DroppedAnswers:
    """Carries out the platform's calls, and drops the answers of some actions."""

    def __init__(self, world, *kinds):
        self.kinds = kinds
        self._call = world.model.call

    def __call__(self, effect, now):
        delay, find_outcome = self._call(effect, now)
        if isinstance(effect.action, self.kinds):
            return lose_answer(effect)
        return delay, find_outcome


class RestartedInstance:
    """Restarts instance 0, and adds instance 1, just before the first start arrives.

    ``silent_after`` cuts the new life off from the leader once it has begun the run.
    """

    def __init__(self, world, *, is_answer_lost=False, silent_after=False):
        self.world = world
        self.is_answer_lost = is_answer_lost
        self.silent_after = silent_after
        self.reborn = None
        self._call = world.model.call

    def __call__(self, effect, now):
        if self.reborn is not None or not isinstance(effect.action, StartRun):
            return self._call(effect, now)
        self.reborn = self.world.start_instance(0, life=2)
        self.world.start_instance(1)
        answer = self._call(effect, now)
        self.reborn.is_silent = self.silent_after
        return lose_answer(effect) if self.is_answer_lost else answer


class DelayedStart:
    """Carries out the first start only when it is delivered, and never answers it."""

    def __init__(self, world):
        self.world = world
        self.effect = None
        self._call = world.model.call

    def __call__(self, effect, now):
        if self.effect is not None or not isinstance(effect.action, StartRun):
            return self._call(effect, now)
        self.effect = effect
        return lose_answer(effect)

    def deliver(self):
        self._call(self.effect, self.world.now)


class TestRepeatedMachineOrders(unittest.TestCase):
    # A new leader repeats a wave's order after the machine has returned.
    def test_maintenance_that_is_already_done_ends_no_run_of_the_returned_machine(self):
        world = FleetWorld(task_seconds=60.0, instances=1)
        world.begin()
        dropped = DroppedAnswers(world, MaintainMachine)
        with patch.object(world.model, "call", dropped):
            assert world.start_wave(1, ["m-0"], duration=6.0).status == 200
            world.run_until(lambda: world.model.maintenance_orders, within=10.0)
            dropped.kinds = (MaintainMachine, ListMachines)
            world.kill(world.find_leader())
            world.submit(JOB, [Step(1, NEED)])
            world.run_until(lambda: world.model.history, within=10.0)
            world.start_instance(1)
            world.run(2.0)
            dropped.kinds = ()
            world.run(8.0)
        assert find_duplicate_runs(world.model.history) == []
        assert world.model.history[0].ended is None

    # The beginning of a maintenance is committed after its proposal has timed out, and
    # its repetition is committed once the machine has returned.
    def test_a_repeated_beginning_does_not_remove_the_returned_instance(self):
        world = FleetWorld(task_seconds=60.0, instances=1)
        world.begin()
        assert world.start_wave(1, ["m-0"], duration=6.0).status == 200
        world.run_until(lambda: world.model.maintenance_orders, within=10.0)
        world.run(6.0)
        world.submit(JOB, [Step(1, NEED)])
        world.run_until(lambda: world.model.history, within=5.0)
        world.start_instance(1)
        world.run(2.0)
        leader = world.get_leader()
        begun = leader.upkeep.waves[1].begun["m-0"]
        repeated = BeginMaintenance(1, "m-0", begun.life, world.find_leader())
        effect = Propose("nobody/1", repeated, 2.0)
        place = leader.dispatcher._place_ready_tasks
        proposals = [effect]

        def propose(now):
            return [proposals.pop(), *place(now)] if proposals else place(now)

        with patch.object(leader.dispatcher, "_place_ready_tasks", propose):
            leader.dispatcher.request_scheduling_pass(world.now)
            world.run(5.0)
        assert not proposals
        assert find_duplicate_runs(world.model.history) == []
        assert len(world.model.history) == 1

    # A list of machines that was read before a move makes the leader repeat the move.
    def test_a_move_that_is_already_done_does_not_remove_the_moved_instance(self):
        world = FleetWorld(instances=1)
        world.begin()
        leader = world.get_leader()
        controller = leader.node._by_name["poolkeeper"]
        controller._term = leader.consensus.term
        controller._moving["m-0"] = ("service-a", world.now)
        command = OrderMoves("v0", controller._term, {"m-0": "service-a"})
        effects = controller.handle(
            Committed(1, command, Accepted(1), world.now), world.now
        )
        orders = [item for item in effects if isinstance(item, CallPlatform)]
        done = [
            PlatformOutcome(item.token, succeeded=True, report=MachineReport())
            for item in orders
        ]
        follow_ups = [controller.handle(item, world.now) for item in done]
        assert not any(follow_ups)


class TestReusedIdentifiers(unittest.TestCase):
    # A start to an instance that has just restarted is carried out by its new life.
    def test_a_start_that_reaches_the_next_life_is_not_repeated_elsewhere(self):
        world = FleetWorld(task_seconds=3.0, instances=1)
        world.begin()
        with patch.object(world.model, "call", RestartedInstance(world)):
            world.submit(JOB, [Step(1, NEED)])
            world.run(12.0)
        assert find_duplicate_runs(world.model.history) == []
        assert world.get_state(JOB) == "completed"

    # As before, but the answer of the new life is lost.
    def test_an_unanswered_start_to_the_next_life_is_not_repeated_elsewhere(self):
        world = FleetWorld(task_seconds=3.0, instances=1)
        world.begin()
        restarted = RestartedInstance(world, is_answer_lost=True)
        with patch.object(world.model, "call", restarted):
            world.submit(JOB, [Step(1, NEED)])
            world.run(12.0)
        assert find_duplicate_runs(world.model.history) == []
        assert world.get_state(JOB) == "completed"

    # The next life carries the start out and is then cut off from the leader.
    def test_a_start_on_a_silent_next_life_counts_for_the_longest_lease(self):
        world = FleetWorld(task_seconds=60.0, instances=1)
        world.begin()
        world.run(20.0)
        restarted = RestartedInstance(world, is_answer_lost=True, silent_after=True)
        with patch.object(world.model, "call", restarted):
            world.submit(JOB, [Step(1, NEED)])
            world.run(14.0)
        assert find_duplicate_runs(world.model.history) == []
        assert len(world.model.history) == 2

    # The first copy of a start arrives after the life that answered the second ended.
    def test_a_late_copy_of_a_start_is_stopped_on_the_next_life(self):
        world = FleetWorld(task_seconds=20.0, instances=1)
        world.begin()
        world.run(20.0)
        delayed = DelayedStart(world)
        with patch.object(world.model, "call", delayed):
            world.submit(JOB, [Step(1, NEED)])
            world.run_until(lambda: world.model.history, within=6.0)
            world.run(0.5)
            world.start_instance(1)
            world.start_instance(0, life=2)
            world.run(0.05)
            delayed.deliver()
            world.run(8.0)
        assert find_duplicate_runs(world.model.history) == []
        assert len(world.model.history) == 3

    # As before, after a change of leader: the log must not call such a run settled.
    def test_a_late_copy_of_a_start_is_stopped_by_a_new_leader(self):
        for seed, delay in enumerate((0.4, 1.0, 3.0, 6.0, 9.0)):
            with self.subTest(seed=seed, delay=delay):
                history = self.change_leader_before_a_late_start(seed, delay)
                assert find_duplicate_runs(history) == []
                assert len(history) == 3

    def change_leader_before_a_late_start(self, seed, delay):
        world = FleetWorld(seed, task_seconds=600.0, instances=1)
        world.begin()
        delayed = DelayedStart(world)
        with patch.object(world.model, "call", delayed):
            world.submit(JOB, [Step(1, NEED, lasting=True)])
            world.run_until(lambda: world.model.history, within=6.0)
            world.run(delay)
            world.kill(world.find_leader())
            world.run_until(world.find_leader, within=10.0)
            world.start_instance(1)
            world.start_instance(0, life=2)
            delayed.deliver()
            world.run(20.0)
        return world.model.history

    # The run that a late copy would start has ended, so that nothing is to be stopped.
    def test_a_late_copy_of_the_start_of_an_ended_run_is_refused_by_the_next_life(self):
        for is_lasting in (False, True):
            with self.subTest(is_lasting=is_lasting):
                history = self.end_run_before_a_late_start(is_lasting=is_lasting)
                assert find_duplicate_runs(history) == []
                assert len(history) == 1 + is_lasting

    def end_run_before_a_late_start(self, *, is_lasting):
        world = FleetWorld(task_seconds=600.0 if is_lasting else 1.0, instances=1)
        world.begin()
        delayed = DelayedStart(world)
        with patch.object(world.model, "call", delayed):
            world.submit(JOB, [Step(1, NEED, lasting=is_lasting)])
            world.run_until(lambda: world.model.history, within=6.0)
            world.start_instance(1)
            world.run(2.0)
            draining = replace(world.get_instance(0).registered, draining=True)
            world.ask(AnnounceInstanceCall(draining))
            world.run(1.0)
            world.start_instance(0, life=2)
            world.run(2.0)
            delayed.deliver()
            world.run(8.0)
        return world.model.history

    # The instance never returns, so no later life can carry the start out.
    def test_an_unanswered_start_is_repeated_once_its_lease_must_have_expired(self):
        world = FleetWorld(task_seconds=1.0, instances=1)
        world.begin()
        call = world.model.call

        def crash_before_the_start(effect, now):
            if isinstance(effect.action, StartRun) and not world.model.history:
                instance = world.get_instance(0)
                if not instance.is_dead:
                    world.model.crash(instance, now)
                    world.call(LeaveInstanceCall("i-0"), to=world.find_leader())
                    world.start_instance(1)
            return call(effect, now)

        with patch.object(world.model, "call", crash_before_the_start):
            world.submit(JOB, [Step(1, NEED)])
            world.run(5.0)
            assert world.model.history == []
            assert world.await_state(JOB, "completed", within=6.0)


class TestChangeOfLeaderWhileAnInstanceEnds(unittest.TestCase):
    # The leader is lost after it has committed that the instance has ended.
    def test_a_run_of_an_instance_that_is_not_registered_is_started_again(self):
        world = FleetWorld(task_seconds=2.0, instances=1)
        world.begin()
        world.submit(JOB, [Step(1, NEED)])
        world.run(0.5)
        world.model.crash(world.get_instance(0), world.now)
        with patch.object(Dispatcher, "_end_as_lost", lambda *_: []):
            world.ask(LeaveInstanceCall("i-0"))
            world.kill(world.find_leader())
        world.start_instance(1)
        assert world.await_state(JOB, "completed", within=20.0)
        assert find_duplicate_runs(world.model.history) == []


if __name__ == "__main__":
    unittest.main()
