"""Fuzz tests of input validation: settings, HTTP calls and datagrams.

Any input gives either a validated struct or a typed error.
"""

import unittest

import msgspec
from hypothesis import example, given
from hypothesis import strategies as st

from gypsumwalk.endpoints import Audience, BodyKind, Endpoint, EndpointTable
from gypsumwalk.errors import BadBoundary, BadSetting, MalformedMessage, SettingsInvalid
from gypsumwalk.settings import Settings, decode_settings
from gypsumwalk.timestamps import Timestamp
from gypsumwalk.wire import Envelope, PeerCodec
from tests import _fuzz

SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(max_size=20)
)
JSON_VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=10), inner, max_size=4)
    ),
    max_leaves=12,
)
TOML_VALUES = st.sampled_from(
    [
        '"x"',
        '""',
        "0",
        "-1",
        "8101",
        "99999999999999999999",
        "1e400",
        "nan",
        "true",
        "[]",
        "[1, 'x']",
        "[{name = 'a'}]",
        "{}",
        "{a = {b = 1}}",
        "1979-05-27",
        "07:32:00",
        '"""\n"""',
        "'unclosed",
    ]
)
SETTINGS_TEXT = """\
name = "a"
data_centre = "x"
caller_port = 8101
peer_port = 8201
cluster_secret = "0123456789abcdef"
[[peers]]
name = "a"
data_centre = "x"
address = "127.0.0.1"
peer_port = 8201
"""


class Ask(msgspec.Struct, frozen=True, tag=True):
    queue: str
    count: int = 0
    labels: dict[str, str] = {}
    nested: list[list[int]] = []


class Show(msgspec.Struct, frozen=True, tag=True):
    item_id: str
    wait: float = 0.0


TABLE = EndpointTable(
    [
        Endpoint("POST", "/v1/asks", Ask, Audience.CALLER),
        Endpoint("PUT", "/v1/asks/{queue}", Ask, Audience.CALLER),
        Endpoint("GET", "/v1/items/{item_id}", Show, Audience.CALLER, BodyKind.NONE),
        Endpoint("POST", "/v1/run/{item_id}", Show, Audience.CALLER, BodyKind.PAYLOAD),
    ]
)
CODEC = PeerCodec([Ask, Show], b"secret")


def decode_call(method, path, headers, query, body):
    match = TABLE.match(method, path)
    if match is None:
        return None
    try:
        call = match.decode(headers=headers, query=query, body=body)
    except BadBoundary:
        return None
    assert isinstance(call, match.endpoint.call)
    return call


def make_envelope(body, *, stream):
    raw = CODEC.encode_body(body, stream=stream)
    return Envelope("a", 1, "b", 7, Timestamp(5, 0), raw)


class TestSettings(unittest.TestCase):
    def check(self, text):
        try:
            assert isinstance(decode_settings(text, file="s.toml"), Settings)
        except SettingsInvalid as error:
            for wrong in error.exceptions:
                assert isinstance(wrong, BadSetting)
                assert str(wrong).startswith("s.toml: ")

    @given(st.text())
    @example("a = 1979-05-27")
    @example("\x00")
    @example("[" * 2000)
    def test_any_text(self, text):
        self.check(text)

    @given(st.dictionaries(st.sampled_from(Settings.__struct_fields__), TOML_VALUES))
    def test_any_value_of_any_key(self, values):
        lines = [f"{key} = {value}" for key, value in values.items()]
        self.check("\n".join(lines))
        self.check("\n".join([*lines, SETTINGS_TEXT]))

    def test_every_prefix_and_every_byte_flipped(self):
        content = SETTINGS_TEXT.encode()
        for text in [*_fuzz.list_truncations(content), *_fuzz.flip_bytes(content)]:
            self.check(text.decode("latin-1"))


class TestCalls(unittest.TestCase):
    @given(
        st.sampled_from(["GET", "POST", "PUT", "DELETE", ""]),
        st.text() | st.sampled_from(["/v1/asks", "/v1/asks/q", "/v1/items/1"]),
        st.dictionaries(st.text(max_size=20), st.text(max_size=20), max_size=4),
        st.dictionaries(st.text(max_size=20), st.text(max_size=20), max_size=4),
        st.binary(),
    )
    def test_any_call(self, method, path, headers, query, body):
        decode_call(method, path, headers, query, body)

    @given(JSON_VALUES)
    def test_any_json(self, value):
        body = msgspec.json.encode(value)
        decode_call("POST", "/v1/asks", {}, {}, body)
        decode_call("PUT", "/v1/asks/q", {}, {}, body)

    @given(st.text())
    def test_any_header_value(self, value):
        headers = {"gypsumwalk-wait": value, "gypsumwalk-item-id": value}
        decode_call("GET", "/v1/items/1", headers, {}, b"")
        decode_call("POST", "/v1/run/1", headers, {"wait": value}, b"x")

    def test_path_parameter_takes_precedence_over_body_header_and_query(self):
        call = decode_call("PUT", "/v1/asks/q", {}, {}, b'{"queue": "other"}')
        assert call.queue == "q"
        headers = {"gypsumwalk-item-id": "2"}
        call = decode_call("GET", "/v1/items/1", headers, {"item_id": "3"}, b"")
        assert call.item_id == "1"

    def test_deep_nesting_is_refused(self):
        for body in (b"[" * 100_000, b'{"nested":' + b"[" * 100_000):
            assert decode_call("POST", "/v1/asks", {}, {}, body) is None
            assert decode_call("PUT", "/v1/asks/q", {}, {}, body) is None


class TestDatagrams(unittest.TestCase):
    @given(st.binary(max_size=300))
    def test_any_datagram_is_refused(self, content):
        with self.assertRaises(MalformedMessage):
            CODEC.decode_datagram(content)

    @given(st.binary(max_size=300), st.text(max_size=40))
    @example(b"{}", "é")
    def test_any_stream_is_refused(self, content, signature):
        with self.assertRaises(MalformedMessage):
            CODEC.decode_stream(content, signature)

    @given(st.binary(max_size=300))
    def test_any_authentic_datagram_is_decoded_or_refused(self, content):
        try:
            CODEC.decode_datagram(CODEC._prepend_mac(content))
        except MalformedMessage:
            return

    @given(JSON_VALUES)
    def test_authentic_envelope_around_anything(self, value):
        try:
            raw = msgspec.Raw(msgspec.msgpack.encode(value))
        except OverflowError:
            return
        envelope = Envelope("a", 1, "b", 7, Timestamp(5, 0), raw)
        try:
            _, body = CODEC.decode_datagram(CODEC.encode_datagram(envelope))
        except MalformedMessage:
            return
        assert isinstance(body, Ask | Show)

    @given(st.text(), st.integers(-(2**63), 2**63 - 1))
    def test_messages_come_back_as_they_were(self, queue, count):
        ask = Ask(queue, count)
        datagram = CODEC.encode_datagram(make_envelope(ask, stream=False))
        assert CODEC.decode_datagram(datagram)[1] == ask
        content = CODEC.encode_stream([make_envelope(ask, stream=True)] * 2)
        batch = CODEC.decode_stream(content, CODEC.sign(content))
        assert [body for _, body in batch] == [ask, ask]

    def test_every_prefix_and_every_flipped_byte_is_refused(self):
        datagram = CODEC.encode_datagram(make_envelope(Ask("q"), stream=False))
        corrupted = [*_fuzz.list_truncations(datagram), *_fuzz.flip_bytes(datagram)]
        for content in corrupted:
            with self.assertRaises(MalformedMessage):
                CODEC.decode_datagram(content)
        stream = CODEC.encode_stream([make_envelope(Ask("q"), stream=True)])
        signature = CODEC.sign(stream)
        for content in [*_fuzz.list_truncations(stream), *_fuzz.flip_bytes(stream)]:
            with self.assertRaises(MalformedMessage):
                CODEC.decode_stream(content, signature)


if __name__ == "__main__":
    unittest.main()
