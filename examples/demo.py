"""Demo of a scaled-down Hanbit system on real processes.

Runs two data centres with three daemons, targets as separate processes and a fake
platform. Exits with 1 and names the broken promises if there are any.
"""

import re
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path

from rich.console import Console

from examples._callers import Callers
from examples._local_cluster import (
    OPERATOR_KEY,
    LocalCluster,
    allocate_daemon,
    apply_folder,
    find_free_port,
    wait_until,
)
from examples._report import (
    Report,
    check_executions,
    count_executions,
    find_max_running,
)
from gypsumwalk.drivers.client import OperatorClient

FOLDER = Path(__file__).parent / "demo" / "folder"
SLOTS = 8
REQUESTS = 60
SLOW_REQUESTS = 6
SLOW_SECONDS = 2.0
JOBS = 4
JOB_SECONDS = 1.0
WAVE_SECONDS = 40.0
WITHDRAWAL_SECONDS = 5.0
POLL_SECONDS = 0.1
HTTP_OK = 200
LOG_CHARACTERS = 1500
FONT_FACE = re.compile(r"@font-face \{.*?\}\s*", re.DOTALL)


class Demo:
    """The steps of the demo.

    Parameters
    ----------
    cluster : LocalCluster
        Cluster to run the demo on.
    console : Console
        Console for progress messages.
    """

    def __init__(self, cluster: LocalCluster, console: Console) -> None:
        self.report = Report()
        self._cluster = cluster
        self._console = console
        addresses = [daemon.peer_address for daemon in cluster.daemons]
        self._operator = OperatorClient(addresses, key=OPERATOR_KEY)
        self._caller_addresses = [daemon.caller_address for daemon in cluster.daemons]
        self._callers = Callers(cluster.daemons)
        self._keys: dict[str, tuple[str, str]] = {}
        self._max_unavailable: dict[str, int] = {}
        self._watch_stopped = threading.Event()

    def run(self) -> None:
        """Run every step, and check the executions at the end."""
        steps: list[tuple[str, Callable[[], None]]] = [
            ("starting daemons, targets and the platform", self._start),
            ("applying the folder and issuing keys", self._configure),
            ("sending requests", self._send_requests),
            ("running jobs", self._run_jobs),
            ("running a maintenance wave", self._run_wave),
            ("withdrawing a key", self._withdraw_key),
            ("shutting a daemon down under load", self._shut_down_daemon),
        ]
        for description, step in steps:
            started = time.monotonic()
            step()
            self._console.print(f"{description}: {time.monotonic() - started:.1f} s")
        self._check_executions()

    def _start(self) -> None:
        cluster = self._cluster
        cluster.start_platform()
        for daemon in cluster.daemons:
            cluster.start_daemon(daemon)
        for data_centre in ("seoul", "busan"):
            for service in ("seat-holds", "rebuilds"):
                cluster.start_target(f"{service}-{data_centre}", data_centre, service)
        seconds = cluster.await_daemons()
        self.report.measure("three daemons ready", f"{seconds:.2f} s")

    def _configure(self) -> None:
        text = (FOLDER / "50-instances.toml").read_text()
        names = list(tomllib.loads(text)["instances"])
        wait_until(
            lambda: self._cluster.add_instances(names),
            "the platform to accept instances",
            10.0,
        )
        started = time.monotonic()
        generation = apply_folder(self._operator, FOLDER)
        wait_until(
            lambda: self._read_generations() == {generation},
            "the folder to be in force everywhere",
            14.0,
        )
        seconds = time.monotonic() - started
        self.report.measure("folder in force everywhere", f"{seconds:.2f} s")
        for team in ("gabbaim", "pledges"):
            body = {"team": team}
            given = self._operator.call(
                "POST", "/v1/keys/give", body, idempotent=False
            ).decode()
            self._keys[team] = (given["key_id"], given["key"])
        _, key = self._keys["gabbaim"]
        wait_until(
            lambda: (
                self._callers.send_many(6, queue="holds", key=key)[-1].status == HTTP_OK
            ),
            "a successful answer",
            10.0,
        )

    def _read_generations(self) -> set[int]:
        generations = set()
        for daemon in self._cluster.daemons:
            client = OperatorClient([daemon.peer_address], key=OPERATOR_KEY)
            status = client.call("GET", "/v1/status", idempotent=True).decode()
            generations.add(status["generation"])
        return generations

    def _send_requests(self) -> None:
        _, key = self._keys["gabbaim"]
        started = time.monotonic()
        sent = self._callers.send_many(REQUESTS, queue="holds", key=key)
        seconds = time.monotonic() - started
        answered = [item for item in sent if item.status == HTTP_OK]
        matching = [item for item in answered if item.is_own_answer]
        self.report.check(
            "a caller gets the whole answer to its own request",
            len(matching) == REQUESTS,
            f"{len(matching)} of {REQUESTS}, over three daemons",
        )
        self.report.measure("60 requests", f"{seconds:.2f} s")

    def _run_jobs(self) -> None:
        _, key = self._keys["gabbaim"]
        client = OperatorClient(self._caller_addresses, key=key)
        for number in range(JOBS):
            job = {
                "job_id": f"rebuild-{number}",
                "queue": "chart-rebuilds",
                "run_seconds": JOB_SECONDS,
                "command": f"run {JOB_SECONDS}",
                "processors": 4.0,
                "memory_gb": 8.0,
                "repeatable": True,
            }
            client.call("POST", "/v1/jobs/submit", job, idempotent=True)

        def count_succeeded() -> int:
            states = [
                client.call(
                    "GET", f"/v1/jobs/rebuild-{number}", idempotent=True
                ).decode()["state"]
                for number in range(JOBS)
            ]
            return states.count("succeeded")

        seconds = wait_until(
            lambda: count_succeeded() == JOBS, "all jobs to succeed", 20.0
        )
        self.report.measure(f"{JOBS} jobs", f"{seconds:.2f} s")

    def _run_wave(self) -> None:
        watcher = threading.Thread(target=self._watch_pools, daemon=True)
        watcher.start()
        started = time.monotonic()
        self._operator.call(
            "POST", "/v1/waves/start", {"name": "kernel"}, idempotent=True
        )
        wait_until(
            lambda: self._read_wave()["state"] == "finished",
            "the wave to finish",
            WAVE_SECONDS,
        )
        seconds = time.monotonic() - started
        self._watch_stopped.set()
        watcher.join()
        wave = self._read_wave()
        budgets = tomllib.loads((FOLDER / "20-pools.toml").read_text())["pools"]
        is_within_budget = all(
            most <= budgets[pool]["max_unavailable"]
            for pool, most in self._max_unavailable.items()
        )
        self.report.check(
            "every pool's availability budget holds through the wave",
            is_within_budget and wave["done"] == wave["instances"],
            f"{wave['done']} of {wave['instances']} instances, "
            f"most unavailable {self._max_unavailable}",
        )
        bound = wave["lower_bound_seconds"]
        self.report.measure(
            "roll-out over its lower bound", f"{seconds:.1f} s / {bound:.1f} s"
        )

    def _read_wave(self) -> dict[str, int | float | str]:
        reply = self._operator.call("GET", "/v1/waves/kernel", idempotent=True)
        wave: dict[str, int | float | str] = reply.decode()
        return wave

    def _watch_pools(self) -> None:
        client = OperatorClient(
            [daemon.peer_address for daemon in self._cluster.daemons], key=OPERATOR_KEY
        )
        pools_by_instance: dict[str, set[str]] = {}
        while not self._watch_stopped.wait(POLL_SECONDS):
            pools = client.call("GET", "/v1/pools", idempotent=True).decode()["pools"]
            for pool in pools:
                most = self._max_unavailable.get(pool["name"], 0)
                self._max_unavailable[pool["name"]] = max(most, pool["unavailable"])
                for instance in pool["instances"]:
                    pools_by_instance.setdefault(instance, set()).add(pool["name"])
            listed = [name for pool in pools for name in pool["instances"]]
            if len(listed) != len(set(listed)):
                self.report.check("one pool per instance", False, str(listed))
        self.report.check(
            "an instance belongs to exactly one pool",
            bool(pools_by_instance),
            f"{len(pools_by_instance)} instances, in every poll",
        )

    def _withdraw_key(self) -> None:
        key_id, key = self._keys["pledges"]
        before = self._callers.send(self._cluster.daemons[0], queue="holds", key=key)
        started = time.monotonic()
        self._operator.call(
            "POST", "/v1/keys/withdraw", {"key_id": key_id}, idempotent=True
        )

        def is_refused_everywhere() -> bool:
            return all(
                self._callers.send(daemon, queue="holds", key=key).status != HTTP_OK
                for daemon in self._cluster.daemons
            )

        wait_until(is_refused_everywhere, "every daemon to refuse the key", 20.0)
        seconds = time.monotonic() - started
        self.report.check(
            "a withdrawn key stops working within seconds",
            before.status == HTTP_OK and seconds <= WITHDRAWAL_SECONDS,
            f"refused by every daemon after {seconds:.2f} s",
        )

    def _shut_down_daemon(self) -> None:
        leaving = self._cluster.daemons[-1]
        _, key = self._keys["gabbaim"]
        callers = Callers([leaving])
        thread = threading.Thread(
            target=callers.send_many,
            args=(SLOW_REQUESTS,),
            kwargs={"queue": "holds", "key": key, "work_seconds": SLOW_SECONDS},
        )
        before = sum(count_executions(self._cluster.executions).values())
        thread.start()
        wait_until(
            lambda: (
                sum(count_executions(self._cluster.executions).values())
                >= before + SLOW_REQUESTS
            ),
            "the slow requests to start",
            10.0,
        )
        code = self._cluster.stop(leaving.name)
        thread.join()
        complete = [item for item in callers.sent if item.is_own_answer]
        self.report.check(
            "a graceful shutdown cuts no request in progress",
            len(complete) == SLOW_REQUESTS and code == 0,
            f"{len(complete)} of {SLOW_REQUESTS} answered whole, exit code {code}",
        )
        self._callers.sent += callers.sent
        remaining_daemons = self._cluster.daemons[:-1]
        remaining_callers = Callers(remaining_daemons)
        sent = remaining_callers.send_many(6, queue="holds", key=key)
        self._callers.sent += remaining_callers.sent
        self.report.check(
            "the others go on",
            all(item.is_own_answer for item in sent),
            f"{sum(item.is_own_answer for item in sent)} of 6 answered",
        )

    def _check_executions(self) -> None:
        files = self._cluster.executions
        check_executions(self.report, self._callers.sent, count_executions(files))
        most = find_max_running(files)
        self.report.check(
            "slots of a target are not exceeded",
            most <= SLOTS,
            f"at most {most} of {SLOTS} at once",
        )


def show_logs(cluster: LocalCluster, console: Console) -> None:
    """Print the tail of every process's log."""
    for path in sorted(cluster.folder.glob("*.log")):
        text = path.read_text()[-LOG_CHARACTERS:]
        console.print(f"{path.name}\n{text}", markup=False, highlight=False)


def main(picture: str = "") -> int:
    """Run the demo.

    Parameters
    ----------
    picture : str
        SVG file to write the report to; none if empty.

    Returns
    -------
    int
        Exit code: 1 if a promise was broken.
    """
    console = Console(width=100, record=True)
    daemons = [
        allocate_daemon("seoul-1", "seoul"),
        allocate_daemon("seoul-2", "seoul"),
        allocate_daemon("busan-1", "busan"),
    ]
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        cluster = LocalCluster(Path(folder), daemons, find_free_port())
        demo = Demo(cluster, console)
        try:
            demo.run()
        except Exception:
            show_logs(cluster, console)
            raise
        finally:
            cluster.stop_all()
    demo.report.measure("whole demo", f"{time.monotonic() - started:.1f} s")
    _ = console.export_text()
    demo.report.print(console)
    if picture:
        drawing = console.export_svg(title="gypsumwalk demo")
        Path(picture).write_text(FONT_FACE.sub("", drawing))
    for finding in demo.report.broken:
        console.print(f"[bold red]broken promise:[/] {finding.promise}")
    return 1 if demo.report.broken else 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:2]))
