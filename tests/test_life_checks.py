"""Tests that a life that was removed by mistake returns, and that no ended one does."""

import unittest
from random import Random
from unittest.mock import patch

import msgspec

from gypsumwalk.declaration_records import Resources
from gypsumwalk.effects import Record
from gypsumwalk.events import Event
from gypsumwalk.fleet_calls import AnnounceInstanceCall, LeaveInstanceCall
from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.instance_actions import InstanceReport, RenewLease
from gypsumwalk.life_checks import LifeChecks
from gypsumwalk.workload_records import (
    RegisteredInstance,
    RegisterInstance,
    RemoveInstance,
    Step,
)
from gypsumwalk.workloads import WorkloadSection
from tests._fleet_work import FleetWorld
from tests._fleet_work_checks import find_duplicate_runs

JOB = "00000000000000aa"
NEED = Resources(2000, 1000)
RETURN_SECONDS = 3.0
"""A heartbeat comes every 1.5 s, and one that is lost is followed by another."""

ODD_SERVICE = "node-exporter"
WRONG_REASONS = (
    "its machine has moved",
    "its machine is maintained",
    "its machine is down",
    "another instance answers in its place",
)


def remove(world, life, **fields):
    """Commit the removal of a life, as a leader with wrong information does."""
    world.propose(world.find_leader(), RemoveInstance(life, **fields))
    assert world.run_until(lambda: life not in world.list_lives(), within=1.0)


def count_returns(world):
    return sum(
        isinstance(entry.effect, Record)
        and entry.effect.event is Event.INSTANCE_RETURNED
        for entry in world.trace
    )


class TestReturn(unittest.TestCase):
    # Guards against review case 2: heartbeats of a life that was removed by mistake
    # were acknowledged, but it stayed out for good.
    def test_a_life_that_was_removed_by_mistake_gets_work_again(self):
        for reason in WRONG_REASONS:
            with self.subTest(reason=reason):
                world = FleetWorld(instances=1)
                world.begin()
                remove(world, "i-0@1001", reason=reason)
                world.run(RETURN_SECONDS)
                assert world.list_lives() == {"i-0@1001"}
                world.submit(JOB)
                assert world.await_state(JOB, "completed", within=3.0)
                assert count_returns(world) == 1

    def test_it_returns_after_a_change_of_leader(self):
        world = FleetWorld(instances=1)
        world.begin()
        remove(world, "i-0@1001")
        world.lose_power()
        assert world.run_until(world.find_leader, within=10.0)
        world.run(RETURN_SECONDS)
        world.submit(JOB)
        assert world.await_state(JOB, "completed", within=3.0)

    # A follower answered without the leader what the log already contains.
    def test_followers_do_not_acknowledge_it_by_themselves(self):
        world = FleetWorld(instances=1)
        world.begin()
        registered = world.get_instance(0).registered
        world.get_instance(0).is_silent = True
        remove(world, registered.life)
        world.run(0.5)
        follower = next(name for name in world.names if name != world.find_leader())
        call = world.call(AnnounceInstanceCall(registered), to=follower)
        assert world.run_until(lambda: call.ended, within=3.0)
        assert call.answer.status == 503

    # Guards against review case 3: the displaced instance got no work any more.
    def test_a_life_that_another_writer_displaced_gets_work_again(self):
        for address in ("host-0:80", "host-9:80"):
            with self.subTest(address=address):
                world = FleetWorld(instances=1)
                world.begin()
                registered = world.get_instance(0).registered
                odd = msgspec.structs.replace(
                    registered, service=ODD_SERVICE, born=5000, address=address
                )
                world.ask(AnnounceInstanceCall(odd, 1))
                world.run(RETURN_SECONDS)
                assert registered.life in world.list_lives()
                world.ask(AnnounceInstanceCall(odd, 2))
                world.run(RETURN_SECONDS)
                assert registered.life in world.list_lives()
                world.submit(JOB)
                assert world.await_state(JOB, "completed", within=3.0)

    # Guards against a life that was never registered, as its machine's clock was set
    # back before it began.
    def test_a_life_that_began_before_the_former_one_by_its_clock_gets_work(self):
        world = FleetWorld(instances=1)
        world.begin()
        world.start_instance(0, life=100)
        world.run(RETURN_SECONDS)
        world.start_instance(0, life=50)
        world.run(2 * RETURN_SECONDS)
        assert world.list_lives() == {"i-0@1050"}
        world.submit(JOB)
        assert world.await_state(JOB, "completed", within=3.0)

    def test_a_life_that_returned_can_be_removed_and_return_again(self):
        world = FleetWorld(instances=1)
        world.begin()
        for _ in range(3):
            remove(world, "i-0@1001")
            world.run(RETURN_SECONDS)
            assert world.list_lives() == {"i-0@1001"}
        leader = world.get_leader()
        copy = WorkloadSection()
        copy.load(leader.workloads.dump())
        assert not copy.is_superseded(world.get_instance(0).registered)

    def test_runs_of_a_removed_life_do_not_go_on_beside_their_repetition(self):
        world = FleetWorld(instances=2, task_seconds=20.0)
        world.begin()
        world.submit(JOB, [Step(1, NEED)])
        world.run(1.0)
        life = world.model.history[0].life
        remove(world, life, is_departing=True)
        world.run(2 * RETURN_SECONDS)
        assert life in world.list_lives()
        assert len(world.model.history) == 2
        assert find_duplicate_runs(world.model.history) == []


class TestEndedLife(unittest.TestCase):
    def announce(self, world, registered, count=4):
        for sequence in range(count):
            world.ask(AnnounceInstanceCall(registered, sequence))
            world.run(1.5)

    def test_late_heartbeats_of_a_life_that_has_ended_revive_nothing(self):
        for reason in WRONG_REASONS:
            with self.subTest(reason=reason):
                world = FleetWorld(instances=2)
                world.begin()
                registered = world.get_instance(0).registered
                world.model.crash(world.get_instance(0), world.now)
                remove(world, registered.life, reason=reason)
                self.announce(world, registered)
                assert world.list_lives() == {"i-1@1001"}

    def test_late_heartbeats_revive_nothing_while_the_next_life_answers(self):
        world = FleetWorld(instances=1)
        world.begin()
        registered = world.get_instance(0).registered
        world.model.crash(world.get_instance(0), world.now)
        remove(world, registered.life)
        world.start_instance(0, life=2).is_silent = True
        self.announce(world, registered)
        world.get_instance(0).is_silent = False
        self.announce(world, registered)
        assert world.list_lives() == {"i-0@1002"}

    # It deregistered, and answers until it has ended.
    def test_a_life_that_drained_does_not_return_even_if_it_answers(self):
        world = FleetWorld(instances=2)
        world.begin()
        registered = world.get_instance(0).registered
        draining = msgspec.structs.replace(registered, draining=True)
        world.ask(AnnounceInstanceCall(draining, 2))
        world.ask(LeaveInstanceCall("i-0"))
        self.announce(world, registered)
        self.announce(world, draining)
        assert world.list_lives() == {"i-1@1001"}
        world.lose_power()
        self.announce(world, registered)
        assert world.list_lives() == {"i-1@1001"}

    def test_one_call_a_second_goes_to_a_life_however_often_it_is_heard_from(self):
        world = FleetWorld(instances=1)
        world.begin()
        registered = world.get_instance(0).registered
        world.model.crash(world.get_instance(0), world.now)
        remove(world, registered.life)
        call, addresses = world.model.call, []

        def count(effect, now):
            if isinstance(effect.action, RenewLease):
                addresses.append(effect.action.address)
            return call(effect, now)

        with patch.object(world.model, "call", count):
            for _ in range(40):
                world.ask(AnnounceInstanceCall(registered))
                world.run(0.1)
        assert 2 <= len(addresses) <= 6


class TestRegistrations(unittest.TestCase):
    def make_command(self, random):
        """Return a registration or a removal of one of a few lives and addresses."""
        instance = RegisteredInstance(
            instance=f"i-{random.randrange(3)}",
            born=1000 + random.randrange(6),
            service="service-a",
            address=f"host-{random.randrange(3)}:80",
            data_centre="dc",
            capacity=NEED,
            draining=random.random() < 0.1,
        )
        if random.random() < 0.3:
            return RemoveInstance(instance.life, left=random.random() < 0.7)
        return RegisterInstance(instance, has_answered=random.random() < 0.3)

    # Two lives at one address would both be called, and each removed for the other.
    def test_an_address_has_one_life(self):
        for seed in range(20):
            random = Random(seed)
            section = WorkloadSection()
            for index in range(200):
                section.apply(self.make_command(random), index, 0.0)
                lives = list(section.instances.values())
                addresses = [item.address for item in lives]
                assert len(addresses) == len(set(addresses)), (seed, index)
                if random.random() < 0.1:
                    content = section.dump()
                    section = WorkloadSection()
                    section.load(content)
                    assert section.dump() == content


class TestDeliberateFault(unittest.TestCase):
    # The checks above are red if a heartbeat alone brings a life back.
    def test_lives_that_return_unasked(self):
        def confirm(self, registered, now):
            self._open_checks["lives/0"] = registered
            report = InstanceReport(born=registered.born)
            outcome = PlatformOutcome("lives/0", succeeded=True, report=report)
            return list(self.handle(outcome, now))

        with patch.object(LifeChecks, "check", confirm):
            case = TestEndedLife()
            with self.assertRaises(AssertionError):
                case.test_late_heartbeats_of_a_life_that_has_ended_revive_nothing()

    def test_drains_that_are_forgotten(self):
        with patch.object(WorkloadSection, "may_return", lambda *_: True):
            case = TestEndedLife()
            with self.assertRaises(AssertionError):
                case.test_a_life_that_drained_does_not_return_even_if_it_answers()


if __name__ == "__main__":
    unittest.main()
