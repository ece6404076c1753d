"""Tests of the codec of messages between daemons."""

import unittest

import msgspec

from gypsumwalk.errors import MalformedMessage
from gypsumwalk.timestamps import Timestamp
from gypsumwalk.wire import Envelope, PeerCodec


class Hello(msgspec.Struct, frozen=True, tag=True):
    text: str
    content: bytes = b""


class Bye(msgspec.Struct, frozen=True, tag=True):
    number: int


def wrap(codec, body, *, stream):
    raw = codec.encode_body(body, stream=stream)
    return Envelope("a", 7, "b", 1, Timestamp(5, 0), raw)


class TestPeerCodec(unittest.TestCase):
    def setUp(self):
        self.codec = PeerCodec((Hello, Bye), b"a secret of the cluster")

    def test_datagram_round_trip(self):
        envelope = wrap(self.codec, Hello("x", b"\x00\xff"), stream=False)
        decoded, body = self.codec.decode_datagram(self.codec.encode_datagram(envelope))
        assert body == Hello("x", b"\x00\xff")
        assert (decoded.source, decoded.sequence) == ("a", 1)

    def test_batch_keeps_order(self):
        batch = [wrap(self.codec, Bye(n), stream=True) for n in range(3)]
        content = self.codec.encode_stream(batch)
        decoded = self.codec.decode_stream(content, self.codec.sign(content))
        assert [body for _, body in decoded] == [Bye(0), Bye(1), Bye(2)]

    def test_message_signed_with_another_secret_is_rejected(self):
        other = PeerCodec((Hello, Bye), b"some other secret")
        envelope = wrap(other, Bye(1), stream=False)
        with self.assertRaises(MalformedMessage):
            self.codec.decode_datagram(other.encode_datagram(envelope))
        content = other.encode_stream([wrap(other, Bye(1), stream=True)])
        with self.assertRaises(MalformedMessage):
            self.codec.decode_stream(content, other.sign(content))


if __name__ == "__main__":
    unittest.main()
