"""Tests of the pace of a wave beside queues that have their turns."""

import unittest

from gypsumwalk.maintenance_controller import find_concurrency
from gypsumwalk.upkeep import UpkeepWave

WAVE = UpkeepWave(1, [], started=0.0, duration=24.0, max_down=6)


class TestPace(unittest.TestCase):
    """Pattern: a wave begins while a queue has its turn and needs every machine."""

    def test_machines_in_use_are_left_alone_at_first(self):
        assert find_concurrency(14, WAVE, 3.0, 2.0, has_standby=True) == 0

    def test_later_it_takes_what_it_needs_to_end_in_time(self):
        # Two rounds of 4.5 s are left before the reserve of 4 s.
        assert find_concurrency(6, WAVE, 11.0, 2.0, has_standby=True) == 3
        assert find_concurrency(2, WAVE, 11.0, 2.0, has_standby=True) == 1

    def test_it_never_takes_more_than_its_bound(self):
        assert find_concurrency(40, WAVE, 23.0, 2.0, has_standby=True) == 6

    def test_where_nothing_rests_it_begins_at_once(self):
        assert find_concurrency(14, WAVE, 0.0, 2.0, has_standby=False) == 4


if __name__ == "__main__":
    unittest.main()
