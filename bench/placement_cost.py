"""Processor time of placement and wave planning on one leader, by fleet size.

Usage: ``python -m bench.placement_cost [WORKERS ...]``. Writes
``docs/measurements/placement.json`` and prints the results of each size.
"""

import json
import sys
import time
import tracemalloc
from pathlib import Path
from random import Random

from bench._fit import fit
from gypsumwalk.effects import CallPlatform, Propose
from gypsumwalk.folder import (
    Folder,
    InstanceTable,
    PoolTable,
    QueueTable,
    ServiceTable,
    TeamTable,
    WaveTable,
)
from gypsumwalk.inputs import CallInput, PlatformOutcome
from gypsumwalk.job_records import EndJob, SubmitJob
from gypsumwalk.operator_calls import StartWaveCall
from gypsumwalk.platform import (
    ActionDone,
    RenewLeases,
    ReportWorkers,
    TaskPhase,
    TaskState,
    TaskStates,
    WorkerReport,
)
from gypsumwalk.rebalancing import RebalancingPolicy
from tests._fleet import FakeLog, FleetNode

SIZES = (10, 100, 1000, 6400)
POOLS = 68
TEAMS = 540
MEASURE_SECONDS = 60.0
JOBS_PER_WORKER = 1.0
RUN_SECONDS = 600.0
REPORT_SECONDS = 5.0
STEP_SECONDS = 0.25
WORKERS_PER_RACK = 40
WORKERS_PER_REPORT = 40
OUTPUT = Path("docs/measurements/placement.json")


def make_folder(workers: int) -> Folder:
    """Make a folder with 540 teams and 68 pools, or one pool per worker if fewer."""
    pools = [f"p{number}" for number in range(min(POOLS, workers))]
    return Folder(
        teams={f"t{number}": TeamTable(limit=1000) for number in range(TEAMS)},
        services={name: ServiceTable(pool=name) for name in pools},
        queues={name: QueueTable(service=name) for name in pools},
        pools={name: PoolTable(max_unavailable=2) for name in pools},
        instances={
            f"i{number}": InstanceTable(
                pool=pools[number % len(pools)],
                data_centre=f"dc{number % 5}",
                rack=f"r{number // WORKERS_PER_RACK}",
                processors=64.0,
                memory_gb=128.0,
                accelerators=1,
            )
            for number in range(workers)
        },
        waves={"w": WaveTable(pools=pools, concurrency=len(pools))},
    )


class TimedLeader:
    """A leader stepped by hand, with the processor time of each part."""

    def __init__(self, workers: int) -> None:
        self.log = FakeLog(make_folder(workers), RebalancingPolicy)
        self.log.leader = "a"
        self.node = FleetNode("a", self.log)
        self.random = Random(workers)
        self.workers = workers
        self.now = 1_700_000_000.0
        self.seconds: dict[str, float] = {}
        self.passes: dict[str, int] = {}
        self.jobs = 0
        self.running: list[tuple[float, str]] = []

    def step(self) -> None:
        """Advance the clock by one step, and every part that is due."""
        self.now += STEP_SECONDS
        for part in self.node._parts:
            if part.wakeup <= self.now:
                begin = time.process_time()
                effects = part.advance(self.now)
                self._record_cpu(part.name, begin)
                self.execute(effects)

    def execute(self, effects) -> None:
        """Carry out effects; answer platform calls and drop other outgoing effects."""
        begin = time.process_time()
        proposed = any(isinstance(effect, Propose) for effect in effects)
        outward = self.node._process_effects(effects, self.now)
        if proposed:
            self.node.replicator.wakeup = self.now
        self._record_cpu("settle", begin)
        for effect in outward:
            if isinstance(effect, CallPlatform):
                self._answer(effect)

    def _answer(self, effect: CallPlatform) -> None:
        report = ActionDone()
        if isinstance(effect.action, RenewLeases):
            running = TaskPhase.RUNNING
            states = [TaskState(key, running) for key in effect.action.tasks]
            report = TaskStates(states)
        outcome = PlatformOutcome(effect.token, succeeded=True, report=report)
        begin = time.process_time()
        effects = self.node.handle(outcome, self.now)
        self.node.replicator.wakeup = self.now
        self._record_cpu("outcomes", begin)
        assert not effects

    def report_workers(self) -> None:
        """Deliver a heartbeat of every worker, in batches."""
        names = list(self.log.folder.instances)
        for start in range(0, len(names), WORKERS_PER_REPORT):
            workers = [
                WorkerReport(name, 1)
                for name in names[start : start + WORKERS_PER_REPORT]
            ]
            begin = time.process_time()
            self.node.handle(CallInput(1, ReportWorkers(workers)), self.now)
            self._record_cpu("heartbeats", begin)

    def submit_jobs(self, count: int) -> None:
        """Append submissions of random jobs to the log."""
        pools = list(self.log.folder.pools)
        for _ in range(count):
            self.jobs += 1
            spec = SubmitJob(
                f"j{self.jobs}",
                f"t{self.random.randrange(TEAMS)}",
                self.random.choice(pools),
                processors=16.0,
                memory_gb=16.0,
                run_seconds=RUN_SECONDS,
            )
            self.log.entries.append((spec, self.now))

    def end_jobs(self, count: int) -> None:
        """Mark jobs in progress as succeeded."""
        for record in self.node.jobs.list_in_progress()[:count]:
            command = EndJob(record.spec.job_id, record.attempt, TaskPhase.SUCCEEDED)
            self.log.entries.append((command, self.now))

    def _record_cpu(self, name: str, begin: float) -> None:
        self.seconds[name] = self.seconds.get(name, 0.0) + time.process_time() - begin
        self.passes[name] = self.passes.get(name, 0) + 1


def measure(workers: int) -> dict[str, float]:
    """Return the CPU time of each part in ms per second, and the memory in MB."""
    tracemalloc.start()
    leader = TimedLeader(workers)
    for _ in range(60):
        leader.step()
        leader.report_workers()
    memory = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    leader.submit_jobs(int(workers * JOBS_PER_WORKER))
    for _ in range(400):
        leader.step()
        if leader.now % REPORT_SECONDS < STEP_SECONDS:
            leader.report_workers()
    call = CallInput(2, StartWaveCall("w"), "operator")
    leader.execute(leader.node.handle(call, leader.now))
    leader.seconds.clear()
    rate = workers * JOBS_PER_WORKER / RUN_SECONDS
    accrued = 0.0
    for _ in range(int(MEASURE_SECONDS / STEP_SECONDS)):
        accrued += rate * STEP_SECONDS
        leader.submit_jobs(int(accrued))
        leader.end_jobs(int(accrued))
        accrued -= int(accrued)
        leader.step()
        if leader.now % REPORT_SECONDS < STEP_SECONDS:
            leader.report_workers()
    figures = {
        f"{name}_ms_per_second": 1000.0 * seconds / MEASURE_SECONDS
        for name, seconds in sorted(leader.seconds.items())
    }
    total = sum(figures.values())
    return figures | {"total_ms_per_second": total, "memory_mb": memory}


def main() -> None:
    """Measure every size, fit a line to each metric, and write JSON."""
    sizes = [int(text) for text in sys.argv[1:]] or list(SIZES)
    rows = {size: measure(size) for size in sizes}
    for size, row in rows.items():
        print(size, {name: round(value, 3) for name, value in row.items()})
    names = sorted(set.intersection(*(set(row) for row in rows.values())))
    slopes = []
    if len(sizes) >= 4:
        for name in names:
            values = [rows[size][name] for size in sizes]
            slopes.append(fit(name, "workers", "ms/s or MB", sizes, values).to_json())
    command = "python -m bench.placement_cost"
    content = {"command": command, "rows": rows, "slopes": slopes}
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_text(json.dumps(content, indent=1) + "\n")


if __name__ == "__main__":
    main()
