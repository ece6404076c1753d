"""Inputs of the decision logic of a daemon, from drivers or from other parts."""

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
    "LoopLateness",
    "MemberChange",
    "MembershipChanged",
    "PeerInput",
    "PlatformOutcome",
    "ProposalOutcome",
    "ProposalStatus",
    "ShutdownRequested",
]


class DispatchStatus(StrEnum):
    """Result of sending one request to a target."""

    ANSWERED = "answered"
    NOT_SENT = "not-sent"
    """No byte of the request was sent, so the target has not run it."""
    UNKNOWN = "unknown"
    """The request may have been sent, and no complete answer was received."""


class ProposalStatus(StrEnum):
    """Result of proposing a command to the replicated log."""

    COMMITTED = "committed"
    REJECTED = "rejected"
    """The command is committed, and the state machine refused it."""
    NOT_COMMITTED = "not-committed"
    """The command is in no log and will never be committed."""
    UNKNOWN = "unknown"
    """The command may or may not be committed later."""


class MemberChange(StrEnum):
    """New state of a member in the membership view."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class PeerInput:
    """An authenticated message from another daemon."""

    source: str
    body: msgspec.Struct


@dataclass(frozen=True, slots=True)
class CallInput:
    """An HTTP call from a caller, a target, the platform or an operator.

    Attributes
    ----------
    call_id : int
        Number of the call, repeated in the ``Respond`` effect that answers it.
    body : msgspec.Struct
        The validated call; its type determines the part that handles it.
    credential : str
        Key of the caller, or empty if the call carries none.
    payload : bytes
        Raw body of a caller's request; empty for calls in JSON.
    """

    call_id: int
    body: msgspec.Struct
    credential: str = ""
    payload: bytes = b""


@dataclass(frozen=True, slots=True)
class DispatchOutcome:
    """Result of one ``Dispatch`` to a target."""

    dispatch_id: str
    status: DispatchStatus
    code: int = 0
    payload: bytes = b""
    content_type: str = "application/octet-stream"


@dataclass(frozen=True, slots=True)
class PlatformOutcome:
    """Result of one ``CallPlatform``."""

    token: str
    succeeded: bool
    unknown: bool = False
    """Whether the call may have taken effect although it failed."""
    report: msgspec.Struct | None = None


@dataclass(frozen=True, slots=True)
class DiskOutcome:
    """Result of one ``WriteDisk``; a failed write is not acknowledged.

    Attributes
    ----------
    token : int
        Token of the write.
    succeeded : bool
        Whether every operation is synced.
    reason : str
        Why the write failed, else empty.
    """

    token: int
    succeeded: bool
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Committed:
    """A command was committed and applied to the replicated state.

    Attributes
    ----------
    index : int
        Index in the replicated log.
    command : msgspec.Struct
        The command.
    result : msgspec.Struct
        Result that the state machine returned.
    at : float
        Time in seconds that the leader assigned to the entry.
    """

    index: int
    command: msgspec.Struct
    result: msgspec.Struct
    at: float = 0.0


@dataclass(frozen=True, slots=True)
class ProposalOutcome:
    """Result of one ``Propose``, delivered to the proposing part."""

    token: str
    status: ProposalStatus
    index: int = 0
    result: msgspec.Struct | None = None


@dataclass(frozen=True, slots=True)
class MembershipChanged:
    """The state of a daemon in the membership view changed."""

    daemon: str
    change: MemberChange
    incarnation: int


@dataclass(frozen=True, slots=True)
class LoopLateness:
    """Lateness of the daemon's event loop, as its driver measured it.

    Attributes
    ----------
    seconds : float
        Longest time that an input or a timer waited in a recent turn of the loop; 0
        once the loop is in time again.
    """

    seconds: float


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """A graceful shutdown of the daemon was requested.

    Attributes
    ----------
    deadline : float
        Time in seconds at which requests still in progress are aborted.
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
    | LoopLateness
    | ShutdownRequested
)
