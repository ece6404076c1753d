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


def find_unknown_names(text):
    return [
        node.args[0].value
        for node in ast.walk(ast.parse(text))
        if isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and node.func.attr in METHODS
        and "metrics" in ast.unparse(node.func.value)
        and node.args
        and isinstance(node.args[0], ast.Constant)
        and node.args[0].value not in METRICS
    ]


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
        worst = samples[name, label, ("quantile", "0.999")]
        assert abs(median - 0.050) <= 0.001, median
        assert abs(worst - 0.100) <= 0.001, worst
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

    def test_wrong_name_kind_or_label_is_refused_by_type(self):
        metrics = Metrics()
        for call in (
            lambda: metrics.count("nothing"),
            lambda: metrics.count("generation"),
            lambda: metrics.count("inputs", sort="x"),
            lambda: metrics.observe_latency("inputs", 1.0, kind="x"),
        ):
            with self.assertRaises(UnknownMetric):
                call()

    def test_code_uses_only_names_of_the_catalogue(self):
        for path in SOURCES.rglob("*.py"):
            assert not find_unknown_names(path.read_text()), path

    def test_the_check_of_names_finds_an_unknown_one(self):
        assert find_unknown_names("self._metrics.count('nothing')") == ["nothing"]
