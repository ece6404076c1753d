"""Table of the promises: the modules that implement each, and its tests.

``python -m tests._promise_table`` writes docs/PROMISES.md; a test checks that the page
is up to date.
"""

import pathlib
from dataclasses import dataclass

from tests._mutations import MUTATIONS
from tests._promise_checkers import (
    CHECKERS,
    CONFIGURATION_SECONDS,
    DETECTION_SECONDS,
    KEY_SECONDS,
    LEAVING_SECONDS,
)

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "PROMISES.md"


@dataclass(frozen=True)
class Promise:
    """One promise of the brief."""

    checker: str
    modules: tuple[str, ...]
    scenarios: tuple[str, ...]
    bound: str
    partition: str


PROMISES = [
    Promise(
        "budgets",
        ("pools", "waves", "wave_controller", "heartbeats"),
        (
            "budgets-wave",
            "second-loss-after-repair",
            "rack-lost-in-wave",
            "reboot-never-returns",
            "wave-paused-and-aborted",
            "wave-over-restarts",
            "two-waves-at-once",
            "wave-with-leader-cut-off",
            "wave-with-rack-and-daemon-lost",
            "platform-cut-off",
        ),
        f"A loss is detected within {DETECTION_SECONDS:g} s "
        "(`heartbeats.UNRESPONSIVE_SECONDS`, one heartbeat interval and one check "
        "interval); until then a reboot may begin that the loss would have prevented.",
        "Without a quorum no drain is granted and no reboot begins; an instance whose "
        "heartbeats do not reach the leader counts as unavailable.",
    ),
    Promise(
        "pools",
        ("pools", "jobs", "job_part"),
        (
            "pools-one-per-instance",
            "job-worker-lost",
            "job-with-worker-and-leader-lost",
            "worker-fails-everything",
        ),
        "None: pool membership changes only through the log, after the instance is "
        "confirmed empty.",
        "Without a quorum no instance moves and no job is placed; running tasks "
        "continue until their leases expire.",
    ),
    Promise(
        "keys",
        ("keys", "consensus"),
        (
            "keys-withdrawn",
            "key-rotated",
            "pause-with-key-withdrawn",
            "open-queue-in-partition",
            "clocks-apart",
        ),
        f"{KEY_SECONDS:g} s after the withdrawal is answered: a daemon checks keys "
        "against a view that is at most `keys.FRESH_SECONDS` old, on clocks whose "
        "rates differ by at most `keys.CLOCK_DRIFT`.",
        "Once the view is older, work with a key is refused as `key-view-stale`, not "
        "run; open queues and work in progress continue.",
    ),
    Promise(
        "limits",
        ("quota_portions", "request_scheduler", "jobs"),
        (
            "limits-across-fleet",
            "limit-lowered",
            "limit-lowered-with-daemon-lost",
            "overload",
            "everything-at-once",
        ),
        "None for a raised limit; a lowered one applies to new work once it is in "
        "force. A target must end a request by the deadline sent with it, at the "
        "latest `request_attempts.GRACE_SECONDS` after it; an execution that continues "
        "longer is not counted.",
        "A daemon starts work only on units that it holds, for at most "
        "`quota_portions.LEASE_SECONDS` without a quorum. The units of a crashed "
        "daemon are reclaimed after `quota_accounts.RECLAIM_SECONDS`.",
    ),
    Promise(
        "answers",
        ("request_table", "request_attempts", "request_messages"),
        (
            "answers-own-and-whole",
            "answer-late-and-resent",
            "lossy-network",
            "overload",
        ),
        "None.",
        "An answer that cannot be delivered is kept for a resend with the same ticket.",
    ),
    Promise(
        "refusals",
        ("request_scheduler", "request_table", "requests"),
        (
            "refusals-true",
            "requests-cancelled-in-waves",
            "cancel-with-target-lost",
            "overload",
            "halves-cut-off",
        ),
        "None: an outcome that is not known is reported as unknown.",
        "A resend that cannot reach the home of its request is never answered "
        "`not run`.",
    ),
    Promise(
        "single-runs",
        ("request_table", "requests", "request_attempts", "jobs"),
        (
            "single-run-resent",
            "coop-late-booking",
            "resend-in-partition",
            "answer-late-and-resent",
            "cancel-with-target-lost",
            "job-worker-lost",
        ),
        "None. A resend counts as the same request only with its ticket.",
        "A request whose home daemon is lost is answered as outcome unknown.",
    ),
    Promise(
        "leaving",
        ("targets", "ownership", "slots"),
        ("leaving-target", "leaving-with-daemon-lost", "everything-at-once"),
        f"{LEAVING_SECONDS:g} s after the target's first announcement that it is "
        "leaving, or after it stops announcing: the owner stops at the announcement, "
        "and a target without one for `slots.ANNOUNCEMENT_TTL_SECONDS` gets nothing.",
        "The same: only the owner dispatches, and only while announcements of the "
        "target reach it.",
    ),
    Promise(
        "shutdowns",
        ("requests", "targets", "quota_portions"),
        ("shutdown-cuts-nothing", "shutdown-with-late-answer", "rolling-restart"),
        "Up to the deadline of the shutdown; a request cut off then is recorded and "
        "answered with its actual outcome.",
        "The same; requests that cannot be handed over are finished first.",
    ),
    Promise(
        "configuration",
        ("configuration", "consensus", "replica", "follower"),
        (
            "configuration-in-force",
            "operators-race",
            "race-in-partition",
            "leader-killed-while-applying",
            "restart-after-hundreds-of-changes",
            "disk-lost",
            "disk-full",
            "disk-lost-with-leader-killed",
            "one-way-partition",
            "daemon-cut-off-long",
            "paused-leader",
            "data-centre-lost",
            "snapshot-for-a-late-daemon",
        ),
        f"{CONFIGURATION_SECONDS:g} s on every daemon that reaches a quorum.",
        "A daemon that is cut off keeps its generation and never serves an older one; "
        "it catches up within the bound once it reaches a quorum.",
    ),
]


def render_page():
    """Return docs/PROMISES.md."""
    lines = [
        "# Promises",
        "",
        "Generated by `python -m tests._promise_table`; a test checks that it is up to",
        "date. Each section lists the modules that implement a promise, the scenarios",
        "in `tests/scenarios` that test it, and the mutations under which its checker",
        "in `tests/_promise_checkers.py` must fail (`tests/test_mutations.py`). All",
        "ten checkers run on every scenario.",
        "",
    ]
    for number, promise in enumerate(PROMISES, start=1):
        lines += _render(number, promise)
    return "\n".join(lines)


def _render(number, promise):
    text = CHECKERS[promise.checker].__doc__.splitlines()[0]
    modules = ", ".join(f"`gypsumwalk.{name}`" for name in promise.modules)
    mutations = [
        f"`{item.name}` (`{item.owner.__name__}.{item.method}`, in {item.scenario})"
        for item in MUTATIONS
        if item.checker == promise.checker
    ]
    return [
        f"## {number}. {text}",
        "",
        f"- Implemented by: {modules}",
        f"- Checker: `{promise.checker}`",
        f"- Tested by: {', '.join(promise.scenarios)}",
        f"- Mutation: {', '.join(mutations)}",
        f"- Bound: {promise.bound}",
        f"- In a partition: {promise.partition}",
        "",
    ]


def main():
    """Write the page."""
    PAGE.write_text(render_page(), encoding="utf-8")


if __name__ == "__main__":
    main()
