"""Retry budgets and backoff."""

from random import Random

__all__ = ["RetryBudget", "draw_backoff"]

RETRIES_PER_FIRST_ATTEMPT = 0.1
MAX_SAVED_RETRIES = 20.0
BASE_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 1.0


class RetryBudget:
    """Token bucket that bounds retries to a share of a service's first attempts."""

    def __init__(self) -> None:
        self._left = MAX_SAVED_RETRIES / 2

    def deposit(self) -> None:
        """Add the share of a retry that a first attempt allows."""
        self._left = min(self._left + RETRIES_PER_FIRST_ATTEMPT, MAX_SAVED_RETRIES)

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
    bound = min(MAX_BACKOFF_SECONDS, BASE_BACKOFF_SECONDS * 2.0 ** (attempt - 1))
    return random.uniform(0.0, bound)
