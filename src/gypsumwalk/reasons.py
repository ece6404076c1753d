"""Reasons of decisions, kept for the ``why`` queries."""

import msgspec

__all__ = ["Reason", "add_reason"]

MAX_REASONS = 12
"""Default number of reasons kept; the oldest are dropped first."""


class Reason(msgspec.Struct, frozen=True):
    """Reason of one decision.

    Attributes
    ----------
    at : float
        Time in seconds.
    text : str
        Human-readable reason.
    """

    at: float
    text: str


def add_reason(
    reasons: list[Reason], at: float, text: str, limit: int = MAX_REASONS
) -> None:
    """Append a reason unless it repeats the last one.

    Parameters
    ----------
    reasons : list of Reason
        Reasons so far, modified in place.
    at : float
        Time in seconds.
    text : str
        Human-readable reason.
    limit : int
        Most reasons kept; the oldest are dropped first.
    """
    if reasons and reasons[-1].text == text:
        return
    reasons.append(Reason(at, text))
    if len(reasons) > limit:
        del reasons[0]
