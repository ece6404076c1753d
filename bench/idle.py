"""Memory, processor time and network traffic of idle daemons."""

import json
import sys
import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path

from bench._processes import read_cpu_seconds, read_peer_bytes, read_resident_mb
from examples._local_cluster import (
    LocalCluster,
    allocate_daemon,
    find_free_port,
)

RESULT = Path(__file__).parent.parent / "docs" / "measurements" / "idle.json"
SETTLE_SECONDS = 5.0
MEASURE_SECONDS = 20.0
DATA_CENTRES = ("seoul", "busan", "daejeon", "incheon")
MAX_VOTERS = 5


@dataclass(frozen=True, slots=True)
class IdleCost:
    """Resource usage of one idle daemon.

    Attributes
    ----------
    name : str
        Name of the daemon.
    resident_mb : float
        Resident memory in megabytes.
    core_percent : float
        Processor time in percent of a core.
    sent_kb_per_second : float
        Bytes sent to other daemons, in kilobytes per second.
    """

    name: str
    resident_mb: float
    core_percent: float
    sent_kb_per_second: float


def measure_idle(count: int) -> list[IdleCost]:
    """Start daemons, leave them idle and measure the usage of each.

    Parameters
    ----------
    count : int
        Number of daemons; the first five are voters.

    Returns
    -------
    list of IdleCost
        Usage of each daemon.
    """
    daemons = [
        allocate_daemon(f"d{n}", DATA_CENTRES[n % len(DATA_CENTRES)])
        for n in range(count)
    ]
    with tempfile.TemporaryDirectory() as folder:
        cluster = LocalCluster(
            Path(folder), daemons, find_free_port(), voters=MAX_VOTERS
        )
        try:
            for daemon in daemons:
                cluster.start_daemon(daemon)
            cluster.await_daemons(30.0)
            time.sleep(SETTLE_SECONDS)
            return _measure(cluster)
        finally:
            cluster.stop_all()


def _measure(cluster: LocalCluster) -> list[IdleCost]:
    pids = {
        daemon.name: cluster.processes[daemon.name].pid for daemon in cluster.daemons
    }
    cpu = {name: read_cpu_seconds(pid) for name, pid in pids.items()}
    sent = {
        daemon.name: read_peer_bytes(daemon.peer_address) for daemon in cluster.daemons
    }
    started = time.monotonic()
    time.sleep(MEASURE_SECONDS)
    elapsed = time.monotonic() - started
    costs = []
    for daemon in cluster.daemons:
        cpu_used = read_cpu_seconds(pids[daemon.name]) - cpu[daemon.name]
        bytes_sent = read_peer_bytes(daemon.peer_address) - sent[daemon.name]
        costs.append(
            IdleCost(
                daemon.name,
                round(read_resident_mb(pids[daemon.name]), 1),
                round(cpu_used / elapsed * 100, 2),
                round(bytes_sent / elapsed / 1e3, 2),
            )
        )
    return costs


def main() -> None:
    """Measure clusters of several sizes, print a table and write JSON."""
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
