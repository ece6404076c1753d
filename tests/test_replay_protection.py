"""Tests of the protection against replayed messages between daemons."""

import unittest

from gypsumwalk.replay_protection import MAX_SOURCES, ReplayWindow


class TestReplayWindow(unittest.TestCase):
    def test_each_message_is_admitted_once(self):
        window = ReplayWindow()
        admitted = [window.admit("v0", 1, number) for number in (0, 2, 1, 2, 0)]
        assert admitted == [True, True, True, False, False]

    def test_an_earlier_incarnation_is_refused(self):
        window = ReplayWindow()
        assert window.admit("v0", 2, 0)
        assert not window.admit("v0", 1, 1)
        assert window.admit("v0", 2, 1)

    def test_a_peer_is_heard_after_many_others_are_gone(self):
        # Guards against new daemons that nobody hears any more (issue 43).
        window = ReplayWindow()
        for number in range(MAX_SOURCES + 1):
            assert window.admit("v0", 1, number)
            assert window.admit(f"gone-{number}", 1, 0)
        assert not window.admit("v0", 1, 0)
        assert not window.admit(f"gone-{MAX_SOURCES}", 1, 0)


if __name__ == "__main__":
    unittest.main()
