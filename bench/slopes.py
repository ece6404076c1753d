"""Measures how cost grows with size, with small stand-ins on a paused clock.

``python -m bench.slopes`` writes docs/measurements/slopes.json and slopes.md, from
which ``python -m bench.capacity`` works docs/CAPACITY.md out.
"""

import gc
import json
import os
import platform
import resource
import socket
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec

from bench._fit import Slope, fit
from bench._worlds import KEY, Stand, make_files
from gypsumwalk.generations import ApplyFolder, ConfigurationSection
from gypsumwalk.jobs import JobSection, SubmitJob
from gypsumwalk.key_table import GiveKey, KeyRecord, KeySection, hash_secret
from gypsumwalk.pools import PoolSection, ReconcileInstances
from gypsumwalk.portion_accounts import AskPortion, Holder, PortionSection
from gypsumwalk.submissions import SubmitRequest
from gypsumwalk.timestamps import Timestamp
from gypsumwalk.wire import Envelope, PeerCodec

FOLDER = Path(__file__).parent.parent / "docs" / "measurements"
REST_SECONDS = 20.0
PAUSE_SECONDS = 0.02
COMMAND = "make slopes"
RUNS = 3
"""Runs at every size, of which the least counts: others use the machine too."""
DATAGRAMS = 4_000
IMPORT_ALL = """\
import importlib, pkgutil
import gypsumwalk.assembly, gypsumwalk.drivers
for module in pkgutil.iter_modules(gypsumwalk.drivers.__path__):
    importlib.import_module(f"gypsumwalk.drivers.{module.name}")
for line in open("/proc/self/status"):
    if line.startswith("VmRSS"):
        print(int(line.split()[1]) / 1024)
"""

MEASUREMENTS: list[Callable[[], list[Slope]]] = []


def measurement(function: Callable[[], list[Slope]]) -> Callable[[], list[Slope]]:
    """Register a measurement."""
    MEASUREMENTS.append(function)
    return function


def _spend(action: Callable[[], Any], repeats: int = 3) -> float:
    """Return the fewest processor seconds of a few runs."""
    best = float("inf")
    for _ in range(repeats):
        begin = time.process_time()
        action()
        best = min(best, time.process_time() - begin)
    return best


def _weigh(make: Callable[[], Any]) -> tuple[Any, float]:
    """Return what is made, and the kilobytes that it holds."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return made, held / 1024


def _collect(
    sizes: Sequence[int], measure: Callable[[int], dict[str, float]]
) -> dict[str, list[float]]:
    """Return each value's least of a few runs, at every size."""
    columns: dict[str, list[float]] = {}
    for size in sizes:
        runs = [measure(size) for _ in range(RUNS)]
        for name in runs[0]:
            columns.setdefault(name, []).append(min(run[name] for run in runs))
    return columns


def _fit_all(
    columns: dict[str, list[float]],
    sizes: Sequence[int],
    size: str,
    names: dict[str, tuple[str, str]],
) -> list[Slope]:
    return [
        fit(names[key][0], size, names[key][1], sizes, values)
        for key, values in columns.items()
    ]


@measurement
def measure_daemons() -> list[Slope]:
    """Measure daemons at rest against their number."""
    sizes = (3, 6, 12, 18, 27)

    def measure(count: int) -> dict[str, float]:
        stand = Stand(daemons=count)
        stand.world.run(10.0)
        stand.reset_counters()
        seconds = stand.spend(REST_SECONDS)
        network = stand.world.network
        others = [name for name in stand.names if name != stand.leader]
        return {
            "cpu": seconds / REST_SECONDS / count * 1000,
            "leader messages": network.sent_messages[stand.leader] / REST_SECONDS,
            "leader bytes": network.sent_bytes[stand.leader] / REST_SECONDS,
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
    return _fit_all(_collect(sizes, measure), sizes, "daemons", names)


@measurement
def measure_in_force() -> list[Slope]:
    """Measure the time until a change is in force everywhere against the daemons."""
    sizes = (3, 7, 14, 27)

    def measure(count: int) -> dict[str, float]:
        stand = Stand(daemons=count)
        times = []
        for number in range(10):
            files = {"90-x.toml": f"[teams.team0]\nlimit = {number}"}
            begin = stand.world.now
            command = ApplyFolder(number + 1, files)
            stand.world.propose(stand.leader, command)
            wanted = number + 2
            stand.world.run_until(
                lambda wanted=wanted: min(_list_generations(stand)) >= wanted,
                within=20.0,
            )
            times.append(stand.world.now - begin)
            stand.world.run(1.37)
        return {"seconds": max(times)}

    names = {"seconds": ("change in force everywhere, longest of ten", "s")}
    return _fit_all(_collect(sizes, measure), sizes, "daemons", names)


def _list_generations(stand: Stand) -> list[int]:
    return [
        assembly.sections.configuration.generation
        for assembly in stand.assemblies.values()
    ]


@measurement
def measure_targets() -> list[Slope]:
    """Measure a daemon that owns idle targets against their number."""
    sizes = (10, 20, 40, 80)

    def measure(count: int) -> dict[str, float]:
        stand = Stand(daemons=3, data_centres=1)
        base = stand.spend(REST_SECONDS)
        stand.reset_counters()
        stand.add_targets(count, "dc0")
        stand.world.run(10.0)
        stand.reset_counters()
        seconds = stand.spend(REST_SECONDS) - base
        sent = sum(stand.world.network.sent_bytes.values())
        return {
            "cpu": seconds / REST_SECONDS / 3 * 1000,
            "bytes": sent / REST_SECONDS / 3,
        }

    names = {
        "cpu": ("daemon of a data centre of three, idle targets, decisions", "ms/s"),
        "bytes": ("daemon of a data centre of three, idle targets, bytes sent", "B/s"),
    }
    return _fit_all(_collect(sizes, measure), sizes, "targets", names)


@measurement
def measure_requests() -> list[Slope]:
    """Measure the processor time of requests against their rate."""
    sizes = (25, 50, 100, 200)

    def measure(rate: int) -> dict[str, float]:
        stand = Stand(daemons=3, data_centres=1, limit=200)
        stand.add_targets(30, "dc0")
        stand.world.run(5.0)
        stand.reset_counters()
        base = stand.spend(10.0)
        stand.reset_counters()
        for number in range(rate * 10):
            stand.world.schedule(number / rate, lambda: _send_request(stand))
        seconds = stand.spend(10.0) - base
        ended = [call for call in stand.world.calls.values() if call.payload]
        assert sum(call.ended for call in ended) >= 0.9 * len(ended)
        return {
            "cpu": seconds / 10.0 / 3 * 1000,
            "bytes": sum(stand.world.network.sent_bytes.values()) / 10.0 / 3,
        }

    names = {
        "cpu": ("daemon of three, requests, decisions", "ms/s"),
        "bytes": ("daemon of three, requests, bytes sent", "B/s"),
    }
    return _fit_all(_collect(sizes, measure), sizes, "requests/s over three", names)


def _send_request(stand: Stand) -> None:
    call = SubmitRequest(queue="queue0", repeatable=True)
    stand.world.call(call, credential=KEY, payload=b"x" * 200)


@measurement
def measure_workers() -> list[Slope]:
    """Measure idle workers that report every second against their number."""
    sizes = (200, 400, 800, 1600)

    def measure(count: int) -> dict[str, float]:
        stand = Stand(daemons=3, instances=count)
        stand.world.run(30.0)
        stand.reset_counters()
        seconds = stand.spend(REST_SECONDS)
        parts = {part.name: part for part in stand.assemblies[stand.leader].node._parts}
        now = stand.world.now
        return {
            "cpu": seconds / REST_SECONDS * 1000,
            "pools": _spend(lambda: parts["pools"].advance(now)) * 1000,
            "jobs": _spend(lambda: parts["jobs"].advance(now)) * 1000,
            "waves": _spend(lambda: parts["waves"].advance(now)) * 1000,
            "bytes": sum(stand.world.network.sent_bytes.values()) / REST_SECONDS,
        }

    names = {
        "cpu": ("three daemons, idle workers, decisions and stand-in platform", "ms/s"),
        "pools": ("leader, one pass over the pools", "ms"),
        "jobs": ("leader, one pass of the scheduler without jobs", "ms"),
        "waves": ("leader, one pass over the waves without a wave", "ms"),
        "bytes": ("three daemons, worker reports passed on, bytes sent", "B/s"),
    }
    return _fit_all(_collect(sizes, measure), sizes, "workers", names)


@measurement
def measure_running_jobs() -> list[Slope]:
    """Measure jobs that run under leases against their number."""
    sizes = (100, 200, 400, 800)

    def measure(count: int) -> dict[str, float]:
        stand = Stand(daemons=3, instances=200, limit=100_000)
        stand.world.run(30.0)
        base = stand.spend(REST_SECONDS)
        stand.reset_counters()
        stand.world.run(REST_SECONDS)
        idle = sum(stand.world.network.sent_bytes.values())
        for number in range(count):
            job = SubmitJob(
                job_id=f"job-{number}",
                queue=f"queue{number % 2}",
                team="team0",
                command="run 100000",
            )
            stand.world.propose(stand.leader, job)
            stand.world.run(PAUSE_SECONDS)
        stand.world.run(40.0)
        jobs = stand.assemblies[stand.leader].sections.jobs
        assert len(jobs.in_progress()) == count
        before = stand.assemblies[stand.leader].state.applied
        stand.reset_counters()
        seconds = stand.spend(REST_SECONDS) - base
        entries = stand.assemblies[stand.leader].state.applied - before
        sent = sum(stand.world.network.sent_bytes.values()) - idle
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
    return _fit_all(_collect(sizes, measure), sizes, "running jobs", names)


@measurement
def measure_folder() -> list[Slope]:
    """Measure the folder against the instances in it."""
    sizes = (400, 800, 1600, 3200, 6400)

    def measure(count: int) -> dict[str, float]:
        files = make_files(instances=count, teams=540, limit=10)
        section, kilobytes = _weigh(lambda: _make_folder(files))
        change = ApplyFolder(1, {"90-x.toml": "[teams.team0]\nlimit = 11"})
        begin = time.process_time()
        section.apply(change, 2, 0.0)
        changed = time.process_time() - begin
        return {
            "memory": kilobytes,
            "whole": _spend(lambda: _make_folder(files)) * 1000,
            "change": changed * 1000,
            "text": sum(map(len, files.values())) / 1024,
        }

    names = {
        "memory": ("folder in force, memory", "KB"),
        "whole": ("folder applied as a whole, processor time", "ms"),
        "change": ("folder changed by one small file, processor time", "ms"),
        "text": ("folder, text", "KB"),
    }
    return _fit_all(_collect(sizes, measure), sizes, "instances", names)


def _make_folder(files: dict[str, str]) -> ConfigurationSection:
    section = ConfigurationSection()
    section.apply(ApplyFolder(0, files, whole=True), 1, 0.0)
    return section


@measurement
def measure_files() -> list[Slope]:
    """Measure a change against the files that the folder has come to hold."""
    sizes = (100, 400, 900, 1800)

    def measure(count: int) -> dict[str, float]:
        files = make_files(instances=400, teams=100, limit=10)
        files |= {
            f"70-{number:05}.toml": f"[teams.team{number % 100}]\nlimit = {number}"
            for number in range(count)
        }
        section = _make_folder(files)
        change = ApplyFolder(1, {"90-x.toml": "[teams.team0]\nlimit = 11"})
        begin = time.process_time()
        section.apply(change, 2, 0.0)
        changed = time.process_time() - begin
        return {"change": changed * 1000, "dump": len(section.dump()) / 1024}

    names = {
        "change": ("folder of many files changed by one, processor time", "ms"),
        "dump": ("folder of many files, snapshot", "KB"),
    }
    return _fit_all(_collect(sizes, measure), sizes, "files", names)


@measurement
def measure_instances() -> list[Slope]:
    """Measure the records of instances against their number."""
    sizes = (400, 800, 1600, 3200, 6400)

    def measure(count: int) -> dict[str, float]:
        folder = _make_folder(make_files(instances=count, teams=1, limit=10))
        pools, kilobytes = _weigh(lambda: _make_pools(folder))
        return {
            "memory": kilobytes,
            "dump": len(pools.dump()) / 1024,
            "seconds": _spend(pools.dump) * 1000,
        }

    names = {
        "memory": ("records of instances, memory", "KB"),
        "dump": ("records of instances, snapshot", "KB"),
        "seconds": ("records of instances, making a snapshot", "ms"),
    }
    return _fit_all(_collect(sizes, measure), sizes, "instances", names)


def _make_pools(folder: ConfigurationSection) -> PoolSection:
    pools = PoolSection(folder)
    pools.apply(ReconcileInstances(1), 2, 0.0)
    return pools


@measurement
def measure_jobs() -> list[Slope]:
    """Measure the records of waiting jobs against their number."""
    sizes = (1000, 2000, 4000, 8000)

    def measure(count: int) -> dict[str, float]:
        folder = _make_folder(make_files(instances=100, teams=1, limit=10))
        jobs, kilobytes = _weigh(lambda: _make_jobs(folder, count))
        return {
            "memory": kilobytes,
            "dump": len(jobs.dump()) / 1024,
            "seconds": _spend(jobs.dump) * 1000,
        }

    names = {
        "memory": ("records of jobs, memory", "KB"),
        "dump": ("records of jobs, snapshot", "KB"),
        "seconds": ("records of jobs, making a snapshot", "ms"),
    }
    return _fit_all(_collect(sizes, measure), sizes, "jobs", names)


def _make_jobs(folder: ConfigurationSection, count: int) -> JobSection:
    jobs = JobSection(_make_pools(folder), PortionSection(folder), folder)
    fields = {item.name for item in msgspec.structs.fields(SubmitJob)}
    for number in range(count):
        values = {"job_id": f"job-{number}", "queue": "queue0", "team": "team0"}
        known = {name: value for name, value in values.items() if name in fields}
        jobs.apply(msgspec.convert(known, SubmitJob), number + 3, 0.0)
    return jobs


@measurement
def measure_teams() -> list[Slope]:
    """Measure keys and portions against the number of teams."""
    sizes = (60, 120, 240, 540)

    def measure(count: int) -> dict[str, float]:
        folder = _make_folder(make_files(instances=0, teams=count, limit=1000))
        keys, key_memory = _weigh(lambda: _make_keys(count))
        portions, portion_memory = _weigh(lambda: _make_portions(folder, count))
        return {
            "keys": key_memory,
            "key dump": len(keys.dump()) / 1024,
            "portions": portion_memory,
            "portion dump": len(portions.dump()) / 1024,
        }

    names = {
        "keys": ("two keys for each team, memory", "KB"),
        "key dump": ("two keys for each team, snapshot", "KB"),
        "portions": ("portions of 27 daemons, memory", "KB"),
        "portion dump": ("portions of 27 daemons, snapshot", "KB"),
    }
    return _fit_all(_collect(sizes, measure), sizes, "teams", names)


def _make_keys(teams: int) -> KeySection:
    keys = KeySection()
    for number in range(2 * teams):
        record = KeyRecord(
            f"{number:016x}",
            f"team{number // 2}",
            False,
            [],
            0.0,
            number.to_bytes(16, "big"),
            number.to_bytes(32, "big"),
        )
        keys.apply(GiveKey(record), number + 1, 0.0)
    return keys


def _make_portions(folder: ConfigurationSection, teams: int) -> PortionSection:
    portions = PortionSection(folder)
    index = 0
    for daemon in range(27):
        for team in range(teams):
            index += 1
            ask = AskPortion(Holder(f"daemon-{daemon}", 1), f"team{team}", 1)
            portions.apply(ask, index, 0.0)
    return portions


@measurement
def measure_active_teams() -> list[Slope]:
    """Measure what moving portions costs against teams that send now and then."""
    sizes = (10, 20, 40, 80)

    def measure(count: int) -> dict[str, float]:
        stand = Stand(daemons=3, data_centres=1, teams=count)
        stand.add_targets(30, "dc0")
        for number in range(count):
            name = f"key{number}"
            record = _make_record(name, f"team{number}")
            stand.world.propose(stand.leader, GiveKey(record))
        stand.world.run(5.0)
        base = stand.spend(REST_SECONDS)
        before = stand.assemblies[stand.leader].state.applied
        stand.reset_counters()
        for number in range(count):
            for beat in range(4):
                stand.world.schedule(
                    5.0 * beat + 5.0 * number / count,
                    lambda number=number: stand.world.call(
                        SubmitRequest(queue="queue0"),
                        credential=f"key{number}.secret",
                        payload=b"x",
                    ),
                )
        seconds = stand.spend(REST_SECONDS) - base
        entries = stand.assemblies[stand.leader].state.applied - before
        return {
            "entries": entries / REST_SECONDS,
            "cpu": seconds / REST_SECONDS / 3 * 1000,
        }

    names = {
        "entries": ("log entries, each team sending once in 5 s", "1/s"),
        "cpu": ("daemon of three, each team sending once in 5 s, decisions", "ms/s"),
    }
    return _fit_all(_collect(sizes, measure), sizes, "teams", names)


def _make_record(key_id: str, team: str) -> KeyRecord:
    return KeyRecord(
        key_id, team, False, [], 0.0, b"salt", hash_secret("secret", b"salt")
    )


@measurement
def measure_log() -> list[Slope]:
    """Measure the recovery of a daemon against the changes since the beginning."""
    sizes = (250, 500, 1000, 2000)

    def measure(count: int) -> dict[str, float]:
        stand = Stand(daemons=3)
        for number in range(count):
            files = {"90-x.toml": f"[teams.team0]\nlimit = {number}"}
            command = ApplyFolder(number + 1, files)
            stand.world.propose(stand.leader, command)
            stand.world.run(PAUSE_SECONDS)
        stand.world.run(1.0)
        name = stand.names[0]
        disk = stand.world.daemons[name].disk
        recovered = disk.recover()
        seconds = _spend(lambda: stand._build(name, recovered, 2), repeats=2)
        return {"recovery": seconds * 1000, "disk": disk.size() / 1024}

    names = {
        "recovery": ("voter, recovery from its disk, processor time", "ms"),
        "disk": ("voter, bytes on its disk", "KB"),
    }
    return _fit_all(_collect(sizes, measure), sizes, "changes", names)


@measurement
def measure_datagrams() -> list[Slope]:
    """Measure a datagram between two sockets, both ends, against its size."""
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

        seconds = _spend(exchange)
        first.close()
        second.close()
        return {"cpu": seconds / DATAGRAMS * 1000}

    names = {"cpu": ("one datagram, both ends, without a runtime", "ms")}
    return _fit_all(_collect(sizes, measure), sizes, "bytes", names)


def measure_resident() -> float:
    """Return the megabytes of a process that imported the daemon."""
    done = subprocess.run(
        [sys.executable, "-c", IMPORT_ALL], check=True, capture_output=True, text=True
    )
    return float(done.stdout)


def main() -> None:
    """Measure everything, and write the figures and a table."""
    slopes: list[Slope] = []
    for function in MEASUREMENTS:
        begin = time.monotonic()
        slopes += function()
        print(f"{function.__name__}: {time.monotonic() - begin:.1f} s", flush=True)
    report = {
        "command": COMMAND,
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "resident_mb": measure_resident(),
        "peak_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        "slopes": [slope.to_json() for slope in slopes],
    }
    FOLDER.mkdir(exist_ok=True)
    text = json.dumps(report, indent=1) + "\n"
    (FOLDER / "slopes.json").write_text(text, encoding="utf-8")
    (FOLDER / "slopes.md").write_text(render_table(report), encoding="utf-8")


def render_table(report: dict[str, Any]) -> str:
    """Return the measurements as a page."""
    lines = [
        "# Slopes",
        "",
        f"Measured by `{report['command']}` with Python {report['python']} on a "
        f"machine of {report['cores']} cores; the least of {RUNS} runs. Decisions are "
        "measured on a paused clock, with the encoding of their messages and without "
        "sockets, files and threads. The line is fitted by least squares; the residual "
        "is the largest distance from it, as a part of the largest value.",
        "",
        f"A process that imported the daemon holds {report['resident_mb']:.1f} MB.",
        "",
        "| what | sizes | values | slope | at size 0 | residual |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for item in report["slopes"]:
        sizes = ", ".join(f"{size:g}" for size in item["sizes"])
        values = ", ".join(f"{value:.4g}" for value in item["values"])
        lines.append(
            f"| {item['name']} | {item['size']}: {sizes} | {values} {item['unit']} | "
            f"{item['slope']:.4g} | {item['intercept']:.4g} | {item['residual']:.0%} |"
        )
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    main()
