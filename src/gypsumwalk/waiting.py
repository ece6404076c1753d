"""Waiting jobs, by pool and team, in the order that they were handed in."""

import heapq

from gypsumwalk.job_records import JobRecord, JobState
from gypsumwalk.jobs import JobSection

__all__ = ["Lane", "WaitingTable"]

Lane = tuple[str, bool]
"""Team, and whether its jobs are not urgent, so that urgent lanes sort first."""


class WaitingTable:
    """Waiting jobs that may be placed now, and those that back off.

    Parameters
    ----------
    jobs : JobSection
        The jobs.
    """

    def __init__(self, jobs: JobSection) -> None:
        self._jobs = jobs
        self._lanes: dict[str, dict[Lane, dict[str, None]]] = {}
        self._place: dict[str, tuple[str, Lane]] = {}
        self._delayed: list[tuple[float, str]] = []

    def rebuild(self) -> None:
        """Read every waiting job anew."""
        self._lanes.clear()
        self._place.clear()
        self._delayed.clear()
        for record in self._jobs.waiting():
            self._add(record)

    def update(self, job_id: str) -> str:
        """Take in a change of a job, and return the pool that it waits for.

        Parameters
        ----------
        job_id : str
            The job.

        Returns
        -------
        str
            The pool, or empty if the job waits for none.
        """
        self._remove(job_id)
        record = self._jobs.find(job_id)
        if record is None or record.state is not JobState.WAITING:
            return ""
        return self._add(record)

    def release_delayed(self, now: float) -> set[str]:
        """Let jobs wait for a place whose backoff is over.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        set of str
            Pools that they wait for.
        """
        pools = set()
        while self._delayed and self._delayed[0][0] <= now:
            _, job_id = heapq.heappop(self._delayed)
            record = self._jobs.find(job_id)
            if record is None or record.state is not JobState.WAITING:
                continue
            if record.not_before <= now and job_id not in self._place:
                pools.add(self._insert(record))
        return pools

    def lanes(self, pool: str) -> dict[Lane, dict[str, None]]:
        """Return the jobs that wait for a pool, by lane; do not change them."""
        return self._lanes.get(pool, {})

    def pools(self) -> list[str]:
        """Return the pools that jobs wait for."""
        return list(self._lanes)

    def _add(self, record: JobRecord) -> str:
        if record.not_before > record.submitted_at:
            heapq.heappush(self._delayed, (record.not_before, record.spec.job_id))
            return ""
        return self._insert(record)

    def _insert(self, record: JobRecord) -> str:
        pool = self._jobs.find_pool(record.spec.queue)
        lane = (record.spec.team, not record.spec.urgent)
        jobs = self._lanes.setdefault(pool, {}).setdefault(lane, {})
        jobs[record.spec.job_id] = None
        self._place[record.spec.job_id] = (pool, lane)
        return pool

    def _remove(self, job_id: str) -> None:
        place = self._place.pop(job_id, None)
        if place is None:
            return
        pool, lane = place
        lanes = self._lanes[pool]
        del lanes[lane][job_id]
        if not lanes[lane]:
            del lanes[lane]
        if not lanes:
            del self._lanes[pool]
