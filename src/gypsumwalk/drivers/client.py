"""Operators' and callers' HTTP client for a list of daemons."""

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
    """Answer of a daemon that took the call.

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
        """Return the body read as JSON.

        Raises
        ------
        BadBoundary
            If it is not JSON.
        """
        try:
            return msgspec.json.decode(self.body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise BadBoundary(f"{self.address} did not answer in JSON") from error


class Refused(GypsumwalkError):
    """A daemon refused the call.

    Parameters
    ----------
    problem : Problem
        What it answered.
    address : str
        ``host:port`` of the daemon.
    """

    def __init__(self, problem: Problem, address: str) -> None:
        super().__init__(f"{address}: {problem.title}: {problem.detail}")
        self.problem = problem
        self.address = address


class OperatorClient:
    """Client that tries the daemons of a list in turn.

    A call goes to the next daemon when no byte of it left, and also after a failure
    or a temporary refusal when it is idempotent. One deadline covers all attempts.

    Parameters
    ----------
    addresses : Sequence[str]
        ``host:port`` of each daemon.
    key : str
        Key that is shown, empty for none.
    deadline : float
        Seconds that one call may take over all daemons.
    patience : float
        Seconds that a daemon which took the call is waited for, before the next is
        tried; more where the deadline leaves more for each.
    clock : Callable
        Monotonic clock, in seconds.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        *,
        key: str = "",
        deadline: float = DEFAULT_DEADLINE_SECONDS,
        patience: float = 0.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        if not addresses:
            raise BadBoundary("no address of a daemon is given")
        self._addresses = list(addresses)
        self._key = key
        self._deadline = deadline
        self._patience = patience
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
        """Make a call with a body in JSON.

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
            Answer of a daemon.

        Raises
        ------
        Refused
            If a daemon refused it.
        UnreachableDaemon
            If no daemon took it.
        OutcomeUnknown
            If it was sent, and no whole answer came back.
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
            Answer of a daemon, or of a target whatever its status.
        """
        fields = dict(headers or {})
        if self._key:
            fields["Authorization"] = f"Bearer {self._key}"
        attempt = _Attempt(method, path, payload, fields)
        ends_at = self._clock() + self._deadline
        tries = _Tries()
        for left, address in _count_down(self._addresses):
            now = self._clock()
            if now >= ends_at:
                tries.note(address, "the deadline passed")
                break
            # A daemon that hangs leaves time for the others.
            share = (ends_at - now) / (left if idempotent else 1)
            give_up_at = min(ends_at, now + max(share, self._patience))
            try:
                reply = self._try(attempt, address, give_up_at)
            except (NewConnectionError, ConnectTimeoutError) as error:
                tries.note(address, _describe(error))
                continue
            except (HTTPError, OSError) as error:
                tries.note(address, _describe(error), sent=True)
                if not idempotent:
                    break
                continue
            if idempotent and left > 1 and _is_temporary(reply):
                tries.note(address, f"answered {reply.status}")
                continue
            return _accept(reply, tries)
        raise tries.fail()

    def close(self) -> None:
        """Close every connection."""
        self._pool.clear()

    def _try(self, attempt: "_Attempt", address: str, ends_at: float) -> Reply:
        remaining = max(0.001, ends_at - self._clock())
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_SECONDS, remaining), read=remaining
        )
        try:
            response = self._pool.request(
                attempt.method,
                f"http://{address}{attempt.path}",
                body=attempt.payload or None,
                headers=attempt.headers,
                timeout=timeout,
                preload_content=False,
                redirect=False,
            )
        except LocationParseError as error:
            raise BadBoundary(f"{address} is not host:port") from error
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
                raise HTTPError(f"answer of more than {MAX_BODY_BYTES} bytes")
            if self._clock() > ends_at:
                response.close()
                raise HTTPError("the deadline passed while the answer was read")
        return b"".join(chunks)


@dataclass(frozen=True, slots=True)
class _Attempt:
    method: str
    path: str
    payload: bytes
    headers: Mapping[str, str]


class _Tries:
    """What became of the attempts of one call so far."""

    def __init__(self) -> None:
        self.sent = False
        self._failures: list[str] = []

    def note(self, address: str, failure: str, *, sent: bool = False) -> None:
        self._failures.append(f"{address}: {failure}")
        self.sent = self.sent or sent

    def fail(self) -> GypsumwalkError:
        text = "; ".join(self._failures)
        return OutcomeUnknown(text) if self.sent else UnreachableDaemon(text)


def _count_down(addresses: Sequence[str]) -> Iterator[tuple[int, str]]:
    return zip(range(len(addresses), 0, -1), addresses, strict=True)


def _is_temporary(reply: Reply) -> bool:
    problem = _read_problem(reply)
    return (
        problem is not None
        and reply.status == HTTPStatus.SERVICE_UNAVAILABLE
        and problem.outcome is Outcome.NOT_RUN
    )


def _accept(reply: Reply, tries: _Tries) -> Reply:
    problem = _read_problem(reply)
    if problem is None:
        return reply
    if tries.sent and problem.outcome is Outcome.NOT_RUN:
        # It says so of its own attempt; an earlier one may have run.
        tries.note(reply.address, problem.detail or problem.title)
        raise tries.fail()
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


def _describe(error: Exception) -> str:
    cause = error.__cause__ or error
    if isinstance(error, NewConnectionError):
        return "the daemon refused the connection"
    if isinstance(error, ConnectTimeoutError):
        return "the daemon did not take the connection in time"
    return f"{type(cause).__name__} after the call was sent"
