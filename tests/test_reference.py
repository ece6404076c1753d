"""Tests that the generated reference pages match the code."""

import unittest

import msgspec

from bench.capacity import render_page
from gypsumwalk.folder import Folder
from gypsumwalk.settings import decode_settings
from tests._reference import DOCS, TABLES, render_pages


class TestReference(unittest.TestCase):
    def test_pages_are_up_to_date(self):
        for name, text in render_pages().items():
            found = (DOCS / name).read_text(encoding="utf-8")
            assert found == text, f"run python -m tests._reference for {name}"

    def test_capacity_page_is_computed_from_the_measurements(self):
        found = (DOCS / "CAPACITY.md").read_text(encoding="utf-8")
        assert found == render_page(), "run make slopes"

    def test_every_table_of_the_folder_has_a_section(self):
        fields = [field.name for field in msgspec.structs.fields(Folder)]
        assert [name for name, _ in TABLES] == fields

    def test_example_settings_are_valid(self):
        text = render_pages()["SETTINGS.md"]
        example = text.partition("```toml\n")[2].partition("```")[0]
        settings = decode_settings(example, file="example")
        assert settings.voters == ["hanbit-1"]


if __name__ == "__main__":
    unittest.main()
