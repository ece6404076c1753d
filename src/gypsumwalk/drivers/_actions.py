"""Actions and reports of commands, and the checks of their arguments."""

import os
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

import msgspec

from gypsumwalk.drivers.client import OperatorClient
from gypsumwalk.errors import BadBoundary

__all__ = [
    "Action",
    "BadArgument",
    "Connection",
    "ExitCode",
    "Report",
    "describe_value",
    "parse_flag",
    "parse_names",
    "parse_number",
    "require_name",
]

ADDRESSES_VARIABLE = "GYPSUMWALK_ADDRESSES"
KEY_VARIABLE = "GYPSUMWALK_KEY"
DEFAULT_ADDRESSES = "127.0.0.1:7701"
MAX_DEADLINE_SECONDS = 600.0
ANSWER_TIMEOUT_SECONDS = 6.0
"""Longer than a daemon takes to report which daemons have applied a change."""
MAX_PORT = 65_535


class ExitCode(IntEnum):
    """Exit codes of the program; docs/COMMANDS.md explains them."""

    DONE = 0
    FAULT = 1
    BAD_INPUT = 2
    UNREACHABLE = 3
    REFUSED = 4
    OUTCOME_UNKNOWN = 5
    IN_PROGRESS = 6
    DIFFERENT = 7
    TARGET_ERROR = 8


class BadArgument(BadBoundary):
    """An argument of the command line has a wrong value.

    Parameters
    ----------
    name : str
        Name of the argument.
    expected : str
        Description of valid values.
    found : str
        Value that was given.
    """

    def __init__(self, name: str, expected: str, found: str) -> None:
        super().__init__(f"{name}: expected {expected}, found {found!r}")
        self.name = name


@dataclass(frozen=True, slots=True)
class Report:
    """Result of a command.

    Attributes
    ----------
    value : Any
        Value that ``--json`` prints.
    lines : Sequence[str]
        Lines printed without ``--json``; made from ``value`` when empty.
    exit_code : ExitCode
        Exit code of the program.
    payload : bytes or None
        Raw bytes to print instead of the lines.
    """

    value: Any
    lines: Sequence[str] = ()
    exit_code: int = ExitCode.DONE
    payload: bytes | None = None


class Action:
    """Command with checked arguments, not yet carried out.

    Its members are hidden from fire, which would offer them as subcommands.

    Parameters
    ----------
    perform : Callable
        Carries the command out.
    as_json : bool
        Whether the report is printed as JSON.
    """

    __slots__ = ("as_json", "perform")

    def __init__(self, perform: Callable[[], Report], as_json: bool = False) -> None:
        self.perform = perform
        self.as_json = as_json

    def __dir__(self) -> list[str]:
        return []


@dataclass(frozen=True, slots=True)
class Connection:
    """Parameters of the connection of a command to the daemons.

    Attributes
    ----------
    addresses : tuple of str
        ``host:port`` of each daemon, tried in this order.
    key : str
        Key sent with each call.
    deadline : float
        Time limit of a call in seconds.
    """

    addresses: tuple[str, ...]
    key: str = field(repr=False)
    deadline: float

    @classmethod
    def parse(cls, addresses: str, key: str, deadline: str) -> "Connection":
        """Parse the flags of a connection, with defaults from the environment.

        Parameters
        ----------
        addresses : str
            Addresses separated by commas, empty for the default.
        key : str
            Key, empty for the default.
        deadline : str
            Seconds.

        Returns
        -------
        Connection
            The connection.

        Raises
        ------
        BadArgument
            If a flag has a wrong value.
        """
        text = addresses or os.environ.get(ADDRESSES_VARIABLE, "") or DEFAULT_ADDRESSES
        parsed = parse_names("addresses", text)
        for address in parsed:
            _check_address(address)
        seconds = parse_number("deadline", deadline, 0.1, MAX_DEADLINE_SECONDS)
        shown = key or os.environ.get(KEY_VARIABLE, "")
        if not shown.isascii() or not shown.isprintable():
            raise BadArgument("key", "printable ASCII characters", "others")
        return cls(parsed, shown, seconds)

    def open(self, answer_timeout: float = ANSWER_TIMEOUT_SECONDS) -> OperatorClient:
        """Return a client; the caller closes it.

        Parameters
        ----------
        answer_timeout : float
            Time in seconds to wait for the answer of a daemon that accepted a call,
            before the next daemon is tried.

        Returns
        -------
        OperatorClient
            The client.
        """
        return OperatorClient(
            self.addresses,
            key=self.key,
            deadline=self.deadline,
            min_attempt_timeout=answer_timeout,
        )


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 1 <= int(port) <= MAX_PORT:
        raise BadArgument("addresses", "host:port", address)


def require_name(name: str, value: str) -> str:
    """Return a name that is safe in a path, or raise an error.

    Parameters
    ----------
    name : str
        Name of the argument.
    value : str
        Its value.

    Returns
    -------
    str
        The value.

    Raises
    ------
    BadArgument
        If the value is empty, not printable, or has a space or one of ``/?#%&``.
    """
    if not value or not value.isprintable() or set(value) & set("/?#%& "):
        raise BadArgument(name, "a name", value)
    return value


def parse_names(name: str, value: str) -> tuple[str, ...]:
    """Split a list of names separated by commas.

    Parameters
    ----------
    name : str
        Name of the argument.
    value : str
        Its value.

    Returns
    -------
    tuple of str
        The names, none of them empty.

    Raises
    ------
    BadArgument
        If a name is empty.
    """
    names = tuple(part.strip() for part in value.split(","))
    if not all(names):
        raise BadArgument(name, "names separated by commas", value)
    return names


def parse_number(name: str, value: str, least: float, most: float) -> float:
    """Parse a number within bounds.

    Parameters
    ----------
    name : str
        Name of the argument.
    value : str
        Its value.
    least : float
        Minimum.
    most : float
        Maximum.

    Returns
    -------
    float
        The number.

    Raises
    ------
    BadArgument
        If the value is not a number within the bounds.
    """
    try:
        number = float(value)
    except ValueError:
        number = float("nan")
    if not least <= number <= most:
        raise BadArgument(name, f"a number from {least:g} to {most:g}", value)
    return number


def parse_flag(name: str, value: str | bool) -> bool:
    """Parse a flag without a value.

    Parameters
    ----------
    name : str
        Name of the flag.
    value : str or bool
        Its value.

    Returns
    -------
    bool
        Whether it is set.

    Raises
    ------
    BadArgument
        If it has a value other than true or false.
    """
    text = str(value).lower()
    if text not in ("true", "false"):
        raise BadArgument(name, "no value", str(value))
    return text == "true"


def describe_value(value: Any) -> list[str]:
    """Format a value read from JSON as lines of text.

    Parameters
    ----------
    value : Any
        The value.

    Returns
    -------
    list of str
        The lines: a table for a list of objects, else one line for each field.
    """
    if isinstance(value, list):
        return _describe_list(value)
    if not isinstance(value, Mapping):
        return [_describe_scalar(value)]
    lines: list[str] = []
    for name, item in value.items():
        if _is_nested(item):
            lines.append(f"{name}:")
            lines += [f"  {line}" for line in describe_value(item)]
        else:
            lines.append(f"{name}: {_describe_scalar(item)}")
    return lines


def _is_nested(value: Any) -> bool:
    if isinstance(value, list):
        return any(isinstance(item, Mapping) for item in value)
    return isinstance(value, Mapping) and bool(value)


def _describe_list(items: list[Any]) -> list[str]:
    if not items:
        return ["none"]
    if not all(isinstance(item, Mapping) for item in items):
        return [_describe_scalar(item) for item in items]
    names = list(dict.fromkeys(name for item in items for name in item))
    rows = [names]
    rows += [[_describe_scalar(item.get(name, "")) for name in names] for item in items]
    widths = [max(len(row[column]) for row in rows) for column in range(len(names))]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]


def _describe_scalar(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ",".join(_describe_scalar(item) for item in value) or "none"
    if isinstance(value, Mapping):
        return msgspec.json.encode(value).decode()
    return str(value)
