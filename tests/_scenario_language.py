"""Parser of the scenario language: one command per line, comments and variables.

``shlex`` splits the lines and ``string.Template`` substitutes variables.
"""

import re
import shlex
from dataclasses import dataclass, field
from string import Template

UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s|m|h)")
OPTION = re.compile(r"([a-z_]+)=(.*)", re.DOTALL)


class ScenarioError(Exception):
    """A scenario is invalid, or an expectation was not met."""

    def __init__(self, file, line, message):
        super().__init__(f"{file}:{line}: {message}")
        self.file = file
        self.line = line
        self.message = message


@dataclass(frozen=True)
class Command:
    """One command of a scenario.

    ``words`` are the words after the verb, and ``options`` those of the form
    ``name=value``.
    """

    file: str
    line: int
    verb: str
    words: tuple[str, ...] = ()
    options: dict[str, str] = field(default_factory=dict)

    def make_error(self, message):
        """Return an error with the file and line of this command."""
        return ScenarioError(self.file, self.line, message)

    def check_arguments(self, *, words=None, options=()):
        """Reject a wrong number of words, and options that the verb does not have."""
        minimum, maximum = words if isinstance(words, tuple) else (words, words)
        count = len(self.words)
        if minimum is not None and count < minimum:
            raise self.make_error(
                f"{self.verb} takes at least {minimum} words, found {count}"
            )
        if maximum is not None and count > maximum:
            raise self.make_error(
                f"{self.verb} takes at most {maximum} words, found {count}"
            )
        for name in self.options:
            if name not in options:
                raise self.make_error(f"{self.verb} has no option {name!r}")

    def read_duration(self, text):
        """Parse a duration such as ``1.5s`` and return it in seconds."""
        found = DURATION.fullmatch(text)
        if not found:
            raise self.make_error(
                f"expected a duration such as 3s or 200ms, found {text!r}"
            )
        return float(found[1]) * UNITS[found[2]]

    def read_number(self, text, kind=float):
        """Parse a number."""
        try:
            return kind(text)
        except ValueError:
            raise self.make_error(f"expected a number, found {text!r}") from None

    def read_flag(self, name, default):
        """Return a ``yes`` or ``no`` option as a boolean."""
        text = self.options.get(name, "yes" if default else "no")
        if text not in ("yes", "no"):
            raise self.make_error(f"expected {name}=yes or {name}=no, found {text!r}")
        return text == "yes"

    def split_within(self):
        """Split off a trailing ``within DURATION``; return words and seconds."""
        if len(self.words) >= 2 and self.words[-2] == "within":
            return self.words[:-2], self.read_duration(self.words[-1])
        return self.words, 0.0


def read_scenario(text, file):
    """Parse a scenario and return its commands.

    Raises ``ScenarioError`` with file and line.
    """
    commands = []
    variables = {}
    for number, line in enumerate(text.splitlines(), start=1):
        words = _split(line, file, number)
        if not words:
            continue
        words = _substitute(words, variables, file, number)
        if words[0] == "set":
            _assign(words, variables, file, number)
            continue
        commands.append(_make_command(words, file, number))
    return commands


def _split(line, file, number):
    try:
        return shlex.split(line, comments=True)
    except ValueError as error:
        raise ScenarioError(file, number, str(error).lower()) from error


def _substitute(words, variables, file, number):
    result = []
    for word in words:
        name = word.removeprefix("$")
        if word.startswith("$") and name in variables:
            result += variables[name]
            continue
        result.append(_substitute_word(word, variables, file, number))
    return result


def _substitute_word(word, variables, file, number):
    joined = {name: " ".join(value) for name, value in variables.items()}
    try:
        return Template(word).substitute(joined)
    except KeyError as error:
        message = f"unknown variable {error.args[0]!r}"
        raise ScenarioError(file, number, message) from error
    except ValueError as error:
        raise ScenarioError(file, number, str(error).lower()) from error


def _assign(words, variables, file, number):
    if len(words) < 3 or not words[1].isidentifier():
        raise ScenarioError(file, number, "set requires a name and a value")
    variables[words[1]] = words[2:]


def _make_command(words, file, number):
    options = {}
    positional = []
    for word in words[1:]:
        found = OPTION.fullmatch(word)
        if not found:
            positional.append(word)
            continue
        if found[1] in options:
            raise ScenarioError(file, number, f"duplicate option {found[1]!r}")
        options[found[1]] = found[2]
    return Command(file, number, words[0], tuple(positional), options)
