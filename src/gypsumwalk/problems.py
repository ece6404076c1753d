"""Refusals of calls as problem documents of RFC 9457."""

from enum import StrEnum
from math import ceil

import msgspec

from gypsumwalk.effects import Answer

__all__ = ["Outcome", "Problem", "ProblemType", "refuse"]

PROBLEM_MEDIA_TYPE = "application/problem+json"


class Outcome(StrEnum):
    """Known outcome of the request or job that a call concerns."""

    NOT_RUN = "not run"
    IN_PROGRESS = "in progress"
    RAN = "ran"
    UNKNOWN = "outcome unknown"


class ProblemType(StrEnum):
    """Type of a refusal, the last path segment of ``type`` in the document."""

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
    WITHDRAWN = "withdrawn"
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
    ProblemType.WITHDRAWN: 503,
    ProblemType.INVALID_DECLARATION: 422,
    ProblemType.CONFLICT: 409,
    ProblemType.INVALID_FOLDER: 422,
    ProblemType.NEVER_RUNS: 422,
    ProblemType.TOO_LARGE: 413,
    ProblemType.INTERNAL: 500,
}


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Problem document of RFC 9457.

    Attributes
    ----------
    type : str
        URI reference of the type of the refusal.
    title : str
        Type of the refusal, in words.
    status : int
        HTTP status code.
    outcome : Outcome
        Known outcome of the request.
    detail : str
        Human-readable explanation.
    errors : list of str
        Individual errors, if there are several.
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
    """Return the answer to a refused call.

    Parameters
    ----------
    kind : ProblemType
        Type of the refusal.
    outcome : Outcome
        Known outcome of the request; ``NOT_RUN`` only if that is certain.
    detail : str
        Human-readable explanation.
    errors : list of str, optional
        Individual errors, if there are several.
    retry_after : float, optional
        Seconds after which the caller may retry.

    Returns
    -------
    Answer
        The answer.
    """
    status = STATUSES[kind]
    headers = {}
    if retry_after is not None:
        # Rounded up, as a caller that returns too early is refused again; computed
        # times differ from whole seconds by rounding errors.
        headers["Retry-After"] = str(max(1, ceil(round(retry_after, 3))))
    problem = Problem(
        type=f"/problems/{kind.value}",
        title=kind.value.replace("-", " "),
        status=status,
        outcome=outcome,
        detail=detail,
        errors=errors or [],
    )
    return Answer(status, problem, content_type=PROBLEM_MEDIA_TYPE, headers=headers)
