"""Interfaces of clock, network, disk, platform, targets and event log."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from gypsumwalk.effects import CallPlatform, DiskOperation, Dispatch, Record
from gypsumwalk.inputs import DispatchOutcome, PlatformOutcome
from gypsumwalk.recovery import Recovered

__all__ = ["Clock", "Disk", "EventSink", "Network", "Platform", "TargetClient"]


class Clock(Protocol):
    """Source of the current time."""

    def now(self) -> float:
        """Return the time in seconds since the epoch; it never decreases."""
        ...


class Network(Protocol):
    """Unreliable transport to daemons, which may lose, delay or reorder messages."""

    def send(self, recipient: str, body: msgspec.Struct, *, reliable: bool) -> None:
        """Send one message without blocking."""
        ...


class Disk(Protocol):
    """Durable storage in the data folder."""

    def recover(self) -> Recovered:
        """Read all files; raise ``CorruptRecord`` if one is corrupt before its end."""
        ...

    def write(self, operations: Sequence[DiskOperation]) -> None:
        """Carry out operations in order and sync; raise ``DiskFailure`` on errors.

        Writes of different threads are carried out one after the other.
        """
        ...


class Platform(Protocol):
    """Client of the platform's API."""

    async def call(self, call: CallPlatform) -> PlatformOutcome:
        """Carry out one action; a repeated token has no further effect."""
        ...


class TargetClient(Protocol):
    """Client of the targets."""

    async def dispatch(self, dispatch: Dispatch) -> DispatchOutcome:
        """Send one request and wait for its complete answer."""
        ...


class EventSink(Protocol):
    """Writer of the log and the time line."""

    def write(self, record: Record, now: float) -> None:
        """Write one event."""
        ...
