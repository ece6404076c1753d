"""Tests of the transport between daemons, against a server on loopback."""

import unittest
from unittest.mock import patch

import h11
import trio
import trio.testing

from gypsumwalk.drivers.clock import EpochClock
from gypsumwalk.drivers.input_queue import InputQueue
from gypsumwalk.drivers.metrics import Metrics
from gypsumwalk.drivers.peers import PEER_PATH, PeerAddress, PeerNetwork
from gypsumwalk.events import Event
from gypsumwalk.replication import PEER_MESSAGES, Follow, OutdatedIncarnation
from gypsumwalk.timestamps import HybridClock, Timestamp
from gypsumwalk.wire import Envelope, PeerCodec

SECRET = b"0123456789abcdef"
NO_CONTENT = b"HTTP/1.1 204 No Content\r\n\r\n"
TIMEOUT_SECONDS = 5.0


class RecordingServer:
    """Server that keeps the requests it receives."""

    def __init__(self):
        self.requests = []

    async def serve(self, stream):
        http = h11.Connection(h11.SERVER)
        request, body = None, b""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await stream.receive_some())
            elif isinstance(event, h11.Request):
                request, body = event, b""
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self.requests.append((request, body))
                await stream.send_all(NO_CONTENT)
                http = h11.Connection(h11.SERVER)
            else:
                return


class TestReliableMessages(unittest.TestCase):
    def setUp(self):
        self.is_accepted = True
        self.newer = 0

    def run_with(self, scenario):
        async def main():
            server = RecordingServer()
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(trio.serve_listeners, server.serve, listeners)
                self.address = PeerAddress("127.0.0.1", port)
                self.network = self.make_network(self.address)
                await self.network.bind(PeerAddress("127.0.0.1", 0))
                self.network.start(nursery)
                with trio.fail_after(TIMEOUT_SECONDS):
                    await scenario(server)
                nursery.cancel_scope.cancel()
            self.network.close()

        trio.run(main)

    def make_network(self, address):
        self.codec = PeerCodec(PEER_MESSAGES, SECRET)
        self.records = []
        clock = EpochClock()
        addresses = {"v1": address, "gone": PeerAddress("127.0.0.1", 1)}
        return PeerNetwork(
            name="v0",
            incarnation=1,
            codec=self.codec,
            clock=clock,
            hybrid=HybridClock(),
            find=addresses.get,
            accept=lambda envelope: self.is_accepted,
            find_newer=lambda envelope: self.newer,
            inputs=InputQueue(clock),
            record=self.records.append,
            metrics=Metrics(),
        )

    async def await_messages(self, server, count):
        while len(self.read_messages(server)) < count:
            await trio.testing.wait_all_tasks_blocked()

    def read_messages(self, server):
        messages = []
        for request, body in server.requests:
            fields = {name.decode(): value.decode() for name, value in request.headers}
            assert request.target == PEER_PATH.encode()
            signature = fields["gypsumwalk-signature"]
            messages += [item for _, item in self.codec.decode_stream(body, signature)]
        return messages

    # Guards against a leader whose batches of log entries take a thread each.
    def test_batches_take_no_thread_and_keep_their_order(self):
        async def scenario(server):
            for number in range(100):
                self.network.send("v1", Follow(number), reliable=True)
                if number % 10 == 0:
                    await self.await_messages(server, number + 1)
            await self.await_messages(server, 100)
            numbers = [message.last_index for message in self.read_messages(server)]
            assert numbers == list(range(100))
            assert self.records == []

        with patch.object(trio.to_thread, "run_sync") as run_sync:
            self.run_with(scenario)
        assert run_sync.call_count == 0

    def test_a_daemon_that_is_not_reached_is_recorded(self):
        async def scenario(server):
            self.network.send("gone", Follow(1), reliable=True)
            while not self.records:
                await trio.testing.wait_all_tasks_blocked()
            record = self.records[0]
            assert (record.event, record.subject) == (Event.PEER_UNREACHABLE, "gone")
            assert "ConnectionRefusedError" in record.attributes["reason"]

        self.run_with(scenario)

    def receive(self, number):
        """Have a message of another daemon received."""
        body = self.codec.encode_body(Follow(1), stream=False)
        envelope = Envelope("v1", 1, "v0", number, Timestamp(0, 0), body)
        self.network._handle_datagram(self.codec.encode_datagram(envelope))

    # Guards against a daemon that is not told why nobody hears it (issue 43).
    def test_a_daemon_with_an_outdated_incarnation_is_told_the_newer_one(self):
        async def scenario(server):
            with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as receiver:
                await receiver.bind(tuple(self.address))
                self.receive(1)
                self.is_accepted = False
                self.receive(1)
                self.newer = 7
                self.receive(2)
                content, _ = await receiver.recvfrom(1024)
            envelope, body = self.codec.decode_datagram(content)
            assert envelope.recipient == "v1"
            assert body == OutdatedIncarnation(7)

        self.run_with(scenario)


if __name__ == "__main__":
    unittest.main()
