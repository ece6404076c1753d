"""Tests of the operator client, which tries the daemons in order."""

import socket
import unittest
from contextlib import ExitStack
from threading import Thread

from gypsumwalk.drivers.client import OperatorClient, Refused
from gypsumwalk.errors import BadBoundary, OutcomeUnknown, UnreachableDaemon
from tests._stub_daemon import make_problem, run_stub


class DisconnectingServer:
    """A server that reads each request and closes the connection unanswered."""

    def __init__(self):
        self.calls = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._thread = Thread(target=self._run)
        self._thread.start()

    def _run(self):
        while True:
            connection, _ = self._listener.accept()
            with connection:
                if not connection.recv(65536):
                    return
                self.calls += 1

    def close(self):
        host, _, port = self.address.partition(":")
        socket.create_connection((host, int(port))).close()
        self._thread.join()
        self._listener.close()


class TestClient(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        stack = ExitStack()
        cls.addClassCleanup(stack.close)
        cls.first = stack.enter_context(run_stub())
        cls.second = stack.enter_context(run_stub())

    def setUp(self):
        self.first.reset()
        self.second.reset()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.closed_address = f"127.0.0.1:{listener.getsockname()[1]}"

    def open(self, *addresses, **options):
        client = OperatorClient(addresses, **options)
        self.addCleanup(client.close)
        return client

    def open_disconnecting_server(self):
        server = DisconnectingServer()
        self.addCleanup(server.close)
        return server

    def test_sends_its_key_and_returns_the_whole_answer(self):
        self.first.answer("POST", "/v1/x", 200, b"x" * 3_000_000)
        client = self.open(self.first.address, key="k1")
        reply = client.call("POST", "/v1/x", {"a": 1}, idempotent=False)
        assert reply.body == b"x" * 3_000_000
        assert self.first.calls == [("POST", "/v1/x", b'{"a":1}', "Bearer k1")]

    def test_unsent_call_goes_to_the_next_daemon_whether_idempotent_or_not(self):
        self.first.answer("POST", "/v1/x", 200, {"done": True})
        for idempotent in (True, False):
            client = self.open(self.closed_address, self.first.address)
            reply = client.call("POST", "/v1/x", {}, idempotent=idempotent)
            assert reply.decode() == {"done": True}

    def test_sent_call_is_retried_only_when_idempotent(self):
        self.first.answer("POST", "/v1/x", 200, {})
        disconnecting = self.open_disconnecting_server()
        client = self.open(disconnecting.address, self.first.address)
        client.call("POST", "/v1/x", {}, idempotent=True)
        assert len(self.first.calls) == 1
        with self.assertRaises(OutcomeUnknown):
            client.call("POST", "/v1/x", {}, idempotent=False)
        assert len(self.first.calls) == 1 and disconnecting.calls == 2

    def test_not_run_from_a_later_daemon_does_not_settle_an_earlier_sent_attempt(self):
        refusal = make_problem("leaving", 503)
        self.first.answer("POST", "/v1/x", 503, refusal)
        disconnecting = self.open_disconnecting_server()
        for addresses in (
            (disconnecting.address, self.first.address),
            (disconnecting.address, self.closed_address),
        ):
            with self.assertRaises(OutcomeUnknown):
                self.open(*addresses).call("POST", "/v1/x", {}, idempotent=True)

    def test_temporary_refusal_is_retried_only_when_idempotent(self):
        refusal = make_problem("no-quorum", 503)
        self.first.answer("GET", "/v1/x", 503, refusal)
        self.second.answer("GET", "/v1/x", 200, {})
        client = self.open(self.first.address, self.second.address)
        assert client.call("GET", "/v1/x", idempotent=True).status == 200
        with self.assertRaises(Refused) as caught:
            client.call("GET", "/v1/x", idempotent=False)
        assert caught.exception.problem.type == "/problems/no-quorum"
        assert len(self.second.calls) == 1

    def test_refusal_with_unknown_outcome_is_never_retried(self):
        refusal = make_problem("overloaded", 503, "outcome unknown")
        self.first.answer("GET", "/v1/x", 503, refusal)
        client = self.open(self.first.address, self.second.address)
        with self.assertRaises(Refused):
            client.call("GET", "/v1/x", idempotent=True)
        assert self.second.calls == []

    def test_unreachable_daemons_raise_a_typed_error_that_names_each(self):
        client = self.open(self.closed_address, self.closed_address)
        with self.assertRaises(UnreachableDaemon) as caught:
            client.call("GET", "/v1/x", idempotent=True)
        assert str(caught.exception).count(self.closed_address) == 2

    def test_daemon_that_hangs_leaves_time_for_the_next(self):
        with socket.create_server(("127.0.0.1", 0)) as hanging:
            address = f"127.0.0.1:{hanging.getsockname()[1]}"
            self.first.answer("GET", "/v1/x", 200, {})
            client = self.open(address, self.first.address, deadline=0.4)
            assert client.call("GET", "/v1/x", idempotent=True).status == 200
            with self.assertRaises(OutcomeUnknown):
                client.call("GET", "/v1/x", idempotent=False)

    def test_minimum_attempt_timeout_overrides_an_equal_share_of_the_deadline(self):
        with socket.create_server(("127.0.0.1", 0)) as hanging:
            address = f"127.0.0.1:{hanging.getsockname()[1]}"
            self.first.answer("GET", "/v1/x", 200, {})
            client = self.open(
                address, self.first.address, deadline=0.4, min_attempt_timeout=0.4
            )
            with self.assertRaises(OutcomeUnknown):
                client.call("GET", "/v1/x", idempotent=True)
        assert self.first.calls == []

    def test_error_without_a_problem_document_has_an_unknown_outcome(self):
        self.first.answer("GET", "/v1/x", 500, b"<html>")
        with self.assertRaises(Refused) as caught:
            self.open(self.first.address).call("GET", "/v1/x", idempotent=True)
        assert caught.exception.problem.outcome.value == "outcome unknown"

    def test_answer_that_is_not_json_is_a_typed_error(self):
        self.first.answer("GET", "/v1/x", 200, b"\xff")
        reply = self.open(self.first.address).call("GET", "/v1/x", idempotent=True)
        with self.assertRaises(BadBoundary):
            reply.decode()

    def test_key_does_not_appear_in_errors(self):
        client = self.open(self.closed_address, key="very-secret")
        with self.assertRaises(UnreachableDaemon) as caught:
            client.call("GET", "/v1/x", idempotent=True)
        assert "very-secret" not in repr(caught.exception)
