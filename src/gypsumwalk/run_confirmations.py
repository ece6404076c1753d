"""Runs whose start is settled, which the log has to know.

A new leader can't tell which starts its predecessor has just sent. Unless the log says
that no copy of a start is on its way any more, it has to wait for the longest lease
before a task whose instance has ended may run elsewhere.
"""

from heapq import heappop, heappush

from gypsumwalk.leases import LeaseTable, RunState, RunView
from gypsumwalk.orphaned_runs import OrphanedRuns
from gypsumwalk.part import NEVER

__all__ = ["RunConfirmations"]

BATCH_SECONDS = 0.25
"""Shortest interval between two commands, and between two checks of a run."""

TRANSIENT_SECONDS = 2.0
"""Time after which a run that is to end by itself is confirmed; most end before."""


class RunConfirmations:
    """Started runs that the log does not know as settled.

    Parameters
    ----------
    orphans : OrphanedRuns
        Tells until when a start may be carried out unnoticed.
    """

    def __init__(self, orphans: OrphanedRuns) -> None:
        self._orphans = orphans
        self._queue: list[tuple[float, int, RunView]] = []
        self._count = 0
        self._due = 0.0

    def clear(self) -> None:
        """Forget all runs, at the end of a term."""
        self._queue.clear()
        self._due = 0.0

    def watch(self, run: RunView, now: float, *, is_lasting: bool) -> None:
        """Add a run whose start was sent, possibly by an earlier leader.

        Parameters
        ----------
        run : RunView
            The run.
        now : float
            Time in seconds.
        is_lasting : bool
            Whether the run goes on until it is stopped.
        """
        self._push(run, now + (BATCH_SECONDS if is_lasting else TRANSIENT_SECONDS))

    def take_settled(self, lease_table: LeaseTable, now: float) -> list[RunView]:
        """Return the runs to confirm now, and forget them.

        Parameters
        ----------
        lease_table : LeaseTable
            Lease table of the leader.
        now : float
            Time in seconds.

        Returns
        -------
        list of RunView
            Runs that go on and whose start can't be carried out again.
        """
        if now < self._due:
            return []
        settled: list[RunView] = []
        while self._queue and self._queue[0][0] <= now:
            run = heappop(self._queue)[2]
            if run.is_stopping or lease_table.find(run.task, run.run) is not run:
                continue
            settled_at = self._find_settled_at(run, lease_table)
            if settled_at <= now:
                settled.append(run)
            elif settled_at == NEVER:
                self._push(run, now + BATCH_SECONDS)
            else:
                self._push(run, max(settled_at, now + BATCH_SECONDS))
        if settled:
            self._due = now + BATCH_SECONDS
        return settled

    def _find_settled_at(self, run: RunView, lease_table: LeaseTable) -> float:
        view = lease_table.instances.get(run.life)
        is_confirmed = run.is_settled or not run.is_order_pending
        if view is None or not view.is_responsive or not is_confirmed:
            return NEVER
        if run.state is not RunState.RUNNING:
            return NEVER
        return self._orphans.find_settled_at(run)

    def _push(self, run: RunView, due: float) -> None:
        self._count += 1
        heappush(self._queue, (due, self._count, run))
