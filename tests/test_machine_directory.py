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
    dispatcher.list_departing.return_value = []
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


class TestDepartedInstances(unittest.TestCase):
    """Only a list that was requested after a deregistration can show the end."""

    def setUp(self):
        self.directory = make_directory(silent_since=0.0)
        registered = SimpleNamespace(machine="m", instance="i", life="i@2")
        self.view = SimpleNamespace(
            registered=registered, deregistered_at=10.5, runs={"run": 1}
        )
        self.directory._dispatcher.list_departing.return_value = [self.view]

    def poll(self, now, instance="i", *, is_complete=True):
        """Read a list with machine ``m``, or without it if ``instance`` is None."""
        call = request(self.directory, now)
        listed = []
        if instance is not None:
            listed = [MachineInfo("m", "service-a", "up", instance=instance)]
        report = MachineList(listed, is_complete)
        outcome = PlatformOutcome(call.token, succeeded=True, report=report)
        return list_removals(self.directory.handle(outcome, now + 0.1))

    def test_it_is_removed_once_its_machine_no_longer_runs_it(self):
        for instance in (None, "another"):
            with self.subTest(instance=instance):
                self.setUp()
                assert not self.poll(10.0)
                assert not self.poll(11.0)
                assert len(self.poll(12.0, instance)) == 1

    # Guards against TWICE: an entry that can't be read shows no end.
    def test_a_list_that_lacks_entries_shows_no_end(self):
        self.poll(10.0)
        assert not self.poll(11.0, None, is_complete=False)
        assert not self.poll(12.0, "")
        assert len(self.poll(13.0, None)) == 1

    def test_a_list_that_was_requested_before_shows_no_end(self):
        self.poll(9.0)
        assert not self.poll(10.4, None)

    def test_a_list_shows_no_end_of_what_none_has_named(self):
        for instance in (None, "another"):
            with self.subTest(instance=instance):
                self.setUp()
                assert not self.poll(11.0, instance)
                assert not self.poll(12.0, None)

    def test_a_new_term_has_named_none(self):
        self.poll(10.0)
        self.directory._dispatcher.term = 2
        assert not self.poll(11.0, None)

    def test_lists_are_requested_sooner_while_runs_are_awaited(self):
        self.poll(10.0)
        assert request(self.directory, 10.3)
        self.view.runs = {}
        assert not self.directory.advance(10.9)


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
