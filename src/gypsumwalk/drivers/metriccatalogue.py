"""Catalogue of the metrics that a daemon exports."""

from enum import Enum
from typing import NamedTuple

__all__ = ["METRICS", "MetricEntry", "MetricKind"]


class MetricKind(Enum):
    """Type of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    LATENCY = "summary"


class MetricEntry(NamedTuple):
    """One entry of the catalogue.

    Attributes
    ----------
    name : str
        Name in the code; the text format adds the prefix ``gypsumwalk_`` and the suffix
        ``_total`` or ``_seconds``.
    kind : MetricKind
        Type of the metric.
    help : str
        Help text, one sentence.
    labels : tuple of str
        Label names.
    """

    name: str
    kind: MetricKind
    help: str
    labels: tuple[str, ...] = ()


_COUNTER = MetricKind.COUNTER
_GAUGE = MetricKind.GAUGE
_LATENCY = MetricKind.LATENCY

_ENTRIES = [
    MetricEntry("inputs", _COUNTER, "Inputs that decisions took in.", ("kind",)),
    MetricEntry(
        "decision_seconds", _COUNTER, "Seconds spent deciding on inputs.", ("kind",)
    ),
    MetricEntry("effects", _COUNTER, "Effects that decisions asked for.", ("kind",)),
    MetricEntry("events", _COUNTER, "Events recorded.", ("number",)),
    MetricEntry("event_lines_lost", _GAUGE, "Event lines that could not be written."),
    MetricEntry("http_calls", _COUNTER, "HTTP calls answered.", ("audience", "status")),
    MetricEntry("refusals", _COUNTER, "Calls refused.", ("type", "outcome")),
    MetricEntry(
        "peer_messages",
        _COUNTER,
        "Messages to and from other daemons.",
        ("direction", "transport"),
    ),
    MetricEntry(
        "peer_bytes",
        _COUNTER,
        "Bytes of messages to and from other daemons.",
        ("direction", "transport"),
    ),
    MetricEntry(
        "peer_messages_rejected", _COUNTER, "Messages not whole or not authentic."
    ),
    MetricEntry(
        "peer_messages_dropped", _COUNTER, "Messages dropped as a queue was full."
    ),
    MetricEntry("dispatches", _COUNTER, "Requests sent to targets.", ("status",)),
    MetricEntry("platform_calls", _COUNTER, "Calls of the platform.", ("outcome",)),
    MetricEntry(
        "malformed_answers", _COUNTER, "Answers with malformed entries.", ("kind",)
    ),
    MetricEntry("disk_working", _GAUGE, "Whether there is a disk that works, 1 or 0."),
    MetricEntry(
        "incarnation_refused",
        _GAUGE,
        "Whether others refuse this process until a write to its disk ends, 1 or 0.",
    ),
    MetricEntry("disk_writes", _COUNTER, "Synced writes.", ("outcome",)),
    MetricEntry("waiting_calls", _GAUGE, "HTTP calls that wait for an answer."),
    MetricEntry(
        "platform_calls_in_progress", _GAUGE, "Calls of the platform not yet answered."
    ),
    MetricEntry("requests_in_progress", _GAUGE, "Requests sent and not answered."),
    MetricEntry("ready", _GAUGE, "Whether the daemon is ready, 1 or 0."),
    MetricEntry("leader", _GAUGE, "Whether the daemon leads the log, 1 or 0."),
    MetricEntry("generation", _GAUGE, "Generation of the configuration in force."),
    MetricEntry("log_applied", _GAUGE, "Index of the last log entry applied."),
    MetricEntry("daemons_alive", _GAUGE, "Daemons that membership sees alive."),
    MetricEntry("started_at", _GAUGE, "Time of the start, seconds since the epoch."),
    MetricEntry("http", _LATENCY, "Time to answer an HTTP call.", ("audience",)),
    MetricEntry("dispatch", _LATENCY, "Time until a target's answer."),
    MetricEntry("platform", _LATENCY, "Time until the platform's answer."),
    MetricEntry(
        "platform_wait", _LATENCY, "Time until a call of the platform was sent."
    ),
    MetricEntry("disk_write", _LATENCY, "Time of a synced write."),
    MetricEntry(
        "loop_lateness",
        _LATENCY,
        "Longest delay of an input or a timer in one turn of the event loop.",
    ),
]

METRICS = {entry.name: entry for entry in _ENTRIES}
"""All metrics by their name in the code."""
