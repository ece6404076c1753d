"""Leader's loop over a fleet: renews leases, starts and stops runs, notes ends."""

from collections.abc import Iterable, Sequence

import msgspec

from gypsumwalk.advice import AdviceCache
from gypsumwalk.declaration_records import PutDeclaration
from gypsumwalk.declarations import DeclarationSection
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
from gypsumwalk.leases import InstanceView, LeaseBook, RunState, RunView
from gypsumwalk.part import NEVER
from gypsumwalk.run_lists import compare_lists
from gypsumwalk.run_orders import LAPSE_MARGIN_SECONDS, RunOrders
from gypsumwalk.scheduler import Scheduler
from gypsumwalk.state import Accepted
from gypsumwalk.upkeep import NoteMaintained, StartUpkeep
from gypsumwalk.views import LeadershipView
from gypsumwalk.workload_records import (
    AcceptWorkload,
    CancelWorkload,
    EndRuns,
    PlaceRuns,
    RegisterInstance,
    RemoveInstance,
    RunEnd,
    RunEndKind,
)
from gypsumwalk.workloads import WorkloadSection

__all__ = ["Dispatcher"]

TICK_SECONDS = 0.05
"""Interval of checks; short against the 200 ms that a stop may take."""

IDLE_TICK_SECONDS = 0.1
"""Interval in seconds at which a daemon looks whether it has become the leader."""

BATCH_SECONDS = 0.002
"""Time in seconds that events are gathered before one pass over the queues."""

RESEND_SECONDS = 0.4
"""Time in seconds before an order without an answer is sent again."""

SILENCE_RETRY_SECONDS = 0.3
"""Time in seconds between calls to an instance that does not answer."""

FORGET_SECONDS = 30.0
"""Time in seconds of silence after which an instance without runs is forgotten."""

STOP_MARGIN_SECONDS = 0.1
"""Covers the way of a list and clocks whose rates differ by 2%."""

REJECTED_SECONDS = 1.0
"""Time in seconds for which an instance gets no starts after it rejected one."""

PROPOSAL_SECONDS = 2.0
"""A command not committed by then waits for a new leader."""


class Dispatcher:
    """The part that runs tasks on instances while this daemon leads.

    Parameters
    ----------
    leadership : LeadershipView
        Leadership of the replicated log.
    declarations : DeclarationSection
        Declaration in force.
    workloads : WorkloadSection
        Jobs and instances.
    scheduler : Scheduler
        Chooses what starts where.
    advice : AdviceCache
        Tickets for steps of queues with advice.
    max_lease : float
        Longest lease that an instance takes, in seconds.
    stop_grace : float
        Longest time that a stop takes, in seconds.
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
        scheduler: Scheduler,
        advice: AdviceCache,
        max_lease: float,
        stop_grace: float,
    ) -> None:
        self.book = LeaseBook()
        self.is_active = False
        """Whether this daemon led at the last check, for those who ask who leads."""
        self._leadership = leadership
        self._declarations = declarations
        self._workloads = workloads
        self._scheduler = scheduler
        self._stop_grace = stop_grace + STOP_MARGIN_SECONDS
        self._term = 0
        self._fenced_term = 0
        self._orders = RunOrders(
            self.name,
            declarations=declarations,
            workloads=workloads,
            advice=advice,
            max_lease=max_lease,
        )
        self._batches: dict[str, list[RunView]] = {}
        self._acknowledging: dict[str, tuple[str, int]] = {}
        self._losing: dict[str, tuple[list[RunView], list[RunEnd]]] = {}
        self._proposals = 0
        self._due = 0.0
        self._pass_due = NEVER

    @property
    def wakeup(self) -> float:
        """Time in seconds at which ``advance`` is due next."""
        return min(self._due, self._pass_due)

    @property
    def term(self) -> int:
        """Term that this daemon leads in, 0 while it does not lead."""
        return self._term

    def is_leading(self, now: float) -> bool:
        """Tell whether orders of this daemon are the ones that count."""
        leads = self._leadership.holds_lease(now)
        return leads and self._leadership.term != self._fenced_term

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Take in a committed command, or the end of a call or a proposal."""
        effects = self._refresh(now)
        if not self._term:
            return effects
        match item:
            case Committed():
                effects += self._take_command(item, now)
            case PlatformOutcome():
                effects += self._take_outcome(item, now)
            case ProposalOutcome():
                effects += self._take_proposal(item, now)
        return effects

    def advance(self, now: float) -> Sequence[Effect]:
        """Renew leases, resend orders, end lapsed runs and place waiting tasks."""
        effects = self._refresh(now)
        if not self._term:
            self._due = now + IDLE_TICK_SECONDS
            return effects
        if now >= self._due:
            self._due = now + TICK_SECONDS
            effects += self._tick(now)
        if now >= self._pass_due:
            self._pass_due = NEVER
            effects += self._place(now)
        return effects

    # Leadership

    def _refresh(self, now: float) -> list[Effect]:
        self.is_active = self.is_leading(now)
        if not self.is_active:
            if self._term and self._leadership.term != self._term:
                self._resign()
            return []
        if self._leadership.term == self._term:
            return []
        self._resign()
        self._term = self._leadership.term
        self._orders.begin(self._term)
        self._scheduler.reset()
        for registered in self._workloads.instances.values():
            view = InstanceView(registered, renewal_due=now)
            view.lapse_floor = now + self._orders.lease_span
            self.book.instances[registered.life] = view
        for placement in self._workloads.list_placed():
            self._scheduler.adopt(placement, self.book)
        self.request_pass(now)
        runs = len(self.book.list_runs())
        attributes: dict[str, Scalar] = {
            "instances": len(self.book.instances),
            "runs": runs,
        }
        return [Record(Event.FLEET_TAKEN_OVER, f"term {self._term}", attributes)]

    def _resign(self) -> None:
        self._term = 0
        self.book = LeaseBook()
        self._orders.begin(0)
        self._batches.clear()
        self._acknowledging.clear()
        self._losing.clear()
        self._pass_due = NEVER

    def request_pass(self, now: float) -> None:
        """Look at the waiting tasks soon, as something that they wait for has come."""
        self._pass_due = min(self._pass_due, now + BATCH_SECONDS)

    # Commands

    def _take_command(self, item: Committed, now: float) -> list[Effect]:
        self.request_pass(now)
        match item.command:
            case AcceptWorkload(workload=workload):
                self._scheduler.touch(workload.job)
            case CancelWorkload(job=job):
                return self._stop_job(job, now)
            case PlaceRuns(term=term) as command:
                if term == self._term and isinstance(item.result, Accepted):
                    return self._start_placed(command, now)
            case EndRuns(ends=ends):
                return self._forget_ended(ends, now)
            case RegisterInstance() | RemoveInstance():
                return self._match_instances(now)
        return []

    def _match_instances(self, now: float) -> list[Effect]:
        lost: list[RunView] = []
        known = self._workloads.instances
        for life, view in list(self.book.instances.items()):
            if life in known:
                view.registered = known[life]
                continue
            lost += view.runs.values()
            del self.book.instances[life]
        for life, registered in known.items():
            if life not in self.book.instances:
                view = InstanceView(registered, renewal_due=now)
                self.book.instances[life] = view
        return self._lose(lost, "its instance has ended")

    def _start_placed(self, command: PlaceRuns, now: float) -> list[Effect]:
        effects: list[Effect] = []
        unsent: list[RunView] = []
        for placement in command.placements:
            run = self.book.find(placement.task, placement.run)
            if run is None or run.state is not RunState.PLANNED:
                continue
            run.state = RunState.STARTING
            if not self._may_start(run, now):
                unsent.append(run)
                continue
            effects += self._orders.start(run, self.book.instances[run.life], now)
        return effects + self._lose(unsent, "it was not sent")

    def _may_start(self, run: RunView, now: float) -> bool:
        view = self.book.instances.get(run.life)
        workload = self._workloads.jobs.get(run.task.job)
        if view is None or workload is None or workload.is_over:
            return False
        if not self.is_leading(now) or not self._orders.has_advice(run, now):
            return False
        return view.is_responsive and not view.registered.draining

    def _forget_ended(self, ends: Iterable[RunEnd], now: float) -> list[Effect]:
        effects: list[Effect] = []
        for end in ends:
            run = self.book.find(end.task, end.run)
            if run is None:
                continue
            self.book.remove(run)
            self._scheduler.touch(end.task.job)
            attributes: dict[str, Scalar] = {
                "run": end.run,
                "kind": end.kind.value,
                "life": run.life,
            }
            effects.append(Record(Event.RUN_ENDED, str(end.task), attributes))
            workload = self._workloads.jobs.get(end.task.job)
            if workload is not None and workload.is_over:
                effects += self._stop_job(end.task.job, now)
            elif end.kind is not RunEndKind.DONE:
                effects += self._stop_gang(end, now)
        return effects

    def _stop_gang(self, end: RunEnd, now: float) -> list[Effect]:
        """Stop the other members of a run of a gang, which can't work any more."""
        step = self._workloads.find_step(end.task)
        if step is None or not step.gang:
            return []
        effects: list[Effect] = []
        for number in range(step.count):
            member = self.book.find(end.task._replace(number=number), end.run)
            if member is not None and not member.stopping:
                effects += self.stop(member, now)
        return effects

    def _stop_job(self, job: str, now: float) -> list[Effect]:
        self._scheduler.touch(job)
        effects: list[Effect] = []
        for run in self.book.list_runs():
            if run.task.job == job and not run.stopping:
                effects += self.stop(run, now)
        return effects

    def stop(self, run: RunView, now: float) -> list[Effect]:
        """Stop a run, now and until the instance has taken the order."""
        run.stopping = True
        return self._send_stop(run, now)

    # Orders

    def _send_stop(self, run: RunView, now: float) -> list[Effect]:
        view = self.book.instances.get(run.life)
        if view is None or run.state in (RunState.PLANNED, RunState.ENDING):
            return []
        return self._orders.stop(run, view, now) if self.is_leading(now) else []

    def _renew(self, view: InstanceView, now: float) -> list[Effect]:
        if view.renewal_open or view.ends_open or not self.is_leading(now):
            return []
        return self._orders.renew(view, now)

    def _tick(self, now: float) -> list[Effect]:
        if not self.is_leading(now):
            return []
        effects: list[Effect] = []
        for view in list(self.book.instances.values()):
            if now >= view.renewal_due:
                effects += self._renew(view, now)
            effects += self._check_silence(view, now)
        for run in self.book.list_runs():
            effects += self._resend(run, now)
        effects += self._empty_draining(now)
        if self._scheduler.is_time_due(now):
            self.request_pass(now)
        return effects

    def _check_silence(self, view: InstanceView, now: float) -> list[Effect]:
        if not view.silent_since:
            return []
        if view.runs and now >= view.find_lapse() + LAPSE_MARGIN_SECONDS:
            return self._lose(view.runs.values(), "its lease has ended")
        if not view.runs and now - view.silent_since > FORGET_SECONDS:
            view.silent_since = now
            return [self._propose(RemoveInstance(view.registered.life, left=False))]
        return []

    def _resend(self, run: RunView, now: float) -> list[Effect]:
        view = self.book.instances.get(run.life)
        if view is None or run.order_open or not view.is_responsive:
            return []
        if now - run.ordered_at < RESEND_SECONDS:
            return []
        if run.state is RunState.ENDING:
            return []
        if run.stopping:
            return [] if run.stopped_at else self._send_stop(run, now)
        if run.state is RunState.STARTING and not view.registered.draining:
            if not self._orders.has_advice(run, now):
                return self.stop(run, now)
            return self._orders.start(run, view, now)
        return []

    def _empty_draining(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for view in self.book.instances.values():
            if not view.registered.draining:
                continue
            for run in list(view.runs.values()):
                step = self._workloads.find_step(run.task)
                if step is not None and step.lasting and not run.stopping:
                    effects += self.stop(run, now)
        return effects

    # Outcomes

    def _take_outcome(self, item: PlatformOutcome, now: float) -> list[Effect]:
        order = self._orders.close(item.token)
        if order is None:
            return []
        view = self.book.instances.get(order.life)
        if order.run is not None:
            order.run.order_open = False
        if view is None:
            return []
        report = item.report
        if isinstance(report, InstanceReport | OrderReport):
            if self._is_other_life(view, report.born, report.refused):
                return self._end_life(view)
            if report.refused == "fence":
                self._fenced_term = self._term
                return [Record(Event.FLEET_FENCED, view.registered.life, {})]
            if report.clock:
                view.note_clock(report.clock, now)
        if order.kind is OrderKind.RENEW:
            return self._take_renewal(view, order, report, now)
        return self._take_order(view, order, report, now)

    def _is_other_life(self, view: InstanceView, born: int, refused: str) -> bool:
        return refused == "identity" or born not in (0, view.registered.born)

    def _end_life(self, view: InstanceView) -> list[Effect]:
        view.renewal_open = True
        return [self._propose(RemoveInstance(view.registered.life))]

    def _take_renewal(
        self,
        view: InstanceView,
        order: OpenOrder,
        report: msgspec.Struct | None,
        now: float,
    ) -> list[Effect]:
        view.renewal_open = False
        if not isinstance(report, InstanceReport):
            effects = self._note_silence(view, now)
            view.renewal_due = now + SILENCE_RETRY_SECONDS
            return effects
        effects = self._note_answer(view, now)
        effects += self._reconcile(view, report, order.sent_at, now)
        view.renewal_due = now
        if not effects or not view.ends_open:
            effects += self._renew(view, now)
        return effects

    def _note_silence(self, view: InstanceView, now: float) -> list[Effect]:
        if view.silent_since:
            return []
        view.silent_since = now
        attributes: dict[str, Scalar] = {"runs": len(view.runs)}
        return [Record(Event.INSTANCE_SILENT, view.registered.life, attributes)]

    def _note_answer(self, view: InstanceView, now: float) -> list[Effect]:
        was_silent = not view.is_responsive
        view.answered_at = now
        view.silent_since = 0.0
        if not was_silent:
            return []
        self.request_pass(now)
        attributes: dict[str, Scalar] = {"runs": len(view.runs)}
        return [Record(Event.INSTANCE_READ, view.registered.life, attributes)]

    def _reconcile(
        self, view: InstanceView, report: InstanceReport, sent_at: float, now: float
    ) -> list[Effect]:
        compared = compare_lists(
            view, report, sent_at=sent_at, now=now, stop_grace=self._stop_grace
        )
        effects: list[Effect] = []
        if self.is_leading(now):
            for task, run in compared.strangers:
                effects += self._orders.stop_stranger(view, task, run)
        if not compared.ends and not compared.last_end:
            return effects
        view.ends_open = True
        proposal = self._propose(EndRuns(compared.ends))
        life = view.registered.life
        self._acknowledging[proposal.token] = (life, compared.last_end)
        return [*effects, proposal]

    def _take_order(
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
        return self._take_start(view, run, report, now)

    def _take_start(
        self, view: InstanceView, run: RunView, report: OrderReport, now: float
    ) -> list[Effect]:
        if run.state is not RunState.STARTING:
            return []
        if report.refused in ("", "old"):
            # A refusal as old means that the run began and has ended: the next list
            # shows its end.
            run.state = RunState.RUNNING
            run.confirmed_at = now
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
            view.rejected_until = now + REJECTED_SECONDS
        if run.attempts > 1:
            # An earlier copy of the order may still arrive; a stop shuts it out.
            return [record, *self.stop(run, now)]
        return [record, *self._lose([run], report.refused)]

    def _take_proposal(self, item: ProposalOutcome, now: float) -> list[Effect]:
        self.request_pass(now)
        if batch := self._batches.pop(item.token, None):
            if item.status in (ProposalStatus.REJECTED, ProposalStatus.NOT_COMMITTED):
                for run in batch:
                    self.book.remove(run)
                    self._scheduler.touch(run.task.job)
            return []
        if (losing := self._losing.pop(item.token, None)) and (
            item.status is not ProposalStatus.COMMITTED
        ):
            return self._propose_loss(*losing)
        acknowledged = self._acknowledging.pop(item.token, None)
        if acknowledged is None:
            return []
        life, number = acknowledged
        view = self.book.instances.get(life)
        if view is None:
            return []
        view.ends_open = False
        if item.status is ProposalStatus.COMMITTED:
            view.acknowledged = max(view.acknowledged, number)
            return self._renew(view, now)
        view.renewal_due = now + SILENCE_RETRY_SECONDS
        return []

    # Proposals

    def _place(self, now: float) -> list[Effect]:
        if not self.is_leading(now):
            return []
        runs = self._scheduler.choose(self.book, now)
        if not runs:
            return []
        command = PlaceRuns(self._term, [item.placement for item in runs])
        proposal = self._propose(command)
        self._batches[proposal.token] = [item.run for item in runs]
        return [proposal]

    def _lose(self, lost: Iterable[RunView], reason: str) -> list[Effect]:
        """Take runs as ended that their instance will not report."""
        runs = [run for run in lost if run.state is not RunState.ENDING]
        if not runs:
            return []
        ends = [
            RunEnd(run.task, run.run, RunEndKind.LOST, run.checkpoint) for run in runs
        ]
        attributes: dict[str, Scalar] = {"runs": len(ends), "reason": reason}
        record = Record(Event.RUNS_LOST, runs[0].life, attributes)
        return [record, *self._propose_loss(runs, ends)]

    def _propose_loss(
        self, runs: Sequence[RunView], ends: list[RunEnd]
    ) -> list[Effect]:
        # A start that is sent from now on would begin a run that counts as ended.
        for run in runs:
            run.state = RunState.ENDING
        proposal = self._propose(EndRuns(ends))
        self._losing[proposal.token] = (list(runs), ends)
        return [proposal]

    def _propose(self, command: msgspec.Struct) -> Propose:
        self._proposals += 1
        token = f"{self.name}/{self._proposals}"
        return Propose(token, command, PROPOSAL_SECONDS)
