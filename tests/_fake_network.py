"""Network between daemons, targets and callers: delays, losses and partitions."""

from dataclasses import dataclass, field
from random import Random

import msgspec

MAX_DATAGRAM_BYTES = 65_507
REST = "rest"
"""Group of everything that the other group of a partition does not name."""


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
        return self._holds(self.sources, self.sinks, source) and self._holds(
            self.sinks, self.sources, sink
        )

    @staticmethod
    def _holds(group, other, place):
        if REST in group:
            return not other & place
        return bool(group & place)


@dataclass
class FakeNetwork:
    """Decides what becomes of each message.

    A place is the set of names of an endpoint: its own and its data centre's. Groups
    of a partition name either, or ``rest``.
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

    def partition(self, sources, sinks=(REST,), *, one_way=False):
        """Cut two groups of names off from each other."""
        self.partitions.append(Partition(frozenset(sources), frozenset(sinks), one_way))

    def heal(self):
        """End every partition."""
        self.partitions.clear()

    def blocks(self, source, sink):
        """Tell whether nothing gets from one place to another."""
        return any(cut.blocks(source, sink) for cut in self.partitions)

    def draw_delay(self):
        """Return the seconds that one message takes."""
        spread = self.random.uniform(-self.jitter, self.jitter)
        return self.delay * (1.0 + spread)

    def copy(self, sender, body, reliable):
        """Encode a message as the drivers do, and return what the receiver decodes."""
        codec = msgspec.json if reliable else msgspec.msgpack
        content = codec.encode(body)
        self.sent_bytes[sender] = self.sent_bytes.get(sender, 0) + len(content)
        self.sent_messages[sender] = self.sent_messages.get(sender, 0) + 1
        if not reliable and len(content) > MAX_DATAGRAM_BYTES:
            self.oversized.append((sender, type(body).__name__, len(content)))
            return None
        return codec.decode(content, type=type(body))

    def draw_copies(self):
        """Return the delay of each copy of one message that arrives."""
        if self.random.random() < self.drop:
            return []
        copies = 2 if self.random.random() < self.duplicate else 1
        return [self.draw_delay() for _ in range(copies)]
