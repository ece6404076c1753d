"""Budgets and delays of repeated attempts."""

from random import Random

__all__ = ["RetryBudget", "draw_backoff"]

BUDGET_RATIO = 0.1
"""Attempts that each first attempt allows to be repeated."""
BUDGET_MAX = 20.0
BASE_SECONDS = 0.02
MAX_SECONDS = 1.0


class RetryBudget:
    """Bounds repeated attempts to a part of the first attempts of a service."""

    def __init__(self) -> None:
        self._left = BUDGET_MAX / 2

    def deposit(self) -> None:
        """Note a first attempt."""
        self._left = min(self._left + BUDGET_RATIO, BUDGET_MAX)

    def withdraw(self) -> bool:
        """Take one repeated attempt; false if the budget is spent."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


def draw_backoff(attempt: int, random: Random) -> float:
    """Return a random delay before the next attempt.

    Parameters
    ----------
    attempt : int
        Number of attempts made so far, at least 1.
    random : Random
        Source of the jitter.

    Returns
    -------
    float
        Delay in seconds, up to an exponentially growing bound.
    """
    bound = min(MAX_SECONDS, BASE_SECONDS * 2.0 ** (attempt - 1))
    return random.uniform(0.0, bound)
