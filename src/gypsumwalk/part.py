"""Interface that each part of a daemon's decisions meets."""

from collections.abc import Sequence
from typing import Protocol

from gypsumwalk.effects import Effect
from gypsumwalk.inputs import Input

__all__ = ["NEVER", "Part"]

NEVER = float("inf")
"""Wake-up time, in seconds, of a part that waits for nothing."""


class Part(Protocol):
    """One part of a daemon: a pure state machine driven by inputs and time."""

    @property
    def name(self) -> str:
        """Name of the part, which starts the tokens of its proposals."""
        ...

    @property
    def accepts(self) -> tuple[type, ...]:
        """Types handled: inputs, and bodies of peer messages, calls and commands."""
        ...

    @property
    def wakeup(self) -> float:
        """Time in seconds at which ``advance`` is due next."""
        ...

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Take in one input.

        Parameters
        ----------
        item : Input
            The input.
        now : float
            Time in seconds.

        Returns
        -------
        Sequence[Effect]
            What to do, in this order.
        """
        ...

    def advance(self, now: float) -> Sequence[Effect]:
        """Do what is due at a time.

        Parameters
        ----------
        now : float
            Time in seconds, never earlier than before.

        Returns
        -------
        Sequence[Effect]
            What to do, in this order.
        """
        ...
