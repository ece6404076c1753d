"""Reasons of decisions, kept for ``why``."""

import msgspec

__all__ = ["Reason", "add_reason"]

MAX_REASONS = 12
"""Reasons kept unless stated otherwise, the oldest left out first."""


class Reason(msgspec.Struct, frozen=True):
    """One reason of a decision, for ``why``.

    Attributes
    ----------
    at : float
        Time in seconds.
    text : str
        Sentence for a person.
    """

    at: float
    text: str


def add_reason(
    reasons: list[Reason], at: float, text: str, limit: int = MAX_REASONS
) -> None:
    """Add a reason unless it repeats the last one.

    Parameters
    ----------
    reasons : list of Reason
        Reasons so far, changed in place.
    at : float
        Time in seconds.
    text : str
        Sentence for a person.
    limit : int
        Reasons kept, the oldest left out first.
    """
    if reasons and reasons[-1].text == text:
        return
    reasons.append(Reason(at, text))
    if len(reasons) > limit:
        del reasons[0]
