"""Reading of the event files that daemons write."""

import re
from collections.abc import Iterator
from pathlib import Path

from gypsumwalk.timeline import Timeline, merge_lines

__all__ = ["read_event_files"]

EVENT_START = b'{"timestamp":'
"""First bytes of every event, as its fields are written in one order."""

EVENT_FILE = re.compile(r"(?P<daemon>.+)\.jsonl(\.(?P<age>[0-9]+))?")


def read_event_files(folder: Path) -> Timeline:
    """Read every event file of a folder, rotated ones too, or one collected log.

    Parameters
    ----------
    folder : Path
        The folder; or a file, whose lines may have other words before the event and
        among which other lines may stand.

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
