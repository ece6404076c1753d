"""Fake instance on loopback, which may go dark, begin its next life, and be cut off.

The emulator decides what a life does with an order; the calls come over sockets.
"""

import socket
import sys
import threading
import time
from contextlib import suppress
from http import HTTPStatus
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import msgspec
import urllib3

from gypsumwalk.declaration_records import Resources
from gypsumwalk.effects import CallPlatform
from gypsumwalk.emulator import EmulatedPlatform
from gypsumwalk.instance_actions import RenewLease, StartRun, StopRun
from gypsumwalk.workload_records import RegisteredInstance

CAPACITY = Resources(4000, 8000, 0)
HEARTBEAT_SECONDS = 1.5
HEARTBEAT_RETRY_SECONDS = 0.05
CALL_SECONDS = 1.0
LIST_SECONDS = 0.01
LOST_SHARE, LATE_SHARE = 0.04, 0.06
LATE_SECONDS = (0.5, 3.0)


class FakeInstance:
    """Instance that serves calls on one address in all its lives.

    It sends heartbeats to one of the control daemons. While it is harassed, some
    answers to starts are lost and some starts are late.
    """

    make_platform = EmulatedPlatform
    broken_share = 0.3

    def __init__(self, name, host, controls, random, find_length, *, data_centre="dc"):
        self.errors = []
        self.is_harassed = False
        self._name = name
        self._data_centre = data_centre
        self._random = random
        self._controls = list(controls)
        self._platform = self.make_platform(random, find_length)
        self.history = self._platform.history
        self._life = None
        self._is_cut_off = False
        self._is_closing = False
        self._changed = threading.Condition()
        self._http = urllib3.PoolManager(retries=False, timeout=CALL_SECONDS)
        self._server = _Server(host, self)
        self._threads = [
            threading.Thread(target=self._server.serve_forever, args=(0.05,)),
            threading.Thread(target=self._announce),
        ]
        for thread in self._threads:
            thread.start()

    def begin_life(self):
        """Begin the next life, which accepts the connections that wait."""
        born = int(time.time() * 1000)
        address = self._server.address
        zone = self._data_centre
        life = RegisteredInstance(self._name, born, "s", address, zone, CAPACITY)
        with self._changed:
            clock = self._draw_clock()
            now = time.monotonic()
            self._life = self._platform.add(life, now, clock_begin=clock)
            self._changed.notify_all()

    def go_dark(self):
        """End the life; calls wait for the next one, unless their connections break."""
        with self._changed:
            self._platform.crash(self._life, time.monotonic())
            self._life = None
            self._changed.notify_all()
        if self._random.random() < self.broken_share:
            self._server.break_connections()

    def cut_off(self, is_cut_off=True):
        """Answer nothing, while all runs go on; calls that arrive are lost."""
        with self._changed:
            self._is_cut_off = is_cut_off
            self._changed.notify_all()

    def reconnect(self):
        self.cut_off(False)

    def close(self):
        if self._is_closing:
            return
        with self._changed:
            self._platform.advance(time.monotonic())
            self._is_closing = True
            self._changed.notify_all()
        self._server.shutdown()
        self._server.break_connections()
        for thread in self._threads:
            thread.join()
        self._server.server_close()
        self._http.clear()

    def await_life(self):
        """Wait while the instance is dark."""
        with self._changed:
            self._changed.wait_for(lambda: self._is_closing or self._life)

    def answer(self, path, body):
        """Return status and content of an answer, or None if the call gets none."""
        action = _convert(self._name, self._server.address, path, body)
        with self._changed:
            self.await_life()
            life = self._life
            if not self._is_served_by(life):
                self._await_service()
                return None
            is_hindered = self.is_harassed and isinstance(action, StartRun)
            chance = self._random.random() if is_hindered else 1.0
            if chance < LATE_SHARE:
                life.order_delay = self._random.uniform(*LATE_SECONDS)
            report = self._carry_out(action)
            life.order_delay = 0.0
            if chance < LATE_SHARE + LOST_SHARE:
                self._pause(life, CALL_SECONDS)
                return None
            content = {"clock_ms": report.clock}
            if report.refused:
                answer = HTTPStatus.CONFLICT, content | {"reason": report.refused}
            elif isinstance(action, RenewLease):
                answer = self._list_runs(life, action)
            else:
                answer = HTTPStatus.OK, content
            return answer and self._hold_up(life, answer)

    def _hold_up(self, life, answer):
        """Return an answer of a life once it is sent, or None if it is lost."""
        return answer

    def _draw_clock(self):
        """Return the milliseconds at which the clock of the next life begins."""
        return self._random.randrange(100_000, 9_000_000)

    def _carry_out(self, action):
        now = time.monotonic()
        _, find_outcome = self._platform.call(CallPlatform("", action, 1.0), now)
        return find_outcome(now).report

    def _list_runs(self, life, renewal):
        """Return the run lists once a run has ended, or after the time to wait."""
        end = time.monotonic() + renewal.wait
        # What a renewal extends and acknowledges is what there is as it arrives.
        listing = msgspec.structs.replace(renewal, lease_until=None, acknowledged=0)
        while self._is_served_by(life):
            report = self._carry_out(listing)
            if report.refused:
                return None
            if report.ended or time.monotonic() >= end:
                lists = {"running": report.running, "ended_runs": report.ended}
                life = {"clock_ms": report.clock, "born": report.born}
                return HTTPStatus.OK, life | lists
            self._changed.wait(LIST_SECONDS)
        self._await_service()
        return None

    def _await_service(self):
        """Wait until calls arrive again; those that were cut off are lost."""
        self._changed.wait_for(
            lambda: self._is_closing or self._is_served_by(self._life)
        )

    def _is_served_by(self, life):
        is_up = life is not None and self._life is life
        return is_up and not self._is_cut_off and not self._is_closing

    def _pause(self, life, seconds):
        """Wait for a time while a life goes on."""
        with self._changed:
            self._changed.wait_for(
                lambda: self._is_closing or self._life is not life, seconds
            )

    def _announce(self):
        try:
            self._send_heartbeats()
        except Exception as error:
            self.errors.append(repr(error))

    def _send_heartbeats(self):
        """Announce each life at once as it begins, and then regularly."""
        sequence = 0
        while not self._is_closing:
            with self._changed:
                self._await_service()
                life = self._life
            sequence += 1
            if life is not None and self._beat(life, sequence):
                self._pause(life, HEARTBEAT_SECONDS)
            else:
                self._controls.append(self._controls.pop(0))
                self._pause(life, HEARTBEAT_RETRY_SECONDS)

    def _beat(self, life, sequence):
        beat = {
            "service": "s",
            "address": self._server.address,
            "zone": self._data_centre,
            "state": "ready",
            "capacity": {"cpu": CAPACITY.cpu, "mem_mb": CAPACITY.memory},
            "labels": ["a", "r1-1"],
            "clock_ms": life.read_clock(time.monotonic()),
            "sequence": sequence,
            "born": life.registered.born,
        }
        url = f"http://{self._controls[0]}/instances/{self._name}/heartbeat"
        with suppress(urllib3.exceptions.HTTPError):
            return self._http.request("POST", url, json=beat).status == HTTPStatus.OK
        return False


class _Server(ThreadingHTTPServer):
    """Server that accepts no connection while its instance is dark."""

    daemon_threads = False
    request_queue_size = 256

    def __init__(self, host, instance):
        self.instance = instance
        self._connections = set()
        super().__init__((host, 0), _Handler)
        self.address = f"{host}:{self.server_address[1]}"

    def get_request(self):
        self.instance.await_life()
        connection, address = super().get_request()
        self._connections.add(connection)
        return connection, address

    def shutdown_request(self, request):
        self._connections.discard(request)
        super().shutdown_request(request)

    def break_connections(self):
        for connection in list(self._connections):
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def handle_error(self, request, client_address):
        """Note all errors but those of connections that break."""
        error = sys.exception()
        if not isinstance(error, OSError):
            self.instance.errors.append(repr(error))


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def do_POST(self):  # noqa: N802
        length = int(self.headers["Content-Length"])
        content = self.rfile.read(length)
        answer = None
        if len(content) == length:
            body = msgspec.json.decode(content)
            answer = self.server.instance.answer(self.path, body)
        if answer is None:
            self.close_connection = True
            return
        status, body = answer
        content = msgspec.json.encode(body)
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)

    def log_message(self, *arguments):
        """Write no log."""


def _convert(name, address, path, body):
    """Return the order that a call to an instance contains."""
    receiver = name, address, body["fencing_token"]
    if path == "/hold":
        wait = body.get("wait_ms", 0) / 1000
        deadline = body.get("deadline_ms")
        return RenewLease(*receiver, body["ack_cursor"], deadline, wait)
    if path == "/run-stop":
        return StopRun(*receiver, body["task"], body["run"])
    assert path == "/run-start", path
    deadline, task, run = body["deadline_ms"], body["task"], body["run"]
    return StartRun(*receiver, task, run, body["spec"], deadline)
