"""Tests of the input queue."""

import unittest

import trio
import trio.testing

from gypsumwalk.drivers.input_queue import CALLS_PER_TURN, InputQueue
from gypsumwalk.fleet_calls import SubmitWorkloadCall
from gypsumwalk.inputs import CallInput, DiskOutcome, PeerInput, PlatformOutcome
from gypsumwalk.instance_actions import OrderReport
from gypsumwalk.replication import Follow

NOW = 1000.0
ANSWERED = PlatformOutcome("dispatcher/1", succeeded=True, report=OrderReport())
CALL = CallInput(1, SubmitWorkloadCall("host", "/queue/job", "", []))
MESSAGE = PeerInput("v1", Follow(1))


class FakeClock:
    def __init__(self):
        self.time = NOW

    def now(self):
        return self.time


class TestInputQueue(unittest.TestCase):
    def test_inputs_keep_their_order_and_the_time_of_arrival(self):
        clock = FakeClock()
        queue = InputQueue(clock)
        for number in range(3):
            clock.time = NOW + number
            queue.put(DiskOutcome(number, succeeded=True))
        clock.time = NOW + 10
        taken = queue.take(2) + queue.take(2)
        assert [item.arrived - NOW for item in taken] == [0, 1, 2]
        assert [item.item.token for item in taken] == [0, 1, 2]
        assert queue.take(1) == []

    def test_a_full_queue_refuses_calls_and_takes_outcomes(self):
        queue = InputQueue(FakeClock(), max_inputs=2)
        for _ in range(2):
            queue.send_nowait(CALL)
        with self.assertRaises(trio.WouldBlock):
            queue.send_nowait(CALL)
        queue.put(ANSWERED)
        assert len(queue) == 3

    # Guards against leases that end because renewals wait behind new jobs.
    def test_outcomes_and_messages_come_before_calls(self):
        queue = InputQueue(FakeClock())
        for number in range(200):
            queue.send_nowait(CallInput(number, CALL.body))
        queue.put(ANSWERED)
        queue.send_nowait(MESSAGE)
        first = [item.item for item in queue.take(64)]
        assert first[:2] == [ANSWERED, MESSAGE]
        taken = first[2:] + [item.item for item in queue.take(200)]
        assert [item.call_id for item in taken] == list(range(200))

    def test_calls_have_a_share_of_each_turn(self):
        queue = InputQueue(FakeClock())
        for number in range(300):
            queue.put(DiskOutcome(number, succeeded=True))
            queue.send_nowait(CallInput(number, CALL.body))
        turns = [[item.item for item in queue.take(64)] for _ in range(3)]
        for turn in turns:
            calls = [item for item in turn if isinstance(item, CallInput)]
            assert (len(turn), len(calls)) == (64, CALLS_PER_TURN)
            assert turn[-CALLS_PER_TURN:] == calls
        tokens = [item.token for turn in turns for item in turn[:-CALLS_PER_TURN]]
        assert tokens == list(range(len(tokens)))

    def test_many_calls_leave_room_for_messages(self):
        queue = InputQueue(FakeClock(), max_inputs=2)
        for _ in range(2):
            queue.send_nowait(CALL)
        queue.send_nowait(MESSAGE)
        assert len(queue) == 3

    def test_waiting_ends_with_an_input(self):
        async def run():
            queue = InputQueue(FakeClock())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(queue.wait)
                await trio.testing.wait_all_tasks_blocked()
                queue.put(ANSWERED)
            await queue.wait()
            return len(queue)

        assert trio.run(run) == 1


if __name__ == "__main__":
    unittest.main()
