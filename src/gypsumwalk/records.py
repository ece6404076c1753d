"""Records of the requests that one daemon keeps, and of their answers."""

from collections import OrderedDict
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

import msgspec

from gypsumwalk.effects import Answer, Effect, Record, Respond, SendPeer
from gypsumwalk.events import Event
from gypsumwalk.exchange import Content, RelayAnswer, make_content
from gypsumwalk.problems import Outcome
from gypsumwalk.queues import Line
from gypsumwalk.submissions import RequestState

__all__ = ["Request", "RequestIdentity", "RequestTable", "Waiter", "answer_waiter"]

MAX_LIVE = 4096
MAX_ENDED = 8192
MAX_TICKETS = 8192
MAX_LIVE_BYTES = 8 * 1024 * 1024
MAX_ENDED_BYTES = 8 * 1024 * 1024
RETAIN_SECONDS = 120.0
TICKET_SECONDS = 300.0
NONCE_BITS = 64


class RequestIdentity(NamedTuple):
    """What a request identifier says of the daemon that minted it."""

    daemon: str
    incarnation: int

    @staticmethod
    def parse(request_id: str) -> "RequestIdentity | None":
        """Read a request identifier; None if it is not one."""
        parts = request_id.rsplit(".", 3)
        if len(parts) != 4 or not parts[0]:
            return None
        if not (parts[1].isdecimal() and parts[2].isdecimal()):
            return None
        return RequestIdentity(parts[0], int(parts[1]))


class Waiter(NamedTuple):
    """A caller that waits for the answer, here or at another daemon."""

    call_id: int = 0
    daemon: str = ""
    number: int = 0
    incarnation: int = 0


@dataclass(slots=True, eq=False)
class Request:
    """A request from the time it is accepted until its answer is forgotten.

    Attributes
    ----------
    request_id, queue, service, team, credential : str
        What it is and where it belongs.
    urgent, repeatable : bool
        As its caller marked it.
    content : Content
        Its body, empty once it ended.
    digest : str
        Digest of its body.
    accepted_at, deadline : float
        Times in seconds.
    may_have_run : bool
        Whether an attempt ended without an answer.
    attempts : int
        Attempts begun.
    started_at : float
        Time in seconds at which the present attempt began.
    owner, token : str
        Daemon and slot of the present attempt; the owner is empty for this daemon.
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
    def line(self) -> Line:
        """Line that the request waits in."""
        return Line(self.team, self.urgent)

    @property
    def stated_outcome(self) -> Outcome:
        """What callers are told; one that waits may run yet, so never "not run"."""
        return Outcome.IN_PROGRESS if self.answer is None else self.outcome

    @property
    def unstarted_outcome(self) -> Outcome:
        """What is known of a request that has no attempt under way."""
        return Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN

    @property
    def holder(self) -> str:
        """Name under which the present attempt holds a unit of its team."""
        return f"{self.request_id}/{self.attempts}"


class RequestTable:
    """Requests by identifier, bounded in number and bytes.

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
        """Requests that wait or run."""
        return self._live

    def mint(self) -> str:
        """Return a request identifier never used before."""
        self._minted += 1
        nonce = f"{self._random.getrandbits(NONCE_BITS):016x}"
        return f"{self._name}.{self._incarnation}.{self._minted}.{nonce}"

    def mint_ticket(self, now: float) -> str | None:
        """Return an identifier to be used within ``TICKET_SECONDS``, or None."""
        while self._tickets and next(iter(self._tickets.values())) <= now:
            self._tickets.popitem(last=False)
        if len(self._tickets) >= MAX_TICKETS:
            return None
        request_id = self.mint()
        self._tickets[request_id] = now + TICKET_SECONDS
        return request_id

    def has_ticket(self, request_id: str, now: float) -> bool:
        """Tell whether an identifier was minted, is unused and still valid."""
        return self._tickets.get(request_id, 0.0) > now

    def redeem_ticket(self, request_id: str) -> None:
        """Use up a ticket, if the identifier is one."""
        self._tickets.pop(request_id, None)

    def find(self, request_id: str) -> Request | None:
        """Return a request that is live or still remembered."""
        return self._live.get(request_id) or self._ended.get(request_id)

    def has_room(self, payload_bytes: int) -> bool:
        """Tell whether one more request with such a body may be taken."""
        if len(self._live) >= MAX_LIVE:
            return False
        return self._live_bytes + payload_bytes <= MAX_LIVE_BYTES

    def add(self, request: Request) -> None:
        """Keep a request that was accepted."""
        self._live[request.request_id] = request
        self._live_bytes += request.content.length

    def end(
        self, request: Request, answer: Answer, outcome: Outcome, now: float
    ) -> list[Effect]:
        """Keep the answer of a request, and give it to those that wait for it.

        Parameters
        ----------
        request : Request
            The request, live.
        answer : Answer
            Its answer.
        outcome : Outcome
            What became of it.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Answers to the waiting callers, and the event.
        """
        del self._live[request.request_id]
        self._live_bytes -= request.content.length
        request.content = Content()
        request.state = RequestState.ENDED
        request.outcome = outcome
        request.answer = _label(answer, request.request_id)
        request.ended_at = now
        self._ended[request.request_id] = request
        self._ended_bytes += len(answer.payload)
        self._forget(now)
        effects: list[Effect] = [
            answer_waiter(waiter, request.request_id, request.answer)
            for waiter in request.waiters
        ]
        request.waiters.clear()
        attributes = {"outcome": outcome.value, "reason": str(answer.status)}
        effects.append(Record(Event.REQUEST_ENDED, request.request_id, attributes))
        return effects

    def _forget(self, now: float) -> None:
        while self._ended and self._is_over_bounds(now):
            _, oldest = self._ended.popitem(last=False)
            if oldest.answer is not None:
                self._ended_bytes -= len(oldest.answer.payload)

    def _is_over_bounds(self, now: float) -> bool:
        if len(self._ended) > MAX_ENDED or self._ended_bytes > MAX_ENDED_BYTES:
            return True
        oldest = next(iter(self._ended.values()))
        return now - oldest.ended_at > RETAIN_SECONDS


def answer_waiter(waiter: Waiter, request_id: str, answer: Answer) -> Effect:
    """Return the effect that gives an answer to one waiting caller."""
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


def _label(answer: Answer, request_id: str) -> Answer:
    headers = {**answer.headers, "Gypsumwalk-Request-Id": request_id}
    return Answer(
        answer.status, answer.body, answer.payload, answer.content_type, headers
    )
