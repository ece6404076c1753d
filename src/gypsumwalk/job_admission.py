"""Admission of jobs to an overloaded pool.

A job is refused if it cannot be done before its result has no value, given the work
that goes before it in the order of the pool. A job that is not on time becomes late and
then waits for all late jobs of more value per core-second, too. The prediction is a
lower bound: it leaves out jobs that arrive later, and late jobs that will have no value
when it is their turn. So a job in doubt is admitted.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf

from gypsumwalk.backlog import JobView, RoomView
from gypsumwalk.ordered_backlog import OrderedBacklog
from gypsumwalk.retry_slots import RETURN_WINDOW_SECONDS, RetrySlots

__all__ = [
    "Admission",
    "Admit",
    "JobAdmission",
    "Refuse",
]

MIN_RETRY_SECONDS = 1.0
"""Shortest time until a retry, the unit of the header; shorter ones would use up the 4
retries of a caller while the backlog is still the same."""


@dataclass(frozen=True, slots=True)
class Admit:
    """A job is admitted.

    Attributes
    ----------
    has_returned : bool
        Whether its caller was refused before and returned at the time of its slot.
    """

    has_returned: bool = False


@dataclass(frozen=True, slots=True)
class Refuse:
    """A job is refused.

    Attributes
    ----------
    retry_after : float
        Time in seconds after which its caller is to return.
    reason : str
        Reason, for the caller.
    backlog : float
        Work that goes before it, in core-seconds, with the work that is promised to
        callers that return.
    supply : float
        Work that the pool can do until the result has no value, in core-seconds.
    completion : float
        Predicted time in seconds until the job would be done.
    """

    retry_after: float
    reason: str
    backlog: float
    supply: float
    completion: float


Admission = Admit | Refuse
"""Decision on a submitted job."""


class JobAdmission:
    """Decides which jobs a pool admits, and when the callers of others are to return.

    Parameters
    ----------
    pool : str
        The pool.
    slots : RetrySlots
        Reservations of refused callers.
    """

    def __init__(self, pool: str, slots: RetrySlots) -> None:
        self._pool = pool
        self._slots = slots

    def decide(
        self, job: JobView, backlog: Sequence[JobView], room: RoomView, now: float
    ) -> Admission:
        """Decide on a submitted job.

        Parameters
        ----------
        job : JobView
            The job.
        backlog : Sequence of JobView
            Jobs of the pool that are admitted and not done.
        room : RoomView
            Room of the pool.
        now : float
            Time in seconds.

        Returns
        -------
        Admit or Refuse
            The decision.
        """
        return self.decide_in_order(job, OrderedBacklog(backlog, room, now), now)

    def decide_in_order(
        self, job: JobView, backlog: OrderedBacklog, now: float
    ) -> Admission:
        """Decide on a submitted job of a pool whose jobs have been ordered.

        An admission releases the reservation of the job and adds it to the backlog. A
        refusal makes a reservation.

        Parameters
        ----------
        job : JobView
            The job.
        backlog : OrderedBacklog
            Jobs of the pool that are admitted and not done.
        now : float
            Time in seconds.

        Returns
        -------
        Admit or Refuse
            The decision.
        """
        slot = self._slots.find(self._pool, job.job, now)
        self._slots.release(self._pool, job.job)
        has_returned = slot is not None and now >= slot.at - RETURN_WINDOW_SECONDS
        promised = 0.0
        if not has_returned:
            promised = self._slots.sum_work(job, self._pool, now)
        early = max(0.0, slot.at - now) if slot is not None and has_returned else 0.0
        ahead = _find_hindrance(job, backlog, promised, early, now)
        if ahead is None:
            backlog.add(job, now)
            return Admit(has_returned)
        room = backlog.room
        if slot is not None and not has_returned:
            # A caller that repeats its call early keeps its place.
            self._slots.restore(slot)
            return _refuse(job, ahead, backlog, slot.at, now)
        drained = backlog.sum_work_before_late(job, 0.0) if promised else ahead
        wait = backlog.find_completion(drained + job.work) - job.expires
        at = self._slots.reserve(
            job,
            self._pool,
            now + max(MIN_RETRY_SECONDS, wait),
            now,
            find_rate=lambda at: _find_cores(room, at),
        )
        return _refuse(job, ahead, backlog, at, now)


def _find_hindrance(
    job: JobView, backlog: OrderedBacklog, promised: float, early: float, now: float
) -> float | None:
    """Return the work that goes before a job until its result has no value.

    None if the result may have a value when the job is done. A caller that returned
    early by some seconds has as much time more.
    """
    if promised + backlog.work + job.work <= backlog.find_supply(job.expires):
        return None
    if _is_too_large(job, backlog.room, now):
        return None
    # A job that would be on time goes before the late ones and the promised work.
    if backlog.can_be_on_time(job, now):
        return None
    ahead = backlog.sum_work_before_late(job, promised)
    is_useful = backlog.find_completion(ahead + job.work) <= job.expires + early
    return None if is_useful else ahead


def _refuse(
    job: JobView, ahead: float, backlog: OrderedBacklog, at: float, now: float
) -> Refuse:
    completion = backlog.find_completion(ahead + job.work) - now
    return Refuse(
        retry_after=at - now,
        reason=f"the pool is overloaded: the job would be done in {completion:.1f} s,"
        f" and its result has no value after {job.expires - now:.1f} s",
        backlog=ahead,
        supply=backlog.find_supply(job.expires),
        completion=completion,
    )


def _is_too_large(job: JobView, room: RoomView, now: float) -> bool:
    """Tell whether a job cannot be done in time without any backlog, either.

    Its caller would be refused whenever it returns, so that waiting does not help. The
    same holds for a job without work, as of fillers, in a pool without a known core.
    """
    cores = _find_cores(room, inf)
    return cores <= 0 or cores * (job.expires - now) < job.work


def _find_cores(room: RoomView, at: float) -> float:
    return room.cores + sum(cores for time, cores in room.arriving if time <= at)
