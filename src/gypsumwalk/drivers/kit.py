"""What differs between the kinds of daemons that one driver runs."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from gypsumwalk.drivers.bridge import CallBridge
from gypsumwalk.drivers.connections import ReceiveWatch
from gypsumwalk.drivers.logstream import LogStream
from gypsumwalk.drivers.metrics import Metrics
from gypsumwalk.drivers.peers import PeerAddress
from gypsumwalk.drivers.server import HttpServer
from gypsumwalk.effects import Answer, CallPlatform
from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.node import Node
from gypsumwalk.recovery import Recovered
from gypsumwalk.wire import Envelope

__all__ = [
    "METRICS_TEXT",
    "DaemonAssembly",
    "DaemonKit",
    "PlatformClient",
    "ServerContext",
    "make_pages",
]

PLAIN_TEXT = "text/plain; charset=utf-8"
METRICS_TEXT = "text/plain; version=0.0.4; charset=utf-8"


class DaemonAssembly(Protocol):
    """Parts of one daemon, joined in a node."""

    @property
    def node(self) -> Node:
        """All decisions."""
        ...

    @property
    def incarnation(self) -> int:
        """Incarnation of the daemon."""
        ...

    def accept(self, envelope: Envelope) -> bool:
        """Tell whether a peer's message is new, and note it."""
        ...

    def is_ready(self, now: float) -> bool:
        """Tell whether the daemon may be given work."""
        ...


class PlatformClient(Protocol):
    """Client of the platform."""

    async def call(self, call: CallPlatform) -> PlatformOutcome:
        """Carry out one action."""
        ...

    def close(self) -> None:
        """Close the connections."""
        ...


@dataclass(frozen=True, slots=True)
class ServerContext:
    """What the servers of a daemon share.

    Attributes
    ----------
    bridge : CallBridge
        Way to the decisions.
    watch : ReceiveWatch
        Watch over slow senders.
    metrics : Metrics
        Counters and latencies.
    receive_peer : Callable
        Takes a signed batch of another daemon's messages.
    is_ready : Callable
        Tells whether the daemon may be given work.
    """

    bridge: CallBridge
    watch: ReceiveWatch
    metrics: Metrics
    receive_peer: Callable[[bytes, str], None]
    is_ready: Callable[[], bool]


class DaemonKit(Protocol):
    """What differs between the kinds of daemons."""

    @property
    def peer_messages(self) -> Sequence[type]:
        """Every type of message between these daemons."""
        ...

    def assemble(self, recovered: Recovered, incarnation: int) -> DaemonAssembly:
        """Build the parts of the daemon."""
        ...

    def find_peer(self, name: str) -> PeerAddress | None:
        """Return the address of a daemon, or None."""
        ...

    def make_platform(self) -> PlatformClient:
        """Make the client of the platform."""
        ...

    def make_servers(self, context: ServerContext) -> list[HttpServer]:
        """Make the listeners."""
        ...

    def open_log(self) -> LogStream:
        """Open the stream that the log goes to."""
        ...

    def reload(self) -> list[str]:
        """Read changed settings again and return the names of what changed."""
        ...


def make_pages(context: ServerContext) -> Mapping[str, Callable[[], Answer]]:
    """Make the pages on health, readiness and metrics.

    Parameters
    ----------
    context : ServerContext
        What the servers share.

    Returns
    -------
    Mapping of str to Callable
        Pages by path.
    """
    return {
        "/healthz": lambda: Answer(200, payload=b"ok\n", content_type=PLAIN_TEXT),
        "/readyz": lambda: _show_readiness(context),
        "/metrics": lambda: _show_metrics(context),
    }


def _show_readiness(context: ServerContext) -> Answer:
    ready = context.is_ready()
    payload = b"ready\n" if ready else b"not ready\n"
    return Answer(200 if ready else 503, payload=payload, content_type=PLAIN_TEXT)


def _show_metrics(context: ServerContext) -> Answer:
    context.metrics.set_gauge("waiting_calls", context.bridge.waiting)
    payload = context.metrics.render()
    return Answer(200, payload=payload, content_type=METRICS_TEXT)
