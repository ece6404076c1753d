"""Measure one request through a daemon against the same request sent to its target."""

import json
import tempfile
import time
from pathlib import Path

import urllib3
from hdrh.histogram import HdrHistogram

from examples._stage import (
    HOST,
    OPERATOR_KEY,
    Stage,
    apply_folder,
    find_port,
    is_ready,
    place_daemon,
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
    """Send requests one after the other and return percentiles in microseconds."""
    histogram = HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, DIGITS)
    for number in range(WARM_UP + REQUESTS):
        started = time.perf_counter()
        response = pool.request("POST", url, body=payload, timeout=10.0)
        elapsed = time.perf_counter() - started
        if response.status != HTTP_OK or response.data != payload:
            raise RuntimeError(f"{url} answered {response.status}: {response.data!r}")
        if number >= WARM_UP:
            histogram.record_value(int(elapsed * 1e6))
    return {f"p{p:g}": histogram.get_value_at_percentile(p) for p in PERCENTILES}


def measure_both(stage: Stage, payload: bytes) -> dict[str, dict[str, int]]:
    """Measure the direct way and the way through a daemon."""
    place = stage.daemons[0]
    stage.start_daemon(place)
    wait_until(lambda: is_ready(place), "readiness", 20.0)
    apply_folder(OperatorClient([place.peer_address], key=OPERATOR_KEY), FOLDER)
    stage.start_target("t0", "seoul", "seat-holds")
    pool = urllib3.PoolManager(retries=False)
    url = f"http://{place.caller_address}/v1/queues/seat-map/requests"

    def answers() -> bool:
        return pool.request("POST", url, body=b"{}", timeout=10.0).status == HTTP_OK

    wait_until(answers, "answer", 20.0)
    target = f"http://{HOST}:{stage.ports['t0']}/run"
    direct = measure_latency(pool, target, payload)
    return {"direct": direct, "daemon": measure_latency(pool, url, payload)}


def main() -> None:
    """Measure both ways in one run, print them and write JSON."""
    place = place_daemon("d0", "seoul")
    payload = json.dumps({"row": "4", "pad": "x" * 64}).encode()
    with tempfile.TemporaryDirectory() as folder:
        stage = Stage(Path(folder), [place], find_port())
        try:
            latencies = measure_both(stage, payload)
        finally:
            stage.stop_all()
    multiple = round(latencies["daemon"]["p50"] / latencies["direct"]["p50"], 2)
    results = {"microseconds": latencies, "p50_multiple": multiple}
    print(json.dumps(results, indent=1))
    RESULT.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
