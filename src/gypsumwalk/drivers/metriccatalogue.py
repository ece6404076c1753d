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
    MetricEntry("inputs", _COUNTER, "Inputs handled by the node.", ("kind",)),
    MetricEntry("effects", _COUNTER, "Effects requested by the node.", ("kind",)),
    MetricEntry("events", _COUNTER, "Events recorded.", ("number",)),
    MetricEntry("event_lines_lost", _GAUGE, "Event lines lost because a write failed."),
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
        "peer_messages_rejected",
        _COUNTER,
        "Messages rejected as malformed or not authentic.",
    ),
    MetricEntry(
        "peer_messages_dropped",
        _COUNTER,
        "Messages dropped because a send queue was full.",
    ),
    MetricEntry("dispatches", _COUNTER, "Requests sent to targets.", ("status",)),
    MetricEntry("platform_calls", _COUNTER, "Calls to the platform.", ("outcome",)),
    MetricEntry("disk_writes", _COUNTER, "Synced disk writes.", ("outcome",)),
    MetricEntry("waiting_calls", _GAUGE, "HTTP calls waiting for an answer."),
    MetricEntry(
        "requests_in_progress", _GAUGE, "Requests sent to targets and not yet answered."
    ),
    MetricEntry("ready", _GAUGE, "Whether the daemon is ready, 1 or 0."),
    MetricEntry("leader", _GAUGE, "Whether the daemon is the leader, 1 or 0."),
    MetricEntry("generation", _GAUGE, "Generation of the active configuration."),
    MetricEntry("log_applied", _GAUGE, "Index of the last log entry applied."),
    MetricEntry("daemons_alive", _GAUGE, "Daemons alive according to membership."),
    MetricEntry("started_at", _GAUGE, "Start time, in seconds since the epoch."),
    MetricEntry("http", _LATENCY, "Time to answer an HTTP call.", ("audience",)),
    MetricEntry("dispatch", _LATENCY, "Time to a target's response."),
    MetricEntry("platform", _LATENCY, "Time to the platform's response."),
    MetricEntry("disk_write", _LATENCY, "Duration of a synced disk write."),
    MetricEntry("decision", _LATENCY, "Time to handle one input in the node."),
]

METRICS = {entry.name: entry for entry in _ENTRIES}
"""All metrics by their name in the code."""
