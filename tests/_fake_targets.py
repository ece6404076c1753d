"""Simulated targets that run requests and record every execution."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from gypsumwalk.inputs import DispatchOutcome, DispatchStatus

REQUEST_ID_HEADER = "gypsumwalk-request-id"
DEADLINE_HEADER = "gypsumwalk-deadline-seconds"
CONNECT_TIMEOUT = 1.0


class Behaviour(Enum):
    """How a target handles a request."""

    ANSWER = "answer"
    FAIL = "fail"
    """Answer immediately with status 500."""
    NEVER = "never"
    """Run the request and never answer."""
    REFUSE = "refuse"
    """Refuse the connection, without running the request."""


@dataclass
class Execution:
    """One execution of a request on a target, for the checkers."""

    request_id: str
    payload: bytes
    target: str
    daemon: str
    started: float
    ended: float | None = None


@dataclass
class FakeTarget:
    """One target.

    ``announce(target, now)`` returns the body of an announcement, or None to send none.
    It is called every ``announce_interval`` seconds and sent to any reachable daemon.
    """

    name: str
    announce: object = None
    data_centre: str = ""
    address: str = ""
    service_seconds: float = 0.05
    behaviour: Behaviour = Behaviour.ANSWER
    announce_interval: float = 1.0
    alive: bool = True
    leaving: bool = False
    entry: str = ""
    """Name of the only daemon to which announcements go; empty for any."""
    announce_credential: str = ""
    incarnation: int = 1
    overruns: bool = False
    """Whether it continues past the deadline of a request."""
    running: dict = field(default_factory=dict)

    @property
    def place(self):
        """Names of the target in partitions: its own and its data centre's."""
        return frozenset({self.name, self.data_centre} - {""})


class FakeTargets:
    """All targets of a world, and their executions."""

    def __init__(self, world) -> None:
        self.executions: list[Execution] = []
        self.by_name: dict[str, FakeTarget] = {}
        self._world = world
        self._waiting: dict[tuple, object] = {}

    def add(self, target):
        """Start a target and its announcements."""
        target.address = target.address or f"{target.name}:80"
        self.by_name[target.name] = target
        first = self._world.random.uniform(0.0, target.announce_interval)
        self._world.schedule(first, lambda: self._announce(target))
        return target

    def count_runs(self):
        """Return the number of executions by request id."""
        return Counter(item.request_id for item in self.executions)

    def count_payload_runs(self):
        """Return the number of executions by payload."""
        return Counter(item.payload for item in self.executions)

    def kill(self, name):
        """Kill a target; running requests are lost and connections are reset."""
        target = self.by_name[name]
        target.alive = False
        for key, execution in list(target.running.items()):
            execution.ended = self._world.now
            self._end(key, DispatchOutcome(key[2], DispatchStatus.UNKNOWN))
        target.running.clear()

    def revive(self, name):
        """Restart a target as a new incarnation."""
        self.by_name[name].alive = True
        self.by_name[name].incarnation += 1

    def dispatch(self, daemon, effect):
        """Perform a ``Dispatch`` effect of a daemon."""
        key = (daemon.name, daemon.epoch, effect.dispatch_id)
        self._waiting[key] = daemon
        target = self._find(effect)
        not_sent = DispatchOutcome(effect.dispatch_id, DispatchStatus.NOT_SENT)
        if target is None or self._world.network.blocks(daemon.place, target.place):
            self._world.schedule(CONNECT_TIMEOUT, lambda: self._end(key, not_sent))
            return
        unknown = DispatchOutcome(effect.dispatch_id, DispatchStatus.UNKNOWN)
        self._world.schedule(effect.timeout, lambda: self._end(key, unknown))
        delay = self._world.network.draw_delay()
        self._world.schedule(delay, lambda: self._arrive(key, target, effect))

    def cancel(self, daemon, effect):
        """Discard the outcome of a dispatch; the target keeps running the request."""
        self._waiting.pop((daemon.name, daemon.epoch, effect.dispatch_id), None)

    def _find(self, effect):
        for target in self.by_name.values():
            if target.address == effect.address:
                return target
        return None

    def _arrive(self, key, target, effect):
        if not target.alive or target.behaviour is Behaviour.REFUSE:
            self._end(key, DispatchOutcome(effect.dispatch_id, DispatchStatus.NOT_SENT))
            return
        headers = {name.lower(): value for name, value in effect.headers.items()}
        request_id = headers.get(REQUEST_ID_HEADER, effect.dispatch_id)
        execution = Execution(
            request_id, effect.payload, target.name, key[0], self._world.now
        )
        self.executions.append(execution)
        target.running[key] = execution
        seconds = target.service_seconds
        if target.behaviour is Behaviour.FAIL:
            seconds = 0.0
        allowed = float(headers.get(DEADLINE_HEADER, "inf"))
        if seconds > allowed and not target.overruns:
            self._world.schedule(allowed, lambda: self._abort_at_deadline(key, target))
            return
        self._world.schedule(seconds, lambda: self._finish(key, target, effect))

    def _abort_at_deadline(self, key, target):
        execution = target.running.pop(key, None)
        if execution is not None:
            execution.ended = self._world.now

    def _finish(self, key, target, effect):
        execution = target.running.pop(key, None)
        if execution is None:
            return
        execution.ended = self._world.now
        daemon = self._waiting.get(key)
        if daemon is None or target.behaviour is Behaviour.NEVER:
            return
        if self._world.network.blocks(target.place, daemon.place):
            return
        failed = target.behaviour is Behaviour.FAIL
        outcome = DispatchOutcome(
            effect.dispatch_id,
            DispatchStatus.ANSWERED,
            500 if failed else 200,
            b"failed" if failed else b"answer to " + effect.payload,
        )
        delay = self._world.network.draw_delay()
        self._world.schedule(delay, lambda: self._end(key, outcome))

    def _end(self, key, outcome):
        daemon = self._waiting.pop(key, None)
        if daemon is not None:
            self._world.deliver(daemon, outcome, epoch=key[1])

    def _announce(self, target):
        self._world.schedule(target.announce_interval, lambda: self._announce(target))
        body = target.announce(target, self._world.now) if target.announce else None
        if target.alive and body is not None:
            self._world.call(
                body,
                to=target.entry,
                origin=target.place,
                credential=target.announce_credential,
            )
