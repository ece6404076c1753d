"""Exit codes and error messages of failed commands."""

from dataclasses import dataclass, field

import msgspec

from gypsumwalk.drivers._actions import ExitCode
from gypsumwalk.drivers.client import Refused
from gypsumwalk.errors import (
    BadBoundary,
    BadFolder,
    OutcomeUnknown,
    SettingsInvalid,
    UnreachableDaemon,
)
from gypsumwalk.problems import Outcome, ProblemType

__all__ = ["Failure", "describe_failure"]

OUTCOME_CODES = {
    Outcome.NOT_RUN: ExitCode.REFUSED,
    Outcome.RAN: ExitCode.REFUSED,
    Outcome.IN_PROGRESS: ExitCode.IN_PROGRESS,
    Outcome.UNKNOWN: ExitCode.OUTCOME_UNKNOWN,
}
INPUT_PROBLEMS = frozenset({ProblemType.MALFORMED, ProblemType.INVALID_FOLDER})


@dataclass(frozen=True, slots=True)
class Failure:
    """Why a command failed.

    Attributes
    ----------
    exit_code : ExitCode
        Exit code of the program.
    kind : str
        Type of the error or problem.
    detail : str
        Human-readable description.
    outcome : Outcome
        Known outcome of the request or change.
    errors : list of str
        Single errors, if there are several.
    """

    exit_code: ExitCode
    kind: str
    detail: str
    outcome: Outcome
    errors: list[str] = field(default_factory=list)

    def to_json(self) -> str:
        """Return the failure as JSON."""
        return msgspec.json.encode(self).decode()

    def to_text(self) -> str:
        """Return the failure as lines of text."""
        head = f"gypsumwalk: {self.detail} ({self.kind}, {self.outcome.value})"
        return "\n".join([head, *(f"  {error}" for error in self.errors)])


def describe_failure(error: Exception) -> Failure:
    """Return the exit code and message for an error.

    Parameters
    ----------
    error : Exception
        The error.

    Returns
    -------
    Failure
        The failure.
    """
    kind = type(error).__name__
    match error:
        case SettingsInvalid() | BadFolder():
            return _describe_group(error, ExitCode.BAD_INPUT, Outcome.NOT_RUN)
        case ExceptionGroup():
            return _describe_group(error, ExitCode.FAULT, Outcome.UNKNOWN)
        case Refused():
            return _describe_refusal(error)
        case BadBoundary():
            return Failure(ExitCode.BAD_INPUT, kind, str(error), Outcome.NOT_RUN)
        case UnreachableDaemon():
            detail = _add_notes(f"no daemon accepted the call: {error}", error)
            return Failure(ExitCode.UNREACHABLE, kind, detail, Outcome.NOT_RUN)
        case OutcomeUnknown():
            text = f"the call was sent but not answered: {error}"
            detail = _add_notes(text, error)
            return Failure(ExitCode.OUTCOME_UNKNOWN, kind, detail, Outcome.UNKNOWN)
        case OSError():
            return Failure(ExitCode.BAD_INPUT, kind, str(error), Outcome.NOT_RUN)
        case _:
            return Failure(ExitCode.FAULT, kind, str(error), Outcome.UNKNOWN)


def _describe_refusal(error: Refused) -> Failure:
    problem = error.problem
    kind = problem.type.rpartition("/")[2]
    code = OUTCOME_CODES[problem.outcome]
    if problem.outcome is Outcome.NOT_RUN and kind in INPUT_PROBLEMS:
        code = ExitCode.BAD_INPUT
    detail = _add_notes(problem.detail or problem.title, error)
    return Failure(code, kind, detail, problem.outcome, problem.errors)


def _describe_group(
    group: ExceptionGroup[Exception], code: ExitCode, outcome: Outcome
) -> Failure:
    errors = [str(single) for single in _flatten(group)]
    detail = f"{len(errors)} errors" if len(errors) != 1 else "1 error"
    return Failure(code, type(group).__name__, detail, outcome, errors)


def _add_notes(text: str, error: Exception) -> str:
    return "; ".join([text, *getattr(error, "__notes__", [])])


def _flatten(group: ExceptionGroup[Exception]) -> list[Exception]:
    flat: list[Exception] = []
    for error in group.exceptions:
        flat += _flatten(error) if isinstance(error, ExceptionGroup) else [error]
    return flat
