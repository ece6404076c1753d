"""Processor time of the leader's control loop, by the number of instances.

Usage: ``python -m bench.leader_cost [INSTANCES ...]``. Prints one line of JSON for each
size: mean milliseconds of a tick and of a scheduling pass, and calls of instances a
second. The phases are an idle fleet, one that is submitted work, the same while the
event loop is late, and one without room.
"""

import json
import sys
import time
from contextlib import contextmanager
from unittest import mock

from gypsumwalk.dispatch_context import LATE_LOOP_SECONDS
from gypsumwalk.dispatcher import Dispatcher
from gypsumwalk.inputs import LoopLateness
from gypsumwalk.task_scheduler import TaskScheduler
from tests._stepped_leader import CORES, NEED, SteppedLeader

SIZES = (300, 1000, 3000)
WARM_UP_SECONDS = 12.0
MEASURE_SECONDS = 8.0
JOBS_PER_SECOND = 50
TASKS_PER_JOB = 4
FULL_SHARE = 1.0


class Stopwatch:
    """Processor time of the calls of some methods."""

    def __init__(self) -> None:
        self.seconds: dict[str, float] = {}
        self.calls: dict[str, int] = {}

    @contextmanager
    def watch(self, owner, method):
        """Measure the calls of a method, by its name."""
        original = getattr(owner, method)

        def measured(*arguments, **options):
            begin = time.process_time()
            try:
                return original(*arguments, **options)
            finally:
                seconds = time.process_time() - begin
                self.seconds[method] = self.seconds.get(method, 0.0) + seconds
                self.calls[method] = self.calls.get(method, 0) + 1

        with mock.patch.object(owner, method, measured):
            yield

    def describe(self, method: str) -> float:
        """Return the mean milliseconds of a call."""
        calls = self.calls.get(method, 0)
        return round(1000 * self.seconds.get(method, 0.0) / max(1, calls), 4)


def measure_phase(leader: SteppedLeader, work) -> dict[str, float]:
    """Run for some seconds and return the costs of the control loop.

    ``work`` is called with the leader a hundred times a second.
    """
    watch = Stopwatch()
    calls = len(leader.calls)
    with (
        watch.watch(Dispatcher, "_tick"),
        watch.watch(TaskScheduler, "plan_runs"),
        watch.watch(Dispatcher, "advance"),
        watch.watch(Dispatcher, "handle"),
    ):
        for _ in range(int(MEASURE_SECONDS * 100)):
            work(leader)
            leader.run(0.01)
    total = watch.seconds["advance"] + watch.seconds["handle"]
    return {
        "tick_ms": watch.describe("_tick"),
        "pass_ms": watch.describe("plan_runs"),
        "passes_per_second": watch.calls.get("plan_runs", 0) / MEASURE_SECONDS,
        "calls_per_second": (len(leader.calls) - calls) / MEASURE_SECONDS,
        "control_ms_per_second": round(1000 * total / MEASURE_SECONDS, 1),
    }


def measure(instances: int) -> dict[str, dict[str, float]]:
    """Return the costs of an idle, a working, a late and a full fleet."""
    leader = SteppedLeader(instances)
    leader.run(WARM_UP_SECONDS)
    rows = {"idle": measure_phase(leader, lambda _: None)}
    jobs = iter(range(10**9))

    def submit(leader: SteppedLeader) -> None:
        number = next(jobs)
        if number % (100 // JOBS_PER_SECOND) == 0:
            leader.submit(f"job-{number}", TASKS_PER_JOB, service=number % 5)

    rows["working"] = measure_phase(leader, submit)
    leader.handle(LoopLateness(2 * LATE_LOOP_SECONDS))
    rows["late"] = measure_phase(leader, submit)
    leader.handle(LoopLateness(0.0))
    # Tasks that end after the measurement leave no room for those submitted in it.
    leader.task_seconds = 10 * MEASURE_SECONDS
    places = CORES // NEED.cpu * instances // len(leader.services)
    for service in range(len(leader.services)):
        leader.submit(f"full-{service}", int(places * FULL_SHARE), service=service)
    leader.run(2.0)
    rows["full"] = measure_phase(leader, submit)
    return rows


def main() -> None:
    """Measure every size and print the results."""
    for size in [int(text) for text in sys.argv[1:]] or SIZES:
        for phase, row in measure(size).items():
            print(json.dumps({"instances": size, "phase": phase} | row), flush=True)


if __name__ == "__main__":
    main()
