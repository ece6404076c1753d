"""Tests that requests are encoded, and responses are read, as h11 reads them."""

import gc
import unittest
from functools import lru_cache
from random import Random
from unittest.mock import patch

import h11

from gypsumwalk.drivers import http_exchange
from gypsumwalk.drivers.http_exchange import (
    MAX_BODY_BYTES,
    MAX_FRAMING_BYTES,
    InvalidResponse,
    ResponseReader,
    encode_head,
    encode_request,
)

HEADERS = {"Content-Type": "application/json", "Expect-Instance": "i-1"}
PLAIN = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: now\r\n"
    b'Content-Length: 14\r\n\r\n{"clock_ms":1}'
)
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
UNTIL_CLOSED = PLAIN.replace(b"Content-Length: 14", b"Name: value")
EMPTY = PLAIN.replace(b"14", b"0")
NO_CONTENT = b"HTTP/1.1 204 No Content\r\nDate: now\r\n\r\n"


def make_request(method="POST"):
    return encode_request(method, "host:80", "/hold?a=b", HEADERS, b"")


def split(content, cuts):
    """Return the parts of a response between cuts, and the end of the connection."""
    bounds = [0, *sorted(cuts), len(content)]
    parts = [content[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]
    return [*(part for part in parts if part), b""]


def read(content, cuts=(), *, method="POST"):
    """Return what a reader makes of a response that arrives in parts."""
    reader = ResponseReader(make_request(method))
    for part in split(content, cuts):
        try:
            response = reader.feed(part)
        except InvalidResponse:
            return "invalid"
        if response is not None:
            return *response, reader.is_reusable
    return "invalid"


def read_by_h11(content, cuts=(), *, method="POST"):
    """Return what h11 makes of a response that arrives in parts."""
    http = h11.Connection(h11.CLIENT)
    http.send(h11.Request(method=method, target="/", headers=[("Host", "")]))
    http.send(h11.EndOfMessage())
    status, body = 0, b""
    for part in split(content, cuts):
        http.receive_data(part)
        while True:
            try:
                event = http.next_event()
            except h11.RemoteProtocolError:
                return "invalid"
            if event is h11.NEED_DATA:
                break
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                is_done = http.our_state is h11.DONE and http.their_state is h11.DONE
                return status, body, is_done and not http.trailing_data[0]
            elif not isinstance(event, h11.InformationalResponse):
                return "invalid"
    return "invalid"


def close(response):
    """Return the same response, after which the connection carries no other one."""
    return response if response == "invalid" else (*response[:2], False)


def list_cases(contents, random):
    for content in contents:
        for method in ("POST", "GET", "HEAD"):
            for count in (0, 0, 1, 1, 1, 2, 3):
                cuts = random.choices(range(len(content) + 1), k=count)
                yield content, cuts, method


class TestRequests(unittest.TestCase):
    def test_a_request_is_read_by_h11_as_it_was_written(self):
        for method, body in (("POST", b"content"), ("POST", b""), ("GET", b"")):
            encoded = encode_request(method, "host:80", "/a?b=c", HEADERS, body)
            server = h11.Connection(h11.SERVER)
            server.receive_data(encoded.content)
            request = server.next_event()
            assert (request.method, request.target) == (method.encode(), b"/a?b=c")
            fields = {name.decode(): value.decode() for name, value in request.headers}
            expected = {name.lower(): value for name, value in HEADERS.items()}
            expected["host"] = "host:80"
            if method == "POST":
                expected["content-length"] = str(len(body))
            assert fields == expected
            if body:
                assert server.next_event().data == body
            assert isinstance(server.next_event(), h11.EndOfMessage)
            assert server.trailing_data[0] == b""

    def test_a_kept_head_makes_the_same_request(self):
        keep = lru_cache(2)(encode_head)
        for _ in range(2):
            for method, path, headers, body in (
                ("POST", "/a", HEADERS, b"content"),
                ("POST", "/a", HEADERS, b"contenT"),
                ("POST", "/a", HEADERS, b"longer content"),
                ("POST", "/a", HEADERS | {"Expect-Instance": "i-2"}, b"content"),
                ("POST", "/b", HEADERS, b"content"),
                ("GET", "/b", {}, b""),
            ):
                parts = (method, "host:80", path, headers, body)
                kept = encode_request(*parts, encode_head=keep)
                assert kept == encode_request(*parts)

    def test_malformed_parts_are_refused(self):
        for method, address, path, headers in (
            ("PO ST", "host", "/", {}),
            ("POST", "host\r\nName: value", "/", {}),
            ("POST", "host", "/a b", {}),
            ("POST", "host", "/\r\n", {}),
            ("POST", "host", "/\u00e9", {}),
            ("POST", "host", "/", {"Na me": "value"}),
            ("POST", "host", "/", {"Name": "a\r\nb: c"}),
            ("POST", "host", "/", {"Name": "a\n"}),
            ("POST", "host", "/", {"Name": " a"}),
            ("POST", "host", "/", {"Name": "\u2014"}),
        ):
            with self.assertRaises(h11.LocalProtocolError):
                encode_request(method, address, path, headers, b"")


class TestResponses(unittest.TestCase):
    # Guards against a leader that spends most of a call to an instance in h11.
    def test_responses_are_read_without_h11(self):
        request = make_request()
        with (
            patch(f"{__name__}.make_request", lambda method: request),
            patch.object(http_exchange.h11, "Connection") as connection,
        ):
            for _ in range(100):
                assert read(PLAIN) == (200, b'{"clock_ms":1}', True)
                assert read(NO_CONTENT) == (204, b"", True)
                cut = PLAIN.index(b"{") + 3
                assert read(PLAIN, [cut]) == (200, b'{"clock_ms":1}', True)
                assert read(CHUNKED) == (200, b"ok", True)
        assert connection.call_count == 0

    # Guards against a collection of garbage for every few calls.
    def test_a_response_that_was_read_leaves_no_garbage(self):
        request = make_request()
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        for content in (PLAIN, CHUNKED, NO_CONTENT):
            assert ResponseReader(request).feed(content) is not None
        assert gc.collect() == 0

    def test_responses_are_read_as_h11_reads_them(self):
        contents = [
            PLAIN,
            PLAIN + b"more",
            PLAIN[:-1],
            PLAIN[:20],
            b"",
            b"not HTTP\r\n\r\n",
            PLAIN.replace(b"200 OK", b"200"),
            PLAIN.replace(b"200 OK", b"409 Conflict"),
            PLAIN.replace(b"200 OK", b"204 No Content"),
            PLAIN.replace(b"200 OK", b"304 Not Modified"),
            PLAIN.replace(b"200 OK", b"999 Odd"),
            PLAIN.replace(b"HTTP/1.1", b"HTTP/1.0"),
            EMPTY,
            PLAIN.replace(b"14", b"-1"),
            PLAIN.replace(b"14", b"1 4"),
            PLAIN.replace(b"Date: now", b"Content-Length: 13"),
            PLAIN.replace(b"Date: now", b"Connection: close"),
            PLAIN.replace(b"Date: now", b"Connection: Keep-Alive"),
            PLAIN.replace(b"Date: now", b"connection: keep-alive, close"),
            PLAIN.replace(b"Date: now", b"Date : now"),
            PLAIN.replace(b"Date: now", b"Date: a\x00b"),
            UNTIL_CLOSED,
            b"HTTP/1.1 103 Early Hints\r\n\r\n" + PLAIN,
            CHUNKED,
            NO_CONTENT,
            NO_CONTENT + b"more",
            NO_CONTENT.replace(b"Date: now", b"Content-Length: 0"),
            NO_CONTENT.replace(b"Date: now", b"Transfer-Encoding: chunked"),
        ]
        without_body = {
            EMPTY,
            NO_CONTENT,
            NO_CONTENT + b"more",
            NO_CONTENT.replace(b"Date: now", b"Content-Length: 0"),
        }
        for content, cuts, method in list_cases(contents, Random(1)):
            found = read(content, cuts, method=method)
            expected = read_by_h11(content, cuts, method=method)
            is_body_omitted = (
                method == "HEAD" or b" 204 " in content or b" 304 " in content
            )
            # Bytes of a body that may not be sent can't be told from those beyond
            # the response, and nothing follows a body that ends with the connection.
            is_body_announced = content not in without_body
            if content == UNTIL_CLOSED or (is_body_omitted and is_body_announced):
                expected = close(expected)
            assert found == expected, (content, cuts, method)

    # h11 reads some of these, but servers and proxies differ on where they end.
    def test_ambiguous_responses_are_invalid(self):
        contents = [
            PLAIN.replace(b"\r\n", b"\n"),
            PLAIN.replace(b"14", b"14, 14"),
            PLAIN.replace(b"Date: now", b"Content-Length: 14"),
            PLAIN.replace(b"Date: now", b"Transfer-Encoding: chunked"),
            PLAIN.replace(b"Date: now", b"Name: a\r\n folded"),
            CHUNKED.replace(b"\r\n\r\n2", b"\r\nContent-Length: 2\r\n\r\n2"),
            CHUNKED.replace(b"chunked", b"gzip"),
            CHUNKED.replace(b"chunked", b"gzip, chunked"),
            CHUNKED.replace(b"\r\n2", b"\r\nz"),
            b"HTTP/1.1 101 Switching Protocols\r\n\r\n" + PLAIN,
            b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\n"
            b"Connection: upgrade\r\n\r\n",
        ]
        for content, cuts, method in list_cases(contents[:-3], Random(2)):
            assert read(content, cuts, method=method) == "invalid", (content, cuts)
        for content, cuts, _ in list_cases(contents[-3:], Random(3)):
            assert read(content, cuts) == "invalid", (content, cuts)

    def test_a_connection_with_bytes_beyond_the_response_is_not_reused(self):
        for content in (PLAIN, CHUNKED, EMPTY[:-14], NO_CONTENT):
            expected = read(content)
            assert expected[2]
            for more in (b"m", b"more", b"\x00", PLAIN, b"\r\n" + PLAIN):
                assert read(content + more) == close(expected), (content, more)
            # httptools skips empty lines, which begin no response.
            assert read(content + b"\r\n") == expected
            assert read(b"\r\n" + content) == expected

    # Guards against a head, or trailers, that fill the memory.
    def test_endless_framing_is_refused(self):
        line = b"Name: " + b"a" * 1000 + b"\r\n"
        count = MAX_FRAMING_BYTES // len(line) + 1
        for start in (PLAIN[: PLAIN.index(b"Date")], CHUNKED[:-2]):
            reader = ResponseReader(make_request())
            with self.assertRaisesRegex(InvalidResponse, "framing is too large"):
                for part in (start, *[line] * count):
                    assert reader.feed(part) is None
        reader = ResponseReader(make_request())
        with self.assertRaisesRegex(InvalidResponse, "framing is too large"):
            for part in (PLAIN[:17], b"Name: ", *[b"a" * 1000] * count * 2):
                assert reader.feed(part) is None

    def test_a_body_of_unknown_length_above_the_limit_is_refused(self):
        part = bytes(1024 * 1024)
        chunk = b"100000\r\n" + part + b"\r\n"
        for start, more in ((UNTIL_CLOSED, part), (CHUNKED[:-5], chunk)):
            reader = ResponseReader(make_request())
            assert reader.feed(start) is None
            with self.assertRaisesRegex(InvalidResponse, "body is too large"):
                for _ in range(MAX_BODY_BYTES // len(part)):
                    assert reader.feed(more) is None

    def test_a_body_above_the_limit_is_refused_from_its_head(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1)
        with self.assertRaisesRegex(InvalidResponse, "too large"):
            ResponseReader(make_request()).feed(head)


if __name__ == "__main__":
    unittest.main()
