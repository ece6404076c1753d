"""Runs of instances that have deregistered, but may not have ended yet.

An instance ends once its deregistration is acknowledged. If the acknowledgement is
lost, it goes on for seconds, with all its runs.
"""

from collections.abc import Callable, Iterable

from gypsumwalk.leases import LeaseTable, RunView
from gypsumwalk.workload_records import TaskKey, split_life

__all__ = ["DEPARTURE_SECONDS", "TAKEOVER_SECONDS", "Departures"]

DEPARTURE_SECONDS = 0.5
"""Time after which an instance that has not answered a stop has ended."""


TAKEOVER_SECONDS = 2.0
"""Time after a change of leader until an instance that the former leader did not answer
has deregistered again."""


class Departures:
    """Runs that are not to be repeated before their instance has certainly ended."""

    def __init__(self) -> None:
        self._runs: dict[tuple[TaskKey, int], RunView] = {}
        self._due: dict[tuple[TaskKey, int], float] = {}
        self._expiry: dict[tuple[TaskKey, int], float] = {}

    def clear(self) -> None:
        """Forget all runs, at the end of a term."""
        self._runs.clear()
        self._due.clear()
        self._expiry.clear()

    def add(
        self, runs: Iterable[RunView], due: float, *, expiry: float | None = None
    ) -> None:
        """Add runs that end by a time, unless a stop of them is answered.

        Parameters
        ----------
        runs : Iterable of RunView
            The runs.
        due : float
            Time in seconds by which they end if their instance is not heard again.
        expiry : float, optional
            Time in seconds by which they end in any case, by default ``due``.
        """
        for run in runs:
            key = run.task, run.run
            self._runs[key] = run
            self._due[key] = due
            self._expiry[key] = due if expiry is None else expiry

    def postpone(self, life: str, due: float) -> None:
        """Note that a life, or any of an instance, has not ended yet.

        Parameters
        ----------
        life : str
            The life, or the identifier of its instance.
        due : float
            Time in seconds by which its runs end if it is not heard again.
        """
        for key, run in self._runs.items():
            if life in (run.life, split_life(run.life)[0]):
                latest = min(due, self._expiry[key])
                self._due[key] = max(self._due[key], latest)

    def note_stop(self, run: RunView, due: float) -> None:
        """Note that a run goes on until a time in seconds, as its stop was answered."""
        if (run.task, run.run) in self._due:
            self._due[run.task, run.run] = due

    def end_replaced(self, is_replaced: Callable[[RunView], bool], now: float) -> None:
        """Wait no longer for the runs of lives that a later one has replaced."""
        for key, run in self._runs.items():
            if is_replaced(run):
                self._due[key] = min(self._due[key], now)

    def take_ended(self, lease_table: LeaseTable, now: float) -> list[RunView]:
        """Return the runs that have ended with their instance, and forget them.

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
        for key in [key for key, due in self._due.items() if due <= now]:
            del self._due[key], self._expiry[key]
            run = self._runs.pop(key)
            if lease_table.find(*key) is run:
                ended.append(run)
        return ended
