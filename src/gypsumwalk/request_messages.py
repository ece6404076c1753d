"""Messages between daemons about requests: slots, attempts and relayed calls."""

from hashlib import sha256

import msgspec

from gypsumwalk.inputs import DispatchStatus
from gypsumwalk.submissions import CancelRequest, ReadRequest, SubmitRequest

__all__ = [
    "PEER_MESSAGES",
    "AcknowledgeRun",
    "Content",
    "DemandSlots",
    "GrantSlot",
    "RelayAnswer",
    "RelayCall",
    "ReportRun",
    "ReturnSlot",
    "StartRun",
    "SlotDemand",
    "digest_payload",
    "make_content",
]


def digest_payload(payload: bytes) -> str:
    """Return the SHA-256 digest of a payload, as hexadecimal digits."""
    return sha256(payload).hexdigest()


class Content(msgspec.Struct, frozen=True):
    """A payload with the length and digest that verify it.

    Attributes
    ----------
    payload : bytes
        Bytes of the payload.
    length : int
        Length of the payload in bytes.
    digest : str
        SHA-256 digest of the payload, as hexadecimal digits.
    content_type : str
        Media type of the payload.
    """

    payload: bytes = b""
    length: int = 0
    digest: str = ""
    content_type: str = "application/octet-stream"

    def is_intact(self) -> bool:
        """Tell whether the length and digest match the payload."""
        if self.length != len(self.payload):
            return False
        return self.digest == digest_payload(self.payload)


def make_content(payload: bytes, content_type: str) -> Content:
    """Return a payload with its length and digest."""
    return Content(payload, len(payload), digest_payload(payload), content_type)


class SlotDemand(msgspec.Struct, frozen=True, array_like=True):
    """Number of slots wanted for a team's requests of one urgency."""

    team: str
    urgent: bool
    count: int


class DemandSlots(msgspec.Struct, frozen=True, tag=True):
    """Asks an owner of targets for slots; replaces the sender's earlier demand."""

    service: str
    sequence: int
    wants: tuple[SlotDemand, ...]


class GrantSlot(msgspec.Struct, frozen=True, tag=True):
    """Grants a slot for one request, to be used at once."""

    token: str
    service: str
    team: str
    urgent: bool


class ReturnSlot(msgspec.Struct, frozen=True, tag=True):
    """Returns an unused slot."""

    token: str


class StartRun(msgspec.Struct, frozen=True, tag=True):
    """Runs a request in a granted slot.

    Attributes
    ----------
    token : str
        Token of the slot; a token starts at most one attempt.
    request_id : str
        Identifier of the request.
    queue, team : str
        Queue and team of the request.
    attempt : int
        Number of the attempt, from 1.
    seconds : float
        Seconds left until the request's deadline.
    content : Content
        The request's body.
    repeatable : bool
        Whether the request may run more than once.
    limit : int
        Quota of the team, in units, when its unit was acquired; 0 for none.
    """

    token: str
    request_id: str
    queue: str
    team: str
    attempt: int
    seconds: float
    content: Content
    repeatable: bool
    limit: int = 0


class ReportRun(msgspec.Struct, frozen=True, tag=True):
    """Reports the outcome of an attempt; resent until it is acknowledged."""

    token: str
    request_id: str
    status: DispatchStatus
    target: str
    code: int = 0
    content: Content = Content()


class AcknowledgeRun(msgspec.Struct, frozen=True, tag=True):
    """Acknowledges the report of an attempt that has arrived intact."""

    token: str


class RelayCall(msgspec.Struct, frozen=True, tag=True):
    """Forwards a caller's call to the daemon that keeps the request.

    Attributes
    ----------
    number : int
        Number of the relayed call, unique within an incarnation of the sender.
    incarnation : int
        Incarnation of the sender.
    call : SubmitRequest or ReadRequest or CancelRequest
        The call.
    credential : str
        Key presented by the caller.
    content : Content
        Body of the call.
    """

    number: int
    incarnation: int
    call: SubmitRequest | ReadRequest | CancelRequest
    credential: str
    content: Content


class RelayAnswer(msgspec.Struct, frozen=True, tag=True):
    """Answers a relayed call.

    Attributes
    ----------
    number : int
        Number of the relayed call.
    incarnation : int
        Incarnation of the daemon that relayed it.
    request_id : str
        Identifier of the request that the call refers to.
    status : int
        HTTP status.
    headers : dict of str to str
        Header fields.
    content : Content
        Body of the answer.
    """

    number: int
    incarnation: int
    request_id: str
    status: int
    headers: dict[str, str]
    content: Content


PEER_MESSAGES = (
    DemandSlots,
    GrantSlot,
    ReturnSlot,
    StartRun,
    ReportRun,
    AcknowledgeRun,
    RelayCall,
    RelayAnswer,
)
