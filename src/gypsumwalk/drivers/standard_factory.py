"""Factory of the standard daemon, whose platform is reached by URL."""

from collections.abc import Callable
from random import Random, SystemRandom

from gypsumwalk.assembly import ENDPOINTS, PEER_MESSAGES, Assembly
from gypsumwalk.drivers.factory import ServerContext, make_pages
from gypsumwalk.drivers.logstream import LogStream
from gypsumwalk.drivers.peers import PeerAddress
from gypsumwalk.drivers.platform import PlatformHttpClient
from gypsumwalk.drivers.server import HttpServer, ServerLimits
from gypsumwalk.drivers.web_application import WebApplication
from gypsumwalk.endpoints import Audience, EndpointTable
from gypsumwalk.recovery import Recovered
from gypsumwalk.settings import Settings

__all__ = ["StandardFactory", "make_caller_limits"]

PEER_THREADS = 24
PEER_QUEUE_LENGTH = 64
PEER_BODY_FACTOR = 2
CALLER_THREADS_PER_QUEUED_CONNECTION = 4


class StandardFactory:
    """Builds the components of the standard daemon.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon.
    """

    peer_messages = PEER_MESSAGES

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._assembly: Assembly | None = None

    def assemble(self, recovered: Recovered, incarnation: int) -> Assembly:
        """Build the daemon's node and its components."""
        seed = self._settings.seed or SystemRandom().getrandbits(64)
        self._assembly = Assembly(
            self._settings,
            incarnation=incarnation,
            recovered=recovered,
            random=Random(seed),
            secrets=SystemRandom(),
        )
        return self._assembly

    def find_peer(self, name: str) -> PeerAddress | None:
        """Return the address of a daemon from membership, or else from the settings."""
        member = self._assembly.membership.find(name) if self._assembly else None
        if member is not None and member.peer_port:
            return PeerAddress(member.address, member.peer_port)
        for peer in self._settings.peers:
            if peer.name == name:
                return PeerAddress(peer.address, peer.peer_port)
        return None

    def make_platform(
        self,
        record_wait: Callable[[float], None],
        record_malformed: Callable[[str, str, int], None],
    ) -> PlatformHttpClient:
        """Create the platform client."""
        return PlatformHttpClient(self._settings.platform_url)

    def open_log(self) -> LogStream:
        """Open the log on the standard output."""
        return LogStream()

    def reload(self) -> list[str]:
        """Do nothing, as these settings are only read at startup."""
        return []

    def make_servers(self, context: ServerContext) -> list[HttpServer]:
        """Create the servers for callers and for peers, targets and operators."""
        pages = make_pages(context)
        table = EndpointTable(ENDPOINTS)
        settings = self._settings
        caller = WebApplication(
            context.bridge,
            table,
            audiences=frozenset({Audience.CALLER}),
            max_body_bytes=settings.max_body_bytes,
            watchdog=context.watchdog,
            pages=pages,
            metrics=context.metrics,
        )
        peer = WebApplication(
            context.bridge,
            table,
            audiences=frozenset(Audience),
            max_body_bytes=settings.max_body_bytes * PEER_BODY_FACTOR,
            target_key=settings.target_key,
            watchdog=context.watchdog,
            pages=pages,
            metrics=context.metrics,
            receive_peer=context.receive_peer,
        )
        caller_limits = make_caller_limits(settings)
        peer_limits = ServerLimits(
            PEER_THREADS, PEER_QUEUE_LENGTH, settings.max_body_bytes * PEER_BODY_FACTOR
        )
        return [
            HttpServer(
                settings.address,
                port,
                application,
                watchdog=context.watchdog,
                limits=limits,
            )
            for port, application, limits in (
                (settings.caller_port, caller, caller_limits),
                (settings.peer_port, peer, peer_limits),
            )
        ]


def make_caller_limits(settings: Settings) -> ServerLimits:
    """Return the limits of the server for callers.

    The backlog of connections is short: a request that waits there is not yet in its
    daemon's queue, where deadlines, fair sharing and load shedding apply.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon.

    Returns
    -------
    ServerLimits
        The limits.
    """
    queued = max(1, settings.caller_threads // CALLER_THREADS_PER_QUEUED_CONNECTION)
    return ServerLimits(settings.caller_threads, queued, settings.max_body_bytes)
