"""Tests of the catalogue of events, and of the code that records them."""

import ast
import unittest
from pathlib import Path
from string import Formatter

import gypsumwalk
from gypsumwalk.eventlines import SECRET_NAMES
from gypsumwalk.events import Event

SOURCES = Path(gypsumwalk.__file__).parent
NUMBER_RANGE = range(1000, 6000)


def list_fields(event):
    return {name for _, name, _, _ in Formatter().parse(event.template) if name}


def find_missing_values(text):
    """Return the events recorded without a value that their template needs.

    Only events with a literal dictionary of values are checked.
    """
    incomplete = []
    for node in ast.walk(ast.parse(text)):
        if not isinstance(node, ast.Call) or ast.unparse(node.func) != "Record":
            continue
        event = ast.unparse(node.args[0])
        if not event.startswith("Event."):
            continue
        values = node.args[2] if len(node.args) > 2 else ast.Dict([], [])
        if not isinstance(values, ast.Dict):
            continue
        given = {key.value for key in values.keys if isinstance(key, ast.Constant)}
        missing = list_fields(Event[event.removeprefix("Event.")]) - given
        if missing and None not in values.keys:
            incomplete.append((event, sorted(missing)))
    return incomplete


class TestEvents(unittest.TestCase):
    def test_numbers_are_unique_and_in_range(self):
        numbers = [event.number for event in Event]
        assert len(numbers) == len(set(numbers))
        assert all(number in NUMBER_RANGE for number in numbers)

    def test_no_event_template_contains_a_key(self):
        for event in Event:
            assert not list_fields(event) & SECRET_NAMES, event

    def test_every_event_is_recorded_with_the_values_of_its_message(self):
        for path in sorted(SOURCES.rglob("*.py")):
            assert not find_missing_values(path.read_text()), (
                path,
                find_missing_values(path.read_text()),
            )

    def test_the_check_of_values_finds_a_missing_value(self):
        incomplete = find_missing_values(
            "Record(Event.DAEMON_STARTED, '', {'versio': 1})"
        )
        assert incomplete == [("Event.DAEMON_STARTED", ["version"])]
        assert not find_missing_values(
            "Record(Event.DAEMON_STARTED, '', {'version': 1})"
        )

    def test_every_event_of_the_catalogue_is_used(self):
        text = "\n".join(path.read_text() for path in SOURCES.rglob("*.py"))
        unused = [event.name for event in Event if f"Event.{event.name}" not in text]
        assert not unused
