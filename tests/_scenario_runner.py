"""Runs a scenario on the paused clock and judges it by the promises' checkers."""

import pathlib
from contextlib import ExitStack
from dataclasses import dataclass, field
from unittest import mock

from gypsumwalk import replica
from tests._facts import Facts
from tests._promise_checkers import check_all
from tests._scenario_language import Command, ScenarioError, read_scenario
from tests._scenario_worlds import WORLDS
from tests._world import START

FOLDER = pathlib.Path(__file__).parent / "scenarios"
AFTERMATH_SECONDS = 20.0
"""Time after a failed expectation in which broken promises still show."""
LOOK_SECONDS = 0.02
"""Time between two looks at what is expected."""
VERBS = {}
"""Function ``(run, command)`` of each verb."""


def verb(name):
    """Register the function of a verb."""

    def register(function):
        VERBS[name] = function
        return function

    return register


@dataclass
class Run:
    """One scenario that is running."""

    file: str
    seed: int = 1
    setup: object = None
    facts: Facts = field(default_factory=Facts)
    calls: dict[str, list] = field(default_factory=dict)
    """Calls of each name that the scenario gave, oldest first."""
    tickets: dict[str, str] = field(default_factory=dict)
    """Identifier of each request that has one."""
    request_options: dict[str, Command] = field(default_factory=dict)
    jobs: dict[str, str] = field(default_factory=dict)
    """Credential that each job was handed in with."""
    pending_files: dict[str, str] = field(default_factory=dict)
    update_goldens: bool = False
    patches: ExitStack = field(default_factory=ExitStack)

    @property
    def world(self):
        """The world, made by the verb ``world``."""
        return self.setup.world

    def find_call(self, command, name):
        """Return the newest call of a name."""
        if name not in self.calls:
            raise command.fail(f"nothing is called {name!r}")
        return self.calls[name][-1]

    def find_daemon(self, command, name):
        """Return a daemon by name."""
        if name not in self.world.daemons:
            raise command.fail(f"no daemon is called {name!r}")
        return self.world.daemons[name]

    def expect(self, command, condition, within, describe):
        """Wait until a condition holds, or fail with what was found instead."""
        ends = self.world.now + within
        while not condition():
            if self.world.now >= ends:
                expected = " ".join(command.words)
                raise command.fail(f"expected {expected}: {describe()}")
            self.world.run(min(LOOK_SECONDS, ends - self.world.now))


class BrokenPromise(AssertionError):
    """A scenario broke promises; its text names the checkers."""


def run_scenario(path, *, update_goldens=False):
    """Run one scenario file and judge it.

    Raises
    ------
    ScenarioError
        If the scenario is wrong, or what it expects did not happen.
    BrokenPromise
        If a checker found a broken promise.
    """
    path = pathlib.Path(path)
    return run_text(
        path.read_text(encoding="utf-8"), path.name, update_goldens=update_goldens
    )


def run_text(text, file, *, update_goldens=False):
    """Run one scenario given as text; see ``run_scenario``."""
    run = Run(file, update_goldens=update_goldens)
    with run.patches:
        return _run_commands(run, read_scenario(text, file))


def _run_commands(run, commands):
    if not commands or commands[0].verb != "world":
        raise ScenarioError(run.file, 1, "a scenario begins with the verb world")
    error = None
    for command in commands:
        try:
            run_command(run, command)
        except ScenarioError as caught:
            error = caught
            if run.setup is not None:
                run.world.run(AFTERMATH_SECONDS)
            break
    broken = _judge(run)
    if broken:
        raise BrokenPromise("\n".join([*broken, *([str(error)] if error else [])]))
    if error:
        raise error
    return run


def run_command(run, command):
    """Carry out one command."""
    function = VERBS.get(command.verb)
    if function is None:
        raise command.fail(f"no verb is called {command.verb!r}")
    function(run, command)


def _judge(run):
    if run.setup is None:
        return []
    run.setup.collect(run.facts)
    run.facts.ended_at = run.world.now
    return check_all(run.facts)


@verb("world")
def make_world(run, command):
    """``world NAME [seed=N] [snapshots=N]``: make daemons, targets and folder.

    ``snapshots`` lets voters take a snapshot each so many entries, and keep no older
    ones.
    """
    command.check(words=1, options=("seed", "snapshots"))
    if run.setup is not None:
        raise command.fail("a scenario has one world")
    (name,) = command.words
    if name not in WORLDS:
        raise command.fail(f"no world is called {name!r}")
    if "snapshots" in command.options:
        entries = command.read_number(command.options["snapshots"], int)
        for constant, value in (("SNAPSHOT_ENTRIES", entries), ("KEPT_BYTES", 0)):
            run.patches.enter_context(mock.patch.object(replica, constant, value))
    run.seed = command.read_number(command.options.get("seed", "1"), int)
    run.setup = WORLDS[name](run.seed, run.facts)


@verb("at")
def go_to_time(run, command):
    """``at DURATION``: let time pass until so long after the beginning."""
    command.check(words=1)
    due = START + command.read_duration(command.words[0])
    if due < run.world.now:
        passed = run.world.now - START
        raise command.fail(f"{passed:g}s have passed already")
    run.world.run(due - run.world.now)


@verb("wait")
def let_time_pass(run, command):
    """``wait DURATION``: let time pass."""
    command.check(words=1)
    run.world.run(command.read_duration(command.words[0]))


@verb("repeat")
def repeat_command(run, command):
    """``repeat COUNT VERB ...``: with ``%`` in words and options as 1, 2, 3..."""
    command.check(words=(2, None), options=command.options)
    count, name, *words = command.words
    for number in range(1, command.read_number(count, int) + 1):
        single = Command(
            command.file,
            command.line,
            name,
            tuple(word.replace("%", str(number)) for word in words),
            {
                key: value.replace("%", str(number))
                for key, value in command.options.items()
            },
        )
        run_command(run, single)
