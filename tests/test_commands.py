"""Tests of the calls that the commands make to a daemon, and of their reports."""

import json
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import msgspec

from gypsumwalk.assembly import ENDPOINTS
from gypsumwalk.declaration_records import Resources
from gypsumwalk.endpoints import EndpointTable
from gypsumwalk.evacuation_handler import EVACUATION_ENDPOINTS
from gypsumwalk.fleet_calls import (
    ExplainedJobAnswer,
    ExplainedOrder,
    ExplainedPlace,
    ExplainedPlacement,
    ExplainedWait,
    ExplainJobCall,
    FinishEvacuationCall,
    ListEvacuationsCall,
    StartEvacuationCall,
)
from gypsumwalk.job_explainer import JOB_EXPLAINER_ENDPOINTS
from gypsumwalk.workload_records import Step
from tests._stub_daemon import make_problem, run_stub
from tests.test_command import run

TABLE = EndpointTable(ENDPOINTS)
FOLDER = """
[teams.gabbaim]
limit = 4

[pools.seats]
max_unavailable = 1
"""


class TestCommands(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.stub = cls.enterClassContext(run_stub())

    def setUp(self):
        self.stub.reset()
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.enterContext(mock.patch.dict(os.environ, {"GYPSUMWALK_KEY": "k1"}))
        os.environ["GYPSUMWALK_ADDRESSES"] = self.stub.address

    def write(self, name, text):
        (self.folder / name).write_text(text)

    def answer(self, method, path, body=None, status=200):
        self.stub.answer(method, path, status, {} if body is None else body)

    def decode(self, index=-1):
        """Decode a recorded call, by default the last, as a daemon does."""
        method, path, content, _ = self.stub.calls[index]
        match = TABLE.match(method, path)
        headers = self.stub.headers[index]
        return match.decode(headers=headers, query={}, body=content)

    def test_evacuations_are_ordered_and_listed(self):
        table = EndpointTable(EVACUATION_ENDPOINTS)
        for arguments, method, path, call in (
            (
                ("evacuate", "recife"),
                "POST",
                "/v1/evacuations/recife/start",
                StartEvacuationCall("recife"),
            ),
            (
                ("end-evacuation", "recife"),
                "POST",
                "/v1/evacuations/recife/finish",
                FinishEvacuationCall("recife"),
            ),
            (("evacuations",), "GET", "/v1/evacuations", ListEvacuationsCall()),
        ):
            self.answer(method, path, {"data_centres": ["recife"]})
            code, out, err = run(*arguments)
            assert (code, err) == (0, ""), (arguments, err)
            assert out.strip() == "data_centres: recife"
            assert self.stub.calls[-1][:2] == (method, path)
            match = table.match(method, path)
            assert match.decode(headers={}, query={}, body=b"") == call

    def make_explained(self, **fields):
        return msgspec.to_builtins(ExplainedJobAnswer("q", "s", "t", **fields))

    def explain_job(self, steps, *flags):
        self.write("job.json", steps if isinstance(steps, str) else json.dumps(steps))
        path = str(self.folder / "job.json")
        address = ("--host", "jobs.example", "--path", "/a/17")
        return run("explain-job", *address, "--steps", path, *flags)

    def test_a_job_is_explained_without_its_key_in_the_call(self):
        placement = ExplainedPlacement(
            3,
            2,
            [ExplainedPlace("i-1", "recife", "rack-1", 8.0, 2)],
            [ExplainedWait("quota", 0, "used up"), ExplainedWait("wave", 2, "")],
        )
        answer = self.make_explained(
            accepted=True,
            placement=placement,
            order=ExplainedOrder("late", False, -0.7),
            completion=1.5,
        )
        self.answer("POST", "/v1/workloads/explain", answer)
        steps = [{"count": 3, "need": {"cpu": 1000, "memory": 10}, "estimate": 0.5}]
        code, out, err = self.explain_job(steps)
        assert (code, err) == (0, "")
        assert out.splitlines() == [
            "queue: q",
            "service: s",
            "team: t",
            "call: accepted",
            "first step: 2 of 3 tasks would start now",
            "  instance  data_centre  rack    free_cores  tasks",
            "  i-1       recife       rack-1  8.0         2",
            "1 tasks would wait for:",
            "  quota: used up",
            "  wave, 2 instances",
            "order under overload: late, the pool is not overloaded",
            "latest start: 0.7 s ago",
            "done: in 1.5 s",
        ]
        method, path, content, key = self.stub.calls[-1]
        assert key == "Bearer k1"
        assert b"k1" not in content and "k1" not in path
        match = EndpointTable(JOB_EXPLAINER_ENDPOINTS).match(method, path)
        call = match.decode(headers={}, query={}, body=content)
        need = Resources(1000, 10)
        assert call == ExplainJobCall("jobs.example", "/a/17", [Step(3, need, 0.5)])

    def test_a_refusal_of_a_job_is_explained(self):
        answer = self.make_explained(status=503, reason="too much", retry_after=4)
        self.answer("POST", "/v1/workloads/explain", answer)
        code, out, _ = self.explain_job([{"count": 1}])
        assert code == 0
        expected = "call: refused with status 503, return after 4 s: too much"
        assert out.splitlines()[3:] == [expected]
        code, out, _ = self.explain_job([{"count": 1}], "--json")
        assert (code, json.loads(out)) == (0, answer)

    # Guards against a misspelt field that is ignored, so that the explanation is wrong.
    def test_steps_that_are_not_valid_are_refused_before_the_call(self):
        for steps, expected in (
            ([{"count": 1, "cores": 2}], "unknown field cores"),
            ([{"count": 1, "need": {"cores": 2}}], "unknown field need.cores"),
            ([{"count": 0}], "expected at least 1"),
            ([], "at least one step"),
            ("{", "a JSON array of steps"),
        ):
            code, _, err = self.explain_job(steps)
            assert (code, expected in err) == (2, True), err
        assert not self.stub.calls

    # Guards against a path that names another call.
    def test_a_data_centre_that_is_no_name_is_refused(self):
        code, _, err = run("evacuate", "a/b")
        assert code == 2
        assert "data_centre" in err

    def test_each_command_makes_a_valid_call_with_its_key(self):
        cases = (
            (("keys", "give", "t", "--queues", "a,b"), "POST", "/v1/keys/give"),
            (("keys", "give", "--operator"), "POST", "/v1/keys/give"),
            (("keys", "withdraw", "12"), "POST", "/v1/keys/withdraw"),
            (("keys", "list"), "GET", "/v1/keys"),
            (("status",), "GET", "/v1/status"),
            (("voters", "list"), "GET", "/v1/voters"),
            (("voters", "add", "d2"), "POST", "/v1/voters/add"),
            (("voters", "remove", "d2"), "POST", "/v1/voters/remove"),
            (("pools",), "GET", "/v1/pools"),
            (("instances",), "GET", "/v1/instances"),
            (("instances", "w1"), "GET", "/v1/instances/w1/why"),
            (("waves", "start", "spring", "--run", "2"), "POST", "/v1/waves/start"),
            (("waves", "pause", "spring"), "POST", "/v1/waves/pause"),
            (("waves", "abort", "spring"), "POST", "/v1/waves/abort"),
            (("waves", "status", "spring"), "GET", "/v1/waves/spring"),
            (("waves", "status", "spring", "--why"), "GET", "/v1/waves/spring/why"),
            (("jobs", "j1"), "GET", "/v1/jobs/j1"),
            (("jobs", "j1", "--why"), "GET", "/v1/jobs/j1/why"),
            (("jobs", "j1", "--cancel"), "POST", "/v1/jobs/j1/cancel"),
            (("submit", "q", "--job", "j1", "--urgent"), "POST", "/v1/jobs/submit"),
        )
        empty = {"keys": [], "pools": [], "instances": []}
        for arguments, method, path in cases:
            self.answer(method, path, empty)
            code, out, err = run(*arguments)
            assert (code, err) == (0, ""), (arguments, err)
            assert self.stub.calls[-1][:2] == (method, path), arguments
            assert self.stub.calls[-1][3] == "Bearer k1"
            self.decode()

    def test_names_that_look_like_numbers_stay_strings(self):
        self.answer("POST", "/v1/keys/withdraw")
        run("keys", "withdraw", "1e5")
        assert self.decode().key_id == "1e5"

    def test_check_lists_every_error_in_a_folder(self):
        self.write("10.toml", FOLDER)
        assert run("check", str(self.folder))[0] == 0
        self.write("20.toml", "[waves.w]\npools = ['none']\nconcurrency = 0\n")
        code, out, err = run("check", str(self.folder))
        assert (code, out) == (2, "")
        assert "waves.w.pools" in err and "waves.w.concurrency" in err
        self.write("30.toml", "not toml")
        code, _, err = run("check", str(self.folder), "--json")
        assert code == 2
        assert any("30.toml" in text for text in json.loads(err)["errors"])

    def test_check_of_an_empty_or_missing_folder_is_bad_input(self):
        assert run("check", str(self.folder))[0] == 2
        assert run("check", str(self.folder / "none"))[0] == 2

    def test_apply_sends_the_whole_folder_with_its_base(self):
        self.write("10.toml", FOLDER)
        self.answer("GET", "/v1/configuration", {"generation": 4, "files": {}})
        report = {"in_force": ["d1"], "unreachable": []}
        result = {"generation": 5, "repeated": False, "report": report}
        self.answer("POST", "/v1/configuration/apply", result)
        code, out, _ = run("apply", str(self.folder))
        call = self.decode()
        assert code == 0 and "generation: 5" in out and "in_force: d1" in out
        assert (call.base, call.whole, call.files) == (4, True, {"10.toml": FOLDER})
        run("apply", str(self.folder), "--base", "2")
        assert self.decode().base == 2

    def test_apply_sends_nothing_when_the_folder_is_invalid(self):
        self.write("10.toml", "[teams.t]\nlimit = -1\n")
        assert run("apply", str(self.folder))[0] == 2
        assert self.stub.calls == []

    def test_conflict_is_a_refusal_and_invalid_folder_is_bad_input(self):
        self.write("10.toml", FOLDER)
        path = "/v1/configuration/apply"
        for kind, status, code in (("conflict", 409, 4), ("invalid-folder", 422, 2)):
            self.answer("POST", path, make_problem(kind, status), status)
            assert run("apply", str(self.folder), "--base", "1")[0] == code

    def test_exit_code_of_diff_shows_whether_anything_changes(self):
        self.write("10.toml", FOLDER)
        path = "/v1/configuration/diff"
        same = {"base": 3, "added": [], "changed": [], "removed": []}
        self.answer("POST", path, same)
        assert run("diff", str(self.folder))[:2] == (0, "no change to generation 3\n")
        self.answer("POST", path, {**same, "added": ["teams.t"]})
        code, out, _ = run("diff", str(self.folder))
        assert code == 7 and out.startswith("+ teams.t\n")

    def test_submit_gets_an_identifier_and_prints_the_whole_answer(self):
        ticket = {"request_id": "d1.1.7", "valid_seconds": 60}
        self.answer("POST", "/v1/tickets", ticket)
        self.answer("POST", "/v1/queues/q/requests", b"\x00whole\n")
        self.write("body", "text")
        arguments = ("submit", "q", "--payload", str(self.folder / "body"), "--urgent")
        code, out, err = run(*arguments, "--json")
        call = self.decode()
        assert (code, err) == (0, "")
        assert json.loads(out)["body_base64"] == "AHdob2xlCg=="
        assert (call.request_id, call.urgent, call.repeatable) == (
            "d1.1.7",
            True,
            False,
        )
        assert self.stub.calls[-1][2] == b"text"

    def test_submit_names_the_request_when_it_fails(self):
        refusal = make_problem("deadline", 504, "outcome unknown")
        self.answer("POST", "/v1/queues/q/requests", refusal, 504)
        code, out, err = run("submit", "q", "--request_id", "d1.1.7")
        assert (code, out) == (5, "") and "request d1.1.7" in err
        refusal = make_problem("in-progress", 409, "in progress")
        self.answer("POST", "/v1/queues/q/requests", refusal, 409)
        assert run("submit", "q", "--request_id", "d1.1.7")[0] == 6

    def test_error_status_of_a_target_is_distinguished_from_a_refusal(self):
        self.answer("POST", "/v1/queues/q/requests", b"no such row", 404)
        code, out, _ = run("submit", "q", "--request_id", "d1.1.7", "--json")
        assert code == 8 and json.loads(out)["status"] == 404

    def test_unreachable_daemon_is_reported_as_not_run(self):
        with mock.patch.dict(os.environ, {"GYPSUMWALK_ADDRESSES": "127.0.0.1:1"}):
            code, _, err = run("pools", "--json")
        assert code == 3 and json.loads(err)["outcome"] == "not run"

    def test_key_never_appears_in_the_output(self):
        secret = "k1-very-secret"
        for arguments in (("pools",), ("keys", "list"), ("jobs", "j1")):
            code, out, err = run(*arguments, "--key", secret)
            assert code == 5 and secret not in out + err
