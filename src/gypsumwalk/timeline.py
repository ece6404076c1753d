"""Time line of the events of all daemons, ordered by hybrid logical time."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from gypsumwalk.errors import MalformedMessage
from gypsumwalk.eventlines import EventLine, decode_line

__all__ = ["Selection", "Timeline", "format_time", "merge_lines", "render_text"]

MILLISECONDS_PER_SECOND = 1000
SECONDS_PER_MINUTE = 60
MINUTES_PER_HOUR = 60
HOURS_PER_DAY = 24


@dataclass(frozen=True, slots=True)
class Selection:
    """Filter for the events of a time line.

    Attributes
    ----------
    subject : str
        Identifier that is the subject of an event or one of its values; empty for
        all.
    instance : str
        Daemon; empty for all.
    levels : frozenset of str
        Levels; empty for all.
    last : int
        Maximum number of events, the latest ones; 0 for all.
    """

    subject: str = ""
    instance: str = ""
    levels: frozenset[str] = frozenset()
    last: int = 0

    def matches(self, event: EventLine) -> bool:
        """Return whether the filter matches an event."""
        if self.instance and event.instance != self.instance:
            return False
        if self.levels and event.level not in self.levels:
            return False
        if not self.subject or event.subject == self.subject:
            return True
        return self.subject in event.attributes.values()


@dataclass(frozen=True, slots=True)
class Timeline:
    """Events of all daemons in order.

    Attributes
    ----------
    events : tuple of EventLine
        The events, each after every event that may have caused it.
    files : tuple of str
        Names of the files that they come from.
    malformed : int
        Lines that could not be read, such as one cut short by a crash.
    left_out : int
        Number of events dropped by the ``last`` of a selection.
    """

    events: tuple[EventLine, ...]
    files: tuple[str, ...] = ()
    malformed: int = 0
    left_out: int = 0

    def select(self, selection: Selection) -> "Timeline":
        """Return the time line of the events that match a selection.

        Parameters
        ----------
        selection : Selection
            The selection.

        Returns
        -------
        Timeline
            The time line.
        """
        matching = [event for event in self.events if selection.matches(event)]
        excess = max(0, len(matching) - selection.last) if selection.last else 0
        return replace(self, events=tuple(matching[excess:]), left_out=excess)

    def to_builtins(self) -> dict[str, Any]:
        """Return the time line as plain values, for JSON."""
        return {
            "events": msgspec.to_builtins(self.events),
            "files": list(self.files),
            "malformed": self.malformed,
            "left_out": self.left_out,
        }


def merge_lines(files: Iterable[tuple[str, Iterable[bytes]]]) -> Timeline:
    """Merge the lines of several files.

    Parameters
    ----------
    files : Iterable of tuple
        Name and lines of each file.

    Returns
    -------
    Timeline
        All events, ordered by timestamp and, for equal ones, by daemon.
    """
    events: list[EventLine] = []
    names: list[str] = []
    malformed = 0
    for name, lines in files:
        names.append(name)
        for line in lines:
            try:
                events.append(decode_line(line))
            except MalformedMessage:
                malformed += 1
    events.sort(key=lambda event: (event.timestamp, event.instance))
    return Timeline(tuple(events), tuple(names), malformed)


def format_time(milliseconds: int) -> str:
    """Return the time of day in UTC.

    Parameters
    ----------
    milliseconds : int
        Milliseconds since the epoch.

    Returns
    -------
    str
        Hours, minutes, seconds and milliseconds.
    """
    seconds, rest = divmod(milliseconds, MILLISECONDS_PER_SECOND)
    minutes, second = divmod(seconds, SECONDS_PER_MINUTE)
    hours, minute = divmod(minutes, MINUTES_PER_HOUR)
    return f"{hours % HOURS_PER_DAY:02}:{minute:02}:{second:02}.{rest:03}"


def render_text(timeline: Timeline) -> Sequence[str]:
    """Return one line of text for each event.

    Parameters
    ----------
    timeline : Timeline
        The time line.

    Returns
    -------
    Sequence of str
        The lines, and notes on omitted events and unreadable lines.
    """
    width = max((len(event.instance) for event in timeline.events), default=0)
    lines = [_render_event(event, width) for event in timeline.events]
    if timeline.left_out:
        lines.append(f"{timeline.left_out} earlier events left out")
    if timeline.malformed:
        lines.append(f"{timeline.malformed} lines could not be read")
    return lines or ["no events"]


def _render_event(event: EventLine, width: int) -> str:
    time = format_time(event.timestamp.milliseconds)
    subject = f" [{event.subject}]" if event.subject else ""
    text = (
        f"{time}+{event.timestamp.counter:<3} {event.instance:<{width}} "
        f"{event.level:<7} {event.number} {event.message}{subject}"
    )
    return "".join(char if char.isprintable() else "?" for char in text)
