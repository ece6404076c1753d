"""Tests of the choice of a daemon's incarnation number."""

import tempfile
import unittest

from gypsumwalk.drivers.disk import FolderDisk
from gypsumwalk.incarnations import choose_incarnation, encode_incarnation
from gypsumwalk.recovery import Recovered


class TestIncarnations(unittest.TestCase):
    def test_incarnation_rises_although_the_clock_was_set_back(self):
        with tempfile.TemporaryDirectory() as folder:
            disk = FolderDisk(folder)
            first = choose_incarnation(1000.5, disk.recover())
            disk.write([encode_incarnation(first)])
            second = choose_incarnation(900.0, FolderDisk(folder).recover())
        assert (first, second) == (1_000_500, 1_000_501)

    def test_daemon_without_a_disk_takes_the_clock(self):
        assert choose_incarnation(2.0, Recovered()) == 2000


if __name__ == "__main__":
    unittest.main()
