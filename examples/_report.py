"""Checked guarantees and measurements of the demo, and their report."""

import json
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from rich.console import Console
from rich.table import Table

from examples._callers import SentRequest


@dataclass(frozen=True, slots=True)
class Finding:
    """Whether one promise held in the demo, and what was observed."""

    promise: str
    is_held: bool
    observed: str


@dataclass(slots=True)
class Report:
    """All findings and measurements."""

    findings: list[Finding] = field(default_factory=list)
    figures: list[tuple[str, str]] = field(default_factory=list)

    @property
    def broken(self) -> list[Finding]:
        """Findings of the promises that did not hold."""
        return [finding for finding in self.findings if not finding.is_held]

    def check(self, promise: str, is_held: bool, observed: str) -> None:
        """Record whether a promise held."""
        self.findings.append(Finding(promise, is_held, observed))

    def measure(self, name: str, figure: str) -> None:
        """Record a measurement."""
        self.figures.append((name, figure))

    def print(self, console: Console) -> None:
        """Print the report."""
        promises = Table(title="Promises", title_justify="left")
        promises.add_column("promise")
        promises.add_column("held")
        promises.add_column("what was seen")
        for finding in self.findings:
            mark = "[green]yes[/]" if finding.is_held else "[bold red]NO[/]"
            promises.add_row(finding.promise, mark, finding.observed)
        figures = Table(title="Figures", title_justify="left")
        figures.add_column("what")
        figures.add_column("measured", justify="right")
        for name, figure in self.figures:
            figures.add_row(name, figure)
        console.print(promises, figures)


def count_executions(files: Sequence[Path]) -> Counter[str]:
    """Count the executions of each request by targets.

    Parameters
    ----------
    files : Sequence of Path
        Execution logs of the targets, in JSON lines.

    Returns
    -------
    Counter
        Executions by request identifier.
    """
    counts: Counter[str] = Counter()
    for path in files:
        for line in path.read_text().splitlines():
            counts[json.loads(line)["request_id"]] += 1
    return counts


def check_executions(
    report: Report, sent: Sequence[SentRequest], executions: Counter[str]
) -> None:
    """Compare the responses to callers with the executions at targets.

    Parameters
    ----------
    report : Report
        Report to add the findings to.
    sent : Sequence of SentRequest
        Requests of the callers, with their responses.
    executions : Counter
        Executions by request identifier.
    """
    known = {item.ticket: item for item in sent if item.ticket}
    unknown = [ticket for ticket in executions if ticket not in known]
    repeated = [ticket for ticket in known if executions[ticket] > 1]
    report.check(
        "no request ran twice",
        not repeated and not unknown,
        f"{sum(executions.values())} executions of {len(known)} requests",
    )
    refused = [item for item in known.values() if item.outcome == "not run"]
    false_refusals = [item for item in refused if executions[item.ticket]]
    report.check(
        'a refusal that says "not run" is true',
        not false_refusals,
        f"{len(refused)} refusals, {len(false_refusals)} untrue",
    )


def find_max_running(files: Sequence[Path]) -> int:
    """Return the maximum number of requests that one target ran concurrently."""
    entries = [
        json.loads(line) for path in files for line in path.read_text().splitlines()
    ]
    return max((entry["running"] for entry in entries), default=0)
