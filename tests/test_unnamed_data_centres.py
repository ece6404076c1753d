"""Tests that only a named data centre can be evacuated."""

import unittest

import msgspec

from gypsumwalk.fleet_calls import FinishEvacuationCall, StartEvacuationCall
from tests._fleet_work import FleetWorld


class UnnamedWorld(FleetWorld):
    """Cluster whose instances don't state their data centre."""

    def start_instance(self, number, **fields):
        instance = super().start_instance(number, **fields)
        instance.registered = msgspec.structs.replace(
            instance.registered, data_centre=""
        )
        return instance


class TestUnnamed(unittest.TestCase):
    # Guards against an order without a name that stops all work on the instances and
    # machines whose data centre is not known.
    def test_an_order_without_a_name_is_refused(self):
        world = UnnamedWorld(0, instances=2)
        world.begin()
        for call in (StartEvacuationCall(""), FinishEvacuationCall("")):
            answer = world.ask(call)
            assert answer.status == 404, answer
        assert world.get_leader().evacuations.data_centres == set()


if __name__ == "__main__":
    unittest.main()
