"""Tests of a daemon that is told other seeds while it runs."""

import unittest
from random import Random

from gypsumwalk.consensus import Consensus
from gypsumwalk.effects import SendPeer
from gypsumwalk.recovery import Recovered
from gypsumwalk.replication import Follow
from gypsumwalk.settings import Settings
from gypsumwalk.state import ReplicatedState

START = 1_000.0
STEP_SECONDS = 0.25
STEPS = 40


def make_consensus():
    settings = Settings(
        name="v3",
        data_centre="dc",
        caller_port=1,
        peer_port=2,
        peers=[],
        cluster_secret="0123456789abcdef",
        data_folder="data",
    )
    return Consensus(
        settings=settings,
        state=ReplicatedState([]),
        recovered=Recovered(),
        random=Random(1),
        incarnation=1,
        first_start=False,
    )


def run(consensus, start):
    """Run the timers that are due for some seconds, and return the peers asked."""
    asked = set()
    for step in range(STEPS):
        now = start + step * STEP_SECONDS
        if consensus.wakeup > now:
            continue
        for effect in consensus.advance(now):
            if isinstance(effect, SendPeer) and isinstance(effect.body, Follow):
                asked.add(effect.recipient)
    return asked


class TestSeeds(unittest.TestCase):
    def test_seeds_that_come_later_are_asked(self):
        # Guards against a daemon that asks nobody for the log any more (issue 43).
        consensus = make_consensus()
        assert run(consensus, START) == set()
        consensus.replace_seeds(["v0", "v1"])
        assert run(consensus, START + STEPS * STEP_SECONDS) == {"v0", "v1"}

    def test_seeds_that_are_gone_are_not_asked(self):
        consensus = make_consensus()
        consensus.replace_seeds(["v0"])
        assert run(consensus, START) == {"v0"}
        consensus.replace_seeds([])
        run(consensus, START + STEPS * STEP_SECONDS)
        consensus.replace_seeds(["v1"])
        assert run(consensus, START + 2 * STEPS * STEP_SECONDS) == {"v1"}


if __name__ == "__main__":
    unittest.main()
