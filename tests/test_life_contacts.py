"""Tests of until when orders for former lives may have extended a lease."""

import unittest

from gypsumwalk.declaration_records import Resources
from gypsumwalk.life_contacts import LifeContacts
from gypsumwalk.workload_records import (
    Placement,
    RegisteredInstance,
    RegisterInstance,
    TaskKey,
)
from gypsumwalk.workloads import WorkloadSection

CAPACITY = Resources(8000, 8000)
TASK = TaskKey("00000000000000aa", 0, 0, 0)
LIFETIME = 10.0 / 0.98


def make_life(born, instance="i-0"):
    return RegisteredInstance(instance, born, "service", "host:1", "dc", CAPACITY)


class TestLifeContacts(unittest.TestCase):
    def setUp(self):
        self.workloads = WorkloadSection()
        self.contacts = LifeContacts(self.workloads, max_lease=10.0)
        for index, born in enumerate((1, 2)):
            command = RegisterInstance(make_life(born))
            self.workloads.apply(command, index + 1, 0.0)

    def test_the_first_life_of_an_instance_has_no_leases_of_others(self):
        assert self.contacts.find_expiry(make_life(1).life, 50.0) == 0.0

    def test_a_lease_counts_from_the_first_contact_with_a_later_life(self):
        self.contacts.note("i-0@2", 50.0)
        self.contacts.note("i-0@2", 60.0)
        assert self.contacts.find_expiry(make_life(2).life, 65.0) == 50.0 + LIFETIME

    def test_a_life_without_contact_may_have_such_a_lease_from_now_on(self):
        assert self.contacts.find_expiry(make_life(2).life, 65.0) == 65.0 + LIFETIME

    def test_a_placement_shows_that_its_life_was_called_before(self):
        self.contacts.note_placements([Placement(TASK, 1, "i-0@2")], 40.0)
        assert self.contacts.find_expiry(make_life(2).life, 65.0) == 40.0 + LIFETIME

    def test_contacts_with_ended_lives_are_dropped_in_the_end(self):
        self.contacts.note("i-0@2", 50.0)
        for born in range(3, 3000):
            self.contacts.note(f"i-1@{born}", 51.0)
        assert self.contacts.find_expiry(make_life(2).life, 65.0) == 50.0 + LIFETIME
        assert self.contacts.find_expiry("i-1@3", 65.0) == 65.0 + LIFETIME


if __name__ == "__main__":
    unittest.main()
