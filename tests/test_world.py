"""Tests of the simulated world and its fakes, with a minimal node."""

import unittest

import msgspec

from gypsumwalk.effects import (
    Answer,
    AppendRecords,
    CallPlatform,
    Dispatch,
    Respond,
    SendPeer,
    TruncateRecords,
    WriteDisk,
    WriteFile,
)
from gypsumwalk.inputs import (
    CallInput,
    DiskOutcome,
    DispatchOutcome,
    DispatchStatus,
    PeerInput,
    PlatformOutcome,
)
from gypsumwalk.part import NEVER
from tests._fake_targets import Behaviour, FakeTarget
from tests._world import World


class Store(msgspec.Struct, frozen=True, tag=True):
    text: str


class Run(msgspec.Struct, frozen=True, tag=True):
    target: str


class Hello(msgspec.Struct, frozen=True, tag=True):
    target: str


class Heartbeat(msgspec.Struct, frozen=True, tag=True):
    number: int


class StubNode:
    """Stores text, runs requests on targets and sends heartbeats every second."""

    def __init__(self, name, recovered, incarnation):
        self.name = name
        self.incarnation = incarnation
        self.stored = list(recovered.records.get("log", ())) if recovered else []
        self.received = []
        self.seen_targets = set()
        self.outcomes = []
        self.wakeup = 0.0
        self.heartbeats = 0

    def handle(self, item, now):
        match item:
            case CallInput(call_id, Store(text)):
                record = AppendRecords("log", (text.encode(), b"end"))
                return [WriteDisk(call_id, (record,))]
            case DiskOutcome(token, succeeded):
                return [Respond(token, Answer(200 if succeeded else 507))]
            case CallInput(call_id, Run(target), _, payload):
                dispatch = f"toy/{call_id}"
                return [Dispatch(dispatch, target, f"{target}:80", "/", payload)]
            case DispatchOutcome(dispatch_id):
                self.outcomes.append(item)
                call_id = int(dispatch_id.partition("/")[2])
                return [Respond(call_id, Answer(200, payload=item.payload))]
            case CallInput(call_id, Hello(target)):
                self.seen_targets.add(target)
                return [Respond(call_id, Answer(204))]
            case PeerInput(source, Heartbeat(number)):
                self.received.append((source, number))
            case PlatformOutcome():
                self.outcomes.append(item)
        return []

    def advance(self, now):
        self.wakeup = now + 1.0 if self.heartbeats < 100 else NEVER
        self.heartbeats += 1
        peers = [peer for peer in ("a", "b", "c") if peer != self.name]
        return [SendPeer(peer, Heartbeat(self.heartbeats)) for peer in peers]


def make_world(seed=1, platform=None):
    world = World(StubNode, seed=seed, platform=platform)
    for name in ("a", "b", "c"):
        world.add(name, data_centre=f"dc-{name}")
    return world


def list_senders(world, name):
    return {source for source, _ in world.daemons[name].node.received}


def run_until_written(world):
    def wrote():
        return any(isinstance(item.effect, WriteDisk) for item in world.trace)

    return world.run_until(wrote, within=1.0)


class TestNetwork(unittest.TestCase):
    def test_partition_blocks_both_ways_until_healed(self):
        world = make_world()
        world.partition(["a"])
        world.run(5.0)
        assert list_senders(world, "a") == set()
        assert list_senders(world, "b") == {"c"}
        world.heal()
        world.run(2.0)
        assert list_senders(world, "a") == {"b", "c"}

    def test_one_way_partition_lets_the_other_way_through(self):
        world = make_world()
        world.partition(["dc-a"], ["b"], one_way=True)
        world.run(3.0)
        assert list_senders(world, "a") == {"b", "c"}
        assert list_senders(world, "b") == {"c"}

    def test_messages_are_dropped_duplicated_and_reordered(self):
        world = make_world()
        world.network.drop = 0.3
        world.network.duplicate = 0.3
        world.network.delay = 2.0
        world.run(60.0)
        received = [number for source, number in world.daemons["a"].node.received]
        assert len(set(received)) < 60
        assert received != sorted(received)
        assert len(received) != len(set(received))

    def test_same_seed_gives_the_same_trace(self):
        traces = []
        for _ in range(2):
            world = make_world(seed=9)
            world.network.drop = 0.2
            world.run(10.0)
            traces.append(world.trace)
        assert traces[0] == traces[1]


class TestProcesses(unittest.TestCase):
    def test_synced_records_survive_a_crash(self):
        world = make_world()
        call = world.call(Store("x"), to="a")
        assert world.run_until(lambda: call.answer is not None, within=1.0)
        world.kill("a")
        world.restart("a")
        assert world.daemons["a"].node.stored == [b"x", b"end"]

    def test_write_in_flight_is_lost_or_torn(self):
        found = set()
        for seed in range(40):
            world = make_world(seed)
            call = world.call(Store("x"), to="a")
            assert run_until_written(world)
            world.kill("a")
            assert call.lost
            world.restart("a")
            found.add(tuple(world.daemons["a"].node.stored))
        assert found == {(), (b"x",), (b"x", b"end")}

    def test_full_disk_is_reported_and_keeps_nothing(self):
        world = make_world()
        world.fill_disk("a")
        call = world.call(Store("x"), to="a")
        world.run(1.0)
        assert call.answer.status == 507
        assert world.daemons["a"].disk.size() == 0

    def test_lost_disk_is_empty_and_incarnation_is_higher(self):
        world = make_world()
        before = world.daemons["a"].incarnation
        world.call(Store("x"), to="a")
        world.run(1.0)
        world.lose_disk("a")
        world.restart("a")
        assert world.daemons["a"].node.stored == []
        assert world.daemons["a"].incarnation > before

    def test_paused_process_handles_queued_input_after_resuming(self):
        world = make_world()
        world.pause("a")
        call = world.call(Store("x"), to="a")
        world.run(5.0)
        assert not call.ended
        assert list_senders(world, "a") == set()
        world.resume("a")
        world.run(0.1)
        assert call.answer.status == 200
        assert list_senders(world, "a") == {"b", "c"}

    def test_clocks_of_daemons_may_differ(self):
        world = World(StubNode, seed=1)
        fast = world.add("a", clock_offset=30.0, clock_rate=2.0)
        slow = world.add("b")
        world.run(10.5)
        assert fast.node.heartbeats in (21, 22)
        assert slow.node.heartbeats == 11
        assert fast.read_clock(world.now) - slow.read_clock(world.now) == 40.5


class TestDisk(unittest.TestCase):
    def test_disk_operations_apply_in_order(self):
        world = make_world()
        disk = world.daemons["a"].disk
        disk.begin(
            (
                AppendRecords("log", (b"1", b"2", b"3")),
                TruncateRecords("log", 1),
                WriteFile("snapshot", b"old"),
                WriteFile("snapshot", b"new"),
            ),
            world.now,
        )
        assert disk.finish()
        recovered = disk.recover()
        assert recovered.records == {"log": (b"1",)}
        assert recovered.files == {"snapshot": b"new"}


class TestTargets(unittest.TestCase):
    def run_request(self, behaviour, *, seconds=40.0, prepare=lambda world: None):
        world = make_world()
        target = FakeTarget("t-1", lambda target, now: Hello(target.name))
        target.behaviour = behaviour
        world.targets.add(target)
        world.run(5.0)
        prepare(world)
        call = world.call(Run("t-1"), to="a", payload=b"seat 7")
        world.run(seconds)
        (outcome,) = world.daemons["a"].node.outcomes
        return world, call, outcome

    def test_answers_and_is_counted_once(self):
        world, call, outcome = self.run_request(Behaviour.ANSWER)
        assert outcome.status is DispatchStatus.ANSWERED
        assert call.answer.payload == b"answer to seat 7"
        assert world.targets.count_payload_runs() == {b"seat 7": 1}

    def test_announces_itself_through_several_daemons(self):
        world, _, _ = self.run_request(Behaviour.ANSWER)
        for daemon in world.daemons.values():
            assert daemon.node.seen_targets == {"t-1"}

    def test_refused_connection_ran_nothing(self):
        world, _, outcome = self.run_request(Behaviour.REFUSE)
        assert outcome.status is DispatchStatus.NOT_SENT
        assert not world.targets.executions

    def test_silent_target_ran_it_and_the_outcome_is_unknown(self):
        world, _, outcome = self.run_request(Behaviour.NEVER)
        assert outcome.status is DispatchStatus.UNKNOWN
        assert world.targets.count_payload_runs() == {b"seat 7": 1}

    def test_partitioned_target_was_not_sent_anything(self):
        def cut(world):
            world.partition(["a"], ["t-1"])

        world, _, outcome = self.run_request(Behaviour.ANSWER, prepare=cut)
        assert outcome.status is DispatchStatus.NOT_SENT
        assert not world.targets.executions

    def test_killed_target_leaves_the_outcome_unknown(self):
        def kill_soon(world):
            world.schedule(0.02, lambda: world.targets.kill("t-1"))

        world, _, outcome = self.run_request(Behaviour.ANSWER, prepare=kill_soon)
        assert outcome.status is DispatchStatus.UNKNOWN
        assert world.targets.executions[0].ended is not None

    def test_failing_target_answers_with_a_failure(self):
        _, _, outcome = self.run_request(Behaviour.FAIL)
        assert (outcome.status, outcome.code) == (DispatchStatus.ANSWERED, 500)


class TestPlatform(unittest.TestCase):
    def test_late_outcome_is_unknown(self):
        class Slow:
            def call(self, effect, now):
                return 60.0, PlatformOutcome(effect.token, succeeded=True)

        world = make_world(platform=Slow())
        daemon = world.daemons["a"]
        world._carry_out(daemon, [CallPlatform("toy/1", Heartbeat(1))])
        world.run(10.0)
        assert daemon.node.outcomes == [PlatformOutcome("toy/1", False, True)]


if __name__ == "__main__":
    unittest.main()
