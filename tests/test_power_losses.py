"""Tests of losses of power of all daemons at once, beside disks that are lost.

``GYPSUMWALK_SCHEDULES`` sets the number of moments of each history and of random
schedules; a seed runs alone with ``GYPSUMWALK_SEED``.
"""

import math
import os
import unittest
from contextlib import ExitStack, contextmanager, suppress
from functools import partial
from random import Random
from unittest import mock

from gypsumwalk.replica import Replica
from gypsumwalk.storage import Storage
from tests._power_losses import (
    CATCH_UP_SECONDS,
    RECOVERY_SECONDS,
    Cut,
    PowerCluster,
    PowerLost,
    check_cut,
    list_cuts,
)

SCHEDULES = int(os.environ.get("GYPSUMWALK_SCHEDULES", "4"))
ROUNDS = 2
SMALL_SIZES = {"replica.SNAPSHOT_ENTRIES": 25, "replica.KEPT_ENTRIES": 5}
SYNC_SECONDS = 0.01
GIVE_UP_SECONDS = 3.5
"""Time after which a write that never ends was given up."""


def list_seeds():
    seed = os.environ.get("GYPSUMWALK_SEED")
    return [1] if seed is None else [int(seed)]


def begin(cluster):
    """Elect a leader, and have syncs take longer than messages."""
    cluster.elect()
    cluster.run_checked(1.0)
    for name in cluster.list_disks():
        slow_down(cluster, name, SYNC_SECONDS)
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


def replace_a_voter(cluster):
    """A machine is removed for good, and one with an empty disk votes in its place."""
    begin(cluster)
    work(cluster, commands=3)
    cluster.replace_machine(draw_follower(cluster))
    work(cluster, commands=30, pause=0.25)


def replace_the_leader(cluster):
    begin(cluster)
    work(cluster, commands=3)
    cluster.replace_machine(cluster.find_leader())
    work(cluster, commands=30, pause=0.25)


def renew_a_disk(cluster):
    """A voter returns with an empty disk, and votes with it."""
    begin(cluster)
    work(cluster, commands=3)
    cluster.wipe(draw_follower(cluster))
    work(cluster, commands=20, pause=0.25)


def promote_while_a_disk_fails(cluster):
    """A voter is replaced whose disk fails; the new one is slow to sync."""
    begin(cluster)
    name = draw_follower(cluster)
    cluster.add("n1")
    cluster.daemons["n1"].disk.write_seconds = 0.02
    work(cluster, commands=3)
    cluster.fill_disk(name)
    work(cluster, commands=30, pause=0.25)
    cluster.fill_disk(name, full=False)
    work(cluster, commands=20, pause=0.1)


def promote_while_a_voter_is_cut_off(cluster):
    begin(cluster)
    name = draw_follower(cluster)
    cluster.add("n1")
    work(cluster, commands=3)
    cluster.partition([name])
    work(cluster, commands=30, pause=0.25)
    cluster.heal()
    work(cluster, commands=6, pause=0.1)


def add_voters(cluster):
    """Two daemons become voters, as two disks are to be lost at the same time."""
    begin(cluster)
    for name in ("n1", "n2"):
        cluster.add(name)
        slow_down(cluster, name, SYNC_SECONDS)
    work(cluster, commands=30, pause=0.1)
    leader = cluster.get_nodes()[cluster.find_leader()]
    assert len(leader.consensus.replica.voters) == 5


def restart_in_turn(cluster):
    """Processes are killed while they write, and read back what was not synced."""
    begin(cluster)
    for name in cluster.voters:
        cluster.daemons[name].disk.write_seconds = 0.02
        work(cluster, commands=3)
        cluster.kill(name)
        cluster.restart_later(name, 0.1)
        work(cluster, commands=6, pause=0.05)


def answer_after_a_restart(cluster):
    """A voter restarts while it writes, and no third one is in reach."""
    begin(cluster)
    name = draw_follower(cluster)
    leader = cluster.find_leader()
    others = set(cluster.voters) - {leader, name}
    cluster.partition(cluster.draw.sample(sorted(others), len(cluster.voters) // 2))
    slow_down(cluster, name, 0.5)
    work(cluster, commands=3)
    cluster.kill(name)
    cluster.restart(name)
    work(cluster, commands=6, pause=0.1)


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
    restart_in_turn,
    answer_after_a_restart,
)
FIRST_STARTS = (
    start_for_the_first_time,
    start_with_slow_disks,
    start_with_a_disk_that_stalls,
)


PLANNED_HISTORIES = (
    replace_a_voter,
    replace_the_leader,
    renew_a_disk,
    promote_while_a_disk_fails,
    promote_while_a_voter_is_cut_off,
)


def make_planned_cluster(seed, *, cut, voters=3, **options):
    return PowerCluster(
        seed, voters, cut=cut, first_start=True, plans_voters=True, **options
    )


class Schedule:
    """Outages of disks, links and machines in turn and at the same time, from a seed.

    Each round ends with a loss of all power and of as many disks as may be lost.
    """

    def __init__(self, seed):
        self.random = Random(f"power schedule {seed}")
        self.cluster = make_planned_cluster(
            seed, cut=None, voters=self.random.choice([3, 5])
        )
        self.outages = (
            self.fill,
            self.stall,
            self.slow_down,
            self.cut_off,
            self.kill,
        )
        self.is_calm = True

    def run(self):
        begin(self.cluster)
        if self.random.random() < 0.5:
            self.cluster.add("n0")
        for _ in range(ROUNDS):
            self.cluster.network.drop = self.random.choice([0.0, 0.0, 0.03])
            self.cluster.network.duplicate = self.random.choice([0.0, 0.03])
            for _ in range(self.random.randint(1, 4)):
                self.strike()
                self.work()
                if self.random.random() < 0.5:
                    self.end_outages()
                    self.work()
            self.lose_power()

    def strike(self):
        """Begin an outage, or lose a disk if no other one is lost."""
        if self.random.random() < 0.12 and not self.cluster.lost_disks:
            self.random.choice([self.replace, self.wipe])()
        else:
            self.random.choice(self.outages)()
            self.is_calm = False
        if not self.is_calm:
            self.cluster.extend_losses(math.inf)

    def work(self):
        """Propose commands for a while that is often shorter than an election."""
        commands = self.random.randint(2, 12)
        work(self.cluster, commands, self.random.choice([0.003, 0.03, 0.3]))

    def lose_power(self):
        self.cluster.cut = self.random.choice(
            [
                Cut(acknowledged=self.random.randint(1, 4)),
                Cut(self.random.randint(0, 20), self.random.randint(0, 3)),
            ]
        )
        self.cluster.record()
        with suppress(PowerLost):
            self.work()
        self.cluster.cut = None
        choices = self.cluster.list_choices()
        wiped = self.random.choice([choices[-1], self.random.choice(choices)])
        self.cluster.lose_power(wiped)
        self.cluster.network.drop = self.cluster.network.duplicate = 0.0
        self.cluster.recover()
        self.calm_down()
        self.cluster.check_recovery()
        self.cluster.run_checked(RECOVERY_SECONDS)

    def draw(self):
        """Return a daemon with a disk, the leader more often than others."""
        leader = self.cluster.find_leader()
        if leader and self.random.random() < 0.3:
            return leader
        return self.random.choice(self.cluster.list_disks())

    def fill(self):
        self.cluster.fill_disk(self.draw())

    def stall(self):
        self.cluster.stall_disk(self.draw())

    def slow_down(self):
        slow_down(self.cluster, self.draw(), self.random.choice([0.02, 0.1, 0.4]))

    def cut_off(self):
        is_one_way = self.random.random() < 0.5
        self.cluster.partition([self.draw()], one_way=is_one_way)

    def kill(self):
        name = self.draw()
        self.cluster.kill(name)
        self.cluster.restart_later(name, self.random.uniform(0.1, 1.0))

    def replace(self):
        self.cluster.replace_machine(self.draw())

    def wipe(self):
        self.cluster.wipe(self.draw())

    def end_outages(self):
        self.cluster.heal()
        self.cluster.repair_disks()
        self.calm_down()

    def calm_down(self):
        """Count lost disks as lost until the daemons had the time to recover."""
        self.is_calm = True
        self.cluster.extend_losses(self.cluster.now + RECOVERY_SECONDS)


@contextmanager
def reduce_sizes():
    """Have snapshots taken and sent after a few entries."""
    with ExitStack() as stack:
        for name, value in SMALL_SIZES.items():
            stack.enter_context(mock.patch(f"gypsumwalk.{name}", value))
        yield


class CutTest(unittest.TestCase):
    """Cuts all power at moments of histories."""

    def check_cuts(self, history, make_cluster):
        with reduce_sizes():
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

    def test_voters_that_are_replaced(self):
        for history in PLANNED_HISTORIES:
            for voters in (3, 5):
                with self.subTest(history=history.__name__, voters=voters):
                    make = partial(make_planned_cluster, voters=voters)
                    self.check_cuts(history, make)

    def test_voters_that_are_added(self):
        make = partial(make_planned_cluster, tolerated_disk_losses=2)
        self.check_cuts(add_voters, make)


class TestReplacement(unittest.TestCase):
    """Guards against a removed machine that is counted on for too long (issue 43).

    Another disk may be lost once its successor had ``CATCH_UP_SECONDS``.
    """

    def check_replacement(self, draw_removed):
        for seed in range(6):
            with self.subTest(seed=seed):
                cluster = make_planned_cluster(seed, cut=None)
                begin(cluster)
                removed = draw_removed(cluster)
                successor = cluster.replace_machine(removed)
                cluster.run_checked(CATCH_UP_SECONDS)
                assert cluster.find_leader(), "no leader"
                replica = cluster.get_nodes()[cluster.find_leader()].consensus.replica
                assert removed not in replica.voters, f"{removed} still votes"
                assert successor in replica.voters
                assert replica.voters_index <= replica.commit

    def test_a_removed_follower(self):
        self.check_replacement(draw_follower)

    def test_a_removed_leader(self):
        self.check_replacement(PowerCluster.find_leader)


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


class TestSchedules(unittest.TestCase):
    """Guards against commands lost with the power after several outages (issue 43)."""

    def test_power_is_lost_during_outages(self):
        seed = os.environ.get("GYPSUMWALK_SEED")
        for number in range(SCHEDULES) if seed is None else [int(seed)]:
            with self.subTest(seed=number), reduce_sizes():
                Schedule(number).run()


def lose_power_after_a_restart(seed):
    """Restart a voter that has not synced a command, and lose its leader's disk.

    The third voter never received the command.

    Returns
    -------
    str
        What is wrong after the restart of all, or empty.
    """
    cluster = make_planned_cluster(seed, cut=None)
    begin(cluster)
    leader, name = cluster.find_leader(), draw_follower(cluster)
    cluster.partition(set(cluster.voters) - {leader, name})
    slow_down(cluster, name, 1.0)
    cluster.put(leader)
    cluster.run_checked(0.1)
    cluster.daemons[name].disk.crash_after = 0
    cluster.kill(name)
    cluster.restart(name)
    cluster.run_checked(0.5)
    try:
        cluster.lose_power([leader])
        cluster.recover()
        cluster.check_recovery()
    except AssertionError as error:
        return str(error)
    return ""


class TestDeliberateFaults(unittest.TestCase):
    """Each fault turns a check red; without it the same moments pass."""

    def find_failure(self, history, *patches, limit=100):
        """Return the first failure at moments of a history, or empty."""
        make = make_planned_cluster
        with reduce_sizes(), ExitStack() as stack:
            for patch in patches:
                stack.enter_context(patch)
            cuts = list_cuts(make, history, 1)
            Random(history.__name__).shuffle(cuts)
            cuts.sort(key=lambda cut: cut.acknowledged < 0)
            for number, cut in enumerate(cuts[:limit]):
                if failure := check_cut(make, history, 1, cut, number):
                    return failure
        return ""

    def test_an_answer_before_the_sync_is_detected(self):
        stage = Storage.stage

        def count_as_synced(storage, *operations, durable_index=0):
            stage(storage, *operations, durable_index=durable_index)
            storage.durable = max(storage.durable, durable_index)

        failure = self.find_failure(
            commit_with_a_slow_disk,
            mock.patch.object(Storage, "stage", count_as_synced),
            mock.patch.object(
                Storage, "defer_until_synced", lambda _, effects: list(effects)
            ),
        )
        assert "lost" in failure or "differs" in failure, failure

    def test_a_failed_disk_that_is_counted_is_detected(self):
        failure = self.find_failure(
            return_after_a_failure,
            mock.patch.object(
                Replica, "identity", property(lambda replica: replica.vote.identity)
            ),
        )
        assert "lost" in failure or "differs" in failure, failure

    def test_a_start_that_trusts_what_it_reads_is_detected(self):
        begin_storage = Storage.__init__

        def trust(storage, *, enabled, durable, is_synced=True):
            begin_storage(storage, enabled=enabled, durable=durable)

        with mock.patch.object(Storage, "__init__", trust):
            failures = [lose_power_after_a_restart(seed) for seed in range(16)]
            with mock.patch.object(PowerCluster, "cut_power", PowerCluster.kill):
                after_kills = [lose_power_after_a_restart(seed) for seed in range(16)]
        assert any("differs" in failure for failure in failures), failures
        assert not any(after_kills), "a kill keeps what was not synced"

    def test_a_new_voter_that_has_not_synced_is_detected(self):
        append = Replica.append
        defer = Storage.defer_until_synced

        def count_on_new_disks(replica, entries):
            append(replica, entries)
            if not replica.vote.identity.startswith("first-"):
                replica.storage.durable = replica.log.last_index
                replica.storage.is_early = True

        def send_early(storage, effects):
            if getattr(storage, "is_early", False):
                return list(effects)
            return defer(storage, effects)

        failure = self.find_failure(
            promote_while_a_disk_fails,
            mock.patch.object(Replica, "append", count_on_new_disks),
            mock.patch.object(Storage, "defer_until_synced", send_early),
        )
        assert "lost" in failure or "differs" in failure, failure

    def test_the_same_moments_pass_without_a_fault(self):
        for history in (
            commit_with_a_slow_disk,
            return_after_a_failure,
            promote_while_a_disk_fails,
        ):
            assert not self.find_failure(history, limit=SCHEDULES)
        for seed in range(16):
            assert not lose_power_after_a_restart(seed), seed


if __name__ == "__main__":
    unittest.main()
