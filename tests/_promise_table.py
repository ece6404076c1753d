"""Table of the promises: what holds each of them, and what proves it.

``python -m tests._promise_table`` writes docs/PROMISES.md; a test compares it.
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
        f"A loss counts {DETECTION_SECONDS:g} s after it at the latest "
        "(`heartbeats.UNRESPONSIVE_SECONDS`, one report and one pass); until then a "
        "reboot may begin that the loss would have forbidden.",
        "Without a quorum no drain is granted and no reboot begins; an instance that "
        "the leader does not hear counts as unavailable.",
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
        "None: membership of a pool changes in the log only, after the instance is "
        "confirmed empty.",
        "Without a quorum no instance moves and no job is placed; running tasks go on "
        "until their leases run out.",
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
        f"{KEY_SECONDS:g} s after the withdrawal is answered: a daemon decides by keys "
        "that are at most `keys.FRESH_SECONDS` old, on clocks whose rates differ by at "
        "most `keys.CLOCK_DRIFT`.",
        "Cut off for longer, keyed work is refused as `key-view-stale`, not run; "
        "queues open to all and work in progress go on.",
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
        "None for a raised limit; a lowered one holds for new work once it is in "
        "force. A target must end a request at the deadline that it carries, and "
        "`request_attempts.GRACE_SECONDS` later at the latest: one that goes on is not "
        "counted.",
        "A daemon starts work on units that it holds, for at most "
        "`quota_portions.LEASE_SECONDS` without a quorum. The units of a daemon that "
        "crashed come back after `quota_accounts.RECLAIM_SECONDS`.",
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
        "An answer that can't be delivered is kept for a resend with the same ticket.",
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
        "None: where it is not known, the outcome is called unknown.",
        "A resend that can't reach the home of its request is never told `not run`.",
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
        "A request whose home is gone is answered as outcome unknown.",
    ),
    Promise(
        "leaving",
        ("targets", "ownership", "slots"),
        ("leaving-target", "leaving-with-daemon-lost", "everything-at-once"),
        f"{LEAVING_SECONDS:g} s after the target first says so, or after it falls "
        "silent: the owner stops at the word, and a target not heard for "
        "`slots.ANNOUNCEMENT_TTL_SECONDS` gets nothing.",
        "The same: only the owner sends, and it needs to hear the target.",
    ),
    Promise(
        "shutdowns",
        ("requests", "targets", "quota_portions"),
        ("shutdown-cuts-nothing", "shutdown-with-late-answer", "rolling-restart"),
        "Up to the deadline of the shutdown; what is cut then is recorded and answered "
        "truly.",
        "The same; what can't be handed over is finished first.",
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
        "A daemon that is cut off stays at its generation and never steps back; it "
        "catches up within the bound once it reaches a quorum.",
    ),
]


def render_page():
    """Return docs/PROMISES.md."""
    lines = [
        "# Promises",
        "",
        "Generated by `python -m tests._promise_table`; a test keeps it true. A part",
        "names the modules that hold a promise, the scenarios in `tests/scenarios`",
        "that attack it, and the mutation under which its checker in",
        "`tests/_promise_checkers.py` goes red (`tests/test_mutations.py`). Every",
        "scenario is judged by all ten checkers, whatever it attacks.",
        "",
    ]
    for number, promise in enumerate(PROMISES, start=1):
        lines += _render(number, promise)
    return "\n".join(lines)


def _render(number, promise):
    text = CHECKERS[promise.checker].__doc__.splitlines()[0]
    mutations = [
        f"`{item.name}` (`{item.owner.__name__}.{item.method}`, in {item.scenario})"
        for item in MUTATIONS
        if item.checker == promise.checker
    ]
    return [
        f"## {number}. {text}",
        "",
        f"- Held by: {', '.join(f'`gypsumwalk.{name}`' for name in promise.modules)}",
        f"- Checker: `{promise.checker}`",
        f"- Attacked by: {', '.join(promise.scenarios)}",
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
