"""Tests of the metrics, their bounds and their catalogue."""

import ast
import unittest
from pathlib import Path

from prometheus_client.parser import text_string_to_metric_families

import gypsumwalk
from gypsumwalk.drivers.metriccatalogue import METRICS
from gypsumwalk.drivers.metrics import MAX_LABEL_SETS, Metrics
from gypsumwalk.errors import UnknownMetric

SOURCES = Path(gypsumwalk.__file__).parent
METHODS = {"count", "set_gauge", "observe_latency"}


def read_samples(metrics):
    families = text_string_to_metric_families(metrics.render().decode())
    return {
        (sample.name, *sorted(sample.labels.items())): sample.value
        for family in families
        for sample in family.samples
    }


def find_unknown_uses(text):
    """Return the uses whose metric or labels are not in the catalogue."""
    wrong = []
    for node in ast.walk(ast.parse(text)):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        if node.func.attr not in METHODS or "metrics" not in ast.unparse(
            node.func.value
        ):
            continue
        name = ast.literal_eval(node.args[0])
        labels = {keyword.arg for keyword in node.keywords} - {"amount", None}
        has_dynamic_labels = any(keyword.arg is None for keyword in node.keywords)
        entry = METRICS.get(name)
        if entry is None or not (has_dynamic_labels or labels == set(entry.labels)):
            wrong.append((name, sorted(labels)))
    return wrong


class TestMetrics(unittest.TestCase):
    def test_counters_and_gauges_are_rendered(self):
        metrics = Metrics()
        metrics.count("dispatches", status="answered")
        metrics.count("dispatches", 2, status="answered")
        metrics.set_gauge("generation", 7)
        samples = read_samples(metrics)
        assert samples["gypsumwalk_dispatches_total", ("status", "answered")] == 3
        assert samples["gypsumwalk_generation",] == 7

    def test_latencies_are_rendered_as_quantiles(self):
        metrics = Metrics()
        for milliseconds in range(1, 101):
            metrics.observe_latency("http", milliseconds / 1000, audience="caller")
        samples = read_samples(metrics)
        name = "gypsumwalk_http_seconds"
        label = ("audience", "caller")
        median = samples[name, label, ("quantile", "0.5")]
        tail = samples[name, label, ("quantile", "0.999")]
        assert abs(median - 0.050) <= 0.001, median
        assert abs(tail - 0.100) <= 0.001, tail
        assert samples[f"{name}_count", label] == 100
        assert abs(samples[f"{name}_sum", label] - 5.05) < 1e-9

    def test_latency_beyond_the_range_is_still_counted(self):
        metrics = Metrics()
        metrics.observe_latency("dispatch", 1e9)
        metrics.observe_latency("dispatch", -1.0)
        assert read_samples(metrics)["gypsumwalk_dispatch_seconds_count",] == 2

    def test_label_sets_are_bounded(self):
        metrics = Metrics()
        for number in range(MAX_LABEL_SETS + 10):
            metrics.count("inputs", kind=f"kind-{number}")
        samples = read_samples(metrics)
        found = [key for key in samples if key[0] == "gypsumwalk_inputs_total"]
        assert len(found) == MAX_LABEL_SETS + 1
        assert samples["gypsumwalk_inputs_total", ("kind", "other")] == 10

    def test_wrong_name_kind_or_label_raises_a_typed_error(self):
        metrics = Metrics()
        for call in (
            lambda: metrics.count("nothing"),
            lambda: metrics.count("generation"),
            lambda: metrics.count("inputs", sort="x"),
            lambda: metrics.observe_latency("inputs", 1.0, kind="x"),
        ):
            with self.assertRaises(UnknownMetric):
                call()

    def test_code_uses_metrics_as_the_catalogue_defines_them(self):
        for path in SOURCES.rglob("*.py"):
            wrong = find_unknown_uses(path.read_text())
            assert not wrong, (path, wrong)

    def test_the_check_of_uses_finds_wrong_names_and_labels(self):
        for text, wrong in (
            ("self._metrics.count('nothing')", [("nothing", [])]),
            ("metrics.count('inputs', sort='x')", [("inputs", ["sort"])]),
            ("metrics.count('inputs')", [("inputs", [])]),
            ("metrics.count('inputs', kind='x')", []),
        ):
            assert find_unknown_uses(text) == wrong
