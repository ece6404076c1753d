"""Tests of the relay: refusals, unknown outcomes and finding the leader."""

import socket
import threading
import unittest
from unittest import mock

from cheroot.wsgi import Server

from examples._local_cluster import find_free_port
from gypsumwalk.drivers import relay as relay_module
from gypsumwalk.drivers.relay import Relay, RelayAnswer, RelayApplication
from gypsumwalk.fleet_call_handler import LEADER_HEADER

REQUEST_TIMEOUT_SECONDS = 3.0
SILENCE_SECONDS = 4
"""Time after which no request may use a connection that has gone silent."""


class Backend:
    """A daemon that gives scripted answers, of which the last repeats."""

    def __init__(self, *answers, leader=None):
        self.answers = list(answers)
        self.leader = leader
        self.leader_queries = 0
        self.requests = []
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
            self.leader_queries += 1
            start_response(*self.make_leader_reply())
            return [b"{}"]
        self.requests.append((environ["REQUEST_METHOD"], environ["PATH_INFO"]))
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if callable(answer):
            answer = answer()
        status, headers = answer
        headers = [("Content-Length", "2"), *headers]
        start_response(f"{status} Status", headers)
        return [b"{}"]

    def make_leader_reply(self):
        headers = [("Content-Length", "2")]
        if self.leader is None:
            return "200 OK", headers
        return "503 Status", [*headers, (LEADER_HEADER, self.leader)]

    def close(self):
        self._server.stop()


class TestRelay(unittest.TestCase):
    def make_relay(self, seeds, addresses=None):
        lines = []
        relay = Relay(
            lambda: seeds,
            lambda name: (addresses or {}).get(name, ""),
            "/leader",
            lines.append,
        )
        self.addCleanup(relay.close)
        return relay

    def make_backend(self, *answers, **leader):
        backend = Backend(*answers, **leader)
        self.addCleanup(backend.close)
        return backend

    def open_unresponsive_listener(self):
        unresponsive = socket.socket()
        self.addCleanup(unresponsive.close)
        unresponsive.bind(("127.0.0.1", 0))
        unresponsive.listen(8)
        return f"127.0.0.1:{unresponsive.getsockname()[1]}"

    def post(self, relay):
        return relay.send(
            "POST", "/a/b", headers={}, body=b"{}", timeout=REQUEST_TIMEOUT_SECONDS
        )

    def test_a_referral_leads_to_the_leader(self):
        leader = self.make_backend((200, []))
        other = self.make_backend((503, []), leader="lead")
        relay = self.make_relay([other.address], {"lead": leader.address})
        assert self.post(relay).status == 200
        assert self.post(relay).status == 200
        assert (other.leader_queries, len(other.requests)) == (1, 0)
        assert relay.is_ready

    def test_a_former_leader_refers_to_the_current_one(self):
        new = self.make_backend((200, []))
        old = self.make_backend((200, []), (503, [(LEADER_HEADER, "new")]))
        relay = self.make_relay([old.address], {"new": new.address})
        assert self.post(relay).status == 200
        old.leader = "new"
        assert self.post(relay).status == 200
        assert len(new.requests) == 1

    def test_an_unresponsive_seed_does_not_delay_the_search(self):
        unresponsive = self.open_unresponsive_listener()
        leader = self.make_backend((200, []))
        relay = self.make_relay([unresponsive, leader.address])
        started = relay_module.time.monotonic()
        assert self.post(relay).status == 200
        elapsed = relay_module.time.monotonic() - started
        assert elapsed < relay_module.LEADER_QUERY_TIMEOUT_SECONDS

    def test_waiting_requests_share_one_search(self):
        unresponsive = self.open_unresponsive_listener()
        relay = self.make_relay([unresponsive])
        relay._last_answer_at = relay_module.time.monotonic()
        started = relay_module.time.monotonic()
        threads = [threading.Thread(target=self.post, args=(relay,)) for _ in range(20)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        elapsed = relay_module.time.monotonic() - started
        assert elapsed < 2 * relay_module.LEADER_WAIT_SECONDS

    # Callers waited at entries that knew that they were cut off from the leader.
    def test_a_relay_that_is_not_ready_refuses_without_waiting_for_a_leader(self):
        other = self.make_backend((503, []), leader="")
        relay = self.make_relay([other.address])
        silence = relay_module.READINESS_WINDOW_SECONDS + 0.1
        relay._last_answer_at = relay_module.time.monotonic() - silence
        started = relay_module.time.monotonic()
        answer = self.post(relay)
        elapsed = relay_module.time.monotonic() - started
        assert (answer.status, answer.headers["Retry-After"]) == (503, "1")
        assert elapsed < relay_module.LEADER_WAIT_SECONDS / 2

    def test_a_stale_leader_hint_is_ignored_when_the_named_daemon_is_silent(self):
        unresponsive = self.open_unresponsive_listener()
        other = self.make_backend((503, []), leader="old")
        relay = self.make_relay([other.address], {"old": unresponsive})
        assert self.post(relay).status == 503
        assert relay.leader == ""

    def test_a_refused_connection_is_answered_as_not_run(self):
        relay = self.make_relay([f"127.0.0.1:{find_free_port()}"])
        answer = self.post(relay)
        assert answer.status == 503
        assert answer.headers["Retry-After"] == "1"

    def test_a_refusal_of_the_leader_is_passed_on(self):
        leader = self.make_backend((429, [("Retry-After", "2")]))
        answer = self.post(self.make_relay([leader.address]))
        assert answer.status == 429
        assert answer.headers["Retry-After"] == "2"

    def test_an_unanswered_attempt_is_never_reported_as_not_run(self):
        relay = self.make_relay([])
        relay._known = relay_module._Leader(self.open_unresponsive_listener())
        relay._last_answer_at = relay_module.time.monotonic()
        assert self.post(relay).status == 504

    def test_a_slow_leader_gets_one_copy_of_a_call_and_stays_known(self):
        released = threading.Event()

        def answer_late():
            released.wait(REQUEST_TIMEOUT_SECONDS)
            return 200, []

        leader = self.make_backend(answer_late)
        self.addCleanup(released.set)
        relay = self.make_relay([leader.address])
        relay.probe()
        answers = []
        caller = threading.Thread(target=lambda: answers.append(self.post(relay)))
        caller.start()
        # After the search, two probes are answered while the call waits.
        while leader.leader_queries < 3:
            assert caller.is_alive()
            assert relay.is_ready
            caller.join(0.01)
        assert relay.leader == leader.address
        released.set()
        caller.join()
        assert [answer.status for answer in answers] == [200]
        assert len(leader.requests) == 1

    def test_a_call_that_a_slow_leader_does_not_answer_is_unknown(self):
        released = threading.Event()

        def answer_too_late():
            released.wait()
            return 200, []

        leader = self.make_backend(answer_too_late)
        self.addCleanup(released.set)
        relay = self.make_relay([leader.address])
        assert self.post(relay).status == 504
        assert relay.leader == leader.address
        assert len(leader.requests) == 1

    def test_a_lost_leader_is_replaced_while_its_answer_is_awaited(self):
        new = self.make_backend((200, []))
        relay = self.make_relay([new.address])
        silent = self.open_unresponsive_listener()
        relay._known = relay_module._Leader(silent)
        started = relay_module.time.monotonic()
        assert self.post(relay).status == 200
        elapsed = relay_module.time.monotonic() - started
        assert elapsed < REQUEST_TIMEOUT_SECONDS / 2
        assert relay.leader == new.address

    # The seeds were asked only after a probe of the lost leader had timed out.
    def test_a_new_leader_is_found_while_the_lost_one_is_probed(self):
        new = self.make_backend((200, []))
        relay = self.make_relay([new.address])
        lost = relay_module._Leader(self.open_unresponsive_listener())
        relay._known = lost
        started = relay_module.time.monotonic()
        relay.probe()
        elapsed = relay_module.time.monotonic() - started
        assert relay.leader == new.address
        assert lost.lost.done()
        assert elapsed < relay_module.PROBE_TIMEOUT_SECONDS

    # An election takes longer than one query of the seeds.
    def test_seeds_are_queried_until_one_of_them_leads(self):
        new = self.make_backend((200, []), leader="")
        relay = self.make_relay([new.address])
        relay._known = relay_module._Leader(self.open_unresponsive_listener())
        checking = threading.Thread(target=relay.probe)
        checking.start()
        while new.leader_queries < 2:
            assert checking.is_alive()
            checking.join(0.01)
        new.leader = None
        checking.join()
        assert relay.leader == new.address
        longest = relay_module.PROBE_ATTEMPTS * relay_module.PROBE_TIMEOUT_SECONDS
        assert new.leader_queries < longest / relay_module.RETRY_DELAY_SECONDS

    def test_a_leader_that_answers_is_kept_while_seeds_refer_to_another(self):
        leader = self.make_backend((200, []))
        former = self.open_unresponsive_listener()
        seed = self.make_backend((503, []), leader="former")
        relay = self.make_relay([seed.address], {"former": former})
        known = relay._known = relay_module._Leader(leader.address)
        relay.probe()
        assert relay.leader == leader.address
        assert not known.lost.done()

    # Guards against requests that waited for their deadline on connections that had
    # gone silent while they were idle, long after the network worked again (issue 43).
    def test_kept_connections_notice_that_they_went_silent(self):
        leader = self.make_backend((200, []))
        relay = self.make_relay([leader.address])
        assert self.post(relay).status == 200
        pool = relay._http_pool.connection_from_url(f"http://{leader.address}")
        connection = pool.pool.get(block=False)
        self.addCleanup(connection.close)

        def read(option, level=socket.IPPROTO_TCP):
            return connection.sock.getsockopt(level, option)

        probes = read(socket.TCP_KEEPCNT) * read(socket.TCP_KEEPINTVL)
        assert read(socket.SO_KEEPALIVE, socket.SOL_SOCKET)
        assert read(socket.TCP_KEEPIDLE) + probes <= SILENCE_SECONDS
        assert 0 < read(socket.TCP_USER_TIMEOUT) < 1000 * REQUEST_TIMEOUT_SECONDS / 2
        assert read(socket.TCP_NODELAY)

    def test_probes_use_the_address_for_probes(self):
        leader = self.make_backend((200, []))
        calls = self.make_backend((200, []))
        relay = Relay(
            lambda: [calls.address],
            lambda name: "",
            "/leader",
            lambda record: None,
            find_probe_address={calls.address: leader.address}.get,
        )
        self.addCleanup(relay.close)
        assert self.post(relay).status == 200
        assert (leader.leader_queries, len(leader.requests)) == (1, 0)
        assert (calls.leader_queries, len(calls.requests)) == (0, 1)

    def test_an_unknown_outcome_is_retried(self):
        leader = self.make_backend((502, []), (200, []))
        assert self.post(self.make_relay([leader.address])).status == 200
        assert len(leader.requests) == 2

    def test_a_refusal_after_an_unknown_outcome_is_unknown(self):
        leader = self.make_backend((502, []), (503, [("Retry-After", "1")]))
        assert self.post(self.make_relay([leader.address])).status == 504


class TestRelayApplication(unittest.TestCase):
    def relay(self, answer):
        """Return the record of one relayed call, and the headers of its answer."""
        records, started = [], []
        relay = mock.Mock(leader="daemon:1")
        relay.send.return_value = answer
        application = RelayApplication(
            relay, lambda _: 3.0, record=records.append, metrics=mock.Mock()
        )
        environ = {"REQUEST_METHOD": "POST", "PATH_INFO": "/a/b"}
        application(environ, lambda status, headers: started.append(headers))
        return records[0], dict(started[0])

    # Logs did not tell a full server from a leader without a lease.
    def test_the_record_of_a_refusal_has_its_reason(self):
        document = b'{"type":"/problems/overloaded","title":"overloaded"}'
        for body, reason in (
            (document, "overloaded"),
            (b"", "server-full"),
            (b"{}", "timeout"),
        ):
            with self.subTest(reason=reason):
                record, _ = self.relay(RelayAnswer(503, body))
                assert record.attributes["reason"] == reason
        record, _ = self.relay(RelayAnswer(200))
        assert "reason" not in record.attributes

    # A leader's server without a free thread answers without headers.
    def test_a_refusal_without_a_time_to_return_gets_one(self):
        _, headers = self.relay(RelayAnswer(503, b""))
        assert headers["Retry-After"] == "1"
        _, headers = self.relay(RelayAnswer(503, b"", {"Retry-After": "4"}))
        assert headers["Retry-After"] == "4"
        _, headers = self.relay(RelayAnswer(504))
        assert "Retry-After" not in headers


if __name__ == "__main__":
    unittest.main()
