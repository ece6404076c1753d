"""Records of a declaration: services, queues, teams and quotas of a fleet."""

from collections.abc import Iterator

import msgspec

__all__ = [
    "AdvicePolicy",
    "Declaration",
    "DeclaredQueue",
    "DeclaredService",
    "DeclaredTeam",
    "PutDeclaration",
    "Resources",
    "find_errors",
]


class Resources(msgspec.Struct, frozen=True):
    """Resources that an instance offers or a task requests.

    Attributes
    ----------
    cpu : int
        Processors, in thousandths of a core.
    memory : int
        Memory, in megabytes.
    accelerators : int
        Whole accelerators.
    """

    cpu: int = 0
    memory: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )

    def __mul__(self, count: int) -> "Resources":
        return Resources(
            self.cpu * count, self.memory * count, self.accelerators * count
        )

    def fits(self, free: "Resources") -> bool:
        """Return whether these resources fit into the free ones."""
        return (
            self.cpu <= free.cpu
            and self.memory <= free.memory
            and self.accelerators <= free.accelerators
        )


class AdvicePolicy(msgspec.Struct, frozen=True):
    """Processing times of an advice query and validity of its answer, in seconds."""

    decision: float
    per_instance: float
    validity: float


class DeclaredQueue(msgspec.Struct, frozen=True):
    """A queue of jobs, found by host and path prefix.

    Attributes
    ----------
    name : str
        Name of the queue.
    host : str
        Host name that callers use.
    prefix : str
        Path prefix that callers use.
    service : str
        Service whose instances run its tasks.
    timeout : float
        Longest time that a caller waits, in seconds.
    objective : float
        Time allowed on top of the work of a job, in seconds.
    stretch : float
        Allowed ratio of the duration of a job to the work on its critical path.
    priority : int
        Priority; 0 is the highest.
    max_attempts : int
        Failed runs after which a task has failed permanently; 0 for no limit.
    public : bool
        Whether callers may omit the key.
    advice : AdvicePolicy or None
        Policy of advice; None if every instance may run its steps.
    """

    name: str
    host: str
    prefix: str
    service: str
    timeout: float = 0.0
    objective: float = 0.0
    stretch: float = 1.0
    priority: int = 0
    max_attempts: int = 0
    public: bool = False
    advice: AdvicePolicy | None = None


class DeclaredService(msgspec.Struct, frozen=True):
    """A pool of instances that run the same software.

    Attributes
    ----------
    name : str
        Name of the service.
    standby : bool
        Whether its machines are switched off and cost nothing.
    guards_capacity : bool
        Whether its instances reject tasks that exceed their capacity.
    """

    name: str
    standby: bool = False
    guards_capacity: bool = False


class DeclaredTeam(msgspec.Struct, frozen=True):
    """A team with its keys, its weight and its quota (0 for no limit)."""

    name: str
    keys: list[str] = []
    weight: float = 1.0
    quota: Resources = Resources()


class Declaration(msgspec.Struct, frozen=True):
    """Desired state of the whole fleet at one version.

    Attributes
    ----------
    version : int
        Version, which increases with every change, not always by 1.
    queues : list of DeclaredQueue
        Queues.
    services : list of DeclaredService
        Services.
    teams : list of DeclaredTeam
        Teams.
    source : str
        Text of the declaration as the operator wrote it.
    """

    version: int
    queues: list[DeclaredQueue] = []
    services: list[DeclaredService] = []
    teams: list[DeclaredTeam] = []
    source: str = ""


class PutDeclaration(msgspec.Struct, frozen=True, tag=True):
    """Command: put a declaration in force if its version is the highest so far."""

    declaration: Declaration


def find_errors(declaration: Declaration) -> list[str]:
    """Return the validation errors of a declaration.

    Parameters
    ----------
    declaration : Declaration
        The declaration.

    Returns
    -------
    list of str
        One message for each error; empty if the declaration is valid.
    """
    return [
        *_find_queue_errors(declaration),
        *_find_duplicates("service", [item.name for item in declaration.services]),
        *_find_duplicates("team", [item.name for item in declaration.teams]),
        *_find_duplicates(
            "key of a team",
            [key for team in declaration.teams for key in set(team.keys)],
            show=False,
        ),
    ]


def _find_queue_errors(declaration: Declaration) -> Iterator[str]:
    services = {service.name for service in declaration.services}
    addresses: dict[tuple[str, str], str] = {}
    for queue in declaration.queues:
        if queue.service not in services:
            yield f'queue "{queue.name}" names unknown service "{queue.service}"'
        if queue.timeout <= 0:
            yield f'queue "{queue.name}" has a timeout of {queue.timeout} s, not > 0'
        other = addresses.setdefault((queue.host, queue.prefix), queue.name)
        if other != queue.name:
            address = f"{queue.host}{queue.prefix}"
            yield (
                f'queues "{other}" and "{queue.name}" have the same address "{address}"'
            )
    yield from _find_duplicates("queue", [queue.name for queue in declaration.queues])


def _find_duplicates(
    kind: str, names: list[str], *, show: bool = True
) -> Iterator[str]:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            yield (
                f'{kind} "{name}" is declared twice'
                if show
                else f"{kind} is declared twice"
            )
        seen.add(name)
