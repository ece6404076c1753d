"""Callers' calls about requests, and the JSON bodies of their answers."""

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
    """State of a request."""

    WAITING = "waiting"
    RUNNING = "running"
    ENDED = "ended"


class SubmitRequest(msgspec.Struct, frozen=True, tag=True):
    """Submits a request.

    Attributes
    ----------
    queue : str
        Queue of the request.
    request_id : str
        Identifier of a ticket or of an earlier submission; empty for a new request.
    repeatable : bool
        Whether the request may run more than once.
    urgent : bool
        Whether the request goes ahead of those that are not urgent.
    deadline_seconds : float
        Seconds within which the answer is needed; 0 for the queue's default.
    """

    queue: Name
    request_id: Identifier = ""
    repeatable: bool = False
    urgent: bool = False
    deadline_seconds: Seconds = 0.0


class MintTicket(msgspec.Struct, frozen=True, tag=True):
    """Asks for a request identifier, which makes a resend idempotent."""


class ReadRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks for the status of a request."""

    request_id: Identifier


class CancelRequest(msgspec.Struct, frozen=True, tag=True):
    """Cancels a request."""

    request_id: Identifier


class Ticket(msgspec.Struct, frozen=True):
    """A request identifier and its validity in seconds."""

    request_id: str
    valid_seconds: float


class RequestStatus(msgspec.Struct, frozen=True):
    """State and outcome of a request.

    Attributes
    ----------
    request_id : str
        Identifier of the request.
    state : RequestState
        State of the request.
    outcome : Outcome
        Outcome of the request.
    status : int
        HTTP status of its answer, 0 until it has ended.
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
