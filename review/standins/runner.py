"""Runner that runs tasks under a lease, as PROTOCOL.md describes it."""

import contextlib
import threading
import time
from dataclasses import dataclass, field
from typing import Any

from review.standins.http import JsonServer, Reply, call
from review.standins.record import Record

__all__ = ["Run", "Runner", "find_overlaps"]

HEARTBEAT_SECONDS = 1.5
ACKNOWLEDGEMENT_SECONDS = 1.0
DRAIN_SECONDS = 2.0
LINGER_SECONDS = 4.0
"""Time until a runner ends whose deregistration was not acknowledged."""

MAX_HOLD_MS = 10_000
STOP_SECONDS = 0.1
TICK_SECONDS = 0.02
CAPACITY = {"cpu": 32_000, "mem_mb": 65_536, "gpu": 0}


@dataclass(slots=True)
class Run:
    """One run of a task, as the runner carried it out.

    Attributes
    ----------
    task : str
        Name of the task.
    run : int
        Number of the run.
    runner : str
        Identifier of the runner.
    started : float
        Seconds of the record at which it began.
    due : float
        Seconds of the record at which its work is done.
    ended : float
        Seconds of the record at which it ended, infinite before.
    how : str
        How it ended, empty before.
    """

    task: str
    run: int
    runner: str
    started: float
    due: float
    ended: float = float("inf")
    how: str = ""


@dataclass(slots=True)
class _Life:
    """What a runner knows; all of it is lost when it ends."""

    born: int
    clock_started: float
    fence: int = 0
    lease_until: int = 0
    running: dict[str, Run] = field(default_factory=dict)
    closed: dict[str, int] = field(default_factory=dict)
    ends: list[list[Any]] = field(default_factory=list)
    end_count: int = 0
    sequence: int = 0


class Runner:
    """One runner; the spec of a task is the number of seconds that it takes.

    Parameters
    ----------
    name : str
        Identifier, kept across restarts.
    host : str
        Loopback address.
    service : str
        Service of the runner.
    daemons : list of str
        Control addresses, in the order in which they are tried.
    record : Record
        Record of the case.
    """

    def __init__(
        self, name: str, host: str, service: str, daemons: list[str], record: Record
    ) -> None:
        self.name = name
        self.history: list[Run] = []
        self.acknowledged_at = float("-inf")
        """Seconds of the record of the last heartbeat that was acknowledged."""
        self.crashes_at_start = False
        """Whether it crashes for good as it receives an order to start a task."""
        self.received_starts = 0
        self._host, self._port = host, 0
        self._service = service
        self._daemons = daemons
        self._preferred = 0
        self._record = record
        self._changed = threading.Condition(threading.RLock())
        self._state = "ready"
        self._life: _Life | None = None
        self._server: JsonServer | None = None
        self._closed = threading.Event()
        for target in (self._tick, self._beat):
            threading.Thread(target=target, daemon=True).start()

    @property
    def address(self) -> str:
        """Address of the runner's server."""
        return f"{self._host}:{self._port}"

    def start(self) -> None:
        """Begin a life, which knows nothing of those before."""
        server = JsonServer(self._host, self._port, self._serve)
        self._server, self._port = server, int(server.address.rpartition(":")[2])
        born = int(time.time() * 1000)
        with self._changed:
            self._state = "ready"
            self._life = _Life(born, time.monotonic())
        self._record.write(f"runner {self.name} started, born {born}")

    def end(self) -> None:
        """End the life with everything that runs."""
        with self._changed:
            life, self._life = self._life, None
            for run in list(life.running.values()) if life else []:
                self._finish(run, "ended with its runner")
        if self._server:
            self._server.close()
        self._record.write(f"runner {self.name} ended")

    def close(self) -> None:
        """End the runner for good."""
        self._closed.set()
        if self._life:
            self.end()

    def announce_drain(self) -> bool:
        """Report that the runner drains; return whether that was acknowledged."""
        with self._changed:
            self._state = "draining"
        self._record.write(f"runner {self.name} drains")
        return self.send_heartbeat()

    def deregister(self) -> None:
        """Leave as planned, acknowledged or not, and end."""
        path = f"/instances/{self.name}/deregister"
        daemon = self._daemons[self._preferred]
        self._record.write(f"runner {self.name} deregisters at {daemon}")
        sent_at = time.monotonic()
        status, _ = call(daemon, "POST", path, timeout=ACKNOWLEDGEMENT_SECONDS)
        self._record.write(f"runner {self.name} was answered {status or 'nothing'}")
        if not 200 <= status < 300:
            time.sleep(max(0.0, sent_at + LINGER_SECONDS - time.monotonic()))
        self.end()

    def list_running(self) -> list[Run]:
        """Return the runs that go on."""
        with self._changed:
            return list(self._life.running.values()) if self._life else []

    # Heartbeats

    def describe(self) -> dict[str, Any]:
        """Return the body of the next heartbeat."""
        with self._changed:
            assert self._life is not None
            self._life.sequence += 1
            return {
                "service": self._service,
                "address": self.address,
                "zone": "recife",
                "version": "v1",
                "slots": 8,
                "state": self._state,
                "cold_remaining_ms": 0,
                "born": self._life.born,
                "capacity": CAPACITY,
                "labels": ["a", "r1-1"],
                "machine": f"m-{self.name}",
                "clock_ms": self._read_clock(),
                "sequence": self._life.sequence,
            }

    def send_heartbeat(self) -> bool:
        """Send a heartbeat, to the next daemon if one does not acknowledge it."""
        path = f"/instances/{self.name}/heartbeat"
        for _ in self._daemons:
            daemon = self._daemons[self._preferred]
            with self._changed:
                if self._life is None:
                    return False
                body = self.describe()
            status, _ = call(
                daemon, "POST", path, body, timeout=ACKNOWLEDGEMENT_SECONDS
            )
            text = f"runner {self.name}: heartbeat ({body['state']}) at {daemon}"
            self._record.write(f"{text} answered {status or 'nothing'}")
            if 200 <= status < 300:
                self.acknowledged_at = self._record.now()
                return True
            self._preferred = (self._preferred + 1) % len(self._daemons)
        return False

    def prefer(self, daemon: str) -> None:
        """Send the next heartbeats to a daemon."""
        self._preferred = self._daemons.index(daemon)

    def _beat(self) -> None:
        while not self._closed.is_set():
            if self._life is not None:
                with contextlib.suppress(AssertionError):
                    self.send_heartbeat()
            self._closed.wait(HEARTBEAT_SECONDS)

    # Orders

    def _read_clock(self) -> int:
        assert self._life is not None
        return int((time.monotonic() - self._life.clock_started) * 1000) + 1

    def _serve(
        self, method: str, path: str, headers: dict[str, str], body: dict[str, Any]
    ) -> Reply:
        with self._changed:
            life = self._life
            if life is None:
                return 503, {}
            if path == "/health":
                return 200, {}
            if headers.get("expect-instance", self.name) != self.name:
                return 421, {}
            fence = body.get("fencing_token", 0)
            if fence < life.fence:
                return self._answer(409, life, reason="fence")
            life.fence = fence
            if "deadline_ms" in body:
                self._extend_lease(life, body["deadline_ms"])
            match path:
                case "/run-start":
                    self._crash_if_due(body["task"])
                    return self._start(life, body)
                case "/run-stop":
                    return self._stop(life, body)
                case "/hold":
                    return self._hold(life, body)
        return 400, {}

    def _answer(self, status: int, life: _Life, **fields: Any) -> Reply:
        return status, {"clock_ms": self._read_clock(), "born": life.born, **fields}

    def _extend_lease(self, life: _Life, deadline: int) -> None:
        limit = self._read_clock() + MAX_HOLD_MS
        life.lease_until = max(life.lease_until, min(deadline, limit))

    def _crash_if_due(self, task: str) -> None:
        self.received_starts += 1
        if self.crashes_at_start:
            self._record.write(f"runner {self.name} crashes at the start of {task}")
            threading.Thread(target=self.close, daemon=True).start()
            raise ConnectionAbortedError

    def _start(self, life: _Life, body: dict[str, Any]) -> Reply:
        task, number = body["task"], body["run"]
        self._record.write(f"runner {self.name} is told to start {task} run {number}")
        known = life.running.get(task)
        if known is not None and known.run == number:
            return self._answer(200, life)
        if number <= life.closed.get(task, 0) or known is not None:
            return self._answer(409, life, reason="old")
        if body["deadline_ms"] <= self._read_clock():
            return self._answer(409, life, reason="late")
        now = self._record.now()
        run = Run(task, number, self.name, now, now + float(body["spec"]))
        life.running[task] = run
        self.history.append(run)
        self._record.write(f"runner {self.name} began {task} run {number}")
        return self._answer(200, life)

    def _stop(self, life: _Life, body: dict[str, Any]) -> Reply:
        task, number = body["task"], body["run"]
        self._record.write(f"runner {self.name} is told to stop {task} run {number}")
        life.closed[task] = max(life.closed.get(task, 0), number)
        run = life.running.get(task)
        if run is not None and run.run <= number:
            run.due, run.how = self._record.now() + STOP_SECONDS, "stopped"
        return self._answer(200, life)

    def _hold(self, life: _Life, body: dict[str, Any]) -> Reply:
        cursor = body.get("ack_cursor", 0)
        life.ends = [row for row in life.ends if row[0] > cursor]
        wait = body.get("wait_ms", 0) / 1000
        if wait and not life.ends:
            count = life.end_count
            self._changed.wait_for(
                lambda: self._life is not life or life.end_count > count, wait
            )
        if self._life is not life:
            return 503, {}
        running = [[run.task, run.run, "", 100, 1000] for run in life.running.values()]
        return self._answer(200, life, running=running, ended_runs=life.ends)

    def _tick(self) -> None:
        while not self._closed.wait(TICK_SECONDS):
            with self._changed:
                life = self._life
                if life is None:
                    continue
                has_lapsed = self._read_clock() > life.lease_until
                for run in list(life.running.values()):
                    if has_lapsed:
                        self._end_run(life, run, "lapsed")
                    elif self._record.now() >= run.due:
                        self._end_run(life, run, run.how or "done")

    def _end_run(self, life: _Life, run: Run, how: str) -> None:
        del life.running[run.task]
        life.closed[run.task] = max(life.closed.get(run.task, 0), run.run)
        life.end_count += 1
        life.ends.append([life.end_count, run.task, run.run, how, ""])
        self._finish(run, how)
        self._changed.notify_all()

    def _finish(self, run: Run, how: str) -> None:
        run.ended, run.how = self._record.now(), how
        self._record.write(f"runner {self.name}: {run.task} run {run.run} {how}")


def find_overlaps(runners: list[Runner], least: float) -> list[tuple[Run, Run]]:
    """Return the pairs of runs of one task that went on at the same time.

    Parameters
    ----------
    runners : list of Runner
        The runners, all of them up.
    least : float
        Seconds for which both runs have to go on.

    Returns
    -------
    list of tuple of Run
        The pairs, the earlier run first.
    """
    runs = sorted(
        (run for runner in runners for run in list(runner.history)),
        key=lambda run: run.started,
    )
    return [
        (first, second)
        for number, first in enumerate(runs)
        for second in runs[number + 1 :]
        if first.task == second.task
        and min(first.ended, second.ended) - second.started > least
    ]
