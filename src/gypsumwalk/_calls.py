"""Calls to the platform of one part that are still without an outcome."""

import msgspec

from gypsumwalk.effects import CallPlatform, Effect
from gypsumwalk.inputs import PlatformOutcome

__all__ = ["PendingCalls"]

CALL_SECONDS = 5.0
RETRY_SECONDS = 1.0
MAX_REMEMBERED = 20_000


class PendingCalls:
    """Repeats a call under the same token until the platform answers it."""

    def __init__(self) -> None:
        self._open: set[str] = set()
        self._retry_at: dict[str, float] = {}

    def reset(self) -> None:
        """Forget every call, as another daemon has led since."""
        self._open.clear()
        self._retry_at.clear()

    def call(self, token: str, action: msgspec.Struct, now: float) -> list[Effect]:
        """Call the platform unless the same call is on its way or just failed.

        Parameters
        ----------
        token : str
            Idempotency key.
        action : msgspec.Struct
            The action.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            The call, or nothing.
        """
        if token in self._open or now < self._retry_at.get(token, now):
            return []
        self._open.add(token)
        return [CallPlatform(token, action, CALL_SECONDS)]

    def settle(self, outcome: PlatformOutcome, now: float) -> bool:
        """Note the end of a call, and tell whether the platform answered it.

        Parameters
        ----------
        outcome : PlatformOutcome
            The end.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether there is an answer; otherwise the call may be repeated later.
        """
        self._open.discard(outcome.token)
        if outcome.succeeded:
            self._retry_at.pop(outcome.token, None)
            return True
        if len(self._retry_at) >= MAX_REMEMBERED:
            self._retry_at.clear()
        self._retry_at[outcome.token] = now + RETRY_SECONDS
        return False
