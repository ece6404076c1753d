"""Compares the fleet's policies with plain baselines, on the same seeded input.

Usage: ``python -m bench.measure [--seconds N] [--seeds N]``; writes
``docs/measurements/fleet.json``, ``fleet.png`` and the table to the standard output.
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
LULL_FACTOR = 0.05
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
class User:
    """Sizes of one user."""

    name: str
    workers: int
    processors: float
    memory_gb: float
    slots: int


USERS = (User("hanbit", 8, 64.0, 128.0, 4), User("batedores", 6, 32.0, 64.0, 4))


@dataclass(frozen=True)
class Figures:
    """What one run gave."""

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


class Run:
    """One user's day in small, under one policy."""

    def __init__(self, user: User, policy: str, seed: int, seconds: float) -> None:
        self.user = user
        self.seconds = seconds
        self.random = Random(f"{user.name} {seed}")
        self.world = FleetWorld(
            self._make_folder(),
            seed=seed,
            names=("a",),
            make_policy=POLICIES[policy],
        )
        self.world.platform.usage_factor = user.processors / user.slots * 0.9
        self.world.settle()
        self.start = self.world.now
        self.end = self.start + seconds
        self.distances: list[float] = []
        self.jobs = 0

    def _make_folder(self):
        user = self.user
        folder = make_folder(pools=5, instances=user.workers, concurrency=2)
        for name, table in list(folder.instances.items()):
            folder.instances[name] = InstanceTable(
                pool=table.pool,
                data_centre=table.data_centre,
                rack=table.rack,
                processors=user.processors,
                memory_gb=user.memory_gb,
            )
        for name in folder.pools:
            folder.pools[name] = PoolTable(max_unavailable=2, min_instances=3)
        folder.pools["p4"] = PoolTable(max_unavailable=user.workers, spare=True)
        folder.teams.clear()
        for team, share in WEIGHTS.items():
            folder.teams[team] = TeamTable(share=share, limit=10_000)
        return folder

    def play(self) -> Figures:
        """Run the input to its end, and return the figures."""
        for queue in range(4):
            self._arrive(queue)
        self._sample()
        self.world.schedule(WAVE_AT_SECONDS, self._start_wave)
        self.world.run(self.seconds)
        self.idle = self.world.leader.rebalancing_controller.idle_instance_seconds
        self.spare = self.world.leader.rebalancing_controller.spare_instance_seconds
        self.world.run(600.0)
        return self._collect()

    def _start_wave(self) -> None:
        self.world.call(StartWaveCall("w"), credential="operator")

    def _arrive(self, queue: int) -> None:
        if self.world.now >= self.end:
            return
        slots = self.user.workers * self.user.slots
        mean = MEAN_LOAD * slots / RUN_SECONDS
        phase = (self.world.now - self.start - queue * PERIOD_SECONDS / 4) % (
            PERIOD_SECONDS
        )
        factor = SPIKE_FACTOR if phase < SPIKE_SECONDS else LULL_FACTOR
        gap = self.random.expovariate(mean * SPIKE_FACTOR)
        if self.random.random() < factor / SPIKE_FACTOR:
            self._submit(queue)
        self.world.schedule(gap, lambda: self._arrive(queue))

    def _submit(self, queue: int) -> None:
        self.jobs += 1
        length = self.random.expovariate(1.0 / RUN_SECONDS)
        call = SubmitJobCall(
            job_id=f"j{self.jobs}",
            queue=f"p{queue}",
            processors=self.user.processors / self.user.slots,
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
        held: dict[str, dict[str, int]] = {}
        for record in jobs.list_waiting():
            waiting.setdefault(record.spec.queue, set()).add(record.spec.team)
        for record in jobs.list_in_progress():
            teams = held.setdefault(record.spec.queue, {})
            teams[record.spec.team] = teams.get(record.spec.team, 0) + 1
        for queue, teams in waiting.items():
            self._note_distance(teams, held.get(queue, {}))

    def _note_distance(self, waiting: set[str], held: dict[str, int]) -> None:
        total = sum(held.values())
        if not total:
            return
        weights = sum(WEIGHTS[team] for team in waiting | set(held))
        lacking = [
            max(0.0, WEIGHTS[team] / weights - held.get(team, 0) / total)
            for team in waiting
        ]
        self.distances.append(max(lacking))

    def _collect(self) -> Figures:
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
            share_distance_mean=fmean(self.distances or [0.0]),
            share_distance_worst=max(self.distances or [0.0]),
            urgent_start_p99_seconds=self._find_start(urgent=True),
            routine_start_p99_seconds=self._find_start(urgent=False),
            work_lost_seconds=self._sum_lost(),
            unfinished_jobs=float(len(list(world.leader.jobs.list_waiting()))),
        )

    def _find_start(self, *, urgent: bool) -> float:
        first: dict[str, float] = {}
        for item in self.world.platform.executions:
            first.setdefault(item.key.job_id, item.started_at)
        waits = []
        for number in range(1, self.jobs + 1):
            record = self.world.leader.jobs.find(f"j{number}")
            if record and record.spec.urgent is urgent and f"j{number}" in first:
                waits.append(first[f"j{number}"] - record.submitted_at)
        waits.sort()
        return waits[int(0.99 * (len(waits) - 1))] if waits else float("nan")

    def _sum_lost(self) -> float:
        lost = 0.0
        for item in self.world.platform.executions:
            task = self.world.platform.tasks[item.key]
            if task.phase in (TaskPhase.SUCCEEDED, TaskPhase.RUNNING):
                continue
            saved = float(task.checkpoint.rpartition("@")[2] or 0.0)
            lost += max(0.0, item.ended_at - item.started_at - saved)
        return lost


def measure(seconds: float, seeds: int) -> list[dict[str, object]]:
    """Run every policy on every user's input, and return the means over seeds."""
    rows = []
    for user in USERS:
        for policy in POLICIES:
            runs = [Run(user, policy, seed, seconds).play() for seed in range(seeds)]
            means = {
                item.name: round(fmean(getattr(run, item.name) for run in runs), 3)
                for item in fields(Figures)
            }
            rows.append({"user": user.name, "policy": policy} | means)
            rows[-1]["runs"] = [asdict(run) for run in runs]
            print(f"measured {user.name} {policy}", file=sys.stderr)
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
    """Draw one bar chart for each figure."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = [item.name for item in fields(Figures)]
    figure, axes = pyplot.subplots(2, 6, figsize=(20, 7))
    for axis, name in zip(axes.flat, names, strict=False):
        for offset, policy in enumerate(POLICIES):
            values = [row[name] or 0.0 for row in rows if row["policy"] == policy]
            places = [number + 0.27 * offset for number in range(len(values))]
            axis.bar(places, values, width=0.25, label=policy)
        axis.set_xticks([0.27, 1.27], [user.name for user in USERS])
        axis.set_title(name.replace("_", " "), fontsize=8)
    axes.flat[0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def main() -> None:
    """Measure, print and write."""
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
