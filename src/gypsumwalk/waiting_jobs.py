"""Waiting jobs by pool and scheduling group, in order of submission."""

import heapq

from gypsumwalk.job_records import JobRecord, JobState
from gypsumwalk.jobs import JobSection

__all__ = ["SchedulingGroup", "WaitingJobs"]

SchedulingGroup = tuple[str, bool]
"""Team, and whether the jobs are not urgent, so that urgent groups sort first."""


class WaitingJobs:
    """Waiting jobs: those that can be placed now, and those in backoff.

    Parameters
    ----------
    jobs : JobSection
        The jobs.
    """

    def __init__(self, jobs: JobSection) -> None:
        self._jobs = jobs
        self._groups: dict[str, dict[SchedulingGroup, dict[str, None]]] = {}
        self._positions: dict[str, tuple[str, SchedulingGroup]] = {}
        self._delayed: list[tuple[float, str]] = []

    def rebuild(self) -> None:
        """Rebuild the table from the replicated jobs."""
        self._groups.clear()
        self._positions.clear()
        self._delayed.clear()
        for record in self._jobs.list_waiting():
            self._add(record)

    def update(self, job_id: str) -> str:
        """Update a changed job and return the pool that it waits for.

        Parameters
        ----------
        job_id : str
            The job.

        Returns
        -------
        str
            The pool, or an empty string if the job cannot be placed now.
        """
        self._remove(job_id)
        record = self._jobs.find(job_id)
        if record is None or record.state is not JobState.WAITING:
            return ""
        return self._add(record)

    def release_delayed(self, now: float) -> set[str]:
        """Make the jobs whose backoff has elapsed available for placement.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        set of str
            Pools of these jobs.
        """
        pools = set()
        while self._delayed and self._delayed[0][0] <= now:
            _, job_id = heapq.heappop(self._delayed)
            record = self._jobs.find(job_id)
            if record is None or record.state is not JobState.WAITING:
                continue
            if record.not_before <= now and job_id not in self._positions:
                pools.add(self._insert(record))
        return pools

    def get_groups(self, pool: str) -> dict[SchedulingGroup, dict[str, None]]:
        """Return a pool's waiting jobs by group; the caller must not modify them."""
        return self._groups.get(pool, {})

    def list_pools(self) -> list[str]:
        """Return the pools with waiting jobs."""
        return list(self._groups)

    def _add(self, record: JobRecord) -> str:
        if record.not_before > record.submitted_at:
            heapq.heappush(self._delayed, (record.not_before, record.spec.job_id))
            return ""
        return self._insert(record)

    def _insert(self, record: JobRecord) -> str:
        pool = self._jobs.find_pool(record.spec.queue)
        group = (record.spec.team, not record.spec.urgent)
        jobs = self._groups.setdefault(pool, {}).setdefault(group, {})
        jobs[record.spec.job_id] = None
        self._positions[record.spec.job_id] = (pool, group)
        return pool

    def _remove(self, job_id: str) -> None:
        position = self._positions.pop(job_id, None)
        if position is None:
            return
        pool, group = position
        groups = self._groups[pool]
        del groups[group][job_id]
        if not groups[group]:
            del groups[group]
        if not groups:
            del self._groups[pool]
