"""Runs whose instance is no longer registered, although they may go on."""

from collections.abc import Callable

from gypsumwalk.leases import LeaseTable, RunView
from gypsumwalk.workload_records import TaskKey

__all__ = ["UnregisteredRuns"]


class UnregisteredRuns:
    """Runs that are not to be repeated before their leases have expired."""

    def __init__(self) -> None:
        self._runs: dict[tuple[TaskKey, int], RunView] = {}
        self._expiry: dict[tuple[TaskKey, int], float] = {}

    def clear(self) -> None:
        """Forget all runs, at the end of a term."""
        self._runs.clear()
        self._expiry.clear()

    def add(self, run: RunView, expiry: float) -> None:
        """Add a run.

        Parameters
        ----------
        run : RunView
            The run.
        expiry : float
            Time in seconds by which its lease has expired.
        """
        self._runs[run.task, run.run] = run
        self._expiry[run.task, run.run] = expiry

    def end_replaced(self, is_replaced: Callable[[RunView], bool], now: float) -> None:
        """Wait no longer for the runs of lives that a later one has replaced."""
        for key, run in self._runs.items():
            if is_replaced(run):
                self._expiry[key] = min(self._expiry[key], now)

    def take_ended(self, lease_table: LeaseTable, now: float) -> list[RunView]:
        """Return the runs that can't go on any more, and forget them.

        Parameters
        ----------
        lease_table : LeaseTable
            Lease table of the leader.
        now : float
            Time in seconds.

        Returns
        -------
        list of RunView
            Runs whose end is not recorded yet.
        """
        ended: list[RunView] = []
        for key in [key for key, expiry in self._expiry.items() if expiry <= now]:
            del self._expiry[key]
            run = self._runs.pop(key)
            if lease_table.find(*key) is run:
                ended.append(run)
        return ended
