"""Tests of which lists of machines count as the state of the fleet, and from when."""

import unittest
from types import SimpleNamespace
from unittest import mock

from gypsumwalk.effects import Propose
from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.instance_actions import MachineInfo, MachineList
from gypsumwalk.machine_directory import MachineDirectory


def make_directory(silent_since):
    """Return a directory of a leader with one instance, on machine ``m``."""
    registered = SimpleNamespace(machine="m")
    view = SimpleNamespace(registered=registered, silent_since=silent_since, runs={})
    dispatcher = mock.Mock(term=1)
    dispatcher.is_leading.return_value = True
    dispatcher.lease_table.instances = {"i@2": view}
    return MachineDirectory(mock.Mock(), dispatcher)


def request(directory, now):
    (call,) = directory.advance(now)
    return call


def answer(directory, call, state, now):
    report = MachineList([MachineInfo("m", "service-a", state)])
    outcome = PlatformOutcome(call.token, succeeded=True, report=report)
    return directory.handle(outcome, now)


def list_removals(effects):
    return [item for item in effects if isinstance(item, Propose)]


class TestLists(unittest.TestCase):
    # The list was made before the next instance started on the machine, but counted
    # from the request after it, so that an instance whose runs went on was removed.
    def test_a_list_counts_from_its_own_request(self):
        directory = make_directory(silent_since=10.9)
        first = request(directory, 10.0)
        request(directory, 11.0)
        assert not list_removals(answer(directory, first, "down", 11.5))
        assert directory.read_at == 10.0

    def test_a_list_that_a_later_one_has_overtaken_is_ignored(self):
        directory = make_directory(silent_since=9.0)
        first, second = request(directory, 10.0), request(directory, 11.0)
        assert not list_removals(answer(directory, second, "up", 11.2))
        assert not list_removals(answer(directory, first, "down", 11.5))
        assert directory.machines["m"].state == "up"

    def test_a_silent_instance_on_a_machine_that_is_down_is_removed(self):
        directory = make_directory(silent_since=9.0)
        call = request(directory, 10.0)
        assert len(list_removals(answer(directory, call, "down", 10.2))) == 1


class TestSettledMachines(unittest.TestCase):
    """A job may be refused as impossible only if all machines are known for a while."""

    def setUp(self):
        self.directory = make_directory(silent_since=0.0)

    def poll(self, now, machines=("m",), *, is_complete=True, **fields):
        call = request(self.directory, now)
        listed = [MachineInfo(name, "service-a", "up", **fields) for name in machines]
        report = MachineList(listed, is_complete)
        outcome = PlatformOutcome(call.token, succeeded=True, report=report)
        self.directory.handle(outcome, now)

    def is_settled(self, now):
        return self.directory.is_settled(3.0, now)

    def test_the_same_machines_for_a_while(self):
        for now in (10.0, 11.0, 12.0):
            self.poll(now)
            assert not self.is_settled(now)
        self.poll(13.0)
        assert self.is_settled(13.0)

    def test_each_change_begins_anew(self):
        for change in ({"machines": ("m", "n")}, {"labels": ["x"]}):
            self.setUp()
            self.poll(10.0)
            self.poll(13.0, **change)
            assert not self.is_settled(13.0), change
            self.poll(16.0, **change)
            assert self.is_settled(16.0), change

    def test_a_list_that_lacks_entries_leaves_a_doubt(self):
        self.poll(10.0)
        self.poll(13.0, is_complete=False)
        assert not self.is_settled(13.0)
        self.poll(14.0)
        assert not self.is_settled(14.0)

    def test_a_list_that_is_not_read_any_more_leaves_a_doubt(self):
        self.poll(10.0)
        self.poll(14.0)
        assert self.is_settled(15.0)
        assert not self.is_settled(20.0)

    def test_a_new_term_knows_no_machines(self):
        self.poll(10.0)
        self.poll(14.0)
        self.directory._dispatcher.term = 2
        assert not self.is_settled(14.0)
        self.poll(15.0)
        assert not self.is_settled(15.0)


if __name__ == "__main__":
    unittest.main()
