"""Reservations of work for refused callers at the time of their return.

Callers that are refused during a burst would all return at the same time if they were
told the same delay. Each refusal instead reserves work of a pool at the time of the
return, and no second is promised more work than the pool does in a second. Work of
lower priority, and excess work unless the job is excess too, takes no room from a job,
as it gives way to it when both return.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from heapq import heappop, heappush
from math import floor

from gypsumwalk.backlog import JobView

__all__ = ["MAX_RETRY_SECONDS", "RETURN_WINDOW_SECONDS", "RetrySlot", "RetrySlots"]

RETURN_WINDOW_SECONDS = 2.0
"""Time before and after its slot in which a caller keeps its reservation; the header is
rounded up by up to 1 s, and a call takes some tenths of a second."""

MAX_RETRY_SECONDS = 30.0
"""Longest time until a slot; a caller is to learn by then whether it is served."""

MAX_SLOTS = 10_000
"""Reservations that are kept at a time."""

MIN_PROMISE = 1e-6
"""Least promise in core-seconds; less is a rounding error of the sum."""

_Portion = tuple[int, int, bool]
"""Second, priority of the queue, and whether the job is excess work."""


@dataclass(frozen=True, slots=True)
class RetrySlot:
    """Reservation of a refused job.

    Attributes
    ----------
    pool : str
        Pool that runs the job.
    job : str
        Identifier of the job.
    at : float
        Time in seconds at which its caller is to return.
    portions : tuple
        Core-seconds that are promised in each second.
    """

    pool: str
    job: str
    at: float
    portions: tuple[tuple[_Portion, float], ...]


class RetrySlots:
    """Reservations of all pools, in the leader's memory.

    Parameters
    ----------
    max_slots : int
        Largest number of reservations; further ones are not made.
    """

    def __init__(self, max_slots: int = MAX_SLOTS) -> None:
        self._max_slots = max_slots
        self._slots: dict[tuple[str, str], RetrySlot] = {}
        self._promised: dict[str, dict[_Portion, float]] = defaultdict(dict)
        self._by_time: list[tuple[float, str, str]] = []

    def __len__(self) -> int:
        return len(self._slots)

    def copy(self) -> "RetrySlots":
        """Return a copy whose changes do not affect this object."""
        copied = RetrySlots(self._max_slots)
        copied._slots = dict(self._slots)
        for pool, promised in self._promised.items():
            copied._promised[pool] = dict(promised)
        copied._by_time = list(self._by_time)
        return copied

    def clear(self) -> None:
        """Discard all reservations, as at the start of a term."""
        self._slots.clear()
        self._promised.clear()
        self._by_time.clear()

    def find(self, pool: str, job: str, now: float) -> RetrySlot | None:
        """Return the reservation of a job, None if there is none or it is over."""
        self._evict(now)
        return self._slots.get((pool, job))

    def release(self, pool: str, job: str) -> None:
        """Remove the reservation of a job if there is one."""
        slot = self._slots.pop((pool, job), None)
        if slot is None:
            return
        promised = self._promised[pool]
        for portion, work in slot.portions:
            left = promised.pop(portion, 0.0) - work
            if left >= MIN_PROMISE:
                promised[portion] = left

    def sum_work(self, job: JobView, pool: str, now: float) -> float:
        """Return the work promised to others that a new job has to wait for.

        Parameters
        ----------
        job : JobView
            The new job. Reservations of lower priority do not count, nor do those of
            excess work unless it is excess work too.
        pool : str
            Pool that runs it.
        now : float
            Time in seconds.

        Returns
        -------
        float
            Core-seconds that are promised until its result has no value.
        """
        self._evict(now)
        return sum(
            work
            for portion, work in self._promised[pool].items()
            if portion[0] < job.expires and _goes_before(portion, job)
        )

    def reserve(
        self,
        job: JobView,
        pool: str,
        earliest: float,
        now: float,
        *,
        find_rate: Callable[[float], float],
    ) -> float:
        """Reserve work for a refused job from the first second with room for it.

        A job with more work than is left of a second takes part of the next ones, too.
        Nothing is reserved without room within ``MAX_RETRY_SECONDS``, or if there are
        too many reservations.

        Parameters
        ----------
        job : JobView
            The refused job; a reservation that it has is replaced.
        pool : str
            Pool that runs it.
        earliest : float
            Time in seconds before which its caller is not to return.
        now : float
            Time in seconds.
        find_rate : Callable
            Returns the cores of the pool at a time.

        Returns
        -------
        float
            Time in seconds at which its caller is to return.
        """
        self._evict(now)
        self.release(pool, job.job)
        latest = now + MAX_RETRY_SECONDS
        at, left = latest, job.work
        portions: list[tuple[_Portion, float]] = []
        for second, begin, room in self._list_free(
            job, pool, earliest, latest, find_rate
        ):
            if not portions:
                at = max(earliest, begin)
            work = min(left, room)
            portions.append(((second, job.priority, job.is_excess), work))
            left -= work
            if left <= 0:
                break
        if portions and len(self) < self._max_slots:
            self.restore(RetrySlot(pool, job.job, at, tuple(portions)))
            heappush(self._by_time, (at, pool, job.job))
        return at

    def restore(self, slot: RetrySlot) -> None:
        """Store a reservation that was released and is still needed."""
        self.release(slot.pool, slot.job)
        self._slots[slot.pool, slot.job] = slot
        promised = self._promised[slot.pool]
        for portion, work in slot.portions:
            promised[portion] = promised.get(portion, 0.0) + work

    def _list_free(
        self,
        job: JobView,
        pool: str,
        earliest: float,
        latest: float,
        find_rate: Callable[[float], float],
    ) -> Iterator[tuple[int, float, float]]:
        """Yield seconds with room, each with the end of its promises and the room."""
        promised: dict[int, float] = defaultdict(float)
        for portion, work in self._promised[pool].items():
            if _goes_before(portion, job):
                promised[portion[0]] += work
        for second in range(floor(earliest), floor(latest)):
            rate = find_rate(second)
            # The part of a second that is before the earliest time can't be promised.
            room = min(rate - promised[second], rate * (second + 1 - earliest))
            if room >= MIN_PROMISE:
                yield second, second + promised[second] / rate, room

    def _evict(self, now: float) -> None:
        """Remove the reservations of callers that did not return in time."""
        while self._by_time and self._by_time[0][0] + RETURN_WINDOW_SECONDS < now:
            at, pool, job = heappop(self._by_time)
            slot = self._slots.get((pool, job))
            # The job may have a later reservation by now.
            if slot is not None and slot.at == at:
                self.release(pool, job)


def _goes_before(portion: _Portion, job: JobView) -> bool:
    """Tell whether a job has to wait for work that was promised to another one."""
    _, priority, is_excess = portion
    return priority <= job.priority and (job.is_excess or not is_excess)
