"""HTTP client of operators and callers, with failover between daemons."""

import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import msgspec
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    LocationParseError,
    NewConnectionError,
)

from gypsumwalk.errors import (
    BadBoundary,
    GypsumwalkError,
    OutcomeUnknown,
    UnreachableDaemon,
)
from gypsumwalk.problems import PROBLEM_MEDIA_TYPE, Outcome, Problem

__all__ = ["OperatorClient", "Refused", "Reply"]

CONNECTIONS_PER_DAEMON = 2
CONNECT_TIMEOUT_SECONDS = 2.0
DEFAULT_DEADLINE_SECONDS = 15.0
MAX_BODY_BYTES = 64 * 1024 * 1024
CHUNK_BYTES = 64 * 1024
MAX_DETAIL_BYTES = 200
JSON_MEDIA_TYPE = "application/json"


@dataclass(frozen=True, slots=True)
class Reply:
    """Response of a daemon that processed the call.

    Attributes
    ----------
    status : int
        HTTP status code.
    body : bytes
        Whole body.
    content_type : str
        Media type of the body.
    headers : Mapping[str, str]
        Header fields with names in lower case.
    address : str
        ``host:port`` of the daemon.
    """

    status: int
    body: bytes
    content_type: str
    headers: Mapping[str, str]
    address: str

    def decode(self) -> Any:
        """Return the body decoded from JSON.

        Raises
        ------
        BadBoundary
            If the body is not valid JSON.
        """
        try:
            return msgspec.json.decode(self.body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise BadBoundary(
                f"{self.address}: response body is not valid JSON"
            ) from error


class Refused(GypsumwalkError):
    """A daemon refused the call.

    Parameters
    ----------
    problem : Problem
        Problem document of the response.
    address : str
        ``host:port`` of the daemon.
    """

    def __init__(self, problem: Problem, address: str) -> None:
        super().__init__(f"{address}: {problem.title}: {problem.detail}")
        self.problem = problem
        self.address = address


class OperatorClient:
    """Client that fails over between the daemons of a list.

    A call is retried on the next daemon if the connection was not established. An
    idempotent call is also retried after any other failure or a temporary refusal. One
    deadline covers all attempts.

    Parameters
    ----------
    addresses : Sequence[str]
        ``host:port`` of each daemon.
    key : str
        Bearer key sent with each call, empty for none.
    deadline : float
        Time limit of one call in seconds, over all attempts.
    min_attempt_timeout : float
        Minimum time in seconds to wait for one daemon before the next is tried. An
        idempotent call divides the time to its deadline equally between the daemons
        left, and waits longer if that share is larger.
    clock : Callable
        Monotonic clock, in seconds.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        *,
        key: str = "",
        deadline: float = DEFAULT_DEADLINE_SECONDS,
        min_attempt_timeout: float = 0.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        if not addresses:
            raise BadBoundary(
                "no daemon address given, expected at least one host:port"
            )
        self._addresses = list(addresses)
        self._key = key
        self._deadline = deadline
        self._min_attempt_timeout = min_attempt_timeout
        self._clock = clock
        self._pool = urllib3.PoolManager(
            num_pools=len(self._addresses),
            maxsize=CONNECTIONS_PER_DAEMON,
            block=True,
            retries=False,
        )

    def call(
        self,
        method: str,
        path: str,
        body: msgspec.Struct | Mapping[str, Any] | None = None,
        *,
        idempotent: bool,
    ) -> Reply:
        """Make a call with a JSON body.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path of the URL with its query.
        body : msgspec.Struct or Mapping, optional
            Body to encode.
        idempotent : bool
            Whether the call may be repeated when its outcome is unknown.

        Returns
        -------
        Reply
            Response of a daemon.

        Raises
        ------
        Refused
            If a daemon refused the call.
        UnreachableDaemon
            If no connection to a daemon was established.
        OutcomeUnknown
            If the call was sent and no complete response was received.
        """
        payload = b"" if body is None else msgspec.json.encode(body)
        headers = {"Content-Type": JSON_MEDIA_TYPE} if payload else {}
        return _require_success(
            self.send(method, path, payload, headers=headers, idempotent=idempotent)
        )

    def send(
        self,
        method: str,
        path: str,
        payload: bytes = b"",
        *,
        headers: Mapping[str, str] | None = None,
        idempotent: bool,
    ) -> Reply:
        """Make a call with a raw body; see ``call``.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path of the URL with its query.
        payload : bytes
            Body.
        headers : Mapping[str, str], optional
            Header fields.
        idempotent : bool
            Whether the call may be repeated when its outcome is unknown.

        Returns
        -------
        Reply
            Response of a daemon, or of a target with any status.
        """
        fields = dict(headers or {})
        if self._key:
            fields["Authorization"] = f"Bearer {self._key}"
        request = _HttpRequest(method, path, payload, fields)
        ends_at = self._clock() + self._deadline
        log = _AttemptLog()
        for left, address in _pair_with_remaining(self._addresses):
            now = self._clock()
            if now >= ends_at:
                log.record_failure(address, "deadline exceeded")
                break
            # Divide the time so that a hanging daemon does not use up the deadline.
            share = (ends_at - now) / (left if idempotent else 1)
            attempt_ends_at = min(ends_at, now + max(share, self._min_attempt_timeout))
            try:
                reply = self._try(request, address, attempt_ends_at)
            except (NewConnectionError, ConnectTimeoutError) as error:
                log.record_failure(address, _describe_error(error))
                continue
            except (HTTPError, OSError) as error:
                log.record_failure(address, _describe_error(error), sent=True)
                if not idempotent:
                    break
                continue
            if idempotent and left > 1 and _is_temporary_refusal(reply):
                log.record_failure(address, f"answered {reply.status}")
                continue
            return _require_no_problem(reply, log)
        raise log.make_error()

    def close(self) -> None:
        """Close every connection."""
        self._pool.clear()

    def _try(self, request: "_HttpRequest", address: str, ends_at: float) -> Reply:
        remaining = max(0.001, ends_at - self._clock())
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_SECONDS, remaining), read=remaining
        )
        try:
            response = self._pool.request(
                request.method,
                f"http://{address}{request.path}",
                body=request.payload or None,
                headers=request.headers,
                timeout=timeout,
                preload_content=False,
                redirect=False,
            )
        except LocationParseError as error:
            raise BadBoundary(f"daemon address {address!r} is not host:port") from error
        try:
            return Reply(
                status=response.status,
                body=self._read(response, ends_at),
                content_type=response.headers.get("Content-Type", ""),
                headers={name.lower(): v for name, v in response.headers.items()},
                address=address,
            )
        finally:
            response.release_conn()

    def _read(self, response: urllib3.BaseHTTPResponse, ends_at: float) -> bytes:
        chunks: list[bytes] = []
        total = 0
        for chunk in response.stream(CHUNK_BYTES):
            chunks.append(chunk)
            total += len(chunk)
            if total > MAX_BODY_BYTES:
                response.close()
                raise HTTPError(f"response body exceeds {MAX_BODY_BYTES} bytes")
            if self._clock() > ends_at:
                response.close()
                raise HTTPError("deadline exceeded while reading the response")
        return b"".join(chunks)


@dataclass(frozen=True, slots=True)
class _HttpRequest:
    method: str
    path: str
    payload: bytes
    headers: Mapping[str, str]


class _AttemptLog:
    """Failed attempts of one call."""

    def __init__(self) -> None:
        self.sent = False
        self._failures: list[str] = []

    def record_failure(self, address: str, failure: str, *, sent: bool = False) -> None:
        self._failures.append(f"{address}: {failure}")
        self.sent = self.sent or sent

    def make_error(self) -> GypsumwalkError:
        text = "; ".join(self._failures)
        return OutcomeUnknown(text) if self.sent else UnreachableDaemon(text)


def _pair_with_remaining(addresses: Sequence[str]) -> Iterator[tuple[int, str]]:
    return zip(range(len(addresses), 0, -1), addresses, strict=True)


def _is_temporary_refusal(reply: Reply) -> bool:
    problem = _read_problem(reply)
    return (
        problem is not None
        and reply.status == HTTPStatus.SERVICE_UNAVAILABLE
        and problem.outcome is Outcome.NOT_RUN
    )


def _require_no_problem(reply: Reply, log: _AttemptLog) -> Reply:
    problem = _read_problem(reply)
    if problem is None:
        return reply
    if log.sent and problem.outcome is Outcome.NOT_RUN:
        # The refusal covers this attempt only; an earlier one may have run.
        log.record_failure(reply.address, problem.detail or problem.title)
        raise log.make_error()
    raise Refused(problem, reply.address)


def _require_success(reply: Reply) -> Reply:
    if reply.status < HTTPStatus.BAD_REQUEST:
        return reply
    problem = Problem(
        type="about:blank",
        title=f"status {reply.status}",
        status=reply.status,
        outcome=Outcome.UNKNOWN,
        detail=reply.body[:MAX_DETAIL_BYTES].decode(errors="replace"),
    )
    raise Refused(problem, reply.address)


def _read_problem(reply: Reply) -> Problem | None:
    media_type = reply.content_type.partition(";")[0].strip()
    if reply.status < HTTPStatus.BAD_REQUEST or media_type != PROBLEM_MEDIA_TYPE:
        return None
    try:
        return msgspec.json.decode(reply.body, type=Problem)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None


def _describe_error(error: Exception) -> str:
    cause = error.__cause__ or error
    if isinstance(error, NewConnectionError):
        return "connection refused"
    if isinstance(error, ConnectTimeoutError):
        return "connection timed out"
    return f"{type(cause).__name__} after the request was sent"
