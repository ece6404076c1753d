"""Reading of the event files that daemons write."""

import re
from collections.abc import Iterator
from pathlib import Path

from gypsumwalk.timeline import Timeline, merge_lines

__all__ = ["read_event_files"]

EVENT_FILE = re.compile(r"(?P<daemon>.+)\.jsonl(\.(?P<age>[0-9]+))?")


def read_event_files(folder: Path) -> Timeline:
    """Read every event file of a folder, rotated ones too.

    Parameters
    ----------
    folder : Path
        The folder.

    Returns
    -------
    Timeline
        All events, ordered by their timestamps.
    """
    return merge_lines(
        (path.name, _read_lines(path))
        for path in sorted(folder.iterdir())
        if EVENT_FILE.fullmatch(path.name) and path.is_file()
    )


def _read_lines(path: Path) -> Iterator[bytes]:
    with path.open("rb") as file:
        yield from file
