"""Tests of the scenario runner: its errors, its page and its verdicts."""

import unittest

from tests._scenario_language import ScenarioError
from tests._scenario_page import PAGE, render_page
from tests._scenario_runner import FOLDER
from tests.test_scenarios import SCENARIOS, run_text

FEWEST_SCENARIOS = 40


class TestRunner(unittest.TestCase):
    def test_errors_name_file_and_line(self):
        wrong = {
            "send r seats": "x.txt:1: a scenario begins with the verb world",
            "world moon": "x.txt:1: no world is called 'moon'",
            "world three\nfly": "x.txt:2: no verb is called 'fly'",
            "world three\nkill d": "x.txt:2: no daemon is called 'd'",
            "world three\npart a b": "x.txt:2: part takes two groups with | or ->",
            "world three\npart a | q": "x.txt:2: nothing is called 'q'",
            "world three\nat 1ms": "x.txt:2: .* have passed already",
            "world three\nresend r": "x.txt:2: no request is called 'r'",
            "world three\nexpect r answered": "x.txt:2: nothing is called 'r'",
            "world three\ntarget t1 flies": "x.txt:2: a target does not know 'flies'",
            "world three\nlose disk": "x.txt:2: lose takes 2 words or more",
            "world three\nexpect event NOTHING": "x.txt:2: no event is called",
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

    def test_there_are_enough_scenarios(self):
        assert len(SCENARIOS) >= FEWEST_SCENARIOS


if __name__ == "__main__":
    unittest.main()
