"""Tests that docs/PROMISES.md matches the code and the scenarios."""

import importlib
import unittest

from tests._mutations import MUTATIONS
from tests._promise_checkers import CHECKERS
from tests._promise_table import PAGE, PROMISES, render_page
from tests._scenario_runner import FOLDER


class TestPromiseTable(unittest.TestCase):
    def test_page_is_up_to_date(self):
        found = PAGE.read_text(encoding="utf-8")
        assert found == render_page(), "run python -m tests._promise_table"

    def test_every_promise_has_a_row(self):
        assert [promise.checker for promise in PROMISES] == list(CHECKERS)

    def test_modules_and_scenarios_exist(self):
        for promise in PROMISES:
            for name in promise.modules:
                assert importlib.import_module(f"gypsumwalk.{name}")
            for name in promise.scenarios:
                assert (FOLDER / f"{name}.txt").exists(), name

    def test_mutations_run_scenarios_of_their_promise(self):
        scenarios_by_checker = {
            promise.checker: promise.scenarios for promise in PROMISES
        }
        for mutation in MUTATIONS:
            assert mutation.scenario in scenarios_by_checker[mutation.checker], (
                mutation.name
            )


if __name__ == "__main__":
    unittest.main()
