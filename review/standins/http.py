"""HTTP over loopback addresses: a JSON server and a client for single calls."""

import contextlib
import http.client
import json
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

__all__ = ["JsonServer", "Reply", "call"]

Reply = tuple[int, dict[str, Any]]
"""Status and body; status 0 if there was no response."""

Handler = Callable[[str, str, dict[str, str], dict[str, Any]], Reply]
"""Answers a call from its method, path, headers and body."""


class JsonServer:
    """HTTP/1.1 server that passes each call to a function.

    Parameters
    ----------
    host : str
        Loopback address.
    port : int
        Port, 0 for any.
    handler : Callable
        Answers the calls, on several threads.
    """

    def __init__(self, host: str, port: int, handler: Handler) -> None:
        self._server = _Server((host, port), _make_request_handler(handler))
        self.address = f"{host}:{self._server.server_address[1]}"
        thread = threading.Thread(target=self._server.serve_forever, args=(0.05,))
        thread.daemon = True
        thread.start()

    def close(self) -> None:
        """Stop serving and reset the open connections."""
        self._server.shutdown()
        self._server.server_close()
        self._server.close_connections()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def __init__(self, address: tuple[str, int], handler: Any) -> None:
        super().__init__(address, handler)
        self._lock = threading.Lock()
        self._connections: set[Any] = set()

    def process_request(self, request: Any, client_address: Any) -> None:
        with self._lock:
            self._connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        with self._lock:
            self._connections.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Say nothing about connections that the other side closed."""

    def close_connections(self) -> None:
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.close()


def _make_request_handler(handler: Handler) -> type[BaseHTTPRequestHandler]:
    class RequestHandler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def _serve(self) -> None:
            length = int(self.headers.get("Content-Length") or 0)
            body = json.loads(self.rfile.read(length) or b"{}")
            headers = {name.lower(): value for name, value in self.headers.items()}
            status, answer = handler(self.command, self.path, headers, body)
            content = json.dumps(answer).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(content)))
            self.end_headers()
            self.wfile.write(content)

        do_GET = do_POST = do_DELETE = _serve  # noqa: N815

        def log_message(self, format: str, *args: Any) -> None:
            """Write no access log."""

    return RequestHandler


def call(
    address: str,
    method: str,
    path: str,
    body: dict[str, Any] | None = None,
    *,
    headers: dict[str, str] | None = None,
    timeout: float = 3.0,
) -> Reply:
    """Make one call on a connection of its own.

    Parameters
    ----------
    address : str
        ``host:port`` of the server.
    method : str
        HTTP method.
    path : str
        Path.
    body : dict, optional
        Body, sent as JSON; by default the call has none.
    headers : dict of str to str, optional
        Headers.
    timeout : float
        Seconds to wait for the connection and for the response.

    Returns
    -------
    tuple of int and dict
        Status and body, or 0 and an empty body if there was no response.
    """
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    content = b"" if body is None else json.dumps(body).encode()
    sent = {"Content-Type": "application/json", **(headers or {})}
    try:
        connection.request(method, path, content, sent)
        response = connection.getresponse()
        text = response.read()
    except (OSError, http.client.HTTPException):
        return 0, {}
    finally:
        connection.close()
    try:
        decoded = json.loads(text or b"{}")
    except ValueError:
        decoded = {}
    return response.status, decoded if isinstance(decoded, dict) else {}
