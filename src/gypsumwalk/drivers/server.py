"""HTTP server with a bounded thread pool, for any WSGI application."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from cheroot.wsgi import Server

from gypsumwalk.drivers.connections import (
    ReceiveWatchdog,
    make_watched_connection_class,
)

__all__ = ["Application", "HttpServer", "ServerLimits", "StartResponse"]

MAX_HEADER_BYTES = 16 * 1024
SOCKET_TIMEOUT_SECONDS = 10
SHUTDOWN_TIMEOUT_SECONDS = 5
LISTEN_BACKLOG = 256
SERVER_BODY_LIMIT_FACTOR = 2
"""The server's own limit is a backstop above the limit that the application checks."""

StartResponse = Callable[[str, list[tuple[str, str]]], Any]

Application = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Resource limits of one server.

    Attributes
    ----------
    threads : int
        Calls served concurrently.
    queued : int
        Accepted connections that may wait for a thread; further ones get a 503.
    max_body_bytes : int
        Maximum body size in bytes.
    """

    threads: int
    queued: int
    max_body_bytes: int


class HttpServer:
    """HTTP server with a bounded thread pool.

    Parameters
    ----------
    address : str
        IP address to listen on.
    port : int
        TCP port.
    application : Callable
        The WSGI application.
    watchdog : ReceiveWatchdog
        Watchdog that closes connections of slow senders.
    limits : ServerLimits
        Resource limits.
    """

    def __init__(
        self,
        address: str,
        port: int,
        application: Application,
        *,
        watchdog: ReceiveWatchdog,
        limits: ServerLimits,
    ) -> None:
        self._server = Server(
            (address, port),
            application,
            numthreads=limits.threads,
            max=limits.threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=SOCKET_TIMEOUT_SECONDS,
            shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
            accepted_queue_size=limits.queued,
            accepted_queue_timeout=0,
        )
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.max_request_body_size = (
            limits.max_body_bytes * SERVER_BODY_LIMIT_FACTOR
        )
        self._server.ConnectionClass = make_watched_connection_class(watchdog)

    def prepare(self) -> None:
        """Bind the socket and start the worker threads."""
        self._server.prepare()

    def serve(self) -> None:
        """Serve until ``stop`` is called; blocks the calling thread."""
        self._server.serve()

    def stop(self) -> None:
        """Stop accepting connections and complete the calls in progress."""
        self._server.stop()
