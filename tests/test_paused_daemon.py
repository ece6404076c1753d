"""Tests that a daemon which was paused does not act on a leadership that ran out."""

import unittest
from types import SimpleNamespace

import trio

from gypsumwalk.drivers.loop_monitor import LoopMonitor
from gypsumwalk.drivers.metrics import Metrics
from gypsumwalk.drivers.platform_calls import PlatformCalls
from gypsumwalk.effects import CallPlatform
from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.instance_actions import ListMachines, MoveMachine, StopRun
from tests._fleet_work import FleetWorld

LEASE_END = 10.0
MOVE = MoveMachine("m-1", "service-a", "v0", 7)
STOP = StopRun("i-1", "10.0.0.1:80", 7, "0000000000000001.0.0.0", 1)


class RecordingClient:
    def __init__(self):
        self.calls = []

    async def call(self, call):
        self.calls.append(call.action)
        return PlatformOutcome(call.token, succeeded=True)


class TestCallsAfterAPause(unittest.TestCase):
    """The pause is between the decision and the sending of a call.

    An instance or machine that the next leader has not called yet knows no higher fence
    than the one of the paused daemon, and would carry the order out.
    """

    def make_calls(self, now):
        self.client, self.outcomes, metrics = RecordingClient(), [], Metrics()
        return PlatformCalls(
            self.client,
            SimpleNamespace(put=self.outcomes.append),
            clock=SimpleNamespace(now=lambda: now),
            monitor=LoopMonitor(metrics, lambda record: None),
            metrics=metrics,
            record=lambda record: None,
            may_call=lambda at: at < LEASE_END,
        )

    def test_a_call_is_not_made_once_the_lease_has_ended(self):
        for action in (MOVE, STOP, ListMachines()):
            for pause in (1.0, 20.0):
                with self.subTest(action=type(action).__name__, pause=pause):
                    calls = self.make_calls(LEASE_END + pause)
                    trio.run(calls.run, CallPlatform("token", action, 2.0))
                    assert self.client.calls == []
                    # It was certainly not carried out.
                    assert self.outcomes == [PlatformOutcome("token", False)]

    def test_a_call_is_made_while_the_lease_holds(self):
        calls = self.make_calls(LEASE_END - 0.1)
        trio.run(calls.run, CallPlatform("token", MOVE, 2.0))
        assert self.client.calls == [MOVE]

    def test_only_the_leader_may_call(self):
        world = FleetWorld()
        world.begin()
        leader = world.find_leader()
        for name in world.names:
            own = world.daemons[name].read_clock(world.now)
            assert world.assemblies[name].may_call(own) is (name == leader)
            assert not world.assemblies[name].may_call(own + 20.0)


if __name__ == "__main__":
    unittest.main()
