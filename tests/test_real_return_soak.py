"""Seeded soak of groups of instances that return, and leaders that end right after.

Real processes take real time, so a seed fixes the troubles and their order, not each
message; ``tests/_soak_case.py`` has the variables that choose the seeds.
"""

import unittest

from tests._return_soak import ReturnSoak
from tests._soak_case import SoakCase


class TestReturnSoak(SoakCase):
    """Guards against runs that outlive the lease that the leader counts with."""

    folder_prefix = "return-"
    seeds = (6,)
    make_soak = ReturnSoak

    def test_no_task_runs_twice_where_groups_return_and_leaders_end(self):
        self.run_seeds()


if __name__ == "__main__":
    unittest.main()
