"""What jobs hold on each instance, kept up to date as jobs come and go."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from gypsumwalk.placement import Size

__all__ = ["NO_SIZE", "Holding", "Ledger"]

NO_SIZE = Size(0.0, 0.0, 0.0)


@dataclass(frozen=True, slots=True)
class Holding:
    """What one job holds.

    Attributes
    ----------
    job_id : str
        The job.
    team : str
        Team that it runs for.
    pool : str
        Pool that it runs in.
    instance : str
        Instance that it runs on.
    rack : str
        Rack of the instance.
    size : Size
        What it is expected to use.
    """

    job_id: str
    team: str
    pool: str
    instance: str
    rack: str
    size: Size


@dataclass(slots=True)
class _PoolUse:
    total: Size = NO_SIZE
    teams: dict[str, Size] = field(default_factory=dict)
    racks: dict[str, dict[str, int]] = field(default_factory=dict)


class Ledger:
    """Sums of what jobs hold, by instance, by team and by rack."""

    def __init__(self) -> None:
        self._holdings: dict[str, Holding] = {}
        self._by_instance: dict[str, dict[str, Holding]] = {}
        self._used: dict[str, Size] = {}
        self._pools: dict[str, _PoolUse] = {}

    def clear(self) -> None:
        """Forget everything."""
        self._holdings.clear()
        self._by_instance.clear()
        self._used.clear()
        self._pools.clear()

    def add(self, holding: Holding) -> None:
        """Take in a job; what it held before is given back first.

        Parameters
        ----------
        holding : Holding
            What it holds.
        """
        self.remove(holding.job_id)
        self._holdings[holding.job_id] = holding
        held = self._by_instance.setdefault(holding.instance, {})
        held[holding.job_id] = holding
        self._change(holding, 1)

    def remove(self, job_id: str) -> Holding | None:
        """Give back what a job holds.

        Parameters
        ----------
        job_id : str
            The job.

        Returns
        -------
        Holding or None
            What it held, if anything.
        """
        holding = self._holdings.pop(job_id, None)
        if holding is None:
            return None
        held = self._by_instance[holding.instance]
        del held[job_id]
        if not held:
            del self._by_instance[holding.instance]
        self._change(holding, -1)
        return holding

    def find(self, job_id: str) -> Holding | None:
        """Return what a job holds, or None."""
        return self._holdings.get(job_id)

    def list_on(self, instance: str) -> list[Holding]:
        """Return what jobs hold on an instance."""
        return list(self._by_instance.get(instance, {}).values())

    def sum_used(self, instance: str) -> Size:
        """Return what all jobs hold on an instance together."""
        return self._used.get(instance, NO_SIZE)

    def sum_team(self, pool: str, team: str) -> Size:
        """Return what a team holds in a pool."""
        use = self._pools.get(pool)
        return use.teams.get(team, NO_SIZE) if use else NO_SIZE

    def sum_pool(self, pool: str) -> Size:
        """Return what all teams hold in a pool."""
        use = self._pools.get(pool)
        return use.total if use else NO_SIZE

    def find_racks(self, pool: str, team: str) -> Mapping[str, int]:
        """Return how many jobs a team has in each rack of a pool."""
        use = self._pools.get(pool)
        return use.racks.get(team, {}) if use else {}

    def _change(self, holding: Holding, sign: int) -> None:
        instance, size = holding.instance, holding.size
        used = self._used.get(instance, NO_SIZE).add(size, sign)
        self._used[instance] = used
        if instance not in self._by_instance:
            del self._used[instance]
        use = self._pools.setdefault(holding.pool, _PoolUse())
        use.total = use.total.add(size, sign)
        team = use.teams.get(holding.team, NO_SIZE).add(size, sign)
        use.teams[holding.team] = team
        racks = use.racks.setdefault(holding.team, {})
        racks[holding.rack] = racks.get(holding.rack, 0) + sign
        if not racks[holding.rack]:
            del racks[holding.rack]
