"""Simulated network between daemons, targets and callers.

It delays, drops and duplicates messages, and has partitions.
"""

from dataclasses import dataclass, field
from random import Random

import msgspec

MAX_DATAGRAM_BYTES = 65_507
REST = "rest"
"""Group of all endpoints that the other group of a partition does not name."""


@dataclass
class Partition:
    """Blocks traffic from ``sources`` to ``sinks``; both ways unless ``one_way``."""

    sources: frozenset[str]
    sinks: frozenset[str]
    one_way: bool = False

    def blocks(self, source, sink):
        if self._covers(source, sink):
            return True
        return not self.one_way and self._covers(sink, source)

    def _covers(self, source, sink):
        return self._contains(self.sources, self.sinks, source) and self._contains(
            self.sinks, self.sources, sink
        )

    @staticmethod
    def _contains(group, other, place):
        if REST in group:
            return not other & place
        return bool(group & place)


@dataclass
class FakeNetwork:
    """Decides the delay, loss and duplication of each message.

    A place is the set of names of an endpoint: its own and its data centre's. Groups
    of a partition hold names of both kinds, or ``rest``. ``delay`` is in seconds,
    ``jitter`` its largest relative deviation, ``drop`` and ``duplicate`` are
    probabilities. ``oversized`` holds sender, message type and size in bytes of the
    datagrams that were too large to send. ``link_bytes_per_second`` is the bandwidth
    that the reliable messages of one sender share, 0 for no limit; datagrams are small
    and do not wait for them. ``distances`` holds the further delay in seconds of each
    message from or to an endpoint.
    """

    random: Random
    delay: float = 0.001
    jitter: float = 0.5
    drop: float = 0.0
    duplicate: float = 0.0
    partitions: list[Partition] = field(default_factory=list)
    sent_bytes: dict[str, int] = field(default_factory=dict)
    sent_messages: dict[str, int] = field(default_factory=dict)
    oversized: list[tuple[str, str, int]] = field(default_factory=list)
    link_bytes_per_second: float = 0.0
    distances: dict[str, float] = field(default_factory=dict)
    _link_busy_until: dict[str, float] = field(default_factory=dict)

    def partition(self, sources, sinks=(REST,), *, one_way=False):
        """Block traffic between two groups of names."""
        self.partitions.append(Partition(frozenset(sources), frozenset(sinks), one_way))

    def heal(self):
        """End every partition."""
        self.partitions.clear()

    def blocks(self, source, sink):
        """Return whether a partition blocks traffic from one place to another."""
        return any(cut.blocks(source, sink) for cut in self.partitions)

    def draw_delay(self):
        """Return a random delay of one message in seconds."""
        spread = self.random.uniform(-self.jitter, self.jitter)
        return self.delay * (1.0 + spread)

    def copy(self, sender, body, reliable):
        """Return a message encoded and decoded as by the drivers; None if oversized."""
        codec = msgspec.json if reliable else msgspec.msgpack
        content = codec.encode(body)
        self.sent_bytes[sender] = self.sent_bytes.get(sender, 0) + len(content)
        self.sent_messages[sender] = self.sent_messages.get(sender, 0) + 1
        if not reliable and len(content) > MAX_DATAGRAM_BYTES:
            self.oversized.append((sender, type(body).__name__, len(content)))
            return None
        return codec.decode(content, type=type(body))

    def find_transfer_delay(self, sender, body, reliable, now):
        """Return the time in seconds until the sender's link has sent a message."""
        if not reliable or not self.link_bytes_per_second:
            return 0.0
        duration = len(msgspec.json.encode(body)) / self.link_bytes_per_second
        end = max(now, self._link_busy_until.get(sender, 0.0)) + duration
        self._link_busy_until[sender] = end
        return end - now

    def find_distance(self, source, sink):
        """Return the delay in seconds that a message has besides the random one."""
        return self.distances.get(source, 0.0) + self.distances.get(sink, 0.0)

    def draw_copies(self):
        """Return the delays in seconds of the copies of a message that arrive."""
        if self.random.random() < self.drop:
            return []
        copies = 2 if self.random.random() < self.duplicate else 1
        return [self.draw_delay() for _ in range(copies)]
