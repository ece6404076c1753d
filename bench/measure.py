"""Comparison of the rebalancing policy with baselines on the same seeded workload.

Usage: ``python -m bench.measure [--seconds N] [--seeds N]``. Writes
``docs/measurements/fleet.json`` and ``fleet.png``, and prints a table.
"""

import argparse
import json
import sys
from dataclasses import asdict, dataclass, fields
from pathlib import Path
from random import Random
from statistics import fmean

from bench._baselines import GreedyPolicy, StaticPolicy
from gypsumwalk.effects import Record
from gypsumwalk.events import Event
from gypsumwalk.folder import InstanceTable, PoolTable, TeamTable
from gypsumwalk.job_calls import SubmitJobCall
from gypsumwalk.operator_calls import DescribeWave, StartWaveCall
from gypsumwalk.platform import TaskPhase
from gypsumwalk.rebalancing import RebalancingPolicy
from tests._fleet import FleetWorld, make_folder

OUTPUT = Path("docs/measurements")
POLICIES = {"policy": RebalancingPolicy, "static": StaticPolicy, "greedy": GreedyPolicy}
SPIKE_FACTOR = 5.0
QUIET_FACTOR = 0.05
PERIOD_SECONDS = 100.0
SPIKE_SECONDS = 19.0
MEAN_LOAD = 0.3
RUN_SECONDS = 6.0
URGENT_FRACTION = 0.05
REPEATABLE_FRACTION = 0.7
WAVE_AT_SECONDS = 60.0
SAMPLE_SECONDS = 2.0
WEIGHTS = {"t1": 1.0, "t2": 1.0, "t3": 1.0, "t4": 1.0, "t5": 2.0, "t6": 4.0}


@dataclass(frozen=True)
class Deployment:
    """Size of one deployment's pools and workers."""

    name: str
    workers: int
    processors: float
    memory_gb: float
    slots: int


DEPLOYMENTS = (
    Deployment("hanbit", 8, 64.0, 128.0, 4),
    Deployment("batedores", 6, 32.0, 64.0, 4),
)


@dataclass(frozen=True)
class Figures:
    """Results of one run."""

    buffer_instance_hours: float
    spare_instance_hours: float
    rollout_seconds: float
    rollout_over_bound: float
    rollout_skipped: float
    moves: float
    share_distance_mean: float
    share_distance_worst: float
    urgent_start_p99_seconds: float
    routine_start_p99_seconds: float
    work_lost_seconds: float
    unfinished_jobs: float


class PolicyRun:
    """Simulation of one deployment's workload under one policy."""

    def __init__(
        self, deployment: Deployment, policy: str, seed: int, seconds: float
    ) -> None:
        self.deployment = deployment
        self.seconds = seconds
        self.random = Random(f"{deployment.name} {seed}")
        self.world = FleetWorld(
            self._make_folder(),
            seed=seed,
            names=("a",),
            make_policy=POLICIES[policy],
        )
        self.world.platform.usage_factor = (
            deployment.processors / deployment.slots * 0.9
        )
        self.world.settle()
        self.start = self.world.now
        self.end = self.start + seconds
        self.share_shortfalls: list[float] = []
        self.jobs = 0

    def _make_folder(self):
        deployment = self.deployment
        folder = make_folder(pools=5, instances=deployment.workers, concurrency=2)
        for name, table in list(folder.instances.items()):
            folder.instances[name] = InstanceTable(
                pool=table.pool,
                data_centre=table.data_centre,
                rack=table.rack,
                processors=deployment.processors,
                memory_gb=deployment.memory_gb,
            )
        for name in folder.pools:
            folder.pools[name] = PoolTable(max_unavailable=2, min_instances=3)
        folder.pools["p4"] = PoolTable(max_unavailable=deployment.workers, spare=True)
        folder.teams.clear()
        for team, share in WEIGHTS.items():
            folder.teams[team] = TeamTable(share=share, limit=10_000)
        return folder

    def execute(self) -> Figures:
        """Run the workload to completion, and return the results."""
        for queue in range(4):
            self._schedule_arrivals(queue)
        self._sample()
        self.world.schedule(WAVE_AT_SECONDS, self._start_wave)
        self.world.run(self.seconds)
        self.idle = self.world.leader.rebalancing_controller.idle_instance_seconds
        self.spare = self.world.leader.rebalancing_controller.spare_instance_seconds
        self.world.run(600.0)
        return self._compute_figures()

    def _start_wave(self) -> None:
        self.world.call(StartWaveCall("w"), credential="operator")

    def _schedule_arrivals(self, queue: int) -> None:
        if self.world.now >= self.end:
            return
        slots = self.deployment.workers * self.deployment.slots
        mean = MEAN_LOAD * slots / RUN_SECONDS
        phase = (self.world.now - self.start - queue * PERIOD_SECONDS / 4) % (
            PERIOD_SECONDS
        )
        factor = SPIKE_FACTOR if phase < SPIKE_SECONDS else QUIET_FACTOR
        interval = self.random.expovariate(mean * SPIKE_FACTOR)
        if self.random.random() < factor / SPIKE_FACTOR:
            self._submit(queue)
        self.world.schedule(interval, lambda: self._schedule_arrivals(queue))

    def _submit(self, queue: int) -> None:
        self.jobs += 1
        length = self.random.expovariate(1.0 / RUN_SECONDS)
        call = SubmitJobCall(
            job_id=f"j{self.jobs}",
            queue=f"p{queue}",
            processors=self.deployment.processors / self.deployment.slots,
            memory_gb=1.0,
            run_seconds=length * self.random.uniform(0.3, 3.0),
            repeatable=self.random.random() < REPEATABLE_FRACTION,
            urgent=self.random.random() < URGENT_FRACTION,
            command=f"run {length:.3f}",
        )
        team = self.random.choices(list(WEIGHTS), [1, 1, 1, 1, 3, 5])[0]
        self.world.call(call, credential=team)

    def _sample(self) -> None:
        if self.world.now < self.end:
            self.world.schedule(SAMPLE_SECONDS, self._sample)
        jobs = self.world.leader.jobs
        waiting: dict[str, set[str]] = {}
        running: dict[str, dict[str, int]] = {}
        for record in jobs.list_waiting():
            waiting.setdefault(record.spec.queue, set()).add(record.spec.team)
        for record in jobs.list_in_progress():
            teams = running.setdefault(record.spec.queue, {})
            teams[record.spec.team] = teams.get(record.spec.team, 0) + 1
        for queue, teams in waiting.items():
            self._record_shortfall(teams, running.get(queue, {}))

    def _record_shortfall(self, waiting: set[str], running: dict[str, int]) -> None:
        total = sum(running.values())
        if not total:
            return
        weights = sum(WEIGHTS[team] for team in waiting | set(running))
        shortfalls = [
            max(0.0, WEIGHTS[team] / weights - running.get(team, 0) / total)
            for team in waiting
        ]
        self.share_shortfalls.append(max(shortfalls))

    def _compute_figures(self) -> Figures:
        world = self.world
        status = world.ask(DescribeWave("w"), credential="operator").body
        moves = {
            (entry.at, entry.effect.subject)
            for entry in world.trace
            if isinstance(entry.effect, Record)
            and entry.effect.event is Event.INSTANCE_MOVED
        }
        elapsed = status.elapsed_seconds if status.state == "finished" else float("nan")
        return Figures(
            buffer_instance_hours=self.idle / 3600.0,
            spare_instance_hours=self.spare / 3600.0,
            rollout_seconds=elapsed,
            rollout_over_bound=elapsed / (status.lower_bound_seconds or float("nan")),
            rollout_skipped=float(status.skipped),
            moves=float(len(moves)),
            share_distance_mean=fmean(self.share_shortfalls or [0.0]),
            share_distance_worst=max(self.share_shortfalls or [0.0]),
            urgent_start_p99_seconds=self._compute_start_p99(urgent=True),
            routine_start_p99_seconds=self._compute_start_p99(urgent=False),
            work_lost_seconds=self._sum_lost_work(),
            unfinished_jobs=float(len(list(world.leader.jobs.list_waiting()))),
        )

    def _compute_start_p99(self, *, urgent: bool) -> float:
        first_starts: dict[str, float] = {}
        for item in self.world.platform.executions:
            first_starts.setdefault(item.key.job_id, item.started_at)
        waits = []
        for number in range(1, self.jobs + 1):
            record = self.world.leader.jobs.find(f"j{number}")
            if record and record.spec.urgent is urgent and f"j{number}" in first_starts:
                waits.append(first_starts[f"j{number}"] - record.submitted_at)
        waits.sort()
        return waits[int(0.99 * (len(waits) - 1))] if waits else float("nan")

    def _sum_lost_work(self) -> float:
        lost = 0.0
        for item in self.world.platform.executions:
            task = self.world.platform.tasks[item.key]
            if task.phase in (TaskPhase.SUCCEEDED, TaskPhase.RUNNING):
                continue
            saved = float(task.checkpoint.rpartition("@")[2] or 0.0)
            lost += max(0.0, item.ended_at - item.started_at - saved)
        return lost


def measure(seconds: float, seeds: int) -> list[dict[str, object]]:
    """Run every policy on every deployment, and return the means over seeds."""
    rows = []
    for deployment in DEPLOYMENTS:
        for policy in POLICIES:
            runs = [
                PolicyRun(deployment, policy, seed, seconds).execute()
                for seed in range(seeds)
            ]
            means = {
                item.name: round(fmean(getattr(run, item.name) for run in runs), 3)
                for item in fields(Figures)
            }
            rows.append({"user": deployment.name, "policy": policy} | means)
            rows[-1]["runs"] = [asdict(run) for run in runs]
            print(f"measured {deployment.name} {policy}", file=sys.stderr)
    return rows


def format_table(rows: list[dict[str, object]]) -> str:
    """Return the rows as a Markdown table."""
    names = ["user", "policy", *(item.name for item in fields(Figures))]
    lines = ["| " + " | ".join(names) + " |", "|" + " --- |" * len(names)]
    lines += [
        "| " + " | ".join(str(row[name]) for name in names) + " |" for row in rows
    ]
    return "\n".join(lines)


def plot(rows: list[dict[str, object]], path: Path) -> None:
    """Draw one bar chart for each metric."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = [item.name for item in fields(Figures)]
    figure, axes = pyplot.subplots(2, 6, figsize=(20, 7))
    for axis, name in zip(axes.flat, names, strict=False):
        for offset, policy in enumerate(POLICIES):
            values = [row[name] or 0.0 for row in rows if row["policy"] == policy]
            positions = [number + 0.27 * offset for number in range(len(values))]
            axis.bar(positions, values, width=0.25, label=policy)
        axis.set_xticks([0.27, 1.27], [deployment.name for deployment in DEPLOYMENTS])
        axis.set_title(name.replace("_", " "), fontsize=8)
    axes.flat[0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def main() -> None:
    """Run the comparison, print the table and write JSON and plot."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--seeds", type=int, default=2)
    options = parser.parse_args()
    rows = measure(options.seconds, options.seeds)
    OUTPUT.mkdir(parents=True, exist_ok=True)
    command = f"python -m bench.measure --seconds {options.seconds:g} "
    command += f"--seeds {options.seeds}"
    for row in rows:
        row.update((name, None) for name in row if row[name] != row[name])
        row["runs"] = [
            {name: None if value != value else value for name, value in run.items()}
            for run in row["runs"]
        ]
    content = {"command": command, "rows": rows}
    (OUTPUT / "fleet.json").write_text(json.dumps(content, indent=1) + "\n")
    print(format_table(rows))
    plot(rows, OUTPUT / "fleet.png")


if __name__ == "__main__":
    main()
