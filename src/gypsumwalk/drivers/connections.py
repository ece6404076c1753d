"""Connections of the HTTP servers, with a bound on the time a sender may take."""

import contextlib
import socket
import threading
import time
from typing import Any

from cheroot.server import HTTPConnection

__all__ = ["ReceiveWatch", "watch_connections"]

MAX_RECEIVE_SECONDS = 20.0
SWEEP_SECONDS = 1.0


class ReceiveWatch:
    """Cuts connections whose sender takes too long over one request.

    Parameters
    ----------
    limit : float
        Seconds that receiving one request, header and body, may take.
    """

    def __init__(self, limit: float = MAX_RECEIVE_SECONDS) -> None:
        self._limit = limit
        self._receiving: dict[int, tuple[float, socket.socket]] = {}
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._sweep, daemon=True)

    def start(self) -> None:
        """Begin to watch."""
        self._thread.start()

    def stop(self) -> None:
        """Stop watching."""
        self._stopped.set()
        self._thread.join()

    def begin(self, connection: socket.socket) -> None:
        """Note that this thread begins to receive a request."""
        with self._lock:
            started = time.monotonic()
            self._receiving[threading.get_ident()] = (started, connection)

    def finish(self) -> None:
        """Note that this thread has received its request, or given up."""
        with self._lock:
            self._receiving.pop(threading.get_ident(), None)

    def cut_overdue(self, now: float) -> int:
        """Cut the connections whose sender took too long.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        int
            Number of connections cut.
        """
        with self._lock:
            overdue = [
                connection
                for started, connection in self._receiving.values()
                if now - started > self._limit
            ]
        for connection in overdue:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        return len(overdue)

    def _sweep(self) -> None:
        while not self._stopped.wait(SWEEP_SECONDS):
            self.cut_overdue(time.monotonic())


def watch_connections(watch: ReceiveWatch) -> type[Any]:
    """Make a connection class whose requests are watched.

    Parameters
    ----------
    watch : ReceiveWatch
        The watch; the application calls its ``finish`` once it has the body.

    Returns
    -------
    type
        Subclass of the server's connection class.
    """

    class WatchedConnection(HTTPConnection):
        """Connection whose sender is watched while it is served."""

        def communicate(self) -> Any:
            """Serve the next call of the connection."""
            watch.begin(self.socket)
            try:
                return super().communicate()  # type: ignore[no-untyped-call]
            finally:
                watch.finish()

    return WatchedConnection
