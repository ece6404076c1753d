"""Seeded fake network and disks for the agreement of several daemons."""

import heapq
import itertools
from random import Random

import msgspec

from gypsumwalk.consensus import Consensus
from gypsumwalk.effects import (
    AppendRecords,
    Propose,
    SendPeer,
    TruncateRecords,
    WriteDisk,
    WriteFile,
)
from gypsumwalk.inputs import Committed, DiskOutcome, PeerInput, ProposalOutcome
from gypsumwalk.node import Node
from gypsumwalk.part import NEVER
from gypsumwalk.recovery import Recovered
from gypsumwalk.settings import PeerSettings, Settings
from gypsumwalk.state import Accepted, ReplicatedState

SECRET = "0123456789abcdef"


class Put(msgspec.Struct, frozen=True, tag=True):
    text: str


class ListSection:
    name = "list"
    commands = (Put,)

    def __init__(self):
        self.items = []

    def apply(self, command, index, at):
        self.items.append(command.text)
        return Accepted(index)

    def dump(self):
        return msgspec.msgpack.encode(self.items)

    def load(self, content):
        self.items = msgspec.msgpack.decode(content)


class ClientPart:
    name = "client"
    accepts = (Put,)
    wakeup = NEVER

    def __init__(self):
        self.outcomes = {}
        self.committed = []

    def handle(self, item, now):
        if isinstance(item, ProposalOutcome):
            self.outcomes[item.token.removeprefix("client/")] = item
        elif isinstance(item, Committed):
            self.committed.append((item.index, item.command.text))
        return []

    def advance(self, now):
        return []


class MemoryDisk:
    """What survives a crash: only writes whose outcome was due."""

    def __init__(self):
        self.records = {}
        self.files = {}
        self.full = False

    def recover(self):
        records = {name: tuple(items) for name, items in self.records.items()}
        return Recovered(records, dict(self.files))

    def write(self, operations):
        for operation in operations:
            match operation:
                case AppendRecords(file=file, records=records):
                    self.records.setdefault(file, []).extend(records)
                case TruncateRecords(file=file, keep=keep):
                    del self.records.setdefault(file, [])[keep:]
                case WriteFile(file=file, content=content):
                    self.files[file] = content


class Daemon:
    def __init__(self, network, name, disk, incarnation):
        self.name = name
        self.disk = disk
        self.section = ListSection()
        self.client = ClientPart()
        self.consensus = Consensus(
            settings=network.make_settings(name, disk is not None),
            state=ReplicatedState([self.section]),
            recovered=disk.recover() if disk else Recovered(),
            random=Random(f"{network.seed}/{name}/{incarnation}"),
            incarnation=incarnation,
        )
        parts = [self.consensus, self.client]
        self.node = Node(parts, self.consensus)
        self.incarnation = incarnation


class Network:
    def __init__(self, seed, voters=5, learners=0):
        self.seed = seed
        self.random = Random(seed)
        self.now = 1000.0
        self.voters = [f"v{number}" for number in range(voters)]
        self.learners = [f"f{number}" for number in range(learners)]
        self.disks = {name: MemoryDisk() for name in self.voters}
        self.daemons = {}
        self.events = []
        self.order = itertools.count()
        self.incarnations = itertools.count(1)
        self.drop = 0.0
        self.repeat = 0.0
        self.delay = (0.0005, 0.002)
        self.sync_seconds = 0.0005
        self.cut = set()
        self.records = []
        self.observers = []
        self.sent = 0
        for name in self.voters + self.learners:
            self.start(name)

    def make_settings(self, name, has_disk):
        peers = [
            PeerSettings(
                name=voter,
                data_centre="dc",
                address="127.0.0.1",
                peer_port=1,
                voter=True,
            )
            for voter in self.voters
        ]
        return Settings(
            name=name,
            data_centre="dc",
            caller_port=1,
            peer_port=2,
            peers=peers,
            cluster_secret=SECRET,
            data_folder="data" if has_disk else "",
        )

    def start(self, name):
        disk = self.disks.get(name)
        self.daemons[name] = Daemon(self, name, disk, next(self.incarnations))

    def crash(self, name):
        self.daemons.pop(name, None)

    def propose(self, name, text, timeout=5.0):
        daemon = self.daemons[name]
        proposal = Propose(f"client/{text}", Put(text), timeout)
        effects = list(daemon.consensus.propose(proposal, self.now))
        self.carry_out(daemon, daemon.node._settle(effects, self.now))

    def run(self, seconds):
        end = self.now + seconds
        while True:
            due = min((d.node.wakeup for d in self.daemons.values()), default=NEVER)
            due = max(due, self.now)
            arrival = self.events[0][0] if self.events else NEVER
            if min(due, arrival) > end:
                break
            self.now = min(due, arrival)
            if arrival <= due:
                self.deliver(heapq.heappop(self.events)[2])
            else:
                self.advance()
            for observer in self.observers:
                observer(self)
        self.now = end

    def advance(self):
        for daemon in list(self.daemons.values()):
            if daemon.node.wakeup <= self.now:
                self.carry_out(daemon, daemon.node.advance(self.now))

    def deliver(self, event):
        name, incarnation, item = event
        daemon = self.daemons.get(name)
        if daemon is None or incarnation not in (None, daemon.incarnation):
            return
        if isinstance(item, WriteDisk):
            item = self.write(daemon, item)
        self.carry_out(daemon, daemon.node.handle(item, self.now))

    def write(self, daemon, item):
        if daemon.disk.full:
            return DiskOutcome(item.token, False)
        daemon.disk.write(item.operations)
        return DiskOutcome(item.token, True)

    def carry_out(self, daemon, effects):
        for effect in effects:
            if isinstance(effect, WriteDisk):
                event = (daemon.name, daemon.incarnation, effect)
                self.schedule(self.sync_seconds, event)
            elif isinstance(effect, SendPeer):
                self.send(daemon.name, effect)
            else:
                self.records.append((self.now, daemon.name, effect))

    def send(self, source, effect):
        self.sent += 1
        pair = frozenset((source, effect.recipient))
        if pair in self.cut or self.random.random() < self.drop:
            return
        copies = 2 if self.random.random() < self.repeat else 1
        for _ in range(copies):
            delay = self.random.uniform(*self.delay)
            item = PeerInput(source, effect.body)
            self.schedule(delay, (effect.recipient, None, item))

    def schedule(self, delay, event):
        heapq.heappush(self.events, (self.now + delay, next(self.order), event))

    def part(self, group):
        rest = set(self.voters + self.learners) - set(group)
        self.cut = {frozenset((a, b)) for a in group for b in rest}

    def heal(self):
        self.cut = set()

    def find_leader(self):
        leading = [
            daemon
            for daemon in self.daemons.values()
            if daemon.consensus.holds_lease(self.now)
        ]
        return leading[0].name if leading else ""
