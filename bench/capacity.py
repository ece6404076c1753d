"""Generator of docs/CAPACITY.md from docs/measurements/slopes.json.

Each estimate is a fitted line evaluated at a size of the two-year capacity target.
"""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

DOCS = Path(__file__).parent.parent / "docs"
DAEMONS = 7
WORKERS = 6400
TEAMS = 540
POOLS = 68
DATA_CENTRES = 5
TARGETS = 8 * POOLS
RUNNING_JOBS = 6400
KEPT_JOBS = 20_000
FILES = 1800
CHANGES_PER_SECOND = 1800 / 86_400
ACTIVE_TEAMS = TEAMS
MEASURED_DAEMONS = 3

CPU_BUDGET = 10.0
"""Processor time of one daemon, in milliseconds per second."""
MEMORY_BUDGET = 64.0
"""Memory of one daemon, in megabytes."""
BYTES_BUDGET = 12_000.0
"""Bytes sent by one daemon per second."""
IN_FORCE_BUDGET = 14.0
"""Seconds until a change of the folder is in force on every daemon."""


@dataclass(frozen=True)
class Row:
    """One estimate: a measured line, the size to evaluate it at, and its mechanism."""

    component: str
    mechanism: str
    slope: str
    """Name of the measurement in slopes.json."""
    size: float
    share: float = 1.0
    """Fraction of the measured value for one daemon or for one second."""
    unit: str = ""


CPU_ROWS = (
    Row(
        "daemons at rest",
        "one heartbeat stream from the leader, one probe a second to one other daemon",
        "daemon at rest, decisions",
        DAEMONS,
    ),
    Row(
        "idle targets",
        "one owner for each target; claims of all targets in a few datagrams twice a "
        "second",
        "daemon of a data centre of three, idle targets, decisions",
        TARGETS / DATA_CENTRES,
    ),
    Row(
        "worker reports",
        "the platform reports to any daemon, which passes differences on to the leader",
        "three daemons, idle workers, decisions and stand-in platform",
        WORKERS,
        1 / MEASURED_DAEMONS,
    ),
    Row(
        "running jobs",
        "leases renewed in batches by the leader",
        "three daemons, running jobs, decisions and stand-in platform",
        RUNNING_JOBS,
        1 / MEASURED_DAEMONS,
    ),
    Row(
        "teams that send once in 5 s each",
        "units of a team's upper limit asked for and returned through the log",
        "daemon of three, each team sending once in 5 s, decisions",
        ACTIVE_TEAMS,
    ),
    Row(
        "changes of configuration",
        "only the changed file is parsed; the folder is merged anew",
        "folder changed by one small file, processor time",
        WORKERS,
        CHANGES_PER_SECOND,
    ),
    Row(
        "files of a day's changes",
        "the folder is merged anew from every file",
        "folder of many files changed by one, processor time",
        FILES,
        CHANGES_PER_SECOND,
    ),
)
LEADER_CPU_ROWS = (
    Row(
        "passes over the pools, one a second",
        "one record for each instance, counted by pool as it changes",
        "leader, one pass over the pools",
        WORKERS,
    ),
    Row(
        "passes of the scheduler, two a second",
        "waiting jobs only; instances by pool",
        "leader, one pass of the scheduler without jobs",
        WORKERS,
        2.0,
    ),
)
BYTES_ROWS = (
    Row(
        "daemons at rest",
        "heartbeats, probes and claims as MessagePack datagrams",
        "other daemon at rest, bytes sent",
        DAEMONS,
    ),
    Row(
        "idle targets",
        "claims of all targets in a few datagrams twice a second",
        "daemon of a data centre of three, idle targets, bytes sent",
        TARGETS / DATA_CENTRES,
    ),
    Row(
        "worker reports",
        "passed on to the leader as they come",
        "three daemons, worker reports passed on, bytes sent",
        WORKERS,
        1 / MEASURED_DAEMONS,
    ),
    Row(
        "running jobs",
        "usage of each task in the worker reports",
        "three daemons, running jobs, bytes sent",
        RUNNING_JOBS,
        1 / MEASURED_DAEMONS,
    ),
)
MEMORY_ROWS = (
    Row(
        "folder in force",
        "parsed tables kept for the next merge",
        "folder in force, memory",
        WORKERS,
        1 / 1024,
    ),
    Row(
        "records of instances",
        "one small record each, with its last reasons",
        "records of instances, memory",
        WORKERS,
        1 / 1024,
    ),
    Row(
        "records of jobs",
        f"at most {KEPT_JOBS} jobs, ended ones for a day",
        "records of jobs, memory",
        KEPT_JOBS,
        1 / 1024,
    ),
    Row(
        "keys",
        "salted hashes, two for each team",
        "two keys for each team, memory",
        TEAMS,
        1 / 1024,
    ),
    Row(
        "portions",
        "one number for each team and daemon that holds units",
        "portions of 27 daemons, memory",
        TEAMS,
        DAEMONS / 27 / 1024,
    ),
)
SNAPSHOT_ROWS = (
    Row("folder", "files as they are", "folder, text", WORKERS, 1 / 1024),
    Row(
        "instances",
        "MessagePack",
        "records of instances, snapshot",
        WORKERS,
        1 / 1024,
    ),
    Row("jobs", "MessagePack", "records of jobs, snapshot", KEPT_JOBS, 1 / 1024),
    Row("keys", "MessagePack", "two keys for each team, snapshot", TEAMS, 1 / 1024),
    Row(
        "portions",
        "MessagePack",
        "portions of 27 daemons, snapshot",
        TEAMS,
        DAEMONS / 27 / 1024,
    ),
)


class CapacityPage:
    """Capacity page computed from one slopes report.

    Parameters
    ----------
    report : dict
        Content of slopes.json.
    """

    def __init__(self, report: dict[str, Any]) -> None:
        self._report = report
        self._slopes = {item["name"]: item for item in report["slopes"]}

    def compute(self, row: Row) -> float:
        """Return the estimate of a row; a fitted value below zero counts as zero."""
        slope = self._slopes[row.slope]
        value = slope["intercept"] + slope["slope"] * row.size
        return max(0.0, value) * row.share

    def extrapolate(self, name: str, size: float) -> float:
        """Return the fitted value of one measurement at a size."""
        return self.compute(Row("", "", name, size))

    def total(self, rows: Sequence[Row]) -> float:
        """Return the sum of the estimates of rows."""
        return sum(self.compute(row) for row in rows)

    def render_table(self, rows: Sequence[Row], unit: str) -> str:
        """Return rows as a Markdown table."""
        lines = [
            f"| what | carried by | measurement | slope | size | {unit} |",
            "| --- | --- | --- | --- | --- | --- |",
        ]
        for row in rows:
            item = self._slopes[row.slope]
            share = "" if row.share == 1.0 else f", times {row.share:.3g}"
            figure = self.compute(row)
            slope = f"{item['slope']:.3g} {item['unit']} for each of {item['size']}"
            lines.append(
                f"| {row.component} | {row.mechanism} | {row.slope} (residual "
                f"{item['residual']:.0%}) | {slope}{share} | {row.size:g} | "
                f"{figure:.3g} |"
            )
        return "\n".join(lines) + "\n"

    def render_total(self, name: str, value: float, budget: float, unit: str) -> str:
        """Return one line that compares a total with its budget."""
        verdict = "fits" if value <= budget else "**does not fit**"
        return f"- {name}: {value:.3g} {unit} of {budget:g}: {verdict}."

    def render(self) -> str:
        """Return the whole page."""
        base = float(self._report["resident_mb"])
        cpu = self.total(CPU_ROWS)
        leader = cpu + self.total(LEADER_CPU_ROWS)
        sent = self.total(BYTES_ROWS)
        memory = base + self.total(MEMORY_ROWS)
        snapshot = self.total(SNAPSHOT_ROWS)
        entries = self.extrapolate("log entries, each team sending once in 5 s", TEAMS)
        in_force = self.extrapolate(
            "change in force everywhere, longest of ten", DAEMONS
        )
        apply_ms = self.extrapolate(
            "folder changed by one small file, processor time", WORKERS
        )
        at_27 = self.extrapolate("other daemon at rest, bytes sent", 27)
        leader_27 = self.extrapolate("leader at rest, bytes sent", 27)
        request = self._slopes["daemon of three, requests, decisions"]
        template = (DOCS / "measurements" / "capacity-template.md").read_text(
            encoding="utf-8"
        )
        return template.format(
            python=self._report["python"],
            cores=self._report["cores"],
            base=f"{base:.1f}",
            daemons=DAEMONS,
            workers=WORKERS,
            teams=TEAMS,
            pools=POOLS,
            targets=TARGETS,
            jobs=RUNNING_JOBS,
            kept=KEPT_JOBS,
            files=FILES,
            totals="\n".join(
                [
                    self.render_total(
                        "processor time of a daemon, decisions only",
                        cpu,
                        CPU_BUDGET,
                        "ms/s",
                    ),
                    self.render_total(
                        "processor time of the leader, decisions only",
                        leader,
                        CPU_BUDGET,
                        "ms/s",
                    ),
                    self.render_total(
                        "bytes sent by a daemon", sent, BYTES_BUDGET, "B/s"
                    ),
                    self.render_total(
                        "memory of a daemon, between snapshots",
                        memory,
                        MEMORY_BUDGET,
                        "MB",
                    ),
                    self.render_total(
                        "memory of a voter while it takes a snapshot (state, its "
                        "dump and the file)",
                        memory + 2 * snapshot,
                        MEMORY_BUDGET,
                        "MB",
                    ),
                    self.render_total(
                        "a change in force everywhere, without partitions",
                        in_force + 2 * apply_ms / 1000,
                        IN_FORCE_BUDGET,
                        "s",
                    ),
                ]
            ),
            cpu=self.render_table(CPU_ROWS, "ms/s"),
            leader=self.render_table(LEADER_CPU_ROWS, "ms/s"),
            bytes=self.render_table(BYTES_ROWS, "B/s"),
            memory=self.render_table(MEMORY_ROWS, "MB"),
            snapshot=self.render_table(SNAPSHOT_ROWS, "MB"),
            snapshot_total=f"{snapshot:.1f}",
            entries=f"{entries:.0f}",
            in_force=f"{in_force:.3f}",
            apply_ms=f"{apply_ms:.0f}",
            at_27=f"{at_27 / 1000:.1f}",
            leader_27=f"{leader_27 / 1000:.1f}",
            request=f"{request['slope'] * MEASURED_DAEMONS:.2f}",
            request_residual=f"{request['residual']:.0%}",
            portions_cpu=f"{self.compute(CPU_ROWS[4]):.0f}",
            reports_cpu=f"{self.compute(CPU_ROWS[2]):.0f}",
            reports_bytes=f"{self.compute(BYTES_ROWS[2]) / 1000:.0f}",
            jobs_cpu=f"{self.compute(CPU_ROWS[3]):.0f}",
            jobs_bytes=f"{self.compute(BYTES_ROWS[3]) / 1000:.0f}",
        )


def render_page() -> str:
    """Return the text of docs/CAPACITY.md for the current measurements."""
    text = (DOCS / "measurements" / "slopes.json").read_text(encoding="utf-8")
    return CapacityPage(json.loads(text)).render()


def main() -> None:
    """Write docs/CAPACITY.md."""
    (DOCS / "CAPACITY.md").write_text(render_page(), encoding="utf-8")


if __name__ == "__main__":
    main()
