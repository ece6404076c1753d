"""Reader for the event files that daemons write."""

import re
from collections.abc import Iterator
from pathlib import Path

from gypsumwalk.timeline import Timeline, merge_lines

__all__ = ["read_event_files"]

EVENT_START = b'{"timestamp":'
"""First bytes of every encoded event; the order of its fields is fixed."""

EVENT_FILE = re.compile(r"(?P<daemon>.+)\.jsonl(\.(?P<age>[0-9]+))?")


def read_event_files(folder: Path) -> Timeline:
    """Read all event files of a folder, including rotated ones, or one collected log.

    Parameters
    ----------
    folder : Path
        The folder, or a collected log file. In the latter, text before the event in a
        line and lines without an event are skipped.

    Returns
    -------
    Timeline
        All events, ordered by their timestamps.
    """
    if folder.is_file():
        return merge_lines([(folder.name, _read_collected(folder))])
    return merge_lines(
        (path.name, _read_lines(path))
        for path in sorted(folder.iterdir())
        if EVENT_FILE.fullmatch(path.name) and path.is_file()
    )


def _read_lines(path: Path) -> Iterator[bytes]:
    with path.open("rb") as file:
        yield from file


def _read_collected(path: Path) -> Iterator[bytes]:
    with path.open("rb") as file:
        for line in file:
            start = line.find(EVENT_START)
            if start >= 0:
                yield line[start:]
