"""Forecast of the demand of queues with alternating bursts of arrivals.

Queues have bursts in turn: each demands several times its mean for some seconds. As a
machine takes time to move to another pool, the move has to start as soon as the arrival
rate shows the burst, not when tasks are waiting. A burst takes seconds to reach its
highest rate, so that a growing rate is extrapolated to the time at which a machine that
moves now is there. After two bursts of a queue, the third is predicted from the time
between them.
"""

from collections import deque
from dataclasses import dataclass, field
from math import sqrt

__all__ = ["DemandForecast"]

WINDOW_SECONDS = 1.4
"""Window over which arriving work is averaged; a burst lasts some seconds."""

MIN_SPAN_SECONDS = 0.65
"""Shortest time that a rate is computed over, as some jobs arrive together."""

MIN_ARRIVALS = 3
"""Fewest jobs in the window from which a rate is computed."""

BURST_START_SHARE = 0.4
"""Share of the highest rate seen above which a burst begins."""

BURST_END_SHARE = 0.2
"""Share of the highest rate seen below which a burst ends."""

LEAD_SECONDS = 2.4
"""Time in which a machine moves (1.5 s), registers and is listed."""

MAX_GROWTH_FACTOR = 3.0
"""Largest ratio of the extrapolated to the present rate, as bursts level off."""

MAX_CLOCK_OFFSET_SECONDS = 2.5
"""Largest difference that is assumed between the clocks of two daemons."""

LATE_SECONDS = 1.2
"""Time for which capacity is held for a predicted burst that is late."""

NO_BURST_SECONDS = 25.0
"""Observation time without a burst after which a queue counts as steady."""

PEAK_SECONDS = 60.0
"""Time without a burst after which the highest rate seen is forgotten."""

MIN_BURST_MILLICORES = 16_000
"""Arrival rate in thousandths of a core up to which arrivals are no burst."""


@dataclass(slots=True)
class _Queue:
    arrivals: deque[tuple[float, float]] = field(default_factory=deque)
    peak: float = 0.0
    in_burst: bool = False
    had_burst: bool = False
    starts: deque[float] = field(default_factory=lambda: deque(maxlen=2))

    @property
    def last_start(self) -> float:
        """Time in seconds at which the last burst began; minus infinity if none did."""
        return self.starts[-1] if self.starts else float("-inf")


class DemandForecast:
    """Arrival rates of work and times of bursts, by service.

    Arrivals are kept with the times that the leader of their time gave them, as a
    daemon that catches up learns of many at once.
    """

    def __init__(self) -> None:
        self._offset = 0.0
        """Own time minus the leader's in seconds, as of the latest job."""
        self._observing_since = float("inf")
        self._queues: dict[str, _Queue] = {}
        self._deferrable: set[str] = set()

    def start_observing(self, now: float) -> None:
        """Set the beginning of the observation, unless an earlier one is set."""
        self._observing_since = min(self._observing_since, now)

    def record_job(
        self,
        service: str,
        work: float,
        slack: float,
        at: float,
        *,
        now: float | None = None,
    ) -> None:
        """Record a submitted job.

        A job that can wait until a machine has moved is left out of the forecast.

        Parameters
        ----------
        service : str
            Service of the job.
        work : float
            Work of the job, in thousandths of a core times seconds.
        slack : float
            Time in seconds that the job can wait and still meet its objective.
        at : float
            Time in seconds at which the leader accepted it.
        now : float, optional
            Time in seconds on this daemon's clock; by default ``at``.
        """
        now = at if now is None else now
        limit = MAX_CLOCK_OFFSET_SECONDS
        self._offset = max(-limit, min(limit, now - at))
        self.start_observing(now)
        if slack >= LEAD_SECONDS:
            self._deferrable.add(service)
            return
        queue = self._queues.setdefault(service, _Queue())
        queue.arrivals.append((at, work))
        self._update(queue, at)

    def find_expected(self, service: str, now: float) -> float:
        """Return the expected demand of a service within ``LEAD_SECONDS``.

        Parameters
        ----------
        service : str
            The service.
        now : float
            Time in seconds.

        Returns
        -------
        float
            Processors, in thousandths of a core.
        """
        queue = self._queues.get(service)
        if queue is None:
            return 0.0
        now -= self._offset
        self._update(queue, now)
        expected = max(_find_rate(queue, now), _extrapolate_rate(queue, now))
        if _is_burst_near(queue, now) and self._has_alternated(queue):
            expected = max(expected, queue.peak)
        return expected

    def _has_alternated(self, queue: _Queue) -> bool:
        """Return whether another queue had a burst between the last two of a queue.

        Otherwise the two are one burst with an interruption, and the time between them
        is not the time until the next one. A queue without others has no turns.
        """
        others = [item for item in self._queues.values() if item is not queue]
        first, last = queue.starts
        return not others or any(
            first < start < last for item in others for start in item.starts
        )

    def is_burst_due(self, service: str) -> bool:
        """Return whether a service is in a burst, or may have the next one.

        Bursts alternate between queues, so the next one is of the queue whose last
        burst is longest ago. A queue without a burst so far may have one at any time.
        """
        queue = self._queues.get(service)
        if queue is None:
            return False
        if queue.in_burst:
            return True
        return queue.last_start <= min(
            other.last_start for other in self._queues.values()
        )

    def is_in_burst(self, service: str) -> bool:
        """Return whether a service has a burst after its first one."""
        queue = self._queues.get(service)
        return queue is not None and queue.in_burst and queue.had_burst

    def can_shrink(self, service: str, now: float) -> bool:
        """Return whether the pool of a service may shrink.

        It keeps its machines until the end of its first burst shows its demand, but not
        if its jobs can wait for a move, nor after ``NO_BURST_SECONDS`` without a burst.
        """
        queue = self._queues.get(service)
        if queue is not None and queue.had_burst:
            return not queue.in_burst
        if queue is None and service in self._deferrable:
            return True
        return now - self._observing_since > NO_BURST_SECONDS

    def _update(self, queue: _Queue, now: float) -> None:
        rate = _find_rate(queue, now)
        if not queue.in_burst and now - queue.last_start > PEAK_SECONDS:
            # It may have been due to jobs that had to wait for a leader.
            queue.peak = 0.0
        if queue.in_burst:
            queue.peak = max(queue.peak, rate)
            if rate < BURST_END_SHARE * queue.peak:
                queue.in_burst = False
                queue.had_burst = True
        elif rate > max(MIN_BURST_MILLICORES, BURST_START_SHARE * queue.peak):
            queue.in_burst = True
            queue.starts.append(now)


def _is_burst_near(queue: _Queue, now: float) -> bool:
    if len(queue.starts) < queue.starts.maxlen:  # type: ignore[operator]
        return False
    first, last = queue.starts
    next_start = last + (last - first)
    return next_start - LEAD_SECONDS <= now <= next_start + LATE_SECONDS


def _find_rate(queue: _Queue, now: float) -> float:
    """Return the rate at which work arrives, in thousandths of a core.

    The later half of the window is also evaluated alone, as the rate rises in a burst.
    """
    while queue.arrivals and queue.arrivals[0][0] < now - WINDOW_SECONDS:
        queue.arrivals.popleft()
    recent = [item for item in queue.arrivals if item[0] >= now - WINDOW_SECONDS / 2]
    return max(
        _compute_rate(list(queue.arrivals), now, MIN_ARRIVALS),
        _compute_rate(recent, now, 2 * MIN_ARRIVALS),
    )


def _extrapolate_rate(queue: _Queue, now: float) -> float:
    """Return the rate in ``LEAD_SECONDS`` if it grows as between the window's halves.

    Differences that are usual between samples of a steady rate count as no growth, and
    so does a rate that has only just become more than zero.
    """
    half = WINDOW_SECONDS / 2
    recent = [work for at, work in queue.arrivals if at >= now - half]
    earlier = [work for at, work in queue.arrivals if at < now - half]
    if len(recent) < 2 * MIN_ARRIVALS or len(earlier) < MIN_ARRIVALS:
        return 0.0
    rate = sum(recent) / half
    # Standard error of the difference if jobs arrive independently of each other.
    noise = sqrt(sum(work * work for work in recent + earlier)) / half
    growth = max(0.0, rate - sum(earlier) / half - noise) / half
    extrapolated = rate + growth * (LEAD_SECONDS + half / 2)
    return min(extrapolated, MAX_GROWTH_FACTOR * rate)


def _compute_rate(
    arrivals: list[tuple[float, float]], now: float, min_arrivals: int
) -> float:
    if len(arrivals) < min_arrivals:
        return 0.0
    # A burst that has just begun has not filled the window yet.
    span = max(MIN_SPAN_SECONDS, now - arrivals[0][0])
    return sum(work for _, work in arrivals) / span
