"""Tests of the time without a leader after a power loss of all daemons."""

import unittest

from gypsumwalk.events import Event
from gypsumwalk.fleet_assembly import MAX_REPLAYED_ENTRIES
from tests._agreement import Cluster

ENTRIES = 3000
APPLY_SECONDS = 0.0005
"""Processor time to apply one entry; all of them take three election timeouts."""

ELECTION_SECONDS = 0.5


class SlowApplication:
    """Makes each daemon busy for as long as the entries of its last turn take.

    ``max_busy`` is the longest turn in seconds.
    """

    def __init__(self, cluster):
        self.max_busy = 0.0
        self._cluster = cluster
        self._applied = {}
        cluster.observers.append(self.observe)

    def observe(self, daemon):
        if not daemon.alive:
            return
        applied = daemon.node.state.applied
        count = applied - self._applied.get((daemon.name, daemon.epoch), 0)
        self._applied[daemon.name, daemon.epoch] = applied
        if not count:
            return
        busy = count * APPLY_SECONDS
        self.max_busy = max(self.max_busy, busy)
        self._cluster.pause(daemon.name)
        self._cluster.schedule(busy, lambda: self._cluster.resume(daemon.name))


class TestReplay(unittest.TestCase):
    def begin(self, seed):
        cluster = Cluster(
            seed,
            election_seconds=ELECTION_SECONDS,
            max_replayed_entries=MAX_REPLAYED_ENTRIES,
        )
        leader = cluster.elect()
        for number in range(ENTRIES):
            cluster.propose(leader, f"text {number}")
            if number % 100 == 0:
                cluster.run(0.2)
        cluster.run(1)
        for name in cluster.voters:
            cluster.kill(name)
        cluster.run(1)
        return cluster

    # The first leader applied its whole log in one turn and sent no heartbeat, so that
    # another was elected, which did the same.
    def test_the_first_leader_after_a_power_loss_goes_on_leading(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                cluster = self.begin(seed)
                slow = SlowApplication(cluster)
                before = len(cluster.list_events(Event.LEADER_ELECTED))
                for name in cluster.voters:
                    cluster.restart(name)
                # The leader serves once it has applied its log.
                leader = cluster.elect(3 * ELECTION_SECONDS + ENTRIES * APPLY_SECONDS)
                texts = cluster.get_lists()[leader]
                assert texts == [f"text {number}" for number in range(ENTRIES)]
                cluster.run(5)
                elections = cluster.list_events(Event.LEADER_ELECTED)[before:]
                assert [entry.node for entry in elections] == [leader]
                assert slow.max_busy < ELECTION_SECONDS / 2

    def test_a_leader_that_replays_its_log_holds_no_lease(self):
        cluster = self.begin(0)
        SlowApplication(cluster)
        for name in cluster.voters:
            cluster.restart(name)

        def find_replaying():
            for name, node in cluster.get_nodes().items():
                if node.consensus.leader == name and 0 < node.state.applied < ENTRIES:
                    return name
            return ""

        assert cluster.run_until(find_replaying, within=3 * ELECTION_SECONDS)
        consensus = cluster.daemons[find_replaying()].node.consensus
        own = cluster.read_local_clock(find_replaying())
        assert not consensus.holds_lease(own)
        assert consensus.lease_end < own

    # What is committed was known only after the first commit of a new leader.
    def test_daemons_replay_their_logs_while_they_wait_for_a_leader(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                cluster = self.begin(seed)
                for name in cluster.voters:
                    cluster.restart(name)
                cluster.run(ELECTION_SECONDS * 0.9)
                assert cluster.find_leader() == ""
                for name, texts in cluster.get_lists().items():
                    assert len(texts) > 0.9 * ENTRIES, name
                    assert texts == [f"text {number}" for number in range(len(texts))]

    def test_a_restarted_daemon_applies_nothing_that_is_not_committed(self):
        cluster = self.begin(0)
        for name in cluster.voters:
            cluster.restart(name)
        leader = cluster.elect()
        cluster.partition([leader])
        for number in range(300):
            cluster.propose(leader, f"lost {number}")
            cluster.run(0.001)
        assert cluster.run_until(
            lambda: cluster.find_leader() not in ("", leader), within=5.0
        )
        other = cluster.find_leader()
        cluster.propose(other, "kept")
        cluster.run(1)
        cluster.restart(leader)
        consensus = cluster.daemons[leader].node.consensus
        last_index = consensus.replica.log.last_index
        assert last_index > ENTRIES + 100, "the lost entries are in the log"
        assert cluster.run_until(
            lambda: len(cluster.get_lists()[leader]) >= 0.9 * ENTRIES, within=1.0
        )
        cluster.run(1)
        assert not any(text.startswith("lost") for text in cluster.get_lists()[leader])
        cluster.heal()
        cluster.run(3)
        assert cluster.get_lists()[leader] == cluster.get_lists()[other]


if __name__ == "__main__":
    unittest.main()
