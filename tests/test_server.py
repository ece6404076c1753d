"""Tests of the HTTP servers against malformed and slow senders."""

import contextlib
import errno
import resource
import socket
import threading
import time
import unittest
from unittest import mock

import msgspec

from gypsumwalk.drivers.connections import ReceiveWatchdog
from gypsumwalk.drivers.metrics import Metrics
from gypsumwalk.drivers.server import HttpServer, ServerLimits
from gypsumwalk.drivers.standard_factory import make_caller_limits
from gypsumwalk.drivers.web_application import WebApplication
from gypsumwalk.effects import Answer
from gypsumwalk.endpoints import Audience, BodyKind, Endpoint, EndpointTable
from gypsumwalk.settings import Settings

TIMEOUT_SECONDS = 10.0
CLOSE_SECONDS = 3.0
WORKER_THREADS = 2
MAX_QUEUED_CALLS = 4


class Order(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    count: int


class Upload(msgspec.Struct, frozen=True):
    queue: str
    repeatable: bool = False


class EchoBridge:
    def __init__(self):
        self.calls = []
        self.gate = None

    def call(self, body, *, credential, payload, timeout):
        self.calls.append((body, credential))
        if self.gate is not None:
            self.gate.wait(TIMEOUT_SECONDS)
        return Answer(200, payload=payload, content_type="text/plain")


class TestServer(unittest.TestCase):
    def setUp(self):
        self.bridge = EchoBridge()
        self.watchdog = ReceiveWatchdog(limit=1000.0)
        table = EndpointTable(
            [
                Endpoint("POST", "/v1/orders", Order, Audience.CALLER),
                Endpoint(
                    "POST",
                    "/v1/queues/{queue}/requests",
                    Upload,
                    Audience.CALLER,
                    BodyKind.PAYLOAD,
                ),
                Endpoint("POST", "/v1/keys", Order, Audience.OPERATOR),
                Endpoint("POST", "/v1/reports", Order, Audience.TARGET),
            ]
        )
        application = WebApplication(
            self.bridge,
            table,
            audiences=frozenset({Audience.CALLER, Audience.TARGET}),
            watchdog=self.watchdog,
            pages={"/healthz": lambda: Answer(200, payload=b"ok\n")},
            metrics=Metrics(),
            max_body_bytes=1024,
            target_key="key of the targets",
        )
        limits = ServerLimits(WORKER_THREADS, MAX_QUEUED_CALLS, max_body_bytes=1024)
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]
        self.server = HttpServer(
            "127.0.0.1", self.port, application, watchdog=self.watchdog, limits=limits
        )
        self.server.prepare()
        self.thread = threading.Thread(target=self.server.serve)
        self.thread.start()

    def tearDown(self):
        self.server.stop()
        self.thread.join()

    def send(self, content):
        address = ("127.0.0.1", self.port)
        with socket.create_connection(address, TIMEOUT_SECONDS) as connection:
            connection.sendall(content)
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_WR)
            return read_all(connection)

    def post(self, path, body, headers=""):
        head = f"POST {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n{headers}"
        return self.send(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)

    def test_invalid_json_is_refused_before_it_reaches_the_bridge(self):
        answer = self.post("/v1/orders", b'{"count": "many"}')
        assert answer.startswith(b"HTTP/1.1 400 ")
        assert b'"outcome":"not run"' in answer
        assert b"Expected `int`, got `str` - at `$.count`" in answer
        assert self.bridge.calls == []

    def test_fields_of_a_raw_request_come_from_path_and_headers(self):
        headers = "Authorization: Bearer key-1\r\nGypsumwalk-Repeatable: true\r\n"
        answer = self.post("/v1/queues/holds/requests", b"\x00row 4", headers)
        assert answer.endswith(b"\r\n\r\n\x00row 4")
        assert self.bridge.calls == [(Upload("holds", True), "key-1")]

    def test_operator_call_is_not_found_on_the_callers_listener(self):
        assert self.post("/v1/keys", b'{"count": 1}').startswith(b"HTTP/1.1 404 ")

    def test_report_needs_the_key_of_the_targets(self):
        body = b'{"count": 1}'
        for headers in ("", "Authorization: Bearer wrong\r\n"):
            answer = self.post("/v1/reports", body, headers)
            assert answer.startswith(b"HTTP/1.1 401 ")
        assert self.bridge.calls == []
        valid_headers = "Authorization: Bearer key of the targets\r\n"
        answer = self.post("/v1/reports", body, valid_headers)
        assert answer.startswith(b"HTTP/1.1 200 ")

    def test_body_over_the_limit_is_refused(self):
        answer = self.post("/v1/queues/holds/requests", b"x" * 2000)
        assert answer.startswith(b"HTTP/1.1 413 ")
        assert b'"type":"/problems/too-large"' in answer
        assert b'"outcome":"not run"' in answer
        assert self.bridge.calls == []

    def test_chunked_body_over_the_limit_never_reaches_the_bridge(self):
        head = "POST /v1/queues/holds/requests HTTP/1.1\r\nHost: a\r\n"
        chunks = "400\r\n" + "x" * 1024 + "\r\n"
        content = f"{head}Transfer-Encoding: chunked\r\n\r\n{chunks * 8}0\r\n\r\n"
        answer = self.send(content.encode())
        assert b" 200 " not in answer
        assert self.bridge.calls == []

    def test_truncated_body_never_reaches_the_bridge(self):
        head = "POST /v1/queues/holds/requests HTTP/1.1\r\nHost: a\r\n"
        answer = self.send(f"{head}Content-Length: 100\r\n\r\nabc".encode())
        assert b" 200 " not in answer
        assert self.bridge.calls == []

    def test_slow_sender_is_disconnected_and_its_thread_reused(self):
        stalled = [
            socket.create_connection(("127.0.0.1", self.port), TIMEOUT_SECONDS)
            for _ in range(2)
        ]
        for connection in stalled:
            connection.sendall(b"POST /v1/orders HTTP/1.1\r\nHost: a\r\nContent-Le")
        closed = 0
        while closed < 2:
            closed += self.watchdog.close_overdue(time.monotonic() + 2000.0)
        for connection in stalled:
            read_all(connection)
            connection.close()
        assert self.post("/v1/orders", b'{"count": 1}').startswith(b"HTTP/1.1 200 ")

    def test_call_beyond_threads_and_queue_is_refused_at_once(self):
        gate = threading.Event()
        self.bridge.gate = gate
        running = [self.start_call() for _ in range(WORKER_THREADS)]
        while len(self.bridge.calls) < WORKER_THREADS:
            threading.Event().wait(0.001)
        queued = [self.start_call() for _ in range(MAX_QUEUED_CALLS)]
        refused = self.start_call()
        refused.settimeout(CLOSE_SECONDS)
        try:
            answer = refused.recv(1024)
            # Guards against an open connection from which nobody reads (issue 43).
            assert refused.recv(1024) == b""
        finally:
            gate.set()
            for connection in [*running, *queued, refused]:
                connection.close()
        assert answer.startswith(b"HTTP/1.1 503 ")

    def start_call(self):
        address = ("127.0.0.1", self.port)
        connection = socket.create_connection(address, TIMEOUT_SECONDS)
        head = b"POST /v1/orders HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n\r\n"
        connection.sendall(head + b'{"count": 1}')
        return connection

    def test_queue_holds_at_most_a_quarter_as_many_callers_as_threads(self):
        for threads in (1, 64, 256):
            settings = Settings(
                name="a",
                data_centre="b",
                caller_port=1,
                peer_port=2,
                cluster_secret="x" * 16,
                caller_threads=threads,
            )
            assert make_caller_limits(settings).queued <= max(1, threads // 4)


class TestThreads(unittest.TestCase):
    """Dozens of entries on one machine, each with threads for its busiest second."""

    CALLS = 6
    REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"

    def setUp(self):
        self.gate = threading.Event()
        self.entered = threading.Semaphore(0)
        limits = ServerLimits(threads=self.CALLS, queued=4, max_body_bytes=1024)
        watchdog = ReceiveWatchdog(limit=1000.0)
        self.server = HttpServer(
            "127.0.0.1", 0, self.serve, watchdog=watchdog, limits=limits
        )
        self.server.prepare()
        self.thread = threading.Thread(target=self.server.serve)
        self.thread.start()

    def tearDown(self):
        self.gate.set()
        self.server.stop()
        self.thread.join()

    def serve(self, environ, start_response):
        self.entered.release()
        self.gate.wait(TIMEOUT_SECONDS)
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]

    def start_call(self):
        connection = socket.create_connection(
            ("127.0.0.1", self.server.port), TIMEOUT_SECONDS
        )
        self.addCleanup(connection.close)
        connection.sendall(self.REQUEST)
        return connection

    # All threads were started with the server, 83 in each of 97 entries.
    def test_a_server_without_calls_has_few_threads(self):
        assert self.server.threads <= 2

    def test_each_call_that_waits_gets_a_thread_up_to_the_limit(self):
        calls = [self.start_call() for _ in range(self.CALLS)]
        for _ in calls:
            assert self.entered.acquire(timeout=TIMEOUT_SECONDS)
        queued = self.start_call()
        self.gate.set()
        for connection in [*calls, queued]:
            assert read_all(connection).startswith(b"HTTP/1.1 200 ")
        assert self.server.threads == self.CALLS

    def test_calls_one_after_the_other_need_no_further_thread(self):
        self.gate.set()
        for _ in range(3 * self.CALLS):
            assert read_all(self.start_call()).startswith(b"HTTP/1.1 200 ")
        assert self.server.threads <= 3


class ClosedStream:
    """Standard error whose reader has ended."""

    def write(self, text):
        raise BrokenPipeError

    def flush(self):
        raise BrokenPipeError


class TestThreadsAfterErrors(unittest.TestCase):
    """Guards against a server that serves nothing after an error (issue 43)."""

    THREADS = 3
    REQUEST = b"GET /%s HTTP/1.1\r\nHost: a\r\n\r\n"
    LAST = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"

    def setUp(self):
        self.gate = threading.Event()
        self.entered = threading.Semaphore(0)
        limits = ServerLimits(threads=self.THREADS, queued=16, max_body_bytes=1024)
        watchdog = ReceiveWatchdog(limit=1000.0)
        self.server = HttpServer(
            "127.0.0.1", 0, self.serve, watchdog=watchdog, limits=limits
        )
        self.server.prepare()
        self.thread = threading.Thread(target=self.serve_until_stopped)
        self.thread.start()

    def tearDown(self):
        self.gate.set()
        self.server.stop()
        self.thread.join()

    def serve_until_stopped(self):
        with contextlib.suppress(RuntimeError):
            self.server.serve()

    def serve(self, environ, start_response):
        if environ["PATH_INFO"] == "/fail":
            raise ArithmeticError
        if environ["PATH_INFO"] == "/wait":
            self.entered.release()
            self.gate.wait(TIMEOUT_SECONDS)
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]

    def send(self, content):
        address = ("127.0.0.1", self.server.port)
        connection = socket.create_connection(address, CLOSE_SECONDS)
        self.addCleanup(connection.close)
        connection.sendall(content)
        return connection

    def check(self):
        """Check that as many calls as threads are served at the same time."""
        waiting = [self.send(self.REQUEST % b"wait") for _ in range(self.THREADS)]
        for _ in waiting:
            assert self.entered.acquire(timeout=CLOSE_SECONDS)
        self.gate.set()
        for connection in waiting:
            assert connection.recv(1024).startswith(b"HTTP/1.1 200 ")

    def test_errors_that_can_not_be_logged(self):
        with mock.patch("sys.stderr", ClosedStream()):
            for _ in range(2 * self.THREADS):
                read_all(self.send(self.REQUEST % b"fail"))
        self.check()

    def test_no_further_thread_can_be_started(self):
        with mock.patch.object(
            self.server._server.requests,
            "_spawn_worker",
            side_effect=RuntimeError("can't start new thread"),
        ):
            busy = self.send(self.REQUEST % b"wait")
            assert self.entered.acquire(timeout=CLOSE_SECONDS)
            # The thread that serves the first request puts the second one back.
            answers = read_all(self.send(self.REQUEST % b"" + self.LAST))
        self.gate.set()
        assert answers.count(b"HTTP/1.1 200 ") == 2, answers
        assert busy.recv(1024).startswith(b"HTTP/1.1 200 ")
        self.gate.clear()
        self.check()


class UnwillingListener:
    """Listening socket that accepts no connection while descriptors are used up."""

    def __init__(self, listener):
        self.is_exhausted = True
        self.refusals = 0
        self._listener = listener

    def accept(self):
        if self.is_exhausted:
            self.refusals += 1
            raise OSError(errno.EMFILE, "Too many open files")
        return self._listener.accept()

    def __getattr__(self, name):
        return getattr(self._listener, name)


class TestDescriptors(unittest.TestCase):
    """Guards against a server that never gets descriptors back (issue 43)."""

    REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
    IDLE_SECONDS = 0.2
    MAX_REFUSALS = 1000

    def setUp(self):
        limits = ServerLimits(threads=2, queued=4, max_body_bytes=1024)
        watchdog = ReceiveWatchdog(limit=1000.0)
        self.server = HttpServer(
            "127.0.0.1", 0, self.serve, watchdog=watchdog, limits=limits
        )
        self.server.prepare()
        inner = self.server._server
        inner.timeout = self.IDLE_SECONDS
        inner.expiration_interval = self.IDLE_SECONDS / 4
        self.listener = inner.socket = UnwillingListener(inner.socket)
        self.thread = threading.Thread(target=self.server.serve)
        self.thread.start()

    def tearDown(self):
        self.server.stop()
        self.thread.join()

    def serve(self, environ, start_response):
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]

    def send(self):
        address = ("127.0.0.1", self.server.port)
        connection = socket.create_connection(address, CLOSE_SECONDS)
        self.addCleanup(connection.close)
        connection.sendall(self.REQUEST)
        return connection

    def test_idle_connections_end_while_descriptors_are_used_up(self):
        self.listener.is_exhausted = False
        idle = self.send()
        assert idle.recv(1024).startswith(b"HTTP/1.1 200 ")
        self.listener.is_exhausted = True
        waiting = self.send()
        assert idle.recv(1024) == b""
        assert self.listener.refusals < self.MAX_REFUSALS
        self.listener.is_exhausted = False
        assert waiting.recv(1024).startswith(b"HTTP/1.1 200 ")


class TestUsedUpDescriptors(unittest.TestCase):
    """Guards against a log that fills a disk as no connection is accepted (issue 43).

    The server tried again at once and wrote a traceback each time, 1.4 MB a second.
    """

    CALLS = 20
    REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
    FIRST_DESCRIPTOR = 3

    def setUp(self):
        limits = ServerLimits(threads=2, queued=4, max_body_bytes=1024)
        watchdog = ReceiveWatchdog(limit=1000.0)
        self.server = HttpServer(
            "127.0.0.1", 0, self.serve, watchdog=watchdog, limits=limits
        )
        patch = mock.patch.object(self.server._server, "error_log")
        self.error_log = patch.start()
        self.addCleanup(patch.stop)
        self.server.prepare()
        thread = threading.Thread(target=self.server.serve)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.server.stop)
        self.open, self.waiting = socket.socket(), socket.socket()
        for connection in (self.open, self.waiting):
            self.addCleanup(connection.close)
            connection.settimeout(TIMEOUT_SECONDS)

    def serve(self, environ, start_response):
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]

    def call(self, connection):
        connection.sendall(self.REQUEST)
        assert connection.recv(65536).startswith(b"HTTP/1.1 200 ")

    @contextlib.contextmanager
    def use_up_descriptors(self):
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.FIRST_DESCRIPTOR, hard))
        try:
            yield
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

    def test_open_connections_are_served_and_the_reason_is_logged_once(self):
        self.open.connect(("127.0.0.1", self.server.port))
        self.call(self.open)
        with self.use_up_descriptors():
            self.waiting.connect(("127.0.0.1", self.server.port))
            for _ in range(self.CALLS):
                self.call(self.open)
        self.call(self.waiting)
        messages = [str(call.args[0]) for call in self.error_log.call_args_list]
        assert len(messages) == 1, f"{len(messages)} messages: {messages[:2]}"
        assert "Too many open files" in messages[0]


def read_all(connection):
    chunks = []
    with contextlib.suppress(OSError):
        while chunk := connection.recv(65536):
            chunks.append(chunk)
    return b"".join(chunks)


if __name__ == "__main__":
    unittest.main()
