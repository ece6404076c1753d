"""Records of jobs, their commands and the life cycle that their chart gives."""

from enum import StrEnum

import msgspec

from gypsumwalk.platform import TaskPhase
from gypsumwalk.reasons import Reason
from gypsumwalk.statecharts import load_chart

__all__ = [
    "CancelJob",
    "ConfirmEmpty",
    "EndJob",
    "JobEvent",
    "JobRecord",
    "JobState",
    "PlaceJob",
    "RefuseJob",
    "StartedJob",
    "SubmitJob",
    "follow_job",
]


class JobState(StrEnum):
    """States of ``charts/job.toml``."""

    WAITING = "waiting"
    PLACED = "placed"
    RUNNING = "running"
    CANCELLING = "cancelling"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"
    """The worker was lost, and whether the job ran to its end is not known."""


class JobEvent(StrEnum):
    """Events of ``charts/job.toml``."""

    PLACE = "place"
    START = "start"
    REQUEUE = "requeue"
    SUCCEED = "succeed"
    FAIL = "fail"
    LOSE = "lose"
    CANCEL = "cancel"
    FINISH_CANCEL = "finish_cancel"


def follow_job(state: JobState, event: JobEvent) -> JobState | None:
    """Return the state that an event leads to, or None if it is refused.

    Parameters
    ----------
    state : JobState
        State before.
    event : JobEvent
        The event.

    Returns
    -------
    JobState or None
        State after.
    """
    after = load_chart("job").follow(state.value, event.value)
    return None if after is None else JobState(after)


class SubmitJob(msgspec.Struct, frozen=True, tag=True):
    """Take in a job; the same job again changes nothing.

    Attributes
    ----------
    job_id : str
        Identifier that the caller chose.
    team : str
        Team that it runs for, empty on a queue open to all.
    queue : str
        Queue that it was handed to.
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

    job_id: str
    team: str
    queue: str
    processors: float = 1.0
    memory_gb: float = 1.0
    accelerators: int = 0
    run_seconds: float = 60.0
    repeatable: bool = False
    urgent: bool = False
    command: str = ""
    max_attempts: int = 4


class PlaceJob(msgspec.Struct, frozen=True, tag=True):
    """Assign a waiting job to an instance, as one attempt.

    Attributes
    ----------
    job_id : str
        The job.
    attempt : int
        Number of the attempt, one more than the last.
    instance : str
        The instance.
    reason : str
        Why this instance.
    """

    job_id: str
    attempt: int
    instance: str
    reason: str = ""


class StartedJob(msgspec.Struct, frozen=True, tag=True):
    """Note that the platform started an attempt."""

    job_id: str
    attempt: int


class EndJob(msgspec.Struct, frozen=True, tag=True):
    """Note that an attempt can't be running any more.

    Attributes
    ----------
    job_id : str
        The job.
    attempt : int
        Number of the attempt.
    phase : TaskPhase
        How it ended; ``LEASE_EXPIRED`` also after the loss of its worker.
    result : str
        Whole result.
    checkpoint : str
        Latest checkpoint, or empty.
    blame : bool
        Whether the attempt counts against the job; false where the worker or an
        operator is the cause.
    detail : str
        Sentence for a person.
    """

    job_id: str
    attempt: int
    phase: TaskPhase
    result: str = ""
    checkpoint: str = ""
    blame: bool = True
    detail: str = ""


class CancelJob(msgspec.Struct, frozen=True, tag=True):
    """Cancel a job; one that has ended stays as it is."""

    job_id: str


class RefuseJob(msgspec.Struct, frozen=True, tag=True):
    """End a waiting job that can never run.

    Attributes
    ----------
    job_id : str
        The job.
    reason : str
        Why it can never run.
    """

    job_id: str
    reason: str


class ConfirmEmpty(msgspec.Struct, frozen=True, tag=True):
    """Note that a draining instance runs no job any more."""

    instance: str


class JobRecord(msgspec.Struct):
    """What the replicated state keeps of one job.

    Attributes
    ----------
    spec : SubmitJob
        The job as it was handed in.
    state : JobState
        Where it stands in its life cycle.
    submitted_at : float
        Time in seconds at which it was taken in.
    attempt : int
        Number of the latest attempt, 0 before the first.
    failures : int
        Attempts that counted against it.
    excused : int
        Attempts that failed and were not blamed on it.
    losses : int
        Attempts that ended with the loss of their worker or of their lease.
    instance : str
        Instance of the attempt in progress, or empty.
    placed_at : float
        Time in seconds at which that attempt was placed.
    started_at : float
        Time in seconds at which it was first known to run, 0 before.
    not_before : float
        Time in seconds before which it is not placed again.
    ended_at : float
        Time in seconds at which it ended, 0 before.
    ever_started : bool
        Whether some attempt may have started.
    checkpoint : str
        Checkpoint that the next attempt goes on from.
    result : str
        Whole result.
    reasons : list of Reason
        Why it is where it is.
    """

    spec: SubmitJob
    state: JobState
    submitted_at: float
    attempt: int = 0
    failures: int = 0
    excused: int = 0
    losses: int = 0
    instance: str = ""
    placed_at: float = 0.0
    started_at: float = 0.0
    not_before: float = 0.0
    ended_at: float = 0.0
    ever_started: bool = False
    checkpoint: str = ""
    result: str = ""
    reasons: list[Reason] = []

    @property
    def in_progress(self) -> bool:
        """Whether an attempt may be running."""
        return bool(self.instance)
