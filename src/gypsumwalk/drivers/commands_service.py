"""Commands for the program itself: serve, version, timeline, explain."""

from importlib import import_module
from pathlib import Path

from gypsumwalk import __version__
from gypsumwalk.drivers._actions import (
    Action,
    BadArgument,
    Report,
    parse_flag,
    parse_number,
)
from gypsumwalk.drivers.eventfiles import read_event_files
from gypsumwalk.errors import BadBoundary, BadSetting, SettingsInvalid
from gypsumwalk.events import Level
from gypsumwalk.job_history import build_job_history, render_job_history
from gypsumwalk.settings import Settings, decode_settings
from gypsumwalk.timeline import Selection, Timeline, render_text
from gypsumwalk.timelinepage import render_page

__all__ = ["explain", "read_settings", "serve", "timeline", "version"]

MAX_EVENTS = 1_000_000
DEFAULT_EVENTS = "2000"


def serve(settings: str) -> Action:
    """Run the daemon until it receives SIGTERM or SIGINT.

    Example: gypsumwalk serve /etc/gypsumwalk/entry1.toml

    Parameters
    ----------
    settings : str
        Settings file in TOML.
    """
    checked = read_settings(settings)
    return Action(lambda: _run_daemon(checked))


def version(json: str | bool = False) -> Action:
    """Show the version of the program.

    Example: gypsumwalk version --json

    Parameters
    ----------
    json : bool
        Print JSON.
    """
    report = Report({"version": __version__}, [f"gypsumwalk {__version__}"])
    return Action(lambda: report, parse_flag("json", json))


def timeline(
    folder: str,
    subject: str = "",
    instance: str = "",
    level: str = "debug",
    last: str = DEFAULT_EVENTS,
    page: str = "",
    json: str | bool = False,
) -> Action:
    """Merge the event files of all daemons into one view.

    Example: gypsumwalk timeline records --subject wave/spring --page wave.html

    Parameters
    ----------
    folder : str
        Folder with the event files of all daemons, or one collected log.
    subject : str
        Only events of this request, job, wave, instance or daemon.
    instance : str
        Only events of this daemon.
    level : str
        Minimum level: debug, info, warning or error.
    last : str
        Maximum number of events, the latest ones.
    page : str
        Write an HTML page to this file instead of printing text.
    json : bool
        Print JSON.
    """
    levels = [item.value for item in Level]
    if level not in levels:
        raise BadArgument("level", f"one of {', '.join(levels)}", level)
    selection = Selection(
        subject=subject,
        instance=instance,
        levels=frozenset(levels[levels.index(level) :]),
        last=int(parse_number("last", last, 1, MAX_EVENTS)),
    )
    logs = _find_logs("folder", folder)
    if page and not Path(page).absolute().parent.is_dir():
        raise BadArgument("page", "a file in an existing folder", page)
    as_json = parse_flag("json", json)
    return Action(lambda: _show_timeline(logs, selection, page), as_json)


def explain(job: str, logs: str, json: str | bool = False) -> Action:
    """Show the history of one job from the logs of all daemons.

    Example: gypsumwalk explain 5c0e7a21d94b36f8 records

    Parameters
    ----------
    job : str
        Identifier of the job.
    logs : str
        Folder with the event files of all daemons, or one collected log.
    json : bool
        Print JSON.
    """
    found = _find_logs("logs", logs)
    return Action(lambda: _show_job_history(found, job), parse_flag("json", json))


def read_settings(path: str) -> Settings:
    """Read and check a settings file.

    Parameters
    ----------
    path : str
        The file.

    Returns
    -------
    Settings
        The settings.

    Raises
    ------
    SettingsInvalid
        If any setting is wrong, with a ``BadSetting`` for each.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        bad_setting = BadSetting(path, "(file)", "a file", error.strerror or "an error")
        raise SettingsInvalid(path, [bad_setting]) from error
    except UnicodeDecodeError as error:
        bad_setting = BadSetting(path, "(file)", "UTF-8", str(error))
        raise SettingsInvalid(path, [bad_setting]) from error
    return decode_settings(text, file=path)


def _run_daemon(settings: Settings) -> Report:
    # Imported here because no other command needs the runtime.
    daemon = import_module("gypsumwalk.drivers.daemon")
    standard = import_module("gypsumwalk.drivers.standard_factory")
    factory = standard.StandardFactory(settings)
    return Report(None, exit_code=daemon.run_daemon(settings, factory))


def _show_timeline(folder: Path, selection: Selection, page: str) -> Report:
    selected = _read_logs(folder).select(selection)
    if not page:
        return Report(selected.to_builtins(), render_text(selected))
    Path(page).write_text(render_page(selected), encoding="utf-8")
    written = {"written": page, "events": len(selected.events)}
    return Report(written, [f"wrote {len(selected.events)} events to {page}"])


def _show_job_history(logs: Path, job: str) -> Report:
    history = build_job_history(_read_logs(logs), job)
    return Report(history.to_builtins(), list(render_job_history(history)))


def _find_logs(argument: str, name: str) -> Path:
    path = Path(name)
    if not path.exists():
        raise BadArgument(argument, "a folder or a file", name)
    return path


def _read_logs(path: Path) -> Timeline:
    whole = read_event_files(path)
    if not whole.files:
        raise BadBoundary(f"{path} holds no event files")
    return whole
