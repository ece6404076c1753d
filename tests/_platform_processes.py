"""Control daemons and entries of the platform as processes, and clients' calls."""

import http.client
import json
import os
import signal
import subprocess
import sys
import time
from collections import deque
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import chain, cycle
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
zone = "{{zone}}"
internal_port_range = [{PORTS[0]}, {PORTS[1]}]
seed_nodes = {json.dumps(CONTROL_ADDRESSES)}
bootstrap = {{bootstrap}}
{{data}}
[zones]
{{zones}}
[bounds]
{{bounds}}
[fault_tolerance]
machines = 1
[listen_addrs]
{{addresses}}
"""
HELD_CONNECTIONS = 3
HEADERS = {"Host": "jobs.example", "Authorization": "Bearer key", "Deadline-Ms": "3000"}
ROUTE = {"name": "r", "host": "jobs.example", "path_prefix": "/a/", "service": "s"}
CONFIGURATION = {
    "version": 3,
    "routes": [{**ROUTE, "timeout_ms": 3000, "max_attempts": 3}],
    "services": [{"name": "s"}],
    "tenants": [{"name": "t", "api_keys": ["key"]}],
}


@dataclass(frozen=True)
class Site:
    """Addresses of the entries, data centres, and time limits of the platform.

    Control daemons and entries are spread over the data centres in turn.
    """

    entries: dict[str, str] = field(default_factory=lambda: {"entry": ENTRY})
    data_centres: tuple[str, ...] = ("dc",)
    bounds: dict[str, float] = field(default_factory=dict)

    def find_data_centre(self, name):
        """Return the data centre of a process."""
        zones = chain(
            *(
                zip(names, cycle(self.data_centres))
                for names in (CONTROLS, self.entries)
            )
        )
        return dict(zones)[name]


class Processes:
    """Control daemons ``core-1`` to ``core-3``, and the entries of a site."""

    def __init__(self, folder, site=None):
        self._folder = folder
        self._site = site or Site()
        self._http = urllib3.PoolManager(retries=False, timeout=1.0)
        self._processes = {}
        self._down = set()
        for name in (*CONTROLS, *self._site.entries):
            self.start(name)

    def start(self, name):
        """Start a process, with its former data folder if there is one."""
        ip, data = self._find_host(name), self._folder / f"{name}.data"
        if name in self._site.entries:
            addresses = f'frontend = "{ip}:{FRONTEND_PORT}"\n'
            addresses += f'readiness_addr = "{ip}:{READY_PORT}"'
        else:
            addresses = f'control_addr = "{ip}:{CONTROL_PORT}"'
        settings = SETTINGS.format(
            ip=ip,
            bootstrap="false" if data.exists() else "true",
            data="" if name in self._site.entries else f'data_dir = "{data}"',
            addresses=addresses,
            zone=self._site.find_data_centre(name),
            zones="\n".join(f'{zone} = "region"' for zone in self._site.data_centres),
            bounds="\n".join(f"{key} = {x}" for key, x in self._site.bounds.items()),
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

    def end_with_connections(self, name):
        """End a process by SIGTERM, while clients keep connections to it open."""
        port = FRONTEND_PORT if name in self._site.entries else CONTROL_PORT
        connections = []
        for _ in range(HELD_CONNECTIONS):
            held = http.client.HTTPConnection(self._find_host(name), port, timeout=1.0)
            connections.append(held)
            with suppress(OSError, http.client.HTTPException):
                held.request("GET", "/", headers=HEADERS)
                held.getresponse().read()
        self.end(name, is_killed=False)
        for held in connections:
            held.close()

    def pause(self, name):
        self._processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        self._processes[name].send_signal(signal.SIGCONT)

    def find_leader(self):
        """Return the name of the control daemon that leads, or empty."""
        for name, host in CONTROLS.items():
            if self._is_ok("GET", f"http://{host}:{LEADER_PORT}/leader"):
                return name
        return ""

    def configure(self):
        """Tell whether the configuration is accepted and the entries are ready."""
        url = f"http://{CONTROL_ADDRESSES[0]}/config/put"
        return self._is_ok("POST", url, json=CONFIGURATION) and all(
            self._is_ok("GET", f"http://{host}:{READY_PORT}/ready")
            for host in self._site.entries.values()
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

    def _find_host(self, name):
        return CONTROLS.get(name) or self._site.entries[name]

    def _is_ok(self, method, url, **options):
        with suppress(urllib3.exceptions.HTTPError):
            return self._http.request(method, url, **options).status == 200
        return False


class Caller:
    """Client whose connection to an entry is kept until it breaks.

    It then calls the next one.
    """

    def __init__(self, hosts=(ENTRY,)):
        self._hosts = deque(hosts)
        self._connect()

    def call(self, method, job, body=None):
        """Return the status and the content of an answer, 0 and none if it is lost."""
        content = json.dumps(body) if body else None
        try:
            self._connection.request(method, f"/a/{job}", content, HEADERS)
            answer = self._connection.getresponse()
            return answer.status, json.loads(answer.read() or b"{}")
        except (OSError, http.client.HTTPException, ValueError):
            self.close()
            self._hosts.rotate(-1)
            self._connect()
            return 0, {}

    def _connect(self):
        host = self._hosts[0]
        self._connection = http.client.HTTPConnection(host, FRONTEND_PORT, timeout=3.5)

    def close(self):
        self._connection.close()


def await_true(condition, seconds):
    """Poll a condition, and return its value once it is true, or after a time."""
    end = time.monotonic() + seconds
    while not (value := condition()) and time.monotonic() < end:
        time.sleep(0.05)
    return value
