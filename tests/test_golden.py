"""Tests that golden files detect differences and contain no identifiers."""

import tempfile
import unittest
from pathlib import Path

from gypsumwalk.effects import Record
from gypsumwalk.events import Event
from tests._golden import IDENTIFIER, check_golden, render_timeline
from tests._scenario_runner import FOLDER
from tests._world import TraceEntry


def make_trace(*subjects):
    return [
        TraceEntry(float(number), "a", Record(Event.KEY_WITHDRAWN, subject))
        for number, subject in enumerate(subjects)
    ]


class TestGolden(unittest.TestCase):
    def test_identifiers_become_numbers_in_order(self):
        trace = make_trace("0123456789abcdef", "fedcba9876543210", "0123456789abcdef")
        lines = render_timeline(trace).splitlines()
        assert [line.split()[1] for line in lines] == ["<1>", "<2>", "<1>"]

    def test_difference_is_shown_and_written_only_when_asked(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "x.txt"
            assert "missing" in check_golden(path, "one\n", update=False)
            assert not path.exists()
            assert check_golden(path, "one\n", update=True) == ""
            assert check_golden(path, "one\n", update=False) == ""
            assert "+two" in check_golden(path, "two\n", update=False)
            assert path.read_text(encoding="utf-8") == "one\n"

    def test_files_are_small_and_hold_no_identifiers(self):
        paths = sorted((FOLDER / "golden").glob("*.txt"))
        assert paths
        for path in paths:
            text = path.read_text(encoding="utf-8")
            assert len(text.splitlines()) <= 60, path.name
            assert not IDENTIFIER.search(text), path.name


if __name__ == "__main__":
    unittest.main()
