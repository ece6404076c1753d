"""Counts and logs of malformed answers of instances, machines and services."""

from collections.abc import Callable

from gypsumwalk.drivers.metrics import Metrics
from gypsumwalk.effects import Record, Scalar
from gypsumwalk.events import Event
from gypsumwalk.interfaces import Clock

__all__ = ["MalformedAnswers"]

REPORT_SECONDS = 60.0
"""Time in which an event is recorded once for a source and kind of answer."""

MAX_SOURCES = 1000


class MalformedAnswers:
    """Malformed answers by their source.

    Parameters
    ----------
    clock : Clock
        Clock of the daemon.
    metrics : Metrics
        Metrics of the daemon.
    record : Callable
        Writes an event.
    """

    def __init__(
        self, clock: Clock, metrics: Metrics, record: Callable[[Record], None]
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._record = record
        self._reported_at: dict[tuple[str, str], float] = {}
        self._unreported: dict[tuple[str, str], int] = {}

    def record(self, source: str, kind: str, entries: int) -> None:
        """Count a malformed answer, and log the first one of a source in a while.

        Parameters
        ----------
        source : str
            Address of the server.
        kind : str
            Kind of the answer.
        entries : int
            Number of entries that were left out, 0 for the whole answer.
        """
        self._metrics.count("malformed_answers", kind=kind)
        key = (source, kind)
        now = self._clock.now()
        reported_at = self._reported_at.get(key)
        if reported_at is not None and now - reported_at < REPORT_SECONDS:
            self._unreported[key] = self._unreported.get(key, 0) + 1
            return
        if len(self._reported_at) >= MAX_SOURCES:
            self._reported_at.clear()
            self._unreported.clear()
        self._reported_at[key] = now
        attributes: dict[str, Scalar] = {
            "kind": kind,
            "entries": entries,
            "unreported": self._unreported.pop(key, 0),
        }
        self._record(Record(Event.ANSWER_MALFORMED, source, attributes))
