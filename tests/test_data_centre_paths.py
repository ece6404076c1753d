"""Tests of names in the paths of evacuations that need an escape."""

import io
import sys
import unittest
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from gypsumwalk.drivers.relay import RelayAnswer
from gypsumwalk.effects import Answer
from gypsumwalk.fleet_call_handler import LEADER_HEADER
from gypsumwalk.fleet_calls import StartEvacuationCall

FOLDER = str(Path(__file__).parent.parent / "platform")
if FOLDER not in sys.path:
    sys.path.append(FOLDER)

from adapter_calls import decode_control_call  # noqa: E402
from control import CallApplication  # noqa: E402


def serve(path):
    """Serve a call as a daemon that does not lead; return the path that it relays."""
    referral = Answer(503, headers={LEADER_HEADER: "b"})
    context = SimpleNamespace(
        watchdog=mock.Mock(),
        bridge=SimpleNamespace(call=lambda *_, **__: referral),
    )
    relay = mock.Mock()
    relay.send.return_value = RelayAnswer(200)
    application = CallApplication(
        context,
        lambda method, path, _, body: decode_control_call(method, path, body),
        relay,
        lambda: False,
    )
    environ = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": path,
        "wsgi.input": io.BytesIO(),
    }
    application(environ, mock.Mock())
    return relay.send.call_args.args[1]


class TestNames(unittest.TestCase):
    # Guards against a data centre that can't be evacuated, as the server passes on the
    # octets of its name as Latin-1, and leaves an escaped slash as it is.
    def test_a_name_is_that_of_the_heartbeats(self):
        for name, segment in (
            ("são paulo", "s\xc3\xa3o paulo"),
            ("a/b", "a%2Fb"),
            ("100%", "100%"),
        ):
            call = decode_control_call("POST", f"/evacuate/{segment}/start", b"")
            assert call == StartEvacuationCall(name)

    def test_a_name_that_is_not_text_is_not_found(self):
        for segment in ("\xff", "\u4e2d"):
            path = f"/evacuate/{segment}/start"
            assert decode_control_call("POST", path, b"") is None

    # Guards against an order that reaches the leader with another name, or cut off.
    def test_the_path_is_escaped_again_for_the_leader(self):
        for path, relayed in (
            ("/evacuate/recife/start", "/evacuate/recife/start"),
            ("/evacuate/s\xc3\xa3o paulo/start", "/evacuate/s%C3%A3o%20paulo/start"),
            ("/evacuate/a?b#c/start", "/evacuate/a%3Fb%23c/start"),
            ("/evacuate/%41/start", "/evacuate/%2541/start"),
            ("/evacuate/a%2Fb/start", "/evacuate/a%2Fb/start"),
        ):
            assert serve(path) == relayed


if __name__ == "__main__":
    unittest.main()
