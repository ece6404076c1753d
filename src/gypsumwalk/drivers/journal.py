"""Log and time line of one daemon, through logbook."""

import sys
from enum import Enum
from os import SEEK_END
from pathlib import Path
from typing import Any, Protocol

import logbook

from gypsumwalk.effects import Record
from gypsumwalk.eventlines import EventLine, LineWriter, encode_line
from gypsumwalk.events import Level
from gypsumwalk.settings import Settings
from gypsumwalk.timestamps import HybridClock

__all__ = ["EventJournal", "LogStyle"]

CHANNEL = "gypsumwalk"
MAX_FILE_BYTES = 8 * 1024 * 1024
KEPT_FILES = 3
LEVELS = {
    Level.DEBUG: logbook.DEBUG,
    Level.INFO: logbook.INFO,
    Level.WARNING: logbook.WARNING,
    Level.ERROR: logbook.ERROR,
}


class LogTarget(Protocol):
    """Stream that takes lines of text."""

    def write(self, text: str, /) -> object:
        """Take in text."""
        ...

    def flush(self) -> None:
        """Hand on what was taken in."""
        ...


class LogStyle(Enum):
    """Form of the log on the standard output."""

    JSON = "json"
    TEXT = "text"


class EventJournal:
    """Event sink that writes a bounded file of lines, and a log.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon; without a record folder only the log is written.
    clock : HybridClock
        Clock that stamps the events, shared with the network.
    style : LogStyle
        Form of the log.
    stream : LogTarget, optional
        Where the log goes; the standard output by default.
    threshold : Level
        Least severe event that goes to the log; the file takes all.
    max_bytes : int
        Size in bytes at which the file is rotated.
    kept_files : int
        Rotated files that are kept.
    """

    def __init__(
        self,
        settings: Settings,
        clock: HybridClock,
        *,
        style: LogStyle = LogStyle.JSON,
        stream: LogTarget | None = None,
        threshold: Level = Level.INFO,
        max_bytes: int = MAX_FILE_BYTES,
        kept_files: int = KEPT_FILES,
    ) -> None:
        secrets = [settings.cluster_secret, settings.operator_key]
        self._lines = LineWriter(settings.name, settings.data_centre, secrets)
        self._clock = clock
        self._handlers: list[Any] = [
            _open_log(stream or sys.stdout, style, LEVELS[threshold])
        ]
        self._file: _EventFile | None = None
        if settings.record_folder:
            folder = Path(settings.record_folder)
            folder.mkdir(parents=True, exist_ok=True)
            path = folder / f"{settings.name}.jsonl"
            self._file = _open_file(path, max_bytes, kept_files)
            self._handlers.append(self._file)
        self.lost = 0

    def write(self, record: Record, now: float) -> None:
        """Write one event; the file has it after the next ``flush``.

        A full disk or a closed stream loses the line and is counted in ``lost``.

        Parameters
        ----------
        record : Record
            The event.
        now : float
            Time in seconds since the epoch.
        """
        line = self._lines.describe(record, self._clock.read(now))
        level = LEVELS[record.event.level]
        entry = logbook.LogRecord(CHANNEL, level, line.message, extra={"line": line})
        for handler in self._handlers:
            if level >= handler.level:
                self._emit(handler, entry)

    def flush(self) -> None:
        """Hand all events written so far to the operating system."""
        if self._file is None:
            return
        try:
            self._file.write_out()
        except (OSError, ValueError):
            self.lost += 1

    def close(self) -> None:
        """Close the file and flush the log."""
        for handler in self._handlers:
            try:
                handler.close()
            except (OSError, ValueError):
                self.lost += 1

    def _emit(self, handler: Any, entry: logbook.LogRecord) -> None:
        try:
            handler.emit(entry)
        except (OSError, ValueError):
            self.lost += 1


def _open_log(stream: LogTarget, style: LogStyle, level: int) -> logbook.StreamHandler:
    handler = logbook.StreamHandler(stream, level=level)
    handler.formatter = _format_json if style is LogStyle.JSON else _format_text
    return handler


class _EventFile(logbook.RotatingFileHandler):  # type: ignore[misc]
    """File that is flushed once for many lines, and counts its size itself."""

    def should_rollover(self, record: logbook.LogRecord, bytes: int) -> bool:
        return bool(self._size + bytes >= self.max_size)

    def write(self, item: str) -> None:
        self._size += len(item)
        super().write(item)

    def flush(self) -> None:
        self._is_dirty = True

    def write_out(self) -> None:
        if self._is_dirty:
            self._is_dirty = False
            super().flush()

    def _open(self, mode: str | None = None) -> None:
        super()._open(mode)
        self._size = self.stream.seek(0, SEEK_END)
        self._is_dirty = False


def _open_file(path: Path, max_bytes: int, kept: int) -> _EventFile:
    handler = _EventFile(
        path, level=logbook.DEBUG, max_size=max_bytes, backup_count=kept
    )
    handler.formatter = _format_json
    return handler


def _format_json(entry: logbook.LogRecord, handler: logbook.Handler) -> str:
    return encode_line(entry.extra["line"])


def _format_text(entry: logbook.LogRecord, handler: logbook.Handler) -> str:
    line: EventLine = entry.extra["line"]
    text = (
        f"{line.timestamp.milliseconds}.{line.timestamp.counter}"
        f" {line.level:<7} {line.number} {line.instance}: {line.message}"
    )
    return _escape_breaks(f"{text} [{line.subject}]" if line.subject else text)


def _escape_breaks(text: str) -> str:
    return "".join(
        char if char.isprintable() else char.encode("unicode_escape").decode()
        for char in text
    )
