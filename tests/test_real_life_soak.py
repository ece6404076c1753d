"""Seeded soak of instances that begin again under their old identifiers, and are cut.

``GYPSUMWALK_SOAK_SEEDS`` sets the number of seeds; a seed runs alone with
``GYPSUMWALK_SEED``. With ``GYPSUMWALK_SOAK_FOLDER`` each seed keeps its steps, logs and
data in a folder there. Real processes take real time, so a seed fixes the troubles and
their order, not each message.
"""

import os
import tempfile
import unittest
from pathlib import Path

from tests._life_soak import Soak
from tests.test_real_disk_soak import list_seeds


class TestLifeSoak(unittest.TestCase):
    """Guards against tasks that run twice, as another life answered a start."""

    def test_no_task_runs_twice_where_instances_begin_again_and_are_cut(self):
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
            folder = Path(kept) / f"life-seed-{seed}"
            folder.mkdir(parents=True)
            return folder
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return Path(folder.name)


if __name__ == "__main__":
    unittest.main()
