"""Tests of announcements whose service no declaration names."""

import unittest

import msgspec

from gypsumwalk.declaration_records import Resources
from gypsumwalk.effects import Record
from gypsumwalk.events import Event
from gypsumwalk.fleet_calls import AnnounceInstanceCall
from gypsumwalk.workload_records import Step
from tests._fleet_work import FleetWorld
from tests._fleet_work_checks import find_duplicate_runs

JOB = "00000000000000aa"
NEED = Resources(2000, 1000)
ODD_SERVICE = "node-exporter"


def announce(world, registered):
    answer = world.ask(AnnounceInstanceCall(registered, 1))
    assert answer.status == 200


def make_odd(registered, **fields):
    """Return the announcement of another writer under the name of an instance."""
    fields = {"service": ODD_SERVICE, "born": 5000} | fields
    return msgspec.structs.replace(registered, **fields)


class TestForeignAnnouncements(unittest.TestCase):
    def begin(self, instances=2):
        world = FleetWorld(instances=instances, task_seconds=20.0)
        world.begin()
        world.submit(JOB, [Step(1, NEED)])
        world.run(1.0)
        (run,) = world.model.history
        number = int(run.life.partition("@")[0].removeprefix("i-"))
        return world, world.get_instance(number).registered

    # Guards against tasks that ran twice, as the heartbeat of another writer displaced
    # the life that they ran on (review case 3).
    def test_another_writer_displaces_no_life(self):
        for fields in (
            {},
            {"address": "host-9:80"},
            {"instance": "i-9"},
            {"born": 1001},
        ):
            with self.subTest(**fields):
                world, registered = self.begin()
                announce(world, make_odd(registered, **fields))
                known = world.get_leader().workloads.instances.get(registered.life)
                assert known == registered
                world.run(5.0)
                assert registered.life in world.list_lives()
                assert len(world.model.history) == 1
                assert find_duplicate_runs(world.model.history) == []

    def test_it_is_logged(self):
        world, registered = self.begin()
        odd = make_odd(registered)
        announce(world, odd)
        (record,) = [
            entry.effect
            for entry in world.trace
            if isinstance(entry.effect, Record)
            and entry.effect.event is Event.ANNOUNCEMENT_IGNORED
        ]
        assert record.subject == odd.life
        assert ODD_SERVICE in record.attributes["reason"]

    def test_the_next_life_of_an_instance_replaces_the_former_one_at_once(self):
        world, registered = self.begin()
        born = registered.born + 1
        announce(world, msgspec.structs.replace(registered, born=born))
        assert f"{registered.instance}@{born}" in world.list_lives()
        assert registered.life not in world.list_lives()

    # Guards against an instance that restarts for a service that is declared later, and
    # whose former life stays registered.
    def test_a_next_life_with_an_unknown_service_follows_once_it_answers(self):
        world, registered = self.begin()
        number = int(registered.instance.removeprefix("i-"))
        world.start_instance(number, life=2, service="service-later")
        world.run(4.0)
        assert f"{registered.instance}@1002" in world.list_lives()
        assert registered.life not in world.list_lives()

    # The same at another address, where no renewal tells of the next life.
    def test_a_next_life_at_another_address_follows_once_it_answers(self):
        world, registered = self.begin()
        world.model.crash(world.model.instances[registered.address], world.now)
        moved = make_odd(registered, born=1002, address="host-9:80", machine="m-9")
        world.model.add(moved, world.now)
        world.run(4.0)
        assert moved.life in world.list_lives()
        assert registered.life not in world.list_lives()

    # Guards against instances that are ignored as their service was declared no more.
    def test_an_instance_of_a_service_that_is_no_longer_declared_is_heard(self):
        world, registered = self.begin()
        draining = msgspec.structs.replace(registered, draining=True)
        current = world.get_leader().declarations.current
        services = [item for item in current.services if item.name != "service-a"]
        queues = [item for item in current.queues if item.service != "service-a"]
        world.declare(
            msgspec.structs.replace(
                current, version=9, services=services, queues=queues
            )
        )
        announce(world, draining)
        assert world.get_leader().workloads.instances[registered.life].draining


if __name__ == "__main__":
    unittest.main()
