"""Load shedding: early refusal of requests that can't start or end in time."""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

from gypsumwalk.queues import Flow, ServiceQueue
from gypsumwalk.request_table import Request, RequestTable
from gypsumwalk.service_durations import ServiceDurations

__all__ = ["LoadShedder", "Refusal"]

MAX_WAIT_SHARE = 0.9
"""Share of the time until its deadline that a request may be expected to wait."""
MAX_RUN_TIME_SHARE = 0.5
"""Maximum share of a request's time reserved for its run, as estimates may err."""
MIN_WEIGHT = 0.001


class Refusal(NamedTuple):
    """Refusal of a request due to overload.

    Attributes
    ----------
    retry_after : float
        Seconds after which the caller may try again.
    """

    retry_after: float


class LoadShedder:
    """Decides which requests to refuse, fairly between teams.

    Parameters
    ----------
    requests : RequestTable
        Requests that this daemon keeps.
    durations : ServiceDurations
        Estimates of the run times.
    get_weight : Callable
        Returns the weight of a team.
    """

    def __init__(
        self,
        requests: RequestTable,
        durations: ServiceDurations,
        get_weight: Callable[[str], float],
    ) -> None:
        self._requests = requests
        self._durations = durations
        self._get_weight = get_weight

    def has_too_little_time(self, request: Request, now: float) -> bool:
        """Tell whether a request started now is likely to miss its deadline."""
        total_seconds = request.deadline - request.accepted_at
        run_seconds = self._durations.estimate_usual(request.service)
        return request.deadline - now < min(
            run_seconds, total_seconds * MAX_RUN_TIME_SHARE
        )

    def is_overloaded(self, request: Request, queue: ServiceQueue, now: float) -> bool:
        """Tell whether the expected wait of a new request is too long.

        Parameters
        ----------
        request : Request
            The request, not yet queued.
        queue : ServiceQueue
            Waiting requests of its service.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether the request is unlikely to start in time for its deadline.
        """
        wait = queue.estimate_wait(urgent=request.urgent)
        return wait > (request.deadline - now) * MAX_WAIT_SHARE

    def find_victim(
        self,
        request: Request,
        queues: Iterable[ServiceQueue],
        *,
        same_queue: bool = False,
    ) -> str | None:
        """Return the waiting request to evict for a new one, or None.

        The victim is the last request of the team with the most waiting requests
        relative to its weight, the new one included. If that is the new request's own
        team, only an urgent request evicts one, and only one that is not urgent.

        Parameters
        ----------
        request : Request
            The new request.
        queues : Iterable[ServiceQueue]
            Waiting requests by service.
        same_queue : bool
            Whether only requests of the same queue may be evicted.

        Returns
        -------
        str or None
            Identifier of the victim.
        """
        counts: Counter[str] = Counter()
        last: dict[str, str] = {}
        for queue in queues:
            for flow, count in sorted(
                queue.count_by_flow().items(), key=_order_urgent_first
            ):
                counts[flow.team] += count
                victim = queue.peek_last(flow)
                if victim and not (
                    same_queue and self._is_in_other_queue(victim, request)
                ):
                    last[flow.team] = victim
        counts[request.team] += 1
        heaviest = max(
            counts, key=lambda team: (self._normalize_count(team, counts), team)
        )
        victim = last.get(heaviest)
        if heaviest != request.team or victim is None:
            return victim
        is_preempted = request.urgent and not self._requests.live[victim].urgent
        return victim if is_preempted else None

    def _normalize_count(self, team: str, counts: Counter[str]) -> float:
        return counts[team] / max(self._get_weight(team), MIN_WEIGHT)

    def _is_in_other_queue(self, victim: str, request: Request) -> bool:
        return self._requests.live[victim].queue != request.queue


def _order_urgent_first(item: tuple[Flow, int]) -> bool:
    return not item[0].urgent
