"""Pending calls of one part to the platform, with their retries."""

import msgspec

from gypsumwalk.effects import CallPlatform, Effect
from gypsumwalk.inputs import PlatformOutcome

__all__ = ["PendingCalls"]

CALL_TIMEOUT_SECONDS = 5.0
RETRY_DELAY_SECONDS = 1.0
MAX_RETRY_ENTRIES = 20_000


class PendingCalls:
    """Tracks calls in flight, and delays a retry under the same token."""

    def __init__(self) -> None:
        self._in_flight: set[str] = set()
        self._retry_at: dict[str, float] = {}

    def reset(self) -> None:
        """Drop all calls, after another daemon has been the leader."""
        self._in_flight.clear()
        self._retry_at.clear()

    def call(self, token: str, action: msgspec.Struct, now: float) -> list[Effect]:
        """Call the platform unless the same call is in flight or has just failed.

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
            The call, or an empty list.
        """
        if token in self._in_flight or now < self._retry_at.get(token, now):
            return []
        self._in_flight.add(token)
        return [CallPlatform(token, action, CALL_TIMEOUT_SECONDS)]

    def settle(self, outcome: PlatformOutcome, now: float) -> bool:
        """Record the outcome of a call, and tell whether the platform answered it.

        Parameters
        ----------
        outcome : PlatformOutcome
            The outcome.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether there is an answer; otherwise the call may be retried later.
        """
        self._in_flight.discard(outcome.token)
        if outcome.succeeded:
            self._retry_at.pop(outcome.token, None)
            return True
        if len(self._retry_at) >= MAX_RETRY_ENTRIES:
            self._retry_at.clear()
        self._retry_at[outcome.token] = now + RETRY_DELAY_SECONDS
        return False
