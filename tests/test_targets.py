"""Tests of announcements and of the ownership of targets."""

import unittest

from gypsumwalk.announcements import LeaveTarget
from gypsumwalk.claims import TargetClaims
from gypsumwalk.effects import SendPeer
from gypsumwalk.inputs import ShutdownRequested
from tests._request_fakes import Cluster

PAIR = {"hanbit-1": "seoul", "hanbit-2": "seoul"}
THREE = {**PAIR, "hanbit-3": "busan"}
FOUR = {**PAIR, "hanbit-3": "busan", "hanbit-4": "busan"}


class TestOwnership(unittest.TestCase):
    def test_each_target_gets_one_confirmed_owner_of_its_own_data_centre(self):
        cluster = Cluster(FOUR)
        names = [f"runner-{number}" for number in range(8)]
        for name in names:
            cluster.add_target(name, "seoul")
        assert cluster.wait_owned(*names, within=3.0)
        owners = {cluster.list_owners(name)[0] for name in names}
        assert owners == {"hanbit-1", "hanbit-2"}

    def test_owner_stays_the_same_whichever_daemon_gets_the_announcement(self):
        cluster = Cluster(PAIR)
        cluster.add_target("runner-1", "seoul")
        assert cluster.wait_owned("runner-1")
        owner = cluster.list_owners("runner-1")
        for _ in range(20):
            cluster.world.run(0.5)
            assert cluster.list_owners("runner-1") == owner

    def test_target_of_a_dead_daemon_is_taken_over_only_after_the_fence(self):
        cluster = Cluster(PAIR)
        cluster.add_target("runner-1", "seoul")
        assert cluster.wait_owned("runner-1")
        (owner,) = cluster.list_owners("runner-1")
        died_at = cluster.world.now
        cluster.kill(owner)
        assert cluster.world.run_until(
            lambda: cluster.list_owners("runner-1"), within=12.0
        )
        assert cluster.world.now - died_at >= 4.0
        (other,) = set(PAIR) - {owner}
        assert cluster.list_owners("runner-1") == [other]

    def test_target_is_not_taken_over_without_a_quorum(self):
        cluster = Cluster(PAIR)
        cluster.without_quorum = True
        cluster.add_target("runner-1", "seoul")
        assert cluster.wait_owned("runner-1")
        cluster.kill(cluster.list_owners("runner-1")[0])
        cluster.world.run(20.0)
        assert cluster.list_owners("runner-1") == []

    def test_cut_off_owner_with_a_stale_view_stops_before_the_takeover(self):
        cluster = Cluster(THREE)
        cluster.add_target("runner-1", "seoul")
        assert cluster.wait_owned("runner-1")
        (owner,) = cluster.list_owners("runner-1")
        (other,) = set(PAIR) - {owner}
        cluster.world.partition([owner])
        cluster.world.run(3.0)
        cluster.keys[owner].stale = True
        assert cluster.parts[owner][0].choose("rebuild", cluster.world.now) is None
        assert cluster.world.run_until(
            lambda: "runner-1" in cluster.parts[other][0].table.targets, within=10.0
        )
        cluster.world.run(2.0)
        assert cluster.parts[other][0].choose("rebuild", cluster.world.now)

    def test_fenced_owner_releases_its_targets_when_it_reconnects(self):
        cluster = Cluster(THREE)
        cluster.add_target("runner-1", "seoul")
        assert cluster.wait_owned("runner-1")
        (owner,) = cluster.list_owners("runner-1")
        (other,) = set(PAIR) - {owner}
        cluster.world.partition([owner])
        cluster.keys[owner].stale = True
        cluster.world.run(9.0)
        cluster.world.heal()
        cluster.keys[owner].stale = False
        cluster.world.run(2.0)
        assert cluster.list_owners("runner-1") == [other]

    def test_leave_sent_to_any_daemon_reaches_the_owner_within_two_seconds(self):
        cluster = Cluster(PAIR)
        cluster.add_target("runner-1", "seoul")
        assert cluster.wait_owned("runner-1")
        (owner,) = cluster.list_owners("runner-1")
        (other,) = set(PAIR) - {owner}
        cluster.world.targets.by_name["runner-1"].leaving = True
        cluster.world.call(LeaveTarget("runner-1", 1), to=other)
        cluster.world.run(0.1)
        assert cluster.parts[owner][0].choose("rebuild", cluster.world.now) is None

    def test_target_that_comes_back_gets_work_again(self):
        cluster = Cluster(PAIR)
        target = cluster.add_target("runner-1", "seoul")
        assert cluster.wait_owned("runner-1")
        (owner,) = cluster.list_owners("runner-1")
        target.leaving = True
        cluster.world.run(2.0)
        assert cluster.parts[owner][0].choose("rebuild", cluster.world.now) is None
        target.leaving = False
        cluster.world.run(5.0)
        assert cluster.parts[owner][0].choose("rebuild", cluster.world.now)

    def test_silent_target_gets_no_work_and_is_removed(self):
        cluster = Cluster(PAIR)
        target = cluster.add_target("runner-1", "seoul")
        assert cluster.wait_owned("runner-1")
        (owner,) = cluster.list_owners("runner-1")
        target.alive = False
        cluster.world.run(2.0)
        assert cluster.parts[owner][0].choose("rebuild", cluster.world.now) is None
        cluster.world.run(10.0)
        assert cluster.list_owners("runner-1") == []

    def test_leaving_daemon_transfers_its_targets_to_the_other(self):
        cluster = Cluster(PAIR)
        cluster.add_target("runner-1", "seoul")
        assert cluster.wait_owned("runner-1")
        (owner,) = cluster.list_owners("runner-1")
        (other,) = set(PAIR) - {owner}
        cluster.leaving.add(owner)
        daemon = cluster.world.daemons[owner]
        cluster.world.deliver(daemon, ShutdownRequested(cluster.world.now + 10.0))
        assert cluster.world.run_until(
            lambda: cluster.list_owners("runner-1") == [other], within=1.0
        )
        assert cluster.world.run_until(lambda: daemon.stopped, within=3.0)
        assert daemon.exit_code == 0


class TestClaimTraffic(unittest.TestCase):
    def count_claims(self, cluster, sender, recipient, seconds):
        start = len(cluster.world.trace)
        cluster.world.run(seconds)
        return sum(
            isinstance(entry.effect, SendPeer)
            and isinstance(entry.effect.body, TargetClaims)
            and (entry.node, entry.effect.recipient) == (sender, recipient)
            for entry in cluster.world.trace[start:]
        )

    def test_other_data_centres_get_fewer_claims_and_only_from_owners(self):
        cluster = Cluster(FOUR)
        cluster.add_target("runner-1", "seoul")
        assert cluster.wait_owned("runner-1", within=3.0)
        (owner,) = cluster.list_owners("runner-1")
        (peer,) = set(PAIR) - {owner}
        assert self.count_claims(cluster, owner, peer, 20.0) >= 38
        assert 9 <= self.count_claims(cluster, owner, "hanbit-3", 20.0) <= 11
        assert self.count_claims(cluster, peer, "hanbit-3", 20.0) == 0


if __name__ == "__main__":
    unittest.main()
