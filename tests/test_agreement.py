"""Tests of configuration, keys, portions and membership with complete daemons."""

import unittest

from gypsumwalk.configuration import ApplyCall, DiffCall, ReadCall
from gypsumwalk.keys import GiveCall, ListCall, WithdrawCall
from gypsumwalk.views import KeyVerdict
from tests._agreement import Cluster

BASE = """
[teams.hanbit]
limit = 4
[pools.seats]
max_unavailable = 1
[services.seating]
pool = "seats"
[queues.seats]
service = "seating"
[queues.lists]
service = "seating"
open = true
"""


class TestAgreement(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster(11, voters=3, followers=2)
        self.cluster.elect()
        self.cluster.run(3)

    def apply(self, base, files, to="f0"):
        return self.cluster.ask(ApplyCall(base=base, files=files), to=to)

    def give(self, team):
        self.apply(0, {"10-base.toml": BASE})
        return self.cluster.ask(GiveCall(team=team), to="f1").body

    def test_accepted_folder_is_in_force_on_every_daemon(self):
        answer = self.apply(0, {"10-base.toml": BASE})
        assert answer.status == 200, answer
        assert answer.body.generation == 1
        assert answer.body.report.in_force == ["f0", "f1", "v0", "v1", "v2"]
        assert answer.body.report.unreachable == []

    def test_report_names_an_ended_daemon_without_waiting_for_it(self):
        self.cluster.run(5)
        self.cluster.kill("f1")
        self.cluster.run(20)
        started = self.cluster.now
        answer = self.apply(0, {"10-base.toml": BASE})
        assert answer.body.report.unreachable == ["f1"]
        assert self.cluster.now - started < 1.0

    def test_operators_racing_with_equal_numbers_get_one_winner(self):
        one = self.cluster.call(
            ApplyCall(base=0, files={"a.toml": BASE}), to="f0", credential="x"
        )
        calls = [
            self.cluster.call(
                ApplyCall(base=0, files={"a.toml": f"[teams.t{number}]\nlimit = 1"}),
                to=f"v{number}",
                credential="first operator's key",
            )
            for number in range(3)
        ]
        self.cluster.run(3)
        assert one.answer.status == 401
        statuses = sorted(call.answer.status for call in calls)
        assert statuses == [200, 409, 409]
        (winner,) = [call for call in calls if call.answer.status == 200]
        again = self.cluster.ask(winner.body, to="f1")
        assert again.status == 200
        assert again.body.generation == 1
        assert again.body.repeated

    def test_wrong_folder_is_refused_as_a_whole_and_diff_changes_nothing(self):
        self.apply(0, {"10-base.toml": BASE})
        wrong = '[queues.q]\nservice = "nowhere"\n[teams.t]\nlimit = -1\n'
        slow = "[queues.seats]\ndeadline_seconds = 601.0\n"
        answer = self.apply(1, {"20.toml": wrong, "30.toml": slow})
        assert answer.status == 422
        assert len(answer.body.errors) == 3
        change = "[teams.batedores]\nlimit = 2\n[teams.hanbit]\nlimit = 5\n"
        diff = self.cluster.ask(DiffCall(files={"20.toml": change}), to="v0").body
        assert diff.added == ["teams.batedores"]
        assert diff.changed == ["teams.hanbit"]
        assert self.cluster.ask(ReadCall(), to="v0").body.generation == 1

    def test_withdrawn_key_is_refused_everywhere(self):
        given = self.give("hanbit")
        for name, node in self.cluster.get_nodes().items():
            now = self.cluster.read_local_clock(name)
            permit = node.keys.check(given.key, "seats", now)
            assert permit == (KeyVerdict.VALID, "hanbit")
            assert node.keys.check("", "lists", now).verdict is KeyVerdict.OPEN
            assert node.keys.check("", "seats", now).verdict is KeyVerdict.UNKNOWN_KEY
        answer = self.cluster.ask(WithdrawCall(given.key_id), to="f0")
        assert answer.body.everywhere
        for name, node in self.cluster.get_nodes().items():
            permit = node.keys.check(
                given.key, "seats", self.cluster.read_local_clock(name)
            )
            assert permit.verdict is KeyVerdict.UNKNOWN_KEY
        assert self.cluster.ask(ListCall(), to="v1").body.keys == []

    def test_cut_off_daemon_refuses_keyed_work_within_the_bound(self):
        given = self.give("hanbit")
        self.cluster.partition(["f0"])
        answer = self.cluster.ask(WithdrawCall(given.key_id), to="v0")
        assert answer.body.report.unreachable == ["f0"]
        node = self.cluster.daemons["f0"].node
        now = self.cluster.read_local_clock("f0")
        assert node.keys.check(given.key, "seats", now).verdict is KeyVerdict.STALE
        assert node.keys.check("", "lists", now).verdict is KeyVerdict.OPEN

    def test_cut_off_daemon_says_that_it_can_not_check_an_operator(self):
        self.cluster.partition(["f0"], ["v0", "v1", "v2", "f1"])
        self.cluster.run(4)
        assert self.cluster.ask(ListCall(), to="f0").status == 503
        assert self.cluster.ask(ListCall(), to="f1").status == 200
        assert self.cluster.ask(ListCall(), to="f1", credential="no").status == 401

    def test_portions_follow_demand_and_never_exceed_the_limit(self):
        self.give("hanbit")
        nodes = self.cluster.get_nodes()
        held = set()
        for step in range(40):
            for name, node in nodes.items():
                now = self.cluster.read_local_clock(name)
                request = f"{name}.{step}"
                if node.portions.acquire("hanbit", request, now):
                    held.add((name, request))
                self.cluster._arm(self.cluster.daemons[name])
            self.cluster.run(0.1)
            assert len(held) <= 4
        assert len(held) == 4
        for name, request in held:
            nodes[name].portions.release(
                "hanbit", request, self.cluster.read_local_clock(name)
            )
            self.cluster._arm(self.cluster.daemons[name])
        self.cluster.run(5)
        for node in nodes.values():
            assert node.portion_section.count_allocated("hanbit") == 0

    def test_members_discover_each_other_and_detect_a_killed_daemon(self):
        self.cluster.run(10)
        for node in self.cluster.get_nodes().values():
            assert [member.alive for member in node.membership.members()] == [True] * 5
        self.cluster.kill("f1")
        self.cluster.run(20)
        for node in self.cluster.get_nodes().values():
            assert not node.membership.find("f1").alive
        self.cluster.restart("f1")
        self.cluster.run(5)
        for node in self.cluster.get_nodes().values():
            assert node.membership.find("f1").alive


if __name__ == "__main__":
    unittest.main()
