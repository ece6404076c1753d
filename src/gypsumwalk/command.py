"""Command line of the ``gypsumwalk`` program."""

import contextlib
import io
import os
import re
import sys
from collections.abc import Callable, Sequence
from inspect import cleandoc, signature
from textwrap import indent
from typing import NoReturn

import fire
import msgspec
from fire.decorators import SetParseFn

from gypsumwalk.drivers import (
    commands_fleet,
    commands_folder,
    commands_forecast,
    commands_keys,
    commands_service,
    commands_voters,
    commands_work,
)
from gypsumwalk.drivers._actions import (
    Action,
    BadArgument,
    ExitCode,
    Report,
    describe_value,
)
from gypsumwalk.drivers._failures import describe_failure

__all__ = ["main", "run_command"]

PROGRAM = "gypsumwalk"
HELP_FLAG = "--help"
INTERRUPTED_EXIT_CODE = 130
"""Exit code of a program that was interrupted."""
SECTION_RULE = "----------\n"
FIRE_HELP_LINE = re.compile(r"INFO: Showing help with the command .*\n")


class Command:
    """One command in the form that fire calls, without visible members.

    fire would offer the members of a plain function as subcommands. It treats this
    object as a routine because its class has ``__get__``.

    Parameters
    ----------
    function : Callable
        Checks its arguments, which are strings, and returns the action to perform.
    """

    def __init__(self, function: Callable[..., Action]) -> None:
        self.__doc__ = _indent_parameters(function.__doc__ or "")
        self.__name__ = function.__name__
        self.__signature__ = signature(function)
        self._function = function
        SetParseFn(str)(self)

    def __call__(self, *arguments: str, **flags: str) -> Action:
        bound = self.__signature__.bind(*arguments, **flags)
        for name, value in bound.arguments.items():
            takes_text = self.__signature__.parameters[name].annotation is str
            # fire passes "True" or "False" for a flag without a value.
            if takes_text and value in ("True", "False"):
                raise BadArgument(name, "a value", value)
        return self._function(*arguments, **flags)

    def __get__(self, owner: object, kind: type | None = None) -> "Command":
        return self

    def __dir__(self) -> list[str]:
        return []


def _indent_parameters(doc: str) -> str:
    # fire parses an unindented "key : str" as the start of a section.
    head, rule, parameters = cleandoc(doc).partition(SECTION_RULE)
    return head + rule + indent(parameters, "    ")


class Group:
    """Group of commands, whose only visible members are the commands.

    Parameters
    ----------
    summary : str
        Summary of the group for the help text.
    **commands : Callable or Group
        Functions of the commands, or nested groups.
    """

    def __init__(
        self, summary: str, **commands: "Callable[..., Action] | Group"
    ) -> None:
        self.__doc__ = summary
        self._names = list(commands)
        for name, item in commands.items():
            setattr(self, name, item if isinstance(item, Group) else Command(item))

    def __dir__(self) -> list[str]:
        return self._names


def make_commands() -> Group:
    """Return every command of the program."""
    return Group(
        "Fleet capacity and maintenance manager run by declarations.",
        serve=commands_service.serve,
        check=commands_folder.check,
        apply=commands_folder.apply,
        diff=commands_folder.diff,
        status=commands_fleet.status,
        keys=Group(
            "Give, withdraw and list keys.",
            give=commands_keys.give_key,
            withdraw=commands_keys.withdraw_key,
            list=commands_keys.list_keys,
        ),
        pools=commands_fleet.pools,
        instances=commands_fleet.instances,
        waves=Group(
            "Start, pause, abort and show maintenance waves.",
            start=commands_fleet.start_wave,
            pause=commands_fleet.pause_wave,
            abort=commands_fleet.abort_wave,
            status=commands_fleet.show_wave,
        ),
        evacuate=commands_fleet.evacuate,
        evacuations=commands_fleet.evacuations,
        **{"end-evacuation": commands_fleet.end_evacuation},
        **{"explain-job": commands_forecast.explain_job},
        jobs=commands_work.jobs,
        submit=commands_work.submit,
        timeline=commands_service.timeline,
        explain=commands_service.explain,
        version=commands_service.version,
        voters=Group(
            "List, add and remove the voters of the replicated log.",
            list=commands_voters.list_voters,
            add=commands_voters.add_voter,
            remove=commands_voters.remove_voter,
        ),
    )


def run_command(arguments: Sequence[str]) -> int:
    """Run one command.

    Parameters
    ----------
    arguments : Sequence[str]
        Arguments of the program.

    Returns
    -------
    int
        Exit code.
    """
    as_json = "--json" in arguments
    try:
        action = _parse(list(arguments))
        if isinstance(action, int):
            return action
        report = action.perform()
        _print_report(report, action.as_json)
        return report.exit_code
    except BrokenPipeError:
        # The reader closed the pipe; flushing into it at exit would raise again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitCode.DONE
    except Exception as error:
        failure = describe_failure(error)
        text = failure.to_json() if as_json else failure.to_text()
        print(text, file=sys.stderr)
        return failure.exit_code


def main() -> NoReturn:
    """Run the program with the arguments of the process."""
    try:
        code = run_command(sys.argv[1:])
    except KeyboardInterrupt:
        code = INTERRUPTED_EXIT_CODE
    if code == ExitCode.FAULT:
        # Server threads would keep the process of a failed daemon alive.
        sys.stdout.flush()
        sys.stderr.flush()
        os._exit(code)
    sys.exit(code)


def _parse(arguments: list[str]) -> Action | int:
    """Parse the arguments with fire, and print its output as help or error."""
    # fire reads its own flags after "--", one of which opens a Python prompt.
    if "--" in arguments:
        print(f"{PROGRAM}: unknown argument '--'", file=sys.stderr)
        return ExitCode.BAD_INPUT
    found, text, code = _call_fire(arguments)
    if isinstance(found, Action):
        return found
    if code is None:
        _, text, _ = _call_fire([*arguments, HELP_FLAG])
        code = ExitCode.BAD_INPUT
    shown = FIRE_HELP_LINE.sub("", text).strip()
    print(shown, file=sys.stderr if code else sys.stdout)
    return code


def _call_fire(arguments: list[str]) -> tuple[object, str, int | None]:
    output = io.StringIO()
    hide: Callable[[object], None] = lambda found: None  # noqa: E731
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        try:
            found = fire.Fire(
                make_commands(), command=arguments, name=PROGRAM, serialize=hide
            )
        except fire.core.FireExit as leave:
            return None, output.getvalue(), leave.code
    return found, output.getvalue(), None


def _print_report(report: Report, as_json: bool) -> None:
    if report.payload is not None and not as_json:
        sys.stdout.flush()
        sys.stdout.buffer.write(report.payload)
        sys.stdout.buffer.flush()
        return
    if as_json:
        print(msgspec.json.encode(report.value).decode())
    elif report.value is not None:
        print("\n".join(report.lines or describe_value(report.value)))
    sys.stdout.flush()
