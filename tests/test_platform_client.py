"""Tests of the client of the platform, against a server on loopback."""

import json
import sys
import threading
import unittest
from pathlib import Path

from cheroot.wsgi import Server

from gypsumwalk.effects import CallPlatform
from gypsumwalk.instance_actions import (
    AdviceReport,
    AskAdvice,
    OrderReport,
    PaceRun,
    StartRun,
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
        body = json.loads(environ["wsgi.input"].read(length))
        expected = environ.get("HTTP_EXPECT_INSTANCE")
        self.calls.append((environ["PATH_INFO"], body, expected))
        content = json.dumps(self.answer).encode()
        headers = [("Content-Length", str(len(content)))]
        start_response(f"{self.status} Status", headers)
        return [content]

    def call(self, action):
        return self.client._execute(CallPlatform("token", action, 1.0))

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


if __name__ == "__main__":
    unittest.main()
