"""Tests of announcements that are answered without the node's event loop."""

import io
import sys
import unittest
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

import msgspec

from gypsumwalk.effects import Answer
from gypsumwalk.fleet_calls import AnnounceInstanceCall, ReadDeclarationCall
from tests._fleet_work import FleetWorld

FOLDER = str(Path(__file__).parent.parent / "platform")
if FOLDER not in sys.path:
    sys.path.append(FOLDER)

from control import CallApplication  # noqa: E402


class TestAnswers(unittest.TestCase):
    def setUp(self):
        self.world = FleetWorld()
        self.world.begin()
        self.registered = self.world.get_instance(0).registered
        assert self.world.run_until(self.is_registered, within=5.0)
        self.announce()

    def is_registered(self):
        return all(
            self.registered.life in assembly.workloads.instances
            for assembly in self.world.assemblies.values()
        )

    def announce(self, **changes):
        """Return the statuses of the direct answer and of the node of each daemon."""
        registered = msgspec.structs.replace(self.registered, **changes)
        call = AnnounceInstanceCall(registered)
        statuses = []
        for name, assembly in self.world.assemblies.items():
            direct = assembly.known_announcements.acknowledge(call)
            asked = self.world.call(call, to=name)
            assert self.world.run_until(lambda asked=asked: asked.ended, within=2.0)
            statuses.append((direct and direct.status, asked.answer.status))
        return statuses

    def test_what_is_registered_is_answered_as_by_the_node(self):
        assert self.announce() == [(200, 200)] * 3

    def test_what_is_new_or_changed_goes_to_the_node(self):
        changes = (
            {"draining": True},
            {"labels": ["b"]},
            {"address": "host-other:80"},
            {"born": self.registered.born + 1},
            {"born": self.registered.born - 1},
            {"instance": "i-new", "address": "host-new:80"},
        )
        for change in changes:
            registered = msgspec.structs.replace(self.registered, **change)
            for assembly in self.world.assemblies.values():
                call = AnnounceInstanceCall(registered)
                assert assembly.known_announcements.acknowledge(call) is None, change

    def test_a_draining_life_stays_known(self):
        self.announce(draining=True)
        self.world.run(1.0)
        assert self.announce() == [(200, 200)] * 3
        assert self.announce(draining=True) == [(200, 200)] * 3

    def test_a_life_that_was_replaced_goes_to_the_node(self):
        self.announce(born=self.registered.born + 1000)
        self.world.run(1.0)
        for direct, _ in self.announce():
            assert direct is None

    # Guards against a grace period of a new leader that begins with a later call.
    def test_the_first_call_of_a_term_goes_to_the_node(self):
        leader = self.world.assemblies[self.world.find_leader()]
        call = AnnounceInstanceCall(self.registered)
        leader.dispatcher._term += 1
        assert leader.known_announcements.acknowledge(call) is None
        leader.dispatcher._term -= 1
        assert leader.known_announcements.acknowledge(call) == Answer(200)

    def test_other_calls_go_to_the_node(self):
        for assembly in self.world.assemblies.values():
            call = ReadDeclarationCall()
            assert assembly.known_announcements.acknowledge(call) is None


class TestServing(unittest.TestCase):
    def serve(self, acknowledged, is_closed=False):
        """Serve a call and return the numbers of calls to the node, and the status."""
        bridge = mock.Mock(is_closed=is_closed)
        bridge.call.return_value = Answer(200)
        application = CallApplication(
            SimpleNamespace(watchdog=mock.Mock(), bridge=bridge),
            lambda *_: ReadDeclarationCall(),
            mock.Mock(),
            lambda: False,
            lambda call: acknowledged,
        )
        environ = {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": "/instances/i/heartbeat",
            "wsgi.input": io.BytesIO(),
        }
        start_response = mock.Mock()
        application(environ, start_response)
        return bridge.call.call_count, start_response.call_args.args[0]

    # Each of the announcements passed through the event loop and two threads.
    def test_a_known_call_does_not_reach_the_event_loop(self):
        assert self.serve(Answer(200)) == (0, "200 OK")

    def test_another_call_reaches_the_event_loop(self):
        assert self.serve(None) == (1, "200 OK")

    def test_a_daemon_that_stops_refuses_known_calls_too(self):
        assert self.serve(Answer(200), is_closed=True) == (1, "200 OK")


if __name__ == "__main__":
    unittest.main()
