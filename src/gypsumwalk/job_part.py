"""Daemon part that serves job calls and, on the leader, schedules the jobs."""

from collections.abc import Sequence
from random import Random

import msgspec

from gypsumwalk._platform_calls import PendingCalls
from gypsumwalk._proposals import PendingProposals
from gypsumwalk.effects import Effect, Record, Scalar
from gypsumwalk.events import Event
from gypsumwalk.explanations import PEER_MESSAGES
from gypsumwalk.failure_attribution import FailureAttribution
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
from gypsumwalk.job_call_handler import JOB_CALLS, JobCallHandler
from gypsumwalk.job_calls import ENDPOINTS
from gypsumwalk.job_estimates import JobEstimator
from gypsumwalk.job_planner import JobPlanner
from gypsumwalk.job_records import (
    CancelJob,
    EndJob,
    PlaceJob,
    RefuseJob,
    StartedJob,
    SubmitJob,
)
from gypsumwalk.jobs import JobSection
from gypsumwalk.overload import THROTTLE_PREFIX, OverloadController
from gypsumwalk.platform import ReportWorkers, TaskKey, TaskPhase
from gypsumwalk.pool_commands import LoseInstance, QuarantineInstance
from gypsumwalk.pools import PoolSection
from gypsumwalk.quarantine import QuarantineController
from gypsumwalk.settings import Settings
from gypsumwalk.state import Accepted, Rejected
from gypsumwalk.tasks import AttemptController
from gypsumwalk.views import FolderView, KeyView, LeadershipView

__all__ = ["ENDPOINTS", "PEER_MESSAGES", "JobPart"]

STEP_INTERVAL_SECONDS = 0.5
PROBE_PREFIX = "jobs/probe/"
IMMEDIATE_STEP_PREFIXES = ("jobs/checkpoint/", "jobs/stop/")
"""Token prefixes of calls whose outcome makes ``advance`` due at once."""


class JobPart:
    """Accepts jobs on every daemon; places and tracks them on the leader.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon.
    jobs : JobSection
        The jobs.
    pools : PoolSection
        Instances and their pools.
    heartbeats : HeartbeatTable
        Time of the last heartbeat of each instance.
    keys : KeyView
        API keys of the teams.
    folder : FolderView
        The configuration.
    leadership : LeadershipView
        Current leader and its lease.
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
        self._failures = FailureAttribution()
        self._calls = PendingCalls()
        self._attempts = AttemptController(
            jobs, pools, folder, self._proposals, self._calls, self._failures
        )
        self._quarantine = QuarantineController(
            pools, heartbeats, self._failures, self._proposals, self._calls
        )
        self._estimator = JobEstimator()
        self.planner = JobPlanner(jobs, pools, folder, self._failures, self._estimator)
        self._overload = OverloadController(
            jobs, pools, self.planner, self._attempts, self._calls
        )
        self._call_handler = JobCallHandler(
            part=self.name,
            daemon=settings.name,
            jobs=jobs,
            planner=self.planner,
            keys=keys,
            folder=folder,
            leadership=leadership,
        )
        self._is_leading = False

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Handle one input.

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
                return self._handle_reports(item, now)
            case PeerInput():
                return self._call_handler.handle_peer(item, now)
            case CallInput():
                return self._call_handler.handle_call(item, now)
            case ProposalOutcome(token=token) if self._call_handler.owns(token):
                return [self._call_handler.answer_outcome(item)]
            case ProposalOutcome():
                return self._handle_proposal_outcome(item, now)
            case PlatformOutcome():
                return self._handle_platform_outcome(item, now)
            case Committed(result=Accepted()):
                return self._handle_commit(item.command, now)
        return []

    def advance(self, now: float) -> Sequence[Effect]:
        """Place waiting jobs and advance running attempts while this daemon leads.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        Sequence[Effect]
            Proposals, and calls to the platform.
        """
        self.wakeup = now + STEP_INTERVAL_SECONDS
        answers = list(self._call_handler.expire(now))
        if not self._leadership.holds_lease(now):
            self._is_leading = False
            return answers
        if not self._is_leading:
            self._is_leading = True
            self._attempts.reset(now)
            self._calls.reset()
            self.planner.reset()
            self._failures.reset()
            self._estimator.reset()
            self._overload.reset(now)
            self._quarantine.reset()
        effects = answers + self._attempts.advance(now)
        effects += self._quarantine.advance(now)
        effects += self._overload.advance(now)
        for command in self.planner.plan(now):
            effects += self._propose_placement(command, now)
        for preemption in self.planner.preemptions:
            self._attempts.request_job_stop(preemption.job_id, preemption.cause)
            self.wakeup = now
        return effects

    def _propose_placement(
        self, command: PlaceJob | RefuseJob, now: float
    ) -> list[Effect]:
        proposal = self._proposals.propose(command.job_id, command)
        if not proposal:
            reason = "an earlier proposal for the job is still pending"
            self.planner.handle_failed_placement(command.job_id, reason, now)
        return proposal

    # Leader only.

    def _handle_reports(self, item: Input, now: float) -> list[Effect]:
        if not self._leadership.holds_lease(now):
            return []
        effects: list[Effect] = []
        for report in extract_reports(item):
            self._overload.record_report(report, now)
            for state in report.ended:
                effects += self._attempts.handle_task_state(state, now)
        return effects

    def _handle_platform_outcome(
        self, outcome: PlatformOutcome, now: float
    ) -> list[Effect]:
        if not self._calls.settle(outcome, now):
            if outcome.token.startswith(PROBE_PREFIX):
                self._quarantine.note_lost_probe(outcome.token, now)
            return []
        if not self._leadership.holds_lease(now):
            return []
        if outcome.token.startswith(IMMEDIATE_STEP_PREFIXES):
            self.wakeup = now
        if outcome.token.startswith(THROTTLE_PREFIX):
            self._overload.note_answer(outcome.token)
            return []
        if outcome.token.startswith(PROBE_PREFIX):
            return self._quarantine.handle_probe_report(outcome.report, now)
        return self._attempts.handle_outcome(outcome, now)

    def _handle_proposal_outcome(
        self, outcome: ProposalOutcome, now: float
    ) -> list[Effect]:
        key = self._proposals.settle(outcome)
        if outcome.status is not ProposalStatus.COMMITTED:
            rejected = outcome.result
            detail = "the placement was not committed"
            reason = rejected.detail if isinstance(rejected, Rejected) else detail
            self.planner.handle_failed_placement(key, reason, now)
        return []

    def _handle_commit(self, command: msgspec.Struct, now: float) -> list[Effect]:
        if isinstance(command, SubmitJob | EndJob | CancelJob | PlaceJob):
            self.wakeup = now
        job_id = getattr(command, "job_id", "")
        if job_id and self._is_leading:
            self.planner.update_job(job_id)
            self._attempts.watch(job_id)
        if isinstance(command, LoseInstance):
            self._attempts.watch_instance(command.instance)
        if isinstance(command, EndJob):
            self._record_run(command, now)
        self._quarantine.record_command(command)
        return _make_events(command)

    def _record_run(self, command: EndJob, now: float) -> None:
        record = self._jobs.find(command.job_id)
        if record is None:
            return
        completed = command.phase in (TaskPhase.SUCCEEDED, TaskPhase.FAILED)
        seconds = now - record.started_at if completed and record.started_at else 0.0
        key = TaskKey(command.job_id, command.attempt)
        self._estimator.record_end(key, record.spec, seconds)


def _make_events(command: msgspec.Struct) -> list[Effect]:
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
