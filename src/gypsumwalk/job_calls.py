"""Calls on jobs, their answers and endpoints."""

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
    """Submit a job; repeating the same identifier and content has no effect.

    Attributes
    ----------
    job_id : str
        Identifier that the caller chose.
    queue : str
        Queue to submit to.
    processors : float
        Declared processors in cores.
    memory_gb : float
        Declared memory in gigabytes.
    accelerators : int
        Number of accelerators.
    run_seconds : float
        Declared run time in seconds.
    repeatable : bool
        Whether it may be started more than once.
    urgent : bool
        Whether it is placed before jobs that are not urgent.
    command : str
        Command line to run.
    max_attempts : int
        Failed attempts after which a repeatable job is not retried.
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
    """Return the status of a job, with its full result."""

    job_id: str


class CancelJobCall(msgspec.Struct, frozen=True):
    """Cancel a job."""

    job_id: str


class ExplainJob(msgspec.Struct, frozen=True):
    """Explain the current state of a job."""

    job_id: str


class JobStatus(msgspec.Struct, frozen=True):
    """Status of a job.

    Attributes
    ----------
    job_id : str
        The job.
    state : str
        State in the life cycle, as in ``charts/job.toml``.
    outcome : Outcome
        Whether the job ran, as far as is known.
    attempt : int
        Number of the latest attempt, 0 before the first.
    instance : str
        Instance of the attempt in progress, or empty.
    result : str
        Full result.
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
    """Return the status of a job.

    Parameters
    ----------
    record : JobRecord
        The job.

    Returns
    -------
    JobStatus
        The status; its outcome is ``NOT_RUN`` only if no attempt ever started.
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
