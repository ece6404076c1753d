"""Tests of settings of a control daemon that change while it runs."""

import os
import sys
import tempfile
import threading
import unittest
from pathlib import Path
from unittest.mock import patch

import trio
from cheroot.wsgi import Server

from gypsumwalk.effects import CallPlatform
from gypsumwalk.instance_actions import AskAdvice, ListMachines
from gypsumwalk.recovery import Recovered

FOLDER = str(Path(__file__).parent.parent / "platform")
if FOLDER not in sys.path:
    sys.path.append(FOLDER)

from adapter_settings import load_settings  # noqa: E402
from control import ControlFactory  # noqa: E402

SETTINGS = """\
ip = "127.0.0.1"
zone = "z"
seed_nodes = ["127.0.0.1:1"]
advice = "{advice}"
[listen_addrs]
control_addr = "127.0.0.1:2"
[cloud_api]
address = "{machines}"
"""
NOWHERE = "127.0.0.1:9"


class TestReplacedAddresses(unittest.TestCase):
    def setUp(self):
        self.paths = []
        server = Server(("127.0.0.1", 0), self.serve, numthreads=1)
        server.shutdown_timeout = 0
        server.prepare()
        threading.Thread(target=server.serve, daemon=True).start()
        self.addCleanup(server.stop)
        self.address = f"127.0.0.1:{server.bind_addr[1]}"
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(folder) / "node.toml"
        self.write(machines=NOWHERE, advice=NOWHERE)
        settings = load_settings(str(self.path))
        self.factory = ControlFactory(str(self.path), settings)
        self.client = self.factory.make_platform(lambda seconds: None, print)
        self.addCleanup(self.client.close)

    def serve(self, environ, start_response):
        self.paths.append(environ["PATH_INFO"])
        start_response("200 OK", [("Content-Length", "2")])
        return [b"{}"]

    def write(self, **addresses):
        self.path.write_text(SETTINGS.format(**addresses))

    def call(self, action):
        return trio.run(self.client.call, CallPlatform("token", action, 1.0))

    # Guards against calls to the first addresses until the daemon ends (issue 43).
    def test_calls_go_to_the_addresses_in_the_settings(self):
        assert not self.call(ListMachines()).succeeded
        self.write(machines=self.address, advice=self.address)
        assert self.factory.reload() == ["machine API", "advice"]
        assert self.call(ListMachines()).succeeded
        assert self.call(AskAdvice("step", ["i-1"])).succeeded
        assert self.paths == ["/machines", "/advise"]

    def test_a_reload_without_a_change_names_none(self):
        assert self.factory.reload() == []


class TestFirstStart(unittest.TestCase):
    """Guards against a lost disk whose identity votes again (issue 43)."""

    def find_identity(self, **environment):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.toml"
            head = f'bootstrap = true\ndata_dir = "{folder}"\n'
            path.write_text(head + SETTINGS.format(machines=NOWHERE, advice=NOWHERE))
            factory = ControlFactory(str(path), load_settings(str(path)))
            with patch.dict(os.environ, environment):
                assembly = factory.assemble(Recovered(), 1)
        return assembly.consensus.replica.vote.identity

    def test_a_first_start_has_the_identity_that_all_expect(self):
        assert self.find_identity() == "first-127.0.0.1"

    # The settings still say that the system starts for the first time.
    def test_a_program_begun_anew_has_another_disk_if_its_own_is_empty(self):
        identity = self.find_identity(GYPSUMWALK_KNOWN_INCARNATION="5")
        assert identity not in ("", "first-127.0.0.1")


if __name__ == "__main__":
    unittest.main()
