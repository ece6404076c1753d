"""Orderly end of a daemon that leads nothing and holds no caller's request."""

from collections.abc import Sequence

from gypsumwalk.effects import Effect, Record, Stop
from gypsumwalk.events import Event
from gypsumwalk.inputs import Input, ShutdownRequested
from gypsumwalk.part import NEVER

__all__ = ["Retirement"]

HANDOVER_SECONDS = 1.0
"""Time in seconds in which another daemon leads and calls in progress are answered."""


class Retirement:
    """The part that ends the daemon a short time after it was asked to leave."""

    name = "retirement"
    accepts: tuple[type, ...] = (ShutdownRequested,)

    def __init__(self) -> None:
        self._due = NEVER

    @property
    def wakeup(self) -> float:
        """Time in seconds at which the daemon ends."""
        return self._due

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Take in the request to leave."""
        assert isinstance(item, ShutdownRequested)
        self._due = min(self._due, item.deadline, now + HANDOVER_SECONDS)
        return [Record(Event.DAEMON_STOPPING, "", {"in_progress": 0})]

    def advance(self, now: float) -> Sequence[Effect]:
        """End the daemon."""
        self._due = NEVER
        return [Record(Event.DAEMON_STOPPED, "", {"cut": 0}), Stop()]
