"""Replicas in one process on real disks, with in-memory message delivery."""

import time
from collections import deque
from pathlib import Path
from random import Random

import msgspec

from gypsumwalk.consensus import Consensus
from gypsumwalk.drivers.disk import FolderDisk
from gypsumwalk.effects import Propose, SendPeer, WriteDisk
from gypsumwalk.inputs import DiskOutcome, PeerInput, ProposalOutcome, ProposalStatus
from gypsumwalk.node import Node
from gypsumwalk.part import NEVER
from gypsumwalk.settings import PeerSettings, Settings
from gypsumwalk.state import Accepted, ReplicatedState

__all__ = ["Count", "CountSection", "ReplicaGroup"]


class Count(msgspec.Struct, frozen=True, tag=True):
    """Command that increments the counter, with a payload to give it a size."""

    text: str


class CountSection:
    """Section that counts the commands applied."""

    name = "count"
    commands = (Count,)

    def __init__(self) -> None:
        self.count = 0

    def apply(self, command: msgspec.Struct, index: int, at: float) -> msgspec.Struct:
        """Apply one command, and return its index."""
        self.count += 1
        return Accepted(index)

    def dump(self) -> bytes:
        """Return a snapshot of the section."""
        return msgspec.msgpack.encode(self.count)

    def load(self, content: bytes) -> None:
        """Restore the section from a snapshot."""
        self.count = msgspec.msgpack.decode(content, type=int)


class _Client:
    name = "client"
    accepts = ()
    wakeup = NEVER

    def __init__(self) -> None:
        self.outcomes: list[ProposalOutcome] = []

    def handle(self, item, now):
        """Record the outcomes of proposals."""
        if isinstance(item, ProposalOutcome):
            assert item.status is ProposalStatus.COMMITTED, item
            self.outcomes.append(item)
        return []

    def advance(self, now):
        """Return no effects: the client has no timers."""
        return []


class _Replica:
    def __init__(self, name: str, names: list[str], folder: Path, number: int) -> None:
        peers = [
            PeerSettings(
                name=peer,
                data_centre="dc",
                address="127.0.0.1",
                peer_port=1,
                voter=True,
            )
            for peer in names
        ]
        settings = Settings(
            name=name,
            data_centre="dc",
            caller_port=1,
            peer_port=2,
            peers=peers,
            cluster_secret="at least sixteen characters",
            data_folder=str(folder),
        )
        self.name = name
        self.section = CountSection()
        self.disk = FolderDisk(str(folder))
        self.client = _Client()
        self.consensus = Consensus(
            settings=settings,
            state=ReplicatedState([self.section]),
            recovered=self.disk.recover(),
            random=Random(f"{name}/{number}"),
            incarnation=number,
        )
        self.node = Node([self.consensus, self.client], self.consensus)


class ReplicaGroup:
    """Replicas that are stepped until no message is pending.

    Parameters
    ----------
    folder : Path
        Parent of the data folders.
    voters : int
        Number of replicas.
    number : int
        Incarnation of all replicas.
    """

    def __init__(self, folder: Path, voters: int, number: int = 1) -> None:
        names = [f"v{index}" for index in range(voters)]
        self.replicas = {
            name: _Replica(name, names, folder / name, number) for name in names
        }
        self._queue: deque[tuple[str, object]] = deque()
        self._proposal_count = 0

    def close(self) -> None:
        """Close the files of all replicas."""
        for replica in self.replicas.values():
            replica.disk.close()

    def step(self) -> None:
        """Advance replicas that are due and deliver all pending messages."""
        for replica in self.replicas.values():
            now = time.time()
            if replica.node.wakeup <= now:
                self._execute(replica, replica.node.advance(now))
        while self._queue:
            name, item = self._queue.popleft()
            replica = self.replicas[name]
            self._execute(replica, replica.node.handle(item, time.time()))

    def find_leader(self):
        """Return the replica that holds the lease, or None."""
        for replica in self.replicas.values():
            if replica.consensus.holds_lease(time.time()):
                return replica
        return None

    def elect(self):
        """Step until a leader is elected, and return it."""
        while self.find_leader() is None:
            self.step()
            time.sleep(0.001)
        return self.find_leader()

    def propose(self, replica, text: str) -> None:
        """Propose one command."""
        self._proposal_count += 1
        proposal = Propose(f"client/{self._proposal_count}", Count(text), 30.0)
        now = time.time()
        effects = list(replica.consensus.propose(proposal, now))
        self._execute(replica, replica.node._process_effects(effects, now))

    def _execute(self, replica, effects) -> None:
        for effect in effects:
            if isinstance(effect, SendPeer):
                item = PeerInput(replica.name, effect.body)
                self._queue.append((effect.recipient, item))
            elif isinstance(effect, WriteDisk):
                replica.disk.write(effect.operations)
                outcome = DiskOutcome(effect.token, True)
                self._queue.append((replica.name, outcome))
