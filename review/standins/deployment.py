"""Small deployment of the project's own programs, as separate processes."""

import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from review.standins.http import JsonServer, Reply, call
from review.standins.record import Record
from review.standins.runner import Runner

__all__ = ["CannotRun", "Deployment", "wait_until"]

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "jobs.example"
PREFIX = "/agenda/"
SERVICE = "agenda"
KEY = "sjnbanfqasnmgkcuyj8p"
START_SECONDS = 20.0
STOP_SECONDS = 8.0

SETTINGS = """\
node_name = "{name}"
role = "{role}"
machine_class = "{machine_class}"
serves = ["{serves}"]
ip = "{ip}"
zone = "{zone}"
region = "nordeste"
internal_port_range = [{port}, {last_port}]
seed_nodes = {seeds}
bootstrap = {bootstrap}
fault_counted = {counted}
{data_dir}
discovery = "registry"
entry = "vip"
heartbeat_ms = 1500
config_mode = "highest"
orders = "api_call"

[zones]
recife = "nordeste"
caruaru = "nordeste"
olinda = "nordeste"

[listen_addrs]
{listen}

[limits]
cpu_share = 0.752
cpu_cores = 2
memory_mb = 296
max_fds = 4096
link_mbps = 200.0
disk_mb = 128

[fault_tolerance]
machines = 1
zones = 1
regions = 0

[bounds]
seed_lag_s = 3
address_reuse_s = 2
contact_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
max_hold_ms = 10000
stop_grace_ms = 400
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
checkpoint_s = 0.5
restore_ms = 100
notice_ms = 4500
migrate_s = 1.5
maintenance_s = 2
require_fencing = true
lease_ms = 3000

[cloud_api]
address = "{cloud}"
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
"""

ZONES = ("recife", "caruaru", "olinda")


class CannotRun(Exception):
    """The case could not run, which says nothing about the rule."""


def wait_until(
    condition: Callable[[], Any], seconds: float, what: str, interval: float = 0.1
) -> Any:
    """Wait for a condition and return its value.

    Parameters
    ----------
    condition : Callable
        Returns a true value once it holds.
    seconds : float
        Longest time to wait.
    what : str
        Description for the error.
    interval : float
        Seconds between two checks.

    Returns
    -------
    object
        The value of the condition.

    Raises
    ------
    CannotRun
        If the condition does not hold in time.
    """
    end = time.monotonic() + seconds
    while not (value := condition()):
        if time.monotonic() > end:
            raise CannotRun(f"not in {seconds} s: {what}")
        time.sleep(interval)
    return value


class Deployment:
    """Three control daemons, two entry daemons and the platform's machine API.

    Parameters
    ----------
    record : Record
        Record of the case.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._network = f"127.{random.randint(64, 127)}.{random.randint(1, 250)}"
        self._port = _find_free_port(self._network)
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._run = self._read_command("control")
        self.controls = [f"{self._network}.{number}" for number in (11, 12, 13)]
        self.entries = [f"{self._network}.{number}" for number in (21, 22)]
        self.machines: list[dict[str, Any]] = []
        self._cloud = JsonServer(f"{self._network}.40", 0, self._serve_cloud)

    @property
    def control_addresses(self) -> list[str]:
        """Addresses of the control daemons for runners and the operator."""
        return [f"{host}:{self._port + 16}" for host in self.controls]

    def make_runners(self, count: int) -> list[Runner]:
        """Return runners of the service, which are not started yet."""
        return [
            Runner(
                f"i-7f3a91c{number}",
                f"{self._network}.{101 + number}",
                SERVICE,
                self.control_addresses,
                self._record,
            )
            for number in range(count)
        ]

    def start(self) -> None:
        """Start all daemons and put the first configuration in force."""
        for number, host in enumerate(self.controls):
            self._start_daemon("control", host, ZONES[number])
        for number, host in enumerate(self.entries):
            self._start_daemon("entry", host, ZONES[number])
        wait_until(self._put_configuration, START_SECONDS, "configuration accepted")
        wait_until(self._are_entries_ready, START_SECONDS, "entries ready")
        self._record.write("the configuration is acknowledged, the entries are ready")

    def find_control_address(self, host: str) -> str:
        """Return the address of a control daemon for runners and the operator."""
        return self.control_addresses[self.controls.index(host)]

    def find_follower(self) -> str:
        """Return the host of a control daemon that does not lead."""
        for host in reversed(self.controls):
            status, _ = call(f"{host}:{self._port + 2}", "GET", "/leader", timeout=1.0)
            if status != 200:
                return host
        raise CannotRun("every control daemon says that it leads")

    def signal(self, host: str, number: signal.Signals) -> None:
        """Send a signal to a daemon."""
        self._record.write(f"{number.name} to the daemon {host}")
        self._processes[host].send_signal(number)

    def submit(self, job: str, steps: list[dict[str, Any]], spec: str) -> int:
        """Submit a job, again until it has a clear answer; return the status."""
        body = {"spec": spec, "steps": steps}
        status = 0
        for number in range(6):
            entry = self.entries[number % len(self.entries)]
            status, _ = self._call_entry(entry, "POST", job, body)
            if 200 <= status < 300:
                break
            time.sleep(0.5)
        return status

    def read_state(self, job: str) -> str:
        """Return the state of a job, empty if it is not told."""
        for entry in self.entries:
            status, body = self._call_entry(entry, "GET", job)
            if status == 200:
                return str(body.get("state", ""))
        return ""

    def close(self) -> None:
        """End all processes and remove their files."""
        for process in self._processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        end = time.monotonic() + STOP_SECONDS
        for process in self._processes.values():
            try:
                process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._cloud.close()
        shutil.rmtree(self._folder, ignore_errors=True)

    def _call_entry(
        self, host: str, method: str, job: str, body: dict[str, Any] | None = None
    ) -> Reply:
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "Deadline-Ms": "3000",
        }
        path = f"{PREFIX}{job}"
        address = f"{host}:{self._port + 17}"
        reply = call(address, method, path, body, headers=headers, timeout=3.5)
        self._record.write(f"client: {method} {path} at {host} answered {reply}")
        return reply

    def _read_command(self, role: str) -> list[str]:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command: str = deploy["roles"][role]["run"]
        return command.split()

    def _start_daemon(self, role: str, host: str, zone: str) -> None:
        is_control = role == "control"
        if is_control:
            listen = f'control_addr = "{host}:{self._port + 16}"'
        else:
            listen = (
                f'frontend = "{host}:{self._port + 17}"\n'
                f'readiness_addr = "{host}:{self._port + 18}"'
            )
        data = self._folder / host
        seeds = ", ".join(f'"{item}"' for item in self.control_addresses)
        path = self._folder / f"{host}.toml"
        path.write_text(
            SETTINGS.format(
                name=f"{role}-{zone}-1",
                role=role,
                machine_class="core" if is_control else "edge",
                serves="control" if is_control else "edge",
                ip=host,
                zone=zone,
                port=self._port,
                last_port=self._port + 15,
                seeds=f"[{seeds}]",
                bootstrap="true",
                counted="true" if is_control else "false",
                data_dir=f'data_dir = "{data}"' if is_control else "",
                listen=listen,
                cloud=self._cloud.address,
            )
        )
        kept = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        log = (self._folder / f"{host}.log").open("wb")
        self._processes[host] = subprocess.Popen(
            self._run,
            cwd=ROOT,
            env={
                **kept,
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "GYPSUMWALK_SETTINGS": str(path),
            },
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()

    def _put_configuration(self) -> bool:
        for host, process in self._processes.items():
            if process.poll() is not None:
                raise CannotRun(f"the daemon {host} has ended")
        body = {
            "version": 3,
            "routes": [
                {
                    "name": "r-agenda",
                    "host": HOST,
                    "path_prefix": PREFIX,
                    "type": "unsafe",
                    "timeout_ms": 3000,
                    "target_duration_ms": 600,
                    "priority": 0,
                    "service": SERVICE,
                    "max_attempts": 3,
                    "stretch": 1.6,
                    "public": False,
                }
            ],
            "services": [
                {"name": SERVICE, "rejects_overload": False, "standby": False}
            ],
            "tenants": [
                {
                    "name": "cugo130",
                    "api_keys": [KEY],
                    "weight": 1,
                    "max_count": {"cpu": 0, "mem_mb": 0, "gpu": 0},
                }
            ],
        }
        status, _ = call(
            self.control_addresses[0], "POST", "/config/put", body, timeout=3.0
        )
        return status == 200

    def _are_entries_ready(self) -> bool:
        return all(
            call(f"{host}:{self._port + 18}", "GET", "/ready", timeout=1.0)[0] == 200
            for host in self.entries
        )

    def _serve_cloud(
        self, method: str, path: str, headers: dict[str, str], body: dict[str, Any]
    ) -> Reply:
        if method == "GET" and path.startswith("/machines"):
            return 200, {"machines": self.machines, "next_page_token": None}
        return 400, {}


def _find_free_port(network: str) -> int:
    """Return the first of 19 ports that are free on the deployment's addresses."""
    for _ in range(50):
        port = random.randrange(12_000, 30_000, 20)
        if all(_is_free(f"{network}.{host}", port) for host in (11, 12, 13, 21, 22)):
            return port
    raise CannotRun("no free ports")


def _is_free(host: str, port: int) -> bool:
    for offset in range(19):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, port + offset))
            except OSError:
                return False
    return True
