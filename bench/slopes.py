"""Growth of cost with size, measured on simulated clusters with a virtual clock.

``python -m bench.slopes`` writes docs/measurements/slopes.json and slopes.md, from
which ``python -m bench.capacity`` generates docs/CAPACITY.md.
"""

import json
import os
import platform
import resource
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from bench import _slopes_of_state, _slopes_of_work  # noqa: F401 - registers
from bench._fit import Slope
from bench._measuring import MEASUREMENTS, RUNS

FOLDER = Path(__file__).parent.parent / "docs" / "measurements"
COMMAND = "make slopes"
IMPORT_ALL = """\
import importlib, pkgutil
import gypsumwalk.assembly, gypsumwalk.drivers
for module in pkgutil.iter_modules(gypsumwalk.drivers.__path__):
    importlib.import_module(f"gypsumwalk.drivers.{module.name}")
for line in open("/proc/self/status"):
    if line.startswith("VmRSS"):
        print(int(line.split()[1]) / 1024)
"""


def measure_resident() -> float:
    """Return the resident memory of a process with the daemon imported, in MB."""
    done = subprocess.run(
        [sys.executable, "-c", IMPORT_ALL], check=True, capture_output=True, text=True
    )
    return float(done.stdout)


def main() -> None:
    """Run all measurements, and write JSON and a table."""
    slopes: list[Slope] = []
    for function in MEASUREMENTS:
        begin = time.monotonic()
        slopes += function()
        print(f"{function.__name__}: {time.monotonic() - begin:.1f} s", flush=True)
    report = {
        "command": COMMAND,
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "resident_mb": measure_resident(),
        "peak_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        "slopes": [slope.to_json() for slope in slopes],
    }
    FOLDER.mkdir(exist_ok=True)
    text = json.dumps(report, indent=1) + "\n"
    (FOLDER / "slopes.json").write_text(text, encoding="utf-8")
    (FOLDER / "slopes.md").write_text(render_table(report), encoding="utf-8")


def render_table(report: dict[str, Any]) -> str:
    """Return the measurements as a Markdown page."""
    lines = [
        "# Slopes",
        "",
        f"Measured by `{report['command']}` with Python {report['python']} on a "
        f"machine of {report['cores']} cores; the least of {RUNS} runs. Decisions are "
        "measured on a paused clock, with the encoding of their messages and without "
        "sockets, files and threads. The line is fitted by least squares; the residual "
        "is the largest distance from it, as a part of the largest value.",
        "",
        f"A process that imported the daemon holds {report['resident_mb']:.1f} MB.",
        "",
        "| what | sizes | values | slope | at size 0 | residual |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for item in report["slopes"]:
        sizes = ", ".join(f"{size:g}" for size in item["sizes"])
        values = ", ".join(f"{value:.4g}" for value in item["values"])
        lines.append(
            f"| {item['name']} | {item['size']}: {sizes} | {values} {item['unit']} | "
            f"{item['slope']:.4g} | {item['intercept']:.4g} | {item['residual']:.0%} |"
        )
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    main()
