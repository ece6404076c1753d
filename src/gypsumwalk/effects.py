"""Effects that the decision logic requests from the driver."""

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from gypsumwalk.events import Event
from gypsumwalk.inputs import Input

__all__ = [
    "Answer",
    "AppendRecords",
    "CallPlatform",
    "CancelDispatch",
    "DiskOperation",
    "Dispatch",
    "Effect",
    "KeepRecords",
    "Propose",
    "Raise",
    "Record",
    "Respond",
    "Scalar",
    "SendPeer",
    "Stop",
    "TruncateRecords",
    "WriteDisk",
    "WriteFile",
]

Scalar = str | int | float | bool


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer to an HTTP call.

    Attributes
    ----------
    status : int
        HTTP status code.
    body : msgspec.Struct or None
        Body to encode as JSON; if None, ``payload`` is sent unchanged.
    payload : bytes
        Raw body.
    content_type : str
        Media type of the body.
    headers : Mapping[str, str]
        Additional header fields.
    """

    status: int
    body: msgspec.Struct | None = None
    payload: bytes = b""
    content_type: str = "application/json"
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Respond:
    """Answer one HTTP call."""

    call_id: int
    answer: Answer


@dataclass(frozen=True, slots=True)
class SendPeer:
    """Send a message to another daemon.

    Attributes
    ----------
    recipient : str
        Name of the daemon.
    body : msgspec.Struct
        The message.
    reliable : bool
        Whether to send it as JSON over HTTP instead of as a UDP datagram. Both may
        lose, delay, duplicate or reorder messages.
    """

    recipient: str
    body: msgspec.Struct
    reliable: bool = False


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send one request to a target.

    Attributes
    ----------
    dispatch_id : str
        Identifier, repeated in the outcome.
    target : str
        Name of the target.
    address : str
        ``host:port`` of the target.
    path : str
        Path of the URL.
    payload : bytes
        Body of the request.
    headers : Mapping[str, str]
        Header fields.
    timeout : float
        Seconds after which the outcome is ``UNKNOWN``.
    """

    dispatch_id: str
    target: str
    address: str
    path: str
    payload: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)
    timeout: float = 30.0


@dataclass(frozen=True, slots=True)
class CancelDispatch:
    """Stop waiting for a target's answer."""

    dispatch_id: str


@dataclass(frozen=True, slots=True)
class CallPlatform:
    """Request an action on an instance or a task from the platform.

    Attributes
    ----------
    token : str
        Identifier, repeated in the outcome; the platform uses it as an idempotency
        key.
    action : msgspec.Struct
        The action, one of ``gypsumwalk.platform.ACTIONS``.
    timeout : float
        Seconds after which the outcome is unknown.
    """

    token: str
    action: msgspec.Struct
    timeout: float = 5.0


@dataclass(frozen=True, slots=True)
class AppendRecords:
    """Append records to a file of checksummed records and sync it."""

    file: str
    records: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class TruncateRecords:
    """Keep the first ``keep`` records of a file and sync it."""

    file: str
    keep: int


@dataclass(frozen=True, slots=True)
class WriteFile:
    """Replace a file atomically, and sync the file and its folder."""

    file: str
    content: bytes


@dataclass(frozen=True, slots=True)
class KeepRecords:
    """Remove every file of records but one, and sync the folder."""

    file: str


DiskOperation = AppendRecords | TruncateRecords | WriteFile | KeepRecords


@dataclass(frozen=True, slots=True)
class WriteDisk:
    """Carry out operations in order; the outcome reports whether all are synced."""

    token: int
    operations: tuple[DiskOperation, ...]


@dataclass(frozen=True, slots=True)
class Propose:
    """Propose a command to the replicated log, through the leader.

    Attributes
    ----------
    token : str
        Identifier, repeated in the ``ProposalOutcome``. It starts with the name of
        the proposing part and a slash, which routes the outcome to that part.
    command : msgspec.Struct
        The command.
    timeout : float
        Seconds after which the outcome is ``UNKNOWN``.
    """

    token: str
    command: msgspec.Struct
    timeout: float = 5.0


@dataclass(frozen=True, slots=True)
class Raise:
    """Deliver an input to the parts of the same daemon."""

    input: Input


@dataclass(frozen=True, slots=True)
class Record:
    """Write an event to the log and the time line.

    Attributes
    ----------
    event : Event
        Entry of the catalogue.
    subject : str
        Identifier of the request, job, wave, instance or daemon concerned.
    attributes : Mapping[str, Scalar]
        Values for the placeholders of the event's message template.
    """

    event: Event
    subject: str = ""
    attributes: Mapping[str, Scalar] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Stop:
    """Stop the daemon, whose work is completed or handed over.

    Attributes
    ----------
    exit_code : int
        Exit code of the process.
    known_incarnation : int
        Incarnation of this daemon above which it is to start again at once, whether it
        could be stored or not; 0 to end the process.
    """

    exit_code: int = 0
    known_incarnation: int = 0


Effect = (
    Respond
    | SendPeer
    | Dispatch
    | CancelDispatch
    | CallPlatform
    | WriteDisk
    | Propose
    | Raise
    | Record
    | Stop
)
