"""Seeded soak of daemon processes whose disks fail, with kills, signals and cuts.

Real processes take real time, so a seed fixes the faults and their order, not each
message; ``tests/_soak_case.py`` has the variables that choose the seeds.
"""

import unittest

from tests._disk_soak import Soak
from tests._soak_case import SoakCase


class TestDiskSoak(SoakCase):
    """Guards against a quorum that refused writes end for good (issue 43)."""

    make_soak = Soak

    def test_daemons_recover_from_faults_of_disks_and_processes(self):
        self.run_seeds()


if __name__ == "__main__":
    unittest.main()
