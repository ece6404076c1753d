"""Tests of the input queue and of the statistics of the event loop."""

import unittest

import trio
import trio.testing

from gypsumwalk.drivers.input_queue import CALLS_PER_TURN, InputQueue, QueuedInput
from gypsumwalk.drivers.loop_monitor import (
    LATE_SECONDS,
    REPORT_INTERVAL_SECONDS,
    LoopMonitor,
    name_input,
)
from gypsumwalk.drivers.metrics import Metrics
from gypsumwalk.events import Event
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


class TestLoopMonitor(unittest.TestCase):
    def setUp(self):
        self.metrics = Metrics()
        self.records = []
        self.monitor = LoopMonitor(self.metrics, self.records.append)
        self.monitor.end_turn(NOW - REPORT_INTERVAL_SECONDS, 0)

    def handle(self, item, *, waited=0.0, seconds=0.0):
        queued = QueuedInput(item, NOW - waited)
        self.monitor.count_input(queued, NOW, NOW + seconds)

    def render(self):
        return self.metrics.render().decode()

    def test_inputs_are_counted_by_kind_with_their_time(self):
        for _ in range(3):
            self.handle(ANSWERED, seconds=0.25)
        self.handle(CALL)
        self.monitor.count_timers(NOW - 0.1, NOW, NOW + 0.5)
        self.monitor.end_turn(NOW, 0)
        for line in (
            'gypsumwalk_inputs_total{kind="OrderReport"} 3.0',
            'gypsumwalk_inputs_total{kind="SubmitWorkloadCall"} 1.0',
            'gypsumwalk_decision_seconds_total{kind="OrderReport"} 0.75',
            'gypsumwalk_decision_seconds_total{kind="timers"} 0.5',
        ):
            assert line in self.render(), line

    def test_the_longest_delay_of_a_turn_is_observed(self):
        self.handle(CALL, waited=0.1)
        self.handle(ANSWERED, waited=0.05)
        self.monitor.count_timers(NOW - 0.08, NOW, NOW)
        self.monitor.end_turn(NOW, 0)
        assert "gypsumwalk_loop_lateness_seconds_count 1.0" in self.render()
        assert "gypsumwalk_loop_lateness_seconds_sum 0.1" in self.render()

    def test_a_late_loop_is_recorded_once_an_interval(self):
        for late in (0.5, LATE_SECONDS + 0.01):
            self.handle(CALL, waited=late)
            self.monitor.begin_call()
            self.monitor.end_turn(NOW, 7)
        assert [record.event for record in self.records] == [Event.LOOP_LATE]
        attributes = self.records[0].attributes
        assert (attributes["late"], attributes["queued"]) == (0.5, 7)
        self.monitor.end_turn(NOW + REPORT_INTERVAL_SECONDS, 0)
        assert len(self.records) == 2
        assert self.records[1].attributes["calls"] == 2

    def test_a_loop_in_time_is_not_recorded(self):
        self.handle(CALL, waited=LATE_SECONDS / 2)
        self.monitor.end_turn(NOW, 0)
        assert self.records == []

    # Guards against delays of half a minute reported at each change of the leader.
    def test_a_timer_set_to_the_past_is_not_late(self):
        self.monitor.end_turn(NOW - 0.01, 0)
        self.monitor.count_timers(NOW - 30, NOW, NOW)
        self.monitor.end_turn(NOW, 0)
        assert self.records == []

    def test_the_first_timers_are_not_late(self):
        monitor = LoopMonitor(self.metrics, self.records.append)
        monitor.count_timers(0.0, NOW, NOW)
        monitor.end_turn(NOW, 0)
        assert self.records == []

    def test_calls_in_progress_are_reported(self):
        self.monitor.begin_call()
        self.monitor.begin_call()
        self.monitor.end_call()
        self.monitor.end_turn(NOW, 0)
        assert "gypsumwalk_platform_calls_in_progress 1.0" in self.render()

    def test_a_kind_names_the_content(self):
        failed = PlatformOutcome("dispatcher/1", succeeded=False)
        names = [name_input(item) for item in (MESSAGE, CALL, ANSWERED, failed)]
        expected = ["Follow", "SubmitWorkloadCall", "OrderReport", "PlatformOutcome"]
        assert names == expected


if __name__ == "__main__":
    unittest.main()
