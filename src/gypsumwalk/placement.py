"""Choice of the instance that a job runs on."""

from collections.abc import Callable, Mapping, Sequence
from itertools import chain
from typing import NamedTuple

from gypsumwalk.folder import Folder
from gypsumwalk.instances import InstanceRecord
from gypsumwalk.job_records import SubmitJob

__all__ = ["CapacityTable", "Choice", "Size", "choose_instance", "size_of"]


class Size(NamedTuple):
    """Resources of a job or an instance.

    Attributes
    ----------
    processors : float
        Processors in cores.
    memory_gb : float
        Memory in gigabytes.
    accelerators : float
        Accelerators.
    """

    processors: float
    memory_gb: float
    accelerators: float

    def fits(self, room: "Size") -> bool:
        """Tell whether this fits into what is free."""
        return (
            self.processors <= room.processors + ROUNDING
            and self.memory_gb <= room.memory_gb + ROUNDING
            and self.accelerators <= room.accelerators + ROUNDING
        )

    def add(self, other: "Size", sign: int = 1) -> "Size":
        """Return the sum, or the difference for a sign of -1."""
        return Size(
            self.processors + sign * other.processors,
            self.memory_gb + sign * other.memory_gb,
            self.accelerators + sign * other.accelerators,
        )

    def find_dominant(self, total: "Size") -> float:
        """Return the largest fraction of a total over all resources."""
        return max(
            self.processors / total.processors if total.processors else 0.0,
            self.memory_gb / total.memory_gb if total.memory_gb else 0.0,
            self.accelerators / total.accelerators if total.accelerators else 0.0,
        )


ROUNDING = 1e-6
"""Error of sums of sizes that is overlooked."""


def size_of(item: SubmitJob | InstanceRecord) -> Size:
    """Return the declared size of a job, or the capacity of an instance."""
    return Size(item.processors, item.memory_gb, float(item.accelerators))


class Choice(NamedTuple):
    """Chosen instance and why, or no instance and why not."""

    instance: InstanceRecord | None
    reason: str


def choose_instance(
    size: Size,
    racks: Mapping[str, Sequence[InstanceRecord]],
    team_racks: Mapping[str, int],
    find_room: Callable[[InstanceRecord], Size],
    rank: Callable[[InstanceRecord], int],
) -> Choice:
    """Choose the instance for a job.

    The rack with the fewest jobs of the same team comes first, then the instance
    with the most free processors, so that one rack's loss takes few of its jobs.

    Parameters
    ----------
    size : Size
        What the job is expected to use.
    racks : Mapping of str to Sequence of InstanceRecord
        Available instances of its pool, by rack.
    team_racks : Mapping of str to int
        Jobs of the same team, by rack.
    find_room : Callable
        Returns what is free on an instance.
    rank : Callable
        Returns 0 for an instance that may take the job, a higher number for one that
        others are preferred to, and a negative one to leave it out.

    Returns
    -------
    Choice
        The instance, or None with the reason.
    """
    doubted: InstanceRecord | None = None
    crowded = [rack for rack in racks if rack in team_racks]
    crowded.sort(key=team_racks.__getitem__)
    empty = (rack for rack in racks if rack not in team_racks)
    for rack in chain(empty, crowded):
        fitting = [item for item in racks[rack] if size.fits(find_room(item))]
        ranks = [(rank(item), item) for item in fitting]
        free = [item for standing, item in ranks if standing == 0]
        if free:
            best = max(free, key=lambda item: find_room(item).processors)
            count = team_racks.get(rack, 0)
            return Choice(best, f"{rack} runs {count} jobs of the team")
        last = [item for standing, item in ranks if standing > 0]
        doubted = doubted or (last[0] if last else None)
    if doubted is not None:
        return Choice(doubted, "others have no room, although it failed lately")
    seen = sum(len(records) for records in racks.values())
    if not seen:
        return Choice(None, "no instance of its pool is available")
    return Choice(None, f"none of {seen} available instances has room for it")


class CapacityTable:
    """Distinct sizes of the instances that each pool has or may be given."""

    def __init__(self) -> None:
        self._generation = -1
        self._sizes: dict[str, set[Size]] = {}
        self._spare: set[Size] = set()

    def explain_never(
        self, size: Size, pool: str, folder: Folder, generation: int
    ) -> str:
        """Return why a job can never run on the instances declared, or empty.

        Parameters
        ----------
        size : Size
            Declared size of the job.
        pool : str
            Pool that runs its queue's jobs.
        folder : Folder
            The configuration.
        generation : int
            Its generation.

        Returns
        -------
        str
            The reason, or empty if some instance could run it.
        """
        if generation != self._generation:
            self._build(folder, generation)
        sizes = self._sizes.get(pool, set()) | self._spare
        if not sizes:
            return f"pool {pool} has no instances"
        if any(size.fits(capacity) for capacity in sizes):
            return ""
        whole = f"no single instance of pool {pool} has all of what it needs"
        return "; ".join(_list_excesses(size, sizes)) or whole

    def _build(self, folder: Folder, generation: int) -> None:
        self._generation = generation
        self._sizes = {}
        for table in folder.instances.values():
            size = Size(table.processors, table.memory_gb, float(table.accelerators))
            self._sizes.setdefault(table.pool, set()).add(size)
        self._spare = set()
        for name, pool in folder.pools.items():
            if pool.spare:
                self._spare |= self._sizes.get(name, set())


def _list_excesses(size: Size, sizes: set[Size]) -> list[str]:
    excesses = []
    for number, name in enumerate(Size._fields):
        most = max(capacity[number] for capacity in sizes)
        if size[number] > most:
            excesses.append(f"needs {size[number]:g} {name}, the largest has {most:g}")
    return excesses
