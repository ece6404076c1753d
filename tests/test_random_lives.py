"""Tests of random days on which the leader must count every run that works.

``GYPSUMWALK_SCHEDULES`` sets the number of seeds; a seed runs alone with
``GYPSUMWALK_SEED``.
"""

import os
import unittest

from tests._random_lives import RandomDay

SEEDS = int(os.environ.get("GYPSUMWALK_SCHEDULES", "8"))


class TestRandomLives(unittest.TestCase):
    def check(self, seeds):
        for seed in seeds:
            with self.subTest(seed=seed):
                day = RandomDay(seed)
                day.play()
                assert day.world.model.history
                assert day.uncounted == {}
                assert day.list_duplicate_runs() == []

    def test_the_leader_counts_every_run_and_no_task_runs_twice(self):
        seed = os.environ.get("GYPSUMWALK_SEED")
        self.check([int(seed)] if seed else range(SEEDS))

    # Guards against runs that outlive the lease that the leader counts with, as an
    # order for the former life of their instance extended it.
    def test_no_run_outlives_its_lease(self):
        self.check((204, 497, 560, 1060))

    # Guards against runs that count as ended, and ends that are acknowledged unseen,
    # where an entry of a list can't be read.
    def test_no_unread_entry_hides_a_run_or_an_end(self):
        self.check((10, 61, 201, 2677))


if __name__ == "__main__":
    unittest.main()
