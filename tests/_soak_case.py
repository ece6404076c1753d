"""Test case that plays the seeds of a soak of real processes.

``GYPSUMWALK_SOAK_SEEDS`` sets the number of seeds; a seed runs alone with
``GYPSUMWALK_SEED``. With ``GYPSUMWALK_SOAK_FOLDER`` each seed keeps its steps, logs and
data in a folder there.
"""

import os
import tempfile
import unittest
from pathlib import Path


def list_seeds(defaults):
    if seed := os.environ.get("GYPSUMWALK_SEED"):
        return [int(seed)]
    count = os.environ.get("GYPSUMWALK_SOAK_SEEDS")
    return range(int(count)) if count else defaults


class SoakCase(unittest.TestCase):
    """Plays soaks, which ``make_soak`` makes of a seed and a folder.

    ``folder_prefix`` begins the names of the folders that are kept; ``seeds`` are those
    that are played unless others are chosen.
    """

    folder_prefix = ""
    seeds = (0, 1)

    def run_seeds(self):
        for seed in list_seeds(self.seeds):
            with self.subTest(seed=seed):
                self.run_seed(seed)

    def run_seed(self, seed):
        soak = self.make_soak(seed, self.make_folder(seed))
        try:
            soak.run()
        finally:
            soak.close()

    def make_folder(self, seed):
        if kept := os.environ.get("GYPSUMWALK_SOAK_FOLDER"):
            folder = Path(kept) / f"{self.folder_prefix}seed-{seed}"
            folder.mkdir(parents=True)
            return folder
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return Path(folder.name)
