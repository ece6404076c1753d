"""Tests of the choice of a daemon's incarnation number."""

import tempfile
import unittest
from random import Random

from gypsumwalk.drivers.disk import FolderDisk
from gypsumwalk.incarnations import choose_incarnation, encode_incarnation
from gypsumwalk.recovery import Recovered


class TestIncarnations(unittest.TestCase):
    def test_incarnation_rises_although_the_clock_was_set_back(self):
        with tempfile.TemporaryDirectory() as folder:
            disk = FolderDisk(folder)
            first = choose_incarnation(1000.5, disk.recover(), Random(1))
            disk.write([encode_incarnation(first)])
            recovered = FolderDisk(folder).recover()
            second = choose_incarnation(900.0, recovered, Random(1))
        assert (first >> 20, second >> 20) == (1_000_500, 1_000_501)

    def test_incarnation_rises_after_one_of_an_earlier_version(self):
        recovered = Recovered(files={"incarnation": b"1700000000000"})
        chosen = choose_incarnation(1_600_000_000.0, recovered, Random(1))
        assert chosen > 1_700_000_000_000

    def test_daemon_without_a_disk_takes_the_clock(self):
        assert choose_incarnation(2.0, Recovered(), Random(1)) >> 20 == 2000

    def test_incarnation_is_above_one_that_is_known(self):
        known = choose_incarnation(1000.0, Recovered(), Random(1))
        for seed in range(100):
            chosen = choose_incarnation(900.0, Recovered(), Random(seed), known)
            assert chosen > known

    # Guards against two processes with one incarnation, as the first one could not
    # store it (issue 43).
    def test_two_processes_differ_although_none_was_stored(self):
        recovered = Recovered(files={"incarnation": b"1000000"})
        chosen = {
            choose_incarnation(900.0, recovered, Random(seed)) for seed in range(100)
        }
        assert len(chosen) == 100

    def test_incarnations_fit_into_63_bits(self):
        assert choose_incarnation(4_102_444_800.0, Recovered(), Random(1)) < 1 << 63


if __name__ == "__main__":
    unittest.main()
