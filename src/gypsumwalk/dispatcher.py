"""Control loop of the leader: renews leases, starts and stops runs, records ends."""

from collections.abc import Iterable, Sequence

import msgspec

from gypsumwalk.advice import AdviceCache
from gypsumwalk.availability import AvailabilityBudget
from gypsumwalk.declaration_records import PutDeclaration
from gypsumwalk.declarations import DeclarationSection
from gypsumwalk.departures import DEPARTURE_SECONDS, TAKEOVER_SECONDS, Departures
from gypsumwalk.effects import Effect, Propose, Record, Scalar
from gypsumwalk.events import Event
from gypsumwalk.inputs import (
    Committed,
    Input,
    PlatformOutcome,
    ProposalOutcome,
    ProposalStatus,
)
from gypsumwalk.instance_actions import InstanceReport, OrderReport
from gypsumwalk.instance_orders import OpenOrder, OrderKind
from gypsumwalk.leases import InstanceView, LeaseTable, RunState, RunView
from gypsumwalk.orphaned_runs import LATE_ORDER_SECONDS, OrphanedRuns
from gypsumwalk.part import NEVER
from gypsumwalk.run_confirmations import RunConfirmations
from gypsumwalk.run_lists import confirm_listed_runs, reconcile_runs
from gypsumwalk.run_orders import CALL_SECONDS, LEASE_MARGIN_SECONDS, RunOrders
from gypsumwalk.state import Accepted
from gypsumwalk.task_scheduler import TaskScheduler
from gypsumwalk.upkeep import NoteMaintained, StartUpkeep
from gypsumwalk.views import LeadershipView
from gypsumwalk.workload_records import (
    AcceptWorkload,
    CancelWorkload,
    ConfirmRuns,
    EndRuns,
    Placement,
    PlaceRuns,
    RegisterInstance,
    RemoveInstance,
    RunEnd,
    RunEndKind,
    TaskKey,
    split_life,
)
from gypsumwalk.workloads import WorkloadSection

__all__ = ["Dispatcher"]

TICK_SECONDS = 0.05
"""Interval of checks; short compared to a stop, which takes at least 0.2 s."""

IDLE_TICK_SECONDS = 0.1
"""Interval at which a daemon that is not the leader checks its leadership."""

BATCH_SECONDS = 0.002
"""Time for which events are batched before one scheduling pass."""

ENDS_BATCH_SECONDS = 0.005
"""Time for which the ends listed by all instances are put into one command."""

RESEND_SECONDS = 0.4
"""Delay before an order without effect is sent again."""

SILENCE_RETRY_SECONDS = 0.3
"""Interval of calls to an instance that does not answer."""

REMOVE_SILENT_SECONDS = 30.0
"""Time without an answer after which an instance without runs is removed."""

STOP_MARGIN_SECONDS = 0.1
"""Added to the stop grace; covers the latency of a run list and 2% clock drift."""

WITHDRAWAL_SECONDS = 2.0
"""Time after an unanswered start until a draining instance is ordered to stop the run;
it lists its runs every 0.8 s, so a run that has begun is known by then."""

START_BACKOFF_SECONDS = 1.0
"""Time for which an instance gets no starts after it refused one."""

DEREGISTRATION_SECONDS = 2.0
"""Time after a doubtful deregistration until an instance that has ended counts as
silent; a renewal takes 1.8 s at most."""

FENCED_SECONDS = 3.0
"""Time without orders after an instance refused a fence; several times the lease of a
leader, which ends if there is a later one."""

PROPOSAL_SECONDS = 2.0
"""Proposal timeout; a command not committed by then waits for a new leader."""

PROPOSAL_RETRY_SECONDS = 0.1
"""Delay before a proposal without a known commit is followed by another one."""


class Dispatcher:
    """Part that runs tasks on instances while this daemon is the leader.

    Parameters
    ----------
    leadership : LeadershipView
        Leadership of the replicated log.
    declarations : DeclarationSection
        Declaration in force.
    workloads : WorkloadSection
        Jobs and instances.
    scheduler : TaskScheduler
        Chooses the runs to start and their instances.
    advice : AdviceCache
        Tickets for steps of queues that require advice.
    max_lease : float
        Longest lease that an instance accepts, in seconds.
    stop_grace : float
        Maximum duration of a stop, in seconds.
    """

    name = "dispatcher"
    accepts: tuple[type, ...] = (
        AcceptWorkload,
        CancelWorkload,
        PlaceRuns,
        EndRuns,
        RegisterInstance,
        RemoveInstance,
        PutDeclaration,
        StartUpkeep,
        NoteMaintained,
    )

    def __init__(
        self,
        *,
        leadership: LeadershipView,
        declarations: DeclarationSection,
        workloads: WorkloadSection,
        scheduler: TaskScheduler,
        advice: AdviceCache,
        max_lease: float,
        stop_grace: float,
    ) -> None:
        self.lease_table = LeaseTable()
        self.is_active = False
        """Whether this daemon was the leader at the latest check."""
        self._leadership = leadership
        self._declarations = declarations
        self._workloads = workloads
        self._scheduler = scheduler
        self._availability = AvailabilityBudget(workloads)
        self._stop_grace = stop_grace + STOP_MARGIN_SECONDS
        self._term = 0
        self._restored_index = 0
        """Index of the last entry that the lease table was restored from."""
        self._fenced_until = float("-inf")
        """Time in seconds before which no orders are sent, after a refused fence."""
        self._fenced_lives: set[str] = set()
        """Lives that refused the fence of this term although the lease went on."""
        self._orders = RunOrders(
            self.name,
            declarations=declarations,
            workloads=workloads,
            advice=advice,
            max_lease=max_lease,
        )
        self._orphans = OrphanedRuns(
            max_lease=max_lease, transit=CALL_SECONDS + LEASE_MARGIN_SECONDS
        )
        self._departures = Departures()
        self._confirmations = RunConfirmations(self._orphans)
        self._confirmation_proposals: dict[str, list[RunView]] = {}
        self._placement_proposals: dict[str, list[RunView]] = {}
        self._listed_ends: list[RunEnd] = []
        self._listed_numbers: dict[str, int] = {}
        """Latest end in ``_listed_ends`` that each instance listed, by its life."""
        self._ends_due = NEVER
        self._end_proposals: dict[str, dict[str, int]] = {}
        self._lost_proposals: dict[str, tuple[list[RunView], list[RunEnd]]] = {}
        self._unresolved_placements: list[RunView] = []
        """Planned runs whose proposal has an unknown outcome."""
        self._barrier_proposals: dict[str, list[RunView]] = {}
        self._unproposed_ends: list[tuple[list[RunView], list[RunEnd]]] = []
        """Ends of lost runs that have to be proposed again."""
        self._removal_proposals: dict[str, str] = {}
        self._proposals_due = NEVER
        self._placement_due = 0.0
        self._proposal_count = 0
        self._ordered_runs: dict[tuple[TaskKey, int], RunView] = {}
        """Runs with a start or a stop that the instance may not have accepted yet."""
        self._tick_due = 0.0
        self._pass_due = NEVER

    @property
    def wakeup(self) -> float:
        """Time in seconds at which ``advance`` is due."""
        return min(self._tick_due, self._pass_due, self._proposals_due, self._ends_due)

    @property
    def term(self) -> int:
        """Term in which this daemon is the leader, 0 if it is not."""
        return self._term

    @property
    def latest_fence(self) -> int:
        """The highest fence of an instance's life in the term of this leader."""
        return self._orders.latest_fence

    def is_leading(self, now: float) -> bool:
        """Tell whether this daemon holds the leader lease and may give orders."""
        return now >= self._fenced_until and self._leadership.holds_lease(now)

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Handle a committed command, or the outcome of a call or a proposal."""
        effects = self._sync_leadership(now)
        if not self._term:
            return effects
        match item:
            case Committed(index=index):
                # The state that this term began with contains the earlier commands.
                if index > self._restored_index:
                    effects += self._handle_command(item, now)
            case PlatformOutcome():
                effects += self._handle_platform_outcome(item, now)
            case ProposalOutcome():
                effects += self._handle_proposal_outcome(item, now)
        return effects

    def advance(self, now: float) -> Sequence[Effect]:
        """Renew leases, resend orders, end runs of expired leases and place tasks."""
        effects = self._sync_leadership(now)
        if not self._term:
            self._tick_due = now + IDLE_TICK_SECONDS
            return effects
        if now >= self._tick_due:
            self._tick_due = now + TICK_SECONDS
            effects += self._tick(now)
        if now >= self._ends_due:
            effects += self._propose_listed_ends()
        if now >= self._proposals_due:
            self._proposals_due = NEVER
            effects += self._propose_again(now)
        if now >= self._pass_due:
            self._pass_due = NEVER
            effects += self._place_ready_tasks(now)
        return effects

    # Leadership

    def _sync_leadership(self, now: float) -> list[Effect]:
        self.is_active = self.is_leading(now)
        if not self.is_active:
            if self._term and self._leadership.term != self._term:
                self._step_down()
            return []
        if self._leadership.term == self._term:
            return []
        self._step_down()
        self._term = self._leadership.term
        self._restored_index = self._leadership.applied_index
        self._orders.begin_term(self._term)
        self._scheduler.reset()
        for registered in self._workloads.instances.values():
            view = self._orders.add_life(registered, now)
            view.min_lease_expiry = now + self._orders.lease_validity_bound
            self.lease_table.instances[registered.life] = view
        self._restore_runs(self._workloads.list_placements(), now)
        self.request_scheduling_pass(now)
        attributes: dict[str, Scalar] = {
            "instances": len(self.lease_table.instances),
            "runs": len(self.lease_table.list_runs()),
        }
        taken_over = Record(Event.FLEET_TAKEN_OVER, f"term {self._term}", attributes)
        return [taken_over]

    def _restore_runs(self, placements: Iterable[Placement], now: float) -> None:
        """Add runs of an earlier leader, which may have sent some starts just now."""
        without_instance = []
        for placement in placements:
            task = placement.task
            if task.job not in self._workloads.jobs:
                continue
            if self.lease_table.find(task, placement.run) is not None:
                continue
            run = self._scheduler.restore_run(placement, self.lease_table)
            self._watch_orders(run)
            run.is_settled = self._workloads.is_settled(placement)
            if not run.is_settled:
                run.unanswered_starts, run.start_sent_at = 1, now
                self._watch_start(run, now)
            if run.life not in self.lease_table.instances:
                without_instance.append(run)
        self._departures.add(without_instance, now + TAKEOVER_SECONDS)

    def _step_down(self) -> None:
        self._term = 0
        self._fenced_until = float("-inf")
        self._fenced_lives.clear()
        self.lease_table = LeaseTable()
        self._orders.begin_term(0)
        self._departures.clear()
        self._orphans.clear()
        self._confirmations.clear()
        self._confirmation_proposals.clear()
        self._placement_proposals.clear()
        self._listed_ends, self._listed_numbers = [], {}
        self._ends_due = NEVER
        self._end_proposals.clear()
        self._lost_proposals.clear()
        self._ordered_runs.clear()
        self._unresolved_placements.clear()
        self._barrier_proposals.clear()
        self._unproposed_ends.clear()
        self._removal_proposals.clear()
        self._proposals_due = NEVER
        self._placement_due = 0.0
        self._pass_due = NEVER

    def request_scheduling_pass(self, now: float) -> None:
        """Schedule a pass over the ready tasks after a short batching delay."""
        due = max(now + BATCH_SECONDS, self._placement_due)
        self._pass_due = min(self._pass_due, due)

    # Commands

    def _handle_command(self, item: Committed, now: float) -> list[Effect]:
        self.request_scheduling_pass(now)
        match item.command:
            case AcceptWorkload(workload=workload):
                self._scheduler.invalidate(workload.job)
            case CancelWorkload(job=job):
                return self._stop_job(job, now)
            case PlaceRuns(term=term) as command:
                if not isinstance(item.result, Accepted):
                    return []
                if term == self._term:
                    return self._start_placed(command, now)
                # An earlier leader placed them, and the command was committed late.
                self._restore_runs(command.placements, now)
            case EndRuns(ends=ends):
                return self._remove_ended(ends, now)
            case RemoveInstance(life=life, reason=reason) as command:
                effects = self._describe_removal(life, reason)
                if command.is_departing:
                    effects += self._stop_departing(life, now)
                return effects + self._sync_instances(now)
            case RegisterInstance():
                return self._sync_instances(now)
        return []

    def _describe_removal(self, life: str, reason: str) -> list[Effect]:
        view = self.lease_table.instances.get(life)
        if view is None:
            return []
        attributes: dict[str, Scalar] = {"runs": len(view.runs), "reason": reason}
        return [Record(Event.INSTANCE_REMOVED, life, attributes)]

    def _sync_instances(self, now: float) -> list[Effect]:
        ended: list[RunView] = []
        known = self._workloads.instances
        for life, view in list(self.lease_table.instances.items()):
            if life in known:
                view.registered = known[life]
                continue
            ended += view.runs.values()
            del self.lease_table.instances[life]
        for life, registered in known.items():
            if life not in self.lease_table.instances:
                view = self._orders.add_life(registered, now)
                self.lease_table.instances[life] = view
        return self._end_with_instance(ended, now)

    def _stop_departing(self, life: str, now: float) -> list[Effect]:
        """Stop the runs of an instance that has deregistered before repeating them."""
        view = self.lease_table.instances.get(life)
        if view is None:
            return []
        runs = list(view.runs.values())
        effects: list[Effect] = []
        for run in runs:
            effects += self.stop(run, now)
            run.has_departed = True
            view.remove_run(run)
        self._departures.add(runs, now + DEPARTURE_SECONDS)
        return effects

    def _end_with_instance(self, runs: Iterable[RunView], now: float) -> list[Effect]:
        """End runs of ended instances, unless the next life may carry them out."""
        ended = self._orphans.separate(runs, now)
        effects = self._end_as_lost(ended, "its instance has ended")
        return effects + self._check_orphans(now)

    def _check_orphans(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        find_latest_life = self._workloads.find_latest_life
        for run in self._orphans.adopt(self.lease_table, find_latest_life):
            effects += self.stop(run, now)
        ended = self._orphans.take_ended(self.lease_table, now)
        return effects + self._end_as_lost(ended, "its instance has ended")

    def _check_departures(self, now: float) -> list[Effect]:
        ended = self._departures.take_ended(self.lease_table, now)
        return self._end_with_instance(ended, now) if ended else []

    def _start_placed(self, command: PlaceRuns, now: float) -> list[Effect]:
        effects: list[Effect] = []
        unsent: list[RunView] = []
        for placement in command.placements:
            run = self.lease_table.find(placement.task, placement.run)
            if run is None or run.state is not RunState.PLANNED:
                continue
            run.state = RunState.STARTING
            self._watch_orders(run)
            if not self._can_start(run, now):
                unsent.append(run)
                continue
            view = self.lease_table.instances[run.life]
            effects += self._orders.start(run, view, now)
            self._watch_start(run, now)
        return effects + self._end_as_lost(unsent, "its start was not sent")

    def _can_start(self, run: RunView, now: float) -> bool:
        view = self.lease_table.instances.get(run.life)
        workload = self._workloads.jobs.get(run.task.job)
        if view is None or workload is None or workload.has_ended:
            return False
        if not self.is_leading(now) or not self._orders.has_advice(run, now):
            return False
        return view.is_responsive and not view.registered.draining

    def _remove_ended(self, ends: Iterable[RunEnd], now: float) -> list[Effect]:
        effects: list[Effect] = []
        removed: list[RunEnd] = []
        for end in ends:
            run = self.lease_table.find(end.task, end.run)
            if run is None:
                continue
            self.lease_table.remove(run)
            removed.append(end)
            self._record_overhead(run, end, now)
            attributes: dict[str, Scalar] = {
                "run": end.run,
                "kind": end.kind.value,
                "life": run.life,
            }
            effects.append(Record(Event.RUN_ENDED, str(end.task), attributes))
        return effects + self._stop_related(removed, now)

    def _record_overhead(self, run: RunView, end: RunEnd, now: float) -> None:
        overhead = run.find_overhead(now)
        if overhead is not None and end.kind is RunEndKind.DONE:
            self._scheduler.record_overhead(overhead)

    def _stop_related(self, ends: Sequence[RunEnd], now: float) -> list[Effect]:
        """Stop the runs that are of no use after the end of others.

        Every ended run is out of the table by now, so no stop is sent for one.
        """
        effects: list[Effect] = []
        for job in dict.fromkeys(end.task.job for end in ends):
            self._scheduler.invalidate(job)
            workload = self._workloads.jobs.get(job)
            if workload is not None and workload.has_ended:
                effects += self._stop_job(job, now)
        for end in ends:
            if end.kind is not RunEndKind.DONE:
                effects += self._stop_gang(end, now)
        return effects

    def _stop_gang(self, end: RunEnd, now: float) -> list[Effect]:
        """Stop the other members of a gang run, which cannot go on without one."""
        step = self._workloads.find_step(end.task)
        if step is None or not step.gang:
            return []
        effects: list[Effect] = []
        for number in range(step.count):
            member = self.lease_table.find(end.task._replace(number=number), end.run)
            if member is not None and not member.is_stopping:
                effects += self.stop(member, now)
        return effects

    def _stop_job(self, job: str, now: float) -> list[Effect]:
        self._scheduler.invalidate(job)
        effects: list[Effect] = []
        for run in self.lease_table.list_runs_of_job(job):
            if not run.is_stopping:
                effects += self.stop(run, now)
        return effects

    def stop(self, run: RunView, now: float) -> list[Effect]:
        """Stop a run; the order is resent until the instance accepts it."""
        run.is_stopping = True
        self._watch_orders(run)
        return self._send_stop(run, now)

    def may_interrupt(self, run: RunView) -> bool:
        """Tell whether the budget of a lasting step allows to stop one of its runs."""
        return self._availability.may_interrupt(run, self.lease_table)

    def hold_starts(self, life: str, now: float) -> None:
        """Send no starts to an instance for a time in which its end would show."""
        view = self.lease_table.instances.get(life)
        if view is not None:
            view.start_backoff_until = now + DEREGISTRATION_SECONDS

    # Orders

    def _send_stop(self, run: RunView, now: float) -> list[Effect]:
        view = self.lease_table.instances.get(run.life)
        if view is None or view.is_fenced_off:
            return []
        if run.state in (RunState.PLANNED, RunState.ENDING):
            return []
        return self._orders.stop(run, view, now) if self.is_leading(now) else []

    def _renew(self, view: InstanceView, now: float) -> list[Effect]:
        if view.is_renewal_pending or view.has_pending_ends or view.is_fenced_off:
            return []
        if not self.is_leading(now):
            return []
        return self._orders.renew(view, now)

    def _tick(self, now: float) -> list[Effect]:
        if not self.is_leading(now):
            return []
        effects: list[Effect] = []
        for view in list(self.lease_table.instances.values()):
            if now >= view.renewal_due:
                effects += self._renew(view, now)
            effects += self._check_unresponsive(view, now)
            self._end_start_backoff(view, now)
        effects += self._resend_orders(now)
        effects += self._stop_lasting_on_draining(now)
        effects += self._check_departures(now)
        effects += self._check_orphans(now)
        effects += self._confirm_runs(now)
        if self._scheduler.invalidate_if_due(now):
            self.request_scheduling_pass(now)
        return effects

    def _end_start_backoff(self, view: InstanceView, now: float) -> None:
        if view.start_backoff_until and now >= view.start_backoff_until:
            view.start_backoff_until = 0.0
            self.request_scheduling_pass(now)

    def _check_unresponsive(self, view: InstanceView, now: float) -> list[Effect]:
        if not view.silent_since:
            return []
        if view.runs and now >= view.find_lease_expiry() + LEASE_MARGIN_SECONDS:
            # The lease that a start sets on another life does not depend on this one.
            lost = [
                run
                for run in view.runs.values()
                if not self._orphans.may_have_begun(run, now)
            ]
            return self._end_as_lost(lost, "its lease has expired")
        if not view.runs and now - view.silent_since > REMOVE_SILENT_SECONDS:
            view.silent_since = now
            reason = "it has not answered for long"
            command = RemoveInstance(view.registered.life, left=False, reason=reason)
            return [self._propose(command)]
        return []

    def _watch_start(self, run: RunView, now: float) -> None:
        step = self._workloads.find_step(run.task)
        is_lasting = step is not None and step.lasting
        self._confirmations.watch(run, now, is_lasting=is_lasting)

    def _confirm_runs(self, now: float) -> list[Effect]:
        runs = self._confirmations.take_settled(self.lease_table, now)
        if not runs:
            return []
        placements = [Placement(run.task, run.run, run.life) for run in runs]
        proposal = self._propose(ConfirmRuns(placements))
        self._confirmation_proposals[proposal.token] = runs
        return [proposal]

    def _watch_orders(self, run: RunView) -> None:
        self._ordered_runs[run.task, run.run] = run

    def _resend_orders(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for key, run in list(self._ordered_runs.items()):
            if self.lease_table.find(*key) is not run or not _has_open_order(run):
                del self._ordered_runs[key]
            else:
                effects += self._resend_order(run, now)
        return effects

    def _resend_order(self, run: RunView, now: float) -> list[Effect]:
        view = self.lease_table.instances.get(run.life)
        if view is None or not view.is_responsive:
            return []
        if run.is_order_pending:
            return self._probe_start(run, view, now)
        if now - run.ordered_at < RESEND_SECONDS:
            return []
        if run.is_stopping:
            return self._send_stop(run, now)
        if run.state is not RunState.STARTING:
            return []
        if view.registered.draining:
            is_overdue = now - run.ordered_at >= WITHDRAWAL_SECONDS
            return self.stop(run, now) if is_overdue else []
        if not self._orders.has_advice(run, now):
            return self.stop(run, now)
        return self._orders.start(run, view, now)

    def _probe_start(
        self, run: RunView, view: InstanceView, now: float
    ) -> list[Effect]:
        """List the runs of an instance that does not answer a start of a lasting task.

        Once a list shows the run, it ends with its instance: otherwise the task has to
        wait until a late copy of the start can do no harm.
        """
        if run.is_stopping or not run.is_lasting:
            return []
        return self._orders.probe(run, view, now)

    def _stop_lasting_on_draining(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for view in self.lease_table.instances.values():
            if not view.registered.draining:
                continue
            for run in list(view.runs.values()):
                if not run.is_lasting or run.is_stopping:
                    continue
                if self.may_interrupt(run):
                    effects += self.stop(run, now)
        return effects

    # Outcomes

    def _handle_platform_outcome(
        self, item: PlatformOutcome, now: float
    ) -> list[Effect]:
        order = self._orders.close(item.token)
        if order is None:
            return []
        view = self.lease_table.instances.get(order.life)
        if order.run is not None:
            self._note_outcome(order, order.run, item, now)
        if view is None:
            return []
        report = item.report
        if isinstance(report, InstanceReport | OrderReport):
            if self._is_other_life(view, report.born, report.refused):
                return self._remove_life(view)
            if report.refused == "fence":
                return self._handle_fenced(view, order, now)
            if report.clock:
                view.update_clock(report.clock, now)
        if order.kind is OrderKind.RENEW:
            return self._handle_renewal_answer(view, order, report, now)
        if isinstance(report, InstanceReport):
            confirm_listed_runs(view, report, now)
            return []
        return self._handle_order_answer(view, order, report, now)

    def _note_outcome(
        self, order: OpenOrder, run: RunView, item: PlatformOutcome, now: float
    ) -> None:
        run.is_order_pending = False
        _note_start_outcome(order, run, item)
        if order.kind is OrderKind.STOP and isinstance(item.report, OrderReport):
            self._departures.note_stop(run, now + self._stop_grace)

    def _handle_fenced(
        self, view: InstanceView, order: OpenOrder, now: float
    ) -> list[Effect]:
        """Stop giving orders, to this life for good.

        If there is a later leader, the lease of this one has ended when the others
        might get orders again. A life that is registered again and refuses again tells
        nothing new.
        """
        if order.fence != view.fence or view.is_fenced_off:
            # It was sent before the instance was removed and registered again, or
            # before the first refusal was known.
            return []
        view.is_fenced_off = True
        life = view.registered.life
        if life not in self._fenced_lives:
            self._fenced_lives.add(life)
            self._fenced_until = now + FENCED_SECONDS
        effects = self._mark_unresponsive(view, now)
        return [Record(Event.FLEET_FENCED, life, {}), *effects]

    def _is_other_life(self, view: InstanceView, born: int, refused: str) -> bool:
        return refused == "identity" or born not in (0, view.registered.born)

    def _remove_life(self, view: InstanceView) -> list[Effect]:
        view.is_renewal_pending = True
        reason = "another instance answers in its place"
        proposal = self._propose(RemoveInstance(view.registered.life, reason=reason))
        self._removal_proposals[proposal.token] = view.registered.life
        return [proposal]

    def _handle_renewal_answer(
        self,
        view: InstanceView,
        order: OpenOrder,
        report: msgspec.Struct | None,
        now: float,
    ) -> list[Effect]:
        view.is_renewal_pending = False
        if not isinstance(report, InstanceReport):
            effects = self._mark_unresponsive(view, now)
            view.renewal_due = now + SILENCE_RETRY_SECONDS
            return effects
        effects = self._mark_responsive(view, now)
        effects += self._reconcile(view, report, order.sent_at, now)
        view.renewal_due = now
        return effects + self._renew(view, now)

    def _mark_unresponsive(self, view: InstanceView, now: float) -> list[Effect]:
        if view.silent_since:
            return []
        view.silent_since = now
        attributes: dict[str, Scalar] = {"runs": len(view.runs)}
        return [Record(Event.INSTANCE_SILENT, view.registered.life, attributes)]

    def _mark_responsive(self, view: InstanceView, now: float) -> list[Effect]:
        if view.is_fenced_off:
            return []
        was_silent = not view.is_responsive
        view.answered_at = now
        view.silent_since = 0.0
        if not was_silent:
            return []
        self.request_scheduling_pass(now)
        attributes: dict[str, Scalar] = {"runs": len(view.runs)}
        return [Record(Event.INSTANCE_READ, view.registered.life, attributes)]

    def _reconcile(
        self, view: InstanceView, report: InstanceReport, sent_at: float, now: float
    ) -> list[Effect]:
        reconciled = reconcile_runs(
            view, report, sent_at=sent_at, now=now, stop_grace=self._stop_grace
        )
        effects: list[Effect] = []
        if self.is_leading(now):
            for task, run in reconciled.unknown_runs:
                effects += self._orders.stop_unknown(view, task, run)
        if not reconciled.ends and not reconciled.last_end:
            return effects
        for end in reconciled.ends:
            run_view = self.lease_table.find(end.task, end.run)
            if run_view is not None:
                run_view.measure(report.clock)
        view.has_pending_ends = True
        self._listed_ends += reconciled.ends
        self._listed_numbers[view.registered.life] = reconciled.last_end
        self._ends_due = min(self._ends_due, now + ENDS_BATCH_SECONDS)
        return effects

    def _handle_order_answer(
        self,
        view: InstanceView,
        order: OpenOrder,
        report: msgspec.Struct | None,
        now: float,
    ) -> list[Effect]:
        run = order.run
        if run is None or not isinstance(report, OrderReport):
            return []
        if order.kind is OrderKind.STOP:
            if not report.refused:
                run.stopped_at = now
            return []
        return self._handle_start_answer(view, run, report, now)

    def _handle_start_answer(
        self, view: InstanceView, run: RunView, report: OrderReport, now: float
    ) -> list[Effect]:
        if run.state is not RunState.STARTING:
            return []
        if report.refused in ("", "old"):
            # "old" means that the run has started and ended: the next run list
            # contains its end.
            run.state = RunState.RUNNING
            run.confirmed_at = now
            if not report.refused:
                run.started_clock = report.clock
            return []
        attributes: dict[str, Scalar] = {
            "run": run.run,
            "life": run.life,
            "reason": report.refused,
        }
        record = Record(Event.RUN_REFUSED, str(run.task), attributes)
        if report.refused == "ticket":
            self._orders.drop_ticket(run)
        else:
            view.start_backoff_until = now + START_BACKOFF_SECONDS
        if run.attempts > 1:
            # An earlier copy of the order may still arrive; the instance refuses it
            # after a stop.
            return [record, *self.stop(run, now)]
        return [record, *self._end_as_lost([run], report.refused)]

    def _handle_proposal_outcome(
        self, item: ProposalOutcome, now: float
    ) -> list[Effect]:
        if confirmed := self._confirmation_proposals.pop(item.token, None):
            if item.status is not ProposalStatus.COMMITTED:
                for run in confirmed:
                    self._watch_start(run, now)
            return []
        self.request_scheduling_pass(now)
        if batch := self._placement_proposals.pop(item.token, None):
            self._handle_placement_outcome(batch, item.status, now)
        elif waiting := self._barrier_proposals.pop(item.token, None):
            self._handle_barrier_outcome(waiting, item.status, now)
        elif lost := self._lost_proposals.pop(item.token, None):
            if item.status is not ProposalStatus.COMMITTED:
                self._unproposed_ends.append(lost)
                self._request_proposals(now)
        elif life := self._removal_proposals.pop(item.token, ""):
            self._handle_removal_outcome(life, item.status, now)
        elif acknowledged := self._end_proposals.pop(item.token, None):
            return self._handle_ends_outcome(acknowledged, item.status, now)
        return []

    def _handle_placement_outcome(
        self, batch: list[RunView], status: ProposalStatus, now: float
    ) -> None:
        if status is ProposalStatus.UNKNOWN:
            # They may still be committed, so they are planned again only after a later
            # command of this term has been applied.
            self._unresolved_placements += batch
            self._request_proposals(now)
        elif status is not ProposalStatus.COMMITTED:
            self._discard_planned(batch)
        if status is ProposalStatus.NOT_COMMITTED:
            self._placement_due = now + PROPOSAL_RETRY_SECONDS
            self._pass_due = self._placement_due

    def _handle_barrier_outcome(
        self, waiting: list[RunView], status: ProposalStatus, now: float
    ) -> None:
        if status is ProposalStatus.COMMITTED:
            self._discard_planned(waiting)
            return
        self._unresolved_placements += waiting
        self._request_proposals(now)

    def _discard_planned(self, runs: Iterable[RunView]) -> None:
        for run in runs:
            if run.state is RunState.PLANNED:
                self.lease_table.remove(run)
                self._scheduler.invalidate(run.task.job)

    def _handle_removal_outcome(
        self, life: str, status: ProposalStatus, now: float
    ) -> None:
        view = self.lease_table.instances.get(life)
        if view is None or status is ProposalStatus.COMMITTED:
            return
        view.is_renewal_pending = False
        view.renewal_due = now + SILENCE_RETRY_SECONDS

    def _handle_ends_outcome(
        self, acknowledged: dict[str, int], status: ProposalStatus, now: float
    ) -> list[Effect]:
        effects: list[Effect] = []
        for life, number in acknowledged.items():
            view = self.lease_table.instances.get(life)
            if view is None:
                continue
            view.has_pending_ends = False
            if status is ProposalStatus.COMMITTED:
                view.acknowledged = max(view.acknowledged, number)
                effects += self._renew(view, now)
            else:
                view.renewal_due = now + SILENCE_RETRY_SECONDS
        return effects

    # Proposals

    def _place_ready_tasks(self, now: float) -> list[Effect]:
        if not self.is_leading(now):
            # The lease may return in the same term, without an event that asks for a
            # pass.
            self._pass_due = now + TICK_SECONDS
            return []
        runs = self._scheduler.plan_runs(self.lease_table, now)
        if not runs:
            return []
        for item in runs:
            item.run.planned_at = now
        command = PlaceRuns(self._term, [item.placement for item in runs])
        proposal = self._propose(command)
        self._placement_proposals[proposal.token] = [item.run for item in runs]
        return [proposal]

    def _propose_listed_ends(self) -> list[Effect]:
        """Propose the ends that instances listed, which are acknowledged afterwards."""
        self._ends_due = NEVER
        proposal = self._propose(EndRuns(self._listed_ends))
        self._end_proposals[proposal.token] = self._listed_numbers
        self._listed_ends, self._listed_numbers = [], {}
        return [proposal]

    def _end_as_lost(self, lost: Iterable[RunView], reason: str) -> list[Effect]:
        """Propose runs as lost whose end their instance will not report."""
        runs = [run for run in lost if run.state is not RunState.ENDING]
        if not runs:
            return []
        ends = [
            RunEnd(run.task, run.run, RunEndKind.LOST, run.checkpoint) for run in runs
        ]
        attributes: dict[str, Scalar] = {"runs": len(ends), "reason": reason}
        record = Record(Event.RUNS_LOST, runs[0].life, attributes)
        return [record, *self._propose_lost_ends(runs, ends)]

    def _propose_lost_ends(
        self, runs: Sequence[RunView], ends: list[RunEnd]
    ) -> list[Effect]:
        # Prevents further starts, which would execute a run recorded as ended.
        for run in runs:
            run.state = RunState.ENDING
        proposal = self._propose(EndRuns(ends))
        self._lost_proposals[proposal.token] = (list(runs), ends)
        return [proposal]

    def _request_proposals(self, now: float) -> None:
        self._proposals_due = min(self._proposals_due, now + PROPOSAL_RETRY_SECONDS)

    def _propose_again(self, now: float) -> list[Effect]:
        """Follow up on proposals whose command is not known to be committed."""
        if not self.is_leading(now):
            self._request_proposals(now)
            return []
        effects: list[Effect] = []
        unproposed, self._unproposed_ends = self._unproposed_ends, []
        for runs, ends in unproposed:
            if any(self.lease_table.find(run.task, run.run) is run for run in runs):
                effects += self._propose_lost_ends(runs, ends)
        waiting, self._unresolved_placements = self._unresolved_placements, []
        if waiting:
            # This leader appends its commands in order, and an expired proposal is not
            # sent again, so placements not committed before this one never will be.
            barrier = self._propose(EndRuns([]))
            self._barrier_proposals[barrier.token] = waiting
            effects.append(barrier)
        return effects

    def _propose(self, command: msgspec.Struct) -> Propose:
        self._proposal_count += 1
        token = f"{self.name}/{self._proposal_count}"
        return Propose(token, command, PROPOSAL_SECONDS)


def _note_start_outcome(order: OpenOrder, run: RunView, item: PlatformOutcome) -> None:
    """Update how many starts of a run a later life of its instance may carry out."""
    if order.kind is not OrderKind.START:
        return
    report = item.report
    if item.unknown:
        run.late_start_until = order.sent_at + LATE_ORDER_SECONDS
        return
    is_other_life = False
    if isinstance(report, OrderReport) and not report.refused:
        is_other_life = report.born not in (0, split_life(order.life)[1])
    if not is_other_life:
        run.unanswered_starts = max(0, run.unanswered_starts - 1)


def _has_open_order(run: RunView) -> bool:
    if run.state is RunState.ENDING:
        return False
    if run.is_stopping:
        return not run.stopped_at
    return run.state is RunState.STARTING
