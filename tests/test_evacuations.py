"""Tests of the orders to evacuate data centres, and of the state that they leave."""

import unittest
from unittest.mock import patch

import msgspec

from gypsumwalk import replica
from gypsumwalk.evacuations import (
    EvacuationSection,
    FinishEvacuation,
    StartEvacuation,
)
from gypsumwalk.fleet_calls import (
    FinishEvacuationCall,
    ListEvacuationsCall,
    StartEvacuationCall,
)
from gypsumwalk.state import ReplicatedState, Snapshot
from gypsumwalk.upkeep import StartUpkeep, UpkeepSection
from tests._fleet_work import FleetWorld

ACKNOWLEDGED_SECONDS = 1.0
"""Time within which the operator wants an order acknowledged in steady state."""


class TestSection(unittest.TestCase):
    def make_section(self, *commands):
        section = EvacuationSection()
        for index, command in enumerate(commands, 1):
            section.apply(command, index, 0.0)
        return section

    def test_the_last_command_of_a_data_centre_holds(self):
        section = self.make_section(
            StartEvacuation("a"),
            StartEvacuation("b"),
            FinishEvacuation("a"),
            StartEvacuation("b"),
            FinishEvacuation("c"),
        )
        assert section.list_data_centres() == ["b"]

    def test_equal_states_have_equal_dumps(self):
        first = self.make_section(StartEvacuation("a"), StartEvacuation("b"))
        second = self.make_section(StartEvacuation("b"), StartEvacuation("a"))
        assert first.dump() == second.dump()
        loaded = self.make_section(StartEvacuation("c"))
        held = loaded.data_centres
        loaded.load(first.dump())
        assert held == {"a", "b"}
        assert loaded.list_data_centres() == ["a", "b"]


class TestSnapshots(unittest.TestCase):
    # Guards against a daemon that cannot start from the snapshot of the version before,
    # which has no such section.
    def test_a_snapshot_without_the_section_loads(self):
        upkeep = UpkeepSection()
        before = ReplicatedState([upkeep])
        before.apply(StartUpkeep(1, ["m"], 20.0, 1), 1, 0.0)
        loaded, section = UpkeepSection(), EvacuationSection()
        state = ReplicatedState([loaded, section])
        state.load(before.dump())
        assert list(loaded.waves) == [1]
        assert section.list_data_centres() == []
        assert state.applied == 1

    # Guards against daemons that disagree on what is evacuated, as one of them keeps
    # what it had when it installs a snapshot without the section.
    def test_a_snapshot_without_the_section_replaces_it(self):
        section = EvacuationSection()
        state = ReplicatedState([section])
        state.apply(StartEvacuation("a"), 1, 0.0)
        state.load(msgspec.msgpack.encode(Snapshot(2, {})))
        assert section.list_data_centres() == []


class TestOrders(unittest.TestCase):
    """Orders to a simulated cluster with instances in data centre ``dc``."""

    def begin(self, seed=0):
        self.world = FleetWorld(seed, instances=2)
        self.world.begin()

    def start(self, data_centre="dc"):
        return self.world.ask(StartEvacuationCall(data_centre))

    def finish(self, data_centre="dc"):
        return self.world.ask(FinishEvacuationCall(data_centre))

    def list_evacuated(self):
        return self.world.ask(ListEvacuationsCall()).body.data_centres

    def test_an_order_is_acknowledged_in_time_and_listed(self):
        self.begin()
        asked = self.world.now
        assert self.start().status == 200
        assert self.world.now - asked < ACKNOWLEDGED_SECONDS
        assert self.list_evacuated() == ["dc"]
        assert self.finish().status == 200
        assert self.list_evacuated() == []

    # Guards against an operator who repeats an order, as the acknowledgement was lost,
    # and is refused.
    def test_an_order_sent_again_is_acknowledged_again(self):
        self.begin()
        for _ in range(2):
            assert self.start().status == 200
            assert self.list_evacuated() == ["dc"]
        for _ in range(2):
            assert self.finish().status == 200
            assert self.list_evacuated() == []

    # Guards against an order of which the operator only knows that the leader died:
    # the same order to the next leader is acknowledged.
    def test_a_lost_acknowledgement_is_followed_by_the_same_order(self):
        for delay in (0.0005, 0.003, 0.01, 0.02):
            with self.subTest(delay=delay):
                self.begin()
                leader = self.world.find_leader()
                call = self.world.call(StartEvacuationCall("dc"), to=leader)
                self.world.run(delay)
                self.world.kill(leader)
                assert call.lost or call.answer.status == 200
                assert self.start().status == 200
                assert self.list_evacuated() == ["dc"]
                self.world.restart(leader)
                self.world.run(2.0)
                for assembly in self.world.assemblies.values():
                    assert assembly.evacuations.list_data_centres() == ["dc"]

    # Guards against an order that is acknowledged and of which a later leader, with a
    # copy of the log or of a snapshot, knows nothing.
    def test_a_new_leader_knows_the_order(self):
        self.begin()
        assert self.start().status == 200
        leader = self.world.find_leader()
        self.world.kill(leader)
        assert self.list_evacuated() == ["dc"]

    def test_an_order_survives_a_power_loss_of_all_daemons(self):
        for entries in (replica.SNAPSHOT_ENTRIES, 0):
            limit = patch.object(replica, "SNAPSHOT_ENTRIES", entries)
            with self.subTest(entries=entries), limit:
                self.begin()
                assert self.start().status == 200
                self.world.lose_power()
                assert self.list_evacuated() == ["dc"]
                assert self.finish().status == 200
                self.world.lose_power()
                assert self.list_evacuated() == []

    # Guards against an answer that names a state which another order has overtaken: an
    # order that changes nothing now may change what a pending one leaves.
    def test_an_order_and_its_withdrawal_overlap(self):
        self.begin()
        assert self.start().status == 200
        leader = self.world.find_leader()
        bodies = (FinishEvacuationCall("dc"), StartEvacuationCall("dc")) * 4
        calls = []
        for body in bodies:
            calls.append(self.world.call(body, to=leader))
            self.world.run(0.002)
        self.world.run(1.0)
        assert [call.answer.status for call in calls] == [200] * len(calls)
        # Each order has a command of its own, whatever the state was as it arrived.
        indexes = [self.find_index(call) for call in calls]
        assert min(indexes) > 0
        assert len(set(indexes)) == len(calls)
        last = max(calls, key=self.find_index)
        expected = ["dc"] if isinstance(last.body, StartEvacuationCall) else []
        assert self.list_evacuated() == expected

    def find_index(self, call):
        """Return the index in the log of the command of an order."""
        (index,) = [
            entry.effect.attributes["index"]
            for before, entry in zip(
                self.world.trace, self.world.trace[1:], strict=False
            )
            if getattr(before.effect, "call_id", 0) == call.call_id
            and getattr(entry.effect, "attributes", {}).get("order")
        ]
        return index

    def test_two_data_centres_are_evacuated_at_once(self):
        self.world = FleetWorld(instances=2)
        instance = self.world.get_instance(1)
        instance.registered = msgspec.structs.replace(
            instance.registered, data_centre="other"
        )
        self.world.begin()
        leader = self.world.find_leader()
        calls = [
            self.world.call(StartEvacuationCall(name), to=leader)
            for name in ("dc", "other")
        ]
        self.world.run(1.0)
        assert [call.answer.status for call in calls] == [200, 200]
        assert self.list_evacuated() == ["dc", "other"]
        assert self.finish("dc").status == 200
        assert self.list_evacuated() == ["other"]

    # Guards against a wrong name that is acknowledged, so that the operator takes a
    # data centre for empty which still gets work.
    def test_a_data_centre_that_does_not_exist_is_refused(self):
        self.begin()
        for answer in (self.start("nowhere"), self.finish("nowhere")):
            assert answer.status == 404
            assert '"nowhere"' in answer.body.detail
            assert answer.body.outcome == "not run"
        assert self.list_evacuated() == []

    def test_a_data_centre_of_the_settings_needs_no_instance(self):
        self.begin()
        leader = self.world.get_leader()
        leader.evacuation_handler.data_centres = frozenset({"empty"})
        assert self.start("empty").status == 200
        assert self.list_evacuated() == ["empty"]

    # Guards against an evacuation that cannot be withdrawn once the last instance of
    # the data centre has left.
    def test_an_evacuated_data_centre_is_known(self):
        self.begin()
        assert self.start().status == 200
        leader = self.world.get_leader()
        leader.workloads.instances.clear()
        assert self.finish().status == 200

    # Guards against a definite refusal by a new leader that has no list of machines.
    def test_a_data_centre_is_not_refused_before_the_machines_are_listed(self):
        self.begin()
        handler = self.world.get_leader().evacuation_handler
        handler._directory.machines = {}
        answer = self.start("nowhere")
        assert answer.status == 503
        assert answer.headers["Retry-After"] == "1"

    def test_a_daemon_that_does_not_lead_names_the_leader(self):
        self.begin()
        leader = self.world.find_leader()
        follower = next(name for name in self.world.names if name != leader)
        call = self.world.call(StartEvacuationCall("dc"), to=follower)
        self.world.run(0.5)
        assert call.answer.status == 503
        assert call.answer.headers["Gypsumwalk-Leader"] == leader

    # Guards against an acknowledgement without a quorum.
    def test_an_order_without_a_quorum_has_an_unknown_outcome(self):
        self.begin()
        leader = self.world.find_leader()
        for name in self.world.names:
            if name != leader:
                self.world.kill(name)
        call = self.world.call(StartEvacuationCall("dc"), to=leader)
        self.world.run(3.0)
        assert call.answer.status in (502, 503)
        for name in self.world.names:
            if name != leader:
                self.world.restart(name)
        self.world.run(3.0)
        assert self.start().status == 200
        assert self.list_evacuated() == ["dc"]


if __name__ == "__main__":
    unittest.main()
