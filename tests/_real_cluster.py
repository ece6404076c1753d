"""Cluster of real daemon processes on loopback, for tests that kill and pause them."""

import json
import os
import resource
import shutil
import signal
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path

import urllib3

import gypsumwalk
from examples._local_cluster import ROOT, find_free_ports
from tests._real_daemon import OPERATOR_KEY

POLL_SECONDS = 0.02
STOP_SECONDS = 40
LOG_LINES = 30
RETURN_SECONDS = 20.0
"""Limit for what takes at most 12 s on the users' machines (``recovery_s``), on the
tests' machine, which may be busy."""

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

SETTINGS_TEMPLATE = """\
name = "{name}"
data_centre = "{data_centre}"
caller_port = {caller_port}
peer_port = {peer_port}
cluster_secret = "at least sixteen characters"
operator_key = "{key}"
record_folder = "{folder}/{name}.records"
{data_folder}
"""
PEER_TEMPLATE = """
[[peers]]
name = "{name}"
data_centre = "{data_centre}"
address = "127.0.0.1"
peer_port = {peer_port}
voter = {voter}
"""


class RealCluster:
    """Voters ``v0``... with data folders and followers ``f0``... without them.

    Spares ``s0``... have data folders, and are no voters at the first start.
    """

    def __init__(self, folder, voters=5, followers=0, spares=0):
        self.folder = Path(folder)
        self.voters = [f"v{number}" for number in range(voters)]
        self.followers = [f"f{number}" for number in range(followers)]
        self.spares = [f"s{number}" for number in range(spares)]
        self.names = self.voters + self.followers + self.spares
        ports = find_free_ports(2 * len(self.names))
        self.ports = dict(zip(self.names, ports[::2], strict=True))
        self.caller_ports = dict(zip(self.names, ports[1::2], strict=True))
        self.processes = {}
        self.http = urllib3.PoolManager(retries=False)
        for name in self.names:
            self.start(name)

    def data_folder(self, name):
        return self.folder / f"{name}.data"

    def start(self, name):
        path = self.folder / f"{name}.toml"
        path.write_text(self._make_settings(name))
        sources = [Path(gypsumwalk.__file__).parent.parent, ROOT]
        search_path = os.pathsep.join(str(folder) for folder in sources)
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                self._make_command(name, path),
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONPATH": search_path},
            )

    def _make_command(self, name, settings):
        """Return the command that runs a daemon with its settings file."""
        return [sys.executable, "-m", "gypsumwalk", "serve", str(settings)]

    def kill(self, name):
        """Kill one process with SIGKILL."""
        process = self.processes[name]
        process.kill()
        process.wait()

    def pause(self, name):
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        self.processes[name].send_signal(signal.SIGCONT)

    def hang_up(self, name):
        self.processes[name].send_signal(signal.SIGHUP)

    def wipe(self, name):
        """Delete the data folder of a killed daemon."""
        shutil.rmtree(self.data_folder(name))

    def fill(self, name):
        """Let every write of a process to a file fail, as on a full disk."""
        self._limit_files(name, 0)

    def empty(self, name):
        """Let writes to files succeed again."""
        self._limit_files(name, resource.RLIM_INFINITY)

    def limit_descriptors(self, name, count):
        """Let a process open no file or socket with a number from a count on."""
        process = self.processes[name]
        _, most = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (count, most))
        return most

    def _limit_files(self, name, size):
        process = self.processes[name]
        _, most = resource.prlimit(process.pid, resource.RLIMIT_FSIZE)
        resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (size, most))

    def await_gauge(self, name, value):
        """Wait until the metrics of a daemon tell whether its disk works."""
        line = f"gypsumwalk_disk_working {value}"
        assert self.poll(lambda: line in self.read_metrics(name), RETURN_SECONDS), (
            f"{name} does not report: {line}"
        )

    def read_metrics(self, name):
        """Return the metrics page of a daemon, or the error of the call."""
        url = f"http://127.0.0.1:{self.ports[name]}/metrics"
        try:
            return self.http.request("GET", url, timeout=1.0).data.decode()
        except urllib3.exceptions.HTTPError as error:
            return str(error)

    def close(self):
        """Terminate every process; kill those that do not exit in ``STOP_SECONDS``."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.processes.values():
            try:
                process.wait(STOP_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def call(self, name, method, path, body=None, timeout=12.0):
        """Make a call as operator; return status and body, or None if it failed."""
        url = f"http://127.0.0.1:{self.ports[name]}{path}"
        headers = {
            "Authorization": f"Bearer {OPERATOR_KEY}",
            "Content-Type": "application/json",
        }
        content = None if body is None else json.dumps(body).encode()
        with suppress(urllib3.exceptions.HTTPError):
            answer = self.http.request(
                method, url, body=content, headers=headers, timeout=timeout
            )
            return answer.status, json.loads(answer.data or b"null")
        return None

    def find_leader(self, names=None):
        """Return the leader reported by a majority of the voters, or empty."""
        reported_leaders = []
        for name in names or self.voters:
            if self.processes[name].poll() is None:
                answer = self.call(name, "GET", "/v1/voters", timeout=0.5)
                if answer and answer[0] == 200:
                    reported_leaders.append(answer[1]["leader"])
        for leader in set(reported_leaders) - {""}:
            if reported_leaders.count(leader) > len(self.voters) // 2:
                return leader
        return ""

    def await_leader(self, within=20.0, other_than=""):
        """Wait until a majority reports the same leader, and return it."""
        leader = self.poll(lambda: self._find_other_leader(other_than), within)
        assert leader, f"no leader in {within} s: {self.describe()}"
        return leader

    def _find_other_leader(self, former):
        leader = self.find_leader()
        return "" if leader == former else leader

    def describe(self):
        """Return the exit code and the last log lines of each daemon."""
        ends = []
        for name, process in self.processes.items():
            log = (self.folder / f"{name}.log").read_text().splitlines()
            lines = [f"{name}: exit {process.poll()}", *log[-LOG_LINES:]]
            ends.append("\n".join(lines))
        return "\n\n".join(ends)

    def apply(self, name, base, files, timeout=15.0):
        return self.call(
            name,
            "POST",
            "/v1/configuration/apply",
            {"base": base, "files": files},
            timeout,
        )

    def read(self, name):
        answer = self.call(name, "GET", "/v1/configuration", timeout=2.0)
        return answer[1] if answer and answer[0] == 200 else None

    def poll(self, condition, within):
        """Return the first true result of a condition within seconds, else None."""
        end = time.monotonic() + within
        while time.monotonic() < end:
            if result := condition():
                return result
            time.sleep(POLL_SECONDS)
        return None

    def await_files(self, name, files, within=10.0):
        """Wait until the configuration of a daemon consists of exactly these files."""
        assert self.poll(lambda: self._has_files(name, files), within), (
            f"{name} has configuration {self.read(name)}, expected files {files}"
        )

    def _has_files(self, name, files):
        found = self.read(name)
        return found is not None and found["files"] == files

    def measure_cpu(self, name):
        """Return the processor time used by a process in seconds."""
        pid = self.processes[name].pid
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def measure_memory(self, name):
        """Return the resident memory of a process in bytes."""
        pid = self.processes[name].pid
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES

    def _make_settings(self, name):
        data_folder = ""
        if name not in self.followers:
            data_folder = f'data_folder = "{self.data_folder(name)}"'
        head = SETTINGS_TEMPLATE.format(
            name=name,
            data_centre=self._find_data_centre(name),
            caller_port=self.caller_ports[name],
            peer_port=self.ports[name],
            key=OPERATOR_KEY,
            folder=self.folder,
            data_folder=data_folder,
        )
        peers = [
            PEER_TEMPLATE.format(
                name=voter,
                data_centre=self._find_data_centre(voter),
                peer_port=self.ports[voter],
                voter="true",
            )
            for voter in self.voters
        ]
        return head + "".join(peers)

    def _find_data_centre(self, name):
        return f"dc{self.names.index(name) % 3}"
