"""Messages between daemons: UDP datagrams, and JSON batches over HTTP."""

import contextlib
from collections.abc import Callable, Sequence
from typing import NamedTuple

import msgspec
import trio

from gypsumwalk.drivers.http_client import HttpClient, RequestFailed
from gypsumwalk.drivers.input_queue import InputSink
from gypsumwalk.drivers.metrics import Metrics
from gypsumwalk.effects import Record
from gypsumwalk.errors import MalformedMessage
from gypsumwalk.events import Event
from gypsumwalk.inputs import PeerInput
from gypsumwalk.interfaces import Clock
from gypsumwalk.replication import OutdatedIncarnation
from gypsumwalk.timestamps import HybridClock
from gypsumwalk.wire import Envelope, PeerCodec

__all__ = ["PeerAddress", "PeerNetwork"]

MAX_DATAGRAM_BYTES = 8 * 1024
RECEIVE_BUFFER_BYTES = 64 * 1024
MAX_QUEUED_MESSAGES = 512
MAX_BATCH_MESSAGES = 64
MAX_BATCH_DATAGRAMS = 64
SEND_TIMEOUT_SECONDS = 2.0
REPORT_INTERVAL_SECONDS = 5.0
PEER_PATH = "/peer/v1/messages"


class PeerAddress(NamedTuple):
    """Address on which a daemon receives messages of its peers."""

    host: str
    port: int


class PeerNetwork:
    """Transport for the messages between daemons.

    Parameters
    ----------
    name : str
        Name of this daemon.
    incarnation : int
        Incarnation of this daemon.
    codec : PeerCodec
        Codec that encodes and authenticates messages.
    clock : Clock
        Source of the time.
    hybrid : HybridClock
        Hybrid logical clock whose readings messages carry.
    find : Callable
        Returns the address of a daemon by name, or None.
    accept : Callable
        Returns whether an envelope is new, and adds it to the replay window.
    find_newer : Callable
        Returns a known incarnation above that of an envelope's sender, or 0.
    inputs : InputSink
        Queue of the node's inputs.
    record : Callable
        Writes an event.
    metrics : Metrics
        Counters of messages and bytes.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: int,
        codec: PeerCodec,
        clock: Clock,
        hybrid: HybridClock,
        find: Callable[[str], PeerAddress | None],
        accept: Callable[[Envelope], bool],
        find_newer: Callable[[Envelope], int],
        inputs: InputSink,
        record: Callable[[Record], None],
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._codec = codec
        self._clock = clock
        self._hybrid_clock = hybrid
        self._find_address = find
        self._accept = accept
        self._find_newer = find_newer
        self._inputs = inputs
        self._record = record
        self._metrics = metrics
        self._sequence = 0
        self._socket = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        # Nonblocking sends and reads on the raw socket skip trio's checkpoints.
        self._nonblocking_socket = self._socket._sock  # type: ignore[attr-defined]
        self._queues: dict[str, trio.MemorySendChannel[Envelope]] = {}
        self._nursery: trio.Nursery | None = None
        # One sender per recipient, so that batches keep their order.
        self._http = HttpClient(connections_per_lane=1)
        self._last_recorded: dict[str, float] = {}

    async def bind(self, address: PeerAddress) -> None:
        """Bind the UDP socket."""
        await self._socket.bind(address)

    def start(self, nursery: trio.Nursery) -> None:
        """Start receiving datagrams; senders run in the same nursery."""
        self._nursery = nursery
        self._token = trio.lowlevel.current_trio_token()
        nursery.start_soon(self._receive_datagrams)

    async def _receive_datagrams(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                content, _ = await self._socket.recvfrom(RECEIVE_BUFFER_BYTES)
                self._handle_datagram(content)
                self._drain_datagrams()

    def _drain_datagrams(self) -> None:
        # Replies to heartbeats arrive together; handle them all in one wake-up.
        for _ in range(MAX_BATCH_DATAGRAMS):
            try:
                content, _ = self._nonblocking_socket.recvfrom(RECEIVE_BUFFER_BYTES)
            except BlockingIOError:
                return
            self._handle_datagram(content)

    def close(self) -> None:
        """Close the socket and the idle connections."""
        self._socket.close()
        self._http.close()

    def send(self, recipient: str, body: msgspec.Struct, *, reliable: bool) -> None:
        """Send or enqueue one message without blocking; delivery is not guaranteed.

        Parameters
        ----------
        recipient : str
            Name of the daemon.
        body : msgspec.Struct
            The message.
        reliable : bool
            Whether to send over HTTP; a message too large for a datagram always is.
        """
        if not reliable:
            envelope = self._make_envelope(recipient, body, stream=False)
            content = self._codec.encode_datagram(envelope)
            if len(content) <= MAX_DATAGRAM_BYTES:
                self._send_datagram(recipient, content)
                return
        self._enqueue(recipient, self._make_envelope(recipient, body, stream=True))

    def receive_batch(self, content: bytes, signature: str) -> None:
        """Handle a batch received over HTTP; called on a server's thread.

        Parameters
        ----------
        content : bytes
            The batch, encoded as JSON.
        signature : str
            MAC of the batch.

        Raises
        ------
        MalformedMessage
            If the batch is truncated, malformed or not authentic.
        """
        batch = self._codec.decode_stream(content, signature)
        trio.from_thread.run_sync(
            self._handle_batch, batch, len(content), trio_token=self._token
        )

    def _make_envelope(
        self, recipient: str, body: msgspec.Struct, *, stream: bool
    ) -> Envelope:
        self._sequence += 1
        return Envelope(
            self._name,
            self._incarnation,
            recipient,
            self._sequence,
            self._hybrid_clock.read(self._clock.now()),
            self._codec.encode_body(body, stream=stream),
        )

    def _send_datagram(self, recipient: str, content: bytes) -> None:
        address = self._find_address(recipient)
        if address is None:
            return
        with contextlib.suppress(OSError):
            self._nonblocking_socket.sendto(content, tuple(address))
            self._count_messages("sent", "udp", 1, len(content))

    def _enqueue(self, recipient: str, envelope: Envelope) -> None:
        queue = self._queues.get(recipient)
        if queue is None:
            assert self._nursery is not None
            queue, receiver = trio.open_memory_channel[Envelope](MAX_QUEUED_MESSAGES)
            self._queues[recipient] = queue
            self._nursery.start_soon(self._send_batches, recipient, receiver)
        try:
            queue.send_nowait(envelope)
        except trio.WouldBlock:
            self._metrics.count("peer_messages_dropped")
            self._record_failure(
                recipient, f"send queue is full ({MAX_QUEUED_MESSAGES} messages)"
            )

    async def _send_batches(
        self, recipient: str, queue: trio.MemoryReceiveChannel[Envelope]
    ) -> None:
        async for first in queue:
            batch = [first]
            with contextlib.suppress(trio.WouldBlock):
                while len(batch) < MAX_BATCH_MESSAGES:
                    batch.append(queue.receive_nowait())
            address = self._find_address(recipient)
            if address is None:
                self._record_failure(recipient, "address unknown")
                continue
            await self._post(recipient, address, batch)

    async def _post(
        self, recipient: str, address: PeerAddress, batch: list[Envelope]
    ) -> None:
        content = self._codec.encode_stream(batch)
        self._count_messages("sent", "http", len(batch), len(content))
        headers = {"Gypsumwalk-Signature": self._codec.sign(content)}
        try:
            await self._http.request(
                "POST",
                f"{address.host}:{address.port}",
                PEER_PATH,
                timeout=SEND_TIMEOUT_SECONDS,
                headers=headers,
                body=content,
            )
        except RequestFailed as error:
            self._record_failure(recipient, str(error))

    def _handle_batch(
        self, batch: Sequence[tuple[Envelope, msgspec.Struct]], size: int
    ) -> None:
        self._count_messages("received", "http", len(batch), size)
        for envelope, body in batch:
            self._deliver(envelope, body)

    def _handle_datagram(self, content: bytes) -> None:
        self._count_messages("received", "udp", 1, len(content))
        try:
            envelope, body = self._codec.decode_datagram(content)
        except MalformedMessage as error:
            self._metrics.count("peer_messages_rejected")
            self._record_failure("(unknown)", str(error), event=Event.MESSAGE_REJECTED)
            return
        self._deliver(envelope, body)

    def _deliver(self, envelope: Envelope, body: msgspec.Struct) -> None:
        if envelope.recipient != self._name:
            return
        if not self._accept(envelope):
            if newer := self._find_newer(envelope):
                refusal = OutdatedIncarnation(newer)
                self.send(envelope.source, refusal, reliable=False)
            return
        self._hybrid_clock.merge(envelope.timestamp, self._clock.now())
        with contextlib.suppress(trio.WouldBlock, trio.BrokenResourceError):
            self._inputs.send_nowait(PeerInput(envelope.source, body))

    def _count_messages(
        self, direction: str, transport: str, messages: int, size: int
    ) -> None:
        labels = {"direction": direction, "transport": transport}
        self._metrics.count("peer_messages", messages, **labels)
        self._metrics.count("peer_bytes", size, **labels)

    def _record_failure(
        self, peer: str, reason: str, *, event: Event = Event.PEER_UNREACHABLE
    ) -> None:
        now = self._clock.now()
        if now - self._last_recorded.get(peer, 0.0) < REPORT_INTERVAL_SECONDS:
            return
        self._last_recorded[peer] = now
        key = "peer" if event is Event.PEER_UNREACHABLE else "source"
        self._record(Record(event, peer, {key: peer, "reason": reason}))
