"""Effects that decisions ask their driver to carry out."""

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
    """An HTTP answer.

    Attributes
    ----------
    status : int
        HTTP status code.
    body : msgspec.Struct or None
        Body to encode as JSON; ``payload`` is sent as it is when this is None.
    payload : bytes
        Raw body.
    content_type : str
        Media type of the body.
    headers : Mapping[str, str]
        Further header fields.
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
        Whether it goes as JSON over HTTP; otherwise as a UDP datagram. Either may
        be lost, delayed, repeated or overtaken.
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
        Identifier that the outcome repeats.
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
    """Ask the platform for an action on an instance or a task.

    Attributes
    ----------
    token : str
        Identifier that the outcome repeats; the platform takes it as an
        idempotency key.
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
    """Replace a whole file atomically, and sync file and folder."""

    file: str
    content: bytes


DiskOperation = AppendRecords | TruncateRecords | WriteFile


@dataclass(frozen=True, slots=True)
class WriteDisk:
    """Carry out operations in order; the outcome says whether all are synced."""

    token: int
    operations: tuple[DiskOperation, ...]


@dataclass(frozen=True, slots=True)
class Propose:
    """Propose a command to the replicated log, through the leader.

    Attributes
    ----------
    token : str
        Identifier that ``ProposalOutcome`` repeats. It starts with the name of the
        proposing part and a slash, and the outcome goes to that part.
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
    """Hand an input to the other parts of the same daemon."""

    input: Input


@dataclass(frozen=True, slots=True)
class Record:
    """Write an event to the log and to the time line.

    Attributes
    ----------
    event : Event
        Entry of the catalogue.
    subject : str
        Identifier of the request, job, wave, instance or daemon concerned.
    attributes : Mapping[str, Scalar]
        Values for the event's message.
    """

    event: Event
    subject: str = ""
    attributes: Mapping[str, Scalar] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Stop:
    """End the daemon, as all that it held is finished or handed over."""

    exit_code: int = 0


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
