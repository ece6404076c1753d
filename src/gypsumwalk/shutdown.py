"""Graceful shutdown of a daemon without open requests of callers."""

from collections.abc import Sequence

from gypsumwalk.effects import Effect, Record, Stop
from gypsumwalk.events import Event
from gypsumwalk.inputs import Input, ShutdownRequested
from gypsumwalk.part import NEVER

__all__ = ["ShutdownHandler"]

HANDOVER_SECONDS = 1.0
"""Time for the election of another leader and for the answers to open calls."""


class ShutdownHandler:
    """Part that stops the daemon a short time after a shutdown request."""

    name = "retirement"
    accepts: tuple[type, ...] = (ShutdownRequested,)

    def __init__(self) -> None:
        self._due = NEVER

    @property
    def wakeup(self) -> float:
        """Time in seconds at which the daemon stops."""
        return self._due

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Schedule the stop of the daemon."""
        assert isinstance(item, ShutdownRequested)
        self._due = min(self._due, item.deadline, now + HANDOVER_SECONDS)
        return [Record(Event.DAEMON_STOPPING, "", {"in_progress": 0})]

    def advance(self, now: float) -> Sequence[Effect]:
        """Stop the daemon."""
        self._due = NEVER
        return [Record(Event.DAEMON_STOPPED, "", {"cut": 0}), Stop()]
