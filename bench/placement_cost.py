"""Cost of placement and wave planning as the fleet grows, on one leader.

Usage: ``python -m bench.placement_cost [WORKERS ...]``; writes
``docs/measurements/placement.json`` and prints the figures with their slopes.
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
SECONDS = 60.0
JOBS_PER_WORKER = 1.0
RUN_SECONDS = 600.0
REPORT_SECONDS = 5.0
OUTPUT = Path("docs/measurements/placement.json")


def make_folder(workers: int) -> Folder:
    """Make a folder with 68 pools and 540 teams, or one pool per worker if fewer."""
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
                rack=f"r{number // 40}",
                processors=64.0,
                memory_gb=128.0,
                accelerators=1,
            )
            for number in range(workers)
        },
        waves={"w": WaveTable(pools=pools, concurrency=len(pools))},
    )


class Leader:
    """One leader, driven by hand, with the time that each part takes."""

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
        """Let a part of a second pass; each part is timed by itself."""
        self.now += 0.25
        for part in self.node._parts:
            if part.wakeup <= self.now:
                begin = time.process_time()
                effects = part.advance(self.now)
                self._charge(part.name, begin)
                self.settle(effects)

    def settle(self, effects) -> None:
        """Hand effects to the node, and drop what goes outside."""
        begin = time.process_time()
        proposed = any(isinstance(effect, Propose) for effect in effects)
        outward = self.node._process_effects(effects, self.now)
        if proposed:
            self.node.replicator.wakeup = self.now
        self._charge("settle", begin)
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
        self._charge("outcomes", begin)
        assert not effects

    def report(self) -> None:
        """Let every worker report, 40 in one call."""
        names = list(self.log.folder.instances)
        for start in range(0, len(names), 40):
            workers = [WorkerReport(name, 1) for name in names[start : start + 40]]
            begin = time.process_time()
            self.node.handle(CallInput(1, ReportWorkers(workers)), self.now)
            self._charge("heartbeats", begin)

    def submit(self, count: int) -> None:
        """Append jobs to the log."""
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

    def end(self, count: int) -> None:
        """End some jobs."""
        for record in self.node.jobs.list_in_progress()[:count]:
            command = EndJob(record.spec.job_id, record.attempt, TaskPhase.SUCCEEDED)
            self.log.entries.append((command, self.now))

    def _charge(self, name: str, begin: float) -> None:
        self.seconds[name] = self.seconds.get(name, 0.0) + time.process_time() - begin
        self.passes[name] = self.passes.get(name, 0) + 1


def measure(workers: int) -> dict[str, float]:
    """Return CPU per second of each part, in milliseconds, and memory in megabytes."""
    tracemalloc.start()
    leader = Leader(workers)
    for _ in range(60):
        leader.step()
        leader.report()
    memory = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    leader.submit(int(workers * JOBS_PER_WORKER))
    for _ in range(400):
        leader.step()
        if leader.now % REPORT_SECONDS < 0.25:
            leader.report()
    call = CallInput(2, StartWaveCall("w"), "operator")
    leader.settle(leader.node.handle(call, leader.now))
    leader.seconds.clear()
    rate = workers * JOBS_PER_WORKER / RUN_SECONDS
    owed = 0.0
    for _ in range(int(SECONDS / 0.25)):
        owed += rate * 0.25
        leader.submit(int(owed))
        leader.end(int(owed))
        owed -= int(owed)
        leader.step()
        if leader.now % REPORT_SECONDS < 0.25:
            leader.report()
    figures = {
        f"{name}_ms_per_second": 1000.0 * seconds / SECONDS
        for name, seconds in sorted(leader.seconds.items())
    }
    total = sum(figures.values())
    return figures | {"total_ms_per_second": total, "memory_mb": memory}


def main() -> None:
    """Measure every size, fit lines and write them."""
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
