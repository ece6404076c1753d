"""Measure what idle daemons cost: memory, processor time and bytes a second."""

import json
import sys
import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path

from bench._processes import read_cpu_seconds, read_peer_bytes, read_resident_mb
from examples._stage import Stage, find_port, is_ready, place_daemon, wait_until

RESULT = Path(__file__).parent.parent / "docs" / "measurements" / "idle.json"
SETTLE_SECONDS = 5.0
MEASURE_SECONDS = 20.0
DATA_CENTRES = ("seoul", "busan", "daejeon", "incheon")
MOST_VOTERS = 5


@dataclass(frozen=True, slots=True)
class IdleCost:
    """What one idle daemon costs.

    Attributes
    ----------
    name : str
        Name of the daemon.
    resident_mb : float
        Resident memory in megabytes.
    core_percent : float
        Processor time, in percent of a core.
    sent_kb_per_second : float
        Bytes sent to other daemons, in kilobytes a second.
    """

    name: str
    resident_mb: float
    core_percent: float
    sent_kb_per_second: float


def measure_idle(count: int) -> list[IdleCost]:
    """Start daemons, leave them idle and measure each.

    Parameters
    ----------
    count : int
        Number of daemons; the first five of them vote.

    Returns
    -------
    list of IdleCost
        Cost of each.
    """
    places = [
        place_daemon(f"d{n}", DATA_CENTRES[n % len(DATA_CENTRES)]) for n in range(count)
    ]
    with tempfile.TemporaryDirectory() as folder:
        stage = Stage(Path(folder), places, find_port(), voters=MOST_VOTERS)
        try:
            for place in places:
                stage.start_daemon(place)
            wait_until(lambda: all(map(is_ready, places)), "readiness", 30.0)
            time.sleep(SETTLE_SECONDS)
            return _measure(stage)
        finally:
            stage.stop_all()


def _measure(stage: Stage) -> list[IdleCost]:
    pids = {place.name: stage.processes[place.name].pid for place in stage.daemons}
    cpu = {name: read_cpu_seconds(pid) for name, pid in pids.items()}
    sent = {place.name: read_peer_bytes(place.peer_address) for place in stage.daemons}
    started = time.monotonic()
    time.sleep(MEASURE_SECONDS)
    elapsed = time.monotonic() - started
    costs = []
    for place in stage.daemons:
        spent = read_cpu_seconds(pids[place.name]) - cpu[place.name]
        bytes_sent = read_peer_bytes(place.peer_address) - sent[place.name]
        costs.append(
            IdleCost(
                place.name,
                round(read_resident_mb(pids[place.name]), 1),
                round(spent / elapsed * 100, 2),
                round(bytes_sent / elapsed / 1e3, 2),
            )
        )
    return costs


def main() -> None:
    """Measure at several numbers of daemons, print a table and write JSON."""
    counts = [int(argument) for argument in sys.argv[1:]] or [1, 3, 5]
    results = {count: measure_idle(count) for count in counts}
    for count, costs in results.items():
        for cost in costs:
            print(
                f"{count} daemons  {cost.name}  {cost.resident_mb:6.1f} MB  "
                f"{cost.core_percent:5.2f} % of a core  "
                f"{cost.sent_kb_per_second:6.2f} KB/s sent"
            )
    content = {
        str(count): [asdict(cost) for cost in costs] for count, costs in results.items()
    }
    RESULT.write_text(json.dumps(content, indent=1) + "\n")


if __name__ == "__main__":
    main()
