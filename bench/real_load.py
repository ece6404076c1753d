"""Open-loop load on real processes at the size of one of the first users.

``python -m bench.real_load`` starts the daemons and targets of the Hanbit example on
loopback, sends requests at times drawn beforehand, one queue in turn at five times its
mean, and writes JSON. A latency counts from the time at which a request was due.
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
from examples._stage import (
    OPERATOR_KEY,
    DaemonPlace,
    Stage,
    apply_folder,
    find_port,
    is_ready,
    place_daemon,
    wait_until,
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
RUNNERS = 8
SLOTS = 8
SPIKE_FACTOR = 5.0
QUIET_FACTOR = 0.05
SPIKE_SECONDS = 3.0
DEADLINE_SECONDS = 5.0
CALLER_THREADS = 1500
SETTLE_SECONDS = 6.0
MICROSECONDS = 1e6
HIGHEST_MICROSECONDS = 120_000_000
HTTP_OK = 200


@dataclass(frozen=True, slots=True, order=True)
class Arrival:
    """One request that is due at a time, in seconds from the start."""

    at: float
    queue: str
    number: int


@dataclass(slots=True)
class Result:
    """What came back at one load."""

    good: Counter[str] = field(default_factory=Counter)
    statuses: Counter[str] = field(default_factory=Counter)
    late_starts: int = 0
    histogram: Any = field(
        default_factory=lambda: HdrHistogram(1, HIGHEST_MICROSECONDS, 3)
    )
    lock: Any = field(default_factory=threading.Lock)


def draw_arrivals(load: float, seconds: float, work: float, seed: int) -> list[Arrival]:
    """Draw the times of all requests, one queue in turn at its spike.

    Parameters
    ----------
    load : float
        Mean load as a part of the capacity of all slots.
    seconds : float
        Length of the run.
    work : float
        Seconds that a target works on a request.
    seed : int
        Seed.

    Returns
    -------
    list of Arrival
        The requests, by time.
    """
    random = Random(seed)
    mean = load * RUNNERS * SLOTS / work
    names = list(QUEUES)
    # In turn each queue spikes for one part in five and is quiet for the others.
    scale = len(names) / (SPIKE_FACTOR + QUIET_FACTOR * (len(names) - 1))
    arrivals: list[Arrival] = []
    for position, queue in enumerate(names):
        at = 0.0
        while at < seconds:
            turn = int(at / SPIKE_SECONDS) % len(names)
            factor = SPIKE_FACTOR if turn == position else QUIET_FACTOR
            end = (int(at / SPIKE_SECONDS) + 1) * SPIKE_SECONDS
            at += random.expovariate(mean * factor * scale)
            if at < end and at < seconds:
                heapq.heappush(arrivals, Arrival(at, queue, len(arrivals)))
            elif at >= end:
                at = end
    return sorted(arrivals)


class Load:
    """Sends requests at their times from a bounded pool of threads.

    Parameters
    ----------
    places : list of DaemonPlace
        The daemons, taken in turn as a balancer does.
    keys : dict of str to str
        Key of each team.
    work : float
        Seconds that a target works on a request.
    """

    def __init__(
        self, places: list[DaemonPlace], keys: dict[str, str], work: float
    ) -> None:
        self._places = places
        self._keys = keys
        self._payload = json.dumps({"work_seconds": work}).encode()
        self._pool = urllib3.PoolManager(
            num_pools=len(places), maxsize=CALLER_THREADS, retries=False
        )

    def run(self, arrivals: list[Arrival]) -> Result:
        """Send all requests and return what came back."""
        result = Result()
        waiting = iter(arrivals)
        take = threading.Lock()
        started = time.monotonic()

        def work() -> None:
            while True:
                with take:
                    arrival = next(waiting, None)
                if arrival is None:
                    return
                self._send(arrival, started, result)

        threads = [threading.Thread(target=work) for _ in range(CALLER_THREADS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return result

    def _send(self, arrival: Arrival, started: float, result: Result) -> None:
        due = started + arrival.at
        delay = due - time.monotonic()
        if delay > 0:
            time.sleep(delay)
        late = time.monotonic() - due > 0.1
        team, _ = QUEUES[arrival.queue]
        place = self._places[arrival.number % len(self._places)]
        outcome = self._call(place, arrival.queue, self._keys[team])
        took = time.monotonic() - due
        with result.lock:
            result.late_starts += late
            result.statuses[outcome] += 1
            if outcome == "200":
                result.good[team] += 1
                result.histogram.record_value(int(took * MICROSECONDS))

    def _call(self, place: DaemonPlace, queue: str, key: str) -> str:
        url = f"http://{place.caller_address}/v1/queues/{queue}/requests"
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


def start_system(stage: Stage) -> dict[str, str]:
    """Start every process, apply the folder and give a key to each team."""
    for place in stage.daemons:
        stage.start_daemon(place)
    wait_until(lambda: all(map(is_ready, stage.daemons)), "ready daemons", 40.0)
    operator = OperatorClient(
        [place.peer_address for place in stage.daemons], key=OPERATOR_KEY
    )
    apply_folder(operator, ROOT / "examples" / "hanbit")
    for number in range(RUNNERS):
        for _, service in QUEUES.values():
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            stage.start_target(f"{service}-{number}", data_centre, service)
    keys = {}
    for team, _ in QUEUES.values():
        reply = operator.call("POST", "/v1/keys/give", {"team": team}, idempotent=False)
        keys[team] = reply.decode()["key"]
    time.sleep(SETTLE_SECONDS)
    return keys


def describe(result: Result, arrivals: list[Arrival], seconds: float) -> dict[str, Any]:
    """Return the figures of one load."""
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
    """Measure each load, print the figures and write JSON.

    Parameters
    ----------
    loads : tuple of float
        Mean loads as parts of the capacity of all slots.
    seconds : float
        Length of each run.
    work : float
        Seconds that a target works on a request.
    seed : int
        Seed of the arrivals.
    out : str
        File for the JSON.
    """
    places = [
        place_daemon(f"{data_centre}-{number + 1}", data_centre)
        for number in range(DAEMONS_PER_DATA_CENTRE)
        for data_centre in DATA_CENTRES
    ]
    report: dict[str, Any] = {
        "command": f"python -m bench.real_load --seconds={seconds} --work={work}"
    }
    with tempfile.TemporaryDirectory() as folder:
        stage = Stage(Path(folder), places, find_port())
        try:
            load = Load(places, start_system(stage), work)
            for part in loads:
                arrivals = draw_arrivals(part, seconds, work, seed)
                before = _read_cpu(stage)
                began = time.monotonic()
                result = load.run(arrivals)
                elapsed = time.monotonic() - began
                figures = describe(result, arrivals, seconds)
                figures["daemon_cores"] = {
                    name: round((used - before[name]) / elapsed, 2)
                    for name, used in _read_cpu(stage).items()
                }
                report[str(part)] = figures
                print(part, json.dumps(figures), flush=True)
                time.sleep(SETTLE_SECONDS)
            report["resident_mb"] = {
                place.name: round(read_resident_mb(stage.processes[place.name].pid), 1)
                for place in places
            }
        finally:
            stage.stop_all()
    text = json.dumps(report, indent=1)
    Path(out).write_text(text + "\n", encoding="utf-8")


def _read_cpu(stage: Stage) -> dict[str, float]:
    return {
        place.name: read_cpu_seconds(stage.processes[place.name].pid)
        for place in stage.daemons
    }


if __name__ == "__main__":
    fire.Fire(main)
