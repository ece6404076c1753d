"""Choice of the instance that a job runs on."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from gypsumwalk.folder import Folder
from gypsumwalk.instances import InstanceRecord
from gypsumwalk.job_records import JobRecord, SubmitJob
from gypsumwalk.suspicion import SuspicionTable

__all__ = ["Choice", "Size", "Usage", "choose_instance", "explain_never", "size_of"]


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
            self.processors <= room.processors
            and self.memory_gb <= room.memory_gb
            and self.accelerators <= room.accelerators
        )

    def add(self, other: "Size", sign: int = 1) -> "Size":
        """Return the sum, or the difference for a sign of -1."""
        return Size(
            self.processors + sign * other.processors,
            self.memory_gb + sign * other.memory_gb,
            self.accelerators + sign * other.accelerators,
        )


def size_of(item: SubmitJob | InstanceRecord) -> Size:
    """Return the declared size of a job, or the capacity of an instance."""
    return Size(item.processors, item.memory_gb, float(item.accelerators))


@dataclass
class Usage:
    """What is in use on one instance.

    Attributes
    ----------
    free : Size
        What is left.
    jobs : int
        Jobs on it.
    """

    free: Size
    jobs: int = 0


class Choice(NamedTuple):
    """Chosen instance and why, or no instance and why not."""

    instance: str
    reason: str


def choose_instance(
    job: JobRecord,
    size: Size,
    candidates: Iterable[InstanceRecord],
    usage: dict[str, Usage],
    rack_jobs: dict[str, int],
    suspicion: SuspicionTable,
    now: float,
) -> Choice:
    """Choose the instance for a job.

    The rack with the fewest jobs of the same team comes first, then the instance
    with the most free processors, so that one rack's loss takes few of its jobs.

    Parameters
    ----------
    job : JobRecord
        The job.
    size : Size
        What it is expected to use.
    candidates : Iterable of InstanceRecord
        Instances that may take it.
    usage : dict of str to Usage
        What is in use, by instance.
    rack_jobs : dict of str to int
        Jobs of the same team, by rack.
    suspicion : SuspicionTable
        Evidence against workers; one that failed the job before, or others, comes
        last.
    now : float
        Time in seconds.

    Returns
    -------
    Choice
        The instance, or an empty name with the reason.
    """
    best: tuple[bool, int, float, str] | None = None
    seen = 0
    for record in candidates:
        seen += 1
        room = usage[record.name]
        if not size.fits(room.free):
            continue
        repeatable = job.spec.repeatable
        doubts = suspicion.doubts(
            job.spec.job_id, record.name, now, repeatable=repeatable
        )
        key = (
            doubts,
            rack_jobs.get(record.rack, 0),
            -room.free.processors,
            record.name,
        )
        if best is None or key < best:
            best = key
    if best is None:
        if not seen:
            return Choice("", "no instance of its pool is available")
        return Choice("", f"none of {seen} available instances has room for it")
    racks = f"its rack runs {best[1]} jobs of the team"
    return Choice(best[3], f"{racks}, {-best[2]:g} processors free")


def explain_never(spec: SubmitJob, pool: str, folder: Folder) -> str:
    """Return why a job can never run on the instances declared, or empty.

    Parameters
    ----------
    spec : SubmitJob
        The job.
    pool : str
        Pool that runs its queue's jobs.
    folder : Folder
        The configuration.

    Returns
    -------
    str
        The reason, or empty if some instance could run it.
    """
    spares = {name for name, table in folder.pools.items() if table.spare}
    instances = [
        table
        for table in folder.instances.values()
        if table.pool == pool or table.pool in spares
    ]
    if not instances:
        return f"pool {pool} has no instances"
    size = size_of(spec)
    fits = any(
        size.fits(Size(table.processors, table.memory_gb, float(table.accelerators)))
        for table in instances
    )
    if fits:
        return ""
    return "; ".join(_list_excesses(size, instances)) or (
        f"no single instance of pool {pool} has all of what it needs"
    )


def _list_excesses(size: Size, instances: Sequence[object]) -> list[str]:
    excesses = []
    for name in Size._fields:
        most = max(getattr(table, name) for table in instances)
        needed = getattr(size, name)
        if needed > most:
            excesses.append(f"needs {needed:g} {name}, the largest has {most:g}")
    return excesses
