"""Runner of scenarios on simulated time, verified by the promise checkers."""

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
SETTLE_SECONDS = 20.0
"""Time simulated after a failed expectation, so that checkers see its effects."""
POLL_SECONDS = 0.02
"""Simulated time between two evaluations of an expectation."""
VERBS = {}
"""Function ``(run, command)`` that implements each verb."""


def verb(name):
    """Register a function as the implementation of a verb."""

    def register(function):
        VERBS[name] = function
        return function

    return register


@dataclass
class Run:
    """State of a running scenario."""

    file: str
    seed: int = 1
    deployment: object = None
    facts: Facts = field(default_factory=Facts)
    calls: dict[str, list] = field(default_factory=dict)
    """Calls by the name that the scenario gave them, oldest first."""
    tickets: dict[str, str] = field(default_factory=dict)
    """Request identifier of each request that has a ticket."""
    request_options: dict[str, Command] = field(default_factory=dict)
    jobs: dict[str, str] = field(default_factory=dict)
    """Credential that each job was submitted with."""
    pending_files: dict[str, str] = field(default_factory=dict)
    update_goldens: bool = False
    patches: ExitStack = field(default_factory=ExitStack)

    @property
    def world(self):
        """The simulation, created by the verb ``world``."""
        return self.deployment.world

    def find_call(self, command, name):
        """Return the latest call of a name."""
        if name not in self.calls:
            raise command.make_error(f"unknown call {name!r}")
        return self.calls[name][-1]

    def find_daemon(self, command, name):
        """Return a daemon by name."""
        if name not in self.world.daemons:
            raise command.make_error(f"unknown daemon {name!r}")
        return self.world.daemons[name]

    def expect(self, command, condition, within, describe):
        """Wait until a condition holds, or fail with a description of the state."""
        ends = self.world.now + within
        while not condition():
            if self.world.now >= ends:
                expected = " ".join(command.words)
                raise command.make_error(f"expected {expected}: {describe()}")
            self.world.run(min(POLL_SECONDS, ends - self.world.now))


class BrokenPromise(AssertionError):
    """A scenario violated promises; the message names their checkers."""


def run_scenario(path, *, update_goldens=False):
    """Run one scenario file, then check every promise.

    Raises
    ------
    ScenarioError
        If the scenario is invalid or an expectation was not met.
    BrokenPromise
        If a checker found a violated promise.
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
        raise ScenarioError(run.file, 1, "the first command must be world")
    error = None
    for command in commands:
        try:
            run_command(run, command)
        except ScenarioError as caught:
            error = caught
            if run.deployment is not None:
                run.world.run(SETTLE_SECONDS)
            break
    broken = _check_promises(run)
    if broken:
        raise BrokenPromise("\n".join([*broken, *([str(error)] if error else [])]))
    if error:
        raise error
    return run


def run_command(run, command):
    """Execute one command."""
    function = VERBS.get(command.verb)
    if function is None:
        raise command.make_error(f"unknown verb {command.verb!r}")
    function(run, command)


def _check_promises(run):
    if run.deployment is None:
        return []
    run.deployment.collect(run.facts)
    run.facts.ended_at = run.world.now
    return check_all(run.facts)


@verb("world")
def make_world(run, command):
    """``world NAME [seed=N] [snapshots=N]``: create daemons, targets and folder.

    With ``snapshots=N`` voters take a snapshot every N entries and keep no older
    entries.
    """
    command.check_arguments(words=1, options=("seed", "snapshots"))
    if run.deployment is not None:
        raise command.make_error("world may be used only once")
    (name,) = command.words
    if name not in WORLDS:
        raise command.make_error(f"unknown world {name!r}")
    if "snapshots" in command.options:
        entries = command.read_number(command.options["snapshots"], int)
        for constant, value in (("SNAPSHOT_ENTRIES", entries), ("KEPT_BYTES", 0)):
            run.patches.enter_context(mock.patch.object(replica, constant, value))
    run.seed = command.read_number(command.options.get("seed", "1"), int)
    run.deployment = WORLDS[name](run.seed, run.facts)


@verb("at")
def advance_to(run, command):
    """``at DURATION``: advance to this time since the start of the scenario."""
    command.check_arguments(words=1)
    due = START + command.read_duration(command.words[0])
    if due < run.world.now:
        passed = run.world.now - START
        raise command.make_error(f"the time is already {passed:g}s")
    run.world.run(due - run.world.now)


@verb("wait")
def wait(run, command):
    """``wait DURATION``: advance the time by a duration."""
    command.check_arguments(words=1)
    run.world.run(command.read_duration(command.words[0]))


@verb("repeat")
def repeat_command(run, command):
    """``repeat COUNT VERB ...``: repeat, with ``%`` replaced by 1, 2, 3..."""
    command.check_arguments(words=(2, None), options=command.options)
    count, name, *words = command.words
    for number in range(1, command.read_number(count, int) + 1):
        iteration = Command(
            command.file,
            command.line,
            name,
            tuple(word.replace("%", str(number)) for word in words),
            {
                key: value.replace("%", str(number))
                for key, value in command.options.items()
            },
        )
        run_command(run, iteration)
