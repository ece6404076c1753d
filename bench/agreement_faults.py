"""Kill, pause and wipe real daemons while the folder changes, and look for losses."""

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
MOST_MILLISECONDS = 120_000
LEADER_TARGET_SECONDS = 5.0
IN_FORCE_TARGET_SECONDS = 14.0
KEY_TARGET_SECONDS = 5.0


class Writer(threading.Thread):
    """Changes the folder again and again, and keeps what was accepted."""

    def __init__(self, cluster):
        super().__init__()
        self.cluster = cluster
        self.random = Random(5)
        self.accepted = {}
        self.resends = 0
        self.conflicts = 0
        self.everywhere = HdrHistogram(1, MOST_MILLISECONDS, 2)
        self.ended = threading.Event()

    def run(self):
        """Change the folder until told to end."""
        while not self.ended.is_set():
            self.change()

    def change(self):
        """Make one change, sent again elsewhere until it is accepted."""
        generation = len(self.accepted)
        file = f"{generation:05}.toml"
        text = f"[teams.t{generation}]\nlimit = 1\n"
        started = time.monotonic()
        while not self.ended.is_set():
            name = self.random.choice(self.cluster.names)
            answer = self.cluster.apply(name, generation, {file: text}, timeout=8.0)
            if answer and answer[0] == 200:
                self.accepted[file] = text
                if not answer[1]["report"]["unreachable"]:
                    self.note(self.everywhere, started)
                return
            self.conflicts += bool(answer and answer[0] == 409)
            self.resends += 1
            time.sleep(0.05)

    @staticmethod
    def note(histogram, started):
        """Record the milliseconds since a time."""
        elapsed = time.monotonic() - started
        histogram.record_value(max(1, int(elapsed * MILLISECONDS)))


def kill_leaders(cluster, histogram):
    """Kill the leader, and the next one while the first is being repaired."""
    leader = cluster.await_leader()
    for _ in range(2):
        started = time.monotonic()
        cluster.kill(leader)
        dead = leader
        leader = cluster.await_leader(other_than=dead)
        Writer.note(histogram, started)
        cluster.start(dead)
    time.sleep(2.0)


def restart_leaders(cluster, histogram):
    """Ask leaders to leave, as a roll-out does, and start them again."""
    for _ in range(RESTARTS):
        leader = cluster.await_leader()
        started = time.monotonic()
        cluster.processes[leader].terminate()
        cluster.await_leader(other_than=leader)
        Writer.note(histogram, started)
        cluster.processes[leader].wait()
        cluster.start(leader)
        time.sleep(2.0)


def replace_disk(cluster):
    """Wipe a voter's folder, and admit its new disk."""
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
    """Stop the leader for half a minute, and let it go on."""
    leader = cluster.await_leader()
    started = time.monotonic()
    cluster.pause(leader)
    others = [name for name in cluster.voters if name != leader]
    while cluster.find_leader(others) in ("", leader):
        time.sleep(0.02)
    Writer.note(histogram, started)
    time.sleep(max(0.0, PAUSE_SECONDS - (time.monotonic() - started)))
    cluster.resume(leader)
    time.sleep(2.0)


def withdraw_keys(cluster, count):
    """Give and withdraw keys, and time until they are refused everywhere."""
    histogram = HdrHistogram(1, MOST_MILLISECONDS, 2)
    for number in range(count):
        name = cluster.names[number % len(cluster.names)]
        given = cluster.call(name, "POST", "/v1/keys/give", {"team": "t0"})
        assert given and given[0] == 200, given
        body = {"key_id": given[1]["key_id"]}
        started = time.monotonic()
        answer = cluster.call(name, "POST", "/v1/keys/withdraw", body)
        assert answer and answer[1]["everywhere"], answer
        Writer.note(histogram, started)
    return histogram


def describe(histogram, target):
    """Return quantiles of a histogram in milliseconds, and the target."""
    return {
        "count": histogram.get_total_count(),
        "median_ms": histogram.get_value_at_percentile(50),
        "p90_ms": histogram.get_value_at_percentile(90),
        "max_ms": histogram.get_max_value(),
        "target_ms": target * MILLISECONDS,
    }


def main():
    """Run the faults and write the figures."""
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
    """Run every fault with a writer beside it, and compare at the end."""
    leaders = HdrHistogram(1, MOST_MILLISECONDS, 2)
    paused = HdrHistogram(1, MOST_MILLISECONDS, 2)
    left = HdrHistogram(1, MOST_MILLISECONDS, 2)
    cluster.await_leader()
    writer = Writer(cluster)
    writer.start()
    time.sleep(3.0)
    try:
        for _ in range(ROUNDS):
            kill_leaders(cluster, leaders)
        restart_leaders(cluster, left)
        replaced = replace_disk(cluster)
        pause_leader(cluster, paused)
        time.sleep(5.0)
    finally:
        writer.ended.set()
        writer.join()
    for name in cluster.names:
        shown = cluster.read(name)
        assert shown is not None, f"{name} does not answer"
        missing = writer.accepted.keys() - shown["files"].keys()
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
        "new_leader_after_kill": describe(leaders, LEADER_TARGET_SECONDS),
        "new_leader_after_leaving": describe(left, LEADER_TARGET_SECONDS),
        "new_leader_after_pause": describe(paused, LEADER_TARGET_SECONDS),
        "folder_in_force_everywhere": describe(
            writer.everywhere, IN_FORCE_TARGET_SECONDS
        ),
        "key_withdrawn_everywhere": describe(keys, KEY_TARGET_SECONDS),
    }


if __name__ == "__main__":
    main()
