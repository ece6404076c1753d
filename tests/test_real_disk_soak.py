"""Seeded soak of daemon processes whose disks fail, with kills, signals and cuts.

``GYPSUMWALK_SOAK_SEEDS`` sets the number of seeds; a seed runs alone with
``GYPSUMWALK_SEED``. With ``GYPSUMWALK_SOAK_FOLDER`` each seed keeps its steps, logs and
data in a folder there. Real processes take real time, so a seed fixes the faults and
their order, not each message.
"""

import os
import tempfile
import unittest
from pathlib import Path

from tests._disk_soak import Soak

SEEDS = int(os.environ.get("GYPSUMWALK_SOAK_SEEDS", "2"))


def list_seeds():
    seed = os.environ.get("GYPSUMWALK_SEED")
    return range(SEEDS) if seed is None else [int(seed)]


class TestDiskSoak(unittest.TestCase):
    """Guards against a quorum that refused writes end for good (issue 43)."""

    def test_daemons_recover_from_faults_of_disks_and_processes(self):
        for seed in list_seeds():
            with self.subTest(seed=seed):
                self.run_seed(seed)

    def run_seed(self, seed):
        soak = Soak(seed, self.make_folder(seed))
        try:
            soak.run()
        finally:
            soak.close()

    def make_folder(self, seed):
        if kept := os.environ.get("GYPSUMWALK_SOAK_FOLDER"):
            folder = Path(kept) / f"seed-{seed}"
            folder.mkdir(parents=True)
            return folder
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return Path(folder.name)


if __name__ == "__main__":
    unittest.main()
