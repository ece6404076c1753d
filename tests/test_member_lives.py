"""Tests that membership keeps the lives of a daemon apart."""

import unittest
from random import Random

from gypsumwalk.effects import Raise, SendPeer, Stop
from gypsumwalk.inputs import PeerInput, ShutdownRequested
from gypsumwalk.member_table import MemberStatus, MemberUpdate
from gypsumwalk.membership import Exchange, MembershipPart, Probe, ProbeAnswer
from gypsumwalk.replication import OutdatedIncarnation
from gypsumwalk.settings import PeerSettings, Settings
from tests._agreement import Cluster

PROBE_SECONDS = 1.0
STEP_SECONDS = 0.1


def make_part(peers, incarnation):
    settings = Settings(
        name="a",
        data_centre="dc",
        caller_port=1,
        peer_port=2,
        peers=[
            PeerSettings(name=name, data_centre="dc", address="h", peer_port=2)
            for name in peers
        ],
        cluster_secret="0123456789abcdef",
    )
    return MembershipPart(settings=settings, random=Random(1), incarnation=incarnation)


def make_update(name, incarnation, status=MemberStatus.ALIVE):
    return MemberUpdate(name, "dc", "h", 2, incarnation, 0, status)


def hear(part, update, now):
    return part.handle(PeerInput("z", Exchange([update], reply=False)), now)


def run(part, begin, seconds):
    """Advance a part, and return what it emits."""
    effects = []
    for step in range(round(seconds / STEP_SECONDS)):
        effects += part.advance(begin + step * STEP_SECONDS)
    return effects


def find_probe(effects, target):
    return next(
        item.body
        for item in effects
        if isinstance(item, SendPeer)
        and item.recipient == target
        and isinstance(item.body, Probe)
    )


class TestProbes(unittest.TestCase):
    """Guards against probes of one life that are counted for another (issue 43)."""

    def begin(self, target, incarnation=2_000):
        part = make_part([target], incarnation)
        hear(part, make_update(target, 1_000), 1.0)
        return part, find_probe(part.advance(1.0), target)

    def test_a_probe_of_the_former_life_does_not_suspect_the_next_one(self):
        part, _ = self.begin("b")
        hear(part, make_update("b", 1_001), 1.0 + PROBE_SECONDS / 2)
        run(part, 1.0, PROBE_SECONDS)
        part.advance(1.0 + PROBE_SECONDS)
        assert part._table.get("b").status is MemberStatus.ALIVE

    def test_a_probe_without_an_answer_suspects_the_same_life(self):
        part, _ = self.begin("b")
        run(part, 1.0, PROBE_SECONDS)
        part.advance(1.0 + PROBE_SECONDS)
        assert part._table.get("b").status is MemberStatus.SUSPECT

    def test_an_answer_to_the_former_life_ends_no_probe_of_the_next_one(self):
        _, former = self.begin("b")
        part, _ = self.begin("c", incarnation=3_000)
        part.handle(PeerInput("b", ProbeAnswer(former.number, [])), 1.1)
        run(part, 1.1, PROBE_SECONDS)
        part.advance(1.1 + PROBE_SECONDS)
        assert part._table.get("c").status is MemberStatus.SUSPECT

    def test_an_answer_to_the_same_life_ends_its_probe(self):
        part, probe = self.begin("b")
        part.handle(PeerInput("b", ProbeAnswer(probe.number, [])), 1.1)
        run(part, 1.1, PROBE_SECONDS - STEP_SECONDS)
        assert part._table.get("b").status is MemberStatus.ALIVE


class TestOwnLives(unittest.TestCase):
    """Guards against a daemon that others count as its former life (issue 43).

    No window of sequence numbers may know that life any more, while lists of members
    still do: those that hear the daemon accept its messages and take it as ended.
    """

    def hear_of_own(self, incarnation, status=MemberStatus.DEAD):
        part = make_part(["b"], 2_000)
        effects = hear(part, make_update("a", incarnation, status), 1.0)
        return part, [item.input for item in effects if isinstance(item, Raise)]

    def test_it_starts_again_above_a_later_life_that_others_know(self):
        _, raised = self.hear_of_own(3_000)
        assert raised == [PeerInput("a", OutdatedIncarnation(3_000))]

    def test_it_contradicts_its_own_end(self):
        part, raised = self.hear_of_own(2_000)
        assert raised == []
        own = part._table.get("a")
        assert own.order > make_update("a", 2_000, MemberStatus.DEAD).order
        assert own.status is MemberStatus.ALIVE

    def test_it_ignores_the_end_of_a_former_life(self):
        part, raised = self.hear_of_own(1_000)
        assert raised == []
        assert part._table.get("a").refutation == 0

    def hear_in_cluster(self, *former_inputs):
        """Return the incarnation that a daemon hears of, and its stops."""
        cluster = Cluster(1, voters=3, followers=1)
        cluster.elect()
        daemon = cluster.daemons["f0"]
        for item in former_inputs:
            cluster.deliver(daemon, item)
        known = daemon.incarnation + 1_000
        body = Exchange([make_update("f0", known)], reply=False)
        cluster.deliver(daemon, PeerInput("v0", body))
        assert daemon.stopped
        return known, [
            item.effect for item in cluster.trace if isinstance(item.effect, Stop)
        ]

    def test_consensus_starts_it_again(self):
        known, stops = self.hear_in_cluster()
        assert stops == [Stop(exit_code=1, known_incarnation=known)]

    def test_it_does_not_start_again_once_it_is_to_end(self):
        _, stops = self.hear_in_cluster(ShutdownRequested(1e12))
        assert stops == [Stop(exit_code=1)]


if __name__ == "__main__":
    unittest.main()
