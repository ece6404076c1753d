"""Tests that large entries are replicated once, and hold up nothing else."""

import unittest
from base64 import b85encode
from random import Random

from gypsumwalk.command_codec import encode_command
from gypsumwalk.events import Event
from gypsumwalk.inputs import ProposalStatus
from tests._agreement import Cluster, Put

ENTRY_BYTES = 600_000
"""Size of a declaration of 1,400 queues, with its source."""

LINK_BYTES_PER_SECOND = 12_000_000
"""Half of a link of 200 Mbit/s, as callers and instances use it too."""

BASE64_RATIO = 4 / 3


def make_text(number):
    """Return a text that can't be compressed to less than ``ENTRY_BYTES``."""
    return b85encode(Random(number).randbytes(ENTRY_BYTES)).decode()


def count_needed_bytes(cluster, *texts):
    """Return the bytes of texts sent once to each other daemon, encoded in base64."""
    size = sum(len(encode_command(Put(text))) for text in texts)
    return size * BASE64_RATIO * (len(cluster.voters) - 1)


class TestLargeEntries(unittest.TestCase):
    def begin(self):
        cluster = Cluster(3, voters=8)
        leader = cluster.elect()
        cluster.run(2)
        cluster.network.link_bytes_per_second = LINK_BYTES_PER_SECOND
        return cluster, leader

    # A heartbeat overtakes a large entry, and the leader takes the entry for lost.
    def test_a_large_entry_is_sent_once_to_each_daemon(self):
        cluster, leader = self.begin()
        text = make_text(0)
        before = cluster.network.sent_bytes[leader]
        cluster.propose(leader, text)
        cluster.run(5)
        assert cluster.get_outcome(leader, text).status is ProposalStatus.COMMITTED
        sent = cluster.network.sent_bytes[leader] - before
        once = count_needed_bytes(cluster, text)
        assert sent < 1.2 * once, f"sent {sent} bytes, {once:.0f} are needed"

    # Small entries overtake a large one, and are rejected for the gap between them.
    def test_entries_after_a_large_one_do_not_cause_it_to_be_sent_again(self):
        cluster, leader = self.begin()
        text = make_text(0)
        before = cluster.network.sent_bytes[leader]
        cluster.propose(leader, text)
        for number in range(20):
            cluster.run(0.05)
            cluster.propose(leader, f"small {number}")
        cluster.run(3)
        for number in range(20):
            outcome = cluster.get_outcome(leader, f"small {number}")
            assert outcome.status is ProposalStatus.COMMITTED
        sent = cluster.network.sent_bytes[leader] - before
        once = count_needed_bytes(cluster, text)
        assert sent < 1.3 * once, f"sent {sent} bytes, {once:.0f} are needed"

    # A burst of large declarations saturated the leader's link for seconds.
    def test_a_burst_of_large_entries_is_committed_as_fast_as_the_link_allows(self):
        cluster, leader = self.begin()
        texts = [make_text(number) for number in range(5)]
        for text in texts:
            cluster.propose(leader, text, timeout=10.0)
            cluster.run(0.3)
        once = count_needed_bytes(cluster, *texts)
        cluster.run(1.5 * once / LINK_BYTES_PER_SECOND)
        for text in texts:
            outcome = cluster.get_outcome(leader, text)
            assert outcome is not None, "a declaration is not committed yet"
            assert outcome.status is ProposalStatus.COMMITTED
        assert cluster.find_leader() == leader
        assert cluster.list_events(Event.LEADER_STEPPED_DOWN) == []


if __name__ == "__main__":
    unittest.main()
