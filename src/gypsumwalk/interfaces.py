"""Interfaces of what drivers reach: clock, network, disk, platform and targets."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from gypsumwalk.effects import CallPlatform, DiskOperation, Dispatch, Record
from gypsumwalk.inputs import DispatchOutcome, PlatformOutcome
from gypsumwalk.recovery import Recovered

__all__ = ["Clock", "Disk", "EventSink", "Network", "Platform", "TargetClient"]


class Clock(Protocol):
    """Time of the runtime."""

    def now(self) -> float:
        """Return the time in seconds since the epoch; it never steps back."""
        ...


class Network(Protocol):
    """Way to other daemons; messages may be lost, late, repeated or overtaken."""

    def send(self, recipient: str, body: msgspec.Struct, *, reliable: bool) -> None:
        """Send one message without waiting."""
        ...


class Disk(Protocol):
    """The data folder."""

    def recover(self) -> Recovered:
        """Read everything; raises ``CorruptRecord`` where a record in the middle is."""
        ...

    def write(self, operations: Sequence[DiskOperation]) -> None:
        """Carry out operations in order and sync; raises ``DiskFailure``."""
        ...


class Platform(Protocol):
    """The platform's API."""

    async def call(self, call: CallPlatform) -> PlatformOutcome:
        """Carry out one action; repeated tokens have no further effect."""
        ...


class TargetClient(Protocol):
    """Way to the targets."""

    async def dispatch(self, dispatch: Dispatch) -> DispatchOutcome:
        """Send one request and wait for its whole answer."""
        ...


class EventSink(Protocol):
    """Log and time line."""

    def write(self, record: Record, now: float) -> None:
        """Write one event."""
        ...
