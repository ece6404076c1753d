"""What every measurement of slopes shares."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any

from bench._fit import Slope, fit

REST_SECONDS = 20.0
PAUSE_SECONDS = 0.02
RUNS = 3
"""Runs at every size, of which the least counts: others use the machine too."""

MEASUREMENTS: list[Callable[[], list[Slope]]] = []


def measurement(function: Callable[[], list[Slope]]) -> Callable[[], list[Slope]]:
    """Register a measurement."""
    MEASUREMENTS.append(function)
    return function


def spend(action: Callable[[], Any], repeats: int = 3) -> float:
    """Return the fewest processor seconds of a few runs."""
    best = float("inf")
    for _ in range(repeats):
        begin = time.process_time()
        action()
        best = min(best, time.process_time() - begin)
    return best


def weigh(make: Callable[[], Any]) -> tuple[Any, float]:
    """Return what is made, and the kilobytes that it holds."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return made, held / 1024


def collect(
    sizes: Sequence[int], measure: Callable[[int], dict[str, float]]
) -> dict[str, list[float]]:
    """Return each value's least of a few runs, at every size."""
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
    return [
        fit(names[key][0], size, names[key][1], sizes, values)
        for key, values in columns.items()
    ]
