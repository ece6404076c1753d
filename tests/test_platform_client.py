"""Tests of the client of the platform, against a server on loopback."""

import json
import sys
import threading
import unittest
from pathlib import Path
from unittest import mock

import trio
from cheroot.wsgi import Server

from gypsumwalk.declaration_records import Resources
from gypsumwalk.drivers import http_exchange
from gypsumwalk.effects import CallPlatform
from gypsumwalk.instance_actions import (
    AdviceReport,
    AskAdvice,
    EndedRun,
    InstanceReport,
    ListMachines,
    MachineInfo,
    MachineReport,
    MaintainMachine,
    MoveMachine,
    OrderReport,
    PaceRun,
    RenewLease,
    RunningTask,
    StartRun,
    StopRun,
)

FOLDER = str(Path(__file__).parent.parent / "platform")
if FOLDER not in sys.path:
    sys.path.append(FOLDER)

from adapter_client import InstanceClient  # noqa: E402

TASK = "5c0e7a21d94b36f8.0.1.17"


class TestClient(unittest.TestCase):
    def setUp(self):
        self.calls = []
        self.status, self.answer = 200, {}
        self.server = Server(("127.0.0.1", 0), self.serve, numthreads=2)
        self.server.shutdown_timeout = 0
        self.server.prepare()
        threading.Thread(target=self.server.serve, daemon=True).start()
        self.addCleanup(self.server.stop)
        self.address = f"127.0.0.1:{self.server.bind_addr[1]}"
        self.client = InstanceClient(self.address, self.address)
        self.addCleanup(self.client.close)

    def serve(self, environ, start_response):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        content = environ["wsgi.input"].read(length)
        is_read = environ["REQUEST_METHOD"] == "GET"
        body = None if is_read and not content else json.loads(content)
        expected = environ.get("HTTP_EXPECT_INSTANCE")
        self.calls.append((environ["PATH_INFO"], body, expected))
        self.environ = environ
        answer = self.answer
        if environ["REQUEST_METHOD"] == "GET":
            answer = self.answer[environ["QUERY_STRING"]]
        content = json.dumps(answer).encode()
        headers = [("Content-Length", str(len(content)))]
        start_response(f"{self.status} Status", headers)
        return [content]

    def call(self, action):
        return trio.run(self.client.call, CallPlatform("token", action, 1.0))

    def test_advice_is_requested_and_decoded(self):
        rows = [["i-1", "t-1"], ["i-2", "t-2"]]
        self.answer = {"allowed_workers": rows, "validity_ms": 3000}
        outcome = self.call(AskAdvice("5c0e7a21d94b36f8.0.1", ["i-1", "i-2", "i-3"]))
        workers = ["i-1", "i-2", "i-3"]
        body = {"step": "5c0e7a21d94b36f8.0.1", "workers": workers}
        assert self.calls == [("/advise", body, None)]
        assert outcome.report == AdviceReport({"i-1": "t-1", "i-2": "t-2"}, 3.0)

    def test_an_overloaded_advice_service_gives_no_report(self):
        self.status = 429
        outcome = self.call(AskAdvice("5c0e7a21d94b36f8.0.1", ["i-1"]))
        assert outcome.report is None
        assert not outcome.succeeded

    def test_malformed_advice_is_unknown(self):
        self.answer = {"allowed_workers": [["i-1"]]}
        outcome = self.call(AskAdvice("5c0e7a21d94b36f8.0.1", ["i-1"]))
        assert outcome.report is None
        assert outcome.unknown

    def test_a_pace_is_ordered(self):
        self.answer = {"clock_ms": 482113, "born": 7}
        outcome = self.call(PaceRun("i-1", self.address, 7, TASK, 2, 40))
        body = {"task": TASK, "run": 2, "percent": 40, "fencing_token": 7}
        assert self.calls == [("/pace", body, "i-1")]
        assert outcome.report == OrderReport(482113, 7, "")

    def test_a_start_sends_its_ticket(self):
        self.status, self.answer = 409, {"clock_ms": 5, "reason": "ticket"}
        start = StartRun("i-1", self.address, 7, TASK, 1, "spec", 99, ticket="t-1")
        outcome = self.call(start)
        assert self.calls[0][1]["ticket"] == "t-1"
        assert outcome.report.refused == "ticket"

    def test_a_start_has_only_the_fields_that_are_set(self):
        outcome = self.call(StartRun("i-1", self.address, 7, TASK, 1, "spec", 99))
        body = {"task": TASK, "run": 1, "fencing_token": 7}
        body |= {"spec": "spec", "deadline_ms": 99}
        assert self.calls == [("/run-start", body, "i-1")]
        assert outcome.succeeded

    def test_a_start_sends_its_checkpoint(self):
        start = StartRun("i-1", self.address, 7, TASK, 1, "spec", 99, checkpoint="c-1")
        self.call(start)
        assert self.calls[0][1]["last_checkpoint"] == "c-1"

    def test_a_stop_is_ordered(self):
        self.status = 421
        outcome = self.call(StopRun("i-1", self.address, 7, TASK, 2))
        body = {"task": TASK, "run": 2, "fencing_token": 7}
        assert self.calls == [("/run-stop", body, "i-1")]
        assert outcome.report == OrderReport(refused="identity")

    def test_a_lease_is_renewed(self):
        self.answer = {"clock_ms": 5, "born": 7, "running": [[TASK, 1, "c", 3]]}
        self.answer["ended_runs"] = [[4, TASK, 2, "done", "c", "extra"]]
        outcome = self.call(RenewLease("i-1", self.address, 7, 4, 99, 0.5))
        body = {"fencing_token": 7, "ack_cursor": 4, "deadline_ms": 99, "wait_ms": 500}
        assert self.calls == [("/hold", body, "i-1")]
        running = [RunningTask(TASK, 1, "c", 3)]
        ended = [EndedRun(4, TASK, 2, "done", "c")]
        assert outcome.report == InstanceReport(5, 7, running, ended)

    def test_a_lease_that_is_only_listed_has_no_deadline(self):
        self.call(RenewLease("i-1", self.address, 7, 4, None, 0.0))
        body = {"fencing_token": 7, "ack_cursor": 4}
        assert self.calls == [("/hold", body, "i-1")]

    def test_machines_are_listed_page_by_page(self):
        machine = {"machine": "m-1", "pool": "s", "state": "upkeep"}
        self.answer = {
            "": {"machines": [machine], "next_page_token": "a&b c"},
            "page_token=a%26b+c": {"machines": [machine | {"machine": "m-2"}]},
        }
        outcome = self.call(ListMachines())
        machines = [
            MachineInfo(
                machine=name,
                service="s",
                state="maintenance",
                data_centre="",
                labels=[],
                capacity=Resources(0, 0, 0),
                instance="",
            )
            for name in ("m-1", "m-2")
        ]
        assert outcome.report.machines == machines

    def test_machines_are_changed(self):
        outcome = self.call(MoveMachine(machine="m", service="s", fence=7, holder="h"))
        assert self.calls == [("/machine-move", {"machine": "m", "pool": "s"}, None)]
        assert self.environ["HTTP_DUTY_HOLDER"] == "h"
        assert self.environ["HTTP_FENCING_TOKEN"] == "7"
        assert outcome.report == MachineReport()
        self.status = 429
        upkeep = MaintainMachine(machine="m", wave=3, fence=7, holder="h")
        outcome = self.call(upkeep)
        assert self.calls[1] == ("/machine-upkeep", {"machine": "m", "wave": 3}, None)
        assert outcome.report == MachineReport("limit")

    # Guards against a machine that counted as staying, although its order may have been
    # carried out (issue 43).
    def test_an_order_to_a_machine_without_a_clear_answer_is_unknown(self):
        self.status, self.answer = 503, {}
        for action in (
            MoveMachine(machine="m", service="s", fence=7, holder="h"),
            MaintainMachine(machine="m", wave=1, fence=7, holder="h"),
        ):
            outcome = self.call(action)
            assert outcome.unknown
            assert not outcome.succeeded

    # Guards against a start, a stop or a pace that counts as refused although it may
    # have been carried out: the platform says only of 429 and 503 that it has not.
    def test_an_order_to_an_instance_without_a_clear_answer_is_unknown(self):
        for action in (
            StartRun("i-1", self.address, 7, TASK, 1, "spec", 99),
            StopRun("i-1", self.address, 7, TASK, 2),
            PaceRun("i-1", self.address, 7, TASK, 2, 40),
        ):
            for status in (201, 202, 302, 404, 408, 418, 500, 502, 504):
                with self.subTest(action=type(action).__name__, status=status):
                    self.status, self.answer = status, {"clock_ms": 5}
                    outcome = self.call(action)
                    assert outcome.unknown
                    assert not outcome.succeeded
                    assert outcome.report.refused == "unclear"
                    assert str(status) in outcome.report.detail

    def test_an_unhealthy_instance_has_done_nothing(self):
        for status in (429, 503):
            with self.subTest(status=status):
                self.status = status
                outcome = self.call(StopRun("i-1", self.address, 7, TASK, 2))
                assert not outcome.unknown
                assert outcome.report.refused == "busy"

    def test_a_refused_connection_is_no_unknown_outcome(self):
        self.server.stop()
        outcome = self.call(StopRun("i-1", self.address, 7, TASK, 2))
        assert not outcome.succeeded
        assert not outcome.unknown

    # Guards against a leader that spends a quarter of a call on the same head again.
    def test_renewals_of_an_instance_share_an_encoded_head(self):
        self.answer = {"clock_ms": 482113, "born": 7}
        with mock.patch.object(
            http_exchange.h11, "Request", wraps=http_exchange.h11.Request
        ) as encoded:
            for deadline in range(100, 110):
                action = RenewLease("i-1", self.address, 7, 4, deadline, 0.0)
                assert self.call(action).succeeded
            assert encoded.call_count == 1
            assert self.call(RenewLease("i-2", self.address, 7, 4, 99, 0.0)).succeeded
            assert encoded.call_count == 2
        deadlines = [body["deadline_ms"] for _, body, _ in self.calls]
        assert deadlines == [*range(100, 110), 99]
        assert [expected for *_, expected in self.calls] == ["i-1"] * 10 + ["i-2"]

    def test_the_wait_before_each_call_is_recorded(self):
        waits = []
        client = InstanceClient(self.address, "", record_wait=waits.append)
        self.addCleanup(client.close)
        call = CallPlatform("token", StopRun("i-1", self.address, 7, TASK, 2), 1.0)
        assert trio.run(client.call, call).succeeded
        assert len(waits) == 1
        assert 0 < waits[0] < 1


if __name__ == "__main__":
    unittest.main()
