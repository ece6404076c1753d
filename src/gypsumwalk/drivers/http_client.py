"""HTTP client on the runtime's sockets, with kept connections for each address."""

import resource
import socket
import struct
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache

import h11
import trio

from gypsumwalk.drivers.http_exchange import (
    MAX_BODY_BYTES,
    EncodedRequest,
    InvalidResponse,
    ResponseReader,
    encode_head,
    encode_request,
)
from gypsumwalk.drivers.outgoing_sockets import open_socket as _open_socket
from gypsumwalk.errors import GypsumwalkError

__all__ = [
    "MAX_BODY_BYTES",
    "HttpClient",
    "HttpResponse",
    "Lane",
    "RequestFailed",
    "RequestNotSent",
    "RequestOutcomeUnknown",
    "find_connection_limit",
]

CONNECT_TIMEOUT_SECONDS = 0.5
"""Connecting takes one round trip, and links have a latency of a few milliseconds."""

CONNECTIONS_PER_LANE = 2
MIN_CONNECTIONS = 2000
"""Limit of open connections of a process with few descriptors."""

MAX_CONNECTIONS = 32_000
"""Limit of open connections of a process without a limit of descriptors; 8,000
instances with the connections of both lanes."""

DISCARD_UNSENT = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` with which a close drops what is not delivered yet."""

RECEIVE_BYTES = 64 * 1024
MAX_IDLE_SECONDS = 300.0
SWEEP_INTERVAL_SECONDS = 10.0


def find_connection_limit(descriptors: int) -> int:
    """Return the limit of open connections of a process.

    It leaves half of the descriptors to servers and files. A limit below the number of
    instances closes the connection of each of them before its next call: calls go
    round the instances, and the connection that has been idle longest is closed.

    Parameters
    ----------
    descriptors : int
        Number of descriptors that the process may open, ``RLIM_INFINITY`` for any.

    Returns
    -------
    int
        The limit.
    """
    if descriptors == resource.RLIM_INFINITY:
        return MAX_CONNECTIONS
    return min(MAX_CONNECTIONS, max(MIN_CONNECTIONS, descriptors // 2))


class Lane(Enum):
    """Kind of request; those of one kind share the connections to an address."""

    SHORT = "short"
    """The server answers at once."""

    LONG_POLL = "long-poll"
    """The server may delay its answer."""


class RequestFailed(GypsumwalkError):
    """A request got no valid response.

    Parameters
    ----------
    address : str
        ``host:port`` of the server.
    waited : float
        Seconds between the request and its first byte sent, or its failure.
    reason : str
        Description of the failure.
    """

    def __init__(self, address: str, waited: float, reason: str) -> None:
        super().__init__(f"{address}: {reason}")
        self.address = address
        self.waited = waited


class RequestNotSent(RequestFailed):
    """A request failed before any byte of it was sent."""


class RequestOutcomeUnknown(RequestFailed):
    """A request may have been received, but got no valid response."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Complete response to a request.

    Attributes
    ----------
    status : int
        Status code.
    body : bytes
        Body.
    waited : float
        Seconds between the request and its first byte sent.
    """

    status: int
    body: bytes
    waited: float


class _Call:
    """One request and the progress of sending it."""

    __slots__ = ("address", "deadline", "request", "sent_at", "started")

    def __init__(self, address: str, request: EncodedRequest, timeout: float) -> None:
        self.address = address
        self.request = request
        self.started = trio.current_time()
        self.deadline = self.started + timeout
        self.sent_at: float | None = None

    @property
    def waited(self) -> float:
        sent_at = trio.current_time() if self.sent_at is None else self.sent_at
        return sent_at - self.started

    def make_failure(self, error: Exception) -> RequestFailed:
        reason = f"{type(error).__name__}: {error}"
        if self.sent_at is None:
            return RequestNotSent(self.address, self.waited, reason)
        return RequestOutcomeUnknown(self.address, self.waited, reason)


class _Connection:
    """One connection, which carries one request at a time."""

    __slots__ = ("_socket", "idle_since", "is_reusable", "is_used", "pool")

    def __init__(self, pool: "_Pool", connected: socket.socket) -> None:
        self.pool = pool
        self.idle_since = 0.0
        self.is_used = False
        self.is_reusable = False
        self._socket = connected

    def close(self) -> None:
        if self.is_used and not self.is_reusable:
            # The kernel would go on delivering a request that has been given up.
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, DISCARD_UNSENT)
        self._socket.close()

    def is_stale(self) -> bool:
        # Without a request, only the end of the connection or an error is readable.
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    async def send(self, call: _Call) -> None:
        self.is_reusable = False
        self.is_used = True
        remaining = memoryview(call.request.content)
        while remaining:
            if call.sent_at is None and trio.current_time() >= call.deadline:
                raise trio.TooSlowError
            try:
                size = self._socket.send(remaining)
            except BlockingIOError:
                await trio.lowlevel.wait_writable(self._socket)
                continue
            if call.sent_at is None:
                call.sent_at = trio.current_time()
            remaining = remaining[size:]

    async def receive(self, request: EncodedRequest) -> tuple[int, bytes]:
        reader = ResponseReader(request)
        await trio.lowlevel.wait_readable(self._socket)
        while True:
            try:
                content = self._socket.recv(RECEIVE_BYTES)
            except BlockingIOError:
                await trio.lowlevel.wait_readable(self._socket)
                continue
            response = reader.feed(content)
            if response is not None:
                self.is_reusable = reader.is_reusable
                return response


class _Pool:
    """Connections to one address for one lane, and the order of its requests."""

    __slots__ = ("calls", "failed_connects", "idle", "key", "opened", "slots", "turn")

    def __init__(self, key: tuple[str, Lane], limit: int) -> None:
        self.key = key
        self.calls = 0
        self.opened = 0
        self.failed_connects = 0
        self.idle: list[_Connection] = []
        self.slots = trio.Semaphore(limit)
        self.turn = trio.StrictFIFOLock()

    @property
    def is_unused(self) -> bool:
        return not self.calls and not self.opened


class HttpClient:
    """Sends requests over connections that are kept and reused.

    Requests to one address in one lane are sent in the order in which they were made.
    No request is repeated once a byte of it was sent.

    Parameters
    ----------
    connect_timeout : float
        Time limit in seconds for opening a connection.
    connections_per_lane : int
        Maximum number of connections to one address in one lane.
    max_connections : int, optional
        Maximum number of connections to all addresses; to open another one, the
        client closes the one that has been idle for the longest time. By default it
        follows from the number of descriptors that the process may open.
    max_idle : float
        Seconds after which an idle connection is closed, at a later request.
    record_wait : Callable, optional
        Called once per request with the seconds between the request and its first
        byte sent, or its failure.
    kept_heads : int
        Maximum number of heads of requests that are kept for later requests with the
        same address, path, headers and length.
    """

    def __init__(
        self,
        *,
        connect_timeout: float = CONNECT_TIMEOUT_SECONDS,
        connections_per_lane: int = CONNECTIONS_PER_LANE,
        max_connections: int | None = None,
        max_idle: float = MAX_IDLE_SECONDS,
        record_wait: Callable[[float], None] | None = None,
        kept_heads: int = 0,
    ) -> None:
        self._connect_timeout = connect_timeout
        self._connections_per_lane = connections_per_lane
        if max_connections is None:
            descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
            max_connections = find_connection_limit(descriptors)
        self._max_connections = max_connections
        self._max_idle = max_idle
        self._record_wait = record_wait
        self._encode_head = lru_cache(kept_heads)(encode_head)
        self._pools: dict[tuple[str, Lane], _Pool] = {}
        # Ordered by the time since which they have been idle.
        self._idle: dict[_Connection, None] = {}
        self._opened = 0
        self._next_sweep = 0.0
        self._is_closed = False

    @property
    def opened(self) -> int:
        """Number of open connections."""
        return self._opened

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        *,
        timeout: float,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        lane: Lane = Lane.SHORT,
    ) -> HttpResponse:
        """Send one request and wait for the complete response.

        Parameters
        ----------
        method : str
            HTTP method.
        address : str
            ``host:port`` of the server.
        path : str
            Path and query of the URL.
        timeout : float
            Time limit in seconds, from this call to the end of the response.
        headers : Mapping of str to str, optional
            Headers besides ``Host`` and ``Content-Length``.
        body : bytes
            Body.
        lane : Lane
            Kind of request.

        Returns
        -------
        HttpResponse
            The response.

        Raises
        ------
        RequestNotSent
            If the request is malformed, no connection was established, or the time
            limit passed before a byte was sent.
        RequestOutcomeUnknown
            If a byte was sent, but no valid response was received in time.
        """
        try:
            request = encode_request(
                method,
                address,
                path,
                headers or {},
                body,
                encode_head=self._encode_head,
            )
        except h11.LocalProtocolError as error:
            raise RequestNotSent(address, 0.0, f"malformed: {error}") from error
        call = _Call(address, request, timeout)
        try:
            with trio.fail_at(call.deadline):
                status, content = await self._exchange(call, lane)
        except (trio.TooSlowError, OSError, InvalidResponse) as error:
            raise call.make_failure(error) from error
        finally:
            if self._record_wait is not None:
                self._record_wait(call.waited)
        return HttpResponse(status, content, call.waited)

    def close(self) -> None:
        """Close the idle connections; those in use are closed after their request."""
        self._is_closed = True
        for connection in list(self._idle):
            self._close_idle(connection)

    async def _exchange(self, call: _Call, lane: Lane) -> tuple[int, bytes]:
        pool = self._find_pool(call.address, lane)
        pool.calls += 1
        try:
            connection = await self._send_in_turn(pool, call)
            try:
                return await connection.receive(call.request)
            finally:
                self._release(connection)
                pool.slots.release()
        finally:
            pool.calls -= 1

    async def _send_in_turn(self, pool: _Pool, call: _Call) -> _Connection:
        failed_connects = pool.failed_connects
        await _acquire(pool.turn)
        try:
            if not pool.opened and pool.failed_connects != failed_connects:
                raise ConnectionError("connecting failed while the request waited")
            await _acquire(pool.slots)
            try:
                return await self._send(pool, call)
            except BaseException:
                pool.slots.release()
                raise
        finally:
            pool.turn.release()

    async def _send(self, pool: _Pool, call: _Call) -> _Connection:
        while True:
            connection = self._take_idle(pool) or await self._connect(pool)
            is_reused = connection.is_used
            try:
                await connection.send(call)
            except OSError:
                self._discard(connection)
                # The server closed a kept connection after it was checked.
                if call.sent_at is not None or not is_reused:
                    raise
            except BaseException:
                self._discard(connection)
                raise
            else:
                return connection

    def _take_idle(self, pool: _Pool) -> _Connection | None:
        while pool.idle:
            connection = pool.idle.pop()
            del self._idle[connection]
            if not connection.is_stale():
                return connection
            self._discard(connection)
        return None

    async def _connect(self, pool: _Pool) -> _Connection:
        self._make_room()
        self._opened += 1
        pool.opened += 1
        connected = None
        try:
            with trio.fail_after(self._connect_timeout):
                connected = await _open_socket(pool.key[0])
        except (OSError, trio.TooSlowError):
            pool.failed_connects += 1
            raise
        finally:
            if connected is None:
                self._opened -= 1
                pool.opened -= 1
        return _Connection(pool, connected)

    def _make_room(self) -> None:
        if self._opened < self._max_connections:
            return
        if not self._idle:
            raise ConnectionError(f"all {self._max_connections} connections are in use")
        self._close_idle(next(iter(self._idle)))

    def _release(self, connection: _Connection) -> None:
        if self._is_closed or not connection.is_reusable:
            self._discard(connection)
            return
        connection.idle_since = trio.current_time()
        connection.pool.idle.append(connection)
        self._idle[connection] = None

    def _discard(self, connection: _Connection) -> None:
        connection.close()
        connection.pool.opened -= 1
        self._opened -= 1

    def _close_idle(self, connection: _Connection) -> None:
        del self._idle[connection]
        connection.pool.idle.remove(connection)
        self._discard(connection)

    def _find_pool(self, address: str, lane: Lane) -> _Pool:
        self._sweep(trio.current_time())
        key = (address, lane)
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = _Pool(key, self._connections_per_lane)
        return pool

    def _sweep(self, now: float) -> None:
        if now < self._next_sweep:
            return
        self._next_sweep = now + min(SWEEP_INTERVAL_SECONDS, self._max_idle)
        for connection in list(self._idle):
            if now - connection.idle_since < self._max_idle:
                break
            self._close_idle(connection)
        for pool in [pool for pool in self._pools.values() if pool.is_unused]:
            del self._pools[pool.key]


async def _acquire(lock: trio.StrictFIFOLock | trio.Semaphore) -> None:
    # An uncontended ``acquire`` would yield to the scheduler.
    try:
        lock.acquire_nowait()
    except trio.WouldBlock:
        await lock.acquire()
