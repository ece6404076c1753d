"""HTTP server with a bounded thread pool, for any WSGI application."""

import contextlib
import functools
import socket
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from cheroot.workers.threadpool import ThreadPool
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
ACCEPT_RETRY_SECONDS = 0.02
"""Pause after a connection that could not be accepted, as descriptors are used up."""

REPORT_INTERVAL_SECONDS = 5.0
"""Shortest time between two reports of such connections."""

FIRST_THREADS = 2
"""Threads started with the server; the others start as calls wait for one."""

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
        Maximum number of calls served concurrently, each by a thread.
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
        self._server = _RobustServer(
            (address, port),
            application,
            request_queue_size=LISTEN_BACKLOG,
            timeout=SOCKET_TIMEOUT_SECONDS,
            shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
        )
        self._server.requests = _GrowingThreadPool(
            self._server,
            min=min(FIRST_THREADS, limits.threads),
            max=limits.threads,
            accepted_queue_size=limits.queued,
            accepted_queue_timeout=0,
        )
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.max_request_body_size = (
            limits.max_body_bytes * SERVER_BODY_LIMIT_FACTOR
        )
        self._server.ConnectionClass = make_watched_connection_class(watchdog)

    @property
    def port(self) -> int:
        """Port that the server listens on, once it is prepared."""
        port: int = self._server.bind_addr[1]
        return port

    @property
    def threads(self) -> int:
        """Number of threads that have been started to serve calls."""
        return len(self._server.requests._threads)

    def prepare(self) -> None:
        """Bind the socket and start the first worker threads."""
        self._server.prepare()

    def serve(self) -> None:
        """Serve until ``stop`` is called; blocks the calling thread."""
        self._server.serve()

    def stop(self) -> None:
        """Stop accepting connections and complete the calls in progress."""
        self._server.stop()


class _RobustServer(Server):
    """Server that goes on after errors of its log and of its listening socket."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._report_due = float("-inf")

    def prepare(self) -> None:
        """Bind the socket and start the first worker threads."""
        super().prepare()
        manager = self._connections  # type: ignore[attr-defined]
        accept = manager._from_server_socket
        manager._from_server_socket = functools.partial(self._try_accept, accept)

    def error_log(self, *arguments: Any, **options: Any) -> None:
        """Write to the standard error; an error there would end a worker thread."""
        with contextlib.suppress(OSError, ValueError):
            super().error_log(*arguments, **options)

    def _try_accept(
        self, accept: Callable[[socket.socket], Any], listener: socket.socket
    ) -> Any:
        """Accept a connection; return None if that fails.

        An error would end the round of the loop that closes connections idle for long,
        which may hold the descriptors that are missing.
        """
        try:
            return accept(listener)
        except OSError as error:
            now = time.monotonic()
            if now >= self._report_due:
                self._report_due = now + REPORT_INTERVAL_SECONDS
                self.error_log(f"A connection could not be accepted: {error}")
            time.sleep(ACCEPT_RETRY_SECONDS)
            return None


class _GrowingThreadPool(ThreadPool):
    """Pool that starts a thread whenever a connection finds none free."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._lock = threading.Lock()
        self._free = 0
        """Threads that wait for a connection, less the connections that wait."""
        self.get = self._take

    def put(self, obj: Any) -> None:
        """Queue a connection, and start a thread for it if none is free.

        The thread that accepts connections calls this, and those that serve one whose
        next request has arrived already. An error would end such a thread, and the
        server with it; without a further thread the connection waits for one in use.
        """
        super().put(obj)
        with self._lock:
            self._free -= 1
            is_short = self._free < 0
        if is_short and len(self._threads) < self.max:  # type: ignore[attr-defined]
            # `grow` would sleep until the thread runs, and delay the next connection.
            try:
                worker = self._spawn_worker()  # type: ignore[attr-defined]
            except (RuntimeError, MemoryError) as error:
                self.server.error_log(f"No further thread can be started: {error}")
                return
            self._threads.append(worker)  # type: ignore[attr-defined]

    def _take(self) -> Any:
        with self._lock:
            self._free += 1
        return self._queue.get()  # type: ignore[attr-defined]
