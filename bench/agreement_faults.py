"""Fault injection on real daemons: kill, pause and wipe them during folder changes.

Verifies that no accepted change is lost, and measures failover and propagation times.
"""

import json
import sys
import tempfile
import threading
import time
from pathlib import Path
from random import Random

from hdrh.histogram import HdrHistogram

from tests._real_cluster import RealCluster

RESULT = (
    Path(__file__).parent.parent / "docs" / "measurements" / "agreement_faults.json"
)
VOTERS = 5
FOLLOWERS = 2
ROUNDS = int(sys.argv[1]) if len(sys.argv) > 1 else 6
RESTARTS = 5
PAUSE_SECONDS = 30.0
MILLISECONDS = 1000
MAX_MILLISECONDS = 120_000
LEADER_TARGET_SECONDS = 5.0
IN_FORCE_TARGET_SECONDS = 14.0
KEY_TARGET_SECONDS = 5.0


class Writer(threading.Thread):
    """Changes the folder in a loop, and records the accepted changes."""

    def __init__(self, cluster):
        super().__init__()
        self.cluster = cluster
        self.random = Random(5)
        self.accepted = {}
        self.resends = 0
        self.conflicts = 0
        self.everywhere = HdrHistogram(1, MAX_MILLISECONDS, 2)
        self.stopped = threading.Event()

    def run(self):
        """Change the folder until stopped."""
        while not self.stopped.is_set():
            self.change()

    def change(self):
        """Make one change, retried on random daemons until it is accepted."""
        generation = len(self.accepted)
        file = f"{generation:05}.toml"
        text = f"[teams.t{generation}]\nlimit = 1\n"
        started = time.monotonic()
        while not self.stopped.is_set():
            name = self.random.choice(self.cluster.names)
            answer = self.cluster.apply(name, generation, {file: text}, timeout=8.0)
            if answer and answer[0] == 200:
                self.accepted[file] = text
                if not answer[1]["report"]["unreachable"]:
                    self.record_elapsed(self.everywhere, started)
                return
            self.conflicts += bool(answer and answer[0] == 409)
            self.resends += 1
            time.sleep(0.05)

    @staticmethod
    def record_elapsed(histogram, started):
        """Record the milliseconds elapsed since a time."""
        elapsed = time.monotonic() - started
        histogram.record_value(max(1, int(elapsed * MILLISECONDS)))


def kill_leaders(cluster, histogram):
    """Kill the leader, then its successor while the first one recovers."""
    leader = cluster.await_leader()
    for _ in range(2):
        started = time.monotonic()
        cluster.kill(leader)
        dead = leader
        leader = cluster.await_leader(other_than=dead)
        Writer.record_elapsed(histogram, started)
        cluster.start(dead)
    time.sleep(2.0)


def restart_leaders(cluster, histogram):
    """Terminate leaders gracefully, as a rolling update does, and restart them."""
    for _ in range(RESTARTS):
        leader = cluster.await_leader()
        started = time.monotonic()
        cluster.processes[leader].terminate()
        cluster.await_leader(other_than=leader)
        Writer.record_elapsed(histogram, started)
        cluster.processes[leader].wait()
        cluster.start(leader)
        time.sleep(2.0)


def replace_disk(cluster):
    """Wipe a voter's data folder, and re-add the voter with its empty disk."""
    leader = cluster.await_leader()
    name = next(item for item in cluster.voters if item != leader)
    cluster.kill(name)
    cluster.wipe(name)
    cluster.start(name)
    time.sleep(3.0)
    for action in ("remove", "add"):
        for _ in range(20):
            body = {"name": name}
            answer = cluster.call(leader, "POST", f"/v1/voters/{action}", body)
            if answer and answer[0] == 200:
                break
        assert answer and answer[0] == 200, answer
    return name


def pause_leader(cluster, histogram):
    """Pause the leader process for 30 s, and resume it."""
    leader = cluster.await_leader()
    started = time.monotonic()
    cluster.pause(leader)
    others = [name for name in cluster.voters if name != leader]
    while cluster.find_leader(others) in ("", leader):
        time.sleep(0.02)
    Writer.record_elapsed(histogram, started)
    time.sleep(max(0.0, PAUSE_SECONDS - (time.monotonic() - started)))
    cluster.resume(leader)
    time.sleep(2.0)


def withdraw_keys(cluster, count):
    """Issue and withdraw keys, and measure the time until refused everywhere."""
    histogram = HdrHistogram(1, MAX_MILLISECONDS, 2)
    for number in range(count):
        name = cluster.names[number % len(cluster.names)]
        issued = cluster.call(name, "POST", "/v1/keys/give", {"team": "t0"})
        assert issued and issued[0] == 200, issued
        body = {"key_id": issued[1]["key_id"]}
        started = time.monotonic()
        answer = cluster.call(name, "POST", "/v1/keys/withdraw", body)
        assert answer and answer[1]["everywhere"], answer
        Writer.record_elapsed(histogram, started)
    return histogram


def summarize(histogram, target):
    """Return quantiles of a histogram and the target, in milliseconds."""
    return {
        "count": histogram.get_total_count(),
        "median_ms": histogram.get_value_at_percentile(50),
        "p90_ms": histogram.get_value_at_percentile(90),
        "max_ms": histogram.get_max_value(),
        "target_ms": target * MILLISECONDS,
    }


def main():
    """Run the faults on a cluster and write JSON."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = RealCluster(folder, VOTERS, FOLLOWERS)
        try:
            result = run_faults(cluster)
        finally:
            cluster.close()
    RESULT.parent.mkdir(parents=True, exist_ok=True)
    RESULT.write_text(json.dumps(result, indent=2) + "\n")
    print(RESULT.read_text())


def run_faults(cluster):
    """Run every fault during folder changes, then check each daemon for losses."""
    leaders = HdrHistogram(1, MAX_MILLISECONDS, 2)
    paused = HdrHistogram(1, MAX_MILLISECONDS, 2)
    departed = HdrHistogram(1, MAX_MILLISECONDS, 2)
    cluster.await_leader()
    writer = Writer(cluster)
    writer.start()
    time.sleep(3.0)
    try:
        for _ in range(ROUNDS):
            kill_leaders(cluster, leaders)
        restart_leaders(cluster, departed)
        replaced = replace_disk(cluster)
        pause_leader(cluster, paused)
        time.sleep(5.0)
    finally:
        writer.stopped.set()
        writer.join()
    for name in cluster.names:
        configuration = cluster.read(name)
        assert configuration is not None, f"{name} does not answer"
        missing = writer.accepted.keys() - configuration["files"].keys()
        assert not missing, f"{name} lost {sorted(missing)}"
    keys = withdraw_keys(cluster, 10)
    return {
        "command": f"PYTHONPATH=src:. python -m bench.agreement_faults {ROUNDS}",
        "daemons": VOTERS + FOLLOWERS,
        "accepted_changes": len(writer.accepted),
        "lost_changes": 0,
        "resends": writer.resends,
        "conflicts": writer.conflicts,
        "replaced_disk_of": replaced,
        "new_leader_after_kill": summarize(leaders, LEADER_TARGET_SECONDS),
        "new_leader_after_leaving": summarize(departed, LEADER_TARGET_SECONDS),
        "new_leader_after_pause": summarize(paused, LEADER_TARGET_SECONDS),
        "folder_in_force_everywhere": summarize(
            writer.everywhere, IN_FORCE_TARGET_SECONDS
        ),
        "key_withdrawn_everywhere": summarize(keys, KEY_TARGET_SECONDS),
    }


if __name__ == "__main__":
    main()
