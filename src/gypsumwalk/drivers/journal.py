"""Log and event file of one daemon, written through logbook."""

import sys
from contextlib import suppress
from enum import Enum
from os import SEEK_END
from pathlib import Path
from typing import Any, Protocol

import logbook

from gypsumwalk.effects import Record
from gypsumwalk.eventlines import EventLine, LineWriter, encode_line
from gypsumwalk.events import Event, Level
from gypsumwalk.settings import Settings
from gypsumwalk.timestamps import HybridClock

__all__ = ["EventJournal", "LogStyle"]

CHANNEL = "gypsumwalk"
MAX_FILE_BYTES = 8 * 1024 * 1024
KEPT_FILES = 3
REOPEN_SECONDS = 1.0
"""Pause before a file that could not be written is opened again."""
LEVELS = {
    Level.DEBUG: logbook.DEBUG,
    Level.INFO: logbook.INFO,
    Level.WARNING: logbook.WARNING,
    Level.ERROR: logbook.ERROR,
}


class TextStream(Protocol):
    """Stream that accepts text."""

    def write(self, text: str, /) -> object:
        """Write text."""
        ...

    def flush(self) -> None:
        """Flush the text written so far."""
        ...


class LogStyle(Enum):
    """Format of the log on the standard output."""

    JSON = "json"
    TEXT = "text"


class EventJournal:
    """Event sink that writes to a log and to a rotated event file.

    A file that can't be opened or written is opened again after a pause; the lines of
    that time are lost in the file, and event 1015 in the log tells why.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon; only the log is written if no record folder is set.
    clock : HybridClock
        Clock for the timestamps of events, shared with the peer network.
    style : LogStyle
        Format of the log.
    stream : TextStream, optional
        Stream that the log is written to; the standard output by default.
    threshold : Level
        Minimum level of events in the log; the file has events of every level.
    max_bytes : int
        Size in bytes at which the file is rotated.
    kept_files : int
        Number of rotated files to keep.
    """

    def __init__(
        self,
        settings: Settings,
        clock: HybridClock,
        *,
        style: LogStyle = LogStyle.JSON,
        stream: TextStream | None = None,
        threshold: Level = Level.INFO,
        max_bytes: int = MAX_FILE_BYTES,
        kept_files: int = KEPT_FILES,
    ) -> None:
        secrets = [settings.cluster_secret, settings.operator_key]
        self._lines = LineWriter(settings.name, settings.data_centre, secrets)
        self._clock = clock
        self._log: Any = _make_log_handler(
            stream or sys.stdout, style, LEVELS[threshold]
        )
        self._path: Path | None = None
        if settings.record_folder:
            self._path = Path(settings.record_folder) / f"{settings.name}.jsonl"
        self._max_bytes = max_bytes
        self._kept_files = kept_files
        self._file: _EventFile | None = None
        self._reopen_at = float("-inf")
        self._now = 0.0
        self.lost_lines = 0

    def write(self, record: Record, now: float) -> None:
        """Write one event; it reaches the file at the next ``flush``.

        A line that can't be written, as on a full disk or a closed stream, is counted
        in ``lost_lines``.

        Parameters
        ----------
        record : Record
            The event.
        now : float
            Time in seconds since the epoch.
        """
        self._now = now
        log_record = self._make_log_record(record)
        self._write_log(log_record)
        if self._path is None:
            return
        file = self._file or self._open_file(self._path)
        if file is None:
            self.lost_lines += 1
            return
        try:
            file.emit(log_record)
        except (OSError, ValueError) as error:
            self._lose_file(error)

    def flush(self) -> None:
        """Pass the events written so far to the operating system."""
        if self._file is None:
            return
        try:
            self._file.flush_pending()
        except (OSError, ValueError) as error:
            self._lose_file(error)

    def close(self) -> None:
        """Close the file and flush the log."""
        for handler in (self._log, self._file):
            if handler is None:
                continue
            try:
                handler.close()
            except (OSError, ValueError):
                self.lost_lines += 1

    def _make_log_record(self, record: Record) -> logbook.LogRecord:
        line = self._lines.describe(record, self._clock.read(self._now))
        level = LEVELS[record.event.level]
        return logbook.LogRecord(CHANNEL, level, line.message, extra={"line": line})

    def _write_log(self, log_record: logbook.LogRecord) -> None:
        if log_record.level < self._log.level:
            return
        try:
            self._log.emit(log_record)
        except (OSError, ValueError):
            self.lost_lines += 1

    def _open_file(self, path: Path) -> "_EventFile | None":
        if self._now < self._reopen_at:
            return None
        try:
            path.parent.mkdir(parents=True, exist_ok=True)
            self._file = _make_file_handler(path, self._max_bytes, self._kept_files)
        except OSError as error:
            self._record_lost_file(error)
        return self._file

    def _lose_file(self, error: Exception) -> None:
        """Close the file after a failed write, to open it again later."""
        self.lost_lines += 1
        file, self._file = self._file, None
        self._record_lost_file(error)
        if file is not None:
            # What is buffered is lost with the line, so the same error may come again.
            with suppress(OSError, ValueError):
                file.close()

    def _record_lost_file(self, error: Exception) -> None:
        self._reopen_at = self._now + REOPEN_SECONDS
        detail = {"reason": str(error)}
        self._write_log(
            self._make_log_record(Record(Event.EVENT_FILE_LOST, "", detail))
        )


def _make_log_handler(
    stream: TextStream, style: LogStyle, level: int
) -> logbook.StreamHandler:
    handler = logbook.StreamHandler(stream, level=level)
    handler.formatter = _format_json if style is LogStyle.JSON else _format_text
    return handler


class _EventFile(logbook.RotatingFileHandler):  # type: ignore[misc]
    """Rotating file that defers flushes and tracks its size itself."""

    def should_rollover(self, record: logbook.LogRecord, bytes: int) -> bool:
        return bool(self._size + bytes >= self.max_size)

    def write(self, item: str) -> None:
        self._size += len(item)
        super().write(item)

    def flush(self) -> None:
        self._is_dirty = True

    def flush_pending(self) -> None:
        if self._is_dirty:
            self._is_dirty = False
            super().flush()

    def _open(self, mode: str | None = None) -> None:
        super()._open(mode)
        self._size = self.stream.seek(0, SEEK_END)
        self._is_dirty = False
        if _is_cut_off(Path(self._filename)):
            self.write("\n")
            self.flush()


def _is_cut_off(path: Path) -> bool:
    """Tell whether the last line of a file has no end, as its write failed."""
    with path.open("rb") as stream:
        if not stream.seek(0, SEEK_END):
            return False
        stream.seek(-1, SEEK_END)
        return stream.read() != b"\n"


def _make_file_handler(path: Path, max_bytes: int, kept_files: int) -> _EventFile:
    handler = _EventFile(
        path, level=logbook.DEBUG, max_size=max_bytes, backup_count=kept_files
    )
    handler.formatter = _format_json
    return handler


def _format_json(log_record: logbook.LogRecord, handler: logbook.Handler) -> str:
    return encode_line(log_record.extra["line"])


def _format_text(log_record: logbook.LogRecord, handler: logbook.Handler) -> str:
    line: EventLine = log_record.extra["line"]
    text = (
        f"{line.timestamp.milliseconds}.{line.timestamp.counter}"
        f" {line.level:<7} {line.number} {line.instance}: {line.message}"
    )
    return _escape_unprintable(f"{text} [{line.subject}]" if line.subject else text)


def _escape_unprintable(text: str) -> str:
    return "".join(
        char if char.isprintable() else char.encode("unicode_escape").decode()
        for char in text
    )
