"""Tests of the state charts: reachable states and the outcome of every event."""

import errno
import subprocess
import sys
import unittest
from unittest import mock

from gypsumwalk import statecharts
from gypsumwalk.effects import WriteFile
from gypsumwalk.errors import BadChart
from gypsumwalk.instances import InstanceEvent, InstanceState
from gypsumwalk.job_records import JobEvent, JobState
from gypsumwalk.statecharts import Chart, ChartFile, ChartTransition, load_chart
from gypsumwalk.storage import DiskEvent, DiskState, Storage
from gypsumwalk.wave_records import WaveState
from tests._catalogues import list_charts

ENUMS = {
    "disk": (DiskState, DiskEvent),
    "instance": (InstanceState, InstanceEvent),
    "job": (JobState, JobEvent),
    "wave": (WaveState, None),
}

NO_DESCRIPTORS = OSError(errno.EMFILE, "Too many open files")
COUNT_LOADED = """\
import gypsumwalk.assembly, gypsumwalk.fleet_assembly
from gypsumwalk.statecharts import load_chart
print(load_chart.cache_info().currsize)
"""
TIMEOUT_SECONDS = 60


def find_unreachable(file):
    reached, pending = set(), [file.initial]
    while pending:
        state = pending.pop()
        reached.add(state)
        targets = {i.target for i in file.transitions if state in i.sources}
        pending += sorted(targets - reached)
    return set(file.states) - reached


class TestCharts(unittest.TestCase):
    def test_every_state_is_reachable(self):
        assert list_charts()
        for name in list_charts():
            assert not find_unreachable(load_chart(name).file), name

    def test_unreachable_state_is_detected(self):
        step = ChartTransition("go", ["a"], "b")
        file = ChartFile("x", "a", ["a", "b", "c"], [step])
        assert find_unreachable(file) == {"c"}

    def test_every_event_is_handled_or_refused_in_every_state(self):
        for name in list_charts():
            chart = load_chart(name)
            table = {
                (source, item.event): item.target
                for item in chart.file.transitions
                for source in item.sources
            }
            events = {item.event for item in chart.file.transitions}
            for state in chart.file.states:
                for event in events:
                    expected = table.get((state, event))
                    assert chart.follow(state, event) == expected, (name, state, event)

    def test_no_state_has_two_transitions_for_one_event(self):
        for name in list_charts():
            file = load_chart(name).file
            pairs = [(s, i.event) for i in file.transitions for s in i.sources]
            assert len(pairs) == len(set(pairs)), name

    def test_charts_and_code_name_the_same_states_and_events(self):
        assert set(ENUMS) == set(list_charts())
        for name, (states, events) in ENUMS.items():
            file = load_chart(name).file
            assert {state.value for state in states} == set(file.states), name
            if events is not None:
                used = {item.event for item in file.transitions}
                assert {event.value for event in events} == used, name

    def test_unknown_states_and_events_are_refused_by_type(self):
        step = ChartTransition("go", ["a"], "missing")
        with self.assertRaises(BadChart):
            Chart(ChartFile("x", "a", ["a"], [step]))
        for state, event in (("nothing", "pause"), ("running", "nothing")):
            with self.assertRaises(BadChart):
                load_chart("wave").follow(state, event)


class TestLoading(unittest.TestCase):
    """Guards against a daemon that ends as it can't open a chart (issue 43)."""

    def test_a_failed_write_opens_no_file(self):
        load_chart.cache_clear()
        storage = Storage(enabled=True, durable=0)
        storage.stage(WriteFile("vote", b"x"))
        (write,) = storage.flush(0.0)
        with mock.patch.object(
            statecharts.resources, "files", side_effect=NO_DESCRIPTORS
        ):
            storage.complete(write.token, False, 0.0)
        assert not storage.enabled

    def test_every_chart_is_loaded_with_the_module_that_uses_it(self):
        command = [sys.executable, "-c", COUNT_LOADED]
        result = subprocess.run(
            command, capture_output=True, text=True, timeout=TIMEOUT_SECONDS, check=True
        )
        assert int(result.stdout) == len(list_charts())
