"""Resource vectors and the choice of an instance for a job."""

from collections.abc import Callable, Mapping, Sequence
from itertools import chain
from typing import NamedTuple

from gypsumwalk.folder import Folder
from gypsumwalk.instances import InstanceRecord
from gypsumwalk.job_records import SubmitJob

__all__ = [
    "PoolCapacities",
    "PlacementChoice",
    "ResourceVector",
    "choose_instance",
    "get_resources",
]


class ResourceVector(NamedTuple):
    """Amounts of each resource that a job needs or an instance has.

    Attributes
    ----------
    processors : float
        Processors in cores.
    memory_gb : float
        Memory in gigabytes.
    accelerators : float
        Number of accelerators.
    """

    processors: float
    memory_gb: float
    accelerators: float

    def fits(self, free: "ResourceVector") -> bool:
        """Return whether these amounts fit into the free ones."""
        return (
            self.processors <= free.processors + ROUNDING_TOLERANCE
            and self.memory_gb <= free.memory_gb + ROUNDING_TOLERANCE
            and self.accelerators <= free.accelerators + ROUNDING_TOLERANCE
        )

    def add(self, other: "ResourceVector", sign: int = 1) -> "ResourceVector":
        """Return the sum, or the difference if ``sign`` is -1."""
        return ResourceVector(
            self.processors + sign * other.processors,
            self.memory_gb + sign * other.memory_gb,
            self.accelerators + sign * other.accelerators,
        )

    def compute_dominant_share(self, total: "ResourceVector") -> float:
        """Return the dominant share: the largest fraction of any resource's total."""
        return max(
            self.processors / total.processors if total.processors else 0.0,
            self.memory_gb / total.memory_gb if total.memory_gb else 0.0,
            self.accelerators / total.accelerators if total.accelerators else 0.0,
        )


ROUNDING_TOLERANCE = 1e-6
"""Accepted rounding error of resource sums, in cores, gigabytes or accelerators."""


def get_resources(item: SubmitJob | InstanceRecord) -> ResourceVector:
    """Return the declared resources of a job, or the capacity of an instance."""
    return ResourceVector(item.processors, item.memory_gb, float(item.accelerators))


class PlacementChoice(NamedTuple):
    """Chosen instance with the reason, or None with the reason why none fits."""

    instance: InstanceRecord | None
    reason: str


def choose_instance(
    request: ResourceVector,
    racks: Mapping[str, Sequence[InstanceRecord]],
    team_racks: Mapping[str, int],
    get_free: Callable[[InstanceRecord], ResourceVector],
    rank: Callable[[InstanceRecord], int],
) -> PlacementChoice:
    """Choose the instance for a job.

    Racks with fewer jobs of the same team are preferred, so that the loss of a rack
    affects few of them; within a rack, the instance with the most free processors.

    Parameters
    ----------
    request : ResourceVector
        Resources that the job is expected to use.
    racks : Mapping of str to Sequence of InstanceRecord
        Available instances of the pool, by rack.
    team_racks : Mapping of str to int
        Number of jobs of the same team in progress, by rack.
    get_free : Callable
        Returns the free resources of an instance.
    rank : Callable
        Returns 0 for a suitable instance, a positive number for a fallback, and a
        negative number for one that must not be used.

    Returns
    -------
    PlacementChoice
        The instance, or None, with the reason.
    """
    fallback: InstanceRecord | None = None
    crowded = [rack for rack in racks if rack in team_racks]
    crowded.sort(key=team_racks.__getitem__)
    empty = (rack for rack in racks if rack not in team_racks)
    for rack in chain(empty, crowded):
        fitting = [item for item in racks[rack] if request.fits(get_free(item))]
        ranks = [(rank(item), item) for item in fitting]
        suitable = [item for value, item in ranks if value == 0]
        if suitable:
            best = max(suitable, key=lambda item: get_free(item).processors)
            count = team_racks.get(rack, 0)
            return PlacementChoice(best, f"rack {rack} runs {count} jobs of the team")
        avoidable = [item for value, item in ranks if value > 0]
        fallback = fallback or (avoidable[0] if avoidable else None)
    if fallback is not None:
        return PlacementChoice(
            fallback, "no other instance fits, despite recent failures on it"
        )
    available = sum(len(records) for records in racks.values())
    if not available:
        return PlacementChoice(None, "no instance of the pool is available")
    return PlacementChoice(
        None, f"none of {available} available instances has enough free resources"
    )


class PoolCapacities:
    """Distinct instance capacities that each pool has or can obtain."""

    def __init__(self) -> None:
        self._generation = -1
        self._capacities: dict[str, set[ResourceVector]] = {}
        self._spare: set[ResourceVector] = set()

    def explain_unschedulable(
        self, request: ResourceVector, pool: str, folder: Folder, generation: int
    ) -> str:
        """Return why no declared instance can run a job, or an empty string.

        Parameters
        ----------
        request : ResourceVector
            Declared resources of the job.
        pool : str
            Pool that runs its queue's jobs.
        folder : Folder
            Configuration.
        generation : int
            Generation of the configuration.

        Returns
        -------
        str
            The reason, empty if an instance could run the job.
        """
        if generation != self._generation:
            self._build(folder, generation)
        capacities = self._capacities.get(pool, set()) | self._spare
        if not capacities:
            return f"pool {pool} has no instances"
        if any(request.fits(capacity) for capacity in capacities):
            return ""
        default = f"no single instance of pool {pool} has all resources that it needs"
        return "; ".join(_list_excesses(request, capacities)) or default

    def _build(self, folder: Folder, generation: int) -> None:
        self._generation = generation
        self._capacities = {}
        for table in folder.instances.values():
            capacity = ResourceVector(
                table.processors, table.memory_gb, float(table.accelerators)
            )
            self._capacities.setdefault(table.pool, set()).add(capacity)
        self._spare = set()
        for name, pool in folder.pools.items():
            if pool.spare:
                self._spare |= self._capacities.get(name, set())


def _list_excesses(
    request: ResourceVector, capacities: set[ResourceVector]
) -> list[str]:
    excesses = []
    for number, name in enumerate(ResourceVector._fields):
        largest = max(capacity[number] for capacity in capacities)
        if request[number] > largest:
            excesses.append(
                f"needs {request[number]:g} {name}, the largest has {largest:g}"
            )
    return excesses
