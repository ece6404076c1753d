"""Tests of instances that are slow for some time after their start."""

import unittest

import msgspec

from gypsumwalk.declaration_records import Resources
from gypsumwalk.fleet_calls import AnnounceInstanceCall
from gypsumwalk.workload_records import (
    RegisteredInstance,
    RegisterInstance,
    Step,
)
from gypsumwalk.workloads import WorkloadSection
from tests._fleet_work import FleetWorld
from tests._scheduling import CAPACITY, NOW, Fleet, make_instance, make_job


def count_commands(world, kind):
    """Return the number of commands of a type that a daemon applied."""
    leader = world.get_leader()
    return sum(
        isinstance(leader.consensus.replica.decode(entry.command), kind)
        for entry in leader.consensus.replica.log.tail(0)
        if entry.command
    )


class TestPlacement(unittest.TestCase):
    def begin(self, *cold, due=()):
        """Make a fleet of one machine for each flag that tells whether it is cold."""
        self.fleet = Fleet()
        for number, is_cold in enumerate(cold):
            instance = msgspec.structs.replace(
                make_instance(number), labels=[f"rack-{number // 2}"]
            )
            if is_cold:
                instance = msgspec.structs.replace(instance, cold_until=NOW + 3.0)
            self.fleet.add_instance(instance)
        self.fleet.scheduler.due_for_maintenance.update(due)

    def place(self, step):
        """Return the instances on which the tasks of a job are placed."""
        job = f"job-{len(self.fleet.workloads.jobs)}"
        self.fleet.submit(make_job(job, steps=[step]))
        return [item.run.life.partition("@")[0] for item in self.fleet.plan()]

    # Guards against tasks that start on a slow instance beside a free one, as of equal
    # instances the first is chosen.
    def test_a_warm_instance_is_preferred(self):
        self.begin(True, False)
        assert self.place(Step(1, Resources(1000, 1000))) == ["i-1"]

    # Guards against tasks that wait for warm instances.
    def test_cold_instances_are_used_once_no_warm_one_has_room(self):
        self.begin(True, False, True)
        step = Step(3, Resources(CAPACITY.cpu, 1000))
        placed = self.place(step)
        assert placed[0] == "i-1"
        assert sorted(placed) == ["i-0", "i-1", "i-2"]

    def test_an_instance_counts_as_warm_after_its_time(self):
        self.begin(False, False)
        instance = make_instance(0)
        warm = msgspec.structs.replace(instance, cold_until=NOW)
        self.fleet.table.instances[instance.life].registered = warm
        assert self.place(Step(1, Resources(1000, 1000))) == ["i-0"]

    # Guards against a lasting task that moves again soon for the sake of some seconds.
    def test_a_lasting_task_avoids_machines_of_a_wave_before_cold_ones(self):
        self.begin(False, True, due=["m-0"])
        assert self.place(Step(1, Resources(1000, 1000), lasting=True)) == ["i-1"]

    def test_a_gang_prefers_a_warm_rack(self):
        self.begin(True, False, False, False)
        step = Step(2, Resources(CAPACITY.cpu, 1000), gang=True)
        assert sorted(self.place(step)) == ["i-2", "i-3"]


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
