"""Choice of the attempts that are stopped so that another job finds room."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from gypsumwalk.instances import InstanceRecord
from gypsumwalk.ledger import Holding
from gypsumwalk.placement import Size

__all__ = ["Candidate", "Preemption", "choose_victims"]


class Candidate(NamedTuple):
    """An attempt that may be stopped.

    Attributes
    ----------
    share : float
        Dominant share of its team divided by the team's weight.
    holding : Holding
        What it holds.
    """

    share: float
    holding: Holding


class Preemption(NamedTuple):
    """An attempt to stop, and why.

    Attributes
    ----------
    job_id : str
        Job to stop.
    cause : str
        Why.
    """

    job_id: str
    cause: str


def choose_victims(
    size: Size,
    instances: Iterable[tuple[InstanceRecord, Size, Sequence[Candidate]]],
) -> list[Holding]:
    """Choose the fewest attempts on one instance whose end makes room.

    Parameters
    ----------
    size : Size
        What the job is expected to use.
    instances : Iterable of tuple
        Instances with what is free on each, and what may be stopped there.

    Returns
    -------
    list of Holding
        What to stop, the teams furthest above their shares first; empty if no
        instance can be freed.
    """
    best: list[Holding] = []
    for _, room, candidates in instances:
        victims: list[Holding] = []
        for candidate in sorted(candidates, reverse=True, key=_rank):
            if size.fits(room):
                break
            victims.append(candidate.holding)
            room = room.add(candidate.holding.size)
        if size.fits(room) and victims and (not best or len(victims) < len(best)):
            best = victims
    return best


def _rank(candidate: Candidate) -> tuple[float, float, str]:
    holding = candidate.holding
    return (candidate.share, holding.size.processors, holding.job_id)
