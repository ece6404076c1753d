"""SVG chart of a time line, with one lane for each daemon."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from html import escape

from gypsumwalk.eventlines import EventLine
from gypsumwalk.timeline import Timeline, format_time

__all__ = ["GROUPS", "EventGroup", "find_group", "render_chart"]

WIDTH_PIXELS = 1280
LEFT_PIXELS = 120
RIGHT_PIXELS = 20
TOP_PIXELS = 26
ROW_PIXELS = 15
LANE_GAP_PIXELS = 10
TERM_PIXELS = 5
CLUSTER_PIXELS = 7
MARK_PIXELS = 4.0
MAX_TICKS = 9
TICK_STEPS_MILLISECONDS = (
    *(digit * 10**power for power in range(5) for digit in (1, 2, 5)),
    *(minutes * 60_000 for minutes in (1, 2, 5, 10, 20, 30, 60, 120, 360, 720, 1440)),
)


@dataclass(frozen=True, slots=True)
class EventGroup:
    """Events that share a row and a colour.

    Attributes
    ----------
    name : str
        Name of the group, also shown in the legend.
    first : int
        First event number of the group, which ends where the next group begins.
    row : int
        Row within a lane.
    colour : str
        Colour of its marks.
    name_parts : tuple of str
        Parts of event names that put an event into the group, whatever its number.
    """

    name: str
    first: int
    row: int
    colour: str
    name_parts: tuple[str, ...] = ()


GROUPS = (
    EventGroup(
        "faults",
        0,
        0,
        "#c0182b",
        ("LOST", "FAILED", "UNREACHABLE", "QUARANTINED", "EJECTED", "RECLAIMED"),
    ),
    EventGroup("refusals", 0, 3, "#e76f51", ("REFUSED", "REJECTED", "SHED", "CUT")),
    EventGroup("waves", 0, 4, "#2a9d8f", ("WAVE", "DRAINING", "REBOOTING")),
    EventGroup("moves", 0, 4, "#b5651d", ("MOVED", "MOVING")),
    EventGroup("daemon", 1000, 1, "#6c757d"),
    EventGroup("log", 2000, 1, "#e09f3e"),
    EventGroup("membership", 2100, 1, "#7b5ea7"),
    EventGroup("configuration", 2200, 2, "#2f6fde"),
    EventGroup("keys", 2300, 2, "#0e9aa7"),
    EventGroup("portions", 2400, 2, "#8a9a5b"),
    EventGroup("requests", 3000, 3, "#4c9f70"),
    EventGroup("fleet", 4000, 4, "#5d737e"),
)
"""Groups: first those with name parts, then the others by event number."""

FAULTY_CHANGES = frozenset({"suspect", "dead"})
ROWS = 1 + max(group.row for group in GROUPS)
LANE_PIXELS = TERM_PIXELS + ROWS * ROW_PIXELS


def find_group(event: EventLine) -> EventGroup:
    """Return the group of an event.

    Parameters
    ----------
    event : EventLine
        The event.

    Returns
    -------
    EventGroup
        Its group.
    """
    if event.attributes.get("change") in FAULTY_CHANGES:
        return GROUPS[0]
    parts = set(event.name.split("_"))
    for group in GROUPS:
        if parts.intersection(group.name_parts):
            return group
    numbered = [group for group in GROUPS if 0 < group.first <= event.number]
    return numbered[-1] if numbered else GROUPS[0]


def render_chart(timeline: Timeline) -> str:
    """Return the chart as an SVG element.

    Parameters
    ----------
    timeline : Timeline
        The time line.

    Returns
    -------
    str
        The element, with all texts escaped.
    """
    if not timeline.events:
        return ""
    scale = _TimeScale.fit(timeline.events)
    lanes = sorted({(e.data_centre, e.instance) for e in timeline.events})
    height = TOP_PIXELS + len(lanes) * (LANE_PIXELS + LANE_GAP_PIXELS)
    parts = [
        f'<svg viewBox="0 0 {WIDTH_PIXELS} {height}" role="img"'
        ' aria-label="Events by daemon and time">'
    ]
    for number, (data_centre, instance) in enumerate(lanes):
        top = TOP_PIXELS + number * (LANE_PIXELS + LANE_GAP_PIXELS)
        events = [e for e in timeline.events if e.instance == instance]
        parts += _draw_lane(top, data_centre, instance)
        parts += _draw_incarnations(events, scale, top)
        parts += _draw_terms(events, timeline.events, scale, top)
        parts += _draw_marks(events, scale, top)
    parts += _draw_ticks(scale, height)
    return "\n".join([*parts, "</svg>"])


@dataclass(frozen=True, slots=True)
class _TimeScale:
    start: int
    end: int

    @classmethod
    def fit(cls, events: Sequence[EventLine]) -> "_TimeScale":
        start = events[0].timestamp.milliseconds
        return cls(start, max(start + 1, events[-1].timestamp.milliseconds))

    def to_x(self, milliseconds: int) -> float:
        width = WIDTH_PIXELS - LEFT_PIXELS - RIGHT_PIXELS
        share = (milliseconds - self.start) / (self.end - self.start)
        return LEFT_PIXELS + width * share


def _draw_lane(top: int, data_centre: str, instance: str) -> Iterator[str]:
    yield f'<text x="4" y="{top + 20}">{escape(instance)}</text>'
    yield f'<text class="dim" x="4" y="{top + 36}">{escape(data_centre)}</text>'


def _draw_incarnations(
    events: Sequence[EventLine], scale: _TimeScale, top: int
) -> Iterator[str]:
    for first, last in _find_incarnations(events, scale):
        left = scale.to_x(first) - MARK_PIXELS
        width = scale.to_x(last) + MARK_PIXELS - left
        yield (
            f'<rect class="lane" x="{left:.1f}" y="{top}"'
            f' width="{width:.1f}" height="{LANE_PIXELS}"/>'
        )


def _find_incarnations(
    events: Sequence[EventLine], scale: _TimeScale
) -> Iterator[tuple[int, int]]:
    """Yield start and end of each incarnation; a kill ends it at its last event."""
    first = last = events[0].timestamp.milliseconds
    stopped = False
    for event in events:
        if event.name == "DAEMON_STARTED" and event is not events[0]:
            yield first, last
            first = event.timestamp.milliseconds
        last = event.timestamp.milliseconds
        stopped = event.name == "DAEMON_STOPPED"
    yield first, last if stopped else scale.end


def _draw_terms(
    events: Sequence[EventLine],
    all_events: Sequence[EventLine],
    scale: _TimeScale,
    top: int,
) -> Iterator[str]:
    for event in events:
        if event.name != "LEADER_ELECTED":
            continue
        start = event.timestamp.milliseconds
        ends = [
            last for first, last in _find_incarnations(events, scale) if last >= start
        ]
        end = min(ends[0], _find_term_end(event, all_events, scale))
        left, right = scale.to_x(start), scale.to_x(end)
        term = escape(str(event.attributes.get("term", "?")))
        yield (
            f'<rect class="term" data-group="log" x="{left:.1f}" y="{top}"'
            f' width="{max(1.0, right - left):.1f}" height="{TERM_PIXELS}">'
            f"<title>leader in term {term}</title></rect>"
        )
        yield (
            f'<text class="dim" data-group="log" x="{left + 2:.1f}"'
            f' y="{top - 1}">term {term}</text>'
        )


def _find_term_end(
    elected: EventLine, all_events: Sequence[EventLine], scale: _TimeScale
) -> int:
    for event in all_events:
        if event.timestamp <= elected.timestamp:
            continue
        own_end = event.instance == elected.instance and event.name in (
            "LEADER_STEPPED_DOWN",
            "DAEMON_STARTED",
            "DAEMON_STOPPED",
        )
        if own_end or event.name == "LEADER_ELECTED":
            return event.timestamp.milliseconds
    return scale.end


@dataclass(slots=True)
class _Cluster:
    first: EventLine
    group: EventGroup
    x: float
    count: int = 0


def _draw_marks(
    events: Sequence[EventLine], scale: _TimeScale, top: int
) -> Iterator[str]:
    clusters: dict[tuple[int, str, str], _Cluster] = {}
    for event in events:
        x = scale.to_x(event.timestamp.milliseconds)
        key = (int(x // CLUSTER_PIXELS), event.name, event.level)
        cluster = clusters.setdefault(key, _Cluster(event, find_group(event), x))
        cluster.count += 1
    for cluster in clusters.values():
        yield _draw_cluster(cluster, top)


def _draw_cluster(cluster: _Cluster, top: int) -> str:
    event, group = cluster.first, cluster.group
    y = top + TERM_PIXELS + (group.row + 0.5) * ROW_PIXELS
    radius = MARK_PIXELS + min(2.0, cluster.count / 20)
    more = f" and {cluster.count - 1} more" if cluster.count > 1 else ""
    time = format_time(event.timestamp.milliseconds)
    label = _label_generation(event, cluster.x, y)
    title = escape(f"{time} {event.message} [{event.subject}]{more}")
    return (
        f'<circle class="mark {escape(event.level)}" data-group="{group.name}"'
        f' cx="{cluster.x:.1f}" cy="{y:.1f}" r="{radius:.1f}"'
        f' fill="{group.colour}"><title>{title}</title></circle>{label}'
    )


def _label_generation(event: EventLine, x: float, y: float) -> str:
    if event.name != "FOLDER_ACCEPTED":
        return ""
    generation = escape(str(event.attributes.get("generation", "?")))
    return (
        f'<text class="dim" data-group="configuration" x="{x + MARK_PIXELS + 2:.1f}"'
        f' y="{y + MARK_PIXELS:.1f}">{generation}</text>'
    )


def _draw_ticks(scale: _TimeScale, height: int) -> Iterator[str]:
    span = scale.end - scale.start
    fitting = [step for step in TICK_STEPS_MILLISECONDS if span / step <= MAX_TICKS]
    step = fitting[0] if fitting else span
    tick = scale.start - scale.start % step + step
    while tick <= scale.end:
        x = scale.to_x(tick)
        yield f'<line class="grid" x1="{x:.1f}" x2="{x:.1f}" y1="16" y2="{height}"/>'
        yield (
            f'<text class="dim" text-anchor="middle" x="{x:.1f}" y="11">'
            f"{format_time(tick)}</text>"
        )
        tick += step
