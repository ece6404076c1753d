"""Refusals that the handlers of API calls on a fleet have in common."""

from gypsumwalk.declaration_records import DeclaredQueue, DeclaredTeam
from gypsumwalk.declarations import DeclarationSection
from gypsumwalk.effects import Answer
from gypsumwalk.problems import Outcome, ProblemType, refuse
from gypsumwalk.views import LeadershipView

__all__ = [
    "LEADER_HEADER",
    "PROPOSAL_SECONDS",
    "RETRY_SECONDS",
    "authorize",
    "make_unknown_answer",
    "redirect_to_leader",
    "refuse_proposal",
    "refuse_withdrawn",
]

PROPOSAL_SECONDS = 2.0
"""Timeout of a proposal, so that a caller is answered within its limit of 3 s."""

RETRY_SECONDS = 1.0
"""Time in which a new leader is usually elected."""

LEADER_HEADER = "Gypsumwalk-Leader"
"""Response header with the leader's name, in answers of daemons that do not lead."""


def authorize(
    declarations: DeclarationSection, key: str, host: str, path: str
) -> tuple[DeclaredQueue, DeclaredTeam | None] | Answer:
    """Return the queue and the team of a caller's call.

    Parameters
    ----------
    declarations : DeclarationSection
        Declaration in force.
    key : str
        Key that the caller presented, empty for none.
    host : str
        Host that the caller used.
    path : str
        Path that the caller used.

    Returns
    -------
    tuple of (DeclaredQueue, DeclaredTeam or None) or Answer
        Queue and team, None without a known key; or the refusal of the call.
    """
    if declarations.current is None:
        return refuse(
            ProblemType.OVERLOADED,
            Outcome.NOT_RUN,
            "no declaration is in force yet",
            retry_after=RETRY_SECONDS,
        )
    queue = declarations.find_queue(host, path)
    if queue is None:
        detail = f'no queue serves "{host}{path}"'
        return refuse(ProblemType.NOT_FOUND, Outcome.NOT_RUN, detail)
    team = declarations.find_team(key)
    if team is None and not queue.public:
        detail = f'queue "{queue.name}" requires the key of a team'
        return refuse(ProblemType.UNAUTHENTICATED, Outcome.NOT_RUN, detail)
    return queue, team


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


def refuse_withdrawn(job: str, remaining: float) -> Answer:
    """Return the answer to the submission of a job that was cancelled before.

    Parameters
    ----------
    job : str
        Identifier of the job.
    remaining : float
        Time in seconds for which its submission is refused.

    Returns
    -------
    Answer
        The refusal.
    """
    return refuse(
        ProblemType.WITHDRAWN,
        Outcome.NOT_RUN,
        f'job "{job}" was cancelled before it was submitted',
        retry_after=remaining,
    )


def make_unknown_answer() -> Answer:
    """Return the answer to a call whose command may still be committed."""
    detail = "the command may have been committed; repeat the same call"
    return refuse(ProblemType.OUTCOME_UNKNOWN, Outcome.UNKNOWN, detail)
