"""Encoding and authentication of messages between daemons."""

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
    """Envelope of a message between daemons.

    Attributes
    ----------
    source : str
        Name of the sending daemon.
    incarnation : int
        Incarnation of the sending daemon.
    recipient : str
        Name of the receiving daemon.
    sequence : int
        Sequence number of the message, unique within an incarnation.
    timestamp : Timestamp
        Reading of the sender's hybrid logical clock.
    body : msgspec.Raw
        The encoded message.
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
        All message types, each a tagged struct.
    secret : bytes
        Shared secret of the daemons.
    """

    def __init__(self, messages: Sequence[type], secret: bytes) -> None:
        union: Any = reduce(or_, messages)
        self._key = blake2b(secret, digest_size=32).digest()
        self._bodies: dict[str, Any] = {
            "msgpack": msgspec.msgpack.Decoder(union),
            "json": msgspec.json.Decoder(union),
        }

    def encode_datagram(self, envelope: Envelope) -> bytes:
        """Return the envelope in MessagePack, preceded by its MAC."""
        return self._prepend_mac(msgspec.msgpack.encode(envelope))

    def encode_stream(self, envelopes: Sequence[Envelope]) -> bytes:
        """Return envelopes in JSON, without a MAC, which is sent as a header field."""
        return msgspec.json.encode(envelopes)

    def encode_body(self, body: msgspec.Struct, *, stream: bool) -> msgspec.Raw:
        """Encode a message as JSON for a stream, or as MessagePack for a datagram."""
        codec = msgspec.json if stream else msgspec.msgpack
        return msgspec.Raw(codec.encode(body))

    def sign(self, content: bytes) -> str:
        """Return the MAC of a JSON text in hexadecimal digits."""
        return self._compute_mac(content).hex()

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
            If the datagram is truncated, not authentic or of an unknown type.
        """
        mac, body = content[:MAC_BYTES], content[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._compute_mac(body)):
            raise MalformedMessage("MAC of the datagram does not match")
        try:
            envelope = msgspec.msgpack.decode(body, type=Envelope)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise MalformedMessage(str(error)) from error
        return envelope, self._decode_body("msgpack", envelope.body)

    def decode_stream(
        self, content: bytes, signature: str
    ) -> list[tuple[Envelope, msgspec.Struct]]:
        """Authenticate and decode a JSON array of envelopes.

        Parameters
        ----------
        content : bytes
            The JSON text.
        signature : str
            MAC in hexadecimal digits.

        Returns
        -------
        list of tuple of Envelope and msgspec.Struct
            The envelopes and their messages.

        Raises
        ------
        MalformedMessage
            If the text is invalid or not authentic, or a message has an unknown type.
        """
        expected = self.sign(content).encode()
        if not hmac.compare_digest(signature.encode(), expected):
            raise MalformedMessage("MAC of the JSON text does not match")
        try:
            envelopes = msgspec.json.decode(content, type=list[Envelope])
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise MalformedMessage(str(error)) from error
        return [(item, self._decode_body("json", item.body)) for item in envelopes]

    def _decode_body(self, codec: str, content: msgspec.Raw) -> msgspec.Struct:
        try:
            body: msgspec.Struct = self._bodies[codec].decode(content)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise MalformedMessage(str(error)) from error
        return body

    def _prepend_mac(self, content: bytes) -> bytes:
        return self._compute_mac(content) + content

    def _compute_mac(self, content: bytes) -> bytes:
        return blake2b(content, key=self._key, digest_size=MAC_BYTES).digest()
