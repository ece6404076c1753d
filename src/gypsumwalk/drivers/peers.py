"""Messages between daemons: UDP datagrams, and batches in JSON over HTTP."""

import contextlib
from collections.abc import Callable, Sequence
from typing import NamedTuple

import msgspec
import trio
import urllib3
from urllib3.exceptions import HTTPError

from gypsumwalk.drivers.metrics import Metrics
from gypsumwalk.effects import Record
from gypsumwalk.errors import MalformedMessage
from gypsumwalk.events import Event
from gypsumwalk.inputs import Input, PeerInput
from gypsumwalk.interfaces import Clock
from gypsumwalk.timestamps import HybridClock
from gypsumwalk.wire import Envelope, PeerCodec

__all__ = ["PeerAddress", "PeerNetwork"]

MAX_DATAGRAM_BYTES = 8 * 1024
RECEIVE_BYTES = 64 * 1024
MAX_QUEUED_MESSAGES = 512
MAX_BATCH_MESSAGES = 64
MAX_BATCH_DATAGRAMS = 64
SEND_TIMEOUT_SECONDS = 2.0
SENDER_THREADS = 16
COMPLAINT_INTERVAL_SECONDS = 5.0
PEER_PATH = "/peer/v1/messages"


class PeerAddress(NamedTuple):
    """Where a daemon listens for other daemons."""

    host: str
    port: int


class PeerNetwork:
    """Sends and receives the messages between daemons.

    Parameters
    ----------
    name : str
        Name of this daemon.
    incarnation : int
        Incarnation of this daemon.
    codec : PeerCodec
        Codec that authenticates messages.
    clock : Clock
        Time.
    hybrid : HybridClock
        Clock that messages carry readings of.
    find : Callable
        Returns the address of a daemon by name, or None.
    accept : Callable
        Decides whether an envelope is new and meant for this daemon.
    inputs : trio.MemorySendChannel
        Channel of the decisions' inputs.
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
        inputs: trio.MemorySendChannel[Input],
        record: Callable[[Record], None],
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._codec = codec
        self._clock = clock
        self._hybrid = hybrid
        self._find = find
        self._accept = accept
        self._inputs = inputs
        self._record = record
        self._metrics = metrics
        self._sequence = 0
        self._socket = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        # Sending and draining never wait, so they need no turn of the scheduler.
        self._raw = self._socket._sock  # type: ignore[attr-defined]
        self._queues: dict[str, trio.MemorySendChannel[Envelope]] = {}
        self._nursery: trio.Nursery | None = None
        self._limiter = trio.CapacityLimiter(SENDER_THREADS)
        self._pools = urllib3.PoolManager(num_pools=64, maxsize=2, retries=False)
        self._complained: dict[str, float] = {}

    async def bind(self, address: PeerAddress) -> None:
        """Bind the UDP socket."""
        await self._socket.bind(address)

    def start(self, nursery: trio.Nursery) -> None:
        """Start receiving; senders run in the same nursery."""
        self._nursery = nursery
        self._token = trio.lowlevel.current_trio_token()
        nursery.start_soon(self._receive_datagrams)

    async def _receive_datagrams(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                content, _ = await self._socket.recvfrom(RECEIVE_BYTES)
                self._take_datagram(content)
                self._take_waiting_datagrams()

    def _take_waiting_datagrams(self) -> None:
        # Heartbeats are answered all at once: one wake-up takes in all answers.
        for _ in range(MAX_BATCH_DATAGRAMS):
            try:
                content, _ = self._raw.recvfrom(RECEIVE_BYTES)
            except BlockingIOError:
                return
            self._take_datagram(content)

    def close(self) -> None:
        """Close the socket and the idle connections."""
        self._socket.close()
        self._pools.clear()

    def send(self, recipient: str, body: msgspec.Struct, *, reliable: bool) -> None:
        """Send one message without waiting; it may be lost.

        Parameters
        ----------
        recipient : str
            Name of the daemon.
        body : msgspec.Struct
            The message.
        reliable : bool
            Whether it goes over HTTP. A message too large for a datagram always does.
        """
        if not reliable:
            envelope = self._wrap(recipient, body, stream=False)
            content = self._codec.encode_datagram(envelope)
            if len(content) <= MAX_DATAGRAM_BYTES:
                self._send_datagram(recipient, content)
                return
        self._enqueue(recipient, self._wrap(recipient, body, stream=True))

    def receive_batch(self, content: bytes, signature: str) -> None:
        """Take in a batch that came over HTTP; called on a server's thread.

        Parameters
        ----------
        content : bytes
            The batch in JSON.
        signature : str
            Its MAC.

        Raises
        ------
        MalformedMessage
            If it is not authentic or not whole.
        """
        batch = self._codec.decode_stream(content, signature)
        trio.from_thread.run_sync(
            self._take_batch, batch, len(content), trio_token=self._token
        )

    def _wrap(self, recipient: str, body: msgspec.Struct, *, stream: bool) -> Envelope:
        self._sequence += 1
        return Envelope(
            self._name,
            self._incarnation,
            recipient,
            self._sequence,
            self._hybrid.read(self._clock.now()),
            self._codec.encode_body(body, stream=stream),
        )

    def _send_datagram(self, recipient: str, content: bytes) -> None:
        address = self._find(recipient)
        if address is None:
            return
        with contextlib.suppress(OSError):
            self._raw.sendto(content, tuple(address))
            self._count("sent", "udp", 1, len(content))

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
            self._complain(recipient, "too many messages wait")

    async def _send_batches(
        self, recipient: str, queue: trio.MemoryReceiveChannel[Envelope]
    ) -> None:
        async for first in queue:
            batch = [first]
            with contextlib.suppress(trio.WouldBlock):
                while len(batch) < MAX_BATCH_MESSAGES:
                    batch.append(queue.receive_nowait())
            address = self._find(recipient)
            if address is None:
                self._complain(recipient, "no address is known")
                continue
            await self._post(recipient, address, batch)

    async def _post(
        self, recipient: str, address: PeerAddress, batch: list[Envelope]
    ) -> None:
        content = self._codec.encode_stream(batch)
        self._count("sent", "http", len(batch), len(content))
        url = f"http://{address.host}:{address.port}{PEER_PATH}"
        try:
            await trio.to_thread.run_sync(
                self._post_blocking,
                url,
                content,
                limiter=self._limiter,
                abandon_on_cancel=True,
            )
        except (HTTPError, OSError) as error:
            self._complain(recipient, type(error).__name__)

    def _post_blocking(self, url: str, content: bytes) -> None:
        headers = {"Gypsumwalk-Signature": self._codec.sign(content)}
        self._pools.request(
            "POST",
            url,
            body=content,
            headers=headers,
            timeout=SEND_TIMEOUT_SECONDS,
            retries=False,
            redirect=False,
        )

    def _take_batch(
        self, batch: Sequence[tuple[Envelope, msgspec.Struct]], size: int
    ) -> None:
        self._count("received", "http", len(batch), size)
        for envelope, body in batch:
            self._take(envelope, body)

    def _take_datagram(self, content: bytes) -> None:
        self._count("received", "udp", 1, len(content))
        try:
            envelope, body = self._codec.decode_datagram(content)
        except MalformedMessage as error:
            self._metrics.count("peer_messages_rejected")
            self._complain("(unknown)", str(error), event=Event.MESSAGE_REJECTED)
            return
        self._take(envelope, body)

    def _take(self, envelope: Envelope, body: msgspec.Struct) -> None:
        if envelope.recipient != self._name or not self._accept(envelope):
            return
        self._hybrid.merge(envelope.timestamp, self._clock.now())
        with contextlib.suppress(trio.WouldBlock, trio.BrokenResourceError):
            self._inputs.send_nowait(PeerInput(envelope.source, body))

    def _count(self, direction: str, transport: str, messages: int, size: int) -> None:
        labels = {"direction": direction, "transport": transport}
        self._metrics.count("peer_messages", messages, **labels)
        self._metrics.count("peer_bytes", size, **labels)

    def _complain(
        self, peer: str, reason: str, *, event: Event = Event.PEER_UNREACHABLE
    ) -> None:
        now = self._clock.now()
        if now - self._complained.get(peer, 0.0) < COMPLAINT_INTERVAL_SECONDS:
            return
        self._complained[peer] = now
        key = "peer" if event is Event.PEER_UNREACHABLE else "source"
        self._record(Record(event, peer, {key: peer, "reason": reason}))
