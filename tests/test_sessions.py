"""Tests of API examples and command-line sessions against a daemon process."""

import json
import os
import re
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from tests._curl import find_difference, read_examples, run_example
from tests._golden import Normaliser, check_golden
from tests._real_daemon import OPERATOR_KEY, EchoTarget, run_daemon
from tests._reference import DOCS
from tests.test_command import run

PAGE = (DOCS / "API.md").read_text(encoding="utf-8")
SESSIONS = Path(__file__).parent / "sessions"
UPDATE_VARIABLE = "GYPSUMWALK_UPDATE_GOLDEN"
VOLATILE = {
    "applied",
    "incarnation",
    "index",
    "instances",
    "key",
    "key_id",
    "request_id",
    "unavailable",
    "voters",
}


class TestApiExamples(unittest.TestCase):
    def test_examples_work_in_order_against_a_daemon(self):
        examples = read_examples(PAGE)
        assert len(examples) > 10
        folder = self.enterContext(tempfile.TemporaryDirectory())
        daemon = self.enterContext(run_daemon(folder))
        target = EchoTarget()
        self.addCleanup(target.close)
        variables = {
            "CALLER": daemon.caller_address,
            "DAEMON": daemon.peer_address,
            "OPERATOR_KEY": OPERATOR_KEY,
            "TARGET": target.address,
        }
        for example in examples:
            status, body = run_example(example.command, variables)
            self.compare(example, status, body)
            key = variables.get("TEAM_KEY", "")
            variables["KEY_ID"] = key.partition(".")[0]
        assert len(target.calls) == 2
        assert daemon.stop() == 0

    def compare(self, example, status, body):
        if example.kind == "text":
            assert body.decode().strip() == example.expected.strip(), example
            return
        expected = json.loads(example.expected)
        difference = find_difference(expected, json.loads(body), VOLATILE)
        assert not difference, (example.command, difference)
        assert status == expected.get("status", 200) or "state" in expected

    def test_the_comparison_finds_differences(self):
        cases = (
            ({"a": 1}, {"a": 2}),
            ({"a": 1}, {"a": 1, "b": 2}),
            ({"a": [1]}, {"a": []}),
            ({"key": "x"}, {"key": 1}),
            ([{"a": True}], [{"a": 1}]),
        )
        for expected, found in cases:
            assert find_difference(expected, found, VOLATILE)
        assert not find_difference({"key": "x"}, {"key": "y"}, VOLATILE)


class TestCommandSessions(unittest.TestCase):
    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.daemon = self.enterContext(run_daemon(folder))
        self.target = EchoTarget()
        self.addCleanup(self.target.close)
        self.variables = {
            "FOLDER": str(SESSIONS / "folder"),
            "WRONG": str(SESSIONS / "wrong"),
            "RECORDS": f"{folder}/records",
            "TARGET": self.target.address,
        }
        environment = {
            "GYPSUMWALK_ADDRESSES": self.daemon.peer_address,
            "GYPSUMWALK_KEY": OPERATOR_KEY,
        }
        self.enterContext(mock.patch.dict(os.environ, environment))

    def test_session_of_an_operator_matches_its_golden_file(self):
        script = (SESSIONS / "operator.txt").read_text(encoding="utf-8")
        transcript = [self.run_line(line) for line in script.splitlines() if line]
        text = self.normalise("".join(transcript))
        update = bool(os.environ.get(UPDATE_VARIABLE))
        difference = check_golden(SESSIONS / "operator.out", text, update=update)
        assert not difference, f"{difference}\nset {UPDATE_VARIABLE}=1 to accept"
        assert self.daemon.stop() == 0

    def run_line(self, line):
        """Run one line of a session and return its terminal output."""
        name, _, line = line.rpartition("= ")
        words = [
            word.format_map(self.variables) if "{" in word else word
            for word in line.split()
        ]
        if words[0] == "announce":
            return self.announce()
        code, out, err = run(*words)
        if name:
            self.variables |= {f"{name}_{k}": v for k, v in json.loads(out).items()}
        return f"$ gypsumwalk {line}\n{out}{err}exit code {code}\n\n"

    def announce(self):
        page = [e for e in read_examples(PAGE) if "/targets/announce" in e.command]
        variables = {"DAEMON": self.daemon.peer_address, "TARGET": self.target.address}
        status, _ = run_example(page[0].command, variables)
        return f"target announced, status {status}\n\n"

    def normalise(self, text):
        for name in ("RECORDS", "FOLDER", "WRONG"):
            text = text.replace(self.variables[name], f"{{{name}}}")
        text = re.sub(r"\d\d:\d\d:\d\d\.\d{3}\+\d+ *", "TIME ", text)
        text = re.sub(r"127\.0\.0\.1:\d+", "ADDRESS", text)
        text = re.sub(r"applied: \d+", "applied: N", text)
        text = re.sub(r" +(?=\n)| {2,}", "  ", text)
        return Normaliser().replace(text)
