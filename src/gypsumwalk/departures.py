"""Runs of instances that have deregistered, but may not have ended yet.

An instance ends once its deregistration is acknowledged. If the acknowledgement is
lost, it goes on for seconds, with all its runs.
"""

from collections.abc import Iterable

from gypsumwalk.leases import LeaseTable, RunView

__all__ = ["DEPARTURE_SECONDS", "TAKEOVER_SECONDS", "Departures"]

DEPARTURE_SECONDS = 0.5
"""Time after which an instance that has not answered a stop has ended."""

TAKEOVER_SECONDS = 2.0
"""Time after a change of leader until an instance that the former leader did not answer
has deregistered again."""


class Departures:
    """Runs that are not to be repeated before their instance has certainly ended."""

    def __init__(self) -> None:
        self._runs: list[tuple[float, RunView]] = []

    def clear(self) -> None:
        """Forget all runs, at the end of a term."""
        self._runs.clear()

    def add(self, runs: Iterable[RunView], due: float) -> None:
        """Add runs that have ended at a time in seconds, unless a stop is answered."""
        self._runs += [(due, run) for run in runs]

    def delay(self, run: RunView, due: float) -> None:
        """Wait for a run until a time in seconds, as its instance goes on."""
        self._runs = [
            (due, item) if item is run else (at, item) for at, item in self._runs
        ]

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
        known = [
            (due, run)
            for due, run in self._runs
            if lease_table.find(run.task, run.run) is run
        ]
        self._runs = [(due, run) for due, run in known if due > now]
        return [run for due, run in known if due <= now]
