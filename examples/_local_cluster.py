"""A cluster of local processes on loopback: daemons, targets and the platform."""

import json
import os
import random
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path

import urllib3
from urllib3.exceptions import HTTPError

from gypsumwalk.drivers.client import OperatorClient

HOST = "127.0.0.1"
CLUSTER_SECRET = "demo-secret-of-this-cluster"
OPERATOR_KEY = "demo-operator-key"
TARGET_KEY = "demo-target-key"
START_SECONDS = 20.0
STOP_SECONDS = 15.0
POLL_SECONDS = 0.05
LOG_CHARACTERS = 1500
PORTS = range(16_000, 32_000)
"""Ports of listeners; below the kernel's range of ephemeral ports, so that no outgoing
connection uses the port of a process that does not listen yet."""

ROOT = Path(__file__).parent.parent


class LocalClusterError(Exception):
    """A process or condition of the cluster timed out."""


@dataclass(frozen=True, slots=True)
class DaemonEndpoint:
    """Name, data centre and ports of one daemon."""

    name: str
    data_centre: str
    caller_port: int
    peer_port: int

    @property
    def caller_address(self) -> str:
        """Address of the listener for callers."""
        return f"{HOST}:{self.caller_port}"

    @property
    def peer_address(self) -> str:
        """Address of the listener for peers, operators and targets."""
        return f"{HOST}:{self.peer_port}"


@dataclass(slots=True)
class LocalCluster:
    """Processes of a local cluster.

    Attributes
    ----------
    folder : Path
        Folder for settings, durable state, logs and event files.
    daemons : list of DaemonEndpoint
        The daemons.
    platform_port : int
        Port of the fake platform.
    voters : int
        Number of daemons, from the first, that are voters.
    processes : dict of str to Popen
        Processes by name.
    ports : dict of str to int
        Ports of the targets by name.
    """

    folder: Path
    daemons: list[DaemonEndpoint]
    platform_port: int
    voters: int = 5
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    ports: dict[str, int] = field(default_factory=dict)

    @property
    def records(self) -> Path:
        """Folder of the event files."""
        return self.folder / "records"

    @property
    def executions(self) -> list[Path]:
        """Execution logs of the targets."""
        return sorted(self.folder.glob("executions-*.jsonl"))

    def start_daemon(self, daemon: DaemonEndpoint) -> None:
        """Write the settings of one daemon and start it."""
        path = self.folder / f"{daemon.name}.toml"
        path.write_text(self._write_settings(daemon))
        self._start(daemon.name, "-m", "gypsumwalk", "serve", str(path))

    def await_daemons(self, seconds: float = START_SECONDS) -> float:
        """Wait until every daemon reports that it is ready.

        Parameters
        ----------
        seconds : float
            Timeout.

        Returns
        -------
        float
            Seconds until all were ready.

        Raises
        ------
        LocalClusterError
            If a daemon ends, or if one is not ready within the timeout.
        """
        return wait_until(self._are_daemons_ready, "all daemons to be ready", seconds)

    def _are_daemons_ready(self) -> bool:
        for daemon in self.daemons:
            self._check_process(daemon.name)
        return all(map(is_ready, self.daemons))

    def _check_process(self, name: str) -> None:
        code = self.processes[name].poll()
        if code is None:
            return
        log = (self.folder / f"{name}.log").read_text(errors="replace")
        raise LocalClusterError(
            f"{name} ended with exit code {code} before it was ready; its log ends:\n"
            f"{log[-LOG_CHARACTERS:]}"
        )

    def start_platform(self) -> None:
        """Start the fake platform."""
        urls = [f"http://{daemon.peer_address}" for daemon in self.daemons]
        port = str(self.platform_port)
        self._start("platform", "-m", "examples.fake_platform", port, *urls)

    def add_instances(self, names: list[str]) -> bool:
        """Add instances to the platform; return False if it is not up yet."""
        url = f"http://{HOST}:{self.platform_port}/instances"
        body = json.dumps({"names": names})
        try:
            response = urllib3.request(
                "POST", url, body=body, timeout=1.0, retries=False
            )
        except HTTPError:
            return False
        return response.status == HTTPStatus.OK

    def start_target(self, name: str, data_centre: str, service: str) -> None:
        """Start one target, which announces itself to its data centre's daemons."""
        addresses = ";".join(
            daemon.peer_address
            for daemon in self.daemons
            if daemon.data_centre == data_centre
        )
        self.ports[name] = find_free_port()
        self._start(
            name,
            "-m",
            "examples.fake_target",
            f"--name={name}",
            f"--data_centre={data_centre}",
            f"--service={service}",
            f"--port={self.ports[name]}",
            f"--daemons={addresses}",
            f"--record={self.folder / f'executions-{name}.jsonl'}",
        )

    def stop(self, name: str) -> int:
        """Terminate one process and wait for it to exit.

        Parameters
        ----------
        name : str
            Name of the process.

        Returns
        -------
        int
            Its exit code.

        Raises
        ------
        LocalClusterError
            If it does not exit in time; it is killed then.
        """
        process = self.processes[name]
        process.terminate()
        try:
            return process.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired as error:
            process.kill()
            process.wait()
            raise LocalClusterError(
                f"{name} did not exit within {STOP_SECONDS} s of SIGTERM"
            ) from error

    def stop_all(self) -> None:
        """Terminate every running process, and kill those that do not exit."""
        running = [item for item in self.processes.values() if item.poll() is None]
        for process in running:
            process.terminate()
        for process in running:
            try:
                process.wait(STOP_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def _start(self, name: str, *arguments: str) -> None:
        log = (self.folder / f"{name}.log").open("wb")
        with log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=os.environ | {"GYPSUMWALK_TARGET_KEY": TARGET_KEY},
            )

    def _write_settings(self, daemon: DaemonEndpoint) -> str:
        lines = [
            f'name = "{daemon.name}"',
            f'data_centre = "{daemon.data_centre}"',
            f"caller_port = {daemon.caller_port}",
            f"peer_port = {daemon.peer_port}",
            f'cluster_secret = "{CLUSTER_SECRET}"',
            f'operator_key = "{OPERATOR_KEY}"',
            f'target_key = "{TARGET_KEY}"',
            f'data_folder = "{self.folder / ("data-" + daemon.name)}"',
            f'record_folder = "{self.records}"',
            f'platform_url = "http://{HOST}:{self.platform_port}"',
        ]
        for number, peer in enumerate(self.daemons):
            lines += [
                "[[peers]]",
                f'name = "{peer.name}"',
                f'data_centre = "{peer.data_centre}"',
                f'address = "{HOST}"',
                f"peer_port = {peer.peer_port}",
                f"voter = {str(number < self.voters).lower()}",
            ]
        return "\n".join(lines) + "\n"


def apply_folder(operator: OperatorClient, folder: Path) -> int:
    """Apply a whole configuration folder.

    Parameters
    ----------
    operator : OperatorClient
        Client with an operator's key.
    folder : Path
        The folder.

    Returns
    -------
    int
        Accepted generation.
    """
    files = {path.name: path.read_text() for path in sorted(folder.glob("*.toml"))}
    body = {"base": 0, "files": files, "whole": True}
    reply = operator.call("POST", "/v1/configuration/apply", body, idempotent=True)
    generation: int = reply.decode()["generation"]
    return generation


def find_free_ports(count: int) -> list[int]:
    """Return different ports on loopback that are free for TCP and UDP."""
    ports: list[int] = []
    with ExitStack() as stack:
        while len(ports) < count:
            port = random.choice(PORTS)
            if _reserve(stack, port):
                ports.append(port)
    return ports


def find_free_port() -> int:
    """Return a port on loopback that is free for TCP and UDP."""
    return find_free_ports(1)[0]


def _reserve(stack: ExitStack, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        probe = stack.enter_context(socket.socket(socket.AF_INET, kind))
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


def allocate_daemon(name: str, data_centre: str) -> DaemonEndpoint:
    """Allocate free ports for a daemon."""
    caller_port, peer_port = find_free_ports(2)
    return DaemonEndpoint(name, data_centre, caller_port, peer_port)


def is_ready(daemon: DaemonEndpoint) -> bool:
    """Return whether a daemon reports that it is ready."""
    url = f"http://{daemon.peer_address}/readyz"
    try:
        return urllib3.request("GET", url, timeout=1.0, retries=False).status == 200
    except HTTPError:
        return False


def wait_until(
    condition: Callable[[], bool], description: str, seconds: float
) -> float:
    """Poll until a condition holds.

    Parameters
    ----------
    condition : Callable
        The condition.
    description : str
        Description of the condition, for the error message.
    seconds : float
        Timeout.

    Returns
    -------
    float
        Seconds until it held.

    Raises
    ------
    LocalClusterError
        If the condition does not hold within the timeout.
    """
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > seconds:
            raise LocalClusterError(
                f"timed out after {seconds} s waiting for {description}"
            )
        time.sleep(POLL_SECONDS)
    return time.monotonic() - started
