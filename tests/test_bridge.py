"""Tests of the bridge from server threads to the event loop, and of its clock."""

import unittest

import msgspec
import trio
import trio.testing

from gypsumwalk.drivers.bridge import CallBridge
from gypsumwalk.drivers.clock import EpochClock
from gypsumwalk.effects import Answer, Respond
from gypsumwalk.inputs import Input


class Question(msgspec.Struct, frozen=True):
    text: str


async def call(bridge, text, *, timeout=30.0):
    def block():
        return bridge.call(
            Question(text), credential="k", payload=b"p", timeout=timeout
        )

    return await trio.to_thread.run_sync(block)


class TestCallBridge(unittest.TestCase):
    def test_answers_given_out_of_order_reach_their_own_calls(self):
        async def run():
            sender, receiver = trio.open_memory_channel[Input](8)
            bridge = CallBridge(trio.lowlevel.current_trio_token(), sender)
            answers = {}

            async def store_answer(text):
                answers[text] = await call(bridge, text)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(store_answer, "first")
                nursery.start_soon(store_answer, "second")
                items = [await receiver.receive(), await receiver.receive()]
                for item in reversed(items):
                    answer = Answer(200, payload=item.body.text.encode())
                    bridge.resolve(Respond(item.call_id, answer))
            return answers, bridge.waiting

        answers, waiting = trio.run(run)
        assert answers["first"].payload == b"first"
        assert answers["second"].payload == b"second"
        assert waiting == 0

    def test_full_channel_refuses_as_not_run(self):
        async def run():
            sender, _receiver = trio.open_memory_channel[Input](0)
            bridge = CallBridge(trio.lowlevel.current_trio_token(), sender)
            return await call(bridge, "x")

        answer = trio.run(run)
        assert answer.status == 503
        assert answer.body.outcome == "not run"
        assert answer.headers == {"Retry-After": "1"}

    def test_timeout_is_reported_as_outcome_unknown(self):
        async def run():
            sender, _receiver = trio.open_memory_channel[Input](1)
            bridge = CallBridge(trio.lowlevel.current_trio_token(), sender)
            return await call(bridge, "x", timeout=0.0)

        assert trio.run(run).body.outcome == "outcome unknown"

    def test_closing_answers_pending_calls_and_refuses_later_ones(self):
        async def run():
            sender, receiver = trio.open_memory_channel[Input](1)
            bridge = CallBridge(trio.lowlevel.current_trio_token(), sender)
            answers = []

            async def store_answer():
                answers.append(await call(bridge, "waits"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(store_answer)
                await receiver.receive()
                bridge.close()
            answers.append(await call(bridge, "late"))
            return [(answer.status, answer.body.outcome) for answer in answers]

        assert trio.run(run) == [(502, "outcome unknown"), (503, "not run")]


class TestEpochClock(unittest.TestCase):
    def test_clock_follows_the_event_loop(self):
        async def run():
            clock = EpochClock(1000.0)
            readings = [clock.now()]
            await trio.sleep(2.5)
            readings.append(clock.now())
            return readings

        mock = trio.testing.MockClock(autojump_threshold=0)
        assert trio.run(run, clock=mock) == [1000.0, 1002.5]

    def test_other_threads_read_the_clock(self):
        async def run():
            clock = EpochClock(1000.0)
            await trio.sleep(2.5)
            return await trio.to_thread.run_sync(clock.now)

        mock = trio.testing.MockClock(autojump_threshold=0)
        assert trio.run(run, clock=mock) == 1002.5


if __name__ == "__main__":
    unittest.main()
