"""Steps of jobs, taken by the leader, and calls of teams on jobs."""

from collections.abc import Sequence
from random import Random

import msgspec

from gypsumwalk._calls import PendingCalls
from gypsumwalk._proposals import PendingProposals
from gypsumwalk.effects import Effect, Record, Scalar
from gypsumwalk.events import Event
from gypsumwalk.explanations import PEER_MESSAGES
from gypsumwalk.heartbeats import HeartbeatTable, WorkersReported, extract_reports
from gypsumwalk.inputs import (
    CallInput,
    Committed,
    Input,
    PeerInput,
    PlatformOutcome,
    ProposalOutcome,
    ProposalStatus,
)
from gypsumwalk.job_calls import ENDPOINTS
from gypsumwalk.job_desk import JOB_CALLS, JobDesk
from gypsumwalk.job_records import (
    CancelJob,
    EndJob,
    PlaceJob,
    RefuseJob,
    StartedJob,
    SubmitJob,
)
from gypsumwalk.jobs import JobSection
from gypsumwalk.overload import OverloadKeeper
from gypsumwalk.platform import ReportWorkers, TaskKey, TaskPhase
from gypsumwalk.pool_commands import LoseInstance, QuarantineInstance
from gypsumwalk.pools import PoolSection
from gypsumwalk.quarantine import QuarantineKeeper
from gypsumwalk.queueing import Planner
from gypsumwalk.settings import Settings
from gypsumwalk.sizes import SizeTable
from gypsumwalk.state import Accepted, Rejected
from gypsumwalk.suspicion import SuspicionTable
from gypsumwalk.tasks import TaskKeeper
from gypsumwalk.views import FolderView, KeyView, LeadershipView

__all__ = ["ENDPOINTS", "PEER_MESSAGES", "JobPart"]

PERIOD_SECONDS = 0.5
PROBE_PREFIX = "jobs/probe/"
HASTY_PREFIXES = ("jobs/checkpoint/", "jobs/stop/")
"""Calls after whose answers a further step is due at once."""


class JobPart:
    """Takes jobs on any daemon, and places and follows them while it leads.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon.
    jobs : JobSection
        The jobs.
    pools : PoolSection
        Instances and their pools.
    heartbeats : HeartbeatTable
        When each instance was last heard.
    keys : KeyView
        Teams' keys.
    folder : FolderView
        The configuration.
    leadership : LeadershipView
        Who leads.
    random : Random
        Random numbers.
    """

    name = "jobs"
    accepts = (
        *JOB_CALLS,
        *PEER_MESSAGES,
        ReportWorkers,
        WorkersReported,
        SubmitJob,
        PlaceJob,
        StartedJob,
        EndJob,
        CancelJob,
        RefuseJob,
        QuarantineInstance,
        LoseInstance,
    )

    def __init__(
        self,
        *,
        settings: Settings,
        jobs: JobSection,
        pools: PoolSection,
        heartbeats: HeartbeatTable,
        keys: KeyView,
        folder: FolderView,
        leadership: LeadershipView,
        random: Random,
    ) -> None:
        self.wakeup = 0.0
        self._daemon = settings.name
        self._jobs = jobs
        self._pools = pools
        self._keys = keys
        self._folder = folder
        self._leadership = leadership
        self._random = random
        self._proposals = PendingProposals(self.name)
        self._suspicion = SuspicionTable()
        self._calls = PendingCalls()
        self._tasks = TaskKeeper(
            jobs, pools, folder, self._proposals, self._calls, self._suspicion
        )
        self._quarantine = QuarantineKeeper(
            pools, heartbeats, self._suspicion, self._proposals, self._calls
        )
        self._sizes = SizeTable()
        self.planner = Planner(jobs, pools, folder, self._suspicion, self._sizes)
        self._overload = OverloadKeeper(
            jobs, pools, self.planner, self._tasks, self._calls
        )
        self._desk = JobDesk(
            part=self.name,
            daemon=settings.name,
            jobs=jobs,
            planner=self.planner,
            keys=keys,
            folder=folder,
            leadership=leadership,
        )
        self._leading = False

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Take in one input.

        Parameters
        ----------
        item : Input
            The input.
        now : float
            Time in seconds.

        Returns
        -------
        Sequence[Effect]
            Answers, events, proposals and calls to the platform.
        """
        match item:
            case CallInput(body=ReportWorkers()) | PeerInput(body=WorkersReported()):
                return self._take_reports(item, now)
            case PeerInput():
                return self._desk.take_peer(item, now)
            case CallInput():
                return self._desk.take_call(item, now)
            case ProposalOutcome(token=token) if self._desk.owns(token):
                return [self._desk.answer_outcome(item)]
            case ProposalOutcome():
                return self._take_proposal(item, now)
            case PlatformOutcome():
                return self._take_outcome(item, now)
            case Committed(result=Accepted()):
                return self._take_commit(item.command, now)
        return []

    def advance(self, now: float) -> Sequence[Effect]:
        """Place what waits, and follow what runs.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        Sequence[Effect]
            Proposals, and calls to the platform.
        """
        self.wakeup = now + PERIOD_SECONDS
        answers = list(self._desk.expire(now))
        if not self._leadership.holds_lease(now):
            self._leading = False
            return answers
        if not self._leading:
            self._leading = True
            self._tasks.reset(now)
            self._calls.reset()
            self.planner.reset()
            self._suspicion.reset()
            self._sizes.reset()
            self._overload.reset()
            self._quarantine.reset()
        effects = answers + self._tasks.advance(now)
        effects += self._quarantine.advance(now)
        effects += self._overload.advance(now)
        for command in self.planner.plan(now):
            effects += self._propose_placement(command, now)
        for preemption in self.planner.preemptions:
            self._tasks.request_stop_of(preemption.job_id, preemption.cause)
            self.wakeup = now
        return effects

    def _propose_placement(
        self, command: PlaceJob | RefuseJob, now: float
    ) -> list[Effect]:
        proposal = self._proposals.propose(command.job_id, command)
        if not proposal:
            reason = "an earlier step has no outcome yet"
            self.planner.note_failed_proposal(command.job_id, reason, now)
        return proposal

    # The leader's side.

    def _take_reports(self, item: Input, now: float) -> list[Effect]:
        if not self._leadership.holds_lease(now):
            return []
        effects: list[Effect] = []
        for report in extract_reports(item):
            self._overload.note_report(report, now)
            for state in report.ended:
                effects += self._tasks.take_state(state, now)
        return effects

    def _take_outcome(self, outcome: PlatformOutcome, now: float) -> list[Effect]:
        if not self._calls.settle(outcome, now):
            return []
        if not self._leadership.holds_lease(now):
            return []
        if outcome.token.startswith(HASTY_PREFIXES):
            self.wakeup = now
        if outcome.token.startswith(PROBE_PREFIX):
            return self._quarantine.take_report(outcome.report, now)
        return self._tasks.take_outcome(outcome, now)

    def _take_proposal(self, outcome: ProposalOutcome, now: float) -> list[Effect]:
        key = self._proposals.settle(outcome)
        if outcome.status is not ProposalStatus.COMMITTED:
            rejected = outcome.result
            detail = "the log took no placement"
            reason = rejected.detail if isinstance(rejected, Rejected) else detail
            self.planner.note_failed_proposal(key, reason, now)
        return []

    def _take_commit(self, command: msgspec.Struct, now: float) -> list[Effect]:
        if isinstance(command, SubmitJob | EndJob | CancelJob | PlaceJob):
            self.wakeup = now
        job_id = getattr(command, "job_id", "")
        if job_id and self._leading:
            self.planner.note(job_id)
            self._tasks.watch(job_id)
        if isinstance(command, LoseInstance):
            self._tasks.watch_instance(command.instance)
        if isinstance(command, EndJob):
            self._learn(command, now)
        self._quarantine.note(command)
        return _record(command)

    def _learn(self, command: EndJob, now: float) -> None:
        record = self._jobs.find(command.job_id)
        if record is None:
            return
        whole = command.phase in (TaskPhase.SUCCEEDED, TaskPhase.FAILED)
        seconds = now - record.started_at if whole and record.started_at else 0.0
        key = TaskKey(command.job_id, command.attempt)
        self._sizes.note_end(key, record.spec, seconds)


def _record(command: msgspec.Struct) -> list[Effect]:
    match command:
        case SubmitJob(job_id=job_id, team=team):
            return [Record(Event.JOB_SUBMITTED, job_id, {"team": team})]
        case PlaceJob(job_id, attempt, instance, reason):
            placed: dict[str, Scalar] = {"attempt": attempt, "instance": instance}
            return [Record(Event.JOB_PLACED, job_id, placed | {"reason": reason})]
        case StartedJob(job_id, attempt):
            return [Record(Event.JOB_STARTED, job_id, {"attempt": attempt})]
        case EndJob(job_id=job_id, attempt=attempt, phase=phase):
            ended: dict[str, Scalar] = {"attempt": attempt, "phase": phase.value}
            return [Record(Event.JOB_ATTEMPT_ENDED, job_id, ended)]
        case CancelJob(job_id):
            return [Record(Event.JOB_CANCELLED, job_id)]
        case QuarantineInstance(instance, reason):
            return [Record(Event.INSTANCE_QUARANTINED, instance, {"reason": reason})]
        case RefuseJob(job_id, reason):
            return [Record(Event.JOB_REFUSED, job_id, {"reason": reason})]
    return []
