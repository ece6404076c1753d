"""Rates of submission of the teams, which decide what is excess work."""

from collections.abc import Callable, Container
from dataclasses import dataclass

__all__ = ["TeamRates"]

BURST_SECONDS = 1.0
"""Time in which a team may submit its weight at once."""

MIN_BURST_JOBS = 1.0
"""Least number of jobs that a team may submit at once."""

MIN_KEPT_JOBS = 1024
"""Number of excess jobs up to which ended ones are not looked for."""


@dataclass(slots=True)
class _Bucket:
    tokens: float
    updated_at: float


class TeamRates:
    """A token bucket for each team, filled at its weight in jobs a second.

    The time stamps are those of the log, so that every daemon finds the same excess
    jobs. Excess work takes no tokens: a team that submits too much all the time still
    has its weight. A team without a weight has no excess work.

    Parameters
    ----------
    get_weight : Callable
        Returns the weight of a team in jobs a second, 0 for no limit.
    """

    def __init__(self, get_weight: Callable[[str], float]) -> None:
        self._get_weight = get_weight
        self._buckets: dict[str, _Bucket] = {}
        self._excess: set[str] = set()
        self._kept = MIN_KEPT_JOBS

    def record_job(self, job: str, team: str, at: float) -> bool:
        """Record the acceptance of a job.

        Parameters
        ----------
        job : str
            Identifier of the job.
        team : str
            Its team; empty if it came without a key.
        at : float
            Time in seconds that the leader gave to the acceptance.

        Returns
        -------
        bool
            Whether the job is excess work.
        """
        weight = self._get_weight(team)
        if weight <= 0:
            return False
        burst = max(MIN_BURST_JOBS, weight * BURST_SECONDS)
        bucket = self._buckets.setdefault(team, _Bucket(burst, at))
        # The clock of a new leader may be behind that of the one before.
        elapsed = max(0.0, at - bucket.updated_at)
        bucket.tokens = min(burst, bucket.tokens + weight * elapsed)
        bucket.updated_at = at
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return False
        self._excess.add(job)
        return True

    def is_excess(self, job: str) -> bool:
        """Tell whether a job was beyond the weight of its team as it was accepted."""
        return job in self._excess

    def would_exceed(self, team: str, at: float) -> bool:
        """Tell whether a job that is accepted at a time would be excess work.

        Parameters
        ----------
        team : str
            Team of the job.
        at : float
            Time in seconds on the leader's clock.

        Returns
        -------
        bool
            Whether the team has no token left.
        """
        weight = self._get_weight(team)
        bucket = self._buckets.get(team)
        if weight <= 0 or bucket is None:
            return False
        return bucket.tokens + weight * max(0.0, at - bucket.updated_at) < 1.0

    def discard_ended(self, open_jobs: Container[str]) -> None:
        """Forget the excess jobs that have ended, if there are many."""
        if len(self._excess) <= self._kept:
            return
        self._excess = {job for job in self._excess if job in open_jobs}
        self._kept = max(MIN_KEPT_JOBS, 2 * len(self._excess))
