"""Processes of the demo: daemons, targets and the platform, on loopback."""

import json
import os
import socket
import subprocess
import sys
import time
from collections.abc import Callable
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
ROOT = Path(__file__).parent.parent


class StageError(Exception):
    """The demo's processes did not come up or did not stop."""


@dataclass(frozen=True, slots=True)
class DaemonPlace:
    """Where one daemon runs."""

    name: str
    data_centre: str
    caller_port: int
    peer_port: int

    @property
    def caller_address(self) -> str:
        """Address for callers."""
        return f"{HOST}:{self.caller_port}"

    @property
    def peer_address(self) -> str:
        """Address for operators and targets."""
        return f"{HOST}:{self.peer_port}"


@dataclass(slots=True)
class Stage:
    """All processes of the demo.

    Attributes
    ----------
    folder : Path
        Folder for settings, durable state and event files.
    daemons : list of DaemonPlace
        The daemons.
    """

    folder: Path
    daemons: list[DaemonPlace]
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
        """Files in which targets wrote what they ran."""
        return sorted(self.folder.glob("executions-*.jsonl"))

    def start_daemon(self, place: DaemonPlace) -> None:
        """Start one daemon with settings of its own."""
        path = self.folder / f"{place.name}.toml"
        path.write_text(self._write_settings(place))
        self._start(place.name, "-m", "gypsumwalk.drivers.daemon", str(path))

    def start_platform(self) -> None:
        """Start the stand-in for the platform."""
        urls = [f"http://{place.peer_address}" for place in self.daemons]
        port = str(self.platform_port)
        self._start("platform", "-m", "examples.fake_platform", port, *urls)

    def add_instances(self, names: list[str]) -> bool:
        """Tell the platform which instances there are; false if it is not up yet."""
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
        """Start one target, which announces itself to the daemons in turn."""
        addresses = ";".join(
            place.peer_address
            for place in self.daemons
            if place.data_centre == data_centre
        )
        self.ports[name] = find_port()
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
        """Ask one process to stop and wait until it has.

        Parameters
        ----------
        name : str
            Name of the process.

        Returns
        -------
        int
            Its exit code.
        """
        process = self.processes[name]
        process.terminate()
        try:
            return process.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired as error:
            process.kill()
            process.wait()
            raise StageError(f"{name} did not stop in {STOP_SECONDS} s") from error

    def stop_all(self) -> None:
        """End every process that still runs."""
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

    def _write_settings(self, place: DaemonPlace) -> str:
        lines = [
            f'name = "{place.name}"',
            f'data_centre = "{place.data_centre}"',
            f"caller_port = {place.caller_port}",
            f"peer_port = {place.peer_port}",
            f'cluster_secret = "{CLUSTER_SECRET}"',
            f'operator_key = "{OPERATOR_KEY}"',
            f'target_key = "{TARGET_KEY}"',
            f'data_folder = "{self.folder / ("data-" + place.name)}"',
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
        Generation that was accepted.
    """
    files = {path.name: path.read_text() for path in sorted(folder.glob("*.toml"))}
    body = {"base": 0, "files": files, "whole": True}
    reply = operator.call("POST", "/v1/configuration/apply", body, idempotent=True)
    generation: int = reply.decode()["generation"]
    return generation


def find_port() -> int:
    """Return a free TCP port of the loopback address."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
    return port


def place_daemon(name: str, data_centre: str) -> DaemonPlace:
    """Choose free ports for a daemon."""
    return DaemonPlace(name, data_centre, find_port(), find_port())


def is_ready(place: DaemonPlace) -> bool:
    """Tell whether a daemon says that it is ready."""
    url = f"http://{place.peer_address}/readyz"
    try:
        return urllib3.request("GET", url, timeout=1.0, retries=False).status == 200
    except HTTPError:
        return False


def wait_until(condition: Callable[[], bool], what: str, seconds: float) -> float:
    """Wait for a condition.

    Parameters
    ----------
    condition : Callable
        The condition.
    what : str
        What is waited for, for the error.
    seconds : float
        Longest wait.

    Returns
    -------
    float
        Seconds that it took.

    Raises
    ------
    StageError
        If it took longer.
    """
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > seconds:
            raise StageError(f"no {what} within {seconds} s")
        time.sleep(POLL_SECONDS)
    return time.monotonic() - started
