"""Tests of the concurrency of a wave during bursts of demand."""

import unittest

from gypsumwalk.maintenance_controller import find_concurrency
from gypsumwalk.upkeep import UpkeepWave

WAVE = UpkeepWave(1, [], started=0.0, duration=24.0, max_down=6)


class TestConcurrency(unittest.TestCase):
    """A wave begins while a queue has a burst and needs every machine."""

    def test_machines_in_use_are_not_drained_at_first(self):
        assert find_concurrency(14, WAVE, 3.0, 2.0, has_standby=True) == 0

    def test_later_it_drains_as_many_as_it_needs_to_end_in_time(self):
        # Two rounds of 4.5 s are left before the reserve of 4 s.
        assert find_concurrency(6, WAVE, 11.0, 2.0, has_standby=True) == 3
        assert find_concurrency(2, WAVE, 11.0, 2.0, has_standby=True) == 1

    def test_it_never_drains_more_than_max_down(self):
        assert find_concurrency(40, WAVE, 23.0, 2.0, has_standby=True) == 6

    def test_without_a_standby_pool_it_begins_at_once(self):
        assert find_concurrency(14, WAVE, 0.0, 2.0, has_standby=False) == 4


if __name__ == "__main__":
    unittest.main()
