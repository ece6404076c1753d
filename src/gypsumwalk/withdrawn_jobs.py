"""Jobs that were cancelled before their submission was committed.

A submission may be held up for seconds: as a proposal of a former leader, in a process
that is suspended, or on the way to it. A cancel that finds no job is kept, and refuses
a submission of that job that is committed later.
"""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

__all__ = ["KEEP_SECONDS", "MAX_KEPT_PER_CALLER", "WithdrawnJob", "WithdrawnJobs"]

KEEP_SECONDS = 60.0
"""Time for which a cancel is kept; longer than a process is suspended or cut off, with
the deadline of a caller and its repetitions after it."""

MAX_KEPT_PER_CALLER = 4000
"""Most cancels kept for one team on one queue; further ones are refused, so that they
replace none that was acknowledged, and none of another team."""


class WithdrawnJob(msgspec.Struct, frozen=True, array_like=True):
    """A job that was cancelled and is not stored.

    Attributes
    ----------
    queue : str
        Queue on which it was cancelled.
    team : str
        Team that cancelled it; empty on a public queue, where any caller may.
    job : str
        Its identifier.
    at : float
        Time in seconds at which it was cancelled last.
    """

    queue: str
    team: str
    job: str
    at: float


class _Key(NamedTuple):
    queue: str
    team: str
    job: str


class WithdrawnJobs:
    """Cancels that are kept against submissions on their way, by queue and team."""

    def __init__(self) -> None:
        self._kept: dict[_Key, WithdrawnJob] = {}
        """In the order of the times at which they were cancelled last."""
        self._counts: Counter[tuple[str, str]] = Counter()

    def add(self, withdrawn: WithdrawnJob) -> bool:
        """Keep a cancel, or keep it for longer; return whether there was room.

        Parameters
        ----------
        withdrawn : WithdrawnJob
            The cancelled job; no earlier one has been added with a later time.

        Returns
        -------
        bool
            False if ``MAX_KEPT_PER_CALLER`` others are kept for its queue and team.
        """
        self._evict(withdrawn.at)
        key = _Key(withdrawn.queue, withdrawn.team, withdrawn.job)
        caller = (withdrawn.queue, withdrawn.team)
        if self._kept.pop(key, None) is None:
            if self._counts[caller] >= MAX_KEPT_PER_CALLER:
                return False
            self._counts[caller] += 1
        self._kept[key] = withdrawn
        return True

    def find(self, queue: str, team: str, job: str, now: float) -> WithdrawnJob | None:
        """Return the kept cancel that refuses a submission, or None.

        Parameters
        ----------
        queue : str
            Queue of the submission.
        team : str
            Its team, empty without a key.
        job : str
            Identifier of the job.
        now : float
            Time in seconds.

        Returns
        -------
        WithdrawnJob or None
            The cancel, by the same team or on a public queue.
        """
        for owner in (team, ""):
            kept = self._kept.get(_Key(queue, owner, job))
            if kept is not None and now - kept.at < KEEP_SECONDS:
                return kept
        return None

    def _evict(self, at: float) -> None:
        while self._kept:
            key = next(iter(self._kept))
            if at - self._kept[key].at < KEEP_SECONDS:
                return
            del self._kept[key]
            self._counts[key.queue, key.team] -= 1

    def dump(self) -> list[WithdrawnJob]:
        """Return what is kept, in the order in which it is evicted."""
        return list(self._kept.values())

    def load(self, kept: Iterable[WithdrawnJob]) -> None:
        """Replace what is kept by a dump."""
        self._kept = {_Key(item.queue, item.team, item.job): item for item in kept}
        self._counts = Counter((key.queue, key.team) for key in self._kept)
