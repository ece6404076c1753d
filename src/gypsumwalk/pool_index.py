"""Counts and lists over the instances' records, kept up as they change."""

from collections.abc import Iterable

from gypsumwalk.instances import InstanceRecord, InstanceState

__all__ = ["PoolIndex"]


class PoolIndex:
    """Members, losses and states of instances, by pool."""

    def __init__(self) -> None:
        self._members: dict[str, set[str]] = {}
        self._unavailable: dict[str, int] = {}
        self._versions: dict[str, int] = {}
        self._by_state: dict[InstanceState, dict[str, None]] = {}

    def add(self, record: InstanceRecord) -> None:
        """Count a record as it stands now."""
        if record.pool:
            self._members.setdefault(record.pool, set()).add(record.name)
        self._by_state.setdefault(record.state, {})[record.name] = None
        self._count(record, 1)

    def remove(self, record: InstanceRecord) -> None:
        """Count a record no more, before it changes."""
        self._members.get(record.pool, set()).discard(record.name)
        self._by_state.get(record.state, {}).pop(record.name, None)
        self._count(record, -1)

    def clear(self) -> None:
        """Forget every record."""
        self._members.clear()
        self._unavailable.clear()
        self._by_state.clear()

    def members(self, pool: str) -> list[str]:
        """Return the names of a pool's instances in order."""
        return sorted(self._members.get(pool, ()))

    def count_unavailable(self, pool: str) -> int:
        """Return how many instances of a pool count as lost."""
        return self._unavailable.get(pool, 0)

    def find_version(self, pool: str) -> int:
        """Return a number that grows whenever an instance of a pool changes."""
        return self._versions.get(pool, 0)

    def names_in(self, states: Iterable[InstanceState]) -> list[str]:
        """Return the names of the instances in some states."""
        return [name for state in states for name in self._by_state.get(state, ())]

    def _count(self, record: InstanceRecord, step: int) -> None:
        self._versions[record.pool] = self._versions.get(record.pool, 0) + 1
        if record.counted and not record.available:
            lost = self._unavailable.get(record.pool, 0)
            self._unavailable[record.pool] = lost + step
