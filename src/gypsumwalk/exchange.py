"""Messages between daemons about requests: slots, runs and relayed calls."""

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
    "Want",
    "digest_payload",
    "make_content",
]


def digest_payload(payload: bytes) -> str:
    """Return the SHA-256 digest of a payload, as hexadecimal digits."""
    return sha256(payload).hexdigest()


class Content(msgspec.Struct, frozen=True):
    """A payload with what shows that it is whole.

    Attributes
    ----------
    payload : bytes
        The bytes.
    length : int
        Their number.
    digest : str
        Their digest.
    content_type : str
        Their media type.
    """

    payload: bytes = b""
    length: int = 0
    digest: str = ""
    content_type: str = "application/octet-stream"

    def is_whole(self) -> bool:
        """Tell whether length and digest fit the payload."""
        if self.length != len(self.payload):
            return False
        return self.digest == digest_payload(self.payload)


def make_content(payload: bytes, content_type: str) -> Content:
    """Return a payload with its length and digest."""
    return Content(payload, len(payload), digest_payload(payload), content_type)


class Want(msgspec.Struct, frozen=True, array_like=True):
    """Slots wanted for the requests of one team."""

    team: str
    urgent: bool
    count: int


class DemandSlots(msgspec.Struct, frozen=True, tag=True):
    """Asks the owner of targets for slots; replaces the sender's former demand."""

    service: str
    sequence: int
    wants: tuple[Want, ...]


class GrantSlot(msgspec.Struct, frozen=True, tag=True):
    """Lends one slot for one request, to be used at once."""

    token: str
    service: str
    team: str
    urgent: bool


class ReturnSlot(msgspec.Struct, frozen=True, tag=True):
    """Gives a slot back unused."""

    token: str


class StartRun(msgspec.Struct, frozen=True, tag=True):
    """Runs a request in a slot that was lent.

    Attributes
    ----------
    token : str
        The slot; a token starts one run at most.
    request_id : str
        The request.
    queue, team : str
        Where it was handed in, and for whom.
    attempt : int
        Number of the attempt, from 1.
    seconds : float
        Seconds that are left until the request's deadline.
    content : Content
        The request's body.
    repeatable : bool
        Whether the request may run more than once.
    limit : int
        Upper limit of the team when its unit was taken, 0 for none.
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
    """Tells how a run ended; repeated until it is acknowledged."""

    token: str
    request_id: str
    status: DispatchStatus
    target: str
    code: int = 0
    content: Content = Content()


class AcknowledgeRun(msgspec.Struct, frozen=True, tag=True):
    """Tells that the report of a run has arrived whole."""

    token: str


class RelayCall(msgspec.Struct, frozen=True, tag=True):
    """Hands a caller's call to the daemon that keeps the request's record.

    Attributes
    ----------
    number : int
        Number of the relayed call, unique within an incarnation of the sender.
    incarnation : int
        Incarnation of the sender.
    call : SubmitRequest or ReadRequest or CancelRequest
        The call.
    credential : str
        Key shown by the caller.
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
        The request that the call was about.
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
