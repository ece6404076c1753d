"""Modules of the dispatcher, joined with each other."""

from collections.abc import Callable, Set

from gypsumwalk.dispatch_context import DispatchContext
from gypsumwalk.effects import Effect
from gypsumwalk.evacuation_moves import EvacuationMoves
from gypsumwalk.instance_departures import InstanceDepartures
from gypsumwalk.leases import LeaseTable, RunView
from gypsumwalk.order_delivery import OrderDelivery
from gypsumwalk.orphaned_runs import OrphanedRuns
from gypsumwalk.outcomes import OutcomeHandler
from gypsumwalk.pass_schedule import PassSchedule
from gypsumwalk.placements import Placements
from gypsumwalk.renewals import Renewals
from gypsumwalk.run_ends import RunEnds
from gypsumwalk.run_orders import CALL_SECONDS, LEASE_MARGIN_SECONDS
from gypsumwalk.takeover import Takeover

__all__ = ["DispatchModules"]

STOP_MARGIN_SECONDS = 0.1
"""Added to the stop grace; covers the latency of a run list and 2% clock drift."""


class DispatchModules:
    """Modules of one dispatcher.

    Parameters
    ----------
    context : DispatchContext
        State that the modules share.
    passes : PassSchedule
        Times of the scheduling passes.
    evacuated : Set of str
        Data centres that are evacuated.
    max_lease : float
        Longest lease that an instance accepts, in seconds.
    stop_grace : float
        Maximum duration of a stop, in seconds.
    evacuation : float
        Time in seconds from which an evacuation has to be in force.
    """

    def __init__(
        self,
        context: DispatchContext,
        passes: PassSchedule,
        *,
        evacuated: Set[str],
        max_lease: float,
        stop_grace: float,
        evacuation: float,
    ) -> None:
        stop_grace += STOP_MARGIN_SECONDS
        orphans = OrphanedRuns(
            max_lease=max_lease, transit=CALL_SECONDS + LEASE_MARGIN_SECONDS
        )
        self._context = context
        self._passes = passes
        self.delivery = OrderDelivery(context, evacuation=evacuation)
        self.ends = RunEnds(context, self.delivery.stop, stop_grace=stop_grace)
        self.evacuation = EvacuationMoves(context, self.delivery, evacuated)
        self.placements = Placements(context, self.delivery, orphans)
        self.renewals = Renewals(context, self.ends, orphans)
        self.departures = InstanceDepartures(context, orphans, self.delivery.stop)
        self.takeover = Takeover(
            context, self.delivery, self.placements, self.departures
        )
        self.outcomes = OutcomeHandler(
            context,
            passes=passes,
            delivery=self.delivery,
            placements=self.placements,
            renewals=self.renewals,
            ends=self.ends,
            departures=self.departures,
        )

    @property
    def due(self) -> float:
        """Time in seconds at which ``propose_due`` is due."""
        return min(self.outcomes.proposals_due, self.ends.due)

    def propose_due(self, now: float) -> list[Effect]:
        """Propose listed ends, and follow up on proposals without a known commit."""
        effects: list[Effect] = []
        if now >= self.ends.due:
            effects += self.ends.propose_listed()
        if now >= self.outcomes.proposals_due:
            effects += self.outcomes.propose_again(now)
        return effects

    def check(
        self, may_interrupt: Callable[[RunView], bool], now: float
    ) -> list[Effect]:
        """Renew leases, resend orders and end runs that can't go on.

        Parameters
        ----------
        may_interrupt : Callable
            Tells whether the budget of the step of a run allows to stop the run.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Orders, proposals and records.
        """
        effects = self.renewals.check(now)
        effects += self.delivery.resend(now)
        draining = self.renewals.list_draining()
        effects += self.delivery.stop_lasting_on(draining, may_interrupt, now)
        effects += self.evacuation.check(now)
        effects += self.departures.check(now)
        effects += self.placements.confirm_runs(now)
        return effects

    def clear(self) -> None:
        """Forget everything of a term at its end."""
        self._context.lease_table = LeaseTable()
        self._passes.clear()
        self.departures.clear()
        self.renewals.clear()
        self.placements.clear()
        self.ends.clear()
        self.delivery.clear()
        self.evacuation.clear()
        self.outcomes.clear()
