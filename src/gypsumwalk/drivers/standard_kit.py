"""Kit of the standard daemon: callers, targets, operators and a platform by URL."""

from random import Random, SystemRandom

from gypsumwalk.assembly import ENDPOINTS, PEER_MESSAGES, Assembly
from gypsumwalk.drivers.kit import ServerContext, make_pages
from gypsumwalk.drivers.logstream import LogStream
from gypsumwalk.drivers.peers import PeerAddress
from gypsumwalk.drivers.platform import PlatformHttpClient
from gypsumwalk.drivers.server import HttpServer, ServerLimits, WebApplication
from gypsumwalk.endpoints import Audience, EndpointTable
from gypsumwalk.recovery import Recovered
from gypsumwalk.settings import Settings

__all__ = ["StandardKit", "limit_callers"]

PEER_THREADS = 24
PEER_QUEUE = 64
PEER_BODY_FACTOR = 2
CALLER_THREADS_PER_QUEUED = 4


class StandardKit:
    """Kit of the standard daemon.

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
        """Build the parts of the daemon."""
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
        """Return the address of a daemon, from membership or else the settings."""
        member = self._assembly.membership.find(name) if self._assembly else None
        if member is not None and member.peer_port:
            return PeerAddress(member.address, member.peer_port)
        for peer in self._settings.peers:
            if peer.name == name:
                return PeerAddress(peer.address, peer.peer_port)
        return None

    def make_platform(self) -> PlatformHttpClient:
        """Make the client of the platform."""
        return PlatformHttpClient(self._settings.platform_url)

    def open_log(self) -> LogStream:
        """Open the log on the standard output."""
        return LogStream()

    def reload(self) -> list[str]:
        """Change nothing: these settings are read at the start only."""
        return []

    def make_servers(self, context: ServerContext) -> list[HttpServer]:
        """Make the listeners of callers and of everybody else."""
        pages = make_pages(context)
        table = EndpointTable(ENDPOINTS)
        settings = self._settings
        caller = WebApplication(
            context.bridge,
            table,
            audiences=frozenset({Audience.CALLER}),
            max_body_bytes=settings.max_body_bytes,
            watch=context.watch,
            pages=pages,
            metrics=context.metrics,
        )
        peer = WebApplication(
            context.bridge,
            table,
            audiences=frozenset(Audience),
            max_body_bytes=settings.max_body_bytes * PEER_BODY_FACTOR,
            target_key=settings.target_key,
            watch=context.watch,
            pages=pages,
            metrics=context.metrics,
            receive_peer=context.receive_peer,
        )
        caller_limits = limit_callers(settings)
        peer_limits = ServerLimits(
            PEER_THREADS, PEER_QUEUE, settings.max_body_bytes * PEER_BODY_FACTOR
        )
        return [
            HttpServer(
                settings.address,
                port,
                application,
                watch=context.watch,
                limits=limits,
            )
            for port, application, limits in (
                (settings.caller_port, caller, caller_limits),
                (settings.peer_port, peer, peer_limits),
            )
        ]


def limit_callers(settings: Settings) -> ServerLimits:
    """Return the bounds of the callers' listener.

    Few connections wait for a thread, since a request that waits there is not yet in
    its daemon's queue, where deadlines, shares and shedding apply.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon.

    Returns
    -------
    ServerLimits
        The bounds.
    """
    queued = max(1, settings.caller_threads // CALLER_THREADS_PER_QUEUED)
    return ServerLimits(settings.caller_threads, queued, settings.max_body_bytes)
