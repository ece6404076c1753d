"""Tests that loading a snapshot replaces the active configuration folder."""

import unittest

from gypsumwalk.errors import BadFolder
from gypsumwalk.generations import ApplyFolder, ConfigurationSection


def make_section(limit):
    section = ConfigurationSection()
    files = {"10-teams.toml": f"[teams.elul]\nlimit = {limit}"}
    section.apply(ApplyFolder(0, files), 1, 0.0)
    return section


class TestSnapshot(unittest.TestCase):
    def test_changed_file_of_the_same_name_is_parsed_again(self):
        section = make_section(4)
        newer = make_section(7)
        section.load(newer.dump())
        assert section.team("elul").limit == 7
        assert section.folder == newer.folder

    def test_snapshot_that_is_refused_changes_nothing(self):
        section = make_section(4)
        corrupted = make_section(7).dump().replace(b"limit = 7", b"limmt = 7")
        with self.assertRaises(BadFolder):
            section.load(corrupted)
        assert section.team("elul").limit == 4
        assert section.files == {"10-teams.toml": "[teams.elul]\nlimit = 4"}


if __name__ == "__main__":
    unittest.main()
