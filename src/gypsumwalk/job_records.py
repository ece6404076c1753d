"""Job records, commands on jobs and the job life cycle."""

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
    "find_next_state",
]

JOB_CHART = load_chart("job")


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
    """The worker was lost; whether the job ran to completion is unknown."""


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


def find_next_state(state: JobState, event: JobEvent) -> JobState | None:
    """Return the state that an event leads to, or None if it is not allowed.

    Parameters
    ----------
    state : JobState
        Current state.
    event : JobEvent
        The event.

    Returns
    -------
    JobState or None
        Next state.
    """
    after = JOB_CHART.follow(state.value, event.value)
    return None if after is None else JobState(after)


class SubmitJob(msgspec.Struct, frozen=True, tag=True):
    """Accept a job; repeating the same job has no effect.

    Attributes
    ----------
    job_id : str
        Identifier that the caller chose.
    team : str
        Team that the job runs for, empty on a queue open to all.
    queue : str
        Queue that the job was submitted to.
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
    """Place a waiting job on an instance as a new attempt.

    Attributes
    ----------
    job_id : str
        The job.
    attempt : int
        Number of the attempt, one higher than the last.
    instance : str
        The instance.
    reason : str
        Reason for the choice of the instance.
    """

    job_id: str
    attempt: int
    instance: str
    reason: str = ""


class StartedJob(msgspec.Struct, frozen=True, tag=True):
    """Record that the platform started an attempt."""

    job_id: str
    attempt: int


class EndJob(msgspec.Struct, frozen=True, tag=True):
    """Record that an attempt can no longer be running.

    Attributes
    ----------
    job_id : str
        The job.
    attempt : int
        Number of the attempt.
    phase : TaskPhase
        How it ended; ``LEASE_EXPIRED`` also if its worker was lost.
    result : str
        Full result.
    checkpoint : str
        Latest checkpoint, or empty.
    blame : bool
        Whether the attempt counts against the job; false if the worker or an
        operator caused its end.
    detail : str
        Human-readable detail.
    """

    job_id: str
    attempt: int
    phase: TaskPhase
    result: str = ""
    checkpoint: str = ""
    blame: bool = True
    detail: str = ""


class CancelJob(msgspec.Struct, frozen=True, tag=True):
    """Cancel a job; no effect on a job that has ended."""

    job_id: str


class RefuseJob(msgspec.Struct, frozen=True, tag=True):
    """Fail a waiting job that is unschedulable.

    Attributes
    ----------
    job_id : str
        The job.
    reason : str
        Why no instance can ever run it.
    """

    job_id: str
    reason: str


class ConfirmEmpty(msgspec.Struct, frozen=True, tag=True):
    """Record that no job is left on a draining instance."""

    instance: str


class JobRecord(msgspec.Struct):
    """Replicated record of one job.

    Attributes
    ----------
    spec : SubmitJob
        The job as submitted.
    state : JobState
        State in the life cycle.
    submitted_at : float
        Time in seconds at which it was accepted.
    attempt : int
        Number of the latest attempt, 0 before the first.
    failures : int
        Failed attempts that count against the job.
    excused : int
        Failed attempts that do not count against the job.
    losses : int
        Attempts that ended because their worker or lease was lost.
    instance : str
        Instance of the attempt in progress, or empty.
    placed_at : float
        Time in seconds at which the attempt was placed.
    started_at : float
        Time in seconds at which the attempt was first known to run, else 0.
    not_before : float
        Time in seconds until which the job backs off.
    ended_at : float
        Time in seconds at which the job ended, else 0.
    ever_started : bool
        Whether any attempt may have started.
    checkpoint : str
        Checkpoint that the next attempt resumes from.
    result : str
        Full result.
    reasons : list of Reason
        Recent state changes and their reasons, oldest first.
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
    def is_in_progress(self) -> bool:
        """Whether an attempt may be running."""
        return bool(self.instance)
