"""Tests of the history of a job: its events, its summary and its logs."""

import tempfile
import unittest
from pathlib import Path

from gypsumwalk.command import run_command
from gypsumwalk.drivers.eventfiles import read_event_files
from gypsumwalk.effects import Record
from gypsumwalk.eventlines import LineWriter, encode_line
from gypsumwalk.events import Event
from gypsumwalk.job_history import build_job_history, render_job_history
from gypsumwalk.timeline import merge_lines
from gypsumwalk.timestamps import Timestamp
from tests._fleet_work import FleetWorld

JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"
LIFE = "i-1@1001"


def write_line(milliseconds, event, subject, **attributes):
    writer = LineWriter("v0", "dc")
    line = writer.describe(
        Record(event, subject, attributes), Timestamp(milliseconds, 0)
    )
    return encode_line(line).encode()


def make_lines():
    return [
        write_line(100, Event.INSTANCE_SILENT, LIFE, runs=0),
        write_line(5000, Event.LEADER_ELECTED, "v0", term=3),
        write_line(6000, Event.FLEET_CALL_DECIDED, JOB, status=200, reason="accepted"),
        write_line(6100, Event.FLEET_CALL_DECIDED, "another", status=200),
        write_line(6250, Event.RUN_STARTED, TASK, run=1, life=LIFE),
        write_line(7000, Event.INSTANCE_SILENT, LIFE, runs=1),
        write_line(7000, Event.INSTANCE_SILENT, "i-2@1001", runs=1),
        write_line(8000, Event.RUN_ENDED, TASK, run=1, life=LIFE, kind="lost"),
        write_line(8100, Event.RUN_STARTED, TASK, run=2, life="i-2@1001"),
        write_line(9000, Event.RUN_ENDED, TASK, run=2, life="i-2@1001", kind="done"),
        write_line(9500, Event.INSTANCE_SILENT, LIFE, runs=0),
    ]


class TestHistory(unittest.TestCase):
    def test_it_has_events_of_the_job_its_instances_and_elections_meanwhile(self):
        history = build_job_history(merge_lines([("log", make_lines())]), JOB)
        names = [event.name for event in history.timeline.events]
        assert names == [
            "LEADER_ELECTED",
            "FLEET_CALL_DECIDED",
            "RUN_STARTED",
            "INSTANCE_SILENT",
            "INSTANCE_SILENT",
            "RUN_ENDED",
            "RUN_STARTED",
            "RUN_ENDED",
        ]

    def test_its_summary_counts_waits_starts_and_ends(self):
        history = build_job_history(merge_lines([("log", make_lines())]), JOB)
        assert history.wait_seconds == 0.25
        assert history.starts == 2
        assert history.ends == {"lost": 1, "done": 1}
        assert "  wait for the first start: 0.250 s" in render_job_history(history)

    def test_a_refusal_is_counted_in_the_summary(self):
        line = write_line(
            5,
            Event.FLEET_CALL_DECIDED,
            JOB,
            status=404,
            index=0,
            version=7,
            reason="no",
        )
        history = build_job_history(merge_lines([("log", [line])]), JOB)
        assert list(history.refusals.values()) == [1]
        assert history.wait_seconds is None

    def test_an_unknown_job_has_no_history(self):
        history = build_job_history(merge_lines([("log", make_lines())]), "f" * 16)
        assert render_job_history(history) == [f'no event names job "{"f" * 16}"']


class TestLogs(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "collected.txt"

    def test_other_text_and_lines_in_a_collected_log_are_ignored(self):
        lines = [b"  12.5 core-1 " + line for line in make_lines()]
        self.path.write_bytes(b"\n".join([b"day one", *lines, b"the end", b""]))
        timeline = read_event_files(self.path)
        assert len(timeline.events) == len(lines)
        assert timeline.malformed == 0

    def test_the_command_reads_a_collected_log(self):
        self.path.write_bytes(b"\n".join(make_lines()))
        assert run_command(["explain", JOB, str(self.path)]) == 0
        assert run_command(["explain", JOB, str(self.path.parent / "none")]) != 0


class TestHistoryFromTrace(unittest.TestCase):
    def test_a_job_that_lost_its_instance_is_explained(self):
        world = FleetWorld(task_seconds=3.0)
        world.begin()
        world.submit(JOB)
        world.run(1.0)
        instance = next(item for item in world.model.instances.values() if item.running)
        world.model.crash(instance, world.now)
        assert world.await_state(JOB, "completed", within=20.0)
        lines = []
        for entry in world.trace:
            if isinstance(entry.effect, Record):
                writer = LineWriter(entry.node, "dc")
                time = Timestamp(int(entry.at * 1000), len(lines))
                lines.append(encode_line(writer.describe(entry.effect, time)).encode())
        history = build_job_history(merge_lines([("trace", lines)]), JOB)
        assert history.ends["done"] == 2
        assert history.ends["lost"] == history.starts - 2
        assert history.wait_seconds < 0.1
        names = {event.name for event in history.timeline.events}
        assert {"INSTANCE_SILENT", "RUNS_LOST"} <= names


if __name__ == "__main__":
    unittest.main()
