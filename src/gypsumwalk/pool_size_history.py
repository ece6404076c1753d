"""Recent sizes that the demand of each pool called for."""

from collections import deque

__all__ = ["PoolSizeHistory"]

KEPT_SECONDS = 2.0
"""Time for which a pool in a burst keeps the machines that it called for; demand in a
burst varies from one second to the next, and a machine takes 1.5 s to return."""


class PoolSizeHistory:
    """Largest desired size of each pool within the last ``KEPT_SECONDS``."""

    def __init__(self) -> None:
        self._sizes: dict[str, deque[tuple[float, int]]] = {}

    def record(self, service: str, size: int, now: float) -> None:
        """Record the desired size of a pool.

        Parameters
        ----------
        service : str
            Service of the pool.
        size : int
            Machines that it called for.
        now : float
            Time in seconds, not before that of earlier records.
        """
        sizes = self._sizes.setdefault(service, deque())
        while sizes and sizes[-1][1] <= size:
            sizes.pop()
        sizes.append((now, size))

    def find_peak(self, service: str, now: float) -> int:
        """Return the largest recent size of a pool in machines, 0 if there is none."""
        sizes = self._sizes.get(service)
        while sizes and sizes[0][0] < now - KEPT_SECONDS:
            sizes.popleft()
        return sizes[0][1] if sizes else 0
