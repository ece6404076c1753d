"""Control loop of the leader: renews leases, starts and stops runs, records ends."""

from collections.abc import Iterable, Sequence

import msgspec

from gypsumwalk.advice import AdviceCache
from gypsumwalk.availability import AvailabilityBudget
from gypsumwalk.declaration_records import PutDeclaration
from gypsumwalk.declarations import DeclarationSection
from gypsumwalk.dispatch_context import DispatchContext
from gypsumwalk.dispatch_modules import DispatchModules
from gypsumwalk.effects import Effect, Propose
from gypsumwalk.evacuations import (
    EvacuationSection,
    FinishEvacuation,
    StartEvacuation,
)
from gypsumwalk.inputs import (
    Committed,
    Input,
    LoopLateness,
    PlatformOutcome,
    ProposalOutcome,
)
from gypsumwalk.leases import InstanceView, LeaseTable, RunView
from gypsumwalk.life_contacts import LifeContacts
from gypsumwalk.part import NEVER
from gypsumwalk.pass_schedule import PassSchedule
from gypsumwalk.run_orders import RunOrders
from gypsumwalk.state import Rejected
from gypsumwalk.task_scheduler import TaskScheduler
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
"""Interval of checks; short compared to a stop, which takes at least 0.2 s."""

IDLE_TICK_SECONDS = 0.1
"""Interval at which a daemon that is not the leader checks its leadership."""


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
    evacuations : EvacuationSection
        Evacuated data centres.
    scheduler : TaskScheduler
        Chooses the runs to start and their instances.
    advice : AdviceCache
        Tickets for steps of queues that require advice.
    max_lease : float
        Longest lease that an instance accepts, in seconds.
    stop_grace : float
        Maximum duration of a stop, in seconds.
    evacuation : float
        Time in seconds after the acknowledgement of an evacuation from which no task
        may start in the data centre.
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
        LoopLateness,
        StartEvacuation,
        FinishEvacuation,
    )

    def __init__(
        self,
        *,
        leadership: LeadershipView,
        declarations: DeclarationSection,
        workloads: WorkloadSection,
        evacuations: EvacuationSection,
        scheduler: TaskScheduler,
        advice: AdviceCache,
        max_lease: float,
        stop_grace: float,
        evacuation: float,
    ) -> None:
        self.is_active = False
        """Whether this daemon was the leader at the latest check."""
        self._leadership = leadership
        self._workloads = workloads
        self._scheduler = scheduler
        self._availability = AvailabilityBudget(workloads)
        self._term = 0
        self._restored_index = 0
        """Index of the last entry that the lease table was restored from."""
        self._orders = RunOrders(
            self.name,
            declarations=declarations,
            workloads=workloads,
            advice=advice,
            evacuated=evacuations.data_centres,
            max_lease=max_lease,
        )
        self._passes = PassSchedule()
        self._context = DispatchContext(
            part=self.name,
            workloads=workloads,
            scheduler=scheduler,
            orders=self._orders,
            contacts=LifeContacts(workloads, max_lease=max_lease),
            is_leading=lambda now: self.is_leading(now),
            request_pass=self.request_scheduling_pass,
            end_as_lost=lambda runs, reason: self._end_as_lost(runs, reason),
        )
        self._modules = DispatchModules(
            self._context,
            self._passes,
            evacuated=evacuations.data_centres,
            max_lease=max_lease,
            stop_grace=stop_grace,
            evacuation=evacuation,
        )
        self._tick_due = 0.0

    @property
    def lease_table(self) -> LeaseTable:
        """Instances and runs of the current term."""
        return self._context.lease_table

    @property
    def wakeup(self) -> float:
        """Time in seconds at which ``advance`` is due."""
        return min(self._tick_due, self._passes.due, self._modules.due)

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
        is_fenced = now < self._modules.renewals.fenced_until
        return not is_fenced and self._leadership.holds_lease(now)

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Handle a committed command, or the outcome of a call or a proposal."""
        if isinstance(item, LoopLateness):
            self._context.lateness = item.seconds
            return []
        if isinstance(item, Committed) and isinstance(item.command, PlaceRuns):
            self._context.contacts.note_placements(item.command.placements, now)
        effects = self._sync_leadership(now)
        if not self._term:
            return effects
        match item:
            case Committed(index=index):
                # The state that this term began with contains the earlier commands.
                if index > self._restored_index:
                    effects += self._handle_command(item, now)
            case PlatformOutcome() | ProposalOutcome():
                effects += self._modules.outcomes.handle(item, now)
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
        effects += self._modules.propose_due(now)
        if now >= self._passes.due:
            self._passes.due = NEVER
            effects += self._place_ready_tasks(now)
        return effects

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
        self.request_scheduling_pass(now)
        return self._modules.takeover.restore(self._term, now)

    def _step_down(self) -> None:
        self._term = 0
        self._orders.begin_term(0)
        self._modules.clear()

    @property
    def is_late(self) -> bool:
        """Whether the event loop is so late that optional work is shed."""
        return self._context.is_late

    def request_scheduling_pass(self, now: float) -> None:
        """Schedule a pass over the ready tasks after a short batching delay."""
        self._passes.request(now, is_late=self._context.is_late)

    def stop(self, run: RunView, now: float) -> list[Effect]:
        """Stop a run; the order is resent until the instance accepts it."""
        return self._modules.delivery.stop(run, now)

    def may_interrupt(self, run: RunView) -> bool:
        """Tell whether the budget of a lasting step allows to stop one of its runs."""
        return self._availability.may_interrupt(run, self.lease_table)

    def may_interrupt_all(self, runs: Sequence[RunView]) -> bool:
        """Tell whether the budgets of their steps allow to stop runs together."""
        return self._availability.may_interrupt_all(runs, self.lease_table)

    def find_interruption_limit(self, run: RunView) -> int:
        """Return how many runs of a lasting step its budget allows to stop at once."""
        return self._availability.find_limit(run)

    def hold_starts(self, life: str, now: float) -> None:
        """Send no starts to an instance for a time in which its end would show."""
        self._modules.renewals.hold_starts(life, now)

    def begin_departure(self, life: str, now: float) -> list[Effect]:
        """Stop the runs of a life that deregisters, and then propose its removal.

        Parameters
        ----------
        life : str
            The life.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Orders and proposals.
        """
        effects = self._sync_leadership(now)
        if not self._term:
            return effects
        return effects + self._modules.departures.begin(life, now)

    def list_departing(self) -> list[InstanceView]:
        """Return the instances that have deregistered and are still registered."""
        return self._modules.departures.list_departing()

    def _tick(self, now: float) -> list[Effect]:
        if not self.is_leading(now):
            return []
        effects = self._modules.check(self.may_interrupt, now)
        if self._scheduler.invalidate_if_due(now):
            self.request_scheduling_pass(now)
        return effects

    def _handle_command(self, item: Committed, now: float) -> list[Effect]:
        self.request_scheduling_pass(now)
        if isinstance(item.result, Rejected):
            return []
        match item.command:
            case AcceptWorkload(workload=workload):
                self._scheduler.invalidate(workload.job)
            case CancelWorkload(job=job):
                return self._stop_job(job, now)
            case PlaceRuns(term=term, placements=placements):
                if term == self._term:
                    return self._modules.placements.start(
                        placements, self._can_start, now
                    )
                # An earlier leader placed them, and the command was committed late.
                self._modules.takeover.restore_runs(placements, now)
            case EndRuns(ends=ends):
                removed, effects = self._modules.ends.remove(ends, now)
                return effects + self._stop_related(removed, now)
            case RemoveInstance() as command:
                return self._modules.departures.handle_removal(command, now)
            case RegisterInstance(instance=instance):
                return self._modules.departures.sync(instance.life, now)
            case StartEvacuation() | FinishEvacuation():
                return self._modules.evacuation.record_changes()
        return []

    def _can_start(self, run: RunView, now: float) -> bool:
        view = self.lease_table.instances.get(run.life)
        workload = self._workloads.jobs.get(run.task.job)
        if view is None or workload is None or workload.has_ended:
            return False
        if not self.is_leading(now) or not self._orders.has_advice(run, now):
            return False
        return view.is_responsive and not view.is_draining

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
        return self._modules.delivery.stop_gang(end, now)

    def _stop_job(self, job: str, now: float) -> list[Effect]:
        self._scheduler.invalidate(job)
        return self._modules.delivery.stop_job(job, now)

    def _place_ready_tasks(self, now: float) -> list[Effect]:
        if not self.is_leading(now):
            # The lease may return in the same term, without an event that asks for a
            # pass.
            self._passes.due = now + TICK_SECONDS
            return []
        return self._modules.placements.plan(self._term, now)

    def _end_as_lost(self, lost: Iterable[RunView], reason: str) -> list[Effect]:
        return self._modules.ends.end_as_lost(lost, reason)

    def _propose(self, command: msgspec.Struct) -> Propose:
        return self._context.propose(command)
