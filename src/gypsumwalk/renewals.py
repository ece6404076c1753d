"""Renewals of leases: run lists, silent instances and refused fences."""

import msgspec

from gypsumwalk.dispatch_context import DispatchContext
from gypsumwalk.effects import Effect, Record, Scalar
from gypsumwalk.events import Event
from gypsumwalk.inputs import ProposalStatus
from gypsumwalk.instance_actions import InstanceReport
from gypsumwalk.instance_orders import OpenOrder
from gypsumwalk.leases import InstanceView
from gypsumwalk.orphaned_runs import OrphanedRuns, note_lease
from gypsumwalk.renewal_schedule import RenewalSchedule
from gypsumwalk.run_ends import RunEnds
from gypsumwalk.run_orders import LEASE_MARGIN_SECONDS
from gypsumwalk.workload_records import RemoveInstance

__all__ = ["Renewals"]

SILENCE_RETRY_SECONDS = 0.3
"""Interval of calls to an instance that does not answer."""

HELD_ENDS_SECONDS = 0.3
"""Interval of calls to an instance with ends that can't be acknowledged or read."""

REMOVE_SILENT_SECONDS = 30.0
"""Time without an answer after which an instance without runs is removed."""

FENCED_SECONDS = 3.0
"""Time without orders after an instance refused a fence; several times the lease of a
leader, which ends if there is a later one."""

DEREGISTRATION_SECONDS = 2.0
"""Time after a doubtful deregistration until an instance that has ended counts as
silent; a renewal takes 1.8 s at most."""


class Renewals:
    """Requests the run lists of the instances and renews their leases.

    Parameters
    ----------
    context : DispatchContext
        State that the modules of the dispatcher share.
    ends : RunEnds
        Ends of runs, which run lists contain.
    orphans : OrphanedRuns
        Tells which runs may go on without a lease that this leader granted.
    """

    def __init__(
        self, context: DispatchContext, ends: RunEnds, orphans: OrphanedRuns
    ) -> None:
        self.fenced_until = float("-inf")
        """Time in seconds before which no orders are sent, after a refused fence."""
        self._context = context
        self._ends = ends
        self._orphans = orphans
        self._schedule = RenewalSchedule()
        self._fenced_lives: set[str] = set()
        """Lives that refused the fence of this term although the lease went on."""

    def clear(self) -> None:
        """Forget the refused fences, at the end of a term."""
        self.fenced_until = float("-inf")
        self._fenced_lives.clear()

    def check(self, now: float) -> list[Effect]:
        """Renew leases that are due, and check the instances that do not answer."""
        self._schedule.follow(self._context.lease_table.instances, now)
        effects = self._update_pause(now)
        for view in self._schedule.take_due(now):
            if now >= view.renewal_due and not self._is_paused(view, now):
                effects += self._renew(view, now)
            effects += self._check_unresponsive(view, now)
            self._end_start_backoff(view, now)
        return effects

    def _is_paused(self, view: InstanceView, now: float) -> bool:
        """Tell whether the renewal of an idle instance waits until the loop is in time.

        It is then set to its next time.
        """
        if not self._schedule.is_paused or not self._is_idle(view, now):
            return False
        return self._schedule.delay_idle(view, now)

    def _update_pause(self, now: float) -> list[Effect]:
        """Pause the renewals of idle instances while the event loop is late."""
        is_late = self._context.is_late
        if is_late == self._schedule.is_paused:
            return []
        attributes: dict[str, Scalar] = {"idle": self._schedule.spare_count}
        if is_late:
            self._schedule.pause(now)
            attributes["late"] = round(self._context.lateness, 3)
            return [Record(Event.IDLE_RENEWALS_PAUSED, "", attributes)]
        attributes["seconds"] = round(self._schedule.resume(now), 3)
        return [Record(Event.IDLE_RENEWALS_RESUMED, "", attributes)]

    def list_draining(self) -> list[InstanceView]:
        """Return the instances that were draining at the latest check."""
        return self._schedule.list_draining()

    def _renew(self, view: InstanceView, now: float) -> list[Effect]:
        if view.is_renewal_pending or view.has_pending_ends or view.is_fenced_off:
            return []
        if not self._context.is_leading(now):
            return []
        return self._context.orders.renew(view, now)

    def hold_starts(self, life: str, now: float) -> None:
        """Send no starts to an instance for a time in which its end would show."""
        view = self._context.lease_table.instances.get(life)
        if view is not None:
            view.start_backoff_until = now + DEREGISTRATION_SECONDS

    def _end_start_backoff(self, view: InstanceView, now: float) -> None:
        if view.start_backoff_until and now >= view.start_backoff_until:
            view.start_backoff_until = 0.0
            self._context.request_pass(now)

    def _check_unresponsive(self, view: InstanceView, now: float) -> list[Effect]:
        if not view.silent_since:
            return []
        if view.runs and now >= view.find_lease_expiry() + LEASE_MARGIN_SECONDS:
            # The lease that a start sets on another life does not depend on this one.
            lost = [
                run
                for run in note_lease(view)
                if not self._orphans.may_have_begun(run, now)
            ]
            effects = self._context.end_as_lost(lost, "its lease has expired")
            if not effects:
                return []
            contact = self._context.contacts.find(view.registered.life)
            return [_describe_expiry(view, contact, now), *effects]
        if not view.runs and now - view.silent_since > REMOVE_SILENT_SECONDS:
            view.silent_since = now
            reason = "it has not answered for long"
            command = RemoveInstance(
                view.registered.life,
                left=False,
                reason=reason,
                term=self._context.orders.term,
            )
            return [self._context.propose(command)]
        return []

    def handle_answer(
        self,
        view: InstanceView,
        order: OpenOrder,
        report: msgspec.Struct | None,
        now: float,
    ) -> list[Effect]:
        """Process the answer to a renewal, and send the next one.

        Parameters
        ----------
        view : InstanceView
            The instance.
        order : OpenOrder
            The renewal.
        report : msgspec.Struct or None
            Run list of the instance, None without an answer.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Records, stops of unknown runs and the next renewal.
        """
        view.is_renewal_pending = False
        if not isinstance(report, InstanceReport):
            self._set_due(view, now + SILENCE_RETRY_SECONDS)
            return self._mark_unresponsive(view, now)
        view.acknowledgement_received = view.acknowledgement_sent
        effects = self._mark_responsive(view, now)
        effects += self._ends.reconcile(view, report, order.sent_at, now)
        due = order.sent_at + HELD_ENDS_SECONDS
        if view.has_held_ends and not view.has_pending_ends and now < due:
            # The instance does not wait for an end while it lists some.
            self._set_due(view, due)
            return effects
        if self._is_idle(view, now):
            self._schedule.follow(self._context.lease_table.instances, now)
            if self._schedule.delay_idle(view, now):
                return effects
        view.renewal_due = now
        return effects + self._renew_or_retry(view, now)

    def _is_idle(self, view: InstanceView, now: float) -> bool:
        """Tell whether a renewal may wait: no run, order or end depends on it."""
        if view.has_pending_ends or not view.is_idle(now):
            return False
        return not self._context.orders.has_open_changes(view.registered.life)

    def _set_due(self, view: InstanceView, due: float) -> None:
        view.renewal_due = due
        self._schedule.add(view)

    def _renew_or_retry(self, view: InstanceView, now: float) -> list[Effect]:
        """Renew a lease at once; if nothing may be sent now, a later tick does."""
        effects = self._renew(view, now)
        if not effects:
            self._schedule.add(view)
        return effects

    def _mark_unresponsive(self, view: InstanceView, now: float) -> list[Effect]:
        if view.silent_since:
            return []
        view.silent_since = now
        attributes: dict[str, Scalar] = {"runs": len(view.runs)}
        return [Record(Event.INSTANCE_SILENT, view.registered.life, attributes)]

    def doubt(self, view: InstanceView, now: float) -> list[Effect]:
        """Take a life as silent until a run list of it arrives, as another one answers.

        Parameters
        ----------
        view : InstanceView
            The life.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Records, and a renewal unless one waits for its answer.
        """
        return self._mark_unresponsive(view, now) + self._renew(view, now)

    def _mark_responsive(self, view: InstanceView, now: float) -> list[Effect]:
        if view.is_fenced_off:
            return []
        was_silent = not view.is_responsive
        view.answered_at = now
        if not view.first_answered_at:
            view.first_answered_at = now
            self._context.note_contact(view, now)
        view.silent_since = 0.0
        if not was_silent:
            return []
        self._context.request_pass(now)
        attributes: dict[str, Scalar] = {"runs": len(view.runs)}
        return [Record(Event.INSTANCE_READ, view.registered.life, attributes)]

    def handle_fenced(
        self, view: InstanceView, order: OpenOrder, now: float
    ) -> list[Effect]:
        """Stop giving orders, to this life for good.

        If there is a later leader, the lease of this one has ended when the others
        might get orders again. A life that is registered again and refuses again tells
        nothing new.

        Parameters
        ----------
        view : InstanceView
            The instance that refused the fence.
        order : OpenOrder
            The refused order.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Records.
        """
        if order.fence != view.fence or view.is_fenced_off:
            # It was sent before the instance was removed and registered again, or
            # before the first refusal was known.
            return []
        view.is_fenced_off = True
        life = view.registered.life
        if life not in self._fenced_lives:
            self._fenced_lives.add(life)
            self.fenced_until = now + FENCED_SECONDS
        effects = self._mark_unresponsive(view, now)
        return [Record(Event.FLEET_FENCED, life, {}), *effects]

    def retry_after_removal(
        self, life: str, status: ProposalStatus, now: float
    ) -> None:
        """Call a life again whose removal was not committed.

        Parameters
        ----------
        life : str
            The life.
        status : ProposalStatus
            Outcome of the proposal of its removal.
        now : float
            Time in seconds.
        """
        view = self._context.lease_table.instances.get(life)
        if view is None or status is ProposalStatus.COMMITTED:
            return
        view.is_renewal_pending = False
        self._set_due(view, now + SILENCE_RETRY_SECONDS)

    def acknowledge_ends(
        self, listed: dict[str, int], status: ProposalStatus, now: float
    ) -> list[Effect]:
        """Acknowledge committed ends to the instances that listed them.

        Parameters
        ----------
        listed : dict of str to int
            Number of the latest end that each life listed.
        status : ProposalStatus
            Outcome of the proposal of the ends.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Renewals, which carry the acknowledgements.
        """
        effects: list[Effect] = []
        for life, number in listed.items():
            view = self._context.lease_table.instances.get(life)
            if view is None:
                continue
            view.has_pending_ends = False
            if status is ProposalStatus.COMMITTED:
                view.acknowledged = max(view.acknowledged, number)
                effects += self._renew_or_retry(view, now)
            else:
                self._set_due(view, now + SILENCE_RETRY_SECONDS)
        return effects


def _describe_expiry(view: InstanceView, contact: float | None, now: float) -> Record:
    attributes: dict[str, Scalar] = {
        "runs": len(view.runs),
        "lease_age": view.find_lease_age(now),
        "contact": 0.0 if contact is None else round(now - contact, 3),
    }
    return Record(Event.LEASE_EXPIRED, view.registered.life, attributes)
