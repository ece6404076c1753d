"""State machine that runs random fault schedules over a cluster with every check."""

import os
from unittest import mock

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from gypsumwalk.configuration import ApplyCall
from gypsumwalk.inputs import ShutdownRequested
from gypsumwalk.keys import GiveCall, WithdrawCall
from gypsumwalk.voters import AddVoterCall, RemoveVoterCall
from tests._agreement import OPERATOR, Cluster
from tests._checkers import (
    AcknowledgedKept,
    AppliedOnce,
    ElectionSafety,
    LogMatching,
    MonotonicGenerations,
    PortionsWithinLimit,
    WithdrawnRefused,
)

TEAM = "hanbit"
LIMIT = 3
BASE = f"""
[teams.{TEAM}]
limit = {LIMIT}
[pools.seats]
max_unavailable = 1
[services.seating]
pool = "seats"
[queues.seats]
service = "seating"
"""
VOTERS = 5
FOLLOWERS = 1
SLICE_SECONDS = 0.1
"""Interval at which the checks run."""

SMALL_SIZES = {
    "leadership.MAX_BATCH_ENTRIES": 2,
    "leadership.SNAPSHOT_CHUNK_BYTES": 400,
    "replica.SNAPSHOT_ENTRIES": 12,
    "replica.KEPT_ENTRIES": 4,
}
"""Reduced sizes, so that short runs split batches, take snapshots and send chunks."""

FOCUSES = ("log", "keys", "portions", "configuration")
"""Subjects whose rules one schedule enables, next to the fault rules."""

SCHEDULES = int(os.environ.get("GYPSUMWALK_SCHEDULES", "200"))
STEPS = 12


def make_settings(schedules):
    return settings(
        max_examples=schedules,
        stateful_step_count=STEPS,
        derandomize=True,
        database=None,
        deadline=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )


daemon_numbers = st.integers(0, VOTERS + FOLLOWERS - 1)
durations = st.sampled_from([0.05, 0.3, 1.0, 2.5])


def only_with_focus(focus):
    return precondition(lambda machine: machine.focus == focus)


class FaultMachine(RuleBasedStateMachine):
    focus = ""

    def __init__(self):
        super().__init__()
        self.patches = [
            mock.patch(f"gypsumwalk.{name}", value)
            for name, value in SMALL_SIZES.items()
        ]
        for patch in self.patches:
            patch.start()

    @initialize(seed=st.integers(0, 2**32), focus=st.sampled_from(FOCUSES))
    def begin(self, seed, focus):
        self.focus = self.focus or focus
        self.cluster = Cluster(seed, voters=VOTERS, followers=FOLLOWERS)
        self.names = self.cluster.voters + self.cluster.followers
        self.count = 0
        self.disk_lost = False
        self.keys = []
        self.withdrawals = []
        self.running = []
        self.portions = PortionsWithinLimit(self.cluster, TEAM, LIMIT)
        self.withdrawn = WithdrawnRefused(self.cluster, "seats")
        generations = MonotonicGenerations(self.cluster)
        self.cluster.observers += [generations.observe, self.portions.observe]
        self.checks = [
            ElectionSafety(self.cluster),
            LogMatching(self.cluster),
            AcknowledgedKept(self.cluster),
            AppliedOnce(self.cluster),
            generations,
            self.portions,
            self.withdrawn,
        ]
        self.cluster.elect()
        self.run_for(1.0)
        answer = self.cluster.ask(ApplyCall(base=0, files={"10.toml": BASE}), to="v0")
        assert answer.status == 200, answer
        self.give_key(0)

    def run_for(self, duration):
        end = self.cluster.now + duration
        while self.cluster.now < end - 1e-9:
            self.cluster.run(min(SLICE_SECONDS, end - self.cluster.now))
            self.record_withdrawals()
            for check in self.checks:
                check.check()

    def record_withdrawals(self):
        for key, call in self.withdrawals:
            if call.answer is not None and call.answer.status == 200:
                self.withdrawn.record_answered(key)
            key_id = key.partition(".")[0]
            if key_id in self.cluster.withdrawal_times:
                self.withdrawn.record_committed(
                    key, self.cluster.withdrawal_times[key_id]
                )

    def is_alive(self, name):
        return self.cluster.daemons[name].alive

    @only_with_focus("log")
    @rule(number=daemon_numbers, repeats=st.integers(1, 5))
    def put(self, number, repeats):
        name = self.names[number]
        if not self.is_alive(name):
            return
        for _ in range(repeats):
            self.count += 1
            self.cluster.propose(name, f"c{self.count}")
        self.run_for(0.05)

    @only_with_focus("portions")
    @rule(number=daemon_numbers, units=st.integers(1, 3))
    def acquire(self, number, units):
        name = self.names[number]
        for _ in range(4):
            for _ in range(units):
                self.try_to_acquire(name)
            self.run_for(0.15)

    def try_to_acquire(self, name):
        daemon = self.cluster.daemons[name]
        if not daemon.alive or daemon.paused:
            return
        self.count += 1
        request = f"r{self.count}"
        own = self.cluster.read_local_clock(name)
        if daemon.node.portions.acquire(TEAM, request, own):
            self.portions.in_use.add(request)
            self.running.append((name, daemon.node, request))
        self.cluster._arm(daemon)

    @only_with_focus("portions")
    @rule()
    def release(self):
        if not self.running:
            return
        name, node, request = self.running.pop(0)
        self.portions.in_use.discard(request)
        if self.cluster.daemons[name].node is node:
            node.portions.release(TEAM, request, self.cluster.read_local_clock(name))
            self.cluster._arm(self.cluster.daemons[name])

    @only_with_focus("configuration")
    @rule(number=daemon_numbers)
    def apply(self, number):
        name = self.names[number]
        if not self.is_alive(name):
            return
        self.count += 1
        files = {f"{self.count:04}.toml": f"[teams.t{self.count}]\nlimit = 1\n"}
        base = self.cluster.daemons[name].node.folder.generation
        self.cluster.call(
            ApplyCall(base=base, files=files), to=name, credential=OPERATOR
        )
        self.run_for(0.2)

    @only_with_focus("configuration")
    @rule(number=daemon_numbers)
    def apply_and_restart(self, number):
        for _ in range(3):
            self.apply(number)
        self.run_for(1.0)
        self.cluster.restart(self.names[number])
        self.run_for(2.0)

    @only_with_focus("keys")
    @rule(number=daemon_numbers)
    def give_key(self, number):
        name = self.names[number]
        if not self.is_alive(name):
            return
        call = self.cluster.call(GiveCall(team=TEAM), to=name, credential=OPERATOR)
        self.run_for(0.3)
        if call.answer is not None and call.answer.status == 200:
            self.keys.append(call.answer.body.key)

    @only_with_focus("keys")
    @rule(number=daemon_numbers)
    def withdraw_key(self, number):
        name = self.names[number]
        if not self.is_alive(name):
            return
        if not self.keys:
            self.give_key(number)
        if not self.keys:
            return
        key = self.keys.pop()
        body = WithdrawCall(key.partition(".")[0])
        call = self.cluster.call(body, to=name, credential=OPERATOR)
        self.withdrawals.append((key, call))
        self.run_for(0.2)

    @rule(number=daemon_numbers, duration=durations)
    def kill(self, number, duration):
        self.cluster.kill(self.names[number])
        self.run_for(duration)

    @rule(duration=durations)
    def kill_leader(self, duration):
        leader = self.cluster.find_leader()
        if leader:
            self.cluster.kill(leader)
        self.run_for(duration)

    @rule(duration=durations)
    def leave(self, duration):
        """Shut the leader down gracefully, and kill it after a while."""
        leader = self.cluster.find_leader()
        if not leader:
            return
        deadline = self.cluster.read_local_clock(leader) + 5.0
        daemon = self.cluster.daemons[leader]
        self.cluster.deliver(daemon, ShutdownRequested(deadline))
        self.run_for(duration)
        self.cluster.kill(leader)

    @rule(number=daemon_numbers, duration=durations)
    def restart(self, number, duration):
        self.cluster.restart(self.names[number])
        self.run_for(duration)

    @rule(duration=durations)
    def restart_all(self, duration):
        for name in self.names:
            if not self.is_alive(name):
                self.cluster.restart(name)
        self.run_for(duration)

    @rule(group=st.sets(daemon_numbers, min_size=1, max_size=3), one_way=st.booleans())
    def partition(self, group, one_way):
        self.cluster.partition(
            [self.names[number] for number in group], one_way=one_way
        )
        self.run_for(1.0)

    @rule(duration=durations)
    def partition_leader(self, duration):
        leader = self.cluster.find_leader()
        if leader:
            self.cluster.partition([leader])
        self.run_for(duration)

    @rule(duration=durations)
    def heal(self, duration):
        self.cluster.heal()
        self.run_for(duration)

    @rule(number=daemon_numbers, duration=durations)
    def pause(self, number, duration):
        name = self.names[number]
        if not self.is_alive(name):
            return
        self.cluster.pause(name)
        self.run_for(duration)
        self.cluster.resume(name)
        self.run_for(0.1)

    @rule(first=daemon_numbers, second=daemon_numbers, duration=durations)
    def partition_pair(self, first, second, duration):
        self.cluster.partition([self.names[first]], [self.names[second]], one_way=True)
        self.run_for(duration)

    @only_with_focus("log")
    @rule(number=daemon_numbers)
    def put_with_one_way_partition(self, number):
        """Propose on a daemon that can reach the leader but not receive from it."""
        name = self.names[number]
        leader = self.cluster.find_leader()
        if not leader or not self.is_alive(name) or leader == name:
            return
        self.cluster.partition([leader], [name], one_way=True)
        self.put(number, 2)
        self.run_for(1.0)
        self.cluster.heal()

    @only_with_focus("log")
    @rule(delay=st.sampled_from([0.01, 0.05, 0.2]))
    def cut_power(self, delay):
        """Kill every process at the same time, shortly after proposals."""
        for name in self.names:
            if self.is_alive(name):
                self.count += 1
                self.cluster.propose(name, f"c{self.count}")
        self.run_for(delay)
        for name in self.names:
            self.cluster.kill(name)
        for name in self.names:
            self.cluster.restart(name)
        self.run_for(2.5)

    @only_with_focus("log")
    @rule(write=st.sampled_from([0.0005, 0.02, 0.3]))
    def slow_disks(self, write):
        for name in self.cluster.voters:
            self.cluster.daemons[name].disk.write_seconds = write

    @rule(drop=st.sampled_from([0.0, 0.05, 0.3]), jitter=st.sampled_from([0.5, 0.99]))
    def vary_network(self, drop, jitter):
        self.cluster.network.drop = drop
        self.cluster.network.duplicate = drop
        self.cluster.network.jitter = jitter
        self.cluster.network.delay = 0.001 if drop < 0.1 else 0.03

    @only_with_focus("log")
    @rule(number=daemon_numbers, voter=st.sampled_from(["v3", "v4"]), add=st.booleans())
    def change_voters(self, number, voter, add):
        name = self.names[number]
        if not self.is_alive(name):
            return
        body = AddVoterCall(voter) if add else RemoveVoterCall(voter)
        self.cluster.call(body, to=name, credential=OPERATOR)
        self.run_for(0.5)

    @only_with_focus("log")
    @rule()
    def lose_disk(self):
        """Lose one of five disks; with two, committed entries could be lost."""
        if self.disk_lost:
            return
        self.disk_lost = True
        self.cluster.lose_disk("v4")
        self.run_for(0.3)
        self.cluster.restart("v4")

    def teardown(self):
        try:
            if hasattr(self, "cluster"):
                self.end()
        finally:
            self.stop()

    def stop(self):
        for patch in self.patches:
            patch.stop()

    def end(self):
        for name in self.cluster.voters:
            self.cluster.daemons[name].disk.write_seconds = 0.0005
        self.cluster.heal()
        network = self.cluster.network
        network.drop = network.duplicate = 0.0
        network.delay = 0.001
        self.restart_all(6.0)
        self.run_for(4.0)
        assert self.cluster.find_leader(), "no leader after every fault ended"
        first, *others = self.cluster.get_lists().values()
        assert all(items == first for items in others), "states differ at the end"
