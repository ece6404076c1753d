"""Answers to operators' calls that propose a command to the replicated log."""

from gypsumwalk.effects import Answer
from gypsumwalk.inputs import ProposalOutcome, ProposalStatus
from gypsumwalk.problems import Outcome, ProblemType, refuse
from gypsumwalk.state import Rejected

__all__ = ["answer_outcome"]


def answer_outcome(outcome: ProposalOutcome) -> Answer:
    """Return the answer to a call whose proposal has an outcome.

    Parameters
    ----------
    outcome : ProposalOutcome
        Outcome of the proposal.

    Returns
    -------
    Answer
        Answer to the call.
    """
    match outcome.status:
        case ProposalStatus.COMMITTED:
            return Answer(200, outcome.result)
        case ProposalStatus.REJECTED:
            rejected = outcome.result
            detail = rejected.detail if isinstance(rejected, Rejected) else ""
            return refuse(ProblemType.CONFLICT, Outcome.NOT_RUN, detail)
        case ProposalStatus.NOT_COMMITTED:
            return refuse(ProblemType.NO_QUORUM, Outcome.NOT_RUN)
    return refuse(ProblemType.OUTCOME_UNKNOWN, Outcome.UNKNOWN)
