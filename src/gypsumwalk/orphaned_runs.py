"""Runs whose instance has ended while the order to start them was unanswered.

The next life of an instance may have the same identifier and address, so that an order
meant for the former life is carried out there. Such a run goes on unnoticed, and its
task must not start elsewhere before the run is stopped there, or its lease has expired.
"""

from collections.abc import Callable, Iterable

from gypsumwalk.leases import InstanceView, LeaseTable, RunState, RunView
from gypsumwalk.life_clocks import CLOCK_RATE_ERROR
from gypsumwalk.workload_records import RegisteredInstance, split_life

__all__ = ["LATE_ORDER_SECONDS", "OrphanedRuns", "note_lease"]

LATE_ORDER_SECONDS = 12.0
"""Longest time after which an instance carries out an order that it did not answer."""


SILENCE_SECONDS = 1.8
"""Time for which a life may count as responsive after it has ended; a renewal takes
that long at most."""


def note_lease(view: InstanceView) -> list[RunView]:
    """Note on the runs of a life what is known of its lease, and return them."""
    runs = list(view.runs.values())
    expiry = view.find_lease_expiry()
    for run in runs:
        run.lease_sent_at = max(run.lease_sent_at, view.lease_sent_at)
        run.lease_expiry = max(run.lease_expiry, expiry)
    return runs


class OrphanedRuns:
    """Runs that the next life of their instance may carry out.

    Parameters
    ----------
    max_lease : float
        Longest lease that an instance grants, in seconds.
    transit : float
        Time in seconds for which an order is usually on its way at most.
    """

    def __init__(self, *, max_lease: float, transit: float) -> None:
        self._transit = transit
        self._lifetime = transit + max_lease / (1 - CLOCK_RATE_ERROR)
        self._runs: list[RunView] = []

    def clear(self) -> None:
        """Forget all runs, at the end of a term."""
        self._runs.clear()

    def may_have_begun(self, run: RunView, now: float) -> bool:
        """Tell whether an unanswered start may have begun the run unnoticed.

        Parameters
        ----------
        run : RunView
            The run.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            False once the longest lease after the last start has expired.
        """
        is_over = run.is_settled or now >= self._find_lease_end(run)
        return run.unanswered_starts > 0 and not is_over

    def _find_lease_end(self, run: RunView) -> float:
        # An order for another run extends the lease of all, on the next life too. Where
        # the next life has the run, the former one had ended before its start arrived.
        latest = run.start_sent_at + self._transit + SILENCE_SECONDS
        sent_at = min(run.lease_sent_at, latest)
        return max(run.start_sent_at, sent_at) + self._lifetime

    def find_late_expiry(self, run: RunView, now: float) -> float:
        """Return the time by which the lease of a start carried out until now expires.

        Parameters
        ----------
        run : RunView
            A run whose start was not answered.
        now : float
            Time in seconds.

        Returns
        -------
        float
            Time in seconds.
        """
        return min(now, run.late_start_until) + self._lifetime

    def find_settled_at(self, run: RunView) -> float:
        """Return the time from which the start of a run can't be carried out again.

        Parameters
        ----------
        run : RunView
            A run that its instance has confirmed.

        Returns
        -------
        float
            Time in seconds; in the past if every start was answered or carried out.
        """
        if run.is_settled:
            return 0.0
        if not run.unanswered_starts:
            return run.late_start_until
        longest = max(self._lifetime, LATE_ORDER_SECONDS)
        return max(run.late_start_until, run.start_sent_at + longest)

    def separate(
        self, ended: Iterable[RunView], now: float
    ) -> tuple[list[RunView], list[RunView]]:
        """Keep the runs that may go on in the next life.

        Parameters
        ----------
        ended : Iterable of RunView
            Runs of instances that have ended.
        now : float
            Time in seconds.

        Returns
        -------
        list of RunView
            Runs that have certainly ended, or never begin.
        list of RunView
            Runs that are kept.
        """
        certain, kept = [], []
        for run in ended:
            is_late = now < run.late_start_until and not run.is_settled
            if run.state is RunState.ENDING:
                continue
            if is_late or self.may_have_begun(run, now):
                kept.append(run)
            else:
                certain.append(run)
        self._runs += kept
        return certain, kept

    def adopt(
        self,
        lease_table: LeaseTable,
        find_latest_life: Callable[[str], RegisteredInstance | None],
    ) -> list[RunView]:
        """Move runs to the next life of their instance, and return them.

        Parameters
        ----------
        lease_table : LeaseTable
            Lease table of the leader.
        find_latest_life : Callable
            Returns the latest registered life of an instance by its identifier.

        Returns
        -------
        list of RunView
            Runs to stop there, whether or not they have begun.
        """
        self._drop_ended(lease_table)
        adopted: list[RunView] = []
        remaining: list[RunView] = []
        for run in self._runs:
            instance, born = split_life(run.life)
            successor = find_latest_life(instance)
            view = lease_table.instances.get(successor.life) if successor else None
            if view is None or view.registered.born <= born:
                remaining.append(run)
                continue
            lease_table.move(run, view.registered.life)
            # The start named no time on the clock of this life.
            expiry = self._find_lease_end(run)
            view.min_lease_expiry = max(view.min_lease_expiry, expiry)
            run.state = RunState.STARTING
            run.stopped_at = run.missing_since = run.hidden_since = 0.0
            run.started_clock = 0
            adopted.append(run)
        self._runs = remaining
        return adopted

    def _drop_ended(self, lease_table: LeaseTable) -> None:
        # The former life may have listed the end before it ended itself.
        self._runs = [
            run for run in self._runs if lease_table.find(run.task, run.run) is run
        ]

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
            Runs whose start turned out not to be sent, or whose lease has expired
            wherever they began.
        """
        self._drop_ended(lease_table)
        ended: list[RunView] = []
        remaining: list[RunView] = []
        for run in self._runs:
            (remaining if self.may_have_begun(run, now) else ended).append(run)
        self._runs = remaining
        return ended
