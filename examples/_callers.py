"""Callers of the demo: requests over several daemons at once."""

import json
import threading
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import urllib3
from urllib3.exceptions import HTTPError

from examples._stage import DaemonPlace

CALLER_THREADS = 16
CALL_TIMEOUT_SECONDS = 30.0
HTTP_OK = 200


@dataclass(frozen=True, slots=True)
class Sent:
    """One request and what came back.

    Attributes
    ----------
    ticket : str
        Identifier of the request.
    status : int
        HTTP status; 0 where the connection broke.
    is_own_answer : bool
        Whether the answer is whole and belongs to this request.
    outcome : str
        Outcome that a refusal stated.
    """

    ticket: str
    status: int
    is_own_answer: bool
    outcome: str


class Callers:
    """Hands in requests with keys, some marked as not repeatable.

    Parameters
    ----------
    daemons : Sequence of DaemonPlace
        Daemons that take the requests in turn.
    """

    def __init__(self, daemons: Sequence[DaemonPlace]) -> None:
        self._daemons = list(daemons)
        self._pool = urllib3.PoolManager(maxsize=CALLER_THREADS, retries=False)
        self._lock = threading.Lock()
        self.sent: list[Sent] = []

    def send_many(
        self, count: int, *, queue: str, key: str, work_seconds: float = 0.0
    ) -> list[Sent]:
        """Hand in requests in parallel and wait for all answers.

        Parameters
        ----------
        count : int
            Number of requests.
        queue : str
            Queue that they are handed to.
        key : str
            Key of the team.
        work_seconds : float
            Seconds that a target works on each.

        Returns
        -------
        list of Sent
            What came back, in order.
        """

        def send(number: int) -> Sent:
            place = self._daemons[number % len(self._daemons)]
            return self.send(
                place, queue=queue, key=key, number=number, work_seconds=work_seconds
            )

        with ThreadPoolExecutor(CALLER_THREADS) as executor:
            return list(executor.map(send, range(count)))

    def send(
        self,
        place: DaemonPlace,
        *,
        queue: str,
        key: str,
        number: int = 0,
        work_seconds: float = 0.0,
    ) -> Sent:
        """Hand in one request and wait for its answer."""
        try:
            sent = self._send(place, queue, key, number, work_seconds)
        except HTTPError:
            sent = Sent("", 0, False, "")
        with self._lock:
            self.sent.append(sent)
        return sent

    def _send(
        self,
        place: DaemonPlace,
        queue: str,
        key: str,
        number: int,
        work_seconds: float,
    ) -> Sent:
        base = f"http://{place.caller_address}/v1"
        minted = self._pool.request("POST", f"{base}/tickets", timeout=5.0)
        ticket = json.loads(minted.data)["request_id"]
        work = {"ticket": ticket, "row": number, "work_seconds": work_seconds}
        payload = json.dumps(work).encode()
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
            return Sent(ticket, HTTP_OK, response.data == payload, "")
        return Sent(
            ticket, response.status, False, json.loads(response.data)["outcome"]
        )
