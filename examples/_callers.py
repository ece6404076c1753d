"""Callers of the demo, which send requests to several daemons in parallel."""

import json
import threading
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import urllib3
from urllib3.exceptions import HTTPError

from examples._local_cluster import DaemonEndpoint

CALLER_THREADS = 16
CALL_TIMEOUT_SECONDS = 30.0
HTTP_OK = 200


@dataclass(frozen=True, slots=True)
class SentRequest:
    """One request and its response.

    Attributes
    ----------
    ticket : str
        Identifier of the request.
    status : int
        HTTP status; 0 if the connection failed.
    is_own_answer : bool
        Whether the answer is complete and belongs to this request.
    outcome : str
        Outcome stated by a refusal.
    """

    ticket: str
    status: int
    is_own_answer: bool
    outcome: str


class Callers:
    """Sends requests with API keys, every other one marked as not repeatable.

    Parameters
    ----------
    daemons : Sequence of DaemonPlace
        Daemons, used in round robin.
    """

    def __init__(self, daemons: Sequence[DaemonEndpoint]) -> None:
        self._daemons = list(daemons)
        self._pool = urllib3.PoolManager(maxsize=CALLER_THREADS, retries=False)
        self._lock = threading.Lock()
        self.sent: list[SentRequest] = []

    def send_many(
        self, count: int, *, queue: str, key: str, work_seconds: float = 0.0
    ) -> list[SentRequest]:
        """Send requests in parallel and wait for all answers.

        Parameters
        ----------
        count : int
            Number of requests.
        queue : str
            Queue that they are submitted to.
        key : str
            API key of the team.
        work_seconds : float
            Service time of each at a target, in seconds.

        Returns
        -------
        list of SentRequest
            Requests and responses, in the order of their numbers.
        """

        def send(number: int) -> SentRequest:
            daemon = self._daemons[number % len(self._daemons)]
            return self.send(
                daemon, queue=queue, key=key, number=number, work_seconds=work_seconds
            )

        with ThreadPoolExecutor(CALLER_THREADS) as executor:
            return list(executor.map(send, range(count)))

    def send(
        self,
        daemon: DaemonEndpoint,
        *,
        queue: str,
        key: str,
        number: int = 0,
        work_seconds: float = 0.0,
    ) -> SentRequest:
        """Send one request and wait for its answer."""
        try:
            sent = self._send(daemon, queue, key, number, work_seconds)
        except HTTPError:
            sent = SentRequest("", 0, False, "")
        with self._lock:
            self.sent.append(sent)
        return sent

    def _send(
        self,
        daemon: DaemonEndpoint,
        queue: str,
        key: str,
        number: int,
        work_seconds: float,
    ) -> SentRequest:
        base = f"http://{daemon.caller_address}/v1"
        issued = self._pool.request("POST", f"{base}/tickets", timeout=5.0)
        ticket = json.loads(issued.data)["request_id"]
        body = {"ticket": ticket, "row": number, "work_seconds": work_seconds}
        payload = json.dumps(body).encode()
        headers = {
            "Gypsumwalk-Request-Id": ticket,
            "Gypsumwalk-Repeatable": "false" if number % 2 else "true",
        }
        if key:
            headers["Authorization"] = f"Bearer {key}"
        response = self._pool.request(
            "POST",
            f"{base}/queues/{queue}/requests",
            body=payload,
            headers=headers,
            timeout=CALL_TIMEOUT_SECONDS,
        )
        if response.status == HTTP_OK:
            return SentRequest(ticket, HTTP_OK, response.data == payload, "")
        return SentRequest(
            ticket, response.status, False, json.loads(response.data)["outcome"]
        )
