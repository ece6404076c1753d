"""A few daemons on a paused clock, over fakes of network, disk, targets and platform.

The world drives the same ``Node`` objects as the daemon does::

    world = World(build, seed=3)          # build(name, recovered, incarnation) -> Node
    for name in ("hanbit-1", "hanbit-2", "hanbit-3"):
        world.add(name, data_centre=name)
    call = world.call(SomeCall(), to="hanbit-1", credential="key")
    assert world.run_until(lambda: call.answer is not None, within=2.0)
    world.part(["hanbit-1"], ["rest"])    # names of daemons, targets, data centres
    world.kill("hanbit-2"); world.restart("hanbit-2"); world.heal()
    world.run(5.0)

Everything that daemons did is in ``world.trace``; what targets ran is in
``world.targets.executions``.
"""

import heapq
from dataclasses import dataclass, field
from random import Random

import msgspec

from gypsumwalk.effects import (
    CallPlatform,
    CancelDispatch,
    Dispatch,
    Effect,
    Propose,
    Record,
    Respond,
    SendPeer,
    Stop,
    WriteDisk,
)
from gypsumwalk.inputs import (
    CallInput,
    DiskOutcome,
    PeerInput,
    PlatformOutcome,
    ShutdownRequested,
)
from gypsumwalk.part import NEVER
from tests._fake_disk import FakeDisk
from tests._fake_network import REST, FakeNetwork
from tests._fake_targets import FakeTargets

START = 1_700_000_000.0
"""Time in seconds at which a world begins."""
MAX_WAKEUPS_AT_ONCE = 1_000
MAX_QUEUED_WHILE_PAUSED = 10_000
PLATFORM = frozenset({"platform"})
"""Place of the platform, for partitions."""


@dataclass(frozen=True)
class TraceEntry:
    """One thing that a daemon did."""

    at: float
    node: str
    effect: Effect


@dataclass
class Call:
    """One HTTP call and its end."""

    call_id: int
    body: msgspec.Struct
    to: str
    sent_at: float
    credential: str = ""
    payload: bytes = b""
    origin: frozenset[str] = frozenset({"caller"})
    answer: object = None
    answered_at: float | None = None
    lost: bool = False
    """The connection was refused or reset: no answer comes."""
    then: object = None
    """Called with the call once it is answered."""

    @property
    def ended(self):
        """Tell whether the caller waits no more."""
        return self.lost or self.answer is not None


@dataclass
class Daemon:
    """One daemon and its process."""

    name: str
    place: frozenset[str]
    disk: FakeDisk | None
    clock_offset: float = 0.0
    clock_rate: float = 1.0
    node: object = None
    epoch: int = 0
    """Number of its process; what is meant for an earlier one is lost."""
    incarnation: int = 0
    paused: bool = False
    stopped: bool = False
    exit_code: int | None = None
    queue: list = field(default_factory=list)
    wakeup_token: int = 0
    wakeups: int = 0
    last_wakeup: float = 0.0

    @property
    def alive(self):
        """Tell whether its process exists; it may be paused."""
        return self.node is not None

    def read_clock(self, at):
        """Return the daemon's own time."""
        return START + (at - START) * self.clock_rate + self.clock_offset

    def find_time(self, own):
        """Return the world's time at which the daemon's clock shows ``own``."""
        return START + (own - self.clock_offset - START) / self.clock_rate


class World:
    """Daemons, fakes, a clock and a trace.

    Parameters
    ----------
    build : callable
        ``build(name, recovered, incarnation)`` returns a node: anything with
        ``handle``, ``advance`` and ``wakeup``.
    seed : int
        Seed of every random number of the world.
    platform : object, optional
        Has ``call(effect, now) -> (delay, PlatformOutcome)`` and, if it likes,
        ``report(now) -> list of bodies`` sent each second to any daemon.
    accept : callable, optional
        ``accept(recipient, source, incarnation, sequence)`` tells whether a daemon
        takes a peer's message in, as the drivers' replay window does.
    """

    def __init__(self, build, *, seed=0, platform=None, accept=None):
        self.now = START
        self.random = Random(seed)
        self.network = FakeNetwork(Random(f"network {seed}"))
        self.targets = FakeTargets(self)
        self.platform = platform
        self.daemons: dict[str, Daemon] = {}
        self.trace: list[TraceEntry] = []
        self.calls: dict[int, Call] = {}
        self._build = build
        self._accept = accept
        self.is_ready = lambda name: True
        """Whether the balancer gives a daemon calls."""
        self._heap: list[tuple] = []
        self._count = 0
        if hasattr(platform, "report"):
            self.schedule(1.0, self._report)

    # Time.

    def schedule(self, delay, action):
        """Run ``action()`` after some seconds."""
        self._count += 1
        heapq.heappush(self._heap, (self.now + max(0.0, delay), self._count, action))

    def run(self, seconds):
        """Let time pass."""
        self._run_until(self.now + seconds, lambda: False)

    def run_until(self, condition, *, within):
        """Let time pass until a condition holds; tell whether it did in time."""
        self._run_until(self.now + within, condition)
        return bool(condition())

    def _run_until(self, end, condition):
        while not condition():
            if not self._heap or self._heap[0][0] > end:
                self.now = end
                return
            self.now, _, action = heapq.heappop(self._heap)
            action()

    # Daemons.

    def add(self, name, *, data_centre="", disk=True, clock_offset=0.0, clock_rate=1.0):
        """Start a daemon."""
        place = frozenset({name, data_centre} - {""})
        kept = FakeDisk(Random(self.random.random())) if disk else None
        daemon = Daemon(name, place, kept, clock_offset, clock_rate)
        self.daemons[name] = daemon
        self.restart(name)
        return daemon

    def kill(self, name):
        """End a process at once: memory, connections and unsynced writes are lost."""
        daemon = self.daemons[name]
        daemon.node = None
        daemon.paused = False
        daemon.queue.clear()
        daemon.epoch += 1
        if daemon.disk:
            daemon.disk.crash()
        for call in self.calls.values():
            if call.to == name and not call.ended:
                call.lost = True

    def restart(self, name):
        """Start a process, after killing it where it still runs."""
        daemon = self.daemons[name]
        if daemon.alive:
            self.kill(name)
        own = daemon.read_clock(self.now)
        daemon.incarnation = max(daemon.incarnation + 1, int(own * 1000))
        daemon.epoch += 1
        daemon.stopped = False
        recovered = daemon.disk.recover() if daemon.disk else None
        daemon.node = self._build(name, recovered, daemon.incarnation)
        self._arm(daemon)

    def pause(self, name):
        """Stop a process without ending it; what arrives meanwhile waits."""
        self.daemons[name].paused = True

    def resume(self, name):
        """Let a paused process go on; it takes in all that waited, then its timers."""
        daemon = self.daemons[name]
        daemon.paused = False
        waiting, daemon.queue = daemon.queue, []
        for item in waiting:
            self.deliver(daemon, item)
        self._arm(daemon)

    def shut_down(self, name, seconds=30.0):
        """Ask a process to leave; after so many seconds it may cut requests."""
        daemon = self.daemons[name]
        deadline = daemon.read_clock(self.now) + seconds
        self.deliver(daemon, ShutdownRequested(deadline))

    def lose_disk(self, name):
        """End a process and replace its disk by an empty one."""
        self.kill(name)
        self.daemons[name].disk.lose()

    def fill_disk(self, name, full=True):
        """Let every write fail, or end that."""
        self.daemons[name].disk.full = full

    def part(self, sources, sinks=(REST,), *, one_way=False):
        """Cut two groups off from each other."""
        self.network.part(sources, sinks, one_way=one_way)

    def heal(self):
        """End every partition."""
        self.network.heal()

    # Calls.

    def call(
        self, body, *, to="", credential="", payload=b"", origin=frozenset({"caller"})
    ):
        """Make an HTTP call to a daemon, or to any that can be reached."""
        self._count += 1
        call = Call(self._count, body, to, self.now, credential, payload, origin)
        daemon = self.daemons[to] if to else self._choose(origin)
        if daemon is None or not self._reaches(origin, daemon):
            call.lost = True
            return call
        call.to = daemon.name
        self.calls[call.call_id] = call
        item = CallInput(call.call_id, body, credential, payload)
        epoch = daemon.epoch
        delay = self.network.draw_delay()
        self.schedule(delay, lambda: self.deliver(daemon, item, epoch=epoch))
        return call

    def _choose(self, origin):
        able = [
            item
            for item in self.daemons.values()
            if self._reaches(origin, item) and self.is_ready(item.name)
        ]
        return self.random.choice(able) if able else None

    def _reaches(self, origin, daemon):
        return daemon.alive and not self.network.blocks(origin, daemon.place)

    def propose(self, name, command):
        """Let a daemon propose a command whose outcome nobody waits for."""
        self._count += 1
        proposal = Propose(f"scenario/{self._count}", command)
        daemon = self.daemons[name]
        own = daemon.read_clock(self.now)
        self._carry_out(daemon, daemon.node._process_effects([proposal], own))

    # Inputs and effects.

    def deliver(self, daemon, item, *, epoch=None):
        """Hand an input to a daemon's decisions; lost if its process has ended."""
        if not daemon.alive or (epoch is not None and epoch != daemon.epoch):
            return
        if daemon.paused:
            if len(daemon.queue) < MAX_QUEUED_WHILE_PAUSED:
                daemon.queue.append(item)
            return
        own = daemon.read_clock(self.now)
        self._carry_out(daemon, daemon.node.handle(item, own))

    def _arm(self, daemon):
        if not daemon.alive or daemon.paused:
            return
        due = daemon.node.wakeup
        daemon.wakeup_token += 1
        if due == NEVER:
            return
        token = daemon.wakeup_token
        delay = daemon.find_time(due) - self.now
        self.schedule(delay, lambda: self._wake(daemon, token))

    def _wake(self, daemon, token):
        if token != daemon.wakeup_token or not daemon.alive or daemon.paused:
            return
        self._guard_against_loops(daemon)
        own = max(daemon.read_clock(self.now), daemon.node.wakeup)
        self._carry_out(daemon, daemon.node.advance(own))

    def _guard_against_loops(self, daemon):
        if daemon.last_wakeup != self.now:
            daemon.last_wakeup = self.now
            daemon.wakeups = 0
        daemon.wakeups += 1
        if daemon.wakeups > MAX_WAKEUPS_AT_ONCE:
            raise AssertionError(f"{daemon.name} wakes up for ever at one time")

    def _carry_out(self, daemon, effects):
        for effect in effects:
            self.trace.append(TraceEntry(self.now, daemon.name, effect))
            self._carry_out_one(daemon, effect)
            if not daemon.alive:
                return
        self._arm(daemon)

    def _carry_out_one(self, daemon, effect):
        match effect:
            case SendPeer():
                self._send(daemon, effect)
            case WriteDisk():
                self._write(daemon, effect)
            case Respond():
                self._respond(daemon, effect)
            case Dispatch():
                self.targets.dispatch(daemon, effect)
            case CancelDispatch():
                self.targets.cancel(daemon, effect)
            case CallPlatform():
                self._call_platform(daemon, effect)
            case Stop(exit_code):
                daemon.stopped = True
                daemon.exit_code = exit_code
                self.kill(daemon.name)
            case Record():
                pass
            case _:
                raise AssertionError(f"{daemon.name} let out {effect!r}")

    def _send(self, daemon, effect):
        body = self.network.copy(daemon.name, effect.body, effect.reliable)
        recipient = self.daemons.get(effect.recipient)
        if recipient is None or body is None:
            return
        item = PeerInput(daemon.name, body)
        self._count += 1
        mark = (daemon.name, daemon.incarnation, self._count)
        for delay in self.network.draw_copies():
            self.schedule(delay, lambda: self._arrive(daemon, recipient, item, mark))

    def _arrive(self, daemon, recipient, item, mark):
        if self.network.blocks(daemon.place, recipient.place) or not recipient.alive:
            return
        if self._accept is None or self._accept(recipient.name, *mark):
            self.deliver(recipient, item)

    def _write(self, daemon, effect):
        if daemon.disk is None:
            raise AssertionError(f"{daemon.name} has no disk and writes to it")
        epoch = daemon.epoch
        end = daemon.disk.begin(effect.operations, self.now)
        self.schedule(end - self.now, lambda: self._synced(daemon, effect, epoch))

    def _synced(self, daemon, effect, epoch):
        if epoch != daemon.epoch:
            return
        outcome = DiskOutcome(effect.token, daemon.disk.finish())
        self.deliver(daemon, outcome, epoch=epoch)

    def _respond(self, daemon, effect):
        call = self.calls.get(effect.call_id)
        if call is None:
            raise AssertionError(f"{daemon.name} answers no call: {effect!r}")
        if call.answer is not None:
            raise AssertionError(f"{daemon.name} answers twice: {call.body!r}")
        if self.network.blocks(daemon.place, call.origin):
            call.lost = True
            return
        call.answer = effect.answer
        call.answered_at = self.now
        if call.then is not None:
            call.then(call)

    def _call_platform(self, daemon, effect):
        epoch = daemon.epoch
        unknown = PlatformOutcome(effect.token, succeeded=False, unknown=True)
        delay, outcome = effect.timeout, unknown
        if self.platform and not self.network.blocks(daemon.place, PLATFORM):
            self.platform.caller = daemon.name
            delay, outcome = self.platform.call(effect, self.now)
        if delay > effect.timeout:
            delay, outcome = effect.timeout, unknown

        def arrive():
            found = outcome(self.now) if callable(outcome) else outcome
            self.deliver(daemon, found, epoch=epoch)

        self.schedule(delay, arrive)

    def _report(self):
        self.schedule(1.0, self._report)
        for body in self.platform.report(self.now):
            self.call(body, origin=PLATFORM)
