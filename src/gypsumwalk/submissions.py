"""Calls that callers make about requests, and their answers in JSON."""

from enum import StrEnum
from typing import Annotated

import msgspec

from gypsumwalk.endpoints import Audience, BodyKind, Endpoint
from gypsumwalk.problems import Outcome

__all__ = [
    "ENDPOINTS",
    "CancelRequest",
    "MintTicket",
    "ReadRequest",
    "RequestState",
    "RequestStatus",
    "SubmitRequest",
    "Ticket",
]

MAX_DEADLINE_SECONDS = 600.0

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Identifier = Annotated[str, msgspec.Meta(max_length=200)]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_DEADLINE_SECONDS)]


class RequestState(StrEnum):
    """Where a request stands."""

    WAITING = "waiting"
    RUNNING = "running"
    ENDED = "ended"


class SubmitRequest(msgspec.Struct, frozen=True, tag=True):
    """A caller hands in a request.

    Attributes
    ----------
    queue : str
        Queue that it is handed to.
    request_id : str
        Identifier of a ticket or of an earlier submission; empty for a new request.
    repeatable : bool
        Whether it may run more than once.
    urgent : bool
        Whether it goes ahead of requests that are not urgent.
    deadline_seconds : float
        Seconds within which the answer is wanted; 0 for the queue's own.
    """

    queue: Name
    request_id: Identifier = ""
    repeatable: bool = False
    urgent: bool = False
    deadline_seconds: Seconds = 0.0


class MintTicket(msgspec.Struct, frozen=True, tag=True):
    """A caller asks for a request identifier, to resend safely later."""


class ReadRequest(msgspec.Struct, frozen=True, tag=True):
    """A caller asks where a request stands."""

    request_id: Identifier


class CancelRequest(msgspec.Struct, frozen=True, tag=True):
    """A caller withdraws a request."""

    request_id: Identifier


class Ticket(msgspec.Struct, frozen=True):
    """A request identifier, and the seconds that it may be used within."""

    request_id: str
    valid_seconds: float


class RequestStatus(msgspec.Struct, frozen=True):
    """Where a request stands, and what became of it.

    Attributes
    ----------
    request_id : str
        The request.
    state : RequestState
        Where it stands.
    outcome : Outcome
        What became of it.
    status : int
        HTTP status of its answer, 0 before it ended.
    """

    request_id: str
    state: RequestState
    outcome: Outcome
    status: int = 0


ENDPOINTS = (
    Endpoint(
        "POST",
        "/v1/queues/{queue}/requests",
        SubmitRequest,
        Audience.CALLER,
        BodyKind.PAYLOAD,
    ),
    Endpoint("POST", "/v1/tickets", MintTicket, Audience.CALLER, BodyKind.NONE),
    Endpoint(
        "GET", "/v1/requests/{request_id}", ReadRequest, Audience.CALLER, BodyKind.NONE
    ),
    Endpoint(
        "POST",
        "/v1/requests/{request_id}/cancel",
        CancelRequest,
        Audience.CALLER,
        BodyKind.NONE,
    ),
)
