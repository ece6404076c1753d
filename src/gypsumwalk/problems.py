"""Refusals, as problem documents of RFC 9457, and what became of the request."""

from enum import StrEnum

import msgspec

from gypsumwalk.effects import Answer

__all__ = ["Outcome", "Problem", "ProblemType", "refuse"]

PROBLEM_MEDIA_TYPE = "application/problem+json"


class Outcome(StrEnum):
    """What became of the request or job that a call was about."""

    NOT_RUN = "not run"
    IN_PROGRESS = "in progress"
    RAN = "ran"
    UNKNOWN = "outcome unknown"


class ProblemType(StrEnum):
    """Type of a refusal, the last part of the problem document's ``type``."""

    MALFORMED = "malformed"
    NOT_FOUND = "not-found"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    KEY_VIEW_STALE = "key-view-stale"
    UPPER_LIMIT = "upper-limit"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    NO_TARGET = "no-target"
    TARGET_FAILED = "target-failed"
    CANCELLED = "cancelled"
    IN_PROGRESS = "in-progress"
    OUTCOME_UNKNOWN = "outcome-unknown"
    LEAVING = "leaving"
    NO_QUORUM = "no-quorum"
    NOT_LEADER = "not-leader"
    GONE = "gone"
    INVALID_DECLARATION = "invalid-declaration"
    CONFLICT = "conflict"
    INVALID_FOLDER = "invalid-folder"
    NEVER_RUNS = "never-runs"
    TOO_LARGE = "too-large"
    INTERNAL = "internal"


STATUSES = {
    ProblemType.MALFORMED: 400,
    ProblemType.NOT_FOUND: 404,
    ProblemType.UNAUTHENTICATED: 401,
    ProblemType.FORBIDDEN: 403,
    ProblemType.KEY_VIEW_STALE: 503,
    ProblemType.UPPER_LIMIT: 429,
    ProblemType.OVERLOADED: 503,
    ProblemType.DEADLINE: 504,
    ProblemType.NO_TARGET: 503,
    ProblemType.TARGET_FAILED: 502,
    ProblemType.CANCELLED: 409,
    ProblemType.IN_PROGRESS: 409,
    ProblemType.OUTCOME_UNKNOWN: 502,
    ProblemType.LEAVING: 503,
    ProblemType.NO_QUORUM: 503,
    ProblemType.NOT_LEADER: 503,
    ProblemType.GONE: 410,
    ProblemType.INVALID_DECLARATION: 422,
    ProblemType.CONFLICT: 409,
    ProblemType.INVALID_FOLDER: 422,
    ProblemType.NEVER_RUNS: 422,
    ProblemType.TOO_LARGE: 413,
    ProblemType.INTERNAL: 500,
}


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """A problem document.

    Attributes
    ----------
    type : str
        URI reference of the kind of refusal.
    title : str
        The kind in words.
    status : int
        HTTP status code.
    outcome : Outcome
        What became of the request.
    detail : str
        Sentence for a person.
    errors : list of str
        Each single error, where there are several.
    """

    type: str
    title: str
    status: int
    outcome: Outcome
    detail: str = ""
    errors: list[str] = []


def refuse(
    kind: ProblemType,
    outcome: Outcome,
    detail: str = "",
    *,
    errors: list[str] | None = None,
    retry_after: float | None = None,
) -> Answer:
    """Make the answer to a call that is refused.

    Parameters
    ----------
    kind : ProblemType
        Type of the refusal.
    outcome : Outcome
        What became of the request; ``NOT_RUN`` only when that is known.
    detail : str
        Sentence for a person.
    errors : list of str, optional
        Each single error, where there are several.
    retry_after : float, optional
        Seconds after which the caller may try again.

    Returns
    -------
    Answer
        The answer.
    """
    status = STATUSES[kind]
    headers = {}
    if retry_after is not None:
        headers["Retry-After"] = str(max(1, round(retry_after)))
    problem = Problem(
        type=f"/problems/{kind.value}",
        title=kind.value.replace("-", " "),
        status=status,
        outcome=outcome,
        detail=detail,
        errors=errors or [],
    )
    return Answer(status, problem, content_type=PROBLEM_MEDIA_TYPE, headers=headers)
