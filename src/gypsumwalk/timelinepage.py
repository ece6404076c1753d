"""Time line as one self-contained HTML page."""

from html import escape
from importlib import resources
from string import Template

from gypsumwalk.eventlines import EventLine
from gypsumwalk.timeline import Timeline, format_time
from gypsumwalk.timelinechart import GROUPS, EventGroup, find_group, render_chart

__all__ = ["render_page"]


def render_page(timeline: Timeline) -> str:
    """Return the page, with all texts of events escaped.

    Parameters
    ----------
    timeline : Timeline
        The time line.

    Returns
    -------
    str
        HTML without references to external resources.
    """
    template = resources.files("gypsumwalk").joinpath("pages", "timeline.html")
    return Template(template.read_text(encoding="utf-8")).substitute(
        daemons=len({event.instance for event in timeline.events}),
        summary=escape(_summarize(timeline)),
        legend="\n".join(
            _render_checkbox(group) for group in _list_used_groups(timeline)
        ),
        chart=render_chart(timeline),
        rows="\n".join(_render_row(event) for event in timeline.events),
    )


def _summarize(timeline: Timeline) -> str:
    notes = [f"{len(timeline.events)} events of {len(timeline.files)} files"]
    if timeline.left_out:
        notes.append(f"{timeline.left_out} earlier events left out")
    if timeline.malformed:
        notes.append(f"{timeline.malformed} lines could not be read")
    return "; ".join(notes) + ". A red outline marks warnings and errors."


def _list_used_groups(timeline: Timeline) -> list[EventGroup]:
    used = {find_group(event).name for event in timeline.events}
    return [group for group in GROUPS if group.name in used]


def _render_checkbox(group: EventGroup) -> str:
    return (
        f'<label><input type="checkbox" value="{group.name}" checked>'
        f' <span class="swatch" style="background:{group.colour}"></span>'
        f" {group.name}</label>"
    )


def _render_row(event: EventLine) -> str:
    cells = [
        f'<td class="time">{format_time(event.timestamp.milliseconds)}</td>',
        f"<td>{escape(event.instance)}</td>",
        f'<td class="level">{escape(event.level)}</td>',
        f"<td>{event.number}</td>",
        f"<td>{escape(event.message)}</td>",
        f"<td>{escape(event.subject)}</td>",
    ]
    return (
        f'<tr class="{escape(event.level)}" data-group="{find_group(event).name}">'
        f"{''.join(cells)}</tr>"
    )
