"""Actions requested from the platform, and the reports that it returns."""

from enum import StrEnum

import msgspec

from gypsumwalk.endpoints import Audience, Endpoint

__all__ = [
    "ACTIONS",
    "ENDPOINTS",
    "REPORTS",
    "ActionDone",
    "ActionRequest",
    "ActionRefused",
    "CheckpointTask",
    "InstanceHealth",
    "ListTasks",
    "ProbeInstance",
    "RebootInstance",
    "RenewLeases",
    "ReportWorkers",
    "StartTask",
    "StopTask",
    "TaskKey",
    "TaskPhase",
    "TaskState",
    "TaskStates",
    "TaskUsage",
    "ThrottleTask",
    "WorkerReport",
    "decode_report",
]


class TaskKey(msgspec.Struct, frozen=True):
    """One attempt at running a job.

    Attributes
    ----------
    job_id : str
        The job.
    attempt : int
        Number of the attempt, from 1.
    """

    job_id: str
    attempt: int


class TaskPhase(StrEnum):
    """Phase of an attempt, as known to the platform."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    NEVER_STARTED = "never-started"
    """It has not started, and the platform rejects any later start of it."""
    LEASE_EXPIRED = "lease-expired"
    """The worker stopped it because its lease expired."""
    UNKNOWN = "unknown"
    """The phase is unknown because the worker does not answer."""


class TaskState(msgspec.Struct, frozen=True):
    """State of one attempt.

    Attributes
    ----------
    task : TaskKey
        The attempt.
    phase : TaskPhase
        Current phase.
    result : str
        Complete result of an attempt that ended.
    checkpoint : str
        Name of the latest checkpoint, or empty.
    """

    task: TaskKey
    phase: TaskPhase
    result: str = ""
    checkpoint: str = ""


class StartTask(msgspec.Struct, frozen=True, tag=True):
    """Start an attempt on an instance, under a lease.

    Attributes
    ----------
    task : TaskKey
        The attempt.
    instance : str
        Instance that runs it.
    lease_seconds : float
        Duration of the lease; the worker stops the attempt when it expires.
    command : str
        Command to run.
    checkpoint : str
        Checkpoint to resume from, or empty.
    """

    task: TaskKey
    instance: str
    lease_seconds: float
    command: str = ""
    checkpoint: str = ""


class StopTask(msgspec.Struct, frozen=True, tag=True):
    """Stop an attempt, and reject any later start of it."""

    task: TaskKey


class CheckpointTask(msgspec.Struct, frozen=True, tag=True):
    """Take a checkpoint of an attempt; ``TaskStates`` names it."""

    task: TaskKey


class ThrottleTask(msgspec.Struct, frozen=True, tag=True):
    """Limit an attempt to a fraction of its processors.

    Attributes
    ----------
    task : TaskKey
        The attempt.
    fraction : float
        Fraction of its declared processors that it may use; 1 removes the limit.
    """

    task: TaskKey
    fraction: float


class RenewLeases(msgspec.Struct, frozen=True, tag=True):
    """Renew unexpired leases, and report the state of each attempt.

    Attributes
    ----------
    tasks : list of TaskKey
        The attempts.
    lease_seconds : float
        Duration of each lease from its renewal.
    """

    tasks: list[TaskKey]
    lease_seconds: float


class RebootInstance(msgspec.Struct, frozen=True, tag=True):
    """Reboot an instance."""

    instance: str


class ProbeInstance(msgspec.Struct, frozen=True, tag=True):
    """Check that an instance is up by running a short task on it."""

    instance: str


class ListTasks(msgspec.Struct, frozen=True, tag=True):
    """List the attempts that run on an instance."""

    instance: str


class ActionDone(msgspec.Struct, frozen=True, tag=True):
    """The platform carried out an action."""


class ActionRefused(msgspec.Struct, frozen=True, tag=True):
    """The platform refused an action, which had no effect.

    Attributes
    ----------
    reason : str
        Human-readable reason.
    """

    reason: str


class TaskStates(msgspec.Struct, frozen=True, tag=True):
    """States of the attempts named in an action."""

    tasks: list[TaskState]


class InstanceHealth(msgspec.Struct, frozen=True, tag=True):
    """Result of a probe.

    Attributes
    ----------
    instance : str
        The instance.
    healthy : bool
        Whether the instance is up and ran the probe.
    boots : int
        Boot count of the instance.
    """

    instance: str
    healthy: bool
    boots: int = 0


ACTIONS = (
    StartTask,
    StopTask,
    CheckpointTask,
    ThrottleTask,
    RenewLeases,
    RebootInstance,
    ProbeInstance,
    ListTasks,
)

REPORTS = (ActionDone, ActionRefused, TaskStates, InstanceHealth)


Action = (
    StartTask
    | StopTask
    | CheckpointTask
    | ThrottleTask
    | RenewLeases
    | RebootInstance
    | ProbeInstance
    | ListTasks
)
Report = ActionDone | ActionRefused | TaskStates | InstanceHealth


class ActionRequest(msgspec.Struct, frozen=True):
    """Body of a call to the platform.

    Attributes
    ----------
    token : str
        Idempotency key: a repeated token returns the first report.
    action : msgspec.Struct
        One of ``ACTIONS``.
    """

    token: str
    action: Action


def decode_report(content: bytes) -> msgspec.Struct:
    """Validate the platform's answer to a call.

    Parameters
    ----------
    content : bytes
        JSON text.

    Returns
    -------
    msgspec.Struct
        One of ``REPORTS``.
    """
    report: msgspec.Struct = msgspec.json.decode(content, type=Report)
    return report


class TaskUsage(msgspec.Struct, frozen=True):
    """Delayed measurement of the resources that an attempt uses.

    Attributes
    ----------
    task : TaskKey
        The attempt.
    processors : float
        Cores in use, averaged over the reporting period.
    memory_gb : float
        Peak memory use in gigabytes.
    """

    task: TaskKey
    processors: float
    memory_gb: float


class WorkerReport(msgspec.Struct, frozen=True):
    """Heartbeat of one worker, with delayed usage measurements.

    Attributes
    ----------
    instance : str
        Instance that the worker runs on.
    boots : int
        Boot count of the instance.
    usage : list of TaskUsage
        Usage of the attempts that it runs.
    ended : list of TaskState
        Attempts that ended recently.
    """

    instance: str
    boots: int = 0
    usage: list[TaskUsage] = []
    ended: list[TaskState] = []


class ReportWorkers(msgspec.Struct, frozen=True, tag=True):
    """Reports of one or many workers, sent to any daemon.

    Attributes
    ----------
    workers : list of WorkerReport
        The reports.
    """

    workers: list[WorkerReport]


ENDPOINTS = (Endpoint("POST", "/v1/workers/report", ReportWorkers, Audience.TARGET),)
