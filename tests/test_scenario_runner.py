"""Tests of the scenario runner: error messages, generated page and results."""

import unittest

from tests._scenario_language import ScenarioError
from tests._scenario_page import PAGE, render_page
from tests._scenario_runner import FOLDER
from tests.test_scenarios import SCENARIOS, run_text

MIN_SCENARIOS = 40


class TestRunner(unittest.TestCase):
    def test_errors_name_file_and_line(self):
        wrong = {
            "send r seats": "x.txt:1: the first command must be world",
            "world moon": "x.txt:1: unknown world 'moon'",
            "world three\nfly": "x.txt:2: unknown verb 'fly'",
            "world three\nkill d": "x.txt:2: unknown daemon 'd'",
            "world three\npart a b": r"x.txt:2: part requires two groups separated by "
            r"\| or ->",
            "world three\npart a | q": "x.txt:2: unknown endpoint 'q'",
            "world three\nat 1ms": "x.txt:2: the time is already .*s",
            "world three\nresend r": "x.txt:2: unknown request 'r'",
            "world three\nexpect r answered": "x.txt:2: unknown call 'r'",
            "world three\ntarget t1 flies": "x.txt:2: unknown target action 'flies'",
            "world three\nlose disk": "x.txt:2: lose takes at least 2 words",
            "world three\nexpect event NOTHING": "x.txt:2: unknown event",
        }
        for text, message in wrong.items():
            with self.subTest(text), self.assertRaisesRegex(ScenarioError, message):
                run_text(text, "x.txt")

    def test_expectation_that_fails_says_what_was_found(self):
        text = "world three\nsend r seats key=nobody\nexpect r answered within 2s"
        message = "x.txt:3: .*: r is refused unauthenticated 'not run'"
        with self.assertRaisesRegex(ScenarioError, message):
            run_text(text, "x.txt")

    def test_expectations_can_fail(self):
        for line in (
            "expect runs r 7",
            "expect leader d within 1s",
            "expect generation 9 a within 1s",
            "expect event KEY_WITHDRAWN",
            "expect stopped a",
            "expect r refused",
            "expect r lost",
            "expect r waiting",
        ):
            text = f"world three\nsend r seats key=elul\nwait 1s\n{line}"
            with self.subTest(line), self.assertRaises(ScenarioError):
                run_text(text, "x.txt")

    def test_same_seed_gives_the_same_run(self):
        text = (FOLDER / "lossy-network.txt").read_text(encoding="utf-8")
        traces = [run_text(text, "x.txt").world.trace for _ in range(2)]
        assert traces[0] == traces[1]

    def test_page_is_up_to_date(self):
        found = PAGE.read_text(encoding="utf-8")
        assert found == render_page(), "run python -m tests._scenario_page"

    def test_number_of_scenarios_reaches_the_minimum(self):
        assert len(SCENARIOS) >= MIN_SCENARIOS


if __name__ == "__main__":
    unittest.main()
