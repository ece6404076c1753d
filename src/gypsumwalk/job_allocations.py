"""Resources allocated to jobs, summed by instance, team and rack."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from gypsumwalk.job_placement import ResourceVector

__all__ = ["NO_RESOURCES", "Allocation", "AllocationTable"]

NO_RESOURCES = ResourceVector(0.0, 0.0, 0.0)


@dataclass(frozen=True, slots=True)
class Allocation:
    """Resources allocated to one job.

    Attributes
    ----------
    job_id : str
        The job.
    team : str
        Team that the job runs for.
    pool : str
        Pool that the job runs in.
    instance : str
        Instance that the job runs on.
    rack : str
        Rack of the instance.
    resources : ResourceVector
        Resources that the job is expected to use.
    """

    job_id: str
    team: str
    pool: str
    instance: str
    rack: str
    resources: ResourceVector


@dataclass(slots=True)
class _PoolAllocation:
    total: ResourceVector = NO_RESOURCES
    teams: dict[str, ResourceVector] = field(default_factory=dict)
    racks: dict[str, dict[str, int]] = field(default_factory=dict)


class AllocationTable:
    """Allocations of jobs with running sums by instance, team and rack."""

    def __init__(self) -> None:
        self._allocations: dict[str, Allocation] = {}
        self._by_instance: dict[str, dict[str, Allocation]] = {}
        self._used: dict[str, ResourceVector] = {}
        self._pools: dict[str, _PoolAllocation] = {}

    def clear(self) -> None:
        """Remove all allocations."""
        self._allocations.clear()
        self._by_instance.clear()
        self._used.clear()
        self._pools.clear()

    def add(self, allocation: Allocation) -> None:
        """Add an allocation, replacing an earlier one of the same job.

        Parameters
        ----------
        allocation : Allocation
            The allocation.
        """
        self.remove(allocation.job_id)
        self._allocations[allocation.job_id] = allocation
        held = self._by_instance.setdefault(allocation.instance, {})
        held[allocation.job_id] = allocation
        self._change(allocation, 1)

    def remove(self, job_id: str) -> Allocation | None:
        """Remove the allocation of a job.

        Parameters
        ----------
        job_id : str
            The job.

        Returns
        -------
        Allocation or None
            The removed allocation, or None if the job had none.
        """
        allocation = self._allocations.pop(job_id, None)
        if allocation is None:
            return None
        held = self._by_instance[allocation.instance]
        del held[job_id]
        if not held:
            del self._by_instance[allocation.instance]
        self._change(allocation, -1)
        return allocation

    def find(self, job_id: str) -> Allocation | None:
        """Return the allocation of a job, or None."""
        return self._allocations.get(job_id)

    def list_on(self, instance: str) -> list[Allocation]:
        """Return the allocations on an instance."""
        return list(self._by_instance.get(instance, {}).values())

    def sum_used(self, instance: str) -> ResourceVector:
        """Return the sum of the allocations on an instance."""
        return self._used.get(instance, NO_RESOURCES)

    def sum_team(self, pool: str, team: str) -> ResourceVector:
        """Return the sum of a team's allocations in a pool."""
        use = self._pools.get(pool)
        return use.teams.get(team, NO_RESOURCES) if use else NO_RESOURCES

    def sum_pool(self, pool: str) -> ResourceVector:
        """Return the sum of all allocations in a pool."""
        use = self._pools.get(pool)
        return use.total if use else NO_RESOURCES

    def find_racks(self, pool: str, team: str) -> Mapping[str, int]:
        """Return the number of a team's jobs in each rack of a pool."""
        use = self._pools.get(pool)
        return use.racks.get(team, {}) if use else {}

    def _change(self, allocation: Allocation, sign: int) -> None:
        instance, resources = allocation.instance, allocation.resources
        used = self._used.get(instance, NO_RESOURCES).add(resources, sign)
        self._used[instance] = used
        if instance not in self._by_instance:
            del self._used[instance]
        use = self._pools.setdefault(allocation.pool, _PoolAllocation())
        use.total = use.total.add(resources, sign)
        team = use.teams.get(allocation.team, NO_RESOURCES).add(resources, sign)
        use.teams[allocation.team] = team
        racks = use.racks.setdefault(allocation.team, {})
        racks[allocation.rack] = racks.get(allocation.rack, 0) + sign
        if not racks[allocation.rack]:
            del racks[allocation.rack]
