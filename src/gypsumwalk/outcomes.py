"""Outcomes of calls and proposals of the dispatcher, passed on to its modules."""

import msgspec

from gypsumwalk.answer_origins import AnswerOrigin, find_origin
from gypsumwalk.dispatch_context import DispatchContext
from gypsumwalk.effects import Effect, Record, Scalar
from gypsumwalk.events import Event
from gypsumwalk.inputs import PlatformOutcome, ProposalOutcome, ProposalStatus
from gypsumwalk.instance_actions import InstanceReport, OrderReport
from gypsumwalk.instance_departures import InstanceDepartures
from gypsumwalk.instance_orders import OpenOrder, OrderKind
from gypsumwalk.leases import InstanceView, RunView
from gypsumwalk.life_clocks import ClockReading
from gypsumwalk.order_delivery import OrderDelivery, note_start_outcome
from gypsumwalk.part import NEVER
from gypsumwalk.pass_schedule import PassSchedule
from gypsumwalk.placements import Placements
from gypsumwalk.renewals import Renewals
from gypsumwalk.run_ends import RunEnds
from gypsumwalk.run_lists import confirm_listed_runs

__all__ = ["OutcomeHandler"]

PROPOSAL_RETRY_SECONDS = 0.1
"""Delay before a proposal without a known commit is followed by another one."""


class OutcomeHandler:
    """Passes the outcomes of calls and proposals on to the module they concern.

    Parameters
    ----------
    context : DispatchContext
        State that the modules of the dispatcher share.
    passes : PassSchedule
        Times of the scheduling passes.
    delivery : OrderDelivery
        Starts and stops that the instances may not have accepted yet.
    placements : Placements
        Placements of runs.
    renewals : Renewals
        Renewals of leases.
    ends : RunEnds
        Ends of runs.
    departures : InstanceDepartures
        Lives that have ended or depart.
    """

    def __init__(
        self,
        context: DispatchContext,
        *,
        passes: PassSchedule,
        delivery: OrderDelivery,
        placements: Placements,
        renewals: Renewals,
        ends: RunEnds,
        departures: InstanceDepartures,
    ) -> None:
        self.proposals_due = NEVER
        """Time in seconds at which proposals without a known commit are followed up."""
        self._context = context
        self._passes = passes
        self._delivery = delivery
        self._placements = placements
        self._renewals = renewals
        self._ends = ends
        self._departures = departures

    def clear(self) -> None:
        """Follow up on no proposal, at the end of a term."""
        self.proposals_due = NEVER

    def handle(
        self, item: PlatformOutcome | ProposalOutcome, now: float
    ) -> list[Effect]:
        """Process the outcome of a call to an instance, or of a proposal."""
        if isinstance(item, PlatformOutcome):
            return self._handle_platform_outcome(item, now)
        return self._handle_proposal_outcome(item, now)

    def _handle_platform_outcome(
        self, item: PlatformOutcome, now: float
    ) -> list[Effect]:
        order = self._context.orders.close(item.token)
        if order is None:
            return []
        view = self._context.lease_table.instances.get(order.life)
        report = item.report
        origin = find_origin(order, report, now)
        if order.run is not None:
            self._note_outcome(order, order.run, item, origin)
        if view is None:
            return []
        if isinstance(report, InstanceReport | OrderReport):
            return self._handle_report(view, order, report, origin, now)
        return self._pass_on(view, order, report, origin, now)

    def _handle_report(
        self,
        view: InstanceView,
        order: OpenOrder,
        report: InstanceReport | OrderReport,
        origin: AnswerOrigin,
        now: float,
    ) -> list[Effect]:
        """Process the answer of an instance, possibly of another life of it."""
        effects: list[Effect] = []
        if origin is AnswerOrigin.OTHER_LIFE:
            effects.append(_describe_other_life(view, order, report, now))
            if report.refused == "identity" or report.born:
                return effects + self._departures.remove_replaced(view)
        if report.refused == "fence":
            return effects + self._renewals.handle_fenced(view, order, now)
        if origin is AnswerOrigin.OTHER_LIFE:
            # A clock alone does not remove a life, whose runs would be repeated.
            effects += self._renewals.doubt(view, now)
        elif report.clock and origin is AnswerOrigin.SAME_LIFE:
            reading = ClockReading(report.clock, order.sent_at, now)
            view.update_clock(reading, is_certain=bool(report.born))
        is_other = origin is not AnswerOrigin.SAME_LIFE
        if isinstance(report, InstanceReport) and (report.refused or is_other):
            # What another life lists, or doesn't, tells nothing of this one, and a
            # refusal lists nothing.
            return effects + self._pass_on(view, order, None, origin, now)
        return effects + self._pass_on(view, order, report, origin, now)

    def _pass_on(
        self,
        view: InstanceView,
        order: OpenOrder,
        report: msgspec.Struct | None,
        origin: AnswerOrigin,
        now: float,
    ) -> list[Effect]:
        if order.kind is OrderKind.RENEW:
            return self._renewals.handle_answer(view, order, report, now)
        if isinstance(report, InstanceReport):
            confirm_listed_runs(view, report, now)
            return []
        if not isinstance(report, OrderReport):
            return []
        return self._delivery.handle_answer(view, order, report, origin, now)

    def _note_outcome(
        self,
        order: OpenOrder,
        run: RunView,
        item: PlatformOutcome,
        origin: AnswerOrigin,
    ) -> None:
        run.is_order_pending = False
        note_start_outcome(order, run, item, origin)
        view = self._context.lease_table.instances.get(order.life)
        if view is not None:
            view.late_start_until = max(view.late_start_until, run.late_start_until)

    def _handle_proposal_outcome(
        self, item: ProposalOutcome, now: float
    ) -> list[Effect]:
        token, status = item.token, item.status
        if self._placements.handle_confirmation_outcome(token, status, now):
            return []
        self._context.request_pass(now)
        if self._placements.handle_outcome(token, status):
            if status is ProposalStatus.UNKNOWN:
                self.request_proposals(now)
            elif status is ProposalStatus.NOT_COMMITTED:
                self._passes.postpone(now + PROPOSAL_RETRY_SECONDS)
        elif self._placements.handle_barrier_outcome(
            token, status
        ) or self._ends.handle_lost_outcome(token, status):
            self.request_proposals(now)
        elif life := self._departures.take_removed(token):
            self._renewals.retry_after_removal(life, status, now)
        elif listed := self._ends.take_listed(token):
            return self._renewals.acknowledge_ends(listed, status, now)
        return []

    def request_proposals(self, now: float) -> None:
        """Follow up on proposals without a known commit after a short delay."""
        self.proposals_due = min(self.proposals_due, now + PROPOSAL_RETRY_SECONDS)

    def propose_again(self, now: float) -> list[Effect]:
        """Follow up on proposals whose command is not known to be committed."""
        self.proposals_due = NEVER
        if not self._context.is_leading(now):
            self.request_proposals(now)
            return []
        return self._ends.propose_again() + self._placements.propose_barrier()


def _describe_other_life(
    view: InstanceView,
    order: OpenOrder,
    report: InstanceReport | OrderReport,
    now: float,
) -> Record:
    expected = order.clock.find_earliest(order.sent_at) if order.clock else 0
    attributes: dict[str, Scalar] = {
        "order": order.kind.value,
        "task": str(order.run.task) if order.run is not None else "",
        "run": order.run.run if order.run is not None else 0,
        "born": report.born,
        "clock": report.clock,
        "expected": expected,
        "window": order.clock.find_latest(now) - expected if order.clock else 0,
        "lease_age": view.find_lease_age(now),
        "acknowledged": view.acknowledged,
    }
    return Record(Event.ANSWER_OF_OTHER_LIFE, view.registered.life, attributes)
