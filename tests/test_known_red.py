"""Tests that fail for faults listed in KNOWN-RED.txt."""

import unittest

from tests._request_checks import check_limits
from tests._request_faults import run_faults

LOSSY = {"drop": 0.02, "duplicate": 0.05}


class TestKnownRed(unittest.TestCase):
    @unittest.expectedFailure
    def test_limit_lowered_with_a_resend(self):
        run = run_faults(("resend", "limit lowered"), 51, **LOSSY)
        assert list(check_limits(run)) == []

    @unittest.expectedFailure
    def test_limit_lowered_with_a_late_answer(self):
        run = run_faults(("late answer", "limit lowered"), 55, **LOSSY)
        assert list(check_limits(run)) == []


if __name__ == "__main__":
    unittest.main()
