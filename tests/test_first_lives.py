"""Tests that a life counts as the first of its instance only if it is."""

import unittest

from gypsumwalk.declaration_records import Resources
from gypsumwalk.life_contacts import LifeContacts
from gypsumwalk.life_history import MAX_INSTANCES
from gypsumwalk.workload_records import (
    RegisteredInstance,
    RegisterInstance,
    RemoveInstance,
)
from gypsumwalk.workloads import WorkloadSection

CAPACITY = Resources(8000, 8000)


def make_life(instance, born):
    address = f"{instance}:1"
    return RegisteredInstance(instance, born, "service", address, "dc", CAPACITY)


class TestFirstLives(unittest.TestCase):
    # An instance that has been up for long, while many others came and went, returns:
    # its second life counted as its first, without the leases of orders for the former
    # one, and a late deregistration of the former life removed it.
    def test_the_history_of_a_registered_instance_is_kept(self):
        workloads = WorkloadSection()
        first, second = make_life("i-0", 1), make_life("i-0", 2)
        workloads.apply(RegisterInstance(first), 1, 0.0)
        for number in range(1, MAX_INSTANCES + 1):
            other = make_life(f"i-{number}", 1)
            workloads.apply(RegisterInstance(other), 2 * number, 0.0)
            workloads.apply(RemoveInstance(other.life), 2 * number + 1, 0.0)
        assert list(workloads.instances) == [first.life]
        workloads.apply(RegisterInstance(second), 2 * MAX_INSTANCES + 2, 0.0)
        contacts = LifeContacts(workloads, max_lease=10.0)
        assert contacts.find_expiry(second.life, 50.0) > 60.0
        assert not workloads.may_have_left(second)


if __name__ == "__main__":
    unittest.main()
