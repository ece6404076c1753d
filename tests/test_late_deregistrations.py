"""Tests of deregistrations that arrive late, and name an instance but no life.

A daemon that was paused passes on the deregistration of a life that has ended by then,
and whose instance has started again.
"""

import unittest

import msgspec

from gypsumwalk.declaration_records import Resources
from gypsumwalk.fleet_calls import AnnounceInstanceCall, LeaveInstanceCall
from gypsumwalk.workload_records import RegisteredInstance, RegisterInstance, Step
from gypsumwalk.workloads import WorkloadSection
from tests._fleet_work import FleetWorld
from tests._fleet_work_checks import find_duplicate_runs

JOB, OTHER_JOB, LAST_JOB = (f"{number:016x}" for number in range(3))
NEED = Resources(2000, 1000)
SHORT_SECONDS = 1.0
SILENCE_SECONDS = 4.0
"""Time after which an instance that has ended gets no starts."""


def drain(world, number):
    """Announce that an instance drains."""
    registered = world.get_instance(number).registered
    draining = msgspec.structs.replace(registered, draining=True)
    assert world.ask(AnnounceInstanceCall(draining)).status == 200


def restart(world, number, life=2):
    """Restart an instance as planned; nobody hears its deregistration."""
    drain(world, number)
    world.model.crash(world.get_instance(number), world.now)
    world.run(SHORT_SECONDS)
    world.start_instance(number, life=life)
    world.run(2.0)


def deregister(world, number, born=0):
    answer = world.ask(LeaveInstanceCall(f"i-{number}", born))
    assert answer.status == 200


def make_instance(born):
    room = Resources(8000, 16000)
    return RegisteredInstance("i-0", born, "service-a", "host-0:80", "dc", room)


def register(section, born):
    section.apply(RegisterInstance(make_instance(born)), 1, 0.0)


class TestLateDeregistration(unittest.TestCase):
    # Guards against review case 2: both instances of a service got no work any more.
    def test_the_next_life_goes_on_getting_work(self):
        world = FleetWorld(instances=2)
        world.begin()
        for number in range(2):
            restart(world, number)
        for number in range(2):
            deregister(world, number)
        world.run(3.0)
        assert world.list_lives() == {"i-0@1002", "i-1@1002"}
        world.submit(JOB)
        assert world.await_state(JOB, "completed", within=3.0)

    # Guards against a task that a late deregistration of another life stops.
    def test_the_runs_of_the_next_life_go_on(self):
        world = FleetWorld(instances=1, task_seconds=8.0)
        world.begin()
        restart(world, 0)
        world.submit(JOB, [Step(1, NEED)])
        world.run(2.0)
        deregister(world, 0)
        assert world.await_state(JOB, "completed", within=10.0)
        assert len(world.model.history) == 1

    def test_repetitions_after_several_restarts_change_nothing(self):
        world = FleetWorld(instances=1)
        world.begin()
        for life in (2, 3, 4):
            restart(world, 0, life)
            deregister(world, 0)
            deregister(world, 0)
        world.run(3.0)
        assert world.list_lives() == {"i-0@1004"}
        world.submit(JOB)
        assert world.await_state(JOB, "completed", within=3.0)

    def test_it_changes_nothing_after_a_change_of_leader(self):
        world = FleetWorld(instances=1)
        world.begin()
        restart(world, 0)
        world.lose_power()
        deregister(world, 0)
        world.run(3.0)
        world.submit(JOB)
        assert world.await_state(JOB, "completed", within=3.0)


class TestTrueDeparture(unittest.TestCase):
    def test_a_life_that_drains_leaves_with_its_deregistration(self):
        world = FleetWorld(instances=2)
        world.begin()
        restart(world, 0)
        drain(world, 0)
        deregister(world, 0)
        assert world.list_lives() == {"i-1@1001"}

    def test_a_life_that_names_itself_leaves_with_its_deregistration(self):
        world = FleetWorld(instances=2)
        world.begin()
        restart(world, 0)
        deregister(world, 0, born=1002)
        assert world.list_lives() == {"i-1@1001"}

    def test_the_first_life_of_an_instance_leaves_without_a_drain(self):
        world = FleetWorld(instances=2)
        world.begin()
        deregister(world, 0)
        assert world.list_lives() == {"i-1@1001"}

    # The drain was not heard, so that the departure of a second life is in doubt.
    def test_a_doubtful_departure_leaves_no_task_on_an_ended_life(self):
        for seed in range(5):
            with self.subTest(seed=seed):
                world = FleetWorld(seed, instances=2, task_seconds=3.0)
                world.begin()
                restart(world, 0)
                world.submit(JOB, [Step(2, NEED, max_per_instance=1)])
                world.run(0.5)
                world.model.crash(world.get_instance(0), world.now)
                deregister(world, 0)
                departed_at = world.now
                world.submit(OTHER_JOB, [Step(4, NEED)])
                world.run(SILENCE_SECONDS)
                world.submit(LAST_JOB, [Step(4, NEED)])
                late = [
                    run
                    for run in world.model.history
                    if run.life == "i-0@1002" and run.started >= departed_at
                ]
                assert late == []
                for job in (JOB, OTHER_JOB, LAST_JOB):
                    assert world.await_state(job, "completed", within=20.0)
                assert find_duplicate_runs(world.model.history) == []


class TestHistory(unittest.TestCase):
    # A daemon that starts from a snapshot decides as those that applied the log.
    def test_a_snapshot_keeps_that_there_was_an_earlier_life(self):
        section = WorkloadSection()
        for born in (1001, 1002):
            register(section, born)
        copy = WorkloadSection()
        copy.load(section.dump())
        assert not copy.may_have_left(make_instance(1002))
        assert copy.dump() == section.dump()

    def test_a_snapshot_of_an_earlier_version_takes_lives_as_first_ones(self):
        section = WorkloadSection()
        register(section, 1002)
        content = msgspec.msgpack.decode(section.dump())
        del content["past"]
        copy = WorkloadSection()
        copy.load(msgspec.msgpack.encode(content))
        assert copy.may_have_left(make_instance(1002))


if __name__ == "__main__":
    unittest.main()
