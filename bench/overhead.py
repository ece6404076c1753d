"""Latency of a request through a daemon, compared with a direct request."""

import json
import tempfile
import time
from pathlib import Path

import urllib3
from hdrh.histogram import HdrHistogram

from examples._local_cluster import (
    HOST,
    OPERATOR_KEY,
    LocalCluster,
    allocate_daemon,
    apply_folder,
    find_free_port,
    wait_until,
)
from gypsumwalk.drivers.client import OperatorClient

ROOT = Path(__file__).parent.parent
RESULT = ROOT / "docs" / "measurements" / "overhead.json"
FOLDER = ROOT / "examples" / "demo" / "folder"
REQUESTS = 500
WARM_UP = 50
LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 60_000_000
DIGITS = 3
PERCENTILES = (50.0, 99.0)
HTTP_OK = 200


def measure_latency(
    pool: urllib3.PoolManager, url: str, payload: bytes
) -> dict[str, int]:
    """Send requests sequentially and return latency percentiles in microseconds."""
    histogram = HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, DIGITS)
    for number in range(WARM_UP + REQUESTS):
        started = time.perf_counter()
        response = pool.request("POST", url, body=payload, timeout=10.0)
        elapsed = time.perf_counter() - started
        if response.status != HTTP_OK or response.data != payload:
            raise RuntimeError(
                f"{url} answered {response.status} {response.data!r}, expected "
                f"{HTTP_OK} and the payload"
            )
        if number >= WARM_UP:
            histogram.record_value(int(elapsed * 1e6))
    return {f"p{p:g}": histogram.get_value_at_percentile(p) for p in PERCENTILES}


def measure_both(cluster: LocalCluster, payload: bytes) -> dict[str, dict[str, int]]:
    """Measure requests sent directly to a target and through a daemon."""
    daemon = cluster.daemons[0]
    cluster.start_daemon(daemon)
    cluster.await_daemons()
    apply_folder(OperatorClient([daemon.peer_address], key=OPERATOR_KEY), FOLDER)
    cluster.start_target("t0", "seoul", "seat-holds")
    pool = urllib3.PoolManager(retries=False)
    url = f"http://{daemon.caller_address}/v1/queues/seat-map/requests"

    def has_answer() -> bool:
        return pool.request("POST", url, body=b"{}", timeout=10.0).status == HTTP_OK

    wait_until(has_answer, "a successful answer", 20.0)
    target = f"http://{HOST}:{cluster.ports['t0']}/run"
    direct = measure_latency(pool, target, payload)
    return {"direct": direct, "daemon": measure_latency(pool, url, payload)}


def main() -> None:
    """Measure both latencies in one run, print them and write JSON."""
    daemon = allocate_daemon("d0", "seoul")
    payload = json.dumps({"row": "4", "pad": "x" * 64}).encode()
    with tempfile.TemporaryDirectory() as folder:
        cluster = LocalCluster(Path(folder), [daemon], find_free_port())
        try:
            latencies = measure_both(cluster, payload)
        finally:
            cluster.stop_all()
    multiple = round(latencies["daemon"]["p50"] / latencies["direct"]["p50"], 2)
    results = {"microseconds": latencies, "p50_multiple": multiple}
    print(json.dumps(results, indent=1))
    RESULT.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
