"""Table of the requests that one daemon keeps, with their answers and tickets."""

from collections import OrderedDict
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

import msgspec

from gypsumwalk.effects import Answer, Effect, Record, Respond, SendPeer
from gypsumwalk.events import Event
from gypsumwalk.problems import Outcome
from gypsumwalk.queues import Flow
from gypsumwalk.request_messages import Content, RelayAnswer, make_content
from gypsumwalk.submissions import RequestState

__all__ = ["Request", "RequestIdentity", "RequestTable", "Waiter", "answer_waiter"]

MAX_LIVE_REQUESTS = 4096
MAX_ENDED_REQUESTS = 8192
MAX_TICKETS = 8192
MAX_LIVE_BYTES = 8 * 1024 * 1024
MAX_ENDED_BYTES = 8 * 1024 * 1024
ANSWER_RETENTION_SECONDS = 120.0
TICKET_SECONDS = 300.0
NONCE_BITS = 64


class RequestIdentity(NamedTuple):
    """Daemon and incarnation that issued a request identifier."""

    daemon: str
    incarnation: int

    @staticmethod
    def parse(request_id: str) -> "RequestIdentity | None":
        """Parse a request identifier; return None if it is malformed."""
        parts = request_id.rsplit(".", 3)
        if len(parts) != 4 or not parts[0]:
            return None
        if not (parts[1].isdecimal() and parts[2].isdecimal()):
            return None
        return RequestIdentity(parts[0], int(parts[1]))


class Waiter(NamedTuple):
    """A call that waits for an answer, here or relayed by another daemon."""

    call_id: int = 0
    daemon: str = ""
    number: int = 0
    incarnation: int = 0


@dataclass(slots=True, eq=False)
class Request:
    """A request, from its acceptance until its answer is evicted.

    Attributes
    ----------
    request_id, queue, service, team, credential : str
        Identifier, queue, service and team of the request, and its caller's key.
    urgent, repeatable : bool
        Flags set by the caller.
    content : Content
        Body of the request, empty once it has ended.
    digest : str
        Digest of the body.
    accepted_at, deadline : float
        Times in seconds.
    may_have_run : bool
        Whether a target may have run the request, so that it is not "not run".
    attempts : int
        Number of attempts started.
    started_at : float
        Time in seconds at which the current attempt started.
    owner, token : str
        Daemon and slot of the current attempt; the owner is empty for this daemon.
    """

    request_id: str
    queue: str
    service: str
    team: str
    credential: str
    urgent: bool
    repeatable: bool
    content: Content
    digest: str
    accepted_at: float
    deadline: float
    state: RequestState = RequestState.WAITING
    outcome: Outcome = Outcome.NOT_RUN
    may_have_run: bool = False
    cancelled: bool = False
    attempts: int = 0
    started_at: float = 0.0
    owner: str = ""
    token: str = ""
    waiters: list[Waiter] = field(default_factory=list)
    answer: Answer | None = None
    ended_at: float = 0.0

    @property
    def flow(self) -> Flow:
        """Flow that the request waits in."""
        return Flow(self.team, self.urgent)

    @property
    def reported_outcome(self) -> Outcome:
        """Outcome told to callers: "in progress" until the end, as it may yet run."""
        return Outcome.IN_PROGRESS if self.answer is None else self.outcome

    @property
    def unanswered_outcome(self) -> Outcome:
        """Outcome if the request ends now without an answer of a target."""
        return Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN

    @property
    def attempt_id(self) -> str:
        """Identifier of the current attempt, which holds a unit of its team's quota."""
        return f"{self.request_id}/{self.attempts}"


class RequestTable:
    """Live and ended requests by identifier, bounded in number and bytes.

    Parameters
    ----------
    name : str
        Name of this daemon.
    incarnation : int
        Incarnation of this daemon.
    random : Random
        Source of the random part of identifiers.
    """

    def __init__(self, name: str, incarnation: int, random: Random) -> None:
        self._name = name
        self._incarnation = incarnation
        self._random = random
        self._minted = 0
        self._tickets: OrderedDict[str, float] = OrderedDict()
        self._live: dict[str, Request] = {}
        self._ended: OrderedDict[str, Request] = OrderedDict()
        self._live_bytes = 0
        self._ended_bytes = 0

    @property
    def live(self) -> dict[str, Request]:
        """Requests that wait or run, by identifier."""
        return self._live

    def mint(self) -> str:
        """Return a new request identifier."""
        self._minted += 1
        nonce = f"{self._random.getrandbits(NONCE_BITS):016x}"
        return f"{self._name}.{self._incarnation}.{self._minted}.{nonce}"

    def mint_ticket(self, now: float) -> str | None:
        """Return an identifier valid for ``TICKET_SECONDS``; None at the limit."""
        while self._tickets and next(iter(self._tickets.values())) <= now:
            self._tickets.popitem(last=False)
        if len(self._tickets) >= MAX_TICKETS:
            return None
        request_id = self.mint()
        self._tickets[request_id] = now + TICKET_SECONDS
        return request_id

    def has_ticket(self, request_id: str, now: float) -> bool:
        """Tell whether an identifier is an unused ticket that is still valid."""
        return self._tickets.get(request_id, 0.0) > now

    def redeem_ticket(self, request_id: str) -> None:
        """Remove a ticket, if the identifier is one."""
        self._tickets.pop(request_id, None)

    def find(self, request_id: str) -> Request | None:
        """Return a live or retained request, or None."""
        return self._live.get(request_id) or self._ended.get(request_id)

    def has_room(self, payload_bytes: int) -> bool:
        """Tell whether a request with a body of this size fits the limits."""
        if len(self._live) >= MAX_LIVE_REQUESTS:
            return False
        return self._live_bytes + payload_bytes <= MAX_LIVE_BYTES

    def add(self, request: Request) -> None:
        """Add an accepted request."""
        self._live[request.request_id] = request
        self._live_bytes += request.content.length

    def end(
        self, request: Request, answer: Answer, outcome: Outcome, now: float
    ) -> list[Effect]:
        """End a request: retain its answer and send it to the waiting callers.

        Parameters
        ----------
        request : Request
            The request, which must be live.
        answer : Answer
            The answer.
        outcome : Outcome
            Outcome of the request.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Answers to the waiting callers, and the event of the end.
        """
        del self._live[request.request_id]
        self._live_bytes -= request.content.length
        request.content = Content()
        request.state = RequestState.ENDED
        request.outcome = outcome
        request.answer = _add_request_id(answer, request.request_id)
        request.ended_at = now
        self._ended[request.request_id] = request
        self._ended_bytes += len(answer.payload)
        self._evict_ended(now)
        effects: list[Effect] = [
            answer_waiter(waiter, request.request_id, request.answer)
            for waiter in request.waiters
        ]
        request.waiters.clear()
        attributes = {"outcome": outcome.value, "reason": str(answer.status)}
        effects.append(Record(Event.REQUEST_ENDED, request.request_id, attributes))
        return effects

    def _evict_ended(self, now: float) -> None:
        while self._ended and self._is_over_limit(now):
            _, oldest = self._ended.popitem(last=False)
            if oldest.answer is not None:
                self._ended_bytes -= len(oldest.answer.payload)

    def _is_over_limit(self, now: float) -> bool:
        if len(self._ended) > MAX_ENDED_REQUESTS or self._ended_bytes > MAX_ENDED_BYTES:
            return True
        oldest = next(iter(self._ended.values()))
        return now - oldest.ended_at > ANSWER_RETENTION_SECONDS


def answer_waiter(waiter: Waiter, request_id: str, answer: Answer) -> Effect:
    """Return the effect that sends an answer to a waiting call."""
    if not waiter.daemon:
        return Respond(waiter.call_id, answer)
    payload = answer.payload
    if answer.body is not None:
        payload = msgspec.json.encode(answer.body)
    message = RelayAnswer(
        number=waiter.number,
        incarnation=waiter.incarnation,
        request_id=request_id,
        status=answer.status,
        headers=dict(answer.headers),
        content=make_content(payload, answer.content_type),
    )
    return SendPeer(waiter.daemon, message, reliable=True)


def _add_request_id(answer: Answer, request_id: str) -> Answer:
    headers = {**answer.headers, "Gypsumwalk-Request-Id": request_id}
    return Answer(
        answer.status, answer.body, answer.payload, answer.content_type, headers
    )
