"""Seeded soak of instances that begin again under their old identifiers, and are cut.

Real processes take real time, so a seed fixes the troubles and their order, not each
message; ``tests/_soak_case.py`` has the variables that choose the seeds.
"""

import unittest

from tests._life_soak import Soak
from tests._soak_case import SoakCase


class TestLifeSoak(SoakCase):
    """Guards against tasks that run twice, as another life answered a start."""

    folder_prefix = "life-"
    make_soak = Soak

    def test_no_task_runs_twice_where_instances_begin_again_and_are_cut(self):
        self.run_seeds()


if __name__ == "__main__":
    unittest.main()
