"""Tests of expected lengths: the better of the estimate and the mean of the queue."""

import unittest
from random import Random

from gypsumwalk.task_durations import DurationTable

TASKS = 100


def learn(table, spread):
    """Take in lengths whose estimates are off by a spread; return the last of both."""
    random = Random(1)
    for _ in range(TASKS):
        length = random.uniform(0.2, 1.4)
        table.record_duration("q", length * random.lognormvariate(0, spread), length)


class TestDurationTable(unittest.TestCase):
    def test_an_unknown_queue_has_its_estimate(self):
        table = DurationTable()
        assert table.predict("q", 0.7) == 0.7
        assert table.find_mean("q") is None
        assert table.find_error("q") == 0.0

    def test_good_estimates_are_followed(self):
        table = DurationTable()
        learn(table, 0.1)
        assert 0.25 < table.predict("q", 0.3) < 0.35
        assert 1.1 < table.predict("q", 1.3) < 1.5

    def test_bad_estimates_give_way_to_the_mean(self):
        table = DurationTable()
        learn(table, 2.0)
        assert (
            table.predict("q", 0.3) == table.predict("q", 1.3) == table.find_mean("q")
        )

    def test_estimates_that_are_off_by_one_factor_are_corrected(self):
        table = DurationTable()
        for number in range(TASKS):
            estimate = 0.2 + 0.01 * number
            table.record_duration("q", estimate, 3 * estimate)
        assert abs(table.predict("q", 0.5) - 1.5) < 0.01
        assert table.find_error("q") < 0.01

    def test_the_error_grows_with_the_spread(self):
        good, bad = DurationTable(), DurationTable()
        learn(good, 0.1)
        learn(bad, 2.0)
        assert good.find_error("q") < bad.find_error("q")


if __name__ == "__main__":
    unittest.main()
