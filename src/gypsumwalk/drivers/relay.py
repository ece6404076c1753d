"""Relay of callers' requests from an entry instance to the daemon that leads."""

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

CONNECT_SECONDS = 0.3
"""Links are a few milliseconds long; a connection takes one round trip."""

ANSWER_SECONDS = 0.6
"""Time in seconds for one attempt; a commit takes about 20 ms, an election 0.7 s."""

SEARCH_SECONDS = 0.15
"""Time in seconds for one question for the leader; its answer needs no commit."""

HOLD_SECONDS = 1.5
"""Time in seconds that a request waits for a leader; an election takes 0.7 s. After
that the caller is better served by another entry, or later."""

SHORTEST_SECONDS = 0.05
"""Shortest time in seconds that an attempt is worth."""

PAUSE_SECONDS = 0.05
"""Pause in seconds between two searches for the leader."""

STALE_SECONDS = 0.9
"""Time in seconds without a leader's answer after which the relay is not ready."""

CUT_OFF_SECONDS = 3.0
"""Time in seconds after which no election but a partition keeps the leader away."""

PROBE_SECONDS = 0.3
"""Interval of asking for the leader while no request does."""

RETRY_AFTER = "1"
"""Seconds after which a caller may come back; an election takes about 0.7 s."""

SEARCHERS = 4
"""Threads that search; the settings name three daemons, and one may name a fourth."""

POOL_SIZE = 64
HOP_HEADERS = ("connection", "keep-alive", "transfer-encoding", "content-length")
IDEMPOTENT = ("GET", "HEAD")


@dataclass(frozen=True, slots=True)
class RelayAnswer:
    """Answer to a relayed request."""

    status: int
    body: bytes = b"{}"
    headers: Mapping[str, str] = field(default_factory=dict)


class Relay:
    """Sends requests to the leader, and finds it.

    Parameters
    ----------
    list_seeds : Callable
        Returns addresses, ``host:port``, of daemons to ask for the leader.
    find_address : Callable
        Returns the address of a daemon by the name that answers carry.
    probe_path : str
        Path that only a leader answers with success.
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
        self._pools = urllib3.PoolManager(
            num_pools=16, maxsize=POOL_SIZE, retries=False
        )
        self._leader = ""
        self._searchers = ThreadPoolExecutor(SEARCHERS, "search")
        self._search_lock = threading.Lock()
        self._searches = 0
        self._answered = float("-inf")
        self._was_ready = False

    @property
    def is_ready(self) -> bool:
        """Whether a leader answered lately."""
        return time.monotonic() - self._answered < STALE_SECONDS

    @property
    def leader(self) -> str:
        """Address of the leader as last known, or empty."""
        return self._leader

    @property
    def _hold(self) -> float:
        silent = time.monotonic() - self._answered
        if self._leader or silent <= CUT_OFF_SECONDS:
            return HOLD_SECONDS
        # A request that can't be served is refused at once, after one attempt.
        return 0.0

    def send(
        self,
        method: str,
        path: str,
        *,
        headers: Mapping[str, str],
        body: bytes,
        patience: float,
    ) -> RelayAnswer:
        """Send a request until the leader has answered it or the time is over.

        A request that may have reached a daemon is sent again, as calls are
        idempotent. It is refused as not run only if no daemon can have taken it.

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
        patience : float
            Seconds that the caller waits.

        Returns
        -------
        RelayAnswer
            The answer.
        """
        started = time.monotonic()
        may_have_run = False
        while True:
            elapsed = time.monotonic() - started
            left = max(SHORTEST_SECONDS, min(ANSWER_SECONDS, patience - elapsed))
            address = self._leader or self._search()
            answer: RelayAnswer | None = _refer()
            if address:
                answer = self._try_once(address, method, path, headers, body, left)
            if answer is None:
                may_have_run = True
            elif answer.status == HTTPStatus.BAD_GATEWAY:
                may_have_run = True
                time.sleep(PAUSE_SECONDS)
            elif not _is_referral(answer):
                return _hide_refusal(answer) if may_have_run else answer
            limit = min(patience - SHORTEST_SECONDS, self._hold)
            if time.monotonic() - started >= limit:
                return _give_up(may_have_run and method not in IDEMPOTENT)

    def probe(self) -> None:
        """Ask for the leader once, if no request did lately."""
        address = self._leader
        if time.monotonic() - self._answered >= PROBE_SECONDS and (
            not address or not self._confirm(address)
        ):
            self._search()
        self._note_readiness()

    def close(self) -> None:
        """Close the idle connections."""
        self._searchers.shutdown(wait=False, cancel_futures=True)
        self._pools.clear()

    def _try_once(
        self,
        address: str,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout: float,
    ) -> RelayAnswer | None:
        """Send a request to one daemon; None if it may have taken it or not."""
        try:
            answer = self._request(address, method, path, headers, body, timeout)
        except (NewConnectionError, ConnectTimeoutError):
            self._forget_leader(address)
            return _refer()
        except (HTTPError, OSError):
            self._forget_leader(address)
            return None
        if _is_referral(answer):
            self._forget_leader(address)
        else:
            self._answered = time.monotonic()
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
        response = self._pools.request(
            method,
            f"http://{address}{path}",
            body=body,
            headers=dict(headers),
            timeout=urllib3.Timeout(
                connect=min(CONNECT_SECONDS, timeout), read=timeout
            ),
            retries=False,
            redirect=False,
        )
        return RelayAnswer(response.status, response.data, _keep(response.headers))

    def _forget_leader(self, address: str) -> None:
        if self._leader == address:
            self._leader = ""

    # Search

    def _search(self) -> str:
        """Ask all seeds at once who leads; one thread does, the others wait for it.

        Returns
        -------
        str
            Address of the leader, or empty after a pause if none was found.
        """
        searches = self._searches
        with self._search_lock:
            if self._leader or self._searches != searches:
                return self._leader
            asked = [self._searchers.submit(self._ask, seed) for seed in self._seeds()]
            for question in as_completed(asked):
                if found := question.result():
                    self._leader = found
                    self._answered = time.monotonic()
                    return found
            self._searches += 1
        time.sleep(PAUSE_SECONDS)
        return ""

    def _seeds(self) -> Sequence[str]:
        return list(dict.fromkeys(self._list_seeds()))

    def _ask(self, address: str) -> str:
        """Return the leader's address, confirmed by itself, or empty."""
        answer = self._question(address)
        if answer is None:
            return ""
        if not _is_referral(answer):
            return address if answer.status == HTTPStatus.OK else ""
        name = answer.headers[LEADER_HEADER]
        named = self._find_address(name) if name else ""
        if not named or named == address:
            return ""
        return named if self._confirm(named) else ""

    def _confirm(self, address: str) -> bool:
        """Tell whether a daemon says that it leads."""
        answer = self._question(address)
        if answer is None or answer.status != HTTPStatus.OK:
            self._forget_leader(address)
            return False
        self._answered = time.monotonic()
        return True

    def _question(self, address: str) -> RelayAnswer | None:
        path = self._probe_path
        try:
            return self._request(address, "GET", path, {}, b"", SEARCH_SECONDS)
        except (HTTPError, OSError):
            # A daemon that does not answer does not lead as far as callers can tell.
            return None

    def _note_readiness(self) -> None:
        ready = self.is_ready
        if ready == self._was_ready:
            return
        self._was_ready = ready
        event = Event.RELAY_REGAINED if ready else Event.RELAY_LOST
        self._record(Record(event, "", {"leader": self._leader}))


class RelayApplication:
    """WSGI application that relays every request.

    Parameters
    ----------
    relay : Relay
        The relay.
    find_patience : Callable
        Returns the seconds that a caller waits, from the request's environment.
    record : Callable
        Writes an event.
    metrics : Metrics
        Counters and latencies of requests.
    """

    def __init__(
        self,
        relay: Relay,
        find_patience: Callable[[Mapping[str, Any]], float],
        *,
        record: Callable[[Record], None],
        metrics: Metrics,
    ) -> None:
        self._relay = relay
        self._find_patience = find_patience
        self._record = record
        self._metrics = metrics
        self.leaving = False
        self.in_progress = 0
        self._lock = threading.Lock()

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Relay one request."""
        with self._lock:
            self.in_progress += 1
        try:
            answer = self._send(environ)
        finally:
            with self._lock:
                self.in_progress -= 1
        headers = {"Content-Type": "application/json", **answer.headers}
        headers["Content-Length"] = str(len(answer.body))
        if self.leaving:
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
            patience=self._find_patience(environ),
        )
        waited = time.monotonic() - started
        self._metrics.count("http_calls", audience="caller", status=str(answer.status))
        self._metrics.observe_latency("http", waited, audience="caller")
        if method == "POST" or answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            attributes: dict[str, Scalar] = {
                "method": method,
                "path": path,
                "status": int(answer.status),
                "seconds": round(waited, 3),
                "leader": self._relay.leader,
            }
            subject = path.rpartition("/")[2]
            self._record(Record(Event.REQUEST_RELAYED, subject, attributes))
        return answer


def _keep(headers: Mapping[str, str]) -> dict[str, str]:
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in (*HOP_HEADERS, "date", "server")
    }


def _is_referral(answer: RelayAnswer) -> bool:
    return LEADER_HEADER in answer.headers


def _refer() -> RelayAnswer:
    return RelayAnswer(HTTPStatus.SERVICE_UNAVAILABLE, headers={LEADER_HEADER: ""})


def _give_up(may_have_run: bool) -> RelayAnswer:
    if may_have_run:
        return RelayAnswer(HTTPStatus.GATEWAY_TIMEOUT)
    headers = {"Retry-After": RETRY_AFTER}
    return RelayAnswer(HTTPStatus.SERVICE_UNAVAILABLE, headers=headers)


def _hide_refusal(answer: RelayAnswer) -> RelayAnswer:
    # An earlier attempt may have been taken, so "not run" would not be known.
    refusals = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS)
    if answer.status in refusals:
        return RelayAnswer(HTTPStatus.GATEWAY_TIMEOUT)
    return answer
