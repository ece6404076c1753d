"""Relay that forwards callers' requests from an entry instance to the leader."""

import threading
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from concurrent.futures import (
    FIRST_COMPLETED,
    Future,
    ThreadPoolExecutor,
    as_completed,
    wait,
)
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import msgspec
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from gypsumwalk.drivers.metrics import Metrics
from gypsumwalk.drivers.socket_options import Keepalive
from gypsumwalk.effects import Record, Scalar
from gypsumwalk.events import Event
from gypsumwalk.fleet_call_handler import LEADER_HEADER

__all__ = ["Relay", "RelayAnswer", "RelayApplication"]

CONNECT_TIMEOUT_SECONDS = 0.3
"""Connecting takes one round trip, and links have a latency of a few milliseconds."""

LEADER_QUERY_TIMEOUT_SECONDS = 0.3
"""Timeout of one query in a search for the leader, which needs no commit."""

PROBE_TIMEOUT_SECONDS = 0.5
"""Timeout of one probe of the known leader, whose process may be busy."""

PROBE_ATTEMPTS = 2
"""Unanswered probes after which the known leader is lost."""

SILENT_SEARCH_SECONDS = 0.1
"""Time for which a probe is unanswered before another leader is searched for, and
interval of the searches; a leader that is not lost answers earlier."""

LEADER_WAIT_SECONDS = 1.5
"""Time that a request waits for a leader; an election takes 0.7 s. After that a retry,
at another entry instance or later, serves the caller better."""

MIN_ATTEMPT_SECONDS = 0.05
"""Minimum timeout of one attempt."""

RETRY_DELAY_SECONDS = 0.05
"""Delay between two searches for the leader, and before a retry after a 502."""

READINESS_WINDOW_SECONDS = 1.8
"""Time since the leader's last answer after which the relay is not ready; longer than
the interval between two probes and ``PROBE_ATTEMPTS`` unanswered ones, and than an
election, so that it implies a partition."""

PROBE_INTERVAL_SECONDS = 0.3
"""Interval at which the leader is probed while it answers no request."""

RETRY_AFTER = "1"
"""Value of the ``Retry-After`` header in seconds; an election takes about 0.7 s."""

SEARCH_THREADS = 8
"""Threads that query for the leader; the settings name three daemons, and queries of
two searches may overlap."""

ATTEMPT_THREADS = 128
"""Threads that wait for answers; one for each caller, and as many for attempts at a
former leader, which end when their time is over."""

SOCKET_OPTIONS = Keepalive(
    unacknowledged_milliseconds=1000, idle_seconds=2, interval_seconds=1, probes=2
).list_options()
"""Kept connections may go silent without being closed. A request on a connection that
is closed is sent again, as its sender waits for about 3 s."""

POOL_SIZE = 64
POOL_ADDRESSES = 32
HOP_BY_HOP_HEADERS = ("connection", "keep-alive", "transfer-encoding", "content-length")
IDEMPOTENT_METHODS = ("GET", "HEAD")

REFUSALS = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS)
"""Status codes that say that a request has not run."""

UNEXPLAINED = "server-full"
"""Reason of a refusal without a document: no thread was free to make one."""


@dataclass(frozen=True, slots=True)
class RelayAnswer:
    """Answer to a relayed request."""

    status: int
    body: bytes = b"{}"
    headers: Mapping[str, str] = field(default_factory=dict)


class _Refusal(msgspec.Struct):
    """The part of a refusal's document that is logged."""

    type: str = ""


class _Leader:
    """A daemon that is known to lead, with an event for its loss.

    Attributes
    ----------
    address : str
        Address of the daemon.
    lost : Future
        Completed when the daemon is found not to lead any longer.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.lost: Future[None] = Future()
        self._lock = threading.Lock()

    def lose(self) -> None:
        """Complete ``lost``; further calls do nothing."""
        with self._lock:
            if not self.lost.done():
                self.lost.set_result(None)


class Relay:
    """Forwards requests to the leader, and discovers it through the seeds.

    Parameters
    ----------
    list_seeds : Callable
        Returns the addresses, ``host:port``, of the daemons to query for the leader.
    find_address : Callable
        Returns the address of a daemon by the name in a referral.
    probe_path : str
        Path that only the leader answers with status 200.
    record : Callable
        Writes an event.
    find_probe_address : Callable, optional
        Returns the address at which a daemon answers probes, from its address for
        calls; by default the same address.
    """

    def __init__(
        self,
        list_seeds: Callable[[], Sequence[str]],
        find_address: Callable[[str], str],
        probe_path: str,
        record: Callable[[Record], None],
        *,
        find_probe_address: Callable[[str], str] = str,
    ) -> None:
        self._list_seeds = list_seeds
        self._find_address = find_address
        self._probe_path = probe_path
        self._record = record
        self._find_probe_address = find_probe_address
        self._http_pool = urllib3.PoolManager(
            num_pools=POOL_ADDRESSES,
            maxsize=POOL_SIZE,
            retries=False,
            socket_options=SOCKET_OPTIONS,
        )
        self._known: _Leader | None = None
        self._attempt_pool = ThreadPoolExecutor(ATTEMPT_THREADS, "attempt")
        self._check_pool = ThreadPoolExecutor(1, "check")
        self._check_lock = threading.Lock()
        self._search_pool = ThreadPoolExecutor(SEARCH_THREADS, "search")
        self._search_lock = threading.Lock()
        self._failed_searches = 0
        self._last_answer_at = float("-inf")
        self._was_ready = False

    @property
    def is_ready(self) -> bool:
        """Whether the leader has answered within ``READINESS_WINDOW_SECONDS``."""
        return time.monotonic() - self._last_answer_at < READINESS_WINDOW_SECONDS

    @property
    def leader(self) -> str:
        """Last known address of the leader, or empty."""
        known = self._known
        return known.address if known else ""

    @property
    def _leader_wait(self) -> float:
        if self._known or self.is_ready:
            return LEADER_WAIT_SECONDS
        # In a partition, refuse after one attempt instead of waiting for a leader.
        return 0.0

    def send(
        self,
        method: str,
        path: str,
        *,
        headers: Mapping[str, str],
        body: bytes,
        timeout: float,
    ) -> RelayAnswer:
        """Forward a request, retrying until the leader answers or the timeout expires.

        All calls are idempotent, so a request that may have reached a daemon is sent
        again, but not while the daemon leads and may still answer. The answer says "not
        run" only if no daemon can have received it.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path and query.
        headers : Mapping of str to str
            Header fields.
        body : bytes
            Body.
        timeout : float
            Time in seconds that the caller waits.

        Returns
        -------
        RelayAnswer
            The answer.
        """
        deadline = time.monotonic() + timeout
        leaderless_since = time.monotonic()
        may_have_run = False
        while True:
            known = self._known or self._search()
            answer: RelayAnswer | None = _make_referral()
            if known:
                answer = self._try_once(known, method, path, headers, body, deadline)
                leaderless_since = time.monotonic()
            if answer is None:
                may_have_run = True
            elif answer.status == HTTPStatus.BAD_GATEWAY:
                may_have_run = True
                time.sleep(RETRY_DELAY_SECONDS)
            elif not _is_referral(answer):
                return _mask_refusal(answer) if may_have_run else answer
            limit = min(
                deadline - MIN_ATTEMPT_SECONDS, leaderless_since + self._leader_wait
            )
            if time.monotonic() >= limit:
                return _make_timeout_answer(
                    may_have_run and method not in IDEMPOTENT_METHODS
                )

    def probe(self) -> None:
        """Query the leader, unless it answered within ``PROBE_INTERVAL_SECONDS``."""
        known = self._known
        if known is None:
            self._search()
        else:
            self._check(known)
        self._record_readiness_change()

    def close(self) -> None:
        """Close the idle connections."""
        for pool in (self._attempt_pool, self._check_pool, self._search_pool):
            pool.shutdown(wait=False, cancel_futures=True)
        self._http_pool.clear()

    def _try_once(
        self,
        known: _Leader,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        deadline: float,
    ) -> RelayAnswer | None:
        """Send a request to the leader and return its answer.

        Wait until it answers, the time is over or it is found not to lead. Return None
        if the outcome is unknown, and a referral without a name if no daemon can have
        received the request.
        """
        timeout = max(MIN_ATTEMPT_SECONDS, deadline - time.monotonic())
        attempt = self._attempt_pool.submit(
            self._request, known.address, method, path, headers, body, timeout
        )
        if not self._await_attempt(attempt, known, deadline):
            return _make_referral() if attempt.cancel() else None
        try:
            answer = attempt.result()
        except NewConnectionError:
            self._forget_leader(known)
            return _make_referral()
        except ConnectTimeoutError:
            # A busy process may not accept a connection in time.
            self._start_check(known)
            return _make_referral()
        except (HTTPError, OSError) as error:
            if not isinstance(error, TimeoutError | ReadTimeoutError):
                self._forget_leader(known)
            return None
        if _is_referral(answer):
            self._forget_leader(known)
        else:
            self._last_answer_at = time.monotonic()
        return answer

    def _await_attempt(
        self, attempt: Future[RelayAnswer], known: _Leader, deadline: float
    ) -> bool:
        """Wait for an attempt; a leader that does not answer is checked meanwhile.

        Return whether the attempt has ended.
        """
        end = max(deadline, time.monotonic() + MIN_ATTEMPT_SECONDS)
        awaited: list[Future[Any]] = [attempt, known.lost]
        while (left := end - time.monotonic()) > 0:
            wait(awaited, min(left, PROBE_INTERVAL_SECONDS), FIRST_COMPLETED)
            if attempt.done() or known.lost.done():
                break
            self._start_check(known)
        return attempt.done()

    def _request(
        self,
        address: str,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout: float,
    ) -> RelayAnswer:
        response = self._http_pool.request(
            method,
            f"http://{address}{path}",
            body=body,
            headers=dict(headers),
            timeout=urllib3.Timeout(
                connect=min(CONNECT_TIMEOUT_SECONDS, timeout), read=timeout
            ),
            retries=False,
            redirect=False,
        )
        return RelayAnswer(
            response.status, response.data, _filter_headers(response.headers)
        )

    def _forget_leader(self, known: _Leader) -> None:
        if self._known is known:
            self._known = None
        known.lose()

    # Check of the known leader

    def _start_check(self, known: _Leader) -> None:
        """Check the leader on another thread, unless a check is in progress."""
        if not self._check_lock.locked():
            self._check_pool.submit(self._check, known)

    def _check(self, known: _Leader) -> None:
        """Probe the leader if it was silent, and forget it if it does not lead.

        While a probe is unanswered, the seeds are searched for another leader, as a
        daemon whose machine was lost gives no answer at all.
        """
        with self._check_lock:
            for _ in range(PROBE_ATTEMPTS):
                if self._known is not known or self._has_answered_lately():
                    return
                probe = self._search_pool.submit(
                    self._query, known.address, PROBE_TIMEOUT_SECONDS
                )
                if successor := self._find_successor(known, probe):
                    self._replace_leader(known, successor)
                    return
                if (answer := probe.result()) is not None:
                    break
            if answer is not None and answer.status == HTTPStatus.OK:
                self._last_answer_at = time.monotonic()
                return
            self._forget_leader(known)
            self._search()

    def _find_successor(self, known: _Leader, probe: Future[RelayAnswer | None]) -> str:
        """Return the address of another leader, or empty if the probe ends earlier."""
        while not wait([probe], SILENT_SEARCH_SECONDS).done:
            if found := self._find_leader(excluded=known.address):
                return found
        return ""

    def _has_answered_lately(self) -> bool:
        return time.monotonic() - self._last_answer_at < PROBE_INTERVAL_SECONDS

    def _replace_leader(self, known: _Leader, address: str) -> None:
        if self._known is known:
            self._known = _Leader(address)
            self._last_answer_at = time.monotonic()
        known.lose()

    # Search

    def _search(self) -> _Leader | None:
        """Query all seeds for the leader in parallel.

        One search runs at a time; threads that waited for it use its result.

        Returns
        -------
        _Leader or None
            The leader, or None after a delay if none was found.
        """
        searches = self._failed_searches
        with self._search_lock:
            if self._known or self._failed_searches != searches:
                return self._known
            if found := self._find_leader():
                self._known = _Leader(found)
                self._last_answer_at = time.monotonic()
                return self._known
            self._failed_searches += 1
        time.sleep(RETRY_DELAY_SECONDS)
        return None

    def _find_leader(self, excluded: str = "") -> str:
        """Return the address of the first daemon found to lead, or empty."""
        queries = [
            self._search_pool.submit(self._resolve_leader, seed, excluded)
            for seed in self._unique_seeds()
            if seed != excluded
        ]
        for query in as_completed(queries):
            if found := query.result():
                return found
        return ""

    def _unique_seeds(self) -> Sequence[str]:
        return list(dict.fromkeys(self._list_seeds()))

    def _resolve_leader(self, address: str, excluded: str) -> str:
        """Return the leader's address as resolved through one daemon, or empty.

        A leader named in a referral is returned only if it confirms that it leads; the
        excluded daemon is not asked.
        """
        answer = self._query(address, LEADER_QUERY_TIMEOUT_SECONDS)
        if answer is None:
            return ""
        if not _is_referral(answer):
            return address if answer.status == HTTPStatus.OK else ""
        name = answer.headers[LEADER_HEADER]
        named = self._find_address(name) if name else ""
        if not named or named in (address, excluded):
            return ""
        confirmation = self._query(named, LEADER_QUERY_TIMEOUT_SECONDS)
        leads = confirmation is not None and confirmation.status == HTTPStatus.OK
        return named if leads else ""

    def _query(self, address: str, timeout: float) -> RelayAnswer | None:
        """Ask a daemon whether it leads; return None if it does not answer."""
        path, probe_address = self._probe_path, self._find_probe_address(address)
        try:
            return self._request(probe_address, "GET", path, {}, b"", timeout)
        except (HTTPError, OSError):
            # An unreachable daemon can't serve callers, even if it leads.
            return None

    def _record_readiness_change(self) -> None:
        ready = self.is_ready
        if ready == self._was_ready:
            return
        self._was_ready = ready
        event = Event.RELAY_REGAINED if ready else Event.RELAY_LOST
        self._record(Record(event, "", {"leader": self.leader}))


class RelayApplication:
    """WSGI application that forwards every request through a relay.

    Parameters
    ----------
    relay : Relay
        Relay to the leader.
    find_timeout : Callable
        Returns the time in seconds that a caller waits, from the WSGI environment.
    record : Callable
        Writes an event.
    metrics : Metrics
        Counters and latencies of requests.
    """

    def __init__(
        self,
        relay: Relay,
        find_timeout: Callable[[Mapping[str, Any]], float],
        *,
        record: Callable[[Record], None],
        metrics: Metrics,
    ) -> None:
        self._relay = relay
        self._find_timeout = find_timeout
        self._record = record
        self._metrics = metrics
        self.is_draining = False
        self.in_progress = 0
        self._lock = threading.Lock()

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Forward one request."""
        with self._lock:
            self.in_progress += 1
        try:
            answer = self._send(environ)
        finally:
            with self._lock:
                self.in_progress -= 1
        headers = {"Content-Type": "application/json", **answer.headers}
        headers["Content-Length"] = str(len(answer.body))
        if answer.status in REFUSALS:
            headers.setdefault("Retry-After", RETRY_AFTER)
        if self.is_draining:
            headers["Connection"] = "close"
        phrase = HTTPStatus(answer.status).phrase
        start_response(f"{answer.status} {phrase}", list(headers.items()))
        return [answer.body]

    def _send(self, environ: Mapping[str, Any]) -> RelayAnswer:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if query := environ.get("QUERY_STRING"):
            path = f"{path}?{query}"
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        headers = {
            key.removeprefix("HTTP_").replace("_", "-").title(): value
            for key, value in environ.items()
            if key in ("HTTP_HOST", "HTTP_AUTHORIZATION")
        }
        started = time.monotonic()
        answer = self._relay.send(
            method,
            path,
            headers=headers,
            body=body,
            timeout=self._find_timeout(environ),
        )
        duration = time.monotonic() - started
        self._metrics.count("http_calls", audience="caller", status=str(answer.status))
        self._metrics.observe_latency("http", duration, audience="caller")
        if method == "POST" or answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            attributes: dict[str, Scalar] = {
                "method": method,
                "path": path,
                "status": int(answer.status),
                "seconds": round(duration, 3),
                "leader": self._relay.leader,
            }
            if answer.status >= HTTPStatus.BAD_REQUEST:
                attributes["reason"] = _find_reason(answer)
            subject = path.rpartition("/")[2]
            self._record(Record(Event.REQUEST_RELAYED, subject, attributes))
        return answer


def _filter_headers(headers: Mapping[str, str]) -> dict[str, str]:
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in (*HOP_BY_HOP_HEADERS, "date", "server")
    }


def _is_referral(answer: RelayAnswer) -> bool:
    return LEADER_HEADER in answer.headers


def _make_referral() -> RelayAnswer:
    return RelayAnswer(HTTPStatus.SERVICE_UNAVAILABLE, headers={LEADER_HEADER: ""})


def _make_timeout_answer(may_have_run: bool) -> RelayAnswer:
    if may_have_run:
        return RelayAnswer(HTTPStatus.GATEWAY_TIMEOUT)
    headers = {"Retry-After": RETRY_AFTER}
    return RelayAnswer(HTTPStatus.SERVICE_UNAVAILABLE, headers=headers)


def _mask_refusal(answer: RelayAnswer) -> RelayAnswer:
    # An earlier attempt may have run, so the caller must not be told "not run".
    if answer.status in REFUSALS:
        return RelayAnswer(HTTPStatus.GATEWAY_TIMEOUT)
    return answer


def _find_reason(answer: RelayAnswer) -> str:
    """Return the type of a refusal for the log."""
    try:
        refusal = msgspec.json.decode(answer.body, type=_Refusal)
    except msgspec.DecodeError:
        return UNEXPLAINED
    return refusal.type.rpartition("/")[2] or "timeout"
