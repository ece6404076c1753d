"""Tests of the relay: true refusals, unknown outcomes, and the way to the leader."""

import socket
import threading
import unittest

from cheroot.wsgi import Server

from gypsumwalk.drivers import relay as relay_module
from gypsumwalk.drivers.relay import Relay
from gypsumwalk.fleet_call_handler import LEADER_HEADER
from tests._real_daemon import find_ports

PATIENCE = 3.0


class Backend:
    """A daemon that answers each request from a script."""

    def __init__(self, *answers, leader=None):
        self.answers = list(answers)
        self.leader = leader
        self.questions = 0
        self.seen = []
        self._server = Server(("127.0.0.1", 0), self._serve, numthreads=4)
        self._server.shutdown_timeout = 0
        self._server.prepare()
        self.address = f"127.0.0.1:{self._server.bind_addr[1]}"
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._thread.start()

    def _serve(self, environ, start_response):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        environ["wsgi.input"].read(length)
        if environ["PATH_INFO"] == "/leader":
            self.questions += 1
            start_response(*self.describe_leader())
            return [b"{}"]
        self.seen.append((environ["REQUEST_METHOD"], environ["PATH_INFO"]))
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if callable(answer):
            answer = answer()
        status, headers = answer
        headers = [("Content-Length", "2"), *headers]
        start_response(f"{status} Status", headers)
        return [b"{}"]

    def describe_leader(self):
        headers = [("Content-Length", "2")]
        if self.leader is None:
            return "200 OK", headers
        return "503 Status", [*headers, (LEADER_HEADER, self.leader)]

    def close(self):
        self._server.stop()


class TestRelay(unittest.TestCase):
    def make_relay(self, seeds, names=None):
        lines = []
        relay = Relay(
            lambda: seeds,
            lambda name: (names or {}).get(name, ""),
            "/leader",
            lines.append,
        )
        self.addCleanup(relay.close)
        return relay

    def make_backend(self, *answers, **leader):
        backend = Backend(*answers, **leader)
        self.addCleanup(backend.close)
        return backend

    def listen_silently(self):
        silent = socket.socket()
        self.addCleanup(silent.close)
        silent.bind(("127.0.0.1", 0))
        silent.listen(8)
        return f"127.0.0.1:{silent.getsockname()[1]}"

    def post(self, relay):
        return relay.send("POST", "/a/b", headers={}, body=b"{}", timeout=PATIENCE)

    def test_a_referral_leads_to_the_leader(self):
        leader = self.make_backend((200, []))
        other = self.make_backend((503, []), leader="lead")
        relay = self.make_relay([other.address], {"lead": leader.address})
        assert self.post(relay).status == 200
        assert self.post(relay).status == 200
        assert (other.questions, len(other.seen)) == (1, 0)
        assert relay.is_ready

    def test_a_daemon_that_no_longer_leads_refers_to_the_one_that_does(self):
        new = self.make_backend((200, []))
        old = self.make_backend((200, []), (503, [(LEADER_HEADER, "new")]))
        relay = self.make_relay([old.address], {"new": new.address})
        assert self.post(relay).status == 200
        old.leader = "new"
        assert self.post(relay).status == 200
        assert len(new.seen) == 1

    def test_a_silent_seed_does_not_delay_the_search(self):
        silent = self.listen_silently()
        leader = self.make_backend((200, []))
        relay = self.make_relay([silent, leader.address])
        started = relay_module.time.monotonic()
        assert self.post(relay).status == 200
        took = relay_module.time.monotonic() - started
        assert took < relay_module.LEADER_QUERY_TIMEOUT_SECONDS

    def test_requests_that_wait_share_one_search(self):
        silent = self.listen_silently()
        relay = self.make_relay([silent])
        relay._last_answer_at = relay_module.time.monotonic()
        started = relay_module.time.monotonic()
        threads = [threading.Thread(target=self.post, args=(relay,)) for _ in range(20)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        took = relay_module.time.monotonic() - started
        assert took < 2 * relay_module.LEADER_WAIT_SECONDS

    def test_a_stale_hint_is_not_followed_without_an_answer(self):
        silent = self.listen_silently()
        other = self.make_backend((503, []), leader="old")
        relay = self.make_relay([other.address], {"old": silent})
        assert self.post(relay).status == 503
        assert relay.leader == ""

    def test_nobody_listens_so_it_has_not_run(self):
        relay = self.make_relay([f"127.0.0.1:{find_ports(1)[0]}"])
        answer = self.post(relay)
        assert answer.status == 503
        assert answer.headers["Retry-After"] == "1"

    def test_a_refusal_of_the_leader_is_passed_on(self):
        leader = self.make_backend((429, [("Retry-After", "2")]))
        answer = self.post(self.make_relay([leader.address]))
        assert answer.status == 429
        assert answer.headers["Retry-After"] == "2"

    def test_an_unanswered_attempt_is_never_called_not_run(self):
        relay = self.make_relay([])
        relay._leader = self.listen_silently()
        relay._last_answer_at = relay_module.time.monotonic()
        assert self.post(relay).status == 504

    def test_an_unknown_outcome_is_asked_again(self):
        leader = self.make_backend((502, []), (200, []))
        assert self.post(self.make_relay([leader.address])).status == 200
        assert len(leader.seen) == 2

    def test_a_refusal_after_an_unknown_outcome_is_unknown(self):
        leader = self.make_backend((502, []), (503, [("Retry-After", "1")]))
        assert self.post(self.make_relay([leader.address])).status == 504


if __name__ == "__main__":
    unittest.main()
