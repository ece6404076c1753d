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
