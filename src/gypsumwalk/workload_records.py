"""Jobs of steps and tasks, and the commands that change them."""

from enum import StrEnum
from typing import NamedTuple

import msgspec

from gypsumwalk.declaration_records import Resources

__all__ = [
    "AcceptWorkload",
    "CancelWorkload",
    "EndRuns",
    "Placement",
    "PlaceRuns",
    "RegisterInstance",
    "RemoveInstance",
    "RegisteredInstance",
    "RunEnd",
    "RunEndKind",
    "Step",
    "TaskKey",
    "TaskRecord",
    "Workload",
    "WorkloadState",
]


class TaskKey(NamedTuple):
    """Names one task of a job.

    Attributes
    ----------
    job : str
        Identifier of the job.
    occurrence : int
        Repetition of a scheduled job, 0 for others.
    step : int
        Number of the step.
    number : int
        Number of the task in its step.
    """

    job: str
    occurrence: int
    step: int
    number: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.number}"


class WorkloadState(StrEnum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class RunEndKind(StrEnum):
    """How one run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease-expired"
    GANG_BROKEN = "gang-broken"
    GANG_TIMEOUT = "gang-timeout"
    LOST = "lost"
    """It can't be running any more, and its instance did not report an end."""


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """Tasks of one kind within a job.

    Attributes
    ----------
    count : int
        Number of tasks.
    need : Resources
        What each task takes.
    estimate : float
        Rough length of a task, in seconds.
    after : list of int
        Earlier steps that have to be done first.
    gang : bool
        Whether its tasks work only together.
    rack_sensitive : bool
        Whether its tasks are slower when spread over racks.
    label : str
        Label that the instance must have; empty for none.
    data_rack : str
        Rack that holds the data; empty for none.
    max_per_instance : int
        Most tasks of an occurrence on one instance; 0 for no bound.
    duplicates : bool
        Whether copies of a task may run at the same time.
    checkpoints : bool
        Whether its tasks save their progress.
    lasting : bool
        Whether its tasks run until the job is cancelled.
    image : str
        What the tasks run; those of one image behave alike.
    latency_target : float
        Tail latency that its tasks should keep, in seconds; 0 for none.
    filler : bool
        Whether its tasks use only processors that others leave unused.
    max_unavailable : int
        Most tasks that may be unavailable by the system's own actions; -1: no bound.
    """

    count: int
    need: Resources = Resources()
    estimate: float = 0.0
    after: list[int] = []
    gang: bool = False
    rack_sensitive: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_instance: int = 0
    duplicates: bool = False
    checkpoints: bool = False
    lasting: bool = False
    image: str = ""
    latency_target: float = 0.0
    filler: bool = False
    max_unavailable: int = -1

    @property
    def is_serving(self) -> bool:
        """Whether its tasks serve users of their own and should keep a tail latency."""
        return self.latency_target > 0


class TaskRecord(msgspec.Struct, array_like=True):
    """What is known of a task that was placed at least once.

    Attributes
    ----------
    run : int
        Number of its latest run.
    failures : int
        Runs that ended by a failure.
    done : bool
        Whether a run ended well.
    checkpoint : str
        Latest checkpoint; empty for none.
    placed : dict of int to str
        Instance life of each run that may be going on.
    """

    run: int = 0
    failures: int = 0
    done: bool = False
    checkpoint: str = ""
    placed: dict[int, str] = {}


class Workload(msgspec.Struct):
    """A job as accepted, and how far it has come.

    Attributes
    ----------
    job : str
        Identifier that the caller chose.
    queue : str
        Queue that it was handed in to.
    service : str
        Service of the queue at that time.
    team : str
        Team whose key came with it; empty on a public queue without one.
    spec : str
        What the tasks are to do, handed on as it is.
    steps : list of Step
        Its steps.
    first_run : float
        Time in seconds since the epoch at which occurrence 0 is due.
    interval : float
        Seconds between occurrences.
    occurrences : int
        How often the steps run.
    max_attempts : int
        Failed runs after which a task has failed for good; 0 for no bound.
    accepted : float
        Time in seconds at which it was accepted.
    ended : float
        Time in seconds at which it ended, or 0.
    state : WorkloadState
        Its state.
    tasks : dict
        Tasks that were placed, by occurrence, step and index.
    done : dict
        Number of tasks done, by occurrence and step.
    """

    job: str
    queue: str
    service: str
    team: str
    spec: str
    steps: list[Step]
    first_run: float = 0.0
    interval: float = 0.0
    occurrences: int = 1
    max_attempts: int = 0
    accepted: float = 0.0
    ended: float = 0.0
    state: WorkloadState = WorkloadState.QUEUED
    tasks: dict[tuple[int, int, int], TaskRecord] = {}
    done: dict[tuple[int, int], int] = {}

    @property
    def is_over(self) -> bool:
        """Whether no task of it will be placed any more."""
        return self.state not in (WorkloadState.QUEUED, WorkloadState.RUNNING)

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Tell whether all tasks of a step have ended well."""
        return self.done.get((occurrence, step), 0) >= self.steps[step].count

    def find_checkpoint(self, task: TaskKey) -> str:
        """Return the checkpoint that the next run of a task resumes from.

        The members of a gang resume from one checkpoint, as any one stands for all.
        """
        step = self.steps[task.step]
        numbers = range(step.count) if step.gang else [task.number]
        for number in numbers:
            record = self.tasks.get((task.occurrence, task.step, number))
            if record is not None and record.checkpoint:
                return record.checkpoint
        return ""


class AcceptWorkload(msgspec.Struct, frozen=True, tag=True):
    """Command: accept a job; the same identifier again changes nothing."""

    workload: Workload


class CancelWorkload(msgspec.Struct, frozen=True, tag=True):
    """Command: cancel a job."""

    job: str


class Placement(msgspec.Struct, frozen=True, array_like=True):
    """Decision that a run of a task goes to one life of an instance."""

    task: TaskKey
    run: int
    life: str


class PlaceRuns(msgspec.Struct, frozen=True, tag=True):
    """Command: note placements before any of them is sent.

    Attributes
    ----------
    term : int
        Term of the leader that placed them; an earlier one changes nothing.
    placements : list of Placement
        The placements.
    """

    term: int
    placements: list[Placement]


class RunEnd(msgspec.Struct, frozen=True, array_like=True):
    """End of one run."""

    task: TaskKey
    run: int
    kind: RunEndKind
    checkpoint: str = ""


class EndRuns(msgspec.Struct, frozen=True, tag=True):
    """Command: note ends before they are acknowledged to the instance."""

    ends: list[RunEnd]


class RegisteredInstance(msgspec.Struct, frozen=True):
    """One life of an instance, as it announced itself.

    Attributes
    ----------
    instance : str
        Identifier; a restart may keep it.
    born : int
        Start of this life, in milliseconds since the epoch.
    service : str
        Service that it runs.
    address : str
        ``host:port`` that it listens on.
    data_centre : str
        Data centre that it stands in.
    capacity : Resources
        What it offers.
    labels : list of str
        Its labels; the last one names its rack.
    machine : str
        Machine under it, where the instance names it.
    draining : bool
        Whether it is about to leave.
    """

    instance: str
    born: int
    service: str
    address: str
    data_centre: str
    capacity: Resources
    labels: list[str] = []
    machine: str = ""
    draining: bool = False

    @property
    def life(self) -> str:
        """Identifier of this life."""
        return f"{self.instance}@{self.born}"

    @property
    def rack(self) -> str:
        """Rack that it stands in, empty if unknown."""
        return self.labels[-1] if self.labels else ""


class RegisterInstance(msgspec.Struct, frozen=True, tag=True):
    """Command: note a new life of an instance, or a change of it."""

    instance: RegisteredInstance


class RemoveInstance(msgspec.Struct, frozen=True, tag=True):
    """Command: forget a life of an instance; its runs have ended with it.

    Attributes
    ----------
    life : str
        The life.
    left : bool
        Whether it has ended for good; a silent one may come back.
    """

    life: str
    left: bool = True
