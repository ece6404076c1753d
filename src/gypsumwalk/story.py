"""Story of one job: every event that touched it, and what happened around it."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from gypsumwalk.eventlines import EventLine
from gypsumwalk.events import Event
from gypsumwalk.timeline import Timeline, render_text

__all__ = ["Story", "render_story", "tell_story"]

MILLISECONDS = 1000

AROUND_MILLISECONDS = 3000
"""Time before the first event in which a cause may lie; callers wait for 3 s."""

EVENTS_OF_INSTANCES = frozenset(
    event.name
    for event in (
        Event.INSTANCE_SILENT,
        Event.INSTANCE_READ,
        Event.INSTANCE_DOWN,
        Event.RUNS_LOST,
        Event.FLEET_FENCED,
    )
)
"""Events of an instance's life that explain how the runs on it fared."""

EVENTS_OF_SYSTEM = frozenset(
    event.name
    for event in (
        Event.LEADER_ELECTED,
        Event.LEADER_STEPPED_DOWN,
        Event.FLEET_TAKEN_OVER,
        Event.DISK_FAILED,
    )
)
"""Events that let every job wait."""


@dataclass(frozen=True, slots=True)
class Story:
    """What the logs say of one job.

    Attributes
    ----------
    job : str
        Identifier of the job.
    timeline : Timeline
        Events of the job, of the instances that ran it while they did, and of the
        system's leadership meanwhile, in order.
    waited : float or None
        Seconds from its acceptance to its first start, None if either is missing.
    starts : int
        Starts sent.
    ends : dict of str to int
        Number of ends by kind.
    refusals : dict of str to int
        Number of answers with a refusal, by status and reason.
    """

    job: str
    timeline: Timeline
    waited: float | None
    starts: int
    ends: dict[str, int]
    refusals: dict[str, int]

    def to_builtins(self) -> dict[str, Any]:
        """Return the story as plain values, for JSON."""
        return {
            "job": self.job,
            "waited": self.waited,
            "starts": self.starts,
            "ends": self.ends,
            "refusals": self.refusals,
            "events": msgspec.to_builtins(self.timeline.events),
        }


def tell_story(whole: Timeline, job: str) -> Story:
    """Select what touches a job.

    Parameters
    ----------
    whole : Timeline
        Events of all daemons.
    job : str
        Identifier of the job.

    Returns
    -------
    Story
        Its story; without events if no daemon knew the job.
    """
    own = [event for event in whole.events if _is_of_job(event, job)]
    events = _add_surroundings(whole.events, own)
    timeline = Timeline(tuple(events), whole.files, whole.malformed)
    accepted = [event for event in own if _is_acceptance(event)]
    started = [event for event in own if event.name == Event.RUN_STARTED.name]
    waited = None
    if accepted and started:
        first = started[0].timestamp.milliseconds
        waited = (first - accepted[0].timestamp.milliseconds) / MILLISECONDS
    ended = [event for event in own if event.name == Event.RUN_ENDED.name]
    refused = [event for event in own if _is_refusal(event)]
    return Story(
        job=job,
        timeline=timeline,
        waited=waited,
        starts=len(started),
        ends=dict(Counter(str(event.attributes.get("kind")) for event in ended)),
        refusals=dict(Counter(event.message for event in refused)),
    )


def render_story(story: Story) -> Sequence[str]:
    """Return a story as lines of text: a summary, then its events.

    Parameters
    ----------
    story : Story
        The story.

    Returns
    -------
    Sequence of str
        The lines.
    """
    if not story.timeline.events:
        return [f'no event names job "{story.job}"']
    waited = "unknown" if story.waited is None else f"{story.waited:.3f} s"
    ends = ", ".join(f"{count} {kind}" for kind, count in story.ends.items()) or "none"
    lines = [
        f"job {story.job}",
        f"  wait for the first start: {waited}",
        f"  starts: {story.starts}; ends: {ends}",
    ]
    lines += [f"  {count} x {text}" for text, count in story.refusals.items()]
    return [*lines, "", *render_text(story.timeline)]


def _is_of_job(event: EventLine, job: str) -> bool:
    return event.subject == job or event.subject.startswith(f"{job}.")


def _is_acceptance(event: EventLine) -> bool:
    decided = event.name == Event.FLEET_CALL_DECIDED.name
    return decided and event.attributes.get("status") == 200


def _is_refusal(event: EventLine) -> bool:
    status = event.attributes.get("status")
    return isinstance(status, int) and status >= 400


def _add_surroundings(
    events: Sequence[EventLine], own: Sequence[EventLine]
) -> list[EventLine]:
    if not own:
        return []
    first = own[0].timestamp.milliseconds - AROUND_MILLISECONDS
    last = own[-1].timestamp.milliseconds
    lives = {event.attributes["life"] for event in own if "life" in event.attributes}
    mine = set(map(id, own))
    return [
        event
        for event in events
        if id(event) in mine
        or (first <= event.timestamp.milliseconds <= last and _explains(event, lives))
    ]


def _explains(event: EventLine, lives: set[Any]) -> bool:
    if event.name in EVENTS_OF_SYSTEM:
        return True
    return event.name in EVENTS_OF_INSTANCES and event.subject in lives
