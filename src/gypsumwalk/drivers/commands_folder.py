"""Commands for settings and the configuration folder."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

from gypsumwalk.drivers._actions import (
    Action,
    Connection,
    ExitCode,
    Report,
    describe_value,
    parse_flag,
    parse_number,
)
from gypsumwalk.drivers._calls import DEADLINE, make_call, query
from gypsumwalk.drivers.commands_service import read_settings
from gypsumwalk.errors import BadFolder, BadSetting
from gypsumwalk.folder_merging import Tables, merge_files, parse_file

__all__ = ["apply", "check", "diff"]

MAX_GENERATION = 2**53


def check(path: str, json: str | bool = False) -> Action:
    """Check a settings file or a configuration folder, and list every error.

    Example: gypsumwalk check examples/hanbit

    Parameters
    ----------
    path : str
        Settings file, or configuration folder.
    json : bool
        Print JSON.
    """
    as_json = parse_flag("json", json)
    if Path(path).is_dir():
        return Action(lambda: _check_folder(path), as_json)
    return Action(lambda: _check_settings(path), as_json)


def apply(
    folder: str,
    base: str = "",
    addresses: str = "",
    key: str = "",
    deadline: str = DEADLINE,
    json: str | bool = False,
) -> Action:
    """Apply a complete configuration folder, and report the result by daemon.

    Example: gypsumwalk apply examples/hanbit --base 4

    Parameters
    ----------
    folder : str
        Configuration folder; files that it lacks are removed.
    base : str
        Generation that the change is based on, as ``diff`` shows it; by default the
        current one.
    addresses : str
        Daemons to try in order, separated by commas; by default GYPSUMWALK_ADDRESSES.
    key : str
        Key to authenticate with; by default GYPSUMWALK_KEY.
    deadline : str
        Time limit of the call in seconds.
    json : bool
        Print JSON.
    """
    connection = Connection.parse(addresses, key, deadline)
    as_json = parse_flag("json", json)
    number = int(parse_number("base", base, 0, MAX_GENERATION)) if base else None
    files = _read_folder(folder)
    return Action(lambda: _apply(connection, files, number), as_json)


def diff(
    folder: str,
    addresses: str = "",
    key: str = "",
    deadline: str = DEADLINE,
    json: str | bool = False,
) -> Action:
    """Show what applying a configuration folder would change.

    Example: gypsumwalk diff examples/hanbit

    Parameters
    ----------
    folder : str
        Configuration folder.
    addresses : str
        Daemons to try in order, separated by commas; by default GYPSUMWALK_ADDRESSES.
    key : str
        Key to authenticate with; by default GYPSUMWALK_KEY.
    deadline : str
        Time limit of the call in seconds.
    json : bool
        Print JSON.
    """
    connection = Connection.parse(addresses, key, deadline)
    body = {"files": _read_folder(folder), "whole": True}
    path = "/v1/configuration/diff"
    return query(connection, "POST", path, body, json=json, render=_show_diff)


def _check_settings(path: str) -> Report:
    settings = read_settings(path)
    lines = [f"{path}: settings of daemon {settings.name} are valid"]
    return Report({"valid": True, "daemon": settings.name}, lines)


def _check_folder(path: str) -> Report:
    files = _read_folder(path)
    lines = [f"{path}: {len(files)} files are valid as a whole"]
    return Report({"valid": True, "files": sorted(files)}, lines)


def _read_folder(folder: str) -> dict[str, str]:
    """Read every file of a folder and check them together."""
    files: dict[str, str] = {}
    parsed: dict[str, Tables] = {}
    bad_settings: list[BadSetting] = []
    if not Path(folder).is_dir():
        raise BadFolder(folder, [BadSetting(folder, "(folder)", "a folder", "none")])
    for path in sorted(Path(folder).glob("*.toml")):
        try:
            files[path.name] = path.read_text(encoding="utf-8")
            parsed[path.name] = parse_file(path.name, files[path.name])
        except BadSetting as bad_setting:
            bad_settings.append(bad_setting)
        except (OSError, UnicodeDecodeError) as error:
            bad_settings.append(
                BadSetting(path.name, "(file)", "UTF-8 text", str(error))
            )
    if not files and not bad_settings:
        bad_settings.append(BadSetting(folder, "(folder)", "TOML files", "none"))
    if bad_settings:
        raise BadFolder(folder, bad_settings)
    merge_files(parsed)
    return files


def _apply(
    connection: Connection, files: Mapping[str, str], base: int | None
) -> Report:
    if base is None:
        base = make_call(connection, "GET", "/v1/configuration")["generation"]
    body = {"base": base, "files": files, "whole": True}
    # The call is idempotent: a retry with equal base and content gets the same answer.
    answer = make_call(connection, "POST", "/v1/configuration/apply", body)
    return Report(answer, describe_value(answer))


def _show_diff(answer: dict[str, Any]) -> Report:
    marks = (("+", "added"), ("~", "changed"), ("-", "removed"))
    lines = [f"{mark} {name}" for mark, kind in marks for name in answer[kind]]
    if not lines:
        return Report(answer, [f"no change to generation {answer['base']}"])
    lines.append(f"compared with generation {answer['base']}")
    return Report(answer, lines, ExitCode.DIFFERENT)
