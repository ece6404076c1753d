"""Tests of the scenario language."""

import unittest

from tests._scenario_language import ScenarioError, read_scenario


def read_one(line):
    (command,) = read_scenario(line, "x.txt")
    return command


class TestLanguage(unittest.TestCase):
    def test_words_options_comments_and_quotes(self):
        command = read_one('send r1 seats text="seat 7" key=elul  # a comment')
        assert command.verb == "send"
        assert command.words == ("r1", "seats")
        assert command.options == {"text": "seat 7", "key": "elul"}

    def test_variables_stand_for_one_or_more_words(self):
        text = "set all a b\nset n 3\n\nkill $all\nsend r$n-x ${n}s"
        kill, send = read_scenario(text, "x.txt")
        assert kill.words == ("a", "b")
        assert send.words == ("r3-x", "3s")

    def test_durations(self):
        command = read_one("expect x answered within 250ms")
        assert command.split_within() == (("x", "answered"), 0.25)
        assert command.read_duration("1.5m") == 90.0

    def test_errors_name_file_and_line(self):
        wrong = {
            "\nsend 'r1": "x.txt:2: no closing quotation",
            "# c\n\nkill $who": "x.txt:3: unknown variable 'who'",
            "set x": "x.txt:1: set requires a name and a value",
            "send a key=1 key=2": "x.txt:1: duplicate option 'key'",
            "send $": "x.txt:1: invalid placeholder in string: line 1, col 1",
        }
        for text, message in wrong.items():
            with self.subTest(text), self.assertRaises(ScenarioError) as caught:
                read_scenario(text, "x.txt")
            assert str(caught.exception) == message

    def test_wrong_values_are_refused(self):
        command = read_one("wait soon flag=perhaps")
        with self.assertRaisesRegex(ScenarioError, r"x.txt:1: expected a duration"):
            command.read_duration("soon")
        with self.assertRaisesRegex(
            ScenarioError, "flag=yes or flag=no, found 'perhaps'"
        ):
            command.read_flag("flag", default=True)
        with self.assertRaisesRegex(ScenarioError, "expected a number"):
            command.read_number("soon")
        with self.assertRaisesRegex(ScenarioError, "wait takes at least 2 words"):
            command.check_arguments(words=2)
        with self.assertRaisesRegex(ScenarioError, "wait has no option 'flag'"):
            command.check_arguments(words=1)


if __name__ == "__main__":
    unittest.main()
