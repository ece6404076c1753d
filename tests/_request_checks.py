"""Checks of the promises about requests, as observed by callers and targets.

They read only calls, answers and executions, and share no code with the decisions.
Each request of a run carries a unique body, ``team/number``.
"""

from collections import defaultdict

import msgspec

LEAVING_SECONDS = 2.0
"""Time after which a leaving target must get no new work."""
WITHDRAWN_SECONDS = 4.0
"""Time after which a withdrawn key must start no work."""
LOWERED_SECONDS = 0.1
"""Time in which a lowered limit must apply to new work."""
GRACE_SECONDS = 1.0
"""Time after the deadline by which a target must have ended a request."""
ANSWER_MARGIN_SECONDS = 3.0
"""Time after the deadline by which a call must be answered."""


def read_outcome(answer):
    """Return the outcome stated in an answer, or None."""
    if answer.status == 200:
        return "ran"
    if answer.body is not None:
        return getattr(answer.body, "outcome", None)
    return msgspec.json.decode(answer.payload).get("outcome")


def check_all(run):
    """Return the violations in a run as messages."""
    checks = (
        check_at_most_once,
        check_whole_answers,
        check_not_run,
        check_leaving,
        check_withdrawn,
        check_limits,
        check_slots,
        check_answered,
        check_shutdown,
    )
    return [problem for check in checks for problem in check(run)]


def check_at_most_once(run):
    """A request that is not repeatable runs at most once."""
    runs = run.world.targets.count_payload_runs()
    for payload, count in runs.items():
        if count > 1 and payload not in run.repeatable:
            yield f"{payload} is not repeatable and ran {count} times"


def check_whole_answers(run):
    """A caller gets the whole answer to its own request."""
    for call in run.calls:
        if call.answer is None or call.answer.status != 200:
            continue
        if call.answer.payload != b"answer to " + call.payload:
            yield f"{call.payload} was answered by {call.answer.payload}"


def check_not_run(run):
    """A request refused as "not run" has not run and never runs later."""
    ran = {item.payload for item in run.world.targets.executions}
    for call in run.calls:
        if call.answer is None:
            continue
        if read_outcome(call.answer) == "not run" and call.payload in ran:
            yield f"{call.payload} ran and was refused as not run"


def check_leaving(run):
    """A leaving target gets no new work after ``LEAVING_SECONDS``."""
    for item in run.world.targets.executions:
        since = run.left_at.get(item.target)
        if since is not None and item.started > since + LEAVING_SECONDS:
            late = item.started - since
            yield f"{item.target} got {item.payload} {late:.2f} s after leaving"


def check_withdrawn(run):
    """A withdrawn key starts no work after ``WITHDRAWN_SECONDS``."""
    for item in run.world.targets.executions:
        since = run.withdrawn_at.get(read_team(item.payload))
        if since is not None and item.started > since + WITHDRAWN_SECONDS:
            late = item.started - since
            yield f"{item.payload} started {late:.2f} s after its key was withdrawn"


def check_limits(run):
    """No team has more requests running than its upper limit."""
    for team, changes in run.limits.items():
        running = 0
        for at, change, payload in list_steps(run, team):
            running += change
            if change < 0:
                continue
            allowed = max(
                limit for since, limit in changes if is_in_force(since, at, changes)
            )
            if running > allowed:
                yield f"{payload} started as number {running} of {allowed} of {team}"


def is_in_force(since, at, changes):
    """Return whether a limit applied at a time or within ``LOWERED_SECONDS`` before."""
    if since > at:
        return False
    later = [start for start, _ in changes if since < start <= at - LOWERED_SECONDS]
    return not later


def list_steps(run, team):
    """Return starts and ends of a team's executions by time, ends first at a tie."""
    steps = []
    for item in run.world.targets.executions:
        if read_team(item.payload) == team:
            steps.append((item.started, 1, item.payload))
            steps.append((find_end(run, item), -1, item.payload))
    return sorted(steps)


def find_end(run, item):
    """Return when an execution ended, at the latest its deadline and the grace time."""
    ended = item.ended if item.ended is not None else float("inf")
    deadline = run.read_deadline(item.request_id, item.target, item.started)
    return min(ended, deadline + GRACE_SECONDS)


def check_slots(run):
    """No target runs more requests at once than it has slots."""
    steps = defaultdict(list)
    for item in run.world.targets.executions:
        steps[item.target].append((item.started, 1))
        steps[item.target].append((find_end(run, item), -1))
    for target, changes in steps.items():
        running = 0
        for at, change in sorted(changes):
            running += change
            if running > run.slots:
                since = at - run.started_at
                yield f"{target} ran {running} of {run.slots} at {since:.3f}"


def check_answered(run):
    """Every call is answered within its deadline and a margin."""
    for call in run.calls:
        if call.lost:
            continue
        if call.answered_at is None:
            yield f"{call.payload} sent to {call.to} was never answered"
            continue
        took = call.answered_at - call.sent_at
        if took > run.deadline_seconds + ANSWER_MARGIN_SECONDS:
            yield f"{call.payload} was answered after {took:.2f} s"


def check_shutdown(run):
    """A graceful shutdown interrupts no request in progress."""
    for name in run.shut_down:
        daemon = run.world.daemons[name]
        if not daemon.stopped:
            yield f"{name} did not stop"
        for call in run.calls:
            if call.to != name or not call.lost or daemon.exit_code != 0:
                continue
            if call.call_id in run.world.calls and not run.has_responded(call):
                yield f"{name} shut down without answering {call.payload}"


def read_team(payload):
    """Return the team named in a request body."""
    return payload.partition(b"/")[0].decode()
