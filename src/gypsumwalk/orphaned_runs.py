"""Runs whose instance has ended while the order to start them was unanswered.

The next life of an instance may have the same identifier and address, so that an order
meant for the former life is carried out there. Such a run goes on unnoticed, and its
task must not start elsewhere before the run is stopped there, or its lease has expired.
"""

from collections.abc import Iterable

from gypsumwalk.leases import CLOCK_RATE_ERROR, LeaseTable, RunState, RunView
from gypsumwalk.workload_records import split_life

__all__ = ["OrphanedRuns"]


class OrphanedRuns:
    """Runs that the next life of their instance may carry out.

    Parameters
    ----------
    max_lease : float
        Longest lease that an instance grants, in seconds.
    transit : float
        Longest time in seconds for which an order may be on its way.
    """

    def __init__(self, *, max_lease: float, transit: float) -> None:
        self._lifetime = transit + max_lease / (1 - CLOCK_RATE_ERROR)
        self._runs: list[RunView] = []

    def clear(self) -> None:
        """Forget all runs, at the end of a term."""
        self._runs.clear()

    def separate(self, ended: Iterable[RunView]) -> list[RunView]:
        """Keep the runs that may go on in the next life, and return the others.

        Parameters
        ----------
        ended : Iterable of RunView
            Runs of instances that have ended.

        Returns
        -------
        list of RunView
            Runs that have certainly ended, or never begin.
        """
        certain = []
        for run in ended:
            if run.unanswered_starts and run.state is not RunState.ENDING:
                self._runs.append(run)
            else:
                certain.append(run)
        return certain

    def adopt(self, lease_table: LeaseTable) -> list[RunView]:
        """Move runs to the next life of their instance, and return them.

        Parameters
        ----------
        lease_table : LeaseTable
            Lease table of the leader.

        Returns
        -------
        list of RunView
            Runs to stop there, whether or not they have begun.
        """
        if not self._runs:
            return []
        latest: dict[str, str] = {}
        for life in sorted(lease_table.instances, key=split_life):
            latest[split_life(life)[0]] = life
        adopted = []
        for run in list(self._runs):
            successor = latest.get(split_life(run.life)[0])
            if successor is None or split_life(successor) <= split_life(run.life):
                continue
            self._runs.remove(run)
            lease_table.move(run, successor)
            # The start named no time on the clock of this life.
            view = lease_table.instances[successor]
            expiry = run.start_sent_at + self._lifetime
            view.min_lease_expiry = max(view.min_lease_expiry, expiry)
            run.state = RunState.STARTING
            run.stopped_at = run.missing_since = 0.0
            adopted.append(run)
        return adopted

    def take_ended(self, now: float) -> list[RunView]:
        """Return the runs that can't go on any more, and forget them.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        list of RunView
            Runs whose start turned out not to be sent, or whose lease has expired
            wherever they began.
        """
        ended: list[RunView] = []
        remaining: list[RunView] = []
        for run in self._runs:
            is_over = now >= run.start_sent_at + self._lifetime
            is_ended = is_over or not run.unanswered_starts
            (ended if is_ended else remaining).append(run)
        self._runs = remaining
        return ended
