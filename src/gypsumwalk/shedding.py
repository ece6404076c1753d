"""Refusal of requests that can't start in time, before they cost anything."""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

from gypsumwalk.queues import Line, ServiceQueue
from gypsumwalk.records import Request, RequestTable
from gypsumwalk.service_durations import ServiceDurations

__all__ = ["Refusal", "Shedder"]

WAIT_SHARE = 0.9
"""Part of the time until its deadline that a request may be expected to wait."""
MAX_USUAL_SHARE = 0.5
"""Most of a request's time that is kept for its run, as learned run times may err."""
MIN_WEIGHT = 0.001


class Refusal(NamedTuple):
    """Why a request is refused at once.

    Attributes
    ----------
    retry_after : float
        Seconds after which the caller may try again.
    """

    retry_after: float


class Shedder:
    """Keeps the waiting requests within bounds, fairly between teams.

    Parameters
    ----------
    records : RequestTable
        Records of the requests.
    durations : ServiceDurations
        Usual run times.
    weigh : Callable
        Returns the share of a team.
    """

    def __init__(
        self,
        records: RequestTable,
        durations: ServiceDurations,
        weigh: Callable[[str], float],
    ) -> None:
        self._records = records
        self._durations = durations
        self._weigh = weigh

    def is_too_late(self, request: Request, now: float) -> bool:
        """Tell whether a request would hardly end by its deadline if it started."""
        whole = request.deadline - request.accepted_at
        usual = self._durations.estimate_usual(request.service)
        return request.deadline - now < min(usual, whole * MAX_USUAL_SHARE)

    def is_full(self, request: Request, queue: ServiceQueue, now: float) -> bool:
        """Tell whether a new request would have to wait too long.

        Parameters
        ----------
        request : Request
            The request, not yet in its line.
        queue : ServiceQueue
            Waiting requests of its service.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether it would hardly start by its deadline.
        """
        wait = queue.estimate_wait(urgent=request.urgent)
        return wait > (request.deadline - now) * WAIT_SHARE

    def find_victim(
        self,
        request: Request,
        queues: Iterable[ServiceQueue],
        *,
        same_queue: bool = False,
    ) -> str | None:
        """Return the waiting request to refuse in favour of a new one, or None.

        It is the last one of the team that has most waiting for its share, if that
        is more than the new request's team would have; an urgent request also takes
        the place of an ordinary one of its own team.

        Parameters
        ----------
        request : Request
            The new request.
        queues : Iterable[ServiceQueue]
            Waiting requests by service.
        same_queue : bool
            Whether only requests of the same queue make room.

        Returns
        -------
        str or None
            Identifier of the victim.
        """
        counts: Counter[str] = Counter()
        last: dict[str, str] = {}
        for queue in queues:
            for line, count in sorted(
                queue.count_lines().items(), key=_put_urgent_first
            ):
                counts[line.team] += count
                victim = queue.peek_last(line)
                if victim and not (same_queue and self._differs(victim, request)):
                    last[line.team] = victim
        counts[request.team] += 1
        heaviest = max(counts, key=lambda team: (self._measure(team, counts), team))
        victim = last.get(heaviest)
        if heaviest != request.team or victim is None:
            return victim
        gives_way = request.urgent and not self._records.live[victim].urgent
        return victim if gives_way else None

    def _measure(self, team: str, counts: Counter[str]) -> float:
        return counts[team] / max(self._weigh(team), MIN_WEIGHT)

    def _differs(self, victim: str, request: Request) -> bool:
        return self._records.live[victim].queue != request.queue


def _put_urgent_first(item: tuple[Line, int]) -> bool:
    return not item[0].urgent
