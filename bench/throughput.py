"""Throughput of one daemon process, and its processor time per request.

``python -m bench.throughput`` starts one daemon and its targets on loopback, runs a
closed loop with a fixed number of callers, and writes JSON.
"""

import json
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

import fire
import urllib3
from hdrh.histogram import HdrHistogram

from bench._processes import read_cpu_seconds, read_resident_mb
from examples._local_cluster import (
    OPERATOR_KEY,
    DaemonEndpoint,
    LocalCluster,
    allocate_daemon,
    apply_folder,
    find_free_port,
    wait_until,
)
from gypsumwalk.drivers.client import OperatorClient

__all__ = ["main"]

FOLDER = {
    "10-teams.toml": "[teams.load]\nlimit = 1000\n",
    "20-pools.toml": "[pools.load]\nmax_unavailable = 1\n",
    "30-services.toml": '[services.load]\npool = "load"\n',
    "40-queues.toml": '[queues.load]\nservice = "load"\nopen = true\n',
}
HIGHEST_MICROSECONDS = 60_000_000
PAYLOAD = b'{"work_seconds": 0.0}'


def main(
    out: str = "docs/measurements",
    callers: int = 32,
    targets: int = 6,
    seconds: float = 10.0,
) -> None:
    """Measure one daemon and write JSON.

    Parameters
    ----------
    out : str
        Output folder.
    callers : int
        Concurrent callers, each with one request in flight.
    targets : int
        Number of target processes.
    seconds : float
        Duration of the measurement.
    """
    with tempfile.TemporaryDirectory() as folder:
        daemon = allocate_daemon("load-1", "seoul")
        cluster = LocalCluster(Path(folder), [daemon], find_free_port(), voters=1)
        try:
            _start(cluster, daemon, targets)
            report = _measure(cluster, daemon, callers, seconds)
        finally:
            cluster.stop_all()
    report["command"] = (
        f"python -m bench.throughput --callers={callers} --targets={targets} "
        f"--seconds={seconds}"
    )
    text = json.dumps(report, indent=1, sort_keys=True)
    (Path(out) / "throughput-daemon.json").write_text(text + "\n", encoding="utf-8")
    print(text)


def _start(cluster: LocalCluster, daemon: DaemonEndpoint, targets: int) -> None:
    cluster.start_daemon(daemon)
    cluster.await_daemons()
    source = cluster.folder / "folder"
    source.mkdir()
    for name, text in FOLDER.items():
        (source / name).write_text(text)
    apply_folder(OperatorClient([daemon.peer_address], key=OPERATOR_KEY), source)
    for number in range(targets):
        cluster.start_target(f"runner-{number}", "seoul", "load")
    pool = urllib3.PoolManager(retries=False)
    wait_until(lambda: _send(pool, daemon) == 200, "a successful answer", 20.0)
    time.sleep(4.0)


def _measure(
    cluster: LocalCluster, daemon: DaemonEndpoint, callers: int, seconds: float
) -> dict[str, Any]:
    pool = urllib3.PoolManager(maxsize=callers, retries=False)
    histogram = HdrHistogram(1, HIGHEST_MICROSECONDS, 3)
    lock = threading.Lock()
    statuses: dict[int, int] = {}
    pid = cluster.processes[daemon.name].pid
    end = time.monotonic() + seconds

    def call() -> None:
        while time.monotonic() < end:
            started = time.perf_counter()
            status = _send(pool, daemon)
            latency = int((time.perf_counter() - started) * 1e6)
            with lock:
                statuses[status] = statuses.get(status, 0) + 1
                histogram.record_value(latency)

    cpu = read_cpu_seconds(pid)
    started = time.monotonic()
    threads = [threading.Thread(target=call) for _ in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    elapsed = time.monotonic() - started
    cpu_used = read_cpu_seconds(pid) - cpu
    answered = statuses.get(200, 0)
    return {
        "requests_per_second": answered / elapsed,
        "daemon_cpu_ms_per_request": 1000.0 * cpu_used / max(answered, 1),
        "daemon_cores": cpu_used / elapsed,
        "daemon_resident_mb": read_resident_mb(pid),
        "statuses": {str(key): count for key, count in sorted(statuses.items())},
        "p50_ms": histogram.get_value_at_percentile(50.0) / 1000.0,
        "p99_ms": histogram.get_value_at_percentile(99.0) / 1000.0,
        "p999_ms": histogram.get_value_at_percentile(99.9) / 1000.0,
    }


def _send(pool: urllib3.PoolManager, daemon: DaemonEndpoint) -> int:
    url = f"http://{daemon.caller_address}/v1/queues/load/requests"
    try:
        return pool.request("POST", url, body=PAYLOAD, timeout=30.0).status
    except urllib3.exceptions.HTTPError:
        return 0


if __name__ == "__main__":
    fire.Fire(main)
