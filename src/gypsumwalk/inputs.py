"""Inputs that a daemon's decisions take in, from drivers or from each other."""

from dataclasses import dataclass
from enum import StrEnum

import msgspec

__all__ = [
    "CallInput",
    "Committed",
    "DiskOutcome",
    "DispatchOutcome",
    "DispatchStatus",
    "Input",
    "MemberChange",
    "MembershipChanged",
    "PeerInput",
    "PlatformOutcome",
    "ProposalOutcome",
    "ProposalStatus",
    "ShutdownRequested",
]


class DispatchStatus(StrEnum):
    """How sending one request to a target ended."""

    ANSWERED = "answered"
    NOT_SENT = "not-sent"
    """No byte of the request left: the target has not run it."""
    UNKNOWN = "unknown"
    """At least one byte may have left, and no whole answer came back."""


class ProposalStatus(StrEnum):
    """How proposing a command to the replicated log ended."""

    COMMITTED = "committed"
    REJECTED = "rejected"
    """The command is in the log, and the state machine refused it."""
    NOT_COMMITTED = "not-committed"
    """The command is in no log and never will be."""
    UNKNOWN = "unknown"
    """The command may or may not be committed later."""


class MemberChange(StrEnum):
    """A change in the view of one daemon."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class PeerInput:
    """A message from another daemon, already authenticated."""

    source: str
    body: msgspec.Struct


@dataclass(frozen=True, slots=True)
class CallInput:
    """An HTTP call from a caller, a target, the platform or an operator.

    Attributes
    ----------
    call_id : int
        Number that the answering effect ``Respond`` repeats.
    body : msgspec.Struct
        The validated call; its type selects the part that handles it.
    credential : str
        Key shown by the caller, empty where none was shown.
    payload : bytes
        Raw body of a caller's request, empty for calls in JSON.
    """

    call_id: int
    body: msgspec.Struct
    credential: str = ""
    payload: bytes = b""


@dataclass(frozen=True, slots=True)
class DispatchOutcome:
    """The end of one ``Dispatch`` to a target."""

    dispatch_id: str
    status: DispatchStatus
    code: int = 0
    payload: bytes = b""
    content_type: str = "application/octet-stream"


@dataclass(frozen=True, slots=True)
class PlatformOutcome:
    """The end of one ``CallPlatform``."""

    token: str
    succeeded: bool
    unknown: bool = False
    """Whether the call may have taken effect although it failed."""
    report: msgspec.Struct | None = None


@dataclass(frozen=True, slots=True)
class DiskOutcome:
    """The end of one ``WriteDisk``; a failed write was not acknowledged."""

    token: int
    succeeded: bool


@dataclass(frozen=True, slots=True)
class Committed:
    """One command was committed and applied to the replicated state.

    Attributes
    ----------
    index : int
        Position in the replicated log.
    command : msgspec.Struct
        The command.
    result : msgspec.Struct
        What the state machine answered.
    at : float
        Time in seconds of the leader that appended it.
    """

    index: int
    command: msgspec.Struct
    result: msgspec.Struct
    at: float = 0.0


@dataclass(frozen=True, slots=True)
class ProposalOutcome:
    """The end of one ``Propose``, addressed to the part that proposed."""

    token: str
    status: ProposalStatus
    index: int = 0
    result: msgspec.Struct | None = None


@dataclass(frozen=True, slots=True)
class MembershipChanged:
    """The view of one daemon changed."""

    daemon: str
    change: MemberChange
    incarnation: int


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """The daemon was asked to leave.

    Attributes
    ----------
    deadline : float
        Time in seconds at which requests still in progress are cut.
    """

    deadline: float


Input = (
    PeerInput
    | CallInput
    | DispatchOutcome
    | PlatformOutcome
    | DiskOutcome
    | Committed
    | ProposalOutcome
    | MembershipChanged
    | ShutdownRequested
)
