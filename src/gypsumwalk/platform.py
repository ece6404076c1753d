"""Actions that the platform is asked for, and the reports that it returns."""

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
    """Where an attempt stands, as the platform knows it."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    NEVER_STARTED = "never-started"
    """It has not started, and the platform refuses to start it from now on."""
    LEASE_EXPIRED = "lease-expired"
    """Its worker stopped it, as the lease was not renewed."""
    UNKNOWN = "unknown"
    """The platform can't tell now, as the worker does not answer."""


class TaskState(msgspec.Struct, frozen=True):
    """State of one attempt.

    Attributes
    ----------
    task : TaskKey
        The attempt.
    phase : TaskPhase
        Where it stands.
    result : str
        Whole result of an attempt that ended.
    checkpoint : str
        Latest checkpoint, or empty.
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
        Seconds after which the worker stops it unless the lease is renewed.
    command : str
        What to run.
    checkpoint : str
        Checkpoint to go on from, or empty.
    """

    task: TaskKey
    instance: str
    lease_seconds: float
    command: str = ""
    checkpoint: str = ""


class StopTask(msgspec.Struct, frozen=True, tag=True):
    """Stop an attempt, and refuse to start it from now on."""

    task: TaskKey


class CheckpointTask(msgspec.Struct, frozen=True, tag=True):
    """Take a checkpoint of an attempt; ``TaskStates`` names it."""

    task: TaskKey


class ThrottleTask(msgspec.Struct, frozen=True, tag=True):
    """Hold an attempt to a part of its processors.

    Attributes
    ----------
    task : TaskKey
        The attempt.
    fraction : float
        Part of its declared processors that it may use, 1 for no throttle.
    """

    task: TaskKey
    fraction: float


class RenewLeases(msgspec.Struct, frozen=True, tag=True):
    """Renew leases that have not expired, and tell how each attempt stands.

    Attributes
    ----------
    tasks : list of TaskKey
        The attempts.
    lease_seconds : float
        Seconds from the renewal to the end of each lease.
    """

    tasks: list[TaskKey]
    lease_seconds: float


class RebootInstance(msgspec.Struct, frozen=True, tag=True):
    """Reboot an instance."""

    instance: str


class ProbeInstance(msgspec.Struct, frozen=True, tag=True):
    """Tell whether an instance is up, by a cheap task that ends at once."""

    instance: str


class ListTasks(msgspec.Struct, frozen=True, tag=True):
    """Tell which attempts an instance runs."""

    instance: str


class ActionDone(msgspec.Struct, frozen=True, tag=True):
    """The platform carried out an action."""


class ActionRefused(msgspec.Struct, frozen=True, tag=True):
    """The platform refused an action, which had no effect.

    Attributes
    ----------
    reason : str
        Sentence for a person.
    """

    reason: str


class TaskStates(msgspec.Struct, frozen=True, tag=True):
    """States of the attempts that an action named."""

    tasks: list[TaskState]


class InstanceHealth(msgspec.Struct, frozen=True, tag=True):
    """What a probe found.

    Attributes
    ----------
    instance : str
        The instance.
    healthy : bool
        Whether it is up and ran the probe.
    boots : int
        How often it has booted.
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
    """Lagged measurement of what an attempt uses.

    Attributes
    ----------
    task : TaskKey
        The attempt.
    processors : float
        Cores in use, mean over the period reported.
    memory_gb : float
        Most memory in use, in gigabytes.
    """

    task: TaskKey
    processors: float
    memory_gb: float


class WorkerReport(msgspec.Struct, frozen=True):
    """Heartbeat of one worker, with its lagged usage.

    Attributes
    ----------
    instance : str
        Instance that the worker stands for.
    boots : int
        How often the instance has booted.
    usage : list of TaskUsage
        Usage of the attempts that it runs.
    ended : list of TaskState
        Attempts that ended lately.
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
