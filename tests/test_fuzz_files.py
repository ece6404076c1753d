"""Fuzz tests of the files on a daemon's disk and of the configuration folder.

Corruption gives a typed error or an intact prefix of the written records, never
records that were not written.
"""

import contextlib
import tempfile
import unittest
from pathlib import Path
from random import Random

import msgspec
from hypothesis import example, given
from hypothesis import strategies as st

from gypsumwalk.assembly import Assembly
from gypsumwalk.drivers.disk import FolderDisk
from gypsumwalk.effects import AppendRecords, WriteFile
from gypsumwalk.errors import BadFolder, BadSetting, CorruptRecord
from gypsumwalk.folder import Folder
from gypsumwalk.folder_merging import merge_files, parse_file
from gypsumwalk.frames import HEADER, MAGIC, encode_frame, scan_frames
from gypsumwalk.recovery import Recovered
from gypsumwalk.replica import SNAPSHOT_FILE, VOTE_FILE, name_log_file
from gypsumwalk.settings import decode_settings
from tests import _fuzz
from tests._facts import Facts
from tests._scenario_worlds import WORLDS, make_files
from tests.test_fuzz_border import SETTINGS_TEXT, TOML_VALUES

BATCHES = ((b"first", b"second"), (b"third",), (b"", b"fourth" * 5, b"\x00\xff"))
WRITTEN = [record for batch in BATCHES for record in batch]
CONTENT = b"".join(encode_frame(batch) for batch in BATCHES)
LOAD_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, BadFolder, CorruptRecord)
KINDS = ["teams", "services", "queues", "pools", "instances", "waves"]
KEYS = ["limit", "share", "pool", "open", "teams", "max_unavailable", "rack", "x"]


def check_scan(content):
    try:
        scan = scan_frames(content, "log")
    except CorruptRecord as error:
        assert str(error).startswith("log: ")
        return None
    records = [record for frame in scan.frames for record in frame.records]
    assert records == WRITTEN[: len(records)]
    return records


class TestFrames(unittest.TestCase):
    def test_every_prefix_is_a_torn_tail(self):
        for content in _fuzz.list_truncations(CONTENT):
            assert check_scan(content) is not None

    def test_every_flipped_byte_is_refused_or_in_the_last_frame(self):
        last = len(encode_frame(BATCHES[-1]))
        for number, content in enumerate(_fuzz.flip_bytes(CONTENT)):
            records = check_scan(content)
            in_last = number // 2 >= len(CONTENT) - last
            assert (records is not None) == in_last

    @given(st.binary(max_size=200))
    @example(MAGIC)
    @example(HEADER.pack(MAGIC, 2**32 - 1, 0))
    def test_any_tail_is_cut(self, tail):
        assert check_scan(CONTENT + tail) == WRITTEN

    @given(st.binary(max_size=100), st.binary(max_size=100))
    def test_any_bytes_in_the_middle(self, before, after):
        check_scan(before + CONTENT + after)


class TestDisk(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        disk = FolderDisk(folder.name)
        disk.recover()
        for batch in BATCHES:
            disk.write([AppendRecords("log", batch)])
        disk.write([WriteFile("vote", b"voted")])
        disk.close()

    def damage(self, name, content):
        (self.folder / name).write_bytes(content)
        return FolderDisk(str(self.folder)).recover()

    def test_flipped_bytes_of_a_whole_file_are_refused(self):
        content = encode_frame([b"voted"])
        flipped = _fuzz.flip_bytes(content, step=5)
        for corrupted in [*flipped, *_fuzz.list_truncations(content, step=5)]:
            with self.assertRaises(CorruptRecord):
                self.damage("vote.file", corrupted)

    def test_torn_log_is_cut_and_stays_cut(self):
        for corrupted in _fuzz.list_truncations(CONTENT, step=7):
            recovered = self.damage("log.records", corrupted)
            records = recovered.records["log"]
            assert list(records) == WRITTEN[: len(records)]
            assert recovered.files["vote"] == b"voted"


class TestRecovery(unittest.TestCase):
    """An intact frame may hold content that no version of the program wrote."""

    def recover(self, recovered):
        settings = decode_settings(SETTINGS_TEXT, file="s")
        with contextlib.suppress(CorruptRecord):
            make_assembly(settings, recovered)

    @given(st.lists(st.binary(max_size=40), max_size=4))
    def test_any_records_of_the_log(self, records):
        self.recover(Recovered(records={name_log_file(0): tuple(records)}))

    @given(st.sampled_from([VOTE_FILE, SNAPSHOT_FILE]), st.binary(max_size=80))
    def test_any_file(self, name, content):
        self.recover(Recovered(files={name: content}))


class TestFolder(unittest.TestCase):
    def check(self, files):
        try:
            parsed = {name: parse_file(name, text) for name, text in files.items()}
            folder = merge_files(parsed)
        except BadSetting as error:
            assert error.file
            return
        except BadFolder as error:
            assert all(isinstance(item, BadSetting) for item in error.exceptions)
            return
        assert isinstance(folder, Folder)

    @given(st.text(max_size=200))
    @example("[" * 3000)
    @example("a.b.c = 1\n[a]\nb = 2")
    def test_any_text(self, text):
        self.check({"10-x.toml": text})

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(KINDS),
                st.sampled_from(["a", "b", '"c d"']),
                st.dictionaries(st.sampled_from(KEYS), TOML_VALUES, max_size=4),
            ),
            max_size=4,
        )
    )
    def test_any_tables_over_a_valid_folder(self, tables):
        base = make_files({"h0": ("holds", "r0")}, {"a": "x"})
        for number, (kind, name, values) in enumerate(tables):
            lines = [f"[{kind}.{name}]"]
            lines += [f"{key} = {value}" for key, value in values.items()]
            base[f"9{number}-x.toml"] = "\n".join(lines)
        self.check(base)

    def test_every_prefix_and_flipped_byte_of_a_file(self):
        base = make_files({"h0": ("holds", "r0")}, {"a": "x"})
        content = base["20-pools.toml"].encode()
        for corrupted in [*_fuzz.list_truncations(content), *_fuzz.flip_bytes(content)]:
            self.check(base | {"20-pools.toml": corrupted.decode("latin-1")})


class TestSnapshots(unittest.TestCase):
    """Snapshot of a daemon's complete state, as stored on its disk."""

    def test_every_prefix_and_flipped_byte_is_refused_or_loaded(self):
        deployment = WORLDS["fleet"](1, Facts())
        snapshot = deployment.assemblies["a"].state.dump()
        settings = decode_settings(SETTINGS_TEXT, file="s")
        assembly = make_assembly(settings, Recovered())
        prefixes = _fuzz.list_truncations(snapshot, step=7)
        for corrupted in [*prefixes, *_fuzz.flip_bytes(snapshot, step=7)]:
            with contextlib.suppress(*LOAD_ERRORS):
                assembly.state.load(corrupted)
        assembly.state.load(snapshot)
        assert assembly.state.dump() == snapshot


def make_assembly(settings, recovered):
    return Assembly(
        settings,
        incarnation=1,
        recovered=recovered,
        random=Random(1),
        secrets=Random(2),
    )


if __name__ == "__main__":
    unittest.main()
