"""Refusals that the handlers of API calls on a fleet have in common."""

from gypsumwalk.effects import Answer
from gypsumwalk.problems import Outcome, ProblemType, refuse
from gypsumwalk.views import LeadershipView

__all__ = [
    "LEADER_HEADER",
    "PROPOSAL_SECONDS",
    "RETRY_SECONDS",
    "make_unknown_answer",
    "redirect_to_leader",
    "refuse_proposal",
]

PROPOSAL_SECONDS = 2.0
"""Timeout of a proposal, so that a caller is answered within its limit of 3 s."""

RETRY_SECONDS = 1.0
"""Time in which a new leader is usually elected."""

LEADER_HEADER = "Gypsumwalk-Leader"
"""Response header with the leader's name, in answers of daemons that do not lead."""


def redirect_to_leader(leadership: LeadershipView) -> Answer:
    """Return the answer of a daemon that does not lead, with the leader's name."""
    answer = refuse(
        ProblemType.NOT_LEADER,
        Outcome.NOT_RUN,
        "another daemon is the leader",
        retry_after=RETRY_SECONDS,
    )
    headers = {**answer.headers, LEADER_HEADER: leadership.leader}
    return Answer(answer.status, answer.body, headers=headers)


def refuse_proposal(leadership: LeadershipView, now: float) -> Answer:
    """Return the answer to a call whose command will never be committed."""
    if not leadership.holds_lease(now):
        return redirect_to_leader(leadership)
    return refuse(
        ProblemType.OVERLOADED,
        Outcome.NOT_RUN,
        "too many commands are pending",
        retry_after=RETRY_SECONDS,
    )


def make_unknown_answer() -> Answer:
    """Return the answer to a call whose command may still be committed."""
    detail = "the command may have been committed; repeat the same call"
    return refuse(ProblemType.OUTCOME_UNKNOWN, Outcome.UNKNOWN, detail)
