"""Control daemons and an entry of the platform as processes, and clients' calls."""

import http.client
import json
import os
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path

import urllib3

ROOT = Path(__file__).parent.parent
_HOST = f"{os.getpid() // 250 % 250 + 1}.{os.getpid() % 250 + 1}"
CONTROLS = {f"core-{number}": f"127.{80 + number}.{_HOST}" for number in (1, 2, 3)}
ENTRY = f"127.84.{_HOST}"
INSTANCES = f"127.85.{_HOST}"
PORTS = (28_740, 28_755)
LEADER_PORT = PORTS[0] + 2
CONTROL_PORT, FRONTEND_PORT, READY_PORT = 28_761, 28_762, 28_763
CONTROL_ADDRESSES = [f"{host}:{CONTROL_PORT}" for host in CONTROLS.values()]
STOP_SECONDS = 20.0
LOG_LINES = 15
SETTINGS = f"""
ip = "{{ip}}"
zone = "dc"
internal_port_range = [{PORTS[0]}, {PORTS[1]}]
seed_nodes = {json.dumps(CONTROL_ADDRESSES)}
bootstrap = {{bootstrap}}
{{data}}
[zones]
dc = "region"
[fault_tolerance]
machines = 1
[listen_addrs]
{{addresses}}
"""
HEADERS = {"Host": "jobs.example", "Authorization": "Bearer key", "Deadline-Ms": "3000"}
ROUTE = {"name": "r", "host": "jobs.example", "path_prefix": "/a/", "service": "s"}
CONFIGURATION = {
    "version": 3,
    "routes": [{**ROUTE, "timeout_ms": 3000, "max_attempts": 3}],
    "services": [{"name": "s"}],
    "tenants": [{"name": "t", "api_keys": ["key"]}],
}


class Processes:
    """Control daemons ``core-1`` to ``core-3``, and the entry ``entry``."""

    def __init__(self, folder):
        self._folder = folder
        self._http = urllib3.PoolManager(retries=False, timeout=1.0)
        self._processes = {}
        self._down = set()
        for name in (*CONTROLS, "entry"):
            self.start(name)

    def start(self, name):
        """Start a process, with its former data folder if there is one."""
        ip, data = CONTROLS.get(name, ENTRY), self._folder / f"{name}.data"
        if name == "entry":
            addresses = f'frontend = "{ip}:{FRONTEND_PORT}"\n'
            addresses += f'readiness_addr = "{ip}:{READY_PORT}"'
        else:
            addresses = f'control_addr = "{ip}:{CONTROL_PORT}"'
        settings = SETTINGS.format(
            ip=ip,
            bootstrap="false" if data.exists() else "true",
            data="" if name == "entry" else f'data_dir = "{data}"',
            addresses=addresses,
        )
        path = self._folder / f"{name}.toml"
        path.write_text(settings)
        with open(self._folder / f"{name}.log", "ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "serve.py")],
                env={"GYPSUMWALK_SETTINGS": str(path), "PATH": os.environ["PATH"]},
                stdout=log,
                stderr=subprocess.STDOUT,
                cwd=ROOT,
            )
        self._down.discard(name)

    def end(self, name, *, is_killed):
        """End a process, by SIGKILL or SIGTERM, and wait until it is gone."""
        self._down.add(name)
        process = self._processes[name]
        if is_killed:
            process.kill()
        else:
            process.terminate()
        process.wait(STOP_SECONDS)

    def find_leader(self):
        """Return the name of the control daemon that leads, or empty."""
        for name, host in CONTROLS.items():
            if self._is_ok("GET", f"http://{host}:{LEADER_PORT}/leader"):
                return name
        return ""

    def configure(self):
        """Tell whether the configuration is accepted and the entry is ready."""
        url = f"http://{CONTROL_ADDRESSES[0]}/config/put"
        return self._is_ok("POST", url, json=CONFIGURATION) and self._is_ok(
            "GET", f"http://{ENTRY}:{READY_PORT}/ready"
        )

    def list_ended(self):
        """Return the names of processes that have ended by themselves."""
        return [
            name
            for name, process in self._processes.items()
            if name not in self._down and process.poll() is not None
        ]

    def describe(self):
        """Return the last lines of all logs."""
        logs = sorted(self._folder.glob("*.log"))
        lines = [(log.name, log.read_text().splitlines()[-LOG_LINES:]) for log in logs]
        return "\n".join("\n".join([name, *last]) for name, last in lines)

    def close(self):
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()
        self._http.clear()

    def _is_ok(self, method, url, **options):
        with suppress(urllib3.exceptions.HTTPError):
            return self._http.request(method, url, **options).status == 200
        return False


class Caller:
    """Client whose connection to the entry is kept until it breaks."""

    def __init__(self):
        self._connection = http.client.HTTPConnection(ENTRY, FRONTEND_PORT, timeout=3.5)

    def call(self, method, job, body=None):
        """Return the status and the content of an answer, 0 and none if it is lost."""
        content = json.dumps(body) if body else None
        try:
            self._connection.request(method, f"/a/{job}", content, HEADERS)
            answer = self._connection.getresponse()
            return answer.status, json.loads(answer.read() or b"{}")
        except (OSError, http.client.HTTPException, ValueError):
            self.close()
            return 0, {}

    def close(self):
        self._connection.close()


def await_true(condition, seconds):
    """Poll a condition, and return its value once it is true, or after a time."""
    end = time.monotonic() + seconds
    while not (value := condition()) and time.monotonic() < end:
        time.sleep(0.05)
    return value
