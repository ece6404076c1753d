"""Helpers shared by the measurements of cost by size."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any

from bench._fit import Slope, fit

REST_SECONDS = 20.0
PAUSE_SECONDS = 0.02
RUNS = 3
"""Runs at every size; the minimum counts, as other processes share the machine."""

MEASUREMENTS: list[Callable[[], list[Slope]]] = []


def measurement(function: Callable[[], list[Slope]]) -> Callable[[], list[Slope]]:
    """Register a measurement with ``MEASUREMENTS``."""
    MEASUREMENTS.append(function)
    return function


def measure_cpu(action: Callable[[], Any], repeats: int = 3) -> float:
    """Return the minimum processor time of several runs, in seconds."""
    best = float("inf")
    for _ in range(repeats):
        begin = time.process_time()
        action()
        best = min(best, time.process_time() - begin)
    return best


def measure_memory(make: Callable[[], Any]) -> tuple[Any, float]:
    """Return the object made, and the memory that it holds in kilobytes."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return made, held / 1024


def collect_minima(
    sizes: Sequence[int], measure: Callable[[int], dict[str, float]]
) -> dict[str, list[float]]:
    """Return the minimum of each value over ``RUNS`` runs, at every size."""
    columns: dict[str, list[float]] = {}
    for size in sizes:
        runs = [measure(size) for _ in range(RUNS)]
        for name in runs[0]:
            columns.setdefault(name, []).append(min(run[name] for run in runs))
    return columns


def fit_all(
    columns: dict[str, list[float]],
    sizes: Sequence[int],
    size: str,
    names: dict[str, tuple[str, str]],
) -> list[Slope]:
    """Fit a line to each column; ``names`` maps its key to a name and a unit."""
    return [
        fit(names[key][0], size, names[key][1], sizes, values)
        for key, values in columns.items()
    ]
