"""WSGI application that serves the endpoints by passing calls to the node."""

import dataclasses
import hmac
import time
from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl

import msgspec
from cheroot.errors import MaxSizeExceeded

from gypsumwalk.drivers.bridge import CallBridge
from gypsumwalk.drivers.connections import ReceiveWatchdog
from gypsumwalk.drivers.metrics import Metrics
from gypsumwalk.drivers.server import StartResponse
from gypsumwalk.effects import Answer
from gypsumwalk.endpoints import Audience, EndpointTable
from gypsumwalk.errors import BadBoundary, MalformedMessage
from gypsumwalk.problems import Outcome, Problem, ProblemType, refuse

__all__ = ["WebApplication"]

PEER_PATH = "/peer/v1/messages"
CALL_TIMEOUT_SECONDS = 90.0


class WebApplication:
    """WSGI application that validates calls and passes them to the node.

    Parameters
    ----------
    bridge : CallBridge
        Bridge to the node.
    table : EndpointTable
        Table that calls are matched against.
    audiences : frozenset of Audience
        Audiences whose endpoints this server offers.
    watchdog : ReceiveWatchdog
        Watchdog that closes connections of slow senders.
    pages : Mapping[str, Callable]
        Pages by path, for example ``/healthz``; served without the node.
    metrics : Metrics
        Counters of calls and refusals.
    max_body_bytes : int
        Maximum body size in bytes; a larger body is refused without reading it.
    target_key : str
        Bearer key required from targets and the platform; empty for none.
    receive_peer : Callable or None
        Processes a signed batch of a daemon's messages; None disables the peer path.
    """

    def __init__(
        self,
        bridge: CallBridge,
        table: EndpointTable,
        *,
        audiences: frozenset[Audience],
        watchdog: ReceiveWatchdog,
        pages: Mapping[str, Callable[[], Answer]],
        metrics: Metrics,
        max_body_bytes: int,
        target_key: str = "",
        receive_peer: Callable[[bytes, str], None] | None = None,
    ) -> None:
        self._bridge = bridge
        self._table = table
        self._audiences = audiences
        self._watchdog = watchdog
        self._pages = pages
        self._metrics = metrics
        self._max_body_bytes = max_body_bytes
        self._target_key = target_key.encode()
        self._receive_peer = receive_peer

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one call."""
        try:
            answer = self._serve(environ)
        except BadBoundary as error:
            answer = refuse(ProblemType.MALFORMED, Outcome.NOT_RUN, str(error))
        content = _encode_body(answer)
        headers = [
            ("Content-Type", answer.content_type),
            ("Content-Length", str(len(content))),
            *answer.headers.items(),
        ]
        start_response(f"{answer.status} {_find_reason_phrase(answer.status)}", headers)
        return [content]

    def _serve(self, environ: dict[str, Any]) -> Answer:
        declared = _read_declared_length(environ)
        if declared > self._max_body_bytes:
            return self._refuse_oversized(declared)
        body = _read_body(environ, declared)
        self._watchdog.finish()
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        page = self._pages.get(path)
        if page is not None:
            return page()
        if path == PEER_PATH and self._receive_peer is not None:
            return self._handle_peer_batch(environ, body)
        match = self._table.match(method, path)
        if match is None or match.endpoint.audience not in self._audiences:
            return refuse(ProblemType.NOT_FOUND, Outcome.NOT_RUN, f"{method} {path}")
        headers = _collect_headers(environ)
        if not self._is_authorized(match.endpoint.audience, headers):
            return refuse(ProblemType.UNAUTHENTICATED, Outcome.NOT_RUN)
        query = dict(parse_qsl(environ.get("QUERY_STRING", "")))
        call = match.decode(headers=headers, query=query, body=body)
        started = time.perf_counter()
        answer = self._bridge.call(
            call,
            credential=_extract_bearer_key(headers),
            payload=body,
            timeout=CALL_TIMEOUT_SECONDS,
        )
        self._record_call(
            match.endpoint.audience, answer, time.perf_counter() - started
        )
        return answer

    def _is_authorized(self, audience: Audience, headers: Mapping[str, str]) -> bool:
        if audience is not Audience.TARGET or not self._target_key:
            return True
        presented = _extract_bearer_key(headers).encode()
        return hmac.compare_digest(presented, self._target_key)

    def _refuse_oversized(self, declared: int) -> Answer:
        detail = f"body has {declared} bytes, the limit is {self._max_body_bytes}"
        answer = refuse(ProblemType.TOO_LARGE, Outcome.NOT_RUN, detail)
        return dataclasses.replace(answer, headers={"Connection": "close"})

    def _record_call(self, audience: Audience, answer: Answer, seconds: float) -> None:
        status = str(answer.status)
        self._metrics.count("http_calls", audience=audience.value, status=status)
        self._metrics.observe_latency("http", seconds, audience=audience.value)
        if isinstance(answer.body, Problem):
            kind, outcome = answer.body.type, answer.body.outcome
            self._metrics.count("refusals", type=kind, outcome=outcome)

    def _handle_peer_batch(self, environ: dict[str, Any], body: bytes) -> Answer:
        assert self._receive_peer is not None
        signature = environ.get("HTTP_GYPSUMWALK_SIGNATURE", "")
        try:
            self._receive_peer(body, signature)
        except MalformedMessage as error:
            return refuse(ProblemType.UNAUTHENTICATED, Outcome.NOT_RUN, str(error))
        return Answer(HTTPStatus.NO_CONTENT)


def _read_declared_length(environ: Mapping[str, Any]) -> int:
    declared = environ.get("CONTENT_LENGTH") or "0"
    if not declared.isdecimal():
        raise BadBoundary(f"Content-Length {declared!r} is not a decimal number")
    return int(declared)


def _read_body(environ: Mapping[str, Any], declared: int) -> bytes:
    if not declared and not environ.get("HTTP_TRANSFER_ENCODING"):
        return b""
    try:
        body: bytes = environ["wsgi.input"].read()
    except (OSError, ValueError, MaxSizeExceeded) as error:
        raise BadBoundary(f"request body not fully received: {error}") from error
    if declared and len(body) != declared:
        raise BadBoundary(
            f"request body truncated: received {len(body)} of {declared} bytes"
        )
    return body


def _collect_headers(environ: Mapping[str, Any]) -> dict[str, str]:
    return {
        name.removeprefix("HTTP_").replace("_", "-").lower(): str(value)
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }


def _extract_bearer_key(headers: Mapping[str, str]) -> str:
    scheme, _, key = headers.get("authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _encode_body(answer: Answer) -> bytes:
    if answer.body is None:
        return answer.payload
    return msgspec.json.encode(answer.body)


def _find_reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
