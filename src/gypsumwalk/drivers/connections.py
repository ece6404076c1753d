"""Connections of the HTTP servers, with a timeout for receiving a request."""

import contextlib
import socket
import threading
import time
from typing import Any

from cheroot.server import HTTPConnection

__all__ = ["ReceiveWatchdog", "make_watched_connection_class"]

RECEIVE_TIMEOUT_SECONDS = 20.0
SWEEP_INTERVAL_SECONDS = 1.0


class ReceiveWatchdog:
    """Closes connections whose sender takes too long to send a request.

    Parameters
    ----------
    limit : float
        Time limit in seconds for receiving one request, header and body.
    """

    def __init__(self, limit: float = RECEIVE_TIMEOUT_SECONDS) -> None:
        self._limit = limit
        self._receiving: dict[int, tuple[float, socket.socket]] = {}
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._sweep, daemon=True)

    def start(self) -> None:
        """Start the watchdog thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the watchdog thread."""
        self._stopped.set()
        self._thread.join()

    def begin(self, connection: socket.socket) -> None:
        """Record that this thread starts to receive a request."""
        with self._lock:
            started = time.monotonic()
            self._receiving[threading.get_ident()] = (started, connection)

    def finish(self) -> None:
        """Record that this thread no longer receives a request."""
        with self._lock:
            self._receiving.pop(threading.get_ident(), None)

    def close_overdue(self, now: float) -> int:
        """Close the connections whose sender exceeded the time limit.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        int
            Number of connections closed.
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
        while not self._stopped.wait(SWEEP_INTERVAL_SECONDS):
            self.close_overdue(time.monotonic())


def make_watched_connection_class(watchdog: ReceiveWatchdog) -> type[Any]:
    """Create a connection class whose requests are subject to a watchdog.

    Parameters
    ----------
    watchdog : ReceiveWatchdog
        The watchdog; the application calls its ``finish`` once it has read the body.

    Returns
    -------
    type
        Subclass of the server's connection class.
    """

    class WatchedConnection(HTTPConnection):
        """Connection that registers with the watchdog while a request is received."""

        def communicate(self) -> Any:
            """Serve the next request of the connection."""
            watchdog.begin(self.socket)
            try:
                return super().communicate()  # type: ignore[no-untyped-call]
            finally:
                watchdog.finish()

        def close(self) -> None:
            """Close the connection; the sender of a refused one hears of its end.

            The server leaves the socket of such a connection open, so that the sender
            can read the refusal, and reads no further request from it.
            """
            super().close()
            if self.linger:
                with contextlib.suppress(OSError):
                    self.socket.shutdown(socket.SHUT_WR)

    return WatchedConnection
