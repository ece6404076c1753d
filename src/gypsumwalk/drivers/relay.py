"""Relay that forwards callers' requests from an entry instance to the leader."""

import threading
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor, as_completed
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from gypsumwalk.drivers.metrics import Metrics
from gypsumwalk.effects import Record, Scalar
from gypsumwalk.events import Event
from gypsumwalk.fleet_call_handler import LEADER_HEADER

__all__ = ["Relay", "RelayAnswer", "RelayApplication"]

CONNECT_TIMEOUT_SECONDS = 0.3
"""Connecting takes one round trip, and links have a latency of a few milliseconds."""

ATTEMPT_TIMEOUT_SECONDS = 0.6
"""Timeout of one attempt; a commit takes about 20 ms, an election 0.7 s."""

LEADER_QUERY_TIMEOUT_SECONDS = 0.15
"""Timeout of one query for the leader, which needs no commit."""

LEADER_WAIT_SECONDS = 1.5
"""Time that a request waits for a leader; an election takes 0.7 s. After that a retry,
at another entry instance or later, serves the caller better."""

MIN_ATTEMPT_SECONDS = 0.05
"""Minimum timeout of one attempt."""

RETRY_DELAY_SECONDS = 0.05
"""Delay between two searches for the leader, and before a retry after a 502."""

READINESS_WINDOW_SECONDS = 0.9
"""Time since the leader's last answer after which the relay is not ready."""

PARTITION_SECONDS = 3.0
"""Time without an answer that is too long for an election and implies a partition."""

PROBE_INTERVAL_SECONDS = 0.3
"""Interval at which the leader is probed while no request reaches it."""

RETRY_AFTER = "1"
"""Value of the ``Retry-After`` header in seconds; an election takes about 0.7 s."""

SEARCH_THREADS = 4
"""Threads that query for the leader; the settings name three daemons, and a referral
may name a fourth."""

POOL_SIZE = 64
HOP_BY_HOP_HEADERS = ("connection", "keep-alive", "transfer-encoding", "content-length")
IDEMPOTENT_METHODS = ("GET", "HEAD")


@dataclass(frozen=True, slots=True)
class RelayAnswer:
    """Answer to a relayed request."""

    status: int
    body: bytes = b"{}"
    headers: Mapping[str, str] = field(default_factory=dict)


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
    """

    def __init__(
        self,
        list_seeds: Callable[[], Sequence[str]],
        find_address: Callable[[str], str],
        probe_path: str,
        record: Callable[[Record], None],
    ) -> None:
        self._list_seeds = list_seeds
        self._find_address = find_address
        self._probe_path = probe_path
        self._record = record
        self._http_pool = urllib3.PoolManager(
            num_pools=16, maxsize=POOL_SIZE, retries=False
        )
        self._leader = ""
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
        return self._leader

    @property
    def _leader_wait(self) -> float:
        silence = time.monotonic() - self._last_answer_at
        if self._leader or silence <= PARTITION_SECONDS:
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
        again. The answer says "not run" only if no daemon can have received it.

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
        started = time.monotonic()
        may_have_run = False
        while True:
            elapsed = time.monotonic() - started
            attempt_timeout = max(
                MIN_ATTEMPT_SECONDS, min(ATTEMPT_TIMEOUT_SECONDS, timeout - elapsed)
            )
            address = self._leader or self._search()
            answer: RelayAnswer | None = _make_referral()
            if address:
                answer = self._try_once(
                    address, method, path, headers, body, attempt_timeout
                )
            if answer is None:
                may_have_run = True
            elif answer.status == HTTPStatus.BAD_GATEWAY:
                may_have_run = True
                time.sleep(RETRY_DELAY_SECONDS)
            elif not _is_referral(answer):
                return _mask_refusal(answer) if may_have_run else answer
            limit = min(timeout - MIN_ATTEMPT_SECONDS, self._leader_wait)
            if time.monotonic() - started >= limit:
                return _make_timeout_answer(
                    may_have_run and method not in IDEMPOTENT_METHODS
                )

    def probe(self) -> None:
        """Query the leader, unless it answered within ``PROBE_INTERVAL_SECONDS``."""
        address = self._leader
        if time.monotonic() - self._last_answer_at >= PROBE_INTERVAL_SECONDS and (
            not address or not self._confirm_leader(address)
        ):
            self._search()
        self._record_readiness_change()

    def close(self) -> None:
        """Close the idle connections."""
        self._search_pool.shutdown(wait=False, cancel_futures=True)
        self._http_pool.clear()

    def _try_once(
        self,
        address: str,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout: float,
    ) -> RelayAnswer | None:
        """Send a request to one daemon and return its answer.

        Return None if the outcome is unknown, and a referral without a name if no
        connection was established.
        """
        try:
            answer = self._request(address, method, path, headers, body, timeout)
        except (NewConnectionError, ConnectTimeoutError):
            self._forget_leader(address)
            return _make_referral()
        except (HTTPError, OSError):
            self._forget_leader(address)
            return None
        if _is_referral(answer):
            self._forget_leader(address)
        else:
            self._last_answer_at = time.monotonic()
        return answer

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

    def _forget_leader(self, address: str) -> None:
        if self._leader == address:
            self._leader = ""

    # Search

    def _search(self) -> str:
        """Query all seeds for the leader in parallel.

        One search runs at a time; threads that waited for it use its result.

        Returns
        -------
        str
            Address of the leader, or empty after a delay if none was found.
        """
        searches = self._failed_searches
        with self._search_lock:
            if self._leader or self._failed_searches != searches:
                return self._leader
            queries = [
                self._search_pool.submit(self._resolve_leader, seed)
                for seed in self._unique_seeds()
            ]
            for query in as_completed(queries):
                if found := query.result():
                    self._leader = found
                    self._last_answer_at = time.monotonic()
                    return found
            self._failed_searches += 1
        time.sleep(RETRY_DELAY_SECONDS)
        return ""

    def _unique_seeds(self) -> Sequence[str]:
        return list(dict.fromkeys(self._list_seeds()))

    def _resolve_leader(self, address: str) -> str:
        """Return the leader's address as resolved through one daemon, or empty.

        A leader named in a referral is returned only if it confirms that it leads.
        """
        answer = self._query_leader(address)
        if answer is None:
            return ""
        if not _is_referral(answer):
            return address if answer.status == HTTPStatus.OK else ""
        name = answer.headers[LEADER_HEADER]
        named = self._find_address(name) if name else ""
        if not named or named == address:
            return ""
        return named if self._confirm_leader(named) else ""

    def _confirm_leader(self, address: str) -> bool:
        """Query a daemon and return whether it leads."""
        answer = self._query_leader(address)
        if answer is None or answer.status != HTTPStatus.OK:
            self._forget_leader(address)
            return False
        self._last_answer_at = time.monotonic()
        return True

    def _query_leader(self, address: str) -> RelayAnswer | None:
        path = self._probe_path
        try:
            return self._request(
                address, "GET", path, {}, b"", LEADER_QUERY_TIMEOUT_SECONDS
            )
        except (HTTPError, OSError):
            # An unreachable daemon can't serve callers, even if it leads.
            return None

    def _record_readiness_change(self) -> None:
        ready = self.is_ready
        if ready == self._was_ready:
            return
        self._was_ready = ready
        event = Event.RELAY_REGAINED if ready else Event.RELAY_LOST
        self._record(Record(event, "", {"leader": self._leader}))


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
    refusals = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS)
    if answer.status in refusals:
        return RelayAnswer(HTTPStatus.GATEWAY_TIMEOUT)
    return answer
