"""Tests of instances that are slow for some time after their start."""

import unittest

import msgspec

from gypsumwalk.fleet_calls import AnnounceInstanceCall
from gypsumwalk.workload_records import (
    RegisteredInstance,
    RegisterInstance,
)
from gypsumwalk.workloads import WorkloadSection
from tests._fleet_work import FleetWorld


def count_commands(world, kind):
    """Return the number of commands of a type that a daemon applied."""
    leader = world.get_leader()
    return sum(
        isinstance(leader.consensus.replica.decode(entry.command), kind)
        for entry in leader.consensus.replica.log.tail(0)
        if entry.command
    )


class TestRegistration(unittest.TestCase):
    def begin(self):
        self.world = FleetWorld(instances=1)
        self.world.begin()
        self.registered = self.world.get_instance(0).registered

    def announce(self, cold_remaining, **changed):
        registered = msgspec.structs.replace(
            self.registered, instance="cold", address="host-cold:80", **changed
        )
        call = AnnounceInstanceCall(registered, cold_remaining=cold_remaining)
        assert self.world.ask(call).status == 200
        return self.world.get_leader().workloads.instances[registered.life]

    # Guards against an entry of the log for each heartbeat of a cold instance.
    def test_the_time_is_found_once_for_each_life(self):
        self.begin()
        began = self.world.now
        first = self.announce(4.0)
        assert began + 4.0 <= first.cold_until <= self.world.now + 4.0
        committed = count_commands(self.world, RegisterInstance)
        for remaining in (3.0, 1.5, 0.0):
            self.world.run(1.0)
            assert self.announce(remaining) == first
        assert count_commands(self.world, RegisterInstance) == committed

    def test_an_instance_that_drains_stays_cold(self):
        self.begin()
        first = self.announce(4.0)
        draining = self.announce(3.0, draining=True)
        assert draining.draining
        assert draining.cold_until == first.cold_until

    def test_each_life_has_a_time_of_its_own(self):
        self.begin()
        assert self.announce(0.0).cold_until == 0.0
        next_life = self.announce(2.0, born=self.registered.born + 1)
        assert next_life.cold_until > self.world.now

    # Guards against a snapshot or a log of the version before that cannot be read.
    def test_a_registration_without_the_time_is_warm(self):
        self.begin()
        fields = msgspec.to_builtins(self.registered)
        del fields["cold_until"]
        old = msgspec.msgpack.encode(fields)
        known = msgspec.msgpack.decode(old, type=RegisteredInstance)
        assert known == self.registered
        section = WorkloadSection()
        dump = {"jobs": [], "instances": [fields], "term": 1, "last_born": {}}
        section.load(msgspec.msgpack.encode(dump))
        assert section.instances == {known.life: known}


if __name__ == "__main__":
    unittest.main()
