"""Interface of the parts that make up the decision logic of a daemon."""

from collections.abc import Sequence
from typing import Protocol

from gypsumwalk.effects import Effect
from gypsumwalk.inputs import Input

__all__ = ["NEVER", "Part"]

NEVER = float("inf")
"""Wake-up time, in seconds, of a part without a pending timer."""


class Part(Protocol):
    """Part of a daemon: a state machine without I/O, driven by inputs and time."""

    @property
    def name(self) -> str:
        """Name of the part, which prefixes the tokens of its proposals."""
        ...

    @property
    def accepts(self) -> tuple[type, ...]:
        """Types to route to the part: inputs, message and call bodies, commands."""
        ...

    @property
    def wakeup(self) -> float:
        """Time in seconds at which ``advance`` is due next."""
        ...

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Handle one input.

        Parameters
        ----------
        item : Input
            The input.
        now : float
            Time in seconds.

        Returns
        -------
        Sequence[Effect]
            Effects to carry out, in this order.
        """
        ...

    def advance(self, now: float) -> Sequence[Effect]:
        """Run the timers that are due.

        Parameters
        ----------
        now : float
            Time in seconds; it never decreases.

        Returns
        -------
        Sequence[Effect]
            Effects to carry out, in this order.
        """
        ...
