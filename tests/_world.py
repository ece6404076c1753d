"""Discrete-event simulation of daemons over a fake network, disks and targets.

The simulation drives the same ``Node`` objects as the daemon process does::

    world = World(build, seed=3)          # build(name, recovered, incarnation) -> Node
    for name in ("hanbit-1", "hanbit-2", "hanbit-3"):
        world.add(name, data_centre=name)
    call = world.call(SomeCall(), to="hanbit-1", credential="key")
    assert world.run_until(lambda: call.answer is not None, within=2.0)
    world.partition(["hanbit-1"], ["rest"])  # daemons, targets or data centres
    world.kill("hanbit-2"); world.restart("hanbit-2"); world.heal()
    world.run(5.0)

``world.trace`` holds every effect of the daemons, and ``world.targets.executions``
every execution on the targets.
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
from gypsumwalk.emulator import LongPoll
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
"""Simulated time in seconds since 1970 at which a world starts."""
MAX_WAKEUPS_AT_ONCE = 1_000
MAX_QUEUED_WHILE_PAUSED = 10_000
PLATFORM = frozenset({"platform"})
"""Endpoint names of the platform, matched against partitions."""


@dataclass(frozen=True)
class TraceEntry:
    """One effect that a daemon emitted."""

    at: float
    node: str
    effect: Effect


@dataclass
class Call:
    """One HTTP call and its outcome."""

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
    """Whether the connection was refused or reset, so that no answer comes."""
    on_answer: object = None
    """Callback that receives the call when it is answered, or None."""

    @property
    def ended(self):
        """Whether the call was answered or lost."""
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
    """Number of the current process; input addressed to an earlier one is dropped."""
    incarnation: int = 0
    sent_messages: int = 0
    """Messages to peers that the current process has sent."""
    paused: bool = False
    stopped: bool = False
    exit_code: int | None = None
    queue: list = field(default_factory=list)
    stalled_writes: list = field(default_factory=list)
    """Writes that a stalled disk has not ended, each with the process that began it."""
    wakeup_token: int = 0
    wakeups: int = 0
    last_wakeup: float = 0.0

    @property
    def alive(self):
        """Whether the process exists; it may be paused."""
        return self.node is not None

    def read_clock(self, at):
        """Return the daemon's clock reading at a simulated time."""
        return START + (at - START) * self.clock_rate + self.clock_offset

    def to_world_time(self, local_time):
        """Return the simulated time of a reading of the daemon's clock."""
        return START + (local_time - self.clock_offset - START) / self.clock_rate


class World:
    """Simulated daemons with their fakes, a virtual clock and a trace of effects.

    Parameters
    ----------
    build : callable
        ``build(name, recovered, incarnation)`` returns a node: anything with
        ``handle``, ``advance`` and ``wakeup``.
    seed : int
        Seed of every random number generator of the simulation.
    platform : object, optional
        Has ``call(effect, now) -> (delay, PlatformOutcome)`` and optionally
        ``report(now)``, which returns bodies that are sent to any daemon each second.
    accept : callable, optional
        ``accept(recipient, source, incarnation, sequence)`` returns whether a daemon
        accepts a peer's message, as the drivers' replay protection does.
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
        """Returns whether the load balancer routes calls to a daemon."""
        self._heap: list[tuple] = []
        self._count = 0
        if hasattr(platform, "report"):
            self.schedule(1.0, self._report)

    # Time.

    def schedule(self, delay, action):
        """Run ``action()`` after ``delay`` seconds."""
        self._count += 1
        heapq.heappush(self._heap, (self.now + max(0.0, delay), self._count, action))

    def run(self, seconds):
        """Advance the simulation by a number of seconds."""
        self._run_until(self.now + seconds, lambda: False)

    def run_until(self, condition, *, within):
        """Advance until a condition holds; return whether it did in time."""
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
        """Add a daemon and start its process."""
        place = frozenset({name, data_centre} - {""})
        fake_disk = FakeDisk(Random(self.random.random())) if disk else None
        daemon = Daemon(name, place, fake_disk, clock_offset, clock_rate)
        self.daemons[name] = daemon
        self.restart(name)
        return daemon

    def kill(self, name):
        """Kill a process: memory, connections and unsynced writes are lost."""
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
        """Start a process, killing the previous one if it still runs."""
        daemon = self.daemons[name]
        if daemon.alive:
            self.kill(name)
        local_time = daemon.read_clock(self.now)
        daemon.incarnation = max(daemon.incarnation + 1, int(local_time * 1000))
        daemon.epoch += 1
        daemon.sent_messages = 0
        daemon.stopped = False
        recovered = daemon.disk.recover() if daemon.disk else None
        daemon.node = self._build(name, recovered, daemon.incarnation)
        self._arm(daemon)

    def pause(self, name):
        """Suspend a process; input that arrives meanwhile is queued."""
        self.daemons[name].paused = True

    def resume(self, name):
        """Resume a paused process: it handles queued input first, then due timers."""
        daemon = self.daemons[name]
        daemon.paused = False
        waiting, daemon.queue = daemon.queue, []
        for item in waiting:
            self.deliver(daemon, item)
        self._arm(daemon)

    def shut_down(self, name, seconds=30.0):
        """Request a graceful shutdown, with a deadline in seconds for draining."""
        daemon = self.daemons[name]
        deadline = daemon.read_clock(self.now) + seconds
        self.deliver(daemon, ShutdownRequested(deadline))

    def lose_disk(self, name):
        """Kill a process and replace its disk by an empty one."""
        self.kill(name)
        self.daemons[name].disk.lose()

    def cut_power(self, name):
        """Kill a process and lose what its disk, if any, has not synced."""
        self.kill(name)
        if disk := self.daemons[name].disk:
            disk.lose_power()

    def fill_disk(self, name, full=True):
        """Make every write fail, or succeed again with ``full=False``."""
        self.daemons[name].disk.full = full

    def stall_disk(self, name):
        """Let no write of a disk end until ``resume_disk``."""
        self.daemons[name].disk.stalled = True

    def resume_disk(self, name):
        """Let the writes of a stalled disk end."""
        daemon = self.daemons[name]
        daemon.disk.stalled = False
        waiting, daemon.stalled_writes = daemon.stalled_writes, []
        for effect, epoch in waiting:
            self._finish_write(daemon, effect, epoch)

    def partition(self, sources, sinks=(REST,), *, one_way=False):
        """Partition the network between two groups."""
        self.network.partition(sources, sinks, one_way=one_way)

    def heal(self):
        """Remove all partitions."""
        self.network.heal()

    # Calls.

    def call(
        self, body, *, to="", credential="", payload=b"", origin=frozenset({"caller"})
    ):
        """Make an HTTP call to a daemon, or to any that is ready and reachable."""
        self._count += 1
        call = Call(self._count, body, to, self.now, credential, payload, origin)
        daemon = self.daemons[to] if to else self._choose_daemon(origin)
        if daemon is None or not self._can_reach(origin, daemon):
            call.lost = True
            return call
        call.to = daemon.name
        self.calls[call.call_id] = call
        item = CallInput(call.call_id, body, credential, payload)
        epoch = daemon.epoch
        delay = self.network.draw_delay()
        self.schedule(delay, lambda: self.deliver(daemon, item, epoch=epoch))
        return call

    def _choose_daemon(self, origin):
        reachable = [
            item
            for item in self.daemons.values()
            if self._can_reach(origin, item) and self.is_ready(item.name)
        ]
        return self.random.choice(reachable) if reachable else None

    def _can_reach(self, origin, daemon):
        return daemon.alive and not self.network.blocks(origin, daemon.place)

    def propose(self, name, command):
        """Make a daemon propose a command; the outcome is ignored."""
        self._count += 1
        proposal = Propose(f"scenario/{self._count}", command)
        daemon = self.daemons[name]
        local_time = daemon.read_clock(self.now)
        self._carry_out(daemon, daemon.node._process_effects([proposal], local_time))

    # Inputs and effects.

    def deliver(self, daemon, item, *, epoch=None):
        """Deliver an input to a daemon; dropped if its process has ended."""
        if not daemon.alive or (epoch is not None and epoch != daemon.epoch):
            return
        if daemon.paused:
            if len(daemon.queue) < MAX_QUEUED_WHILE_PAUSED:
                daemon.queue.append(item)
            return
        local_time = daemon.read_clock(self.now)
        self._carry_out(daemon, daemon.node.handle(item, local_time))

    def _arm(self, daemon):
        if not daemon.alive or daemon.paused:
            return
        due = daemon.node.wakeup
        daemon.wakeup_token += 1
        if due == NEVER:
            return
        token = daemon.wakeup_token
        delay = daemon.to_world_time(due) - self.now
        self.schedule(delay, lambda: self._wake(daemon, token))

    def _wake(self, daemon, token):
        if token != daemon.wakeup_token or not daemon.alive or daemon.paused:
            return
        self._check_for_wakeup_loop(daemon)
        local_time = max(daemon.read_clock(self.now), daemon.node.wakeup)
        self._carry_out(daemon, daemon.node.advance(local_time))

    def _check_for_wakeup_loop(self, daemon):
        if daemon.last_wakeup != self.now:
            daemon.last_wakeup = self.now
            daemon.wakeups = 0
        daemon.wakeups += 1
        if daemon.wakeups > MAX_WAKEUPS_AT_ONCE:
            raise AssertionError(
                f"{daemon.name} woke up more than {MAX_WAKEUPS_AT_ONCE} times at once"
            )

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
                raise AssertionError(f"{daemon.name} emitted unknown effect {effect!r}")

    def _send(self, daemon, effect):
        body = self.network.copy(daemon.name, effect.body, effect.reliable)
        recipient = self.daemons.get(effect.recipient)
        if recipient is None or body is None:
            return
        item = PeerInput(daemon.name, body)
        daemon.sent_messages += 1
        message_id = (daemon.name, daemon.incarnation, daemon.sent_messages)
        transfer = self.network.find_transfer_delay(
            daemon.name, effect.body, effect.reliable, self.now
        )
        transfer += self.network.find_distance(daemon.name, effect.recipient)
        for delay in self.network.draw_copies():
            self.schedule(
                transfer + delay,
                lambda: self._receive_peer_message(daemon, recipient, item, message_id),
            )

    def _receive_peer_message(self, daemon, recipient, item, message_id):
        if self.network.blocks(daemon.place, recipient.place) or not recipient.alive:
            return
        if self._accept is None or self._accept(recipient.name, *message_id):
            self.deliver(recipient, item)

    def _write(self, daemon, effect):
        if daemon.disk is None:
            raise AssertionError(f"{daemon.name} wrote to disk but has none")
        epoch = daemon.epoch
        end = daemon.disk.begin(effect.operations, self.now)
        self.schedule(end - self.now, lambda: self._finish_write(daemon, effect, epoch))

    def _finish_write(self, daemon, effect, epoch):
        if epoch != daemon.epoch:
            return
        if daemon.disk.stalled:
            daemon.stalled_writes.append((effect, epoch))
            return
        succeeded = daemon.disk.finish()
        reason = "" if succeeded else "no space left"
        outcome = DiskOutcome(effect.token, succeeded, reason)
        self.deliver(daemon, outcome, epoch=epoch)

    def _respond(self, daemon, effect):
        call = self.calls.get(effect.call_id)
        if call is None:
            raise AssertionError(f"{daemon.name} answered an unknown call: {effect!r}")
        if call.answer is not None:
            raise AssertionError(f"{daemon.name} answered a call twice: {call.body!r}")
        if self.network.blocks(daemon.place, call.origin):
            call.lost = True
            return
        call.answer = effect.answer
        call.answered_at = self.now
        if call.on_answer is not None:
            call.on_answer(call)

    def _call_platform(self, daemon, effect):
        epoch = daemon.epoch
        unknown = PlatformOutcome(effect.token, succeeded=False, unknown=True)
        delay, outcome = effect.timeout, unknown
        if self.platform and not self.network.blocks(daemon.place, PLATFORM):
            self.platform.caller = daemon.name
            delay, outcome = self.platform.call(effect, self.now)
        if delay > effect.timeout:
            delay, outcome = effect.timeout, unknown

        has_arrived = False

        def arrive():
            nonlocal has_arrived
            if has_arrived:
                return
            has_arrived = True
            found = outcome(self.now) if callable(outcome) else outcome
            self.deliver(daemon, found, epoch=epoch)

        if isinstance(outcome, LongPoll):
            outcome.wake = lambda early: self.schedule(early, arrive)
        self.schedule(delay, arrive)

    def _report(self):
        self.schedule(1.0, self._report)
        for body in self.platform.report(self.now):
            self.call(body, origin=PLATFORM)
