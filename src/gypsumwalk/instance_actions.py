"""Actions on instances and machines that decisions ask for, and their reports."""

import msgspec

from gypsumwalk.declaration_records import Resources

__all__ = [
    "ACTIONS",
    "AdviceReport",
    "AskAdvice",
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


class RenewLease(msgspec.Struct, frozen=True, tag=True):
    """Renew the lease of all that runs on an instance, and list its runs.

    Attributes
    ----------
    instance : str
        Identifier that the instance must have.
    address : str
        ``host:port`` of the instance.
    fence : int
        Term of the leader.
    acknowledged : int
        Number of the last end that is durable here.
    lease_until : int or None
        End of the lease on the instance's clock, in milliseconds; None renews nothing.
    wait : float
        Seconds that the instance may wait for an end before it answers.
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
    """Stop one run of a task, or refuse it if it comes later."""

    instance: str
    address: str
    fence: int
    task: str
    run: int


class PaceRun(msgspec.Struct, frozen=True, tag=True):
    """Let one run work at a share of its speed, in percent."""

    instance: str
    address: str
    fence: int
    task: str
    run: int
    percent: int


class ListMachines(msgspec.Struct, frozen=True, tag=True):
    """List the machines of the fleet."""


class MoveMachine(msgspec.Struct, frozen=True, tag=True):
    """Move a machine to the pool of another service; all that runs there ends."""

    machine: str
    service: str
    holder: str
    fence: int


class MaintainMachine(msgspec.Struct, frozen=True, tag=True):
    """Take a machine down for the maintenance of a wave; all that runs there ends."""

    machine: str
    wave: int
    holder: str
    fence: int


class AskAdvice(msgspec.Struct, frozen=True, tag=True):
    """Ask which instances may run a step."""

    step: str
    instances: list[str]


class RunningTask(msgspec.Struct, frozen=True, array_like=True):
    """A run that an instance lists as going on.

    Attributes
    ----------
    task : str
        Name of the task.
    run : int
        Number of the run.
    checkpoint : str
        Latest checkpoint.
    percent : int
        Share of its speed that it works at; 100 when it is at work.
    load : int
        Tail latency in milliseconds of a task with a latency target, otherwise the
        processors in use, in thousandths.
    """

    task: str
    run: int
    checkpoint: str = ""
    percent: int = 100
    load: int = 0


class EndedRun(msgspec.Struct, frozen=True, array_like=True):
    """An end that an instance lists until it is acknowledged."""

    number: int
    task: str
    run: int
    kind: str
    checkpoint: str = ""


class InstanceReport(msgspec.Struct, frozen=True):
    """Runs of an instance, as of its answer.

    Attributes
    ----------
    clock : int
        The instance's clock, in milliseconds.
    born : int
        Start of its life, in milliseconds since the epoch; 0 if it does not say.
    running : list of RunningTask
        What runs there.
    ended : list of EndedRun
        Ends that are not acknowledged.
    refused : str
        ``fence`` where a later leader was seen, ``identity`` where another instance
        answered, otherwise empty.
    """

    clock: int = 0
    born: int = 0
    running: list[RunningTask] = []
    ended: list[EndedRun] = []
    refused: str = ""


class OrderReport(msgspec.Struct, frozen=True):
    """Answer of an instance to a start, a stop or a change of pace.

    Attributes
    ----------
    clock : int
        The instance's clock, in milliseconds; 0 if it does not say.
    born : int
        Start of its life; 0 if it does not say.
    refused : str
        Empty where it was carried out; otherwise ``fence``, ``old``, ``late``,
        ``room``, ``ticket``, ``identity``, ``busy`` or ``malformed``.
    """

    clock: int = 0
    born: int = 0
    refused: str = ""


class MachineInfo(msgspec.Struct, frozen=True):
    """A machine of the fleet.

    Attributes
    ----------
    machine : str
        Identifier.
    service : str
        Service whose pool it is in.
    state : str
        ``up``, ``moving``, ``maintenance`` or ``down``.
    data_centre : str
        Data centre that it stands in.
    labels : list of str
        Its labels.
    capacity : Resources
        What it offers.
    instance : str
        Instance that runs on it, or empty.
    """

    machine: str
    service: str
    state: str
    data_centre: str = ""
    labels: list[str] = []
    capacity: Resources = Resources()
    instance: str = ""


class MachineList(msgspec.Struct, frozen=True):
    """All machines of the fleet."""

    machines: list[MachineInfo]


class MachineReport(msgspec.Struct, frozen=True):
    """Answer to an order on a machine.

    ``refused`` is empty where it was carried out; otherwise ``fence``, ``busy``,
    ``wave``, ``limit`` or ``malformed``.
    """

    refused: str = ""


class AdviceReport(msgspec.Struct, frozen=True):
    """Tickets by instance that may run the step, and their validity in seconds."""

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
