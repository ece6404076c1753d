"""Findings of the demo, and their report."""

import json
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from rich.console import Console
from rich.table import Table

from examples._callers import Sent


@dataclass(frozen=True, slots=True)
class Finding:
    """Whether one promise held in the demo, and what was seen."""

    promise: str
    held: bool
    seen: str


@dataclass(slots=True)
class Report:
    """All findings, and figures."""

    findings: list[Finding] = field(default_factory=list)
    figures: list[tuple[str, str]] = field(default_factory=list)

    @property
    def broken(self) -> list[Finding]:
        """Findings of promises that did not hold."""
        return [finding for finding in self.findings if not finding.held]

    def check(self, promise: str, held: bool, seen: str) -> None:
        """Note whether a promise held."""
        self.findings.append(Finding(promise, held, seen))

    def measure(self, what: str, figure: str) -> None:
        """Note a figure."""
        self.figures.append((what, figure))

    def print(self, console: Console) -> None:
        """Print the report."""
        promises = Table(title="Promises", title_justify="left")
        promises.add_column("promise")
        promises.add_column("held")
        promises.add_column("what was seen")
        for finding in self.findings:
            mark = "[green]yes[/]" if finding.held else "[bold red]NO[/]"
            promises.add_row(finding.promise, mark, finding.seen)
        figures = Table(title="Figures", title_justify="left")
        figures.add_column("what")
        figures.add_column("measured", justify="right")
        for what, figure in self.figures:
            figures.add_row(what, figure)
        console.print(promises, figures)


def count_executions(files: Sequence[Path]) -> Counter[str]:
    """Count how often targets ran each request.

    Parameters
    ----------
    files : Sequence of Path
        Files of JSON lines that the targets wrote.

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
    report: Report, sent: Sequence[Sent], executions: Counter[str]
) -> None:
    """Compare what callers were told with what targets ran.

    Parameters
    ----------
    report : Report
        Report to add the findings to.
    sent : Sequence of Sent
        What callers sent, and what came back.
    executions : Counter
        Executions by request identifier.
    """
    known = {item.ticket: item for item in sent if item.ticket}
    strange = [ticket for ticket in executions if ticket not in known]
    twice = [ticket for ticket in known if executions[ticket] > 1]
    report.check(
        "no request ran twice",
        not twice and not strange,
        f"{sum(executions.values())} executions of {len(known)} requests",
    )
    unrun = [item for item in known.values() if item.outcome == "not run"]
    untrue = [item for item in unrun if executions[item.ticket]]
    report.check(
        'a refusal that says "not run" is true',
        not untrue,
        f"{len(unrun)} refusals, {len(untrue)} untrue",
    )


def find_most_running(files: Sequence[Path]) -> int:
    """Return the most requests that one target ran at the same time."""
    entries = [
        json.loads(line) for path in files for line in path.read_text().splitlines()
    ]
    return max((entry["running"] for entry in entries), default=0)
