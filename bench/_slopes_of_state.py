"""Cost of state: folder, records, keys, quota portions and the log."""

import time

import msgspec

from bench._fit import Slope
from bench._measuring import (
    PAUSE_SECONDS,
    collect_minima,
    fit_all,
    measure_cpu,
    measure_memory,
    measurement,
)
from bench._worlds import SimulatedCluster, make_files
from gypsumwalk.generations import ApplyFolder, ConfigurationSection
from gypsumwalk.jobs import JobSection, SubmitJob
from gypsumwalk.key_table import GiveKey, KeyRecord, KeySection
from gypsumwalk.pools import PoolSection, ReconcileInstances
from gypsumwalk.quota_accounts import AskPortion, Holder, PortionSection


@measurement
def measure_folder() -> list[Slope]:
    """Measure the folder by the number of its instances."""
    sizes = (400, 800, 1600, 3200, 6400)

    def measure(count: int) -> dict[str, float]:
        files = make_files(instances=count, teams=540, limit=10)
        section, kilobytes = measure_memory(lambda: _make_folder(files))
        change = ApplyFolder(1, {"90-x.toml": "[teams.team0]\nlimit = 11"})
        begin = time.process_time()
        section.apply(change, 2, 0.0)
        changed = time.process_time() - begin
        return {
            "memory": kilobytes,
            "whole": measure_cpu(lambda: _make_folder(files)) * 1000,
            "change": changed * 1000,
            "text": sum(map(len, files.values())) / 1024,
        }

    names = {
        "memory": ("folder in force, memory", "KB"),
        "whole": ("folder applied as a whole, processor time", "ms"),
        "change": ("folder changed by one small file, processor time", "ms"),
        "text": ("folder, text", "KB"),
    }
    return fit_all(collect_minima(sizes, measure), sizes, "instances", names)


def _make_folder(files: dict[str, str]) -> ConfigurationSection:
    section = ConfigurationSection()
    section.apply(ApplyFolder(0, files, whole=True), 1, 0.0)
    return section


@measurement
def measure_files() -> list[Slope]:
    """Measure a change of one file by the number of files in the folder."""
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
    return fit_all(collect_minima(sizes, measure), sizes, "files", names)


@measurement
def measure_instances() -> list[Slope]:
    """Measure instance records by their number."""
    sizes = (400, 800, 1600, 3200, 6400)

    def measure(count: int) -> dict[str, float]:
        folder = _make_folder(make_files(instances=count, teams=1, limit=10))
        pools, kilobytes = measure_memory(lambda: _make_pools(folder))
        return {
            "memory": kilobytes,
            "dump": len(pools.dump()) / 1024,
            "seconds": measure_cpu(pools.dump) * 1000,
        }

    names = {
        "memory": ("records of instances, memory", "KB"),
        "dump": ("records of instances, snapshot", "KB"),
        "seconds": ("records of instances, making a snapshot", "ms"),
    }
    return fit_all(collect_minima(sizes, measure), sizes, "instances", names)


def _make_pools(folder: ConfigurationSection) -> PoolSection:
    pools = PoolSection(folder)
    pools.apply(ReconcileInstances(1), 2, 0.0)
    return pools


@measurement
def measure_jobs() -> list[Slope]:
    """Measure records of waiting jobs by their number."""
    sizes = (1000, 2000, 4000, 8000)

    def measure(count: int) -> dict[str, float]:
        folder = _make_folder(make_files(instances=100, teams=1, limit=10))
        jobs, kilobytes = measure_memory(lambda: _make_jobs(folder, count))
        return {
            "memory": kilobytes,
            "dump": len(jobs.dump()) / 1024,
            "seconds": measure_cpu(jobs.dump) * 1000,
        }

    names = {
        "memory": ("records of jobs, memory", "KB"),
        "dump": ("records of jobs, snapshot", "KB"),
        "seconds": ("records of jobs, making a snapshot", "ms"),
    }
    return fit_all(collect_minima(sizes, measure), sizes, "jobs", names)


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
    """Measure API keys and quota portions by the number of teams."""
    sizes = (60, 120, 240, 540)

    def measure(count: int) -> dict[str, float]:
        folder = _make_folder(make_files(instances=0, teams=count, limit=1000))
        keys, key_memory = measure_memory(lambda: _make_keys(count))
        portions, portion_memory = measure_memory(lambda: _make_portions(folder, count))
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
    return fit_all(collect_minima(sizes, measure), sizes, "teams", names)


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
def measure_log() -> list[Slope]:
    """Measure the recovery of a voter by the number of changes committed so far."""
    sizes = (250, 500, 1000, 2000)

    def measure(count: int) -> dict[str, float]:
        cluster = SimulatedCluster(daemons=3)
        for number in range(count):
            files = {"90-x.toml": f"[teams.team0]\nlimit = {number}"}
            command = ApplyFolder(number + 1, files)
            cluster.world.propose(cluster.leader, command)
            cluster.world.run(PAUSE_SECONDS)
        cluster.world.run(1.0)
        name = cluster.names[0]
        disk = cluster.world.daemons[name].disk
        recovered = disk.recover()
        seconds = measure_cpu(lambda: cluster._build(name, recovered, 2), repeats=2)
        return {"recovery": seconds * 1000, "disk": disk.size() / 1024}

    names = {
        "recovery": ("voter, recovery from its disk, processor time", "ms"),
        "disk": ("voter, bytes on its disk", "KB"),
    }
    return fit_all(collect_minima(sizes, measure), sizes, "changes", names)
