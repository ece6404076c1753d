"""Indexes over instance records, updated incrementally."""

from collections.abc import Iterable

from gypsumwalk.instances import InstanceRecord, InstanceState

__all__ = ["PoolIndex"]


class PoolIndex:
    """Pool members, unavailable counts and versions, and instances by state."""

    def __init__(self) -> None:
        self._members: dict[str, set[str]] = {}
        self._unavailable: dict[str, int] = {}
        self._versions: dict[str, int] = {}
        self._by_state: dict[InstanceState, dict[str, None]] = {}

    def add(self, record: InstanceRecord) -> None:
        """Add a record under its current pool and state."""
        if record.pool:
            self._members.setdefault(record.pool, set()).add(record.name)
        self._by_state.setdefault(record.state, {})[record.name] = None
        self._count(record, 1)

    def remove(self, record: InstanceRecord) -> None:
        """Remove a record; call this before the record changes."""
        self._members.get(record.pool, set()).discard(record.name)
        self._by_state.get(record.state, {}).pop(record.name, None)
        self._count(record, -1)

    def clear(self) -> None:
        """Remove all records."""
        self._members.clear()
        self._unavailable.clear()
        self._by_state.clear()

    def list_members(self, pool: str) -> list[str]:
        """Return the sorted names of a pool's instances."""
        return sorted(self._members.get(pool, ()))

    def count_unavailable(self, pool: str) -> int:
        """Return the number of unavailable instances of a pool."""
        return self._unavailable.get(pool, 0)

    def find_version(self, pool: str) -> int:
        """Return the version of a pool, which increases with each instance change."""
        return self._versions.get(pool, 0)

    def list_names_by_state(self, states: Iterable[InstanceState]) -> list[str]:
        """Return the names of the instances in the given states."""
        return [name for state in states for name in self._by_state.get(state, ())]

    def _count(self, record: InstanceRecord, step: int) -> None:
        self._versions[record.pool] = self._versions.get(record.pool, 0) + 1
        if record.is_counted and not record.is_available:
            count = self._unavailable.get(record.pool, 0)
            self._unavailable[record.pool] = count + step
