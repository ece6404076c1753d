"""Tests of the event journal: its files, its log and their lines."""

import errno
import io
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from gypsumwalk.drivers import journal as journal_module
from gypsumwalk.drivers.journal import EventJournal, LogStyle
from gypsumwalk.effects import Record
from gypsumwalk.errors import MalformedMessage
from gypsumwalk.eventlines import LineWriter, decode_line
from gypsumwalk.events import Event, Level
from gypsumwalk.settings import Settings
from gypsumwalk.timestamps import HybridClock, Timestamp

SECRET = "cluster-secret-of-16"


def make_settings(folder=""):
    return Settings(
        name="d1",
        data_centre="north",
        caller_port=1,
        peer_port=2,
        cluster_secret=SECRET,
        operator_key="operator-key",
        record_folder=folder,
    )


def make_started_record(version="1"):
    return Record(Event.DAEMON_STARTED, "d1", {"version": version})


class TestJournal(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.stream = io.StringIO()

    def open(self, **options):
        journal = EventJournal(
            make_settings(str(self.folder)),
            HybridClock(),
            stream=self.stream,
            **options,
        )
        self.addCleanup(journal.close)
        self.journal = journal
        return journal

    def read(self, name="d1.jsonl"):
        self.journal.flush()
        lines = (self.folder / name).read_bytes().splitlines()
        return [decode_line(text) for text in lines]

    def test_one_flush_writes_all_buffered_lines_to_the_file(self):
        journal = self.open()
        for number in range(3):
            journal.write(make_started_record(str(number)), float(number))
        path = self.folder / "d1.jsonl"
        assert path.read_bytes() == b""
        journal.flush()
        assert len(path.read_bytes().splitlines()) == 3

    def test_writes_file_and_log_in_order(self):
        journal = self.open()
        journal.write(make_started_record(), 10.0)
        journal.write(make_started_record("2"), 10.0)
        first, second = self.read()
        assert first.timestamp == Timestamp(10_000, 0)
        assert second.timestamp == Timestamp(10_000, 1)
        assert first.number == 1001 and first.data_centre == "north"
        assert second.message == "daemon started, version 2"
        assert [decode_line(t) for t in self.stream.getvalue().splitlines()] == [
            first,
            second,
        ]

    def test_rotates_and_keeps_a_bounded_number_of_files(self):
        journal = self.open(max_bytes=1000, kept_files=2)
        for number in range(60):
            journal.write(make_started_record(str(number)), float(number))
        journal.flush()
        names = sorted(path.name for path in self.folder.iterdir())
        assert names == ["d1.jsonl", "d1.jsonl.1", "d1.jsonl.2"]
        assert all(path.stat().st_size < 1000 for path in self.folder.iterdir())
        assert self.read()[-1].attributes["version"] == "59"

    def test_text_style_keeps_one_line_for_each_event(self):
        journal = self.open(style=LogStyle.TEXT)
        journal.write(make_started_record("1\n9 error 1 d2: forged"), 1.5)
        (line,) = self.stream.getvalue().splitlines()
        assert line.startswith("1500.0 info    1001 d1: daemon started, version 1\\n9")

    def test_threshold_applies_to_the_log_only(self):
        journal = self.open(threshold=Level.ERROR)
        journal.write(make_started_record(), 1.0)
        assert self.stream.getvalue() == ""
        assert len(self.read()) == 1

    def test_closed_log_stream_does_not_stop_the_file(self):
        journal = self.open()
        self.stream.close()
        journal.write(make_started_record(), 1.0)
        assert journal.lost_lines == 1
        assert len(self.read()) == 1

    # A rotation or a start on a full disk left the journal without a file for good.
    def test_a_file_that_could_not_be_opened_is_written_once_it_can_be(self):
        full = OSError(errno.ENOSPC, "No space left on device")
        with mock.patch.object(journal_module, "_make_file_handler", side_effect=full):
            journal = self.open()
            journal.write(make_started_record("0"), 1.0)
            journal.write(make_started_record("1"), 1.1)
        assert journal.lost_lines == 2
        assert self.stream.getvalue().count("EVENT_FILE_LOST") == 1
        journal.write(make_started_record("2"), 3.0)
        (line,) = self.read()
        assert line.attributes["version"] == "2"

    def test_lines_follow_a_line_that_was_cut_off_on_lines_of_their_own(self):
        journal = self.open()
        journal.write(make_started_record("0"), 1.0)
        journal.flush()
        with (self.folder / "d1.jsonl").open("ab") as stream:
            stream.write(b'{"timest')
        full = OSError(errno.ENOSPC, "No space left on device")
        with mock.patch.object(journal._file, "flush_pending", side_effect=full):
            journal.flush()
        journal.write(make_started_record("1"), 3.0)
        journal.flush()
        lines = (self.folder / "d1.jsonl").read_bytes().splitlines()
        assert lines[1] == b'{"timest'
        assert decode_line(lines[2]).attributes["version"] == "1"

    def test_no_key_reaches_file_or_log(self):
        journal = self.open()
        values = {
            "source": "d2",
            "reason": f"{SECRET} and operator-key",
            "credential": "team-key",
            "Key": "another-key",
        }
        journal.write(Record(Event.MESSAGE_REJECTED, SECRET, values), 1.0)
        journal.flush()
        written = self.stream.getvalue() + (self.folder / "d1.jsonl").read_text()
        for key in (SECRET, "operator-key", "team-key", "another-key"):
            assert key not in written


class TestLines(unittest.TestCase):
    def describe(self, **attributes):
        record = Record(Event.MESSAGE_REJECTED, "s", attributes)
        return LineWriter("d1", "north").describe(record, Timestamp(1, 0))

    def test_missing_attribute_is_rendered_as_a_question_mark(self):
        assert self.describe(source="d2").message == "rejected a message from d2: ?"

    def test_values_are_bounded_and_finite(self):
        line = self.describe(source="x" * 10_000, reason=float("nan"))
        assert len(line.attributes["source"]) == 400
        assert line.attributes["reason"] == "nan"

    def test_truncated_line_raises_a_typed_error(self):
        with self.assertRaises(MalformedMessage):
            decode_line(b'{"timestamp":[1,0],"inst')
