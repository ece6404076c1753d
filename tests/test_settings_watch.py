"""Tests of settings that are reloaded while a daemon runs."""

import unittest
from functools import partial

import trio
import trio.testing

from gypsumwalk.drivers.settings_watch import SettingsWatch
from gypsumwalk.errors import BadBoundary
from gypsumwalk.events import Event


class TestSettingsWatch(unittest.TestCase):
    def setUp(self):
        self.content = self.loaded = "first"
        self.events = []
        self.watch = SettingsWatch(self.load, lambda item: self.events.append(item))

    def load(self):
        if not self.content:
            raise BadBoundary("the file is cut short")
        changed = ["seeds"] if self.content != self.loaded else []
        self.loaded = self.content
        return changed

    def run_for(self, seconds, *, actions=()):
        """Run the watch, and call each action at its time in seconds."""

        async def act(at, action):
            await trio.sleep(at)
            action()

        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.watch.run)
                for at, action in actions:
                    nursery.start_soon(act, at, action)
                await trio.sleep(seconds)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def write(self, content):
        self.content = content

    def list_events(self):
        return [item.event for item in self.events]

    # Guards against seeds that a daemon kept until its end, as the file was being
    # written when the signal came (issue 43).
    def test_a_file_that_was_cut_short_is_read_again(self):
        self.write("")
        self.watch.reload()
        assert self.list_events() == [Event.RELOAD_REFUSED]
        self.run_for(10.0, actions=[(1.0, partial(self.write, "second"))])
        assert self.loaded == "second"
        assert self.list_events() == [Event.RELOAD_REFUSED, Event.DAEMON_RELOADED]

    def test_a_change_without_a_signal_takes_effect(self):
        self.run_for(10.0, actions=[(1.0, partial(self.write, "second"))])
        assert self.loaded == "second"
        assert self.list_events() == [Event.DAEMON_RELOADED]

    def test_a_reason_of_a_refusal_is_logged_once(self):
        self.write("")
        self.run_for(30.0)
        assert self.list_events() == [Event.RELOAD_REFUSED]

    def test_a_requested_reload_is_logged_also_without_a_change(self):
        self.watch.reload()
        assert self.list_events() == [Event.DAEMON_RELOADED]
        assert self.events[0].attributes == {"changed": "nothing"}


if __name__ == "__main__":
    unittest.main()
