"""Control of submissions: the leader refuses jobs that can't or must not run."""

from collections.abc import Sequence
from copy import copy
from dataclasses import dataclass

from gypsumwalk.declaration_records import DeclaredQueue, DeclaredTeam
from gypsumwalk.declarations import DeclarationSection
from gypsumwalk.dispatcher import Dispatcher
from gypsumwalk.effects import Answer, Record, Scalar
from gypsumwalk.events import Event
from gypsumwalk.fleet_calls import SubmitWorkloadCall
from gypsumwalk.fleet_refusals import refuse_withdrawn
from gypsumwalk.impossible_jobs import KnownMachine, find_obstacle, list_known_machines
from gypsumwalk.job_admission import Admit, Refuse
from gypsumwalk.machine_directory import MachineDirectory
from gypsumwalk.pool_admission import PoolAdmission, PoolViews
from gypsumwalk.problems import Outcome, ProblemType, refuse
from gypsumwalk.retry_slots import RetrySlots
from gypsumwalk.spare_machines import SpareMachines
from gypsumwalk.task_scheduler import TaskScheduler
from gypsumwalk.withdrawn_jobs import KEEP_SECONDS
from gypsumwalk.workload_records import Workload
from gypsumwalk.workloads import WorkloadSection

__all__ = ["SubmissionControl", "Verdict", "make_workload"]

TERM_SECONDS = 5.0
"""Time after a change of leader in which nothing is refused: the leader reads the
instances again, and callers repeat their calls to the one before."""

MIN_KNOWN_DURATIONS = 20
"""Tasks of a queue whose durations must be known, so that its work can be predicted."""

SETTLED_SECONDS = 10.0
"""Time for which the machines of the fleet must be the same before a job is refused as
impossible; a machine that returns from a maintenance is listed within some seconds."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """Verdict on a submission.

    Attributes
    ----------
    refusal : Answer or None
        Answer to a submission that is refused, None if it is admitted.
    records : Sequence of Record
        Events of the decision.
    """

    refusal: Answer | None = None
    records: Sequence[Record] = ()


class SubmissionControl:
    """Decides on submissions before anything of them is stored.

    A job that was cancelled before is refused. Else it decides on transient jobs of
    queues with an objective only, and in doubt admits them.

    Parameters
    ----------
    declarations : DeclarationSection
        Declaration in force.
    workloads : WorkloadSection
        Jobs and instances.
    dispatcher : Dispatcher
        Leadership of this daemon, and the instances with their runs.
    scheduler : TaskScheduler
        Learned durations and free capacity.
    directory : MachineDirectory
        Machines of the fleet.
    views : PoolViews
        Source of the views of jobs and pools.
    """

    def __init__(
        self,
        *,
        declarations: DeclarationSection,
        workloads: WorkloadSection,
        dispatcher: Dispatcher,
        scheduler: TaskScheduler,
        directory: MachineDirectory,
        views: PoolViews,
    ) -> None:
        self._workloads = workloads
        self._dispatcher = dispatcher
        self._scheduler = scheduler
        self._directory = directory
        self._views = views
        self._spares = SpareMachines(declarations, dispatcher, directory, scheduler)
        self._slots = RetrySlots()
        self._pools: dict[str, PoolAdmission] = {}
        self._term = 0
        self._term_began = 0.0
        self._known: list[KnownMachine] = []
        self._known_at = float("-inf")
        self._is_trial = False

    @property
    def is_term_observed(self) -> bool:
        """Whether no call is needed to observe the term of this daemon."""
        return self._dispatcher.term == self._term

    def observe_term(self, now: float) -> None:
        """Discard the reservations when this daemon begins to lead or ends.

        Parameters
        ----------
        now : float
            Time in seconds; the change of leader was at most one call earlier.
        """
        if not self.is_term_observed:
            self._term = self._dispatcher.term
            self._term_began = now
            self._slots.clear()
            self._pools.clear()

    def decide(
        self,
        workload: Workload,
        queue: DeclaredQueue,
        team: DeclaredTeam | None,
        now: float,
    ) -> Verdict:
        """Decide on a job that is not stored, pending or possibly committed.

        Parameters
        ----------
        workload : Workload
            The job.
        queue : DeclaredQueue
            Its queue.
        team : DeclaredTeam or None
            Its team, None without a key.
        now : float
            Time in seconds.

        Returns
        -------
        Verdict
            Whether it is refused.
        """
        self.observe_term(now)
        if refusal := self._refuse_withdrawn(workload, now):
            return Verdict(refusal)
        if not self._may_refuse(workload, queue, now):
            return Verdict()
        if reason := self._find_obstacle(workload, team, now):
            return _refuse_impossible(workload, reason)
        if self._scheduler.count_durations(queue.name) < MIN_KNOWN_DURATIONS:
            return Verdict()
        return self._decide_on_load(workload, queue, now)

    def _refuse_withdrawn(self, workload: Workload, now: float) -> Answer | None:
        """Return the refusal of a job that was cancelled before, None for others."""
        withdrawn = self._workloads.withdrawn_jobs.find(
            workload.queue, workload.team, workload.job, now
        )
        if withdrawn is None:
            return None
        return refuse_withdrawn(workload.job, withdrawn.at + KEEP_SECONDS - now)

    def preview(
        self,
        workload: Workload,
        queue: DeclaredQueue,
        team: DeclaredTeam | None,
        now: float,
    ) -> Verdict:
        """Return what ``decide`` would return, without any effect of the decision.

        Nothing is reserved, and no cache of this object or of its sources changes.

        Parameters
        ----------
        workload : Workload
            The job.
        queue : DeclaredQueue
            Its queue.
        team : DeclaredTeam or None
            Its team, None without a key.
        now : float
            Time in seconds.

        Returns
        -------
        Verdict
            Whether it would be refused.
        """
        trial = copy(self)
        trial._is_trial = True
        trial._views = self._views.copy()
        trial._spares = self._spares.copy()
        trial._slots = self._slots.copy()
        trial._pools = {
            service: pool.copy(
                views=trial._views, spares=trial._spares, slots=trial._slots
            )
            for service, pool in self._pools.items()
        }
        return trial.decide(workload, queue, team, now)

    def _may_refuse(self, workload: Workload, queue: DeclaredQueue, now: float) -> bool:
        if not self._term or now - self._term_began < TERM_SECONDS:
            return False
        is_recurring = workload.occurrences > 1 or workload.first_run > now
        is_lasting = any(step.lasting for step in workload.steps)
        return queue.objective > 0 and not is_recurring and not is_lasting

    def _decide_on_load(
        self, workload: Workload, queue: DeclaredQueue, now: float
    ) -> Verdict:
        pool = self._pools.get(queue.service)
        if pool is None:
            pool = PoolAdmission(
                queue.service,
                views=self._views,
                spares=self._spares,
                workloads=self._workloads,
                slots=self._slots,
            )
            self._pools[queue.service] = pool
        job = self._views.view_job(workload, queue, now)
        decision = pool.decide(job, now)
        if isinstance(decision, Admit):
            return _describe_admission(workload, decision)
        table = self._dispatcher.lease_table
        if self._scheduler.has_free_capacity(
            workload, table, now, is_trial=self._is_trial
        ):
            pool.admit(job, now)
            return Verdict()
        return self._refuse_hopeless(workload, queue, job.work, decision)

    def _refuse_hopeless(
        self, workload: Workload, queue: DeclaredQueue, work: float, decision: Refuse
    ) -> Verdict:
        answer = refuse(
            ProblemType.OVERLOADED,
            Outcome.NOT_RUN,
            decision.reason,
            retry_after=decision.retry_after,
        )
        attributes: dict[str, Scalar] = {
            "queue": queue.name,
            "service": queue.service,
            "work": round(work, 3),
            "backlog": round(decision.backlog, 3),
            "supply": round(decision.supply, 3),
            "completion": round(decision.completion, 3),
            "retry": round(decision.retry_after, 3),
            "reserved": len(self._slots),
        }
        record = Record(Event.SUBMISSION_REFUSED, workload.job, attributes)
        return Verdict(answer, [record])

    def _find_obstacle(
        self, workload: Workload, team: DeclaredTeam | None, now: float
    ) -> str:
        """Return why a job can never run, empty if it may."""
        if not self._directory.is_settled(SETTLED_SECONDS, now):
            return ""
        if self._known_at != self._directory.read_at:
            self._list_machines()
        if not self._known or not find_obstacle(workload.steps, self._known, team):
            return ""
        # An instance may have registered since the machines were listed.
        self._list_machines()
        if not self._known:
            return ""
        return find_obstacle(workload.steps, self._known, team)

    def _list_machines(self) -> None:
        """List what the machines offer, each kind of machine once."""
        known = list_known_machines(
            self._directory.machines, self._workloads.instances.values()
        )
        self._known = list(dict.fromkeys(known or ()))
        self._known_at = self._directory.read_at


def make_workload(
    call: SubmitWorkloadCall, queue: DeclaredQueue, team: DeclaredTeam | None
) -> Workload:
    """Return the job that a call submits, as it is to be accepted.

    Parameters
    ----------
    call : SubmitWorkloadCall
        The call, with a path below the prefix of the queue.
    queue : DeclaredQueue
        Queue of the job.
    team : DeclaredTeam or None
        Team whose key authenticated the call, None without a key.

    Returns
    -------
    Workload
        The job.
    """
    return Workload(
        job=call.path[len(queue.prefix) :],
        queue=queue.name,
        service=queue.service,
        team=team.name if team else "",
        spec=call.spec,
        steps=call.steps,
        first_run=call.first_run,
        interval=call.interval,
        occurrences=max(1, call.occurrences),
        max_attempts=queue.max_attempts,
    )


def _refuse_impossible(workload: Workload, reason: str) -> Verdict:
    answer = refuse(ProblemType.NEVER_RUNS, Outcome.NOT_RUN, reason)
    attributes: dict[str, Scalar] = {"queue": workload.queue, "reason": reason}
    record = Record(Event.SUBMISSION_IMPOSSIBLE, workload.job, attributes)
    return Verdict(answer, [record])


def _describe_admission(workload: Workload, decision: Admit) -> Verdict:
    if not decision.has_returned:
        return Verdict()
    attributes: dict[str, Scalar] = {"queue": workload.queue}
    record = Record(Event.SUBMISSION_RETURNED, workload.job, attributes)
    return Verdict(records=[record])
