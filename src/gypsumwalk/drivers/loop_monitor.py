"""Measures how late the event loop handles inputs and timers, and what takes its time.

Sums are kept per kind of input and passed to the metrics at intervals, as updating a
metric for each input would take longer than handling many of them.
"""

from collections.abc import Callable

import msgspec

from gypsumwalk.drivers.input_queue import QueuedInput
from gypsumwalk.drivers.metrics import Metrics
from gypsumwalk.effects import Record
from gypsumwalk.events import Event
from gypsumwalk.inputs import CallInput, Input, PeerInput, PlatformOutcome

__all__ = ["LoopMonitor", "name_input"]

REPORT_INTERVAL_SECONDS = 1.0
LATE_SECONDS = 0.1
"""Lateness above which an event is recorded; leases tolerate 0.3 s."""

IN_TIME_SECONDS = 0.2
"""Time without a late turn after which the loop counts as in time; four ticks of the
leader, so that one turn in time amid late ones changes nothing."""

TIMERS = "timers"


class LoopMonitor:
    """Statistics of one event loop.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the daemon.
    record : Callable
        Writes an event.
    """

    def __init__(self, metrics: Metrics, record: Callable[[Record], None]) -> None:
        self._metrics = metrics
        self._record = record
        self._counts: dict[str, int] = {}
        self._seconds: dict[str, float] = {}
        self._turn_ended: float | None = None
        self._turn_lateness = 0.0
        self._lateness = 0.0
        self._report_due = 0.0
        self._is_late = False
        self._late_at = 0.0
        self._calls_in_progress = 0

    def begin_call(self) -> None:
        """Count a call of an instance or machine as in progress."""
        self._calls_in_progress += 1

    def end_call(self) -> None:
        """Count a call as ended."""
        self._calls_in_progress -= 1

    def count_input(self, queued: QueuedInput, began: float, ended: float) -> None:
        """Count one input.

        Parameters
        ----------
        queued : QueuedInput
            The input.
        began, ended : float
            Times in seconds between which it was handled.
        """
        self._count(name_input(queued.item), began - queued.arrived, ended - began)

    def count_timers(self, due: float, began: float, ended: float) -> None:
        """Count one run of the timers.

        Parameters
        ----------
        due : float
            Time in seconds at which the first timer was due.
        began, ended : float
            Times in seconds between which they ran.
        """
        # A timer that an input of this turn set to a time in the past is not late: a
        # timer due at the end of the turn before ran then.
        due = max(due, began if self._turn_ended is None else self._turn_ended)
        self._count(TIMERS, began - due, ended - began)

    def end_turn(self, now: float, queued: int) -> float | None:
        """End a turn of the event loop, and report if that is due.

        Parameters
        ----------
        now : float
            Time in seconds.
        queued : int
            Number of inputs left in the queue.

        Returns
        -------
        float or None
            Lateness in seconds if the loop has become late or is in time again, 0 in
            the latter case; None if neither is so.
        """
        self._turn_ended = now
        change = self._find_change(now)
        if self._turn_lateness > 0:
            self._metrics.observe_latency("loop_lateness", self._turn_lateness)
            self._lateness = max(self._lateness, self._turn_lateness)
            self._turn_lateness = 0.0
        if now >= self._report_due:
            self._report_due = now + REPORT_INTERVAL_SECONDS
            self._report(queued)
        return change

    def _find_change(self, now: float) -> float | None:
        if self._turn_lateness > LATE_SECONDS:
            self._late_at = now
            if not self._is_late:
                self._is_late = True
                return self._turn_lateness
        elif self._is_late and now - self._late_at >= IN_TIME_SECONDS:
            self._is_late = False
            return 0.0
        return None

    def _count(self, kind: str, late: float, seconds: float) -> None:
        self._counts[kind] = self._counts.get(kind, 0) + 1
        self._seconds[kind] = self._seconds.get(kind, 0.0) + max(0.0, seconds)
        self._turn_lateness = max(self._turn_lateness, late)

    def _report(self, queued: int) -> None:
        counts, seconds, late = self._counts, self._seconds, self._lateness
        self._counts, self._seconds, self._lateness = {}, {}, 0.0
        for kind, count in counts.items():
            self._metrics.count("inputs", count, kind=kind)
            self._metrics.count("decision_seconds", seconds[kind], kind=kind)
        self._metrics.set_gauge("platform_calls_in_progress", self._calls_in_progress)
        if late >= LATE_SECONDS:
            attributes = {
                "late": round(late, 3),
                "deciding": round(sum(seconds.values()), 3),
                "inputs": sum(counts.values()),
                "queued": queued,
                "calls": self._calls_in_progress,
            }
            self._record(Record(Event.LOOP_LATE, "", attributes))


def name_input(item: Input) -> str:
    """Return the kind of an input, which names its message, call or report.

    Parameters
    ----------
    item : Input
        The input.

    Returns
    -------
    str
        The name of a type.
    """
    content: msgspec.Struct | None = None
    if isinstance(item, PeerInput | CallInput):
        content = item.body
    elif isinstance(item, PlatformOutcome):
        content = item.report
    return type(item if content is None else content).__name__
