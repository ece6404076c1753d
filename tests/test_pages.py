"""Tests that hand-written pages are complete and refer to existing names."""

import re
import unittest
from importlib.util import find_spec

from gypsumwalk.assembly import ENDPOINTS
from gypsumwalk.problems import STATUSES
from tests._curl import read_examples
from tests._reference import DOCS

PAGE = (DOCS / "API.md").read_text(encoding="utf-8")


class TestPages(unittest.TestCase):
    def test_every_call_is_documented(self):
        known = set(re.findall(r"`(?:(GET|POST) )?(/v1/[^` ]*)`", PAGE))
        known |= {
            ("POST" if "-d" in e.command or "-X POST" in e.command else "GET", path)
            for e in read_examples(PAGE)
            for path in re.findall(r"\$(?:DAEMON|CALLER)(/v1/\S+)", e.command)
        }
        for endpoint in ENDPOINTS:
            assert (endpoint.method, endpoint.path) in known, endpoint.path

    def test_every_refusal_is_documented_with_its_status(self):
        for kind, status in STATUSES.items():
            assert f"| `/problems/{kind.value}` | {status} |" in PAGE, kind

    def test_glossary_names_existing_modules(self):
        rows = (DOCS / "GLOSSARY.md").read_text(encoding="utf-8").splitlines()
        cells = [row.split("|")[3] for row in rows if row.startswith("|")][2:]
        names = [name for cell in cells for name in re.findall(r"`(\w+)`", cell)]
        assert len(names) > 20
        for name in names:
            assert find_spec(f"gypsumwalk.{name}"), name
