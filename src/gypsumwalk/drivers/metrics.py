"""Counters, gauges and latencies of one daemon, exported to Prometheus."""

from collections.abc import Iterator, Mapping
from threading import Lock
from typing import Any

from hdrh.histogram import HdrHistogram
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    ProcessCollector,
    generate_latest,
)
from prometheus_client.core import Metric, SummaryMetricFamily
from prometheus_client.registry import Collector

from gypsumwalk.drivers.metriccatalogue import METRICS, MetricEntry, MetricKind
from gypsumwalk.errors import UnknownMetric

__all__ = ["METRICS_TEXT", "Metrics"]

METRICS_TEXT = "text/plain; version=0.0.4; charset=utf-8"
"""Content type of ``Metrics.render``."""

NAMESPACE = "gypsumwalk"
MAX_LABEL_SETS = 256
OVERFLOW_LABEL = "other"
QUANTILES = (0.5, 0.9, 0.99, 0.999)
MICROSECONDS_PER_SECOND = 1_000_000
MAX_LATENCY_MICROSECONDS = 3600 * MICROSECONDS_PER_SECOND
SIGNIFICANT_FIGURES = 2

LabelValues = tuple[str, ...]


class _LabelSets:
    """Label sets in use; those beyond ``MAX_LABEL_SETS`` are counted as ``other``."""

    def __init__(self) -> None:
        self._known: dict[str, set[LabelValues]] = {}

    def resolve(self, entry: MetricEntry, labels: Mapping[str, object]) -> LabelValues:
        if set(labels) != set(entry.labels):
            raise UnknownMetric(entry.name, sorted(labels))
        values = tuple(str(labels[name]) for name in entry.labels)
        known = self._known.setdefault(entry.name, set())
        if values in known:
            return values
        if len(known) >= MAX_LABEL_SETS:
            return (OVERFLOW_LABEL,) * len(values)
        known.add(values)
        return values


class _Latency:
    """Latency histogram of one label set."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_FIGURES)
        self._sum = 0.0

    def record(self, seconds: float) -> None:
        microseconds = int(max(0.0, seconds) * MICROSECONDS_PER_SECOND)
        self._histogram.record_value(min(microseconds, MAX_LATENCY_MICROSECONDS))
        self._sum += max(0.0, seconds)

    def add_samples(
        self, family: SummaryMetricFamily, labels: Mapping[str, str]
    ) -> None:
        for quantile in QUANTILES:
            value_us = self._histogram.get_value_at_percentile(quantile * 100)
            sample = {**labels, "quantile": str(quantile)}
            family.add_sample(family.name, sample, value_us / MICROSECONDS_PER_SECOND)
        total = self._histogram.get_total_count()
        family.add_metric(list(labels.values()), total, self._sum)


class _LatencyCollector(Collector):
    """Collector that exports latency histograms as Prometheus summaries."""

    def __init__(self) -> None:
        self._lock = Lock()
        self._latencies: dict[str, dict[LabelValues, _Latency]] = {}

    def record(self, name: str, values: LabelValues, seconds: float) -> None:
        with self._lock:
            by_labels = self._latencies.setdefault(name, {})
            if values not in by_labels:
                by_labels[values] = _Latency()
            by_labels[values].record(seconds)

    def collect(self) -> Iterator[Metric]:
        with self._lock:
            families = [self._make_family(name) for name in sorted(self._latencies)]
        yield from families

    def _make_family(self, name: str) -> Metric:
        entry = METRICS[name]
        family = SummaryMetricFamily(
            f"{NAMESPACE}_{name}_seconds", entry.help, labels=entry.labels
        )
        for values, latency in self._latencies[name].items():
            latency.add_samples(family, dict(zip(entry.labels, values, strict=True)))
        return family


class Metrics:
    """Metrics of one daemon, in their own registry.

    All names are defined in ``gypsumwalk.drivers.metriccatalogue``. All methods are
    thread-safe.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._latencies = _LatencyCollector()
        self._label_sets = _LabelSets()
        self._lock = Lock()
        self._counters = self._create_metrics(MetricKind.COUNTER, Counter)
        self._gauges = self._create_metrics(MetricKind.GAUGE, Gauge)
        self._registry.register(self._latencies)
        ProcessCollector(registry=self._registry)

    def count(self, name: str, amount: float = 1, **labels: object) -> None:
        """Add to a counter.

        Parameters
        ----------
        name : str
            Name of the metric in the catalogue.
        amount : float
            Amount to add.
        **labels : object
            Value of each label of the metric.

        Raises
        ------
        UnknownMetric
            If the catalogue has no such counter with these labels.
        """
        values = self._resolve_labels(name, MetricKind.COUNTER, labels)
        metric = self._counters[name]
        (metric.labels(*values) if values else metric).inc(amount)

    def set_gauge(self, name: str, value: float, **labels: object) -> None:
        """Set a gauge.

        Parameters
        ----------
        name : str
            Name of the metric in the catalogue.
        value : float
            The value.
        **labels : object
            Value of each label of the metric.

        Raises
        ------
        UnknownMetric
            If the catalogue has no such gauge with these labels.
        """
        values = self._resolve_labels(name, MetricKind.GAUGE, labels)
        metric = self._gauges[name]
        (metric.labels(*values) if values else metric).set(value)

    def observe_latency(self, name: str, seconds: float, **labels: object) -> None:
        """Record a latency.

        Parameters
        ----------
        name : str
            Name of the metric in the catalogue.
        seconds : float
            The latency.
        **labels : object
            Value of each label of the metric.

        Raises
        ------
        UnknownMetric
            If the catalogue has no such latency with these labels.
        """
        values = self._resolve_labels(name, MetricKind.LATENCY, labels)
        self._latencies.record(name, values, seconds)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def _create_metrics(self, kind: MetricKind, metric: Any) -> dict[str, Any]:
        return {
            entry.name: metric(
                entry.name,
                entry.help,
                entry.labels,
                namespace=NAMESPACE,
                registry=self._registry,
            )
            for entry in METRICS.values()
            if entry.kind is kind
        }

    def _resolve_labels(
        self, name: str, kind: MetricKind, labels: Mapping[str, object]
    ) -> LabelValues:
        entry = METRICS.get(name)
        if entry is None or entry.kind is not kind:
            raise UnknownMetric(name, sorted(labels))
        with self._lock:
            return self._label_sets.resolve(entry, labels)
