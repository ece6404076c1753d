"""Runners and the machine API, as the pages of the users describe them."""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

from review.standins2.deployment import call

HEARTBEAT_SECONDS = 1.5
MAX_HOLD_MS = 10_000
STOP_SECONDS = 0.1
MAINTENANCE_SECONDS = 2.0
PAGE = 200


class JsonServer(ThreadingHTTPServer):
    """Server that passes each call to ``serve`` and sends what that returns."""

    daemon_threads = True
    request_queue_size = 256

    def __init__(self, host, serve):
        self.serve = serve
        super().__init__((host, 0), _Handler)
        self.address = f"{host}:{self.server_address[1]}"
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def handle_error(self, request, client_address):
        """Ignore connections that break."""

    def close(self):
        self.shutdown()
        self.server_close()


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def _serve(self):
        length = int(self.headers.get("Content-Length") or 0)
        content = self.rfile.read(length)
        body = json.loads(content) if content else {}
        answer = self.server.serve(self.command, self.path, self.headers, body)
        if answer is None:
            self.close_connection = True
            return
        status, result = answer
        content = result if isinstance(result, bytes) else json.dumps(result).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)

    do_GET = do_POST = _serve  # noqa: N815

    def log_message(self, *arguments):
        """Write no log."""


class Run:
    """One run on a runner."""

    def __init__(self, task, run, seconds, now):
        self.task, self.run, self.began = task, run, now
        self.ends_at = now + seconds
        self.stops_at = None


class Runner:
    """A runner with one life, which carries out orders and announces itself."""

    def __init__(self, record, host, name, controls, *, find_seconds, **details):
        self._record = record
        self.name = name
        self._controls = list(controls)
        self._find_seconds = find_seconds
        self.details = {
            "service": "agenda",
            "zone": "recife",
            "labels": ["a", "r1-1"],
            "capacity": {"cpu": 32000, "mem_mb": 65536, "gpu": 0},
            "machine": f"m-{name}",
            **details,
        }
        self.is_unhealthy = False
        self.is_cut_off = False
        """Whether nothing of what control sends arrives, answers included."""
        self.state = "ready"
        self.acknowledged = ""
        """Latest state that was acknowledged."""
        self.history = []
        self.born = int(time.time() * 1000)
        self._began = time.monotonic()
        self._fence = 0
        self._deadline = 0
        self._running = {}
        self._ends = []
        self._end_count = 0
        self._highest = {}
        self._sequence = 0
        self._changed = threading.Condition()
        self._is_closing = False
        self._server = JsonServer(host, self._serve)
        self.address = self._server.address
        self._threads = [
            threading.Thread(target=self._announce, daemon=True),
            threading.Thread(target=self._advance_regularly, daemon=True),
        ]
        for thread in self._threads:
            thread.start()

    @property
    def clock(self):
        return int((time.monotonic() - self._began) * 1000) + 1000

    def close(self):
        self._is_closing = True
        with self._changed:
            self._changed.notify_all()
        self._server.close()

    def list_running(self):
        with self._changed:
            return [run.task for run in self._running.values()]

    def leave(self, seconds):
        """Deregister, and end with the acknowledgement, or after some seconds."""
        end = time.monotonic() + seconds
        path = f"/instances/{self.name}/deregister"
        while (left := end - time.monotonic()) > 0:
            self._record.write(f"{self.name} deregisters at {self._controls[0]}")
            status, _ = call(self._controls[0], "POST", path, timeout=min(1.0, left))
            if status == 200 and not self.is_cut_off:
                self._record.write(f"{self.name}: its deregistration is acknowledged")
                break
            self._controls.append(self._controls.pop(0))
            time.sleep(max(0.0, min(1.0, end - time.monotonic())))
        with self._changed:
            for key in list(self._running):
                self._end(key, "left")
        self._record.write(f"{self.name} ends")
        self.close()

    def _serve(self, method, path, headers, body):
        if self.is_cut_off:
            while self.is_cut_off and not self._is_closing:
                time.sleep(0.02)
            return None
        if path == "/health":
            return (503 if self.is_unhealthy else 200), {}
        expected = headers.get("Expect-Instance")
        if expected and expected != self.name:
            return 421, {}
        with self._changed:
            self._advance()
            if path == "/run-start":
                answer = self._start(body)
            elif path == "/run-stop":
                answer = self._stop(body)
            elif path == "/hold":
                answer = self._hold(body)
            elif path == "/pace":
                answer = 200, {}
            else:
                return 404, {}
        status, content = answer
        if path in ("/run-start", "/run-stop"):
            self._record.write(
                f"{self.name} {path} {body['task']} run {body['run']}"
                f" fence {body['fencing_token']}: {status} {content.get('reason', '')}"
            )
        return status, {"clock_ms": self.clock, **content}

    def _is_fenced(self, body):
        token = body.get("fencing_token", 0)
        if token < self._fence:
            return True
        self._fence = token
        return False

    def _extend(self, body):
        if deadline := body.get("deadline_ms"):
            latest = min(deadline, self.clock + MAX_HOLD_MS)
            self._deadline = max(self._deadline, latest)

    def _start(self, body):
        if self.is_unhealthy:
            return 503, {}
        if self._is_fenced(body):
            return 409, {"reason": "fence"}
        if body["deadline_ms"] <= self.clock:
            return 409, {"reason": "late"}
        self._extend(body)
        task, run = body["task"], body["run"]
        if (task, run) in self._running:
            return 200, {}
        if run <= self._highest.get(task, 0):
            return 409, {"reason": "old"}
        if refusal := self.find_refusal(body):
            return refusal
        now = time.monotonic()
        seconds = self._find_seconds(task, body["spec"])
        self._running[task, run] = Run(task, run, seconds, now)
        self.history.append(["start", task, run, now, body])
        self._changed.notify_all()
        return 200, {}

    def find_refusal(self, body):
        """Return the refusal of a start that nothing else forbids, or None."""

    def _stop(self, body):
        if self._is_fenced(body):
            return 409, {"reason": "fence"}
        task, run = body["task"], body["run"]
        self._highest[task] = max(run, self._highest.get(task, 0))
        known = self._running.get((task, run))
        if known is not None:
            known.stops_at = time.monotonic() + STOP_SECONDS
        return 200, {}

    def _hold(self, body):
        if self._is_fenced(body):
            return 409, {"reason": "fence"}
        self._extend(body)
        acknowledged = body.get("ack_cursor", 0)
        self._ends = [row for row in self._ends if row[0] > acknowledged]
        end = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self._ends and not self._is_closing:
            left = end - time.monotonic()
            if left <= 0:
                break
            self._changed.wait(min(left, 0.02))
            self._advance()
        if body.get("fencing_token", 0) < self._fence:
            return 409, {"reason": "fence"}
        running = [[run.task, run.run, "", 100, 500] for run in self._running.values()]
        return 200, {
            "born": self.born,
            "running": running,
            "ended_runs": self._ends[:500],
        }

    def _advance(self):
        now = time.monotonic()
        for key, run in list(self._running.items()):
            if run.stops_at is not None and now >= run.stops_at:
                self._end(key, "stopped")
            elif now >= run.ends_at:
                self._end(key, "done")
        if self._running and self.clock > self._deadline:
            for key in list(self._running):
                self._end(key, "lapsed")

    def _end(self, key, how):
        task, run = key
        del self._running[key]
        self._end_count += 1
        self._highest[task] = max(run, self._highest.get(task, 0))
        self._ends.append([self._end_count, task, run, how, ""])
        self.history.append([how, task, run, time.monotonic(), None])
        self._record.write(f"{self.name} ends {task} run {run}: {how}")
        self._changed.notify_all()

    def _advance_regularly(self):
        while not self._is_closing:
            with self._changed:
                self._advance()
            time.sleep(0.01)

    def _announce(self):
        while not self._is_closing:
            self._sequence += 1
            beat = {
                **self.details,
                "address": self.address,
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold_remaining_ms": 0,
                "clock_ms": self.clock,
                "sequence": self._sequence,
                "born": self.born,
            }
            path = f"/instances/{self.name}/heartbeat"
            status, _ = call(self._controls[0], "POST", path, beat, timeout=1)
            if status == 200 and not self.is_cut_off:
                self.acknowledged = self.state
                time.sleep(HEARTBEAT_SECONDS)
            else:
                self._controls.append(self._controls.pop(0))
                time.sleep(0.1)


class MachineApi:
    """The platform's list of machines, and their upkeep; it refuses all moves."""

    def __init__(self, record, host):
        self._record = record
        self.machines = {}
        self.unreadable = set()
        """Machines whose entry in the list comes from another writer."""
        self.upkeeps = {}
        """Time of the upkeep of each machine."""
        self.replace = None
        """Returns the runner that joins after the upkeep of another one."""
        self._down = set()
        self._lock = threading.Lock()
        self._server = JsonServer(host, self._serve)
        self.address = self._server.address

    def add(self, runner):
        self.machines[runner.details["machine"]] = runner

    def list_machines(self):
        return [self._describe(*item) for item in self.machines.items()]

    def _describe(self, machine, runner):
        entry = {
            "machine": machine,
            "pool": runner.details["service"],
            "state": "upkeep" if machine in self._down else "up",
            "zone": runner.details["zone"],
            "labels": runner.details["labels"],
            "capacity": runner.details["capacity"],
            "id": runner.name,
        }
        if machine in self.unreadable:
            del entry["pool"], entry["state"]
        return entry

    def _serve(self, method, path, headers, body):
        parts = urlsplit(path)
        if parts.path == "/machines":
            token = parse_qs(parts.query).get("page_token", ["0"])[0]
            first = int(token or 0)
            machines = self.list_machines()
            following = first + PAGE
            more = str(following) if following < len(machines) else None
            page = machines[first:following]
            return 200, {"machines": page, "next_page_token": more}
        status, content = 409, {"reason": "busy"}
        if path == "/machine-upkeep":
            status, content = self._begin_upkeep(body["machine"])
        reason = content.get("reason", "")
        self._record.write(f"machine API {path} {body}: {status} {reason}")
        return status, content

    def _begin_upkeep(self, machine):
        with self._lock:
            if machine not in self.machines:
                return 400, {}
            if machine in self.upkeeps:
                return 200, {}
            self.upkeeps[machine] = time.monotonic()
            self._down.add(machine)
        self.machines[machine].close()
        threading.Timer(MAINTENANCE_SECONDS, self._end_upkeep, [machine]).start()
        return 200, {}

    def _end_upkeep(self, machine):
        self.machines[machine] = self.replace(self.machines[machine])
        self._down.discard(machine)

    def close(self):
        self._server.close()
