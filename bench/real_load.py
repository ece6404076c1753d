"""Open-loop load test of real processes, sized like the Hanbit example.

``python -m bench.real_load`` starts the daemons and targets of the Hanbit example on
loopback, sends requests on a precomputed schedule in which each queue in turn spikes to
five times its mean rate, and writes JSON. Latency is measured from the scheduled send
time.
"""

import heapq
import json
import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
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
)
from gypsumwalk.drivers.client import OperatorClient

__all__ = ["main"]

ROOT = Path(__file__).parent.parent
DATA_CENTRES = ("seoul", "incheon", "daejeon", "busan")
DAEMONS_PER_DATA_CENTRE = 2
QUEUES = {
    "chart-edits": ("gabbaim", "seat-charts"),
    "holds": ("pledges", "seat-holds"),
    "reissues": ("ushers", "tickets"),
    "reminders": ("yahrzeit", "reminders"),
    "chart-rebuilds": ("routine", "rebuilds"),
}
TARGETS_PER_SERVICE = 8
SLOTS_PER_TARGET = 8
SPIKE_FACTOR = 5.0
QUIET_FACTOR = 0.05
SPIKE_SECONDS = 3.0
DEADLINE_SECONDS = 5.0
CALLER_THREADS = 1500
SETTLE_SECONDS = 6.0
MICROSECONDS = 1e6
HIGHEST_MICROSECONDS = 120_000_000
HTTP_OK = 200
LATE_SEND_SECONDS = 0.1


@dataclass(frozen=True, slots=True, order=True)
class Arrival:
    """One request, scheduled at a time in seconds from the start of the run."""

    at: float
    queue: str
    number: int


@dataclass(slots=True)
class LoadResult:
    """Responses received at one load."""

    good: Counter[str] = field(default_factory=Counter)
    statuses: Counter[str] = field(default_factory=Counter)
    late_starts: int = 0
    histogram: Any = field(
        default_factory=lambda: HdrHistogram(1, HIGHEST_MICROSECONDS, 3)
    )
    lock: Any = field(default_factory=threading.Lock)


def draw_arrivals(load: float, seconds: float, work: float, seed: int) -> list[Arrival]:
    """Draw the send times of all requests, with one queue spiking at a time.

    Parameters
    ----------
    load : float
        Mean load as a fraction of the capacity of all slots.
    seconds : float
        Duration of the run.
    work : float
        Service time of a request at a target, in seconds.
    seed : int
        Seed of the random times.

    Returns
    -------
    list of Arrival
        Requests in order of time.
    """
    random = Random(seed)
    mean = load * TARGETS_PER_SERVICE * SLOTS_PER_TARGET / work
    names = list(QUEUES)
    # Each queue spikes in one interval of five and is quiet in the other four; the
    # scale keeps its rate over all five at the mean.
    scale = len(names) / (SPIKE_FACTOR + QUIET_FACTOR * (len(names) - 1))
    arrivals: list[Arrival] = []
    for index, queue in enumerate(names):
        at = 0.0
        while at < seconds:
            turn = int(at / SPIKE_SECONDS) % len(names)
            factor = SPIKE_FACTOR if turn == index else QUIET_FACTOR
            end = (int(at / SPIKE_SECONDS) + 1) * SPIKE_SECONDS
            at += random.expovariate(mean * factor * scale)
            if at < end and at < seconds:
                heapq.heappush(arrivals, Arrival(at, queue, len(arrivals)))
            elif at >= end:
                at = end
    return sorted(arrivals)


class LoadGenerator:
    """Sends requests at their scheduled times from a bounded pool of threads.

    Parameters
    ----------
    daemons : list of DaemonEndpoint
        The daemons, used in round robin.
    keys : dict of str to str
        API key of each team.
    work : float
        Service time of a request at a target, in seconds.
    """

    def __init__(
        self, daemons: list[DaemonEndpoint], keys: dict[str, str], work: float
    ) -> None:
        self._daemons = daemons
        self._keys = keys
        self._payload = json.dumps({"work_seconds": work}).encode()
        self._pool = urllib3.PoolManager(
            num_pools=len(daemons), maxsize=CALLER_THREADS, retries=False
        )

    def run(self, arrivals: list[Arrival]) -> LoadResult:
        """Send all requests and return the responses."""
        result = LoadResult()
        remaining = iter(arrivals)
        lock = threading.Lock()
        started = time.monotonic()

        def send_remaining() -> None:
            while True:
                with lock:
                    arrival = next(remaining, None)
                if arrival is None:
                    return
                self._send(arrival, started, result)

        threads = [
            threading.Thread(target=send_remaining) for _ in range(CALLER_THREADS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return result

    def _send(self, arrival: Arrival, started: float, result: LoadResult) -> None:
        due = started + arrival.at
        delay = due - time.monotonic()
        if delay > 0:
            time.sleep(delay)
        is_late = time.monotonic() - due > LATE_SEND_SECONDS
        team, _ = QUEUES[arrival.queue]
        daemon = self._daemons[arrival.number % len(self._daemons)]
        outcome = self._call(daemon, arrival.queue, self._keys[team])
        latency = time.monotonic() - due
        with result.lock:
            result.late_starts += is_late
            result.statuses[outcome] += 1
            if outcome == "200":
                result.good[team] += 1
                result.histogram.record_value(int(latency * MICROSECONDS))

    def _call(self, daemon: DaemonEndpoint, queue: str, key: str) -> str:
        url = f"http://{daemon.caller_address}/v1/queues/{queue}/requests"
        headers = {
            "Authorization": f"Bearer {key}",
            "Gypsumwalk-Deadline-Seconds": str(DEADLINE_SECONDS),
        }
        try:
            response = self._pool.request(
                "POST", url, body=self._payload, headers=headers, timeout=30.0
            )
        except urllib3.exceptions.HTTPError as error:
            return type(error).__name__
        if response.status == HTTP_OK:
            return "200" if response.data == self._payload else "wrong answer"
        content_type = response.headers.get("Content-Type", "")
        if "problem" not in content_type:
            return f"{response.status} of the server"
        problem = json.loads(response.data)
        return f"{response.status} {problem['title']}, {problem['outcome']}"


def start_cluster(cluster: LocalCluster) -> dict[str, str]:
    """Start every process, apply the folder and issue a key to each team."""
    for daemon in cluster.daemons:
        cluster.start_daemon(daemon)
    cluster.await_daemons(40.0)
    operator = OperatorClient(
        [daemon.peer_address for daemon in cluster.daemons], key=OPERATOR_KEY
    )
    apply_folder(operator, ROOT / "examples" / "hanbit")
    for number in range(TARGETS_PER_SERVICE):
        for _, service in QUEUES.values():
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            cluster.start_target(f"{service}-{number}", data_centre, service)
    keys = {}
    for team, _ in QUEUES.values():
        reply = operator.call("POST", "/v1/keys/give", {"team": team}, idempotent=False)
        keys[team] = reply.decode()["key"]
    time.sleep(SETTLE_SECONDS)
    return keys


def summarize(
    result: LoadResult, arrivals: list[Arrival], seconds: float
) -> dict[str, Any]:
    """Return goodput, latency and response counts of one load."""
    offered = Counter(QUEUES[item.queue][0] for item in arrivals)
    histogram = result.histogram
    return {
        "offered_per_second": round(len(arrivals) / seconds, 1),
        "good_per_second": round(sum(result.good.values()) / seconds, 1),
        "good_part_by_team": {
            team: round(result.good[team] / offered[team], 3) for team in offered
        },
        "answers": dict(result.statuses.most_common()),
        "sent_over_100_ms_late": result.late_starts,
        "latency_ms": {
            f"p{p:g}": histogram.get_value_at_percentile(p) / 1000.0
            for p in (50.0, 99.0, 99.9)
        },
    }


def main(
    loads: tuple[float, ...] = (0.5, 0.9, 1.2, 2.0),
    seconds: float = 15.0,
    work: float = 1.0,
    seed: int = 1,
    out: str = "docs/measurements/load-real-hanbit.json",
) -> None:
    """Measure each load, print the results and write JSON.

    Parameters
    ----------
    loads : tuple of float
        Mean loads as fractions of the capacity of all slots.
    seconds : float
        Duration of each run.
    work : float
        Service time of a request at a target, in seconds.
    seed : int
        Seed of the arrival times.
    out : str
        JSON file to write.
    """
    daemons = [
        allocate_daemon(f"{data_centre}-{number + 1}", data_centre)
        for number in range(DAEMONS_PER_DATA_CENTRE)
        for data_centre in DATA_CENTRES
    ]
    report: dict[str, Any] = {
        "command": f"python -m bench.real_load --seconds={seconds} --work={work}"
    }
    with tempfile.TemporaryDirectory() as folder:
        cluster = LocalCluster(Path(folder), daemons, find_free_port())
        try:
            generator = LoadGenerator(daemons, start_cluster(cluster), work)
            for load in loads:
                arrivals = draw_arrivals(load, seconds, work, seed)
                before = _read_cpu_by_daemon(cluster)
                started = time.monotonic()
                result = generator.run(arrivals)
                elapsed = time.monotonic() - started
                figures = summarize(result, arrivals, seconds)
                figures["daemon_cores"] = {
                    name: round((used - before[name]) / elapsed, 2)
                    for name, used in _read_cpu_by_daemon(cluster).items()
                }
                report[str(load)] = figures
                print(load, json.dumps(figures), flush=True)
                time.sleep(SETTLE_SECONDS)
            report["resident_mb"] = {
                daemon.name: round(
                    read_resident_mb(cluster.processes[daemon.name].pid), 1
                )
                for daemon in daemons
            }
        finally:
            cluster.stop_all()
    text = json.dumps(report, indent=1)
    Path(out).write_text(text + "\n", encoding="utf-8")


def _read_cpu_by_daemon(cluster: LocalCluster) -> dict[str, float]:
    return {
        daemon.name: read_cpu_seconds(cluster.processes[daemon.name].pid)
        for daemon in cluster.daemons
    }


if __name__ == "__main__":
    fire.Fire(main)
