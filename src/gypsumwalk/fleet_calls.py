"""API calls of callers, operators and instances on a fleet, and their answers."""

import msgspec

from gypsumwalk.declaration_records import Declaration
from gypsumwalk.workload_records import RegisteredInstance, Step, WorkloadState

__all__ = [
    "AnnounceInstanceCall",
    "CancelWorkloadCall",
    "CountWaitingCall",
    "DeclarationAnswer",
    "DescribeUpkeepCall",
    "DescribeWorkloadCall",
    "EvacuationsAnswer",
    "ExplainJobCall",
    "ExplainedJobAnswer",
    "ExplainedOrder",
    "ExplainedPlace",
    "ExplainedPlacement",
    "ExplainedWait",
    "FinishEvacuationCall",
    "LeaveInstanceCall",
    "ListEvacuationsCall",
    "PutDeclarationCall",
    "ReadDeclarationCall",
    "StartEvacuationCall",
    "StartUpkeepCall",
    "SubmitWorkloadCall",
    "UpkeepAnswer",
    "WaitingAnswer",
    "WorkloadAnswer",
]


class SubmitWorkloadCall(msgspec.Struct, frozen=True):
    """Caller's call: submit a job."""

    host: str
    path: str
    spec: str = ""
    steps: list[Step] = []
    first_run: float = 0.0
    interval: float = 0.0
    occurrences: int = 1


class DescribeWorkloadCall(msgspec.Struct, frozen=True):
    """Caller's call: read the state of a job."""

    host: str
    path: str


class CancelWorkloadCall(msgspec.Struct, frozen=True):
    """Caller's call: cancel a job."""

    host: str
    path: str


class CountWaitingCall(msgspec.Struct, frozen=True):
    """Caller's call: count the jobs of a queue that have not started."""

    host: str
    path: str


class PutDeclarationCall(msgspec.Struct, frozen=True):
    """Operator's call: put a declaration in force."""

    declaration: Declaration


class ReadDeclarationCall(msgspec.Struct, frozen=True):
    """Operator's call: read the declaration in force."""


class AnnounceInstanceCall(msgspec.Struct, frozen=True):
    """Instance's call: heartbeat with the registration of the instance.

    Attributes
    ----------
    registered : RegisteredInstance
        Registration without the time until which the instance is cold.
    sequence : int
        Number of the heartbeat.
    cold_remaining : float
        Time in seconds for which the instance is still slow after its start.
    """

    registered: RegisteredInstance
    sequence: int = 0
    cold_remaining: float = 0.0


class LeaveInstanceCall(msgspec.Struct, frozen=True):
    """Instance's call: deregister, as the instance stops."""

    instance: str
    born: int = 0


class StartUpkeepCall(msgspec.Struct, frozen=True):
    """Operator's call: start a maintenance wave with a duration and a concurrency."""

    wave: int
    machines: list[str]
    duration: float
    max_down: int


class DescribeUpkeepCall(msgspec.Struct, frozen=True):
    """Operator's call: read whether a wave is completed."""

    wave: int


class StartEvacuationCall(msgspec.Struct, frozen=True):
    """Operator's call: send no more work to a data centre."""

    data_centre: str


class FinishEvacuationCall(msgspec.Struct, frozen=True):
    """Operator's call: use an evacuated data centre again."""

    data_centre: str


class ListEvacuationsCall(msgspec.Struct, frozen=True):
    """Operator's call: list the evacuated data centres."""


class ExplainJobCall(msgspec.Struct, frozen=True):
    """Operator's call: explain where a job would go now, without submitting it."""

    host: str
    path: str
    steps: list[Step]


class WorkloadAnswer(msgspec.Struct, frozen=True):
    """State of a job."""

    state: WorkloadState


class WaitingAnswer(msgspec.Struct, frozen=True):
    """Number of jobs of a queue that have not started."""

    waiting: int


class DeclarationAnswer(msgspec.Struct, frozen=True):
    """The declaration in force, as the operator wrote it."""

    source: str


class UpkeepAnswer(msgspec.Struct, frozen=True):
    """Whether a wave is completed."""

    completed: bool


class EvacuationsAnswer(msgspec.Struct, frozen=True):
    """Names of the evacuated data centres in order."""

    data_centres: list[str]


class ExplainedPlace(msgspec.Struct, frozen=True):
    """Tasks that would start on one instance.

    Attributes
    ----------
    instance : str
        The instance.
    data_centre : str
        Its data centre.
    rack : str
        Its rack, empty if unknown.
    free_cores : float
        Free processors before the tasks start, in cores.
    tasks : int
        Number of the tasks.
    """

    instance: str
    data_centre: str
    rack: str
    free_cores: float
    tasks: int


class ExplainedWait(msgspec.Struct, frozen=True):
    """What tasks wait for.

    Attributes
    ----------
    reason : str
        The reason, a value of ``WaitReason``.
    instances : int
        Number of instances that it holds for, 0 if it is not one of instances.
    detail : str
        Further explanation, may be empty.
    """

    reason: str
    instances: int
    detail: str


class ExplainedPlacement(msgspec.Struct, frozen=True):
    """Where the tasks of the first step of a job would start.

    Attributes
    ----------
    tasks : int
        Number of the tasks.
    starting : int
        Number of those that would start now.
    places : list of ExplainedPlace
        Where these would start.
    waits : list of ExplainedWait
        What the others wait for.
    """

    tasks: int
    starting: int
    places: list[ExplainedPlace]
    waits: list[ExplainedWait]


class ExplainedOrder(msgspec.Struct, frozen=True):
    """Place of a job in the order under overload.

    Attributes
    ----------
    group : str
        Its group: selected, dropped, excess, dropped excess, late or expired.
    is_overloaded : bool
        Whether the ready work of the pool does not fit, so that the order decides.
    latest_start : float
        Seconds from now until the latest start with which it can be on time; negative
        if that time is over.
    """

    group: str
    is_overloaded: bool
    latest_start: float


class ExplainedJobAnswer(msgspec.Struct, frozen=True):
    """Where a job would go now, and why.

    Attributes
    ----------
    queue : str
        Queue that the declaration in force chooses; empty for none.
    service : str
        Service of the queue.
    team : str
        Team of the key; empty for none.
    accepted : bool
        Whether a submission would be accepted.
    status : int
        Status that it would be answered with.
    reason : str
        Reason of a refusal, or why nothing would change.
    retry_after : int
        Seconds after which a refused caller would be told to return, 0 for no time.
    placement : ExplainedPlacement or None
        Where its first step would start; None if the job is never run as described.
    order : ExplainedOrder or None
        Its place in the order under overload; None if that does not apply.
    completion : float or None
        Predicted seconds from now until it would be done; None if unknown.
    """

    queue: str = ""
    service: str = ""
    team: str = ""
    accepted: bool = False
    status: int = 200
    reason: str = ""
    retry_after: int = 0
    placement: ExplainedPlacement | None = None
    order: ExplainedOrder | None = None
    completion: float | None = None
