"""Calls of teams about jobs, and their answers."""

from typing import Annotated

import msgspec

from gypsumwalk.endpoints import Audience, BodyKind, Endpoint
from gypsumwalk.job_records import JobRecord, JobState
from gypsumwalk.problems import Outcome

__all__ = [
    "ENDPOINTS",
    "CancelJobCall",
    "DescribeJob",
    "ExplainJob",
    "JobStatus",
    "SubmitJobCall",
    "describe_job",
]

Identifier = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._:-]{1,128}$")]
Amount = Annotated[float, msgspec.Meta(ge=0.0, le=1e6)]
Count = Annotated[int, msgspec.Meta(ge=0, le=10_000)]
MAX_COMMAND_CHARACTERS = 4096


class SubmitJobCall(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Hand in a job; the same identifier and content again change nothing.

    Attributes
    ----------
    job_id : str
        Identifier that the caller chose.
    queue : str
        Queue to hand it to.
    processors : float
        Declared processors in cores.
    memory_gb : float
        Declared memory in gigabytes.
    accelerators : int
        Accelerators.
    run_seconds : float
        Declared run time in seconds.
    repeatable : bool
        Whether it may be started more than once.
    urgent : bool
        Whether it goes before jobs that are not.
    command : str
        What to run.
    max_attempts : int
        Most attempts of a repeatable job that fail or are lost.
    """

    job_id: Identifier
    queue: str
    processors: Amount = 1.0
    memory_gb: Amount = 1.0
    accelerators: Count = 0
    run_seconds: Amount = 60.0
    repeatable: bool = False
    urgent: bool = False
    command: Annotated[str, msgspec.Meta(max_length=MAX_COMMAND_CHARACTERS)] = ""
    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=100)] = 4


class DescribeJob(msgspec.Struct, frozen=True):
    """Tell how a job stands, with its whole result."""

    job_id: str


class CancelJobCall(msgspec.Struct, frozen=True):
    """Cancel a job."""

    job_id: str


class ExplainJob(msgspec.Struct, frozen=True):
    """Tell why a job stands so."""

    job_id: str


class JobStatus(msgspec.Struct, frozen=True):
    """How a job stands.

    Attributes
    ----------
    job_id : str
        The job.
    state : str
        Where it stands in its life cycle.
    outcome : Outcome
        What became of it.
    attempt : int
        Number of the latest attempt, 0 before the first.
    instance : str
        Instance of the attempt in progress, or empty.
    result : str
        Whole result.
    """

    job_id: str
    state: str
    outcome: Outcome
    attempt: int
    instance: str
    result: str


OUTCOMES = {
    JobState.WAITING: Outcome.IN_PROGRESS,
    JobState.PLACED: Outcome.IN_PROGRESS,
    JobState.RUNNING: Outcome.IN_PROGRESS,
    JobState.CANCELLING: Outcome.IN_PROGRESS,
    JobState.SUCCEEDED: Outcome.RAN,
    JobState.FAILED: Outcome.RAN,
    JobState.CANCELLED: Outcome.RAN,
    JobState.UNKNOWN: Outcome.UNKNOWN,
}


def describe_job(record: JobRecord) -> JobStatus:
    """Return how a job stands.

    Parameters
    ----------
    record : JobRecord
        The job.

    Returns
    -------
    JobStatus
        The status; ``NOT_RUN`` only if no attempt ever started.
    """
    outcome = OUTCOMES[record.state]
    if outcome is Outcome.RAN and not record.ever_started:
        outcome = Outcome.NOT_RUN
    return JobStatus(
        job_id=record.spec.job_id,
        state=record.state.value,
        outcome=outcome,
        attempt=record.attempt,
        instance=record.instance,
        result=record.result,
    )


ENDPOINTS = (
    Endpoint("POST", "/v1/jobs/submit", SubmitJobCall, Audience.CALLER),
    Endpoint("GET", "/v1/jobs/{job_id}", DescribeJob, Audience.CALLER, BodyKind.NONE),
    Endpoint(
        "POST",
        "/v1/jobs/{job_id}/cancel",
        CancelJobCall,
        Audience.CALLER,
        BodyKind.NONE,
    ),
    Endpoint(
        "GET", "/v1/jobs/{job_id}/why", ExplainJob, Audience.CALLER, BodyKind.NONE
    ),
)
