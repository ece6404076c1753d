"""Tests of the HTTP client, against servers on loopback."""

import contextlib
import resource
import socket
import unittest
from unittest.mock import patch

import h11
import trio
import trio.testing

from gypsumwalk.drivers import http_client, outgoing_sockets
from gypsumwalk.drivers.http_client import (
    MAX_CONNECTIONS,
    MIN_CONNECTIONS,
    HttpClient,
    Lane,
    RequestNotSent,
    RequestOutcomeUnknown,
    find_connection_limit,
)

SHORT_SECONDS = 0.1
LONG_SECONDS = 5.0
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class ScriptedServer:
    """Server that records requests, and answers each with what ``answer`` returns.

    It returns the bytes to send, and whether the connection ends after them; None
    stands for no answer.
    """

    def __init__(self, answer):
        self.answer = answer
        self.requests = []
        self.bodies = []
        self.connections = 0
        self.ended = 0
        self.after_answer = lambda: None
        self._changed = trio.Condition()

    async def start(self, nursery):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        nursery.start_soon(trio.serve_listeners, self.serve, listeners)

    async def serve(self, stream):
        self.connections += 1
        with contextlib.suppress(trio.BrokenResourceError):
            await self.serve_requests(stream)
        self.ended += 1
        await self.notify()

    async def serve_requests(self, stream):
        http = h11.Connection(h11.SERVER)
        while True:
            request = await self.receive(http, stream)
            if request is None:
                return
            path = request.target.decode()
            self.requests.append(path)
            await self.notify()
            answer = self.answer(path)
            if hasattr(answer, "__await__"):
                answer = await answer
            if answer is None:
                await stream.receive_some()
                return
            content, is_last = answer
            await stream.send_all(content)
            self.after_answer()
            if is_last:
                return
            http = h11.Connection(h11.SERVER)

    async def receive(self, http, stream):
        request = None
        body = b""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await stream.receive_some())
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self.bodies.append(body)
                return request
            else:
                return None

    async def notify(self):
        async with self._changed:
            self._changed.notify_all()

    async def until(self, condition):
        with trio.fail_after(LONG_SECONDS):
            async with self._changed:
                while not condition():
                    await self._changed.wait()


def find_free_address():
    with socket.create_server(("127.0.0.1", 0)) as server:
        return f"127.0.0.1:{server.getsockname()[1]}"


class TestConnectionLimit(unittest.TestCase):
    # With 2,000 connections, 3,000 instances that were called in turn got a new
    # connection for each call, and no call at all while 2,000 others waited.
    def test_it_follows_from_the_descriptors_of_the_process(self):
        assert find_connection_limit(20_000) == 10_000
        assert find_connection_limit(resource.RLIM_INFINITY) == MAX_CONNECTIONS
        assert find_connection_limit(10 * MAX_CONNECTIONS) == MAX_CONNECTIONS

    def test_it_is_not_lowered_for_a_process_with_few_descriptors(self):
        assert find_connection_limit(1024) == MIN_CONNECTIONS

    def test_a_client_takes_the_limit_of_its_process(self):
        with patch.object(resource, "getrlimit", lambda _: (20_000, 20_000)):
            assert HttpClient()._max_connections == 10_000


class TestHttpClient(unittest.TestCase):
    def run_with(self, answer, scenario, *, clock=None, **options):
        async def main():
            client = HttpClient(**options)
            server = ScriptedServer(answer)
            try:
                async with trio.open_nursery() as nursery:
                    await server.start(nursery)
                    with trio.fail_after(4 * LONG_SECONDS):
                        await scenario(client, server, nursery)
                    nursery.cancel_scope.cancel()
            finally:
                client.close()
            assert client.opened == 0

        trio.run(main, clock=clock)

    def test_a_connection_is_reused(self):
        async def scenario(client, server, nursery):
            for number in range(20):
                path = f"/{number}"
                response = await client.request(
                    "POST", server.address, path, body=b"content", timeout=LONG_SECONDS
                )
                assert (response.status, response.body) == (200, b"ok")
                assert 0 <= response.waited < LONG_SECONDS
            assert server.requests == [f"/{number}" for number in range(20)]
            assert server.bodies == [b"content"] * 20
            assert server.connections == 1

        self.run_with(lambda path: (OK, False), scenario)

    def test_a_connection_closed_by_the_server_is_replaced(self):
        async def scenario(client, server, nursery):
            for number in range(5):
                response = await client.request(
                    "POST", server.address, f"/{number}", timeout=LONG_SECONDS
                )
                assert response.status == 200
                await server.until(lambda count=number + 1: server.ended == count)
                connection = next(iter(client._idle))
                await trio.lowlevel.wait_readable(connection._socket)
            assert server.requests == [f"/{number}" for number in range(5)]
            assert server.connections == 5

        # The response does not announce the end of the connection.
        self.run_with(lambda path: (OK, True), scenario)

    def test_a_connection_closed_after_its_check_is_replaced(self):
        async def scenario(client, server, nursery):
            for number in range(2):
                response = await client.request(
                    "GET", server.address, f"/{number}", timeout=LONG_SECONDS
                )
                assert response.status == 200
                for connection in client._idle:
                    connection._socket.shutdown(socket.SHUT_WR)
            assert server.requests == ["/0", "/1"]
            assert server.connections == 2

        original = http_client._Connection
        patched = type("_Checked", (original,), {"is_stale": lambda self: False})
        self.addCleanup(setattr, http_client, "_Connection", original)
        http_client._Connection = patched
        self.run_with(lambda path: (OK, False), scenario)

    def test_an_announced_end_of_the_connection_is_respected(self):
        async def scenario(client, server, nursery):
            for _ in range(3):
                await client.request("GET", server.address, "/", timeout=LONG_SECONDS)
                assert client.opened == 0
            assert server.connections == 3

        answer = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        self.run_with(lambda path: (answer, False), scenario)

    def test_an_informational_response_is_skipped(self):
        async def scenario(client, server, nursery):
            response = await client.request(
                "GET", server.address, "/", timeout=LONG_SECONDS
            )
            assert (response.status, response.body) == (200, b"ok")
            assert client.opened == 1

        answer = b"HTTP/1.1 103 Early Hints\r\n\r\n" + OK
        self.run_with(lambda path: (answer, False), scenario)

    def test_a_timeout_closes_the_connection_and_is_unknown(self):
        async def scenario(client, server, nursery):
            with self.assertRaises(RequestOutcomeUnknown) as caught:
                await client.request("GET", server.address, "/", timeout=SHORT_SECONDS)
            assert caught.exception.waited < SHORT_SECONDS
            assert client.opened == 0
            await server.until(lambda: server.ended == 1)
            assert server.requests == ["/"]

        self.run_with(lambda path: None, scenario)

    # Guards against a late event loop that takes its own delay for a silent server.
    # Guards against orders that are carried out after they were given up: a server that
    # does not read, as behind a cut link, got the rest of the request later.
    def test_a_request_that_was_given_up_is_not_delivered_later(self):
        body = b"x" * 400_000
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            client = HttpClient()

            async def give_up():
                with self.assertRaises(RequestOutcomeUnknown):
                    await client.request(
                        "POST", address, "/order", body=body, timeout=SHORT_SECONDS
                    )

            trio.run(give_up)
            accepted, _ = listener.accept()
            received = 0
            with accepted, contextlib.suppress(ConnectionResetError):
                accepted.settimeout(LONG_SECONDS)
                while content := accepted.recv(65536):
                    received += len(content)
        assert received < len(body)

    def test_an_answer_that_arrived_before_the_loop_saw_the_deadline_counts(self):
        clock = trio.testing.MockClock()

        async def scenario(client, server, nursery):
            # The answer is in the client's socket when the time jumps.
            server.after_answer = lambda: clock.jump(2 * LONG_SECONDS)
            response = await client.request(
                "GET", server.address, "/", timeout=LONG_SECONDS
            )
            assert (response.status, response.body) == (200, b"ok")

        original = http_client.RECEIVE_BYTES
        self.addCleanup(setattr, http_client, "RECEIVE_BYTES", original)
        http_client.RECEIVE_BYTES = 10
        self.run_with(lambda path: (OK, False), scenario, clock=clock)

    def test_a_cancelled_request_closes_its_connection(self):
        async def scenario(client, server, nursery):
            with trio.CancelScope() as scope:

                async def cancel():
                    await server.until(lambda: server.requests == ["/"])
                    scope.cancel()

                nursery.start_soon(cancel)
                await client.request("GET", server.address, "/", timeout=LONG_SECONDS)
            assert scope.cancelled_caught
            assert client.opened == 0
            await server.until(lambda: server.ended == 1)

        self.run_with(lambda path: None, scenario)

    def test_truncated_and_invalid_responses_are_unknown(self):
        answers = {
            "/none": b"",
            "/header": b"HTTP/1.1 200 OK\r\nContent-",
            "/body": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
            "/invalid": b"not HTTP\r\n\r\n",
        }

        async def scenario(client, server, nursery):
            for path in answers:
                with self.assertRaises(RequestOutcomeUnknown):
                    await client.request(
                        "POST", server.address, path, timeout=LONG_SECONDS
                    )
                assert client.opened == 0
            assert server.requests == list(answers)

        self.run_with(lambda path: (answers[path], True), scenario)

    def test_a_body_above_the_limit_is_unknown(self):
        limit = http_client.MAX_BODY_BYTES
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {limit + 1}\r\n\r\n".encode()

        async def scenario(client, server, nursery):
            with self.assertRaisesRegex(RequestOutcomeUnknown, "too large"):
                await client.request("GET", server.address, "/", timeout=LONG_SECONDS)
            assert client.opened == 0

        self.run_with(lambda path: (head + bytes(limit + 1), True), scenario)

    def test_a_refused_connection_is_not_sent(self):
        async def scenario(client, server, nursery):
            address = find_free_address()
            with self.assertRaises(RequestNotSent):
                await client.request("GET", address, "/", timeout=LONG_SECONDS)
            assert client.opened == 0

        self.run_with(lambda path: (OK, False), scenario)

    def test_malformed_requests_are_not_sent(self):
        async def scenario(client, server, nursery):
            for address in ("", "host", "host:0", "host:99999", "a..b:80", "h\n:80"):
                with self.assertRaises(RequestNotSent):
                    await client.request("GET", address, "/", timeout=LONG_SECONDS)
            for headers in ({"Name": "a\r\nb: c"}, {"Name": "\u2014"}):
                with self.assertRaises(RequestNotSent):
                    await client.request(
                        "GET",
                        server.address,
                        "/",
                        headers=headers,
                        timeout=LONG_SECONDS,
                    )
            assert server.connections == 0

        self.run_with(lambda path: (OK, False), scenario)

    def test_a_request_that_waits_too_long_is_not_sent(self):
        waits = []

        async def scenario(client, server, nursery):
            async def occupy():
                with self.assertRaises(RequestOutcomeUnknown):
                    await client.request(
                        "GET", server.address, "/first", timeout=4 * SHORT_SECONDS
                    )

            async with trio.open_nursery() as requests:
                requests.start_soon(occupy)
                await server.until(lambda: server.requests == ["/first"])
                with self.assertRaises(RequestNotSent) as caught:
                    await client.request(
                        "GET", server.address, "/second", timeout=SHORT_SECONDS
                    )
                assert caught.exception.waited >= SHORT_SECONDS
            await server.until(lambda: server.ended == 1)
            assert server.requests == ["/first"]
            assert server.connections == 1
            assert len(waits) == 2
            assert waits[0] >= SHORT_SECONDS > waits[1]

        self.run_with(
            lambda path: None,
            scenario,
            connections_per_lane=1,
            record_wait=waits.append,
        )

    def test_a_request_whose_time_has_passed_is_not_sent(self):
        async def scenario(client, server, nursery):
            await client.request("GET", server.address, "/0", timeout=LONG_SECONDS)
            with self.assertRaises(RequestNotSent):
                await client.request("GET", server.address, "/1", timeout=0.0)
            await client.request("GET", server.address, "/2", timeout=LONG_SECONDS)
            assert server.requests == ["/0", "/2"]

        self.run_with(lambda path: (OK, False), scenario)

    def test_a_failed_connect_fails_the_requests_that_waited_for_it(self):
        connects = []

        async def fail(address):
            connects.append(address)
            await trio.testing.wait_all_tasks_blocked()
            raise ConnectionRefusedError

        async def scenario(client, server, nursery):
            async def request():
                with self.assertRaises(RequestNotSent):
                    await client.request(
                        "GET", server.address, "/", timeout=LONG_SECONDS
                    )

            async with trio.open_nursery() as requests:
                for _ in range(10):
                    requests.start_soon(request)
            assert len(connects) == 1
            await request()
            assert len(connects) == 2

        original = http_client._open_socket
        self.addCleanup(setattr, http_client, "_open_socket", original)
        http_client._open_socket = fail
        self.run_with(lambda path: (OK, False), scenario)

    def test_a_long_poll_does_not_delay_a_short_request(self):
        async def scenario(client, server, nursery):
            answered = trio.Event()

            async def answer(path):
                if path == "/poll":
                    await answered.wait()
                return OK, False

            async def poll():
                await client.request(
                    "POST",
                    server.address,
                    "/poll",
                    timeout=LONG_SECONDS,
                    lane=Lane.LONG_POLL,
                )

            server.answer = answer
            async with trio.open_nursery() as requests:
                for _ in range(4):
                    requests.start_soon(poll)
                await server.until(lambda: len(server.requests) == 2)
                await client.request(
                    "POST", server.address, "/start", timeout=LONG_SECONDS
                )
                assert server.requests == ["/poll", "/poll", "/start"]
                answered.set()
            assert server.requests.count("/poll") == 4
            assert server.connections == 3

        self.run_with(None, scenario)

    def test_a_burst_keeps_its_order_on_few_connections(self):
        paths = [f"/{number}" for number in range(100)]
        sent = []

        async def scenario(client, server, nursery):
            released = trio.Event()

            async def answer(path):
                await released.wait()
                return OK, False

            async def request(path):
                await client.request("POST", server.address, path, timeout=LONG_SECONDS)

            server.answer = answer
            async with trio.open_nursery() as requests:
                for path in paths:
                    requests.start_soon(request, path)
                    # Tasks that start in one step run in no defined order.
                    await trio.testing.wait_all_tasks_blocked()
                await server.until(lambda: len(server.requests) == 2)
                assert sent == paths[:2]
                released.set()
            assert sorted(server.requests) == sorted(paths)
            assert sent == paths
            assert server.connections == 2

        original = http_client._Connection.send

        async def send(connection, call):
            await original(connection, call)
            sent.append(call.request.target.decode())

        self.addCleanup(setattr, http_client._Connection, "send", original)
        http_client._Connection.send = send
        self.run_with(lambda path: (OK, False), scenario)

    def test_one_connection_receives_requests_in_their_order(self):
        paths = [f"/{number}" for number in range(100)]

        async def scenario(client, server, nursery):
            released = trio.Event()

            async def answer(path):
                await released.wait()
                return OK, False

            async def request(path):
                await client.request("POST", server.address, path, timeout=LONG_SECONDS)

            server.answer = answer
            async with trio.open_nursery() as requests:
                for path in paths:
                    requests.start_soon(request, path)
                    await trio.testing.wait_all_tasks_blocked()
                released.set()
            assert server.requests == paths
            assert server.connections == 1

        self.run_with(None, scenario, connections_per_lane=1)

    def test_idle_connections_and_pools_are_dropped(self):
        async def scenario(client, server, nursery):
            other = ScriptedServer(server.answer)
            await other.start(nursery)
            await client.request("GET", server.address, "/", timeout=LONG_SECONDS)
            assert len(client._pools) == 1
            await client.request("GET", other.address, "/", timeout=LONG_SECONDS)
            assert list(client._pools) == [(other.address, Lane.SHORT)]
            assert client.opened == 1
            await server.until(lambda: server.ended == 1)

        self.run_with(lambda path: (OK, False), scenario, max_idle=0.0)

    def test_the_oldest_idle_connection_makes_room(self):
        async def scenario(client, server, nursery):
            others = [ScriptedServer(server.answer) for _ in range(2)]
            for other in others:
                await other.start(nursery)
            for each in (server, *others):
                await client.request("GET", each.address, "/", timeout=LONG_SECONDS)
            assert client.opened == 2
            await server.until(lambda: server.ended == 1)
            assert [other.ended for other in others] == [0, 0]

        self.run_with(lambda path: (OK, False), scenario, max_connections=2)

    def test_without_room_for_a_connection_a_request_is_not_sent(self):
        async def scenario(client, server, nursery):
            async def occupy():
                with self.assertRaises(RequestOutcomeUnknown):
                    await client.request(
                        "GET", server.address, "/", timeout=4 * SHORT_SECONDS
                    )

            async with trio.open_nursery() as requests:
                requests.start_soon(occupy)
                await server.until(lambda: server.requests == ["/"])
                with self.assertRaisesRegex(RequestNotSent, "in use"):
                    await client.request(
                        "GET", server.address, "/", timeout=LONG_SECONDS
                    )
            assert server.connections == 1

        self.run_with(lambda path: None, scenario, max_connections=1)

    def test_socket_options_are_set(self):
        async def scenario(client, server, nursery):
            await client.request("GET", server.address, "/", timeout=LONG_SECONDS)
            connection = next(iter(client._idle))
            for level, option, value in outgoing_sockets.SOCKET_OPTIONS:
                assert connection._socket.getsockopt(level, option) == value

        self.run_with(lambda path: (OK, False), scenario)

    def test_a_connection_in_use_is_closed_after_the_client(self):
        async def scenario(client, server, nursery):
            answered = trio.Event()

            async def answer(path):
                await answered.wait()
                return OK, False

            async def close():
                await server.until(lambda: server.requests == ["/"])
                client.close()
                answered.set()

            server.answer = answer
            nursery.start_soon(close)
            response = await client.request(
                "GET", server.address, "/", timeout=LONG_SECONDS
            )
            assert response.status == 200
            assert client.opened == 0

        self.run_with(None, scenario)


if __name__ == "__main__":
    unittest.main()
