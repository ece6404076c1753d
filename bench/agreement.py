"""Latency of commits, time of recovery, and traffic of the membership protocol."""

import json
import tempfile
import time
from pathlib import Path
from random import Random

from bench._fit import fit
from bench._pump import ReplicaGroup
from gypsumwalk.drivers.disk import FolderDisk
from gypsumwalk.effects import AppendRecords
from gypsumwalk.membership import PEER_MESSAGES, MembershipPart, Probe
from gypsumwalk.node import Node
from gypsumwalk.settings import PeerSettings, Settings
from gypsumwalk.timestamps import Timestamp
from gypsumwalk.wire import Envelope, PeerCodec
from tests._agreement import ClientPart
from tests._world import World

RESULT = Path(__file__).parent.parent / "docs" / "measurements" / "agreement.json"
COMMAND_BYTES = 200
COMMANDS = 2000
VOTERS = 5
IN_FLIGHT = (1, 16, 128)
LOG_LENGTHS = (1000, 2000, 4000, 8000)
DAEMON_COUNTS = (5, 9, 18, 27)
SETTLE_SECONDS = 60.0
MEASURE_SECONDS = 300.0


def compute_quantile(values, fraction):
    """Return the quantile of values at a fraction."""
    return sorted(values)[min(len(values) - 1, int(len(values) * fraction))]


def measure_baseline(folder):
    """Append and sync commands one at a time to one local disk, as a baseline."""
    disk = FolderDisk(str(folder / "baseline"))
    disk.recover()
    times = []
    for _ in range(COMMANDS):
        started = time.perf_counter()
        disk.write([AppendRecords("log", (b"x" * COMMAND_BYTES,))])
        times.append(time.perf_counter() - started)
    disk.close()
    return summarize(times, sum(times))


def measure_commits(folder, in_flight):
    """Commit commands on five replicas that share a disk, with a bounded pipeline."""
    group = ReplicaGroup(folder / f"commits{in_flight}", VOTERS)
    leader = group.elect()
    times, begin_times = [], []
    proposed = 0
    started = time.perf_counter()
    while len(times) < COMMANDS:
        while proposed < COMMANDS and proposed - len(times) < in_flight:
            begin_times.append(time.perf_counter())
            group.propose(leader, "x" * COMMAND_BYTES)
            proposed += 1
        group.step()
        now = time.perf_counter()
        for outcome in leader.client.outcomes[len(times) :]:
            number = int(outcome.token.partition("/")[2])
            times.append(now - begin_times[number - 1])
    elapsed = time.perf_counter() - started
    group.close()
    return summarize(times, elapsed)


def summarize(times, elapsed):
    """Return latency in milliseconds and throughput in commands per second."""
    return {
        "median_ms": round(compute_quantile(times, 0.5) * 1000, 3),
        "p99_ms": round(compute_quantile(times, 0.99) * 1000, 3),
        "commands_per_second": round(len(times) / elapsed),
    }


def measure_recovery(folder, length):
    """Measure reading a log of a given length and replaying it."""
    path = folder / f"recovery{length}"
    group = ReplicaGroup(path, 1)
    leader = group.elect()
    for _ in range(length // 100):
        for _ in range(100):
            group.propose(leader, "x" * COMMAND_BYTES)
        group.step()
    group.close()
    started = time.perf_counter()
    restarted = ReplicaGroup(path, 1, number=2)
    read = time.perf_counter() - started
    (replica,) = restarted.replicas.values()
    restarted.elect()
    while replica.section.count < length:
        restarted.step()
    replica.consensus.replica.state.applied = 0
    started = time.perf_counter()
    replica.consensus.replica.apply_committed()
    applied = time.perf_counter() - started
    restarted.close()
    return {
        "entries": length,
        "read_ms": round(read * 1000, 1),
        "apply_ms": round(applied * 1000, 1),
    }


def measure_membership(size):
    """Measure the traffic of membership alone, per daemon and second."""
    names = [f"d{number}" for number in range(size)]
    peers = [
        PeerSettings(name=name, data_centre="dc", address="127.0.0.1", peer_port=7000)
        for name in names[:5]
    ]

    def build(name, recovered, incarnation):
        settings = Settings(
            name=name,
            data_centre="dc",
            caller_port=1,
            peer_port=7000,
            peers=peers,
            cluster_secret="at least sixteen characters",
        )
        part = MembershipPart(
            settings=settings, random=Random(name), incarnation=incarnation
        )
        return Node([part, ClientPart()], part)

    world = World(build, seed=1)
    for name in names:
        world.add(name, data_centre="dc", disk=False)
    world.run(SETTLE_SECONDS)
    for daemon in world.daemons.values():
        members = daemon.node._parts[0].members()
        assert len(members) == size and all(item.alive for item in members)
    messages, content = (
        dict(world.network.sent_messages),
        dict(world.network.sent_bytes),
    )
    world.run(MEASURE_SECONDS)
    overhead = measure_envelope()
    sent = sum(world.network.sent_messages.values()) - sum(messages.values())
    size_sent = sum(world.network.sent_bytes.values()) - sum(content.values())
    per_daemon = MEASURE_SECONDS * size
    return {
        "daemons": size,
        "messages_per_second": round(sent / per_daemon, 3),
        "bytes_per_second": round((size_sent + sent * overhead) / per_daemon, 1),
    }


def measure_envelope():
    """Return the overhead in bytes of envelope and MAC on a datagram."""
    codec = PeerCodec(PEER_MESSAGES, b"at least sixteen characters")
    body = codec.encode_body(Probe(1, []), stream=False)
    stamp = Timestamp(1_700_000_000_000, 3)
    envelope = Envelope("d10", 1_700_000_000_000, "d11", 70_000, stamp, body)
    return len(codec.encode_datagram(envelope)) - len(body)


def main():
    """Run all measurements and write JSON."""
    with tempfile.TemporaryDirectory(dir=RESULT.parent.parent.parent) as name:
        folder = Path(name)
        commits = {"one local sync per command": measure_baseline(folder)}
        for in_flight in IN_FLIGHT:
            commits[f"{in_flight} in flight"] = measure_commits(folder, in_flight)
        recovery = [measure_recovery(folder, length) for length in LOG_LENGTHS]
    membership = [measure_membership(size) for size in DAEMON_COUNTS]
    slope = fit(
        "membership traffic of one daemon",
        "daemons",
        "bytes a second",
        [item["daemons"] for item in membership],
        [item["bytes_per_second"] for item in membership],
    )
    result = {
        "command": "PYTHONPATH=src:. python -m bench.agreement",
        "commits": commits,
        "recovery": recovery,
        "membership": membership,
        "membership_slope": slope.to_json(),
    }
    RESULT.parent.mkdir(parents=True, exist_ok=True)
    RESULT.write_text(json.dumps(result, indent=2) + "\n")
    print(RESULT.read_text())


if __name__ == "__main__":
    main()
