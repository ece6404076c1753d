"""Retry budgets and backoff."""

from random import Random

__all__ = ["RetryBudget", "draw_backoff"]

BUDGET_RATIO = 0.1
"""Retries allowed per first attempt."""
BUDGET_MAX = 20.0
BASE_SECONDS = 0.02
MAX_SECONDS = 1.0


class RetryBudget:
    """Token bucket that bounds retries to a share of a service's first attempts."""

    def __init__(self) -> None:
        self._left = BUDGET_MAX / 2

    def deposit(self) -> None:
        """Add the share of a retry that a first attempt allows."""
        self._left = min(self._left + BUDGET_RATIO, BUDGET_MAX)

    def withdraw(self) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


def draw_backoff(attempt: int, random: Random) -> float:
    """Return an exponential backoff with full jitter before the next attempt.

    Parameters
    ----------
    attempt : int
        Number of attempts made so far, at least 1.
    random : Random
        Source of the jitter.

    Returns
    -------
    float
        Delay in seconds, between 0 and a bound that doubles with each attempt.
    """
    bound = min(MAX_SECONDS, BASE_SECONDS * 2.0 ** (attempt - 1))
    return random.uniform(0.0, bound)
