"""Tests of losses of power of all daemons at once, beside disks that are lost.

``GYPSUMWALK_SCHEDULES`` sets the number of moments of each history and of random
schedules; a seed runs alone with ``GYPSUMWALK_SEED``.
"""

import os
import unittest
from contextlib import ExitStack
from functools import partial
from random import Random
from unittest import mock

from tests._power_losses import (
    RECOVERY_SECONDS,
    PowerCluster,
    check_cut,
    list_cuts,
)

SCHEDULES = int(os.environ.get("GYPSUMWALK_SCHEDULES", "6"))
SMALL_SIZES = {"replica.SNAPSHOT_ENTRIES": 25, "replica.KEPT_ENTRIES": 5}
"""Reduced sizes, so that snapshots are taken and sent."""

GIVE_UP_SECONDS = 3.5
"""Time after which a write that never ends was given up."""


def list_seeds():
    seed = os.environ.get("GYPSUMWALK_SEED")
    return [1] if seed is None else [int(seed)]


def begin(cluster):
    cluster.elect()
    cluster.run_checked(1.0)
    cluster.record()


def work(cluster, commands=12, pause=0.02):
    """Propose commands on any daemons, also on one without a disk."""
    for _ in range(commands):
        alive = [name for name, daemon in cluster.daemons.items() if daemon.alive]
        cluster.put(cluster.draw.choice(alive))
        cluster.run_checked(pause)


def draw_follower(cluster):
    leader = cluster.find_leader()
    followers = [name for name in cluster.voters if name != leader]
    return cluster.draw.choice(followers)


def commit_commands(cluster):
    begin(cluster)
    work(cluster)


def commit_with_a_slow_disk(cluster):
    begin(cluster)
    cluster.daemons[draw_follower(cluster)].disk.write_seconds = 0.05
    work(cluster)


def return_after_a_failure(cluster):
    """The disk of a follower refuses writes, and its state is written anew."""
    begin(cluster)
    name = draw_follower(cluster)
    cluster.fill_disk(name)
    work(cluster, commands=6)
    cluster.daemons[name].disk.write_seconds = 0.05
    cluster.fill_disk(name, full=False)
    work(cluster, commands=12, pause=0.05)


def fail_in_turn(cluster):
    """The disks of the leader and of a follower fail one after the other."""
    begin(cluster)
    for name in (cluster.find_leader(), draw_follower(cluster)):
        cluster.fill_disk(name)
        work(cluster, commands=6)
        cluster.fill_disk(name, full=False)
        cluster.daemons[name].disk.write_seconds = 0.02
        work(cluster, commands=6, pause=0.1)


def resume_after_a_stall(cluster):
    begin(cluster)
    name = draw_follower(cluster)
    cluster.stall_disk(name)
    work(cluster, commands=6)
    cluster.run_checked(GIVE_UP_SECONDS)
    work(cluster, commands=3)
    cluster.resume_disk(name)
    work(cluster, commands=6, pause=0.05)


def stall_the_leader(cluster):
    begin(cluster)
    name = cluster.find_leader()
    cluster.stall_disk(name)
    work(cluster, commands=6)
    cluster.run_checked(GIVE_UP_SECONDS)
    work(cluster, commands=6)
    cluster.resume_disk(name)
    work(cluster, commands=6, pause=0.05)


def take_snapshots(cluster):
    begin(cluster)
    work(cluster, commands=30)


def install_a_snapshot(cluster):
    """A voter that was cut off is sent a snapshot."""
    begin(cluster)
    name = draw_follower(cluster)
    cluster.partition([name])
    work(cluster, commands=45)
    cluster.daemons[name].disk.write_seconds = 0.02
    cluster.heal()
    work(cluster, commands=12, pause=0.1)


def cut_off_the_leader(cluster):
    """The leader hears the others, and they don't hear it; a term later it returns."""
    begin(cluster)
    work(cluster, commands=3)
    cluster.partition([cluster.find_leader()], one_way=True)
    work(cluster, commands=12, pause=0.3)
    cluster.heal()
    work(cluster, commands=6)


def start_for_the_first_time(cluster):
    """Commands are proposed from the start, before there is a leader."""
    # A disk that never synced anything can't be told from a lost one.
    disks = [cluster.daemons[name].disk for name in cluster.voters]
    assert cluster.run_until(lambda: all(d.synced_writes for d in disks), within=0.01)
    cluster.record()
    work(cluster, commands=30, pause=0.1)


def slow_down(cluster, name, write_seconds=0.1):
    cluster.daemons[name].disk.write_seconds = write_seconds


def start_with_slow_disks(cluster):
    for name in cluster.voters:
        cluster.schedule(0.002, partial(slow_down, cluster, name))
    start_for_the_first_time(cluster)


def start_with_a_disk_that_stalls(cluster):
    """A disk stops to sync while the others hear of it."""
    cluster.schedule(0.0035, lambda: cluster.stall_disk("v0"))
    start_for_the_first_time(cluster)


HISTORIES = (
    commit_commands,
    commit_with_a_slow_disk,
    return_after_a_failure,
    fail_in_turn,
    resume_after_a_stall,
    stall_the_leader,
    take_snapshots,
    install_a_snapshot,
    cut_off_the_leader,
)
FIRST_STARTS = (
    start_for_the_first_time,
    start_with_slow_disks,
    start_with_a_disk_that_stalls,
)


class CutTest(unittest.TestCase):
    """Cuts all power at moments of histories."""

    def check_cuts(self, history, make_cluster):
        with ExitStack() as stack:
            for name, value in SMALL_SIZES.items():
                stack.enter_context(mock.patch(f"gypsumwalk.{name}", value))
            for seed in list_seeds():
                for cut, choice in self.draw_cuts(history, make_cluster, seed):
                    failure = check_cut(make_cluster, history, seed, cut, choice)
                    assert not failure, f"{history.__name__}, seed {seed}: {failure}"

    def draw_cuts(self, history, make_cluster, seed):
        """Return as many moments as are asked for, spread over the history."""
        cuts = list_cuts(make_cluster, history, seed)
        random = Random(f"cuts {history.__name__} {seed}")
        random.shuffle(cuts)
        first = random.randrange(11)
        return [
            (cuts[number % len(cuts)], first + number + number // len(cuts))
            for number in range(SCHEDULES)
        ]


class TestEveryWrite(CutTest):
    """Guards against acknowledged commands that rest on memory (issue 43)."""

    def test_three_voters(self):
        for history in HISTORIES:
            with self.subTest(history=history.__name__):
                self.check_cuts(history, PowerCluster)

    def test_five_voters(self):
        for history in HISTORIES:
            with self.subTest(history=history.__name__):
                self.check_cuts(history, partial(PowerCluster, voters=5))


class TestFirstStart(CutTest):
    """Guards against disks that are taken for lost ones after a first start (issue 43).

    A voter stored its identity with its first vote only, and without it no daemon ever
    led again.
    """

    def test_power_is_lost_at_each_write(self):
        for history in FIRST_STARTS:
            with self.subTest(history=history.__name__):
                self.check_cuts(history, partial(PowerCluster, first_start=True))

    def test_disks_register_while_power_is_lost(self):
        for history in FIRST_STARTS:
            with self.subTest(history=history.__name__):
                self.check_cuts(history, PowerCluster)

    def test_power_is_lost_before_the_first_election(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                cluster = PowerCluster(seed, first_start=True)
                cluster.run_checked(0.5)
                cluster.lose_power(())
                cluster.recover()
                cluster.check_recovery()

    # A voter could not repeat its answer once its disk was lost.
    def test_a_disk_is_lost_after_an_admission_that_was_not_synced(self):
        for seed in range(3):
            for wiped in ("v1", "v2"):
                with self.subTest(seed=seed, wiped=wiped):
                    cluster = PowerCluster(seed)
                    vote = cluster.daemons["v0"].node.consensus.replica.vote
                    assert cluster.run_until(lambda v=vote: v.admitted, within=1.0)
                    cluster.stall_disk("v0")
                    cluster.commit(within=RECOVERY_SECONDS)
                    cluster.lose_power([wiped])
                    cluster.recover()
                    cluster.check_recovery()


if __name__ == "__main__":
    unittest.main()
