"""Other side of the measured calls: ``instances COUNT``, or ``heartbeats ...``."""

import http.client
import json
import sys

import trio

RECEIVE_BYTES = 4096
LISTED = {"clock_ms": 123456, "born": 1700000000000, "running": [["7e55.0.0.1", 1]]}
LIFE_BORN = 1000


def make_heartbeat(number: int) -> bytes:
    """Return the body of a heartbeat of an instance."""
    content = {
        "service": "service",
        "address": f"127.75.0.1:{1000 + number}",
        "state": "ready",
        "born": LIFE_BORN,
        "zone": "dc",
        "sequence": 5,
        "machine": f"m-{number}",
        "capacity": {"cpu": 16000, "mem_mb": 64000},
        "labels": [f"rack-{number // 40}"],
    }
    return json.dumps(content).encode()


def send_heartbeats(address: str, count: int, instances: int, is_kept: bool) -> None:
    """Send heartbeats one after the other, over kept connections or one for each."""
    headers = {"Content-Type": "application/json"}
    if not is_kept:
        headers["Connection"] = "close"
    connections = [http.client.HTTPConnection(address, timeout=5.0) for _ in range(8)]
    for turn in range(count):
        number = turn % instances
        connection = connections[turn % len(connections)]
        path = f"/instances/i-{number}/heartbeat"
        connection.request("POST", path, make_heartbeat(number), headers)
        response = connection.getresponse()
        assert response.status == 200, response.status
        response.read()


async def serve_instances(count: int) -> None:
    """Answer each request on some ports, which the standard output lists."""
    body = json.dumps(LISTED).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"

    async def serve(stream: trio.SocketStream) -> None:
        try:
            # Each request fits into one segment.
            while await stream.receive_some(RECEIVE_BYTES):
                await stream.send_all(head.encode() + body)
        except trio.BrokenResourceError:
            return

    async with trio.open_nursery() as nursery:
        ports = []
        for _ in range(count):
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1", backlog=8)
            ports.append(listeners[0].socket.getsockname()[1])
            nursery.start_soon(trio.serve_listeners, serve, listeners)
        print(*ports, flush=True)


if __name__ == "__main__":
    match sys.argv[1:]:
        case ["instances", number]:
            trio.run(serve_instances, int(number))
        case ["heartbeats", address, number, lives, kept]:
            send_heartbeats(address, int(number), int(lives), kept == "kept")
