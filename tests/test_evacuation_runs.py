"""Tests of the runs on instances of an evacuated data centre."""

import unittest
from functools import partial
from unittest.mock import patch

import msgspec

from gypsumwalk.advice import AdviceCache
from gypsumwalk.declaration_records import Resources
from gypsumwalk.events import Event
from gypsumwalk.fleet_assembly import FleetLimits
from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.instance_actions import StartRun, StopRun
from gypsumwalk.leases import RunState
from gypsumwalk.run_orders import RunOrders
from gypsumwalk.task_scheduler import TaskScheduler
from gypsumwalk.workload_records import Step
from tests import _fleet_work
from tests._evacuation_world import EAST, IN_FORCE_SECONDS, WEST, EvacuationWorld
from tests._fleet_work import CAPACITY
from tests._fleet_work_checks import find_duplicate_runs
from tests._scheduling import NOW, Fleet, make_instance, make_job

JOB = "00000000000000aa"
OTHER_JOB = "00000000000000bb"
SMALL = Resources(1000, 1000)
HALF = Resources(CAPACITY.cpu // 2, 1000)
WHOLE = Resources(CAPACITY.cpu, 1000)


def make_world(seed=0, *, instances=4, task_seconds=600.0):
    world = EvacuationWorld(seed, instances=instances, task_seconds=task_seconds)
    world.begin()
    return world


def list_events(world, event):
    return [
        entry for entry in world.trace if getattr(entry.effect, "event", None) is event
    ]


class TestPlacement(unittest.TestCase):
    # Guards against tasks that start in a data centre that is to be empty.
    def test_nothing_starts_in_an_evacuated_data_centre(self):
        world = make_world(task_seconds=0.5)
        world.evacuate()
        began = world.now
        world.submit(JOB, [Step(40, SMALL)])
        assert world.await_state(JOB, "completed")
        assert world.list_starts(EAST, began) == []

    def test_an_instance_that_registers_later_gets_nothing(self):
        world = make_world(instances=2, task_seconds=0.5)
        world.evacuate()
        world.start_instance(4)
        world.run(3.0)
        assert "i-4@1001" in world.list_lives()
        began = world.now
        world.submit(JOB, [Step(30, SMALL)])
        assert world.await_state(JOB, "completed")
        assert world.list_starts(EAST, began) == []

    # Guards against tasks that wait although the evacuation was withdrawn.
    def test_waiting_tasks_start_once_the_evacuation_is_withdrawn(self):
        world = make_world(instances=2)
        world.evacuate(EAST)
        world.evacuate(WEST)
        world.submit(JOB, [Step(4, SMALL)])
        world.run(3.0)
        assert world.model.history == []
        world.end_evacuation(EAST)
        assert world.run_until(lambda: len(world.list_running(EAST)) == 4, within=1.0)
        assert world.list_running(WEST) == []

    def test_two_data_centres_are_evacuated_one_by_one(self):
        world = make_world(task_seconds=0.3)
        for first, second in ((EAST, WEST), (WEST, EAST)):
            world.evacuate(first)
            began = world.now
            world.submit(JOB + first, [Step(20, SMALL)])
            assert world.await_state(JOB + first, "completed")
            assert world.list_starts(first, began) == []
            assert len(world.list_starts(second, began)) == 20
            world.end_evacuation(first)

    # Guards against a leader that goes on with the placements of before.
    def test_a_change_of_leader_halfway_starts_nothing(self):
        for seed in range(6):
            with self.subTest(seed=seed):
                world = make_world(seed, task_seconds=0.3)
                for number in range(6):
                    world.submit(f"{JOB}{number}", [Step(20, SMALL)])
                world.evacuate()
                acknowledged = world.now
                world.run(0.01 * seed)
                leader = world.find_leader()
                world.kill(leader)
                assert world.run_until(world.find_leader, within=5.0)
                world.submit(OTHER_JOB, [Step(40, SMALL)])
                assert world.await_state(OTHER_JOB, "completed")
                since = acknowledged + IN_FORCE_SECONDS
                assert world.list_starts(EAST, since) == []
                in_force = [
                    run
                    for run in world.list_starts(EAST, acknowledged)
                    if run.started > acknowledged + 0.1
                ]
                assert in_force == []

    # Guards against daemons that forget the order with their memory.
    def test_a_power_loss_of_all_daemons_starts_nothing(self):
        world = make_world(task_seconds=0.3)
        world.evacuate()
        acknowledged = world.now
        world.lose_power()
        assert world.run_until(world.find_leader, within=10.0)
        world.submit(JOB, [Step(40, SMALL)])
        assert world.await_state(JOB, "completed")
        assert world.list_starts(EAST, acknowledged) == []


class TestUnansweredStarts(unittest.TestCase):
    def begin(self, *, is_carried_out, evacuation=IN_FORCE_SECONDS):
        """Lose the first start, or its answer, and evacuate its data centre."""
        limits = partial(FleetLimits, evacuation=evacuation)
        self.enterContext(patch.object(_fleet_work, "FleetLimits", limits))
        self.world = world = make_world(instances=2, task_seconds=3.0)
        call, self.starts = world.model.call, []

        def lose_first(effect, now):
            if not isinstance(effect.action, StartRun):
                return call(effect, now)
            self.starts.append((world.now, effect.action))
            if len(self.starts) > 1:
                return call(effect, now)
            if is_carried_out:
                call(effect, now)
            unknown = PlatformOutcome(effect.token, succeeded=False, unknown=True)
            return effect.timeout, lambda at: unknown

        self.enterContext(patch.object(world.model, "call", lose_first))
        world.submit(JOB, [Step(1, SMALL)])
        assert world.run_until(lambda: self.starts, within=1.0)
        address = self.starts[0][1].address
        registered = world.model.instances[address].registered
        self.place = registered.data_centre
        world.evacuate(self.place)

    # Guards against a start that is sent again to a data centre that is to be empty,
    # and against a task that waits there for good.
    def test_a_start_that_was_not_answered_is_withdrawn(self):
        self.begin(is_carried_out=False)
        assert self.world.await_state(JOB, "completed", within=9.0)
        again = [
            action.address
            for at, action in self.starts[1:]
            if at > self.world.acknowledged_at[self.place]
        ]
        assert len(again) == 1
        assert again[0] != self.starts[0][1].address
        assert [self.world.find_place(run) for run in self.world.model.history] != [
            self.place
        ]
        assert not find_duplicate_runs(self.world.model.history)

    # Guards against a start that is withdrawn after the time within which the platform
    # wants the evacuation in force.
    def test_a_start_is_withdrawn_within_the_time_of_the_platform(self):
        for evacuation, withdrawn in ((2.4, 1.2), (IN_FORCE_SECONDS, 2.0)):
            self.begin(is_carried_out=False, evacuation=evacuation)
            (sent_at, start) = self.starts[0]
            self.world.run(4.0)
            stops = [
                entry.at - sent_at
                for entry in self.world.trace
                if isinstance(getattr(entry.effect, "action", None), StopRun)
                and entry.effect.action.task == start.task
            ]
            assert withdrawn <= stops[0] <= withdrawn + 0.1, stops

    def test_a_run_that_began_goes_on(self):
        self.begin(is_carried_out=True)
        assert self.world.await_state(JOB, "completed", within=9.0)
        assert len(self.world.model.history) == 1

    # Guards against a placement that was on its way to the log, and is started by the
    # leader once it is committed.
    def test_a_placement_committed_before_is_not_started(self):
        world = make_world(instances=2, task_seconds=1.0)
        leader = world.get_leader()
        sent = []
        start = RunOrders.start

        def record(orders, run, view, now):
            sent.append(view.registered.data_centre)
            return start(orders, run, view, now)

        with patch.object(RunOrders, "start", record):
            world.submit(JOB, [Step(8, SMALL)])
            # The placements are planned, and not committed yet.
            world.run_until(leader.dispatcher.lease_table.list_runs, within=1.0)
            assert not sent
            leader.evacuations.data_centres.update((EAST, WEST))
            world.run(0.5)
            assert not sent
            world.end_evacuation(WEST)
            assert world.await_state(JOB, "completed")
        assert set(sent) == {WEST}


class TestLastingTasks(unittest.TestCase):
    def begin(self, step, *, instances=4, submitted=1):
        self.world = world = make_world(instances=instances)
        self.step = step
        for number in range(submitted):
            world.submit(f"{JOB}{number}", [step])
        world.run(5.0)
        assert len(self.list_running()) == step.count * submitted

    def list_running(self):
        return [run for run in self.world.model.history if run.ended is None]

    def run_and_count_running(self, seconds):
        """Advance, and return the least number of tasks that ran at a time."""
        began = self.world.now
        self.world.run(seconds)
        history = self.world.model.history
        ends = {run.ended for run in history if run.ended and run.ended > began}
        return min(
            sum(
                run.started <= at and (run.ended is None or run.ended > at)
                for run in history
            )
            for at in {began, *ends}
        )

    # Guards against a move that makes more tasks of a step unavailable than allowed.
    def test_lasting_tasks_move_within_their_budget(self):
        step = Step(6, HALF, lasting=True, checkpoints=True, max_unavailable=1)
        self.begin(step, instances=6)
        assert self.world.list_running(EAST)
        self.world.evacuate()
        assert self.run_and_count_running(15.0) == step.count - 1
        assert self.world.list_running(EAST) == []
        assert len(self.world.list_running(WEST)) == step.count
        assert not find_duplicate_runs(self.world.model.history)

    # Guards against a task that is stopped and then has no place anywhere.
    def test_a_task_without_room_elsewhere_stays(self):
        step = Step(1, WHOLE, lasting=True, max_unavailable=1)
        self.begin(step, instances=2, submitted=2)
        self.world.evacuate()
        assert self.run_and_count_running(10.0) == 2
        assert len(self.world.list_running(EAST)) == 1
        self.world.start_instance(3)
        self.world.run(5.0)
        assert self.world.list_running(EAST) == []
        assert len(self.world.list_running(WEST)) == 2

    # Guards against two moves into the same room.
    def test_the_room_of_one_task_is_taken_once(self):
        step = Step(1, HALF, lasting=True, max_unavailable=1)
        self.begin(step, instances=2, submitted=3)
        in_east = len(self.world.list_running(EAST))
        in_west = len(self.world.list_running(WEST))
        assert in_east + in_west == 3
        place, room = (EAST, 2 - in_west) if in_east == 2 else (WEST, 2 - in_east)
        self.world.evacuate(place)
        assert self.run_and_count_running(10.0) == 2
        assert len(self.list_running()) == 3
        assert len(self.world.list_running(place)) == 2 - room

    def test_a_task_without_a_budget_limit_needs_no_room(self):
        step = Step(1, WHOLE, lasting=True)
        self.begin(step, instances=2, submitted=2)
        self.world.evacuate()
        self.world.run(3.0)
        assert self.world.list_running(EAST) == []
        assert len(self.world.list_running(WEST)) == 1

    # Guards against a lasting task that never leaves, as smaller transient tasks take
    # each part of the room that becomes free.
    def test_transient_tasks_make_room(self):
        step = Step(1, WHOLE, lasting=True, max_unavailable=1)
        self.begin(step, instances=2)
        (place,) = {self.world.find_place(run) for run in self.list_running()}
        other = WEST if place == EAST else EAST
        self.world.task_seconds = 1.0
        for number in range(400):
            key = f"{OTHER_JOB}.0.0.{number}", 1
            self.world.run_results[key] = (0.5 + 0.01 * (number % 100), "done")
        self.world.submit(OTHER_JOB, [Step(400, SMALL)])
        self.world.run(2.0)
        self.world.evacuate(place)
        self.world.run(8.0)
        assert len(self.world.list_running(other, JOB)) == 1

    # Guards against a gang that is stopped member by member, or of which a part stays.
    def test_a_gang_moves_as_a_whole(self):
        step = Step(2, HALF, lasting=True, gang=True, max_unavailable=2)
        self.begin(step)
        places = {self.world.find_place(run) for run in self.list_running()}
        self.world.evacuate(next(iter(places)))
        stays = WEST if EAST in places else EAST
        self.world.run(8.0)
        assert len(self.world.list_running(stays)) == 2
        assert {run.run for run in self.list_running()} == {2}

    # Guards against a stop of one member, which ends all of them, within a budget that
    # only allows one.
    def test_a_gang_beyond_its_budget_stays(self):
        step = Step(2, HALF, lasting=True, gang=True, max_unavailable=1)
        self.begin(step)
        places = {self.world.find_place(run) for run in self.list_running()}
        self.world.evacuate(next(iter(places)))
        assert self.run_and_count_running(6.0) == 2

    def test_transient_runs_end_by_themselves(self):
        world = make_world(task_seconds=6.0)
        world.submit(JOB, [Step(16, SMALL)])
        world.run(2.0)
        assert world.list_running(EAST) or world.list_running(WEST)
        world.evacuate(EAST)
        world.evacuate(WEST)
        assert world.await_state(JOB, "completed", within=9.0)
        assert len(world.model.history) == 16

    # Guards against an evacuation that ends with its leader.
    def test_a_new_leader_goes_on_with_the_moves(self):
        step = Step(6, HALF, lasting=True, max_unavailable=1)
        self.begin(step, instances=6)
        self.world.evacuate()
        self.world.run(0.6)
        self.world.kill(self.world.find_leader())
        assert self.run_and_count_running(20.0) >= step.count - 1
        assert self.world.list_running(EAST) == []
        assert len(self.list_running()) == step.count

    # Guards against an instance that left while nothing was evacuated, and is still
    # looked at in the next evacuation.
    def test_an_evacuation_follows_another_one(self):
        step = Step(1, WHOLE, lasting=True, max_unavailable=1)
        self.begin(step, instances=2, submitted=2)
        self.world.evacuate(EAST)
        self.world.run(1.0)
        self.world.end_evacuation(EAST)
        self.world.start_instance(0, life=2)
        self.world.start_instance(3)
        self.world.run(4.0)
        assert "i-0@1001" not in self.world.list_lives()
        self.world.evacuate(EAST)
        self.world.run(6.0)
        assert self.world.list_running(EAST) == []
        assert len(self.world.list_running(WEST)) == 2

    # Guards against a wave that waits for tasks which wait for the evacuation.
    def test_a_wave_in_the_same_data_centre_is_completed(self):
        step = Step(3, HALF, lasting=True, max_unavailable=1)
        self.begin(step, instances=6)
        self.world.evacuate()
        machines = ["m-0", "m-2", "m-4"]
        self.world.start_wave(1, machines, duration=30.0)
        assert self.run_and_count_running(29.0) == step.count - 1
        assert self.world.get_leader().upkeep.is_completed(1)
        assert self.world.list_running(EAST) == []
        assert len(self.world.list_running(WEST)) == step.count


class TestPlans(unittest.TestCase):
    # Guards against room that a gang too large for it keeps from other tasks.
    def test_a_gang_without_room_gives_back_what_it_found(self):
        fleet, evacuated = Fleet(), set()
        fleet.scheduler = TaskScheduler(
            fleet.declarations, fleet.workloads, AdviceCache(), evacuated
        )
        need = Resources(20000, 1000)
        fleet.add_instance(make_instance(0))
        gang = Step(2, need, lasting=True, gang=True, max_unavailable=2)
        single = Step(1, need, lasting=True, max_unavailable=1)
        for name, step in (("a-gang", gang), ("b-single", single)):
            fleet.submit(make_job(name, steps=[step]))
            for item in fleet.plan():
                item.run.state = RunState.RUNNING
                item.run.first_listed_at = NOW
        room = msgspec.structs.replace(
            make_instance(1), data_centre=WEST, capacity=need
        )
        fleet.add_instance(room)
        for view in fleet.table.instances.values():
            view.evacuated = evacuated
        evacuated.add("dc")
        moves = fleet.scheduler.plan_moves(fleet.table, NOW)
        assert [(move.run.task.job, move.room) for move in moves] == [
            ("b-single", room.life)
        ]


class TestEvents(unittest.TestCase):
    def test_the_evacuation_and_each_move_are_recorded_once(self):
        world = make_world(instances=4)
        world.submit(JOB, [Step(4, HALF, lasting=True, max_unavailable=1)])
        world.run(5.0)
        in_east = len(world.list_running(EAST))
        for _ in range(2):
            world.evacuate()
        world.run(10.0)
        world.end_evacuation()
        (started,) = list_events(world, Event.EVACUATION_STARTED)
        assert started.effect.subject == EAST
        assert started.effect.attributes == {
            "instances": 2,
            "runs": in_east,
            "lasting": in_east,
        }
        assert len(list_events(world, Event.EVACUATION_FINISHED)) == 1
        moved = list_events(world, Event.RUN_MOVED_AWAY)
        assert len(moved) == in_east
        assert all(
            int(entry.effect.attributes["room"].partition("@")[0][2:]) % 2
            for entry in moved
        )


if __name__ == "__main__":
    unittest.main()
