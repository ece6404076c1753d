"""Tests of task durations predicted from estimates and from the mean of a queue."""

import unittest
from random import Random

from gypsumwalk.task_durations import DurationTable

TASK_COUNT = 100


def record_tasks(table, spread):
    """Record durations with log-normal errors of the estimates."""
    random = Random(1)
    for _ in range(TASK_COUNT):
        duration = random.uniform(0.2, 1.4)
        table.record_duration(
            "q", duration * random.lognormvariate(0, spread), duration
        )


class TestDurationTable(unittest.TestCase):
    def test_the_estimate_is_used_for_an_unknown_queue(self):
        table = DurationTable()
        assert table.predict("q", 0.7) == 0.7
        assert table.find_mean("q") is None
        assert table.find_error("q") == 0.0

    def test_good_estimates_are_used(self):
        table = DurationTable()
        record_tasks(table, 0.1)
        assert 0.25 < table.predict("q", 0.3) < 0.35
        assert 1.1 < table.predict("q", 1.3) < 1.5

    def test_bad_estimates_are_replaced_by_the_mean(self):
        table = DurationTable()
        record_tasks(table, 2.0)
        assert (
            table.predict("q", 0.3) == table.predict("q", 1.3) == table.find_mean("q")
        )

    def test_estimates_that_are_off_by_a_constant_factor_are_corrected(self):
        table = DurationTable()
        for number in range(TASK_COUNT):
            estimate = 0.2 + 0.01 * number
            table.record_duration("q", estimate, 3 * estimate)
        assert abs(table.predict("q", 0.5) - 1.5) < 0.01
        assert table.find_error("q") < 0.01

    def test_the_error_grows_with_the_spread(self):
        good, bad = DurationTable(), DurationTable()
        record_tasks(good, 0.1)
        record_tasks(bad, 2.0)
        assert good.find_error("q") < bad.find_error("q")


if __name__ == "__main__":
    unittest.main()
