"""Forecast of queues that take turns: how much work comes within a move's time.

The pattern that this answers: each queue in its turn asks for several times its mean
for some seconds. A machine takes a while to change its pool, so it has to leave as soon
as the turn shows in the rate of arrivals, not when tasks are waiting; and where a queue
has had two turns, before the third begins.
"""

from collections import deque
from dataclasses import dataclass, field

__all__ = ["TurnForecast"]

WINDOW_SECONDS = 1.4
"""Time in seconds over which arriving work is averaged; a turn lasts some seconds."""

MIN_SPAN_SECONDS = 0.65
"""Shortest time in seconds that a rate is taken over; a few jobs come together."""

MIN_ARRIVALS = 3
"""Jobs in the window below which arrivals say nothing of the rate."""

START_SHARE = 0.4
"""A turn begins when work arrives at this share of the highest rate seen."""

END_SHARE = 0.2
"""A turn ends when work arrives at less than this share of the highest rate seen."""

LEAD_SECONDS = 2.4
"""Time in seconds that a machine needs to move (1.5 s), announce itself and be read."""

TRAIL_SECONDS = 1.2
"""Time in seconds for which machines wait for a turn that is late."""

UNSEEN_SECONDS = 25.0
"""Time in seconds without a turn after which a queue is taken as one without turns."""

MIN_CPU = 16_000
"""Rate in thousandths of a core below which arrivals are no turn."""


@dataclass(slots=True)
class _Queue:
    arrivals: deque[tuple[float, float]] = field(default_factory=deque)
    peak: float = 0.0
    in_turn: bool = False
    turned: bool = False
    starts: deque[float] = field(default_factory=lambda: deque(maxlen=2))

    @property
    def last_start(self) -> float:
        """Time in seconds at which the last turn began, before all others if none."""
        return self.starts[-1] if self.starts else float("-inf")


class TurnForecast:
    """Rates of arriving work by service, and when each has its turns."""

    def __init__(self) -> None:
        self._began = float("inf")
        self._queues: dict[str, _Queue] = {}
        self._patient: set[str] = set()

    def begin(self, now: float) -> None:
        """Note that arrivals are heard from now on, unless they were before."""
        self._began = min(self._began, now)

    def note(self, service: str, work: float, slack: float, now: float) -> None:
        """Note a job that was handed in.

        A job that can wait for a machine to arrive needs no forecast.

        Parameters
        ----------
        service : str
            Its service.
        work : float
            Its work, in thousandths of a core times seconds.
        slack : float
            Time in seconds that it can wait and still be in time.
        now : float
            Time in seconds.
        """
        self.begin(now)
        if slack >= LEAD_SECONDS:
            self._patient.add(service)
            return
        queue = self._queues.setdefault(service, _Queue())
        queue.arrivals.append((now, work))
        self._update(queue, now)

    def find_expected(self, service: str, now: float) -> float:
        """Return the processors that a service will ask for within a move's time.

        Parameters
        ----------
        service : str
            The service.
        now : float
            Time in seconds.

        Returns
        -------
        float
            Thousandths of a core.
        """
        queue = self._queues.get(service)
        if queue is None:
            return 0.0
        self._update(queue, now)
        expected = _find_rate(queue, now)
        if _is_turn_near(queue, now):
            expected = max(expected, queue.peak)
        return expected

    def is_due(self, service: str) -> bool:
        """Tell whether a service is in its turn, or the next one may be its.

        Queues take turns, so that one does not have another before the others had
        theirs. A queue without any turn so far may have one at any time.
        """
        queue = self._queues.get(service)
        if queue is None:
            return False
        if queue.in_turn:
            return True
        return queue.last_start <= min(
            other.last_start for other in self._queues.values()
        )

    def may_rest(self, service: str, now: float) -> bool:
        """Tell whether a pool's need in a turn is known, so that it can shrink."""
        queue = self._queues.get(service)
        if queue is not None and queue.turned:
            return not queue.in_turn
        if queue is None and service in self._patient:
            return True
        return now - self._began > UNSEEN_SECONDS

    def _update(self, queue: _Queue, now: float) -> None:
        rate = _find_rate(queue, now)
        if queue.in_turn:
            queue.peak = max(queue.peak, rate)
            if rate < END_SHARE * queue.peak:
                queue.in_turn = False
                queue.turned = True
        elif rate > max(MIN_CPU, START_SHARE * queue.peak):
            queue.in_turn = True
            queue.starts.append(now)


def _is_turn_near(queue: _Queue, now: float) -> bool:
    if len(queue.starts) < queue.starts.maxlen:  # type: ignore[operator]
        return False
    first, last = queue.starts
    following = last + (last - first)
    return following - LEAD_SECONDS <= now <= following + TRAIL_SECONDS


def _find_rate(queue: _Queue, now: float) -> float:
    """Return the rate at which work arrives, in thousandths of a core.

    The later half of the window counts by itself, as the rate rises in a turn.
    """
    while queue.arrivals and queue.arrivals[0][0] < now - WINDOW_SECONDS:
        queue.arrivals.popleft()
    late = [item for item in queue.arrivals if item[0] >= now - WINDOW_SECONDS / 2]
    return max(
        _average(list(queue.arrivals), now, MIN_ARRIVALS),
        _average(late, now, 2 * MIN_ARRIVALS),
    )


def _average(arrivals: list[tuple[float, float]], now: float, least: int) -> float:
    if len(arrivals) < least:
        return 0.0
    # A turn that has just begun has not filled the window yet.
    span = max(MIN_SPAN_SECONDS, now - arrivals[0][0])
    return sum(work for _, work in arrivals) / span
