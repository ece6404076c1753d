"""History of one job: its events and those that explain them, from all daemons."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from gypsumwalk.eventlines import EventLine
from gypsumwalk.events import Event
from gypsumwalk.timeline import Timeline, render_text

__all__ = ["JobHistory", "build_job_history", "render_job_history"]

MILLISECONDS_PER_SECOND = 1000

LOOKBACK_MILLISECONDS = 3000
"""Time before the first event from which context is included; callers wait 3 s."""

INSTANCE_EVENTS = frozenset(
    event.name
    for event in (
        Event.INSTANCE_SILENT,
        Event.INSTANCE_READ,
        Event.INSTANCE_DOWN,
        Event.RUNS_LOST,
        Event.ANSWER_OF_OTHER_LIFE,
        Event.FLEET_FENCED,
    )
)
"""Events of an instance that explain what happened to the runs on it."""

SYSTEM_EVENTS = frozenset(
    event.name
    for event in (
        Event.LEADER_ELECTED,
        Event.LEADER_STEPPED_DOWN,
        Event.FLEET_TAKEN_OVER,
        Event.DISK_FAILED,
        Event.DISK_RETURNED,
    )
)
"""Events that may delay every job."""


@dataclass(frozen=True, slots=True)
class JobHistory:
    """Events and summary of one job.

    Attributes
    ----------
    job : str
        Identifier of the job.
    timeline : Timeline
        Events of the job, of the instances that it ran on, and of the leadership and
        disks of daemons during that time, in order.
    wait_seconds : float or None
        Time from the acceptance to the first start, None if either is missing.
    starts : int
        Number of starts sent.
    ends : dict of str to int
        Number of ended runs by kind of end.
    refusals : dict of str to int
        Number of refusals by message.
    """

    job: str
    timeline: Timeline
    wait_seconds: float | None
    starts: int
    ends: dict[str, int]
    refusals: dict[str, int]

    def to_builtins(self) -> dict[str, Any]:
        """Return the history as plain values, for JSON."""
        return {
            "job": self.job,
            "waited": self.wait_seconds,
            "starts": self.starts,
            "ends": self.ends,
            "refusals": self.refusals,
            "events": msgspec.to_builtins(self.timeline.events),
        }


def build_job_history(whole: Timeline, job: str) -> JobHistory:
    """Select the events of a job, and summarize them.

    Parameters
    ----------
    whole : Timeline
        Events of all daemons.
    job : str
        Identifier of the job.

    Returns
    -------
    JobHistory
        The history, without events if no event names the job.
    """
    own = [event for event in whole.events if _is_of_job(event, job)]
    events = _add_context(whole.events, own)
    timeline = Timeline(tuple(events), whole.files, whole.malformed)
    accepted = [event for event in own if _is_acceptance(event)]
    started = [event for event in own if event.name == Event.RUN_STARTED.name]
    wait_seconds = None
    if accepted and started:
        first = started[0].timestamp.milliseconds
        wait_seconds = (
            first - accepted[0].timestamp.milliseconds
        ) / MILLISECONDS_PER_SECOND
    ended = [event for event in own if event.name == Event.RUN_ENDED.name]
    refused = [event for event in own if _is_refusal(event)]
    return JobHistory(
        job=job,
        timeline=timeline,
        wait_seconds=wait_seconds,
        starts=len(started),
        ends=dict(Counter(str(event.attributes.get("kind")) for event in ended)),
        refusals=dict(Counter(event.message for event in refused)),
    )


def render_job_history(history: JobHistory) -> Sequence[str]:
    """Return a history as lines of text: a summary, then the events.

    Parameters
    ----------
    history : JobHistory
        The history.

    Returns
    -------
    Sequence of str
        The lines.
    """
    if not history.timeline.events:
        return [f'no event names job "{history.job}"']
    wait_text = (
        "unknown" if history.wait_seconds is None else f"{history.wait_seconds:.3f} s"
    )
    ends = (
        ", ".join(f"{count} {kind}" for kind, count in history.ends.items()) or "none"
    )
    lines = [
        f"job {history.job}",
        f"  wait for the first start: {wait_text}",
        f"  starts: {history.starts}; ends: {ends}",
    ]
    lines += [f"  {count} x {text}" for text, count in history.refusals.items()]
    return [*lines, "", *render_text(history.timeline)]


def _is_of_job(event: EventLine, job: str) -> bool:
    return event.subject == job or event.subject.startswith(f"{job}.")


def _is_acceptance(event: EventLine) -> bool:
    decided = event.name == Event.FLEET_CALL_DECIDED.name
    return decided and event.attributes.get("status") == 200


def _is_refusal(event: EventLine) -> bool:
    status = event.attributes.get("status")
    return isinstance(status, int) and status >= 400


def _add_context(
    events: Sequence[EventLine], own: Sequence[EventLine]
) -> list[EventLine]:
    if not own:
        return []
    first = own[0].timestamp.milliseconds - LOOKBACK_MILLISECONDS
    last = own[-1].timestamp.milliseconds
    incarnations = {
        event.attributes["life"] for event in own if "life" in event.attributes
    }
    own_ids = set(map(id, own))
    return [
        event
        for event in events
        if id(event) in own_ids
        or (
            first <= event.timestamp.milliseconds <= last
            and _explains(event, incarnations)
        )
    ]


def _explains(event: EventLine, incarnations: set[Any]) -> bool:
    if event.name in SYSTEM_EVENTS:
        return True
    return event.name in INSTANCE_EVENTS and event.subject in incarnations
