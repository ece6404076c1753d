"""One real daemon process on loopback, and a target that echoes requests."""

import os
import signal
import subprocess
import sys
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import urllib3

import gypsumwalk
from examples._local_cluster import find_free_ports
from tests._stub_daemon import StubDaemon

START_SECONDS = 20
STOP_SECONDS = 20
OPERATOR_KEY = "first-operator-key"
SETTINGS = """\
name = "entry1"
data_centre = "north"
caller_port = {caller_port}
peer_port = {peer_port}
cluster_secret = "at least sixteen characters"
operator_key = "{operator_key}"
data_folder = "{folder}/data"
record_folder = "{folder}/records"
seed = 7

[[peers]]
name = "entry1"
data_centre = "north"
address = "127.0.0.1"
peer_port = {peer_port}
voter = true
"""


@dataclass
class RealDaemon:
    """Ports, folder and process of a running daemon."""

    folder: Path
    caller_port: int
    peer_port: int
    process: subprocess.Popen

    @property
    def caller_address(self):
        return f"127.0.0.1:{self.caller_port}"

    @property
    def peer_address(self):
        return f"127.0.0.1:{self.peer_port}"

    def stop(self):
        """Shut the daemon down gracefully and return its exit code."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        return self.process.wait(STOP_SECONDS)


@contextmanager
def run_daemon(folder):
    """Start a daemon, wait until it is ready, and stop it on exit."""
    caller_port, peer_port = find_free_ports(2)
    settings = Path(folder) / "entry1.toml"
    settings.write_text(
        SETTINGS.format(
            caller_port=caller_port,
            peer_port=peer_port,
            operator_key=OPERATOR_KEY,
            folder=folder,
        )
    )
    source = str(Path(gypsumwalk.__file__).parent.parent)
    with open(Path(folder) / "log", "wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "gypsumwalk", "serve", str(settings)],
            stdout=log,
            stderr=log,
            env={**os.environ, "PYTHONPATH": source},
        )
    daemon = RealDaemon(Path(folder), caller_port, peer_port, process)
    try:
        wait_until_ready(daemon)
        yield daemon
    finally:
        try:
            daemon.stop()
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            raise


def wait_until_ready(daemon):
    """Poll the daemon until it reports that it is ready."""
    retry = urllib3.Retry(
        total=None,
        connect=200,
        status=200,
        status_forcelist=[503],
        backoff_factor=0.05,
        backoff_max=0.1,
    )
    with urllib3.PoolManager() as pool:
        url = f"http://{daemon.peer_address}/readyz"
        response = pool.request("GET", url, retries=retry, timeout=START_SECONDS)
    assert response.status == 200, (daemon.folder / "log").read_text()


class EchoTarget(StubDaemon):
    """Target that answers with the body of the request."""

    def _serve(self, environ, start_response):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        content = environ["wsgi.input"].read(length)
        self.calls.append((environ["PATH_INFO"], content))
        headers = [("Content-Length", str(length)), ("Content-Type", "text/plain")]
        start_response("200 OK", headers)
        return [content]
