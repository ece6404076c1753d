"""Choice of the attempts to preempt for another job."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from gypsumwalk.instances import InstanceRecord
from gypsumwalk.job_allocations import Allocation
from gypsumwalk.job_placement import ResourceVector

__all__ = ["Candidate", "Preemption", "choose_victims"]


class Candidate(NamedTuple):
    """Attempt that may be preempted.

    Attributes
    ----------
    share : float
        Dominant share of the attempt's team divided by the team's weight.
    allocation : Allocation
        Resources allocated to the attempt.
    """

    share: float
    allocation: Allocation


class Preemption(NamedTuple):
    """Attempt to stop, with the cause.

    Attributes
    ----------
    job_id : str
        Job whose attempt is stopped.
    cause : str
        Reason for the preemption.
    """

    job_id: str
    cause: str


def choose_victims(
    request: ResourceVector,
    instances: Iterable[tuple[InstanceRecord, ResourceVector, Sequence[Candidate]]],
) -> list[Allocation]:
    """Choose the smallest set of attempts on one instance to preempt for a job.

    Parameters
    ----------
    request : ResourceVector
        Resources that the job is expected to use.
    instances : Iterable of tuple
        Instances with their free resources and preemption candidates.

    Returns
    -------
    list of Allocation
        Allocations of the attempts to stop, those of teams with the highest weighted
        share first; empty if preemption frees enough resources on no instance.
    """
    best: list[Allocation] = []
    for _, free, candidates in instances:
        victims: list[Allocation] = []
        for candidate in sorted(candidates, reverse=True, key=_rank):
            if request.fits(free):
                break
            victims.append(candidate.allocation)
            free = free.add(candidate.allocation.resources)
        if request.fits(free) and victims and (not best or len(victims) < len(best)):
            best = victims
    return best


def _rank(candidate: Candidate) -> tuple[float, float, str]:
    allocation = candidate.allocation
    return (candidate.share, allocation.resources.processors, allocation.job_id)
