"""Refusal of requests that can't start in time, before they cost anything."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from gypsumwalk.durations import Durations
from gypsumwalk.queues import Line, ServiceQueue
from gypsumwalk.records import Request, RequestTable

__all__ = ["Refusal", "Shedder"]

WAIT_SHARE = 0.8
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


class _Heaviest(NamedTuple):
    weight: float
    queue: ServiceQueue
    line: Line
    request_id: str


class Shedder:
    """Keeps the waiting requests within bounds, fairly between teams.

    Parameters
    ----------
    records : RequestTable
        Records of the requests.
    durations : Durations
        Usual run times.
    weigh : Callable
        Returns the share of a team.
    """

    def __init__(
        self,
        records: RequestTable,
        durations: Durations,
        weigh: Callable[[str], float],
    ) -> None:
        self._records = records
        self._durations = durations
        self._weigh = weigh

    def is_too_late(self, request: Request, now: float) -> bool:
        """Tell whether a request would hardly end by its deadline if it started."""
        whole = request.deadline - request.accepted_at
        usual = self._durations.find_usual(request.service)
        return request.deadline - now < min(usual, whole * MAX_USUAL_SHARE)

    def judge(
        self, request: Request, queue: ServiceQueue, now: float
    ) -> Refusal | None:
        """Refuse a new request that would wait too long.

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
        Refusal or None
            The refusal, or None if the request may wait.
        """
        wait = queue.estimate_wait(request.line, now)
        if wait <= (request.deadline - now) * WAIT_SHARE:
            return None
        return Refusal(wait)

    def find_victim(
        self,
        request: Request,
        queues: Iterable[ServiceQueue],
        *,
        same_queue: bool,
    ) -> str | None:
        """Return the waiting request to refuse in favour of a new one, or None.

        It is the last one of the team that has most waiting for its share, if that
        is more than the new request's team would have.

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
        heaviest: _Heaviest | None = None
        own = 0
        for queue in queues:
            for line, count in queue.count_lines().items():
                if line.team == request.team:
                    own += count
                victim = queue.peek_last(line)
                if victim is None or (same_queue and not self._shares(victim, request)):
                    continue
                weight = count / max(self._weigh(line.team), MIN_WEIGHT)
                if heaviest is None or weight > heaviest.weight:
                    heaviest = _Heaviest(weight, queue, line, victim)
        if heaviest is None or heaviest.line.team == request.team:
            return None
        own_weight = (own + 1) / max(self._weigh(request.team), MIN_WEIGHT)
        return heaviest.request_id if heaviest.weight > own_weight else None

    def _shares(self, victim: str, request: Request) -> bool:
        return self._records.live[victim].queue == request.queue
