"""Envelope of the messages between daemons, and its authentication."""

import hmac
from collections.abc import Sequence
from functools import reduce
from hashlib import blake2b
from operator import or_
from typing import Any

import msgspec

from gypsumwalk.errors import MalformedMessage
from gypsumwalk.timestamps import Timestamp

__all__ = ["Envelope", "PeerCodec"]

MAC_BYTES = 16


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """What surrounds a message between daemons.

    Attributes
    ----------
    source : str
        Name of the sending daemon.
    incarnation : int
        Incarnation of the sending daemon.
    recipient : str
        Name of the daemon that the message is meant for.
    sequence : int
        Number of the message, never repeated within an incarnation.
    timestamp : Timestamp
        Hybrid logical time of sending.
    body : msgspec.Raw
        The message, still encoded.
    """

    source: str
    incarnation: int
    recipient: str
    sequence: int
    timestamp: Timestamp
    body: msgspec.Raw


class PeerCodec:
    """Encodes and authenticates messages between daemons.

    Parameters
    ----------
    messages : Sequence[type]
        Every type of message, each a tagged struct.
    secret : bytes
        Secret that the daemons share.
    """

    def __init__(self, messages: Sequence[type], secret: bytes) -> None:
        union: Any = reduce(or_, messages)
        self._key = blake2b(secret, digest_size=32).digest()
        self._bodies: dict[str, Any] = {
            "msgpack": msgspec.msgpack.Decoder(union),
            "json": msgspec.json.Decoder(union),
        }

    def encode_datagram(self, envelope: Envelope) -> bytes:
        """Return MAC and envelope, in MessagePack."""
        return self._seal(msgspec.msgpack.encode(envelope))

    def encode_stream(self, envelopes: Sequence[Envelope]) -> bytes:
        """Return envelopes in JSON; their MAC goes into a header field."""
        return msgspec.json.encode(envelopes)

    def encode_body(self, body: msgspec.Struct, *, stream: bool) -> msgspec.Raw:
        """Encode a message for an envelope."""
        codec = msgspec.json if stream else msgspec.msgpack
        return msgspec.Raw(codec.encode(body))

    def sign(self, content: bytes) -> str:
        """Return the MAC of a JSON envelope, as hexadecimal digits."""
        return self._digest(content).hex()

    def decode_datagram(self, content: bytes) -> tuple[Envelope, msgspec.Struct]:
        """Authenticate and decode a datagram.

        Parameters
        ----------
        content : bytes
            The datagram.

        Returns
        -------
        tuple of Envelope and msgspec.Struct
            The envelope and its message.

        Raises
        ------
        MalformedMessage
            If it is not whole, not authentic or of no known type.
        """
        mac, body = content[:MAC_BYTES], content[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._digest(body)):
            raise MalformedMessage("wrong MAC")
        try:
            envelope = msgspec.msgpack.decode(body, type=Envelope)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise MalformedMessage(str(error)) from error
        return envelope, self._open("msgpack", envelope.body)

    def decode_stream(
        self, content: bytes, signature: str
    ) -> list[tuple[Envelope, msgspec.Struct]]:
        """Authenticate and decode a batch of envelopes in JSON.

        Parameters
        ----------
        content : bytes
            The JSON text.
        signature : str
            MAC as hexadecimal digits.

        Returns
        -------
        list of tuple of Envelope and msgspec.Struct
            The envelopes and their messages.

        Raises
        ------
        MalformedMessage
            If it is not whole, not authentic or a message is of no known type.
        """
        expected = self.sign(content).encode()
        if not hmac.compare_digest(signature.encode(), expected):
            raise MalformedMessage("wrong MAC")
        try:
            envelopes = msgspec.json.decode(content, type=list[Envelope])
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise MalformedMessage(str(error)) from error
        return [(item, self._open("json", item.body)) for item in envelopes]

    def _open(self, codec: str, content: msgspec.Raw) -> msgspec.Struct:
        try:
            body: msgspec.Struct = self._bodies[codec].decode(content)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise MalformedMessage(str(error)) from error
        return body

    def _seal(self, content: bytes) -> bytes:
        return self._digest(content) + content

    def _digest(self, content: bytes) -> bytes:
        return blake2b(content, key=self._key, digest_size=MAC_BYTES).digest()
