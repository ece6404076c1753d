"""Actions that the fleet logic requests from the platform, and their reports."""

from typing import Literal

import msgspec

from gypsumwalk.bounds import Count, RunNumber, TaskName
from gypsumwalk.declaration_records import Resources

__all__ = [
    "ACTIONS",
    "UNCLEAR",
    "AdviceReport",
    "AskAdvice",
    "EndKind",
    "EndedRun",
    "InstanceReport",
    "ListMachines",
    "MachineInfo",
    "MachineList",
    "MachineReport",
    "MaintainMachine",
    "MoveMachine",
    "OrderReport",
    "PaceRun",
    "RenewLease",
    "RunningTask",
    "StartRun",
    "StopRun",
]


UNCLEAR = "unclear"
"""Reason of an answer that does not tell whether an order was carried out."""


class RenewLease(msgspec.Struct, frozen=True, tag=True):
    """Renew the lease that covers all runs on an instance, and list these runs.

    Attributes
    ----------
    instance : str
        Identifier that the instance must have.
    address : str
        ``host:port`` of the instance.
    fence : int
        Number that is higher for each later term of the leader, and within a term for
        each later life of an instance.
    acknowledged : int
        Number of the latest end that the instance may forget, 0 for none.
    lease_until : int or None
        Expiry of the lease on the instance's clock, in milliseconds; None only lists.
    wait : float
        Seconds that the instance may wait for a run to end before it answers.
    """

    instance: str
    address: str
    fence: int
    acknowledged: int
    lease_until: int | None
    wait: float


class StartRun(msgspec.Struct, frozen=True, tag=True):
    """Start one run of a task."""

    instance: str
    address: str
    fence: int
    task: str
    run: int
    spec: str
    lease_until: int
    checkpoint: str = ""
    ticket: str = ""


class StopRun(msgspec.Struct, frozen=True, tag=True):
    """Stop one run of a task; a start of it that arrives later is refused."""

    instance: str
    address: str
    fence: int
    task: str
    run: int


class PaceRun(msgspec.Struct, frozen=True, tag=True):
    """Limit one run to a share of its full speed, in percent."""

    instance: str
    address: str
    fence: int
    task: str
    run: int
    percent: int


class ListMachines(msgspec.Struct, frozen=True, tag=True):
    """List the machines of the fleet."""


class MoveMachine(msgspec.Struct, frozen=True, tag=True):
    """Move a machine to the pool of another service; all its runs end."""

    machine: str
    service: str
    holder: str
    fence: int


class MaintainMachine(msgspec.Struct, frozen=True, tag=True):
    """Take a machine down for maintenance in a wave; all its runs end."""

    machine: str
    wave: int
    holder: str
    fence: int


class AskAdvice(msgspec.Struct, frozen=True, tag=True):
    """Request tickets for a step from the advice service."""

    step: str
    instances: list[str]


class RunningTask(msgspec.Struct, frozen=True, array_like=True):
    """A run that an instance lists as running.

    Attributes
    ----------
    task : str
        Name of the task.
    run : int
        Number of the run.
    checkpoint : str
        Latest checkpoint.
    percent : int
        Current share of its full speed in percent; 100 at full speed.
    load : int
        Tail latency in milliseconds for a task with a latency target, otherwise the
        processors in use, in thousandths of a core.
    """

    task: TaskName
    run: RunNumber
    checkpoint: str = ""
    percent: Count = 100
    load: Count = 0


EndKind = Literal["done", "failed", "stopped", "lapsed", "broken", "alone"]
"""How a run ended, in the words of the instances."""


class EndedRun(msgspec.Struct, frozen=True, array_like=True):
    """An ended run that an instance lists until its end is acknowledged."""

    number: Count
    task: TaskName
    run: RunNumber
    kind: EndKind
    checkpoint: str = ""


class InstanceReport(msgspec.Struct, frozen=True):
    """Run list of an instance at the time of its answer.

    Attributes
    ----------
    clock : int
        The instance's clock, in milliseconds.
    born : int
        Start of its life (incarnation), in milliseconds since the epoch; 0 if not
        reported.
    running : list of RunningTask
        Runs that are going on.
    ended : list of EndedRun
        Ended runs whose end is not acknowledged.
    refused : str
        ``fence`` if the instance has seen a higher fence, ``identity`` if another
        instance answered, otherwise empty.
    unread_runs : int
        Number of entries of runs that are going on which could not be read; 1 if the
        answer has no list of them.
    unread_ends : int
        Number of entries of ended runs which could not be read, likewise.
    """

    clock: int = 0
    born: int = 0
    running: list[RunningTask] = []
    ended: list[EndedRun] = []
    refused: str = ""
    unread_runs: int = 0
    unread_ends: int = 0


class OrderReport(msgspec.Struct, frozen=True):
    """Answer of an instance to a start, a stop or a change of pace.

    Attributes
    ----------
    clock : int
        The instance's clock, in milliseconds; 0 if not reported.
    born : int
        Start of its life, in milliseconds since the epoch; 0 if not reported.
    refused : str
        Empty if the order was carried out, otherwise ``fence``, ``old``, ``late``,
        ``room``, ``ticket``, ``identity``, ``busy`` or ``malformed``, or ``UNCLEAR`` if
        the answer does not tell whether it was carried out, or is yet to be.
    detail : str
        What the answer was instead of one that names the reason, for the log.
    """

    clock: int = 0
    born: int = 0
    refused: str = ""
    detail: str = ""


class MachineInfo(msgspec.Struct, frozen=True):
    """A machine of the fleet.

    Attributes
    ----------
    machine : str
        Identifier.
    service : str
        Service whose pool it belongs to.
    state : str
        ``up``, ``moving``, ``maintenance`` or ``down``.
    data_centre : str
        Data centre in which it is located.
    labels : list of str
        Its labels.
    capacity : Resources
        Resources that it offers.
    instance : str
        Instance that runs on it; empty if none.
    """

    machine: str
    service: str
    state: str
    data_centre: str = ""
    labels: list[str] = []
    capacity: Resources = Resources()
    instance: str = ""


class MachineList(msgspec.Struct, frozen=True):
    """Machines of the fleet.

    Attributes
    ----------
    machines : list of MachineInfo
        The machines.
    is_complete : bool
        Whether these are all machines; False if some entries could not be read.
    """

    machines: list[MachineInfo]
    is_complete: bool = True


class MachineReport(msgspec.Struct, frozen=True):
    """Answer to an order on a machine.

    ``refused`` is empty if the order was carried out, otherwise ``fence``, ``busy``,
    ``wave``, ``limit`` or ``malformed``.
    """

    refused: str = ""


class AdviceReport(msgspec.Struct, frozen=True):
    """Ticket of each instance that may run the step, and their validity in seconds."""

    tickets: dict[str, str]
    validity: float


ACTIONS = (
    RenewLease,
    StartRun,
    StopRun,
    PaceRun,
    ListMachines,
    MoveMachine,
    MaintainMachine,
    AskAdvice,
)
