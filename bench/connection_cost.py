"""Connections and processor time of calls that go round the instances of a fleet.

Usage: ``python -m bench.connection_cost [INSTANCES [MAX_CONNECTIONS]]``. Servers and
client run in one process, on loopback, so that the time is that of both. Prints one
line of JSON.
"""

import json
import sys
import time

import trio

from gypsumwalk.drivers.http_client import HttpClient, Lane, RequestFailed

ROUNDS = 4
CONCURRENCY = 320
TIMEOUT_SECONDS = 5.0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
RECEIVE_BYTES = 4096


class Servers:
    """Servers that answer each request, one for each instance."""

    def __init__(self) -> None:
        self.addresses: list[str] = []
        self.connections = 0

    async def start(self, nursery: trio.Nursery, count: int) -> None:
        """Start servers on free ports of the loopback address."""
        for _ in range(count):
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1", backlog=8)
            _, port = listeners[0].socket.getsockname()
            self.addresses.append(f"127.0.0.1:{port}")
            nursery.start_soon(trio.serve_listeners, self.serve, listeners)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer the requests on one connection; each fits into one segment."""
        self.connections += 1
        try:
            while await stream.receive_some(RECEIVE_BYTES):
                await stream.send_all(ANSWER)
        except trio.BrokenResourceError:
            return


async def measure(instances: int, limit: int | None) -> dict[str, float]:
    """Call each instance some times, and return what the later rounds took."""
    servers = Servers()
    failures = 0
    client = HttpClient(max_connections=limit)
    limiter = trio.CapacityLimiter(CONCURRENCY)

    async def call(address: str) -> None:
        nonlocal failures
        async with limiter:
            try:
                await client.request(
                    "POST",
                    address,
                    "/hold",
                    timeout=TIMEOUT_SECONDS,
                    lane=Lane.LONG_POLL,
                )
            except RequestFailed:
                failures += 1

    async def go_round() -> None:
        async with trio.open_nursery() as calls:
            for address in servers.addresses:
                calls.start_soon(call, address)

    async with trio.open_nursery() as nursery:
        await servers.start(nursery, instances)
        await go_round()
        opened = servers.connections
        begin = time.process_time()
        for _ in range(ROUNDS):
            await go_round()
        seconds = time.process_time() - begin
        nursery.cancel_scope.cancel()
    client.close()
    calls = ROUNDS * instances
    return {
        "instances": instances,
        "limit": client._max_connections,
        "calls": calls,
        "failed": failures,
        "new_connections": servers.connections - opened,
        "ms_per_call": round(1000 * seconds / calls, 3),
    }


def main() -> None:
    """Measure and print the result."""
    instances = int(sys.argv[1]) if len(sys.argv) > 1 else 3000
    limit = int(sys.argv[2]) if len(sys.argv) > 2 else None
    print(json.dumps(trio.run(measure, instances, limit)))


if __name__ == "__main__":
    main()
