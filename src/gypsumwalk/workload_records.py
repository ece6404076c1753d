"""Records of jobs, tasks and instances, and the commands that change them."""

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
    "name_life",
    "split_life",
]


class TaskKey(NamedTuple):
    """Key of one task of a job.

    Attributes
    ----------
    job : str
        Identifier of the job.
    occurrence : int
        Number of the occurrence of a recurring job, 0 for other jobs.
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
    """State of a job as reported to callers."""

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
    """The run can no longer be running, but its instance reported no end."""


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """A step of a job: a number of equal tasks.

    Attributes
    ----------
    count : int
        Number of tasks.
    need : Resources
        Resources that each task needs.
    estimate : float
        Estimated duration of a task, in seconds.
    after : list of int
        Numbers of the earlier steps that must be done first.
    gang : bool
        Whether its tasks can run only all together.
    rack_sensitive : bool
        Whether its tasks are slower when spread over racks.
    label : str
        Label that the instance must have; empty for none.
    data_rack : str
        Rack that holds the data; empty for none.
    max_per_instance : int
        Maximum number of tasks of an occurrence on one instance; 0 for no limit.
    duplicates : bool
        Whether several runs of a task may go on at the same time.
    checkpoints : bool
        Whether its tasks save checkpoints.
    lasting : bool
        Whether its tasks run until the job is cancelled.
    image : str
        Image that the tasks run; tasks of one image have the same load profile.
    latency_target : float
        Upper bound that the tail latency of its tasks should stay below, in seconds;
        0 for none.
    filler : bool
        Whether its tasks use only processors that other tasks leave idle.
    max_unavailable : int
        Maximum number of tasks that actions of the system itself may make unavailable
        at a time; -1 for no limit.
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
    def has_latency_target(self) -> bool:
        """Whether its tasks serve requests of users and have a tail latency target."""
        return self.latency_target > 0


class TaskRecord(msgspec.Struct, array_like=True):
    """State of a task that has been placed at least once.

    Attributes
    ----------
    run : int
        Number of its latest run.
    failures : int
        Number of runs that failed.
    done : bool
        Whether a run has completed.
    checkpoint : str
        Latest checkpoint; empty for none.
    placed : dict of int to str
        Life (incarnation) of the instance of each run that may be going on.
    settled : int
        Number of the latest run whose start is settled; see ``ConfirmRuns``.
    """

    run: int = 0
    failures: int = 0
    done: bool = False
    checkpoint: str = ""
    placed: dict[int, str] = {}
    settled: int = 0


class Workload(msgspec.Struct):
    """An accepted job and its progress.

    Attributes
    ----------
    job : str
        Identifier chosen by the caller.
    queue : str
        Queue that it was submitted to.
    service : str
        Service of the queue at that time.
    team : str
        Team whose key authenticated it; empty on a public queue without a key.
    spec : str
        Specification of the work, passed to the instances unchanged.
    steps : list of Step
        Its steps.
    first_run : float
        Time in seconds since the epoch at which occurrence 0 is due.
    interval : float
        Seconds between occurrences.
    occurrences : int
        Number of occurrences.
    max_attempts : int
        Number of failed runs of a task after which the job fails; 0 for no limit.
    accepted : float
        Time in seconds at which it was accepted.
    ended : float
        Time in seconds at which it ended, 0 before.
    state : WorkloadState
        Its state.
    tasks : dict
        Tasks that have been placed, by occurrence, step and number.
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
    def has_ended(self) -> bool:
        """Whether the job has completed, failed or been cancelled."""
        return self.state not in (WorkloadState.QUEUED, WorkloadState.RUNNING)

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Tell whether all tasks of a step have completed."""
        return self.done.get((occurrence, step), 0) >= self.steps[step].count

    def find_checkpoint(self, task: TaskKey) -> str:
        """Return the checkpoint that the next run of a task resumes from.

        The members of a gang share a checkpoint: the first one found is used for all.
        """
        step = self.steps[task.step]
        numbers = range(step.count) if step.gang else [task.number]
        for number in numbers:
            record = self.tasks.get((task.occurrence, task.step, number))
            if record is not None and record.checkpoint:
                return record.checkpoint
        return ""


class AcceptWorkload(msgspec.Struct, frozen=True, tag=True):
    """Command: accept a job; idempotent by its identifier."""

    workload: Workload


class CancelWorkload(msgspec.Struct, frozen=True, tag=True):
    """Command: cancel a job, or refuse its submission for a while if there is none.

    Attributes
    ----------
    job : str
        Its identifier.
    queue : str
        Queue that the caller named; empty in commands of earlier versions, which
        refuse no submission.
    team : str
        Team that cancels it, empty on a public queue.
    """

    job: str
    queue: str = ""
    team: str = ""


class Placement(msgspec.Struct, frozen=True, array_like=True):
    """Assignment of a run of a task to one life (incarnation) of an instance."""

    task: TaskKey
    run: int
    life: str


class PlaceRuns(msgspec.Struct, frozen=True, tag=True):
    """Command: record placements before any start is sent.

    Attributes
    ----------
    term : int
        Term of the leader that placed them; a command of an earlier term is rejected.
    placements : list of Placement
        The placements.
    """

    term: int
    placements: list[Placement]


class ConfirmRuns(msgspec.Struct, frozen=True, tag=True):
    """Command: record runs that go on and whose start is settled.

    No copy of the start is on its way any more, so such a run ends with its instance.

    Attributes
    ----------
    placements : list of Placement
        Placements of the runs.
    """

    placements: list[Placement]


class RunEnd(msgspec.Struct, frozen=True, array_like=True):
    """End of one run."""

    task: TaskKey
    run: int
    kind: RunEndKind
    checkpoint: str = ""


class EndRuns(msgspec.Struct, frozen=True, tag=True):
    """Command: record ends before they are acknowledged to the instance."""

    ends: list[RunEnd]


class RegisteredInstance(msgspec.Struct, frozen=True):
    """One life (incarnation) of an instance, as the instance announced it.

    Attributes
    ----------
    instance : str
        Identifier; may be the same after a restart.
    born : int
        Start of this life, in milliseconds since the epoch.
    service : str
        Service that it belongs to.
    address : str
        ``host:port`` that it listens on.
    data_centre : str
        Data centre in which it is located.
    capacity : Resources
        Resources that it offers.
    labels : list of str
        Its labels; the last one names its rack.
    machine : str
        Machine that it runs on; empty if not announced.
    draining : bool
        Whether it is draining and gets no new runs.
    cold_until : float
        Time in seconds until which it is slow after its start, as found when the life
        was registered; 0 if it was not.
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
    cold_until: float = 0.0

    @property
    def life(self) -> str:
        """Identifier of this life."""
        return name_life(self.instance, self.born)

    @property
    def rack(self) -> str:
        """Rack in which it is located; empty if unknown."""
        return self.labels[-1] if self.labels else ""


def name_life(instance: str, born: int) -> str:
    """Return the identifier of a life of an instance, as ``split_life`` reads it."""
    return f"{instance}@{born}"


def split_life(life: str) -> tuple[str, int]:
    """Return the identifier of an instance and the start of one of its lives.

    Parameters
    ----------
    life : str
        Identifier of the life, as ``RegisteredInstance.life``.

    Returns
    -------
    tuple of str and int
        Identifier of the instance, and the start in milliseconds since the epoch.
    """
    instance, _, born = life.rpartition("@")
    return instance, int(born)


class RegisterInstance(msgspec.Struct, frozen=True, tag=True):
    """Command: register a life of an instance, or update its registration.

    Attributes
    ----------
    instance : RegisteredInstance
        The life.
    has_answered : bool
        Whether the life has answered since it was heard from, so that it has not ended.
    """

    instance: RegisteredInstance
    has_answered: bool = False


class RemoveInstance(msgspec.Struct, frozen=True, tag=True):
    """Command: remove a life of an instance; its runs have ended with it.

    Attributes
    ----------
    life : str
        The life.
    left : bool
        Whether it has ended for good; False if it does not answer and may return.
    reason: str
        How its end is known, for the log.
    is_departing : bool
        Whether its runs may go on until their leases expire; set by earlier versions
        only.
    term : int
        Term of the leader that proposes it, 0 if the life has ended. The command is
        rejected after a placement of a later term: the life may have answered that
        leader, and have runs.
    """

    life: str
    left: bool = True
    reason: str = ""
    is_departing: bool = False
    term: int = 0
