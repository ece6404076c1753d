"""Tests of the command line: help, exit codes and rejection of bad arguments."""

import contextlib
import io
import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import gypsumwalk
from gypsumwalk import __version__
from gypsumwalk.command import Command, make_commands, run_command
from gypsumwalk.drivers._failures import describe_failure
from gypsumwalk.errors import UnknownMetric
from gypsumwalk.eventlines import EventLine, encode_line
from gypsumwalk.problems import Outcome
from gypsumwalk.timestamps import Timestamp
from tests._catalogues import list_commands

SETTINGS = """
name = "d1"
data_centre = "north"
caller_port = 7700
peer_port = 7700
cluster_secret = "short"
"""
SOURCE = Path(gypsumwalk.__file__).parent.parent
FAULTY_PROGRAM = """
import threading
from gypsumwalk import command

def perform():
    threading.Thread(target=threading.Event().wait).start()
    raise RuntimeError("a fault")

command._parse = lambda arguments: command.Action(perform)
command.main()
"""


def run(*arguments):
    content, err = io.BytesIO(), io.StringIO()
    with (
        io.TextIOWrapper(content, "utf-8") as out,
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        code = run_command(arguments)
        out.flush()
        return code, content.getvalue().decode(), err.getvalue()


class TestCommandLine(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def test_every_command_has_help_with_an_example_and_json(self):
        commands = dict(list_commands(make_commands()))
        assert commands
        for path, command in commands.items():
            code, out, err = run(*path, "--help")
            assert code == 0 and err == "", path
            assert f"Example: gypsumwalk {' '.join(path)}" in " ".join(out.split()), (
                path
            )
            if path != ("serve",):
                assert "--json" in out, path
            assert isinstance(command, Command)

    def test_python_objects_behind_the_commands_are_not_reachable(self):
        for arguments in (
            ("__class__",),
            ("_names",),
            ("serve", "FIRE_METADATA"),
            ("serve", "__globals__"),
            ("version", "-", "__class__"),
            ("version", "-", "perform"),
            ("version", "--", "--interactive"),
            ("version", "--trace"),
        ):
            code, out, err = run(*arguments)
            assert (code, out) == (2, ""), arguments
            assert "object at" not in err and "<function" not in err

    def test_invalid_arguments_are_refused_before_any_effect(self):
        page = self.folder / "page.html"
        for arguments in (
            (),
            ("nothing",),
            ("version", "--bogus", "1"),
            ("version", "--json=perhaps"),
            ("timeline",),
            (
                "timeline",
                str(self.folder),
                "--page",
                str(page),
                "surplus",
                "x",
                "y",
                "z",
            ),
            ("timeline", str(self.folder), "--level", "loud"),
            ("timeline", str(self.folder), "--last", "none"),
            ("timeline", str(self.folder / "missing")),
            ("timeline", str(self.folder), "--subject"),
            ("submit", "q", "--payload", "--urgent"),
        ):
            code, out, err = run(*arguments)
            assert code == 2 and out == "" and err, arguments
        assert not page.exists()

    def test_version(self):
        assert run("version") == (0, f"gypsumwalk {__version__}\n", "")
        assert json.loads(run("version", "--json")[1]) == {"version": __version__}

    def test_serve_names_every_invalid_setting(self):
        path = self.folder / "d1.toml"
        path.write_text(SETTINGS)
        code, out, err = run("serve", str(path))
        assert code == 2 and out == ""
        assert "cluster_secret: expected at least 16 characters" in err
        assert "peer_port: expected a port other than caller_port" in err

    def test_timeline_as_text_json_and_page(self):
        line = EventLine(
            timestamp=Timestamp(1, 0),
            instance="d1",
            data_centre="north",
            number=1001,
            name="DAEMON_STARTED",
            level="info",
            message="daemon started",
        )
        (self.folder / "d1.jsonl").write_text(encode_line(line) + "\n")
        code, out, _ = run("timeline", str(self.folder))
        assert (code, out) == (
            0,
            "00:00:00.001+0   d1 info    1001 daemon started\n",
        )
        code, out, _ = run("timeline", str(self.folder), "--json")
        assert json.loads(out)["events"][0]["timestamp"] == [1, 0]
        page = self.folder / "page.html"
        code, out, _ = run("timeline", str(self.folder), "--page", str(page))
        assert code == 0 and "<svg" in page.read_text()

    def test_fault_of_a_running_daemon_is_not_reported_as_bad_input(self):
        failure = describe_failure(ExceptionGroup("", [UnknownMetric("x", [])]))
        assert (failure.exit_code, failure.outcome) == (1, Outcome.UNKNOWN)

    def test_process_exits_after_a_fault_while_threads_still_run(self):
        process = subprocess.run(
            [sys.executable, "-c", FAULTY_PROGRAM],
            env={**os.environ, "PYTHONPATH": str(SOURCE)},
            capture_output=True,
            timeout=20,
        )
        assert process.returncode == 1
        assert b"a fault" in process.stderr
