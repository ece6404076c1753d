"""Tests that decision modules import no drivers and no modules that do I/O."""

import ast
import unittest
from pathlib import Path

PACKAGE = Path(__file__).parent.parent / "src" / "gypsumwalk"
PROGRAM = {"command.py", "__main__.py"}
BANNED = {
    "asyncio",
    "cheroot",
    "datetime",
    "h11",
    "httptools",
    "io",
    "logbook",
    "os",
    "pathlib",
    "select",
    "socket",
    "subprocess",
    "threading",
    "time",
    "trio",
    "urllib3",
}


def list_imports(source):
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module


def find_banned(source):
    return [
        name
        for name in list_imports(source)
        if name.partition(".")[0] in BANNED or name.startswith("gypsumwalk.drivers")
    ]


class TestLayering(unittest.TestCase):
    def test_decisions_are_pure(self):
        modules = [path for path in PACKAGE.glob("*.py") if path.name not in PROGRAM]
        assert len(modules) > 10
        found = {path.name: find_banned(path.read_text()) for path in modules}
        assert {name: names for name, names in found.items() if names} == {}

    def test_a_banned_import_is_found(self):
        source = "from gypsumwalk.drivers import clock\nimport os.path\n"
        assert find_banned(source) == ["gypsumwalk.drivers", "os.path"]

    def test_one_package_of_drivers(self):
        folders = {path.parent.name for path in PACKAGE.glob("*/*.py")}
        assert folders == {"drivers"}


if __name__ == "__main__":
    unittest.main()
