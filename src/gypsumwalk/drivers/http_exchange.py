"""Encoding of an HTTP request by h11, and reading of its response by httptools."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

import h11
import httptools

from gypsumwalk.errors import GypsumwalkError

__all__ = [
    "MAX_BODY_BYTES",
    "MAX_FRAMING_BYTES",
    "EncodedHead",
    "EncodedRequest",
    "InvalidResponse",
    "ResponseReader",
    "encode_head",
    "encode_request",
]

MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_FRAMING_BYTES = 1024 * 1024
"""Limit of the bytes of a response besides its body: httptools has none."""

_SWITCHING_PROTOCOLS = 101
_FIRST_FINAL = 200
_WITHOUT_BODY = (204, 304)


class InvalidResponse(GypsumwalkError):
    """A response is invalid, incomplete or too large."""


class EncodedHead(NamedTuple):
    """The head of a request.

    Attributes
    ----------
    target : bytes
        Path and query of the URL.
    content : bytes
        The head as it is sent.
    """

    target: bytes
    content: bytes


class EncodedRequest(NamedTuple):
    """A request that is ready to be sent.

    Attributes
    ----------
    method : str
        Method.
    target : bytes
        Path and query of the URL.
    content : bytes
        Head and body.
    """

    method: str
    target: bytes
    content: bytes


def encode_head(
    method: str,
    address: str,
    path: str,
    headers: tuple[tuple[str, str], ...],
    length: int,
) -> EncodedHead:
    """Encode the head of a request; the same arguments make the same head.

    Parameters
    ----------
    method : str
        HTTP method.
    address : str
        ``host:port`` of the server.
    path : str
        Path and query of the URL.
    headers : tuple of tuple of str and str
        Names and values besides ``Host`` and ``Content-Length``.
    length : int
        Length of the body in bytes.

    Returns
    -------
    EncodedHead
        The head.

    Raises
    ------
    h11.LocalProtocolError
        If a part of the request is malformed.
    """
    fields = [("Host", address), *headers]
    if length or method != "GET":
        fields.append(("Content-Length", str(length)))
    try:
        request = h11.Request(method=method, target=path, headers=fields)
    except UnicodeEncodeError as error:
        raise h11.LocalProtocolError(str(error)) from error
    head = h11.Connection(h11.CLIENT).send(request)
    return EncodedHead(request.target, head or b"")


def encode_request(
    method: str,
    address: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes,
    *,
    encode_head: Callable[..., EncodedHead] = encode_head,
) -> EncodedRequest:
    """Encode a request.

    Parameters
    ----------
    method : str
        HTTP method.
    address : str
        ``host:port`` of the server.
    path : str
        Path and query of the URL.
    headers : Mapping of str to str
        Headers besides ``Host`` and ``Content-Length``.
    body : bytes
        Body.
    encode_head : Callable
        ``encode_head``, or a function that keeps its results.

    Returns
    -------
    EncodedRequest
        The request.

    Raises
    ------
    h11.LocalProtocolError
        If a part of the request is malformed.
    """
    head = encode_head(method, address, path, tuple(headers.items()), len(body))
    return EncodedRequest(method, head.target, head.content + body)


class ResponseReader:
    """Reads the response to one request.

    Parameters
    ----------
    request : EncodedRequest
        The request.
    """

    __slots__ = ("_events", "_parser", "_received", "is_reusable")

    def __init__(self, request: EncodedRequest) -> None:
        self.is_reusable = False
        """Whether the connection can carry another request after the response."""
        self._events = _Events(request.method)
        self._parser = httptools.HttpResponseParser(self._events)
        self._events.parser = self._parser
        self._received = 0

    def feed(self, content: bytes) -> tuple[int, bytes] | None:
        """Read received bytes.

        Parameters
        ----------
        content : bytes
            The bytes, empty at the end of the connection.

        Returns
        -------
        tuple of int and bytes, or None
            Status and body if the response is complete.

        Raises
        ------
        InvalidResponse
            If the response is invalid, incomplete or too large.
        """
        events = self._events
        if content:
            self._parse(content)
        elif events.ends_with_connection:
            events.is_complete = True
        else:
            raise InvalidResponse("the response is incomplete")
        if not events.is_complete:
            return None
        self.is_reusable = events.is_kept
        # The parser refers to the events, so that the two would be garbage in a cycle.
        del events.parser
        return events.status, bytes(events.body)

    def _parse(self, content: bytes) -> None:
        events = self._events
        self._received += len(content)
        try:
            self._parser.feed_data(content)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # Bytes beyond the response need not be HTTP.
            if not events.is_complete:
                raise InvalidResponse(f"the response is invalid: {error}") from error
            events.is_kept = False
        if events.size > MAX_BODY_BYTES:
            raise InvalidResponse("the body is too large")
        if self._received - len(events.body) > MAX_FRAMING_BYTES:
            raise InvalidResponse("the head or the framing is too large")
        if events.status == _SWITCHING_PROTOCOLS:
            raise InvalidResponse("the server switched protocols without a request")


class _Events:
    """What httptools found in the bytes of one connection."""

    __slots__ = (
        "_is_encoded",
        "_is_head_complete",
        "_length",
        "_method",
        "body",
        "is_complete",
        "is_kept",
        "parser",
        "status",
    )

    parser: httptools.HttpResponseParser

    def __init__(self, method: str) -> None:
        self._method = method
        self._is_head_complete = False
        self._is_encoded = False
        self._length: int | None = None
        self.status = 0
        self.body = bytearray()
        self.is_complete = False
        self.is_kept = False

    @property
    def ends_with_connection(self) -> bool:
        is_framed = self._is_encoded or self._length is not None
        return self._is_head_complete and not is_framed

    @property
    def size(self) -> int:
        return max(self._length or 0, len(self.body))

    def on_message_begin(self) -> None:
        if self.is_complete:
            self.is_kept = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.is_complete or self._is_head_complete:
            return
        match name.lower():
            case b"content-length":
                self._length = int(value)
            case b"transfer-encoding":
                if value.lower() != b"chunked":
                    raise InvalidResponse(f"unknown transfer encoding {value!r}")
                self._is_encoded = True

    def on_headers_complete(self) -> None:
        if self.is_complete:
            return
        self.status = self.parser.get_status_code()
        if self.status < _FIRST_FINAL:
            self._is_encoded = False
            self._length = None
            return
        self._is_head_complete = True
        # httptools knows no methods, and reads a body wherever one is announced.
        if self._method == "HEAD" or self.status in _WITHOUT_BODY:
            is_body_announced = self._is_encoded or bool(self._length)
            self._length = None
            self._complete()
            self.is_kept = self.is_kept and not is_body_announced

    def on_body(self, content: bytes) -> None:
        if self.is_complete:
            self.is_kept = False
        else:
            self.body += content

    def on_message_complete(self) -> None:
        if self._is_head_complete and not self.is_complete:
            self._complete()

    def _complete(self) -> None:
        self.is_complete = True
        self.is_kept = self.parser.should_keep_alive()
