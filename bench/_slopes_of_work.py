"""Cost of work: daemons, targets, requests, workers, jobs and teams."""

import socket

import msgspec

from bench._fit import Slope
from bench._measuring import (
    PAUSE_SECONDS,
    REST_SECONDS,
    collect_minima,
    fit_all,
    measure_cpu,
    measurement,
)
from bench._worlds import KEY, SimulatedCluster
from gypsumwalk.generations import ApplyFolder
from gypsumwalk.jobs import SubmitJob
from gypsumwalk.key_table import GiveKey, KeyRecord, hash_secret
from gypsumwalk.submissions import SubmitRequest
from gypsumwalk.timestamps import Timestamp
from gypsumwalk.wire import Envelope, PeerCodec

DATAGRAMS = 4_000


@measurement
def measure_daemons() -> list[Slope]:
    """Measure the cost of an idle daemon by the number of daemons."""
    sizes = (3, 6, 12, 18, 27)

    def measure(count: int) -> dict[str, float]:
        cluster = SimulatedCluster(daemons=count)
        cluster.world.run(10.0)
        cluster.reset_counters()
        seconds = cluster.measure_cpu(REST_SECONDS)
        network = cluster.world.network
        others = [name for name in cluster.names if name != cluster.leader]
        return {
            "cpu": seconds / REST_SECONDS / count * 1000,
            "leader messages": network.sent_messages[cluster.leader] / REST_SECONDS,
            "leader bytes": network.sent_bytes[cluster.leader] / REST_SECONDS,
            "messages": sum(network.sent_messages[name] for name in others)
            / len(others)
            / REST_SECONDS,
            "bytes": sum(network.sent_bytes[name] for name in others)
            / len(others)
            / REST_SECONDS,
        }

    names = {
        "cpu": ("daemon at rest, decisions", "ms/s"),
        "leader messages": ("leader at rest, messages sent", "1/s"),
        "leader bytes": ("leader at rest, bytes sent", "B/s"),
        "messages": ("other daemon at rest, messages sent", "1/s"),
        "bytes": ("other daemon at rest, bytes sent", "B/s"),
    }
    return fit_all(collect_minima(sizes, measure), sizes, "daemons", names)


@measurement
def measure_in_force() -> list[Slope]:
    """Measure the propagation time of a folder change by the number of daemons."""
    sizes = (3, 7, 14, 27)

    def measure(count: int) -> dict[str, float]:
        cluster = SimulatedCluster(daemons=count)
        times = []
        for number in range(10):
            files = {"90-x.toml": f"[teams.team0]\nlimit = {number}"}
            begin = cluster.world.now
            command = ApplyFolder(number + 1, files)
            cluster.world.propose(cluster.leader, command)
            wanted = number + 2
            cluster.world.run_until(
                lambda wanted=wanted: min(_list_generations(cluster)) >= wanted,
                within=20.0,
            )
            times.append(cluster.world.now - begin)
            cluster.world.run(1.37)
        return {"seconds": max(times)}

    names = {"seconds": ("change in force everywhere, longest of ten", "s")}
    return fit_all(collect_minima(sizes, measure), sizes, "daemons", names)


def _list_generations(cluster: SimulatedCluster) -> list[int]:
    return [
        assembly.sections.configuration.generation
        for assembly in cluster.assemblies.values()
    ]


@measurement
def measure_targets() -> list[Slope]:
    """Measure a daemon that owns idle targets by the number of targets."""
    sizes = (10, 20, 40, 80)

    def measure(count: int) -> dict[str, float]:
        cluster = SimulatedCluster(daemons=3, data_centres=1)
        cluster.add_targets(count, "dc0")
        cluster.world.run(10.0)
        cluster.reset_counters()
        seconds = cluster.measure_cpu(REST_SECONDS)
        sent = sum(cluster.world.network.sent_bytes.values())
        return {
            "cpu": seconds / REST_SECONDS / 3 * 1000,
            "bytes": sent / REST_SECONDS / 3,
        }

    names = {
        "cpu": ("daemon of a data centre of three, idle targets, decisions", "ms/s"),
        "bytes": ("daemon of a data centre of three, idle targets, bytes sent", "B/s"),
    }
    return fit_all(collect_minima(sizes, measure), sizes, "targets", names)


@measurement
def measure_requests() -> list[Slope]:
    """Measure the processor time and traffic of requests by their rate."""
    sizes = (25, 50, 100, 200)

    def measure(rate: int) -> dict[str, float]:
        cluster = SimulatedCluster(daemons=3, data_centres=1, limit=200)
        cluster.add_targets(30, "dc0")
        cluster.world.run(5.0)
        cluster.reset_counters()
        cluster.reset_counters()
        for number in range(rate * 10):
            cluster.world.schedule(number / rate, lambda: _send_request(cluster))
        seconds = cluster.measure_cpu(10.0)
        ended = [call for call in cluster.world.calls.values() if call.payload]
        assert sum(call.ended for call in ended) >= 0.9 * len(ended)
        return {
            "cpu": seconds / 10.0 / 3 * 1000,
            "bytes": sum(cluster.world.network.sent_bytes.values()) / 10.0 / 3,
        }

    names = {
        "cpu": ("daemon of three, requests, decisions", "ms/s"),
        "bytes": ("daemon of three, requests, bytes sent", "B/s"),
    }
    return fit_all(
        collect_minima(sizes, measure), sizes, "requests/s over three", names
    )


def _send_request(cluster: SimulatedCluster) -> None:
    call = SubmitRequest(queue="queue0", repeatable=True)
    cluster.world.call(call, credential=KEY, payload=b"x" * 200)


@measurement
def measure_workers() -> list[Slope]:
    """Measure idle workers that report every second by their number."""
    sizes = (200, 400, 800, 1600)

    def measure(count: int) -> dict[str, float]:
        cluster = SimulatedCluster(daemons=3, instances=count)
        cluster.world.run(30.0)
        cluster.reset_counters()
        seconds = cluster.measure_cpu(REST_SECONDS)
        parts = {
            part.name: part for part in cluster.assemblies[cluster.leader].node._parts
        }
        now = cluster.world.now
        return {
            "cpu": seconds / REST_SECONDS * 1000,
            "pools": measure_cpu(lambda: parts["pools"].advance(now)) * 1000,
            "jobs": measure_cpu(lambda: parts["jobs"].advance(now)) * 1000,
            "waves": measure_cpu(lambda: parts["waves"].advance(now)) * 1000,
            "bytes": sum(cluster.world.network.sent_bytes.values()) / REST_SECONDS,
        }

    names = {
        "cpu": ("three daemons, idle workers, decisions and stand-in platform", "ms/s"),
        "pools": ("leader, one pass over the pools", "ms"),
        "jobs": ("leader, one pass of the scheduler without jobs", "ms"),
        "waves": ("leader, one pass over the waves without a wave", "ms"),
        "bytes": ("three daemons, worker reports passed on, bytes sent", "B/s"),
    }
    return fit_all(collect_minima(sizes, measure), sizes, "workers", names)


@measurement
def measure_running_jobs() -> list[Slope]:
    """Measure running jobs, with their lease renewals, by their number."""
    sizes = (100, 200, 400, 800)

    def measure(count: int) -> dict[str, float]:
        cluster = SimulatedCluster(daemons=3, instances=200, limit=100_000)
        cluster.world.run(30.0)
        cluster.reset_counters()
        cluster.world.run(REST_SECONDS)
        idle = sum(cluster.world.network.sent_bytes.values())
        for number in range(count):
            job = SubmitJob(
                job_id=f"job-{number}",
                queue=f"queue{number % 2}",
                team="team0",
                command="run 100000",
            )
            cluster.world.propose(cluster.leader, job)
            cluster.world.run(PAUSE_SECONDS)
        cluster.world.run(40.0)
        jobs = cluster.assemblies[cluster.leader].sections.jobs
        assert len(jobs.list_in_progress()) == count
        before = cluster.assemblies[cluster.leader].state.applied
        cluster.reset_counters()
        seconds = cluster.measure_cpu(REST_SECONDS)
        entries = cluster.assemblies[cluster.leader].state.applied - before
        sent = sum(cluster.world.network.sent_bytes.values()) - idle
        return {
            "cpu": seconds / REST_SECONDS * 1000,
            "entries": entries / REST_SECONDS,
            "bytes": sent / REST_SECONDS,
        }

    names = {
        "cpu": ("three daemons, running jobs, decisions and stand-in platform", "ms/s"),
        "entries": ("running jobs, log entries", "1/s"),
        "bytes": ("three daemons, running jobs, bytes sent", "B/s"),
    }
    return fit_all(collect_minima(sizes, measure), sizes, "running jobs", names)


@measurement
def measure_active_teams() -> list[Slope]:
    """Measure the transfer of quota portions by the number of intermittent teams."""
    sizes = (10, 20, 40, 80)

    def measure(count: int) -> dict[str, float]:
        cluster = SimulatedCluster(daemons=3, data_centres=1, teams=count)
        cluster.add_targets(30, "dc0")
        for number in range(count):
            name = f"key{number}"
            record = _make_record(name, f"team{number}")
            cluster.world.propose(cluster.leader, GiveKey(record))
        cluster.world.run(5.0)
        before = cluster.assemblies[cluster.leader].state.applied
        cluster.reset_counters()
        for number in range(count):
            for interval in range(4):
                cluster.world.schedule(
                    5.0 * interval + 5.0 * number / count,
                    lambda number=number: cluster.world.call(
                        SubmitRequest(queue="queue0"),
                        credential=f"key{number}.secret",
                        payload=b"x",
                    ),
                )
        seconds = cluster.measure_cpu(REST_SECONDS)
        entries = cluster.assemblies[cluster.leader].state.applied - before
        return {
            "entries": entries / REST_SECONDS,
            "cpu": seconds / REST_SECONDS / 3 * 1000,
        }

    names = {
        "entries": ("log entries, each team sending once in 5 s", "1/s"),
        "cpu": ("daemon of three, each team sending once in 5 s, decisions", "ms/s"),
    }
    return fit_all(collect_minima(sizes, measure), sizes, "teams", names)


def _make_record(key_id: str, team: str) -> KeyRecord:
    return KeyRecord(
        key_id, team, False, [], 0.0, b"salt", hash_secret("secret", b"salt")
    )


@measurement
def measure_datagrams() -> list[Slope]:
    """Measure sending and receiving a datagram by its size."""
    sizes = (50, 200, 500, 1000)

    class Blob(msgspec.Struct, frozen=True, tag=True):
        content: bytes

    codec = PeerCodec([Blob], b"secret")

    def measure(size: int) -> dict[str, float]:
        first = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        second = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        second.bind(("127.0.0.1", 0))
        address = second.getsockname()

        def exchange() -> None:
            for number in range(DATAGRAMS):
                body = codec.encode_body(Blob(b"x" * size), stream=False)
                envelope = Envelope("a", 1, "b", number, Timestamp(1, 0), body)
                first.sendto(codec.encode_datagram(envelope), address)
                codec.decode_datagram(second.recv(65_536))

        seconds = measure_cpu(exchange)
        first.close()
        second.close()
        return {"cpu": seconds / DATAGRAMS * 1000}

    names = {"cpu": ("one datagram, both ends, without a runtime", "ms")}
    return fit_all(collect_minima(sizes, measure), sizes, "bytes", names)
