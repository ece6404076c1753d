"""Tests that the checker of each promise detects a deliberate fault."""

import unittest

from tests._mutations import MUTATIONS
from tests._promise_checkers import CHECKERS
from tests._scenario_runner import FOLDER, BrokenPromise
from tests.test_scenarios import run_scenario


class TestMutations(unittest.TestCase):
    def test_each_is_detected_by_the_checker_of_its_promise(self):
        for mutation in MUTATIONS:
            with self.subTest(mutation.name):
                path = FOLDER / f"{mutation.scenario}.txt"
                with mutation.make_patch(), self.assertRaises(BrokenPromise) as caught:
                    run_scenario(path)
                found = {
                    line.partition(":")[0]
                    for line in str(caught.exception).splitlines()
                }
                assert mutation.checker in found, caught.exception

    def test_every_promise_has_one(self):
        assert {mutation.checker for mutation in MUTATIONS} == set(CHECKERS)


if __name__ == "__main__":
    unittest.main()
