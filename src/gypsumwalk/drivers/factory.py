"""Interfaces that a type of daemon implements for the driver."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from gypsumwalk.drivers.bridge import CallBridge
from gypsumwalk.drivers.connections import ReceiveWatchdog
from gypsumwalk.drivers.logstream import LogStream
from gypsumwalk.drivers.metrics import METRICS_TEXT, Metrics
from gypsumwalk.drivers.peers import PeerAddress
from gypsumwalk.drivers.server import HttpServer
from gypsumwalk.effects import Answer, CallPlatform
from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.node import Node
from gypsumwalk.recovery import Recovered
from gypsumwalk.wire import Envelope

__all__ = [
    "DaemonAssembly",
    "DaemonFactory",
    "PlatformClient",
    "ServerContext",
    "make_pages",
]

PLAIN_TEXT = "text/plain; charset=utf-8"


class DaemonAssembly(Protocol):
    """Components of one daemon, combined in a node."""

    @property
    def node(self) -> Node:
        """State machine of the daemon."""
        ...

    @property
    def incarnation(self) -> int:
        """Incarnation of the daemon."""
        ...

    def accept(self, envelope: Envelope) -> bool:
        """Add a peer's message to the replay window; return whether it is new."""
        ...

    def find_newer_incarnation(self, envelope: Envelope) -> int:
        """Return a known incarnation above that of a message's sender, or 0."""
        ...

    def is_ready(self, now: float) -> bool:
        """Return whether the daemon is ready for work."""
        ...

    def may_call(self, now: float) -> bool:
        """Return whether calls of the platform decided on before may still be made."""
        ...


class PlatformClient(Protocol):
    """Client of the platform's API."""

    async def call(self, call: CallPlatform) -> PlatformOutcome:
        """Execute one action and return its outcome."""
        ...

    def close(self) -> None:
        """Close all connections."""
        ...


@dataclass(frozen=True, slots=True)
class ServerContext:
    """Dependencies shared by the servers of a daemon.

    Attributes
    ----------
    bridge : CallBridge
        Bridge to the node.
    watchdog : ReceiveWatchdog
        Watchdog that closes connections of slow senders.
    metrics : Metrics
        Counters and latencies.
    receive_peer : Callable
        Processes a signed batch of another daemon's messages.
    is_ready : Callable
        Returns whether the daemon is ready for work.
    now : Callable
        Returns the time in seconds on the node's clock, from any thread.
    """

    bridge: CallBridge
    watchdog: ReceiveWatchdog
    metrics: Metrics
    receive_peer: Callable[[bytes, str], None]
    is_ready: Callable[[], bool]
    now: Callable[[], float]


class DaemonFactory(Protocol):
    """Builds the components that depend on the type of daemon."""

    @property
    def peer_messages(self) -> Sequence[type]:
        """All message types that these daemons exchange."""
        ...

    def assemble(self, recovered: Recovered, incarnation: int) -> DaemonAssembly:
        """Build the daemon's node and its components."""
        ...

    def find_peer(self, name: str) -> PeerAddress | None:
        """Return the address of a daemon, or None if unknown."""
        ...

    def make_platform(
        self,
        record_wait: Callable[[float], None],
        record_malformed: Callable[[str, str, int], None],
    ) -> PlatformClient:
        """Create the platform client.

        It calls ``record_wait`` once per request with the seconds that the request
        waited before it was sent, if it knows them, and ``record_malformed`` with the
        source and the kind of a malformed answer and the number of its entries that it
        left out, 0 if it could not use the answer at all.
        """
        ...

    def make_servers(self, context: ServerContext) -> list[HttpServer]:
        """Create the HTTP servers."""
        ...

    def open_log(self) -> LogStream:
        """Open the stream that the log is written to."""
        ...

    def reload(self) -> list[str]:
        """Reload the settings and return the names of those that changed.

        Raises
        ------
        BadBoundary
            If they can't be read; those in force stay.
        """
        ...


def make_pages(context: ServerContext) -> Mapping[str, Callable[[], Answer]]:
    """Create the pages for health, readiness and metrics.

    Parameters
    ----------
    context : ServerContext
        Dependencies shared by the servers.

    Returns
    -------
    Mapping of str to Callable
        Pages by path.
    """
    return {
        "/healthz": lambda: Answer(200, payload=b"ok\n", content_type=PLAIN_TEXT),
        "/readyz": lambda: _render_readiness(context),
        "/metrics": lambda: _render_metrics(context),
    }


def _render_readiness(context: ServerContext) -> Answer:
    ready = context.is_ready()
    payload = b"ready\n" if ready else b"not ready\n"
    return Answer(200 if ready else 503, payload=payload, content_type=PLAIN_TEXT)


def _render_metrics(context: ServerContext) -> Answer:
    context.metrics.set_gauge("waiting_calls", context.bridge.waiting)
    payload = context.metrics.render()
    return Answer(200, payload=payload, content_type=METRICS_TEXT)
