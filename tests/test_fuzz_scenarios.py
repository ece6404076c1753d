"""Fuzz tests of the parser of the scenario language."""

import unittest

from hypothesis import example, given
from hypothesis import strategies as st

from tests import _fuzz  # noqa: F401 - selects the profile
from tests._scenario_language import ScenarioError, read_scenario

WORDS = st.sampled_from(
    ["set", "x", "$x", "${x}", "$", "at", "3s", "|", "key=1", "'", '"', "#", "\\"]
)


def check(text):
    try:
        commands = read_scenario(text, "s.txt")
    except ScenarioError as error:
        assert error.file == "s.txt"
        assert 1 <= error.line <= len(text.splitlines())
        return
    assert all(command.verb for command in commands)


class TestScenarioFiles(unittest.TestCase):
    @given(st.text())
    @example("\x0c$")
    def test_any_text(self, text):
        check(text)

    @given(st.lists(st.lists(WORDS, max_size=5), max_size=5))
    def test_any_words(self, lines):
        check("\n".join(" ".join(line) for line in lines))


if __name__ == "__main__":
    unittest.main()
