"""Tests of the replicated log in a simulated cluster."""

import unittest
from collections import Counter
from contextlib import ExitStack
from unittest import mock

import msgspec

from gypsumwalk.admission import Admission
from gypsumwalk.effects import SendPeer
from gypsumwalk.events import Event
from gypsumwalk.inputs import ProposalStatus, ShutdownRequested
from gypsumwalk.leadership import Leadership, find_next_tick
from gypsumwalk.replica import Replica
from gypsumwalk.replication import Introduced
from gypsumwalk.voters import AddVoterCall, ListVotersCall, RemoveVoterCall
from tests._agreement import Cluster
from tests._checkers import AcknowledgedKept


class TestConsensus(unittest.TestCase):
    def test_command_reaches_every_daemon_with_and_without_disk(self):
        cluster = Cluster(1, voters=5, followers=4)
        cluster.elect()
        cluster.run(3)
        expected = [f"a{number}" for number in range(20)]
        for text in expected:
            cluster.propose("f0", text)
        cluster.run(1)
        first, *others = cluster.get_lists().values()
        assert sorted(first) == sorted(expected)
        assert all(items == first for items in others)
        for text in expected:
            outcome = cluster.get_outcome("f0", text)
            assert outcome.status is ProposalStatus.COMMITTED

    def test_acknowledged_commands_survive_the_leader_and_all_restarts(self):
        cluster = Cluster(2)
        leader = cluster.elect()
        cluster.propose("v0", "first")
        cluster.run(1)
        cluster.kill(leader)
        other = cluster.elect()
        assert other != leader
        cluster.propose(other, "second")
        cluster.run(1)
        for name in cluster.voters:
            cluster.restart(name)
        cluster.elect()
        cluster.run(2)
        assert list(cluster.get_lists().values()) == [["first", "second"]] * 5

    def test_minority_commits_nothing_and_its_leader_steps_down(self):
        cluster = Cluster(3)
        leader = cluster.elect()
        cluster.partition([leader])
        cluster.propose(leader, "lost", timeout=2.0)
        cluster.run(4)
        assert cluster.get_outcome(leader, "lost").status is ProposalStatus.UNKNOWN
        assert cluster.find_leader() not in ("", leader)
        cluster.heal()
        cluster.run(3)
        assert len({tuple(items) for items in cluster.get_lists().values()}) == 1

    def test_voter_with_a_lost_disk_does_not_vote(self):
        cluster = Cluster(4, voters=3)
        cluster.elect()
        cluster.propose("v0", "kept")
        cluster.run(1)
        cluster.lose_disk("v1")
        cluster.restart("v1")
        cluster.run(3)
        assert cluster.list_events(Event.VOTER_REFUSED)
        cluster.kill("v0")
        cluster.run(8)
        assert cluster.find_leader() == ""

    def restart_without_the_disk_holding_a_commit(self):
        """Commit an entry on two of three voters, then lose both of them.

        One is killed and the other restarts with an empty disk, together with the
        third voter, which never received the entry.
        """
        cluster = Cluster(4, voters=3)
        kept = AcknowledgedKept(cluster)
        cluster.elect()
        cluster.run(2)
        cluster.kill("v2")
        leader = cluster.elect()
        cluster.propose(leader, "kept")
        cluster.run(1)
        kept.check()
        other = "v1" if leader == "v0" else "v0"
        cluster.kill(leader)
        cluster.lose_disk(other)
        cluster.restart(other)
        cluster.restart("v2")
        cluster.run(8)
        if cluster.find_leader():
            cluster.propose("v2", "after the loss")
            cluster.propose(other, "after the loss, too")
        cluster.run(2)
        kept.check()
        return cluster.find_leader()

    def test_lost_disk_loses_no_acknowledged_command(self):
        assert self.restart_without_the_disk_holding_a_commit() == ""

    def test_voting_with_a_lost_disk_would_lose_acknowledged_commands(self):
        accept = Introduced("", True, "")

        def answer(admission, source, body):
            own = admission._replica.identity
            return [SendPeer(source, replace(accept, body.identity, own))]

        def replace(answer, introduced, identity):
            return msgspec.structs.replace(
                answer, introduced=introduced, identity=identity
            )

        mutations = (
            mock.patch.object(Admission, "handle_introduce", answer),
            mock.patch.object(
                Admission, "can_vote", lambda self: bool(self._replica.identity)
            ),
            mock.patch.object(Leadership, "_has_registered_disk", lambda *_: True),
            mock.patch.object(Replica, "find_identity", lambda *_: "any"),
            mock.patch.object(Replica, "identity", "any"),
        )
        with ExitStack() as stack:
            for mutation in mutations:
                stack.enter_context(mutation)
            with self.assertRaisesRegex(AssertionError, "kept is lost"):
                self.restart_without_the_disk_holding_a_commit()

    def test_voter_with_a_new_disk_votes_after_it_was_removed_and_added(self):
        cluster = Cluster(6, voters=3, followers=1)
        cluster.elect()
        cluster.run(2)
        before = cluster.ask(ListVotersCall(), to="f0").body.voters
        cluster.lose_disk("v1")
        cluster.restart("v1")
        cluster.run(5)
        assert cluster.ask(RemoveVoterCall("v1"), to="f0").body.voters.keys() == {
            "v0",
            "v2",
        }
        after = cluster.ask(AddVoterCall("v1"), to="f0").body.voters
        assert after["v1"] not in ("", before["v1"])
        cluster.run(1)
        cluster.kill("v0")
        assert cluster.run_until(cluster.find_leader, within=8)
        cluster.propose("v1", "with the new disk")
        cluster.run(2)
        assert cluster.get_outcome("v1", "with the new disk")

    def test_voter_that_is_added_before_it_was_heard_again_has_its_new_disk(self):
        cluster = Cluster(6, voters=3, followers=1)
        leader = cluster.elect()
        cluster.run(2)
        lost = next(name for name in cluster.voters if name != leader)
        before = cluster.ask(ListVotersCall(), to="f0").body.voters
        cluster.lose_disk(lost)
        cluster.schedule(1.0, lambda: cluster.restart(lost))
        assert cluster.ask(RemoveVoterCall(lost), to="f0").status == 200
        added = cluster.ask(AddVoterCall(lost), to="f0")
        assert added.status == 200, added
        assert added.body.voters[lost] not in ("", before[lost])

    def test_voter_that_was_removed_and_keeps_its_disk_is_added_with_it(self):
        cluster = Cluster(6, voters=3, followers=1)
        leader = cluster.elect()
        cluster.run(2)
        removed = next(name for name in cluster.voters if name != leader)
        before = cluster.ask(ListVotersCall(), to="f0").body.voters
        assert cluster.ask(RemoveVoterCall(removed), to="f0").status == 200
        assert cluster.ask(AddVoterCall(removed), to="f0").body.voters == before

    def test_leader_that_is_removed_hands_over(self):
        cluster = Cluster(7, voters=4)
        leader = cluster.elect()
        cluster.run(2)
        other = next(name for name in cluster.voters if name != leader)
        answer = cluster.ask(RemoveVoterCall(leader), to=other)
        assert leader not in answer.body.voters
        cluster.run(8)
        assert cluster.find_leader() not in ("", leader)
        cluster.propose(leader, "as a follower")
        cluster.run(3)
        assert cluster.get_outcome(leader, "as a follower").index

    def test_leader_that_leaves_hands_over_at_once(self):
        cluster = Cluster(9)
        leader = cluster.elect()
        cluster.run(2)
        daemon = cluster.daemons[leader]
        cluster.deliver(daemon, ShutdownRequested(cluster.read_local_clock(leader) + 5))
        own = cluster.read_local_clock(leader)
        assert not daemon.node.consensus.holds_lease(own)
        assert daemon.node.consensus.find_freshness(own) > own - 0.5
        assert cluster.run_until(cluster.find_leader, within=0.1)
        assert cluster.find_leader() != leader

    def test_leader_that_leaves_under_load_hands_over_once_a_voter_has_all(self):
        cluster = Cluster(12)
        leader = cluster.elect()
        cluster.run(2)
        cluster.propose(leader, "on its way")
        cluster.run(0.001)
        daemon = cluster.daemons[leader]
        cluster.deliver(daemon, ShutdownRequested(cluster.read_local_clock(leader) + 5))
        assert cluster.find_leader() == leader
        assert cluster.run_until(
            lambda: cluster.find_leader() not in ("", leader), within=0.3
        )
        cluster.run(1)
        assert cluster.get_outcome(leader, "on its way").index

    def test_only_voter_that_leaves_goes_on_leading(self):
        cluster = Cluster(9, voters=1)
        leader = cluster.elect()
        daemon = cluster.daemons[leader]
        cluster.deliver(daemon, ShutdownRequested(cluster.read_local_clock(leader) + 5))
        assert cluster.find_leader() == leader

    def test_voter_that_was_removed_while_it_was_away_follows_again(self):
        cluster = Cluster(10)
        leader = cluster.elect()
        cluster.run(2)
        removed = next(name for name in cluster.voters if name != leader)
        cluster.kill(removed)
        cluster.ask(RemoveVoterCall(removed), to=leader)
        cluster.kill(leader)
        other = cluster.elect()
        cluster.restart(removed)
        cluster.propose(other, "after the removal")
        cluster.run(6)
        assert cluster.get_lists()[removed] == ["after the removal"]

    def test_snapshot_reaches_a_daemon_that_is_far_behind(self):
        sizes = {"SNAPSHOT_ENTRIES": 50, "KEPT_ENTRIES": 5}
        with mock.patch.multiple("gypsumwalk.replica", **sizes):
            cluster = Cluster(8, voters=3, followers=1)
            cluster.elect()
            cluster.run(2)
            cluster.kill("f0")
            leader = cluster.find_leader()
            texts = [f"{number:03}" + "x" * 2000 for number in range(200)]
            for text in texts:
                cluster.propose(leader, text)
            cluster.run(3)
            cluster.restart("f0")
            cluster.run(5)
            assert cluster.list_events(Event.SNAPSHOT_INSTALLED)
            assert sorted(cluster.get_lists()["f0"]) == texts
            for name in cluster.voters:
                replica = cluster.daemons[name].node.consensus.replica
                assert len(replica.log) <= 60
                cluster.restart(name)
            cluster.elect()
            cluster.run(2)
            for items in cluster.get_lists().values():
                assert sorted(items) == texts

    def test_leader_with_a_full_disk_steps_down_and_acknowledges_nothing(self):
        cluster = Cluster(5)
        leader = cluster.elect()
        cluster.fill_disk(leader)
        cluster.propose(leader, "full", timeout=3.0)
        cluster.run(6)
        assert cluster.find_leader() not in ("", leader)
        assert not cluster.daemons[leader].node.consensus.replica.identity


class TestLearners(unittest.TestCase):
    # Heartbeats of learners came every 0.9 s, whatever the election timeout was.
    def test_a_learner_of_a_quiet_leader_keeps_it(self):
        for election_seconds in (0.5, 1.0):
            with self.subTest(election_seconds=election_seconds):
                cluster = Cluster(
                    3, voters=3, followers=2, election_seconds=election_seconds
                )
                leader = cluster.elect()
                cluster.run(5)
                settled = len(cluster.list_events(Event.LEADER_CHANGED))
                for _ in range(100):
                    cluster.run(0.2)
                    for name in cluster.followers:
                        known = cluster.daemons[name].node.consensus.leader
                        assert known == leader, f"{name} knows {known!r} as leader"
                assert len(cluster.list_events(Event.LEADER_CHANGED)) == settled


class TestNews(unittest.TestCase):
    SECONDS = 2.0
    INTERVAL_SECONDS = 0.005

    def count_messages(self, cluster, leader):
        """Commit an entry at each interval; return the leader's messages by recipient.

        The messages are counted per entry.
        """
        first = len(cluster.trace)
        entries = int(self.SECONDS / self.INTERVAL_SECONDS)
        for number in range(entries):
            cluster.propose(leader, f"text {number}")
            cluster.run(self.INTERVAL_SECONDS)
        counts = Counter(
            entry.effect.recipient
            for entry in cluster.trace[first:]
            if isinstance(entry.effect, SendPeer) and entry.node == leader
        )
        return {name: count / entries for name, count in counts.items()}

    # Each daemon got each entry at once, and each commit index in a further message.
    def test_daemons_get_what_nothing_waits_for_with_the_next_entries(self):
        cluster = Cluster(4, voters=3, followers=2)
        leader = cluster.elect()
        cluster.run(2)
        counts = self.count_messages(cluster, leader)
        for name in cluster.followers:
            assert counts[name] < 0.5, f"{name} got {counts[name]} messages an entry"
        for name in cluster.voters:
            assert counts.get(name, 0) < 1.2, f"{name} got {counts[name]} an entry"
        cluster.run(1)
        first, *others = cluster.get_lists().values()
        assert len(first) == self.SECONDS / self.INTERVAL_SECONDS
        assert all(items == first for items in others)

    # A learner that is behind by the latest entries can't replace a lost voter.
    def test_learners_get_entries_at_once_while_a_voter_is_missing(self):
        cluster = Cluster(4, voters=3, followers=2)
        leader = cluster.elect()
        cluster.run(2)
        removed = next(name for name in cluster.voters if name != leader)
        assert cluster.ask(RemoveVoterCall(removed)).status == 200
        cluster.run(2)
        counts = self.count_messages(cluster, leader)
        for name in cluster.followers:
            assert counts[name] > 0.9, f"{name} got {counts[name]} messages an entry"

    def test_a_daemon_hears_at_once_of_the_commit_of_its_proposal(self):
        cluster = Cluster(4, voters=3, followers=2)
        leader = cluster.elect()
        cluster.run(2)
        for number in range(20):
            # A message is on its way to each daemon when the second one is committed.
            cluster.propose(leader, f"first {number}")
            cluster.run(0.002)
            text = f"second {number}"
            cluster.propose("f1", text)
            cluster.run(0.02)
            assert cluster.get_outcome("f1", text) is not None, text

    def test_the_last_news_arrive_without_further_entries(self):
        cluster = Cluster(4, voters=3, followers=2)
        leader = cluster.elect()
        cluster.run(2)
        for text in ("a", "b", "c"):
            cluster.propose(leader, text)
            cluster.run(0.003)
        cluster.run(0.06)
        assert all(items == ["a", "b", "c"] for items in cluster.get_lists().values())


class TestHeartbeatTicks(unittest.TestCase):
    def test_ticks_of_peers_coincide_and_are_later_than_now(self):
        assert {find_next_tick(now, 0.25) for now in (10.0, 10.1, 10.2)} == {10.25}
        now = 1_700_000_000.0
        for _ in range(1000):
            tick = find_next_tick(now, 0.3)
            assert now < tick <= now + 0.6
            now = tick


if __name__ == "__main__":
    unittest.main()
