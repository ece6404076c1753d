"""Declared state of a fleet: services, queues, teams and limits, as one version."""

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
    "find_faults",
]


class Resources(msgspec.Struct, frozen=True):
    """An amount of what an instance offers and a task takes.

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

    def fits(self, room: "Resources") -> bool:
        """Tell whether this amount fits into a free amount."""
        return (
            self.cpu <= room.cpu
            and self.memory <= room.memory
            and self.accelerators <= room.accelerators
        )


class AdvicePolicy(msgspec.Struct, frozen=True):
    """Costs of asking which instances may run a step, in seconds."""

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
        Factor by which a job may take longer than its longest chain of work.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Failed runs after which a task has failed for good; 0 for no bound.
    public : bool
        Whether callers need no key.
    advice : AdvicePolicy or None
        Set where only some instances may run a step.
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
        Whether its instances are off and cost nothing.
    guards_capacity : bool
        Whether its instances reject what does not fit.
    """

    name: str
    standby: bool = False
    guards_capacity: bool = False


class DeclaredTeam(msgspec.Struct, frozen=True):
    """A team with its keys, its weight and its quota (0 in it: no bound)."""

    name: str
    keys: list[str] = []
    weight: float = 1.0
    quota: Resources = Resources()


class Declaration(msgspec.Struct, frozen=True):
    """The whole intent of the operators at one version.

    Attributes
    ----------
    version : int
        Rises with every change, in uneven steps.
    queues : list of DeclaredQueue
        Queues.
    services : list of DeclaredService
        Services.
    teams : list of DeclaredTeam
        Teams.
    source : str
        The declaration as the operator wrote it, to be read back.
    """

    version: int
    queues: list[DeclaredQueue] = []
    services: list[DeclaredService] = []
    teams: list[DeclaredTeam] = []
    source: str = ""


class PutDeclaration(msgspec.Struct, frozen=True, tag=True):
    """Command: take a declaration, if its version is the highest so far."""

    declaration: Declaration


def find_faults(declaration: Declaration) -> list[str]:
    """List everything that makes a declaration invalid.

    Parameters
    ----------
    declaration : Declaration
        The declaration.

    Returns
    -------
    list of str
        One sentence for each fault; empty if it is valid.
    """
    return [
        *_find_queue_faults(declaration),
        *_find_repeats("service", [item.name for item in declaration.services]),
        *_find_repeats("team", [item.name for item in declaration.teams]),
        *_find_repeats(
            "key of a team",
            [key for team in declaration.teams for key in set(team.keys)],
            show=False,
        ),
    ]


def _find_queue_faults(declaration: Declaration) -> Iterator[str]:
    services = {service.name for service in declaration.services}
    places: dict[tuple[str, str], str] = {}
    for queue in declaration.queues:
        if queue.service not in services:
            yield f'queue "{queue.name}" names unknown service "{queue.service}"'
        if queue.timeout <= 0:
            yield f'queue "{queue.name}" has a timeout of {queue.timeout} s'
        other = places.setdefault((queue.host, queue.prefix), queue.name)
        if other != queue.name:
            place = f"{queue.host}{queue.prefix}"
            yield f'queues "{other}" and "{queue.name}" share "{place}"'
    yield from _find_repeats("queue", [queue.name for queue in declaration.queues])


def _find_repeats(kind: str, names: list[str], *, show: bool = True) -> Iterator[str]:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            yield f'{kind} "{name}" stands twice' if show else f"{kind} stands twice"
        seen.add(name)
