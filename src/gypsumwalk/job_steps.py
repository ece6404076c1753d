"""Steps of jobs, taken by the leader, and calls of teams on jobs."""

from collections.abc import Sequence
from random import Random

import msgspec

from gypsumwalk._calls import PendingCalls
from gypsumwalk._proposals import PendingProposals
from gypsumwalk.effects import Answer, Effect, Propose, Record, Respond, Scalar
from gypsumwalk.events import Event
from gypsumwalk.heartbeats import HeartbeatTable, WorkersReported, read_reports
from gypsumwalk.inputs import (
    CallInput,
    Committed,
    Input,
    PeerInput,
    PlatformOutcome,
    ProposalOutcome,
    ProposalStatus,
)
from gypsumwalk.job_calls import (
    ENDPOINTS,
    CancelJobCall,
    DescribeJob,
    ExplainJob,
    SubmitJobCall,
    describe_job,
)
from gypsumwalk.job_records import (
    CancelJob,
    EndJob,
    JobRecord,
    JobState,
    PlaceJob,
    RefuseJob,
    StartedJob,
    SubmitJob,
)
from gypsumwalk.jobs import JobSection
from gypsumwalk.operator_calls import Explanation
from gypsumwalk.overload import OverloadKeeper
from gypsumwalk.platform import ReportWorkers, TaskKey, TaskPhase
from gypsumwalk.pool_commands import QuarantineInstance
from gypsumwalk.pools import PoolSection
from gypsumwalk.problems import Outcome, ProblemType, refuse
from gypsumwalk.quarantine import QuarantineKeeper
from gypsumwalk.queueing import Planner
from gypsumwalk.reasons import Reason
from gypsumwalk.settings import Settings
from gypsumwalk.sizes import SizeTable
from gypsumwalk.state import Accepted, Rejected
from gypsumwalk.suspicion import SuspicionTable
from gypsumwalk.tasks import TaskKeeper
from gypsumwalk.views import FolderView, KeyVerdict, KeyView, LeadershipView

__all__ = ["ENDPOINTS", "JobPart"]

PERIOD_SECONDS = 0.5
PROBE_PREFIX = "jobs/probe/"
JOB_CALLS = (SubmitJobCall, DescribeJob, CancelJobCall, ExplainJob)
KEY_REFUSALS = {
    KeyVerdict.UNKNOWN_KEY: ProblemType.UNAUTHENTICATED,
    KeyVerdict.FORBIDDEN: ProblemType.FORBIDDEN,
    KeyVerdict.STALE: ProblemType.KEY_VIEW_STALE,
}


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
        ReportWorkers,
        WorkersReported,
        SubmitJob,
        PlaceJob,
        StartedJob,
        EndJob,
        CancelJob,
        RefuseJob,
        QuarantineInstance,
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
        self._planner = Planner(jobs, pools, folder, self._suspicion, self._sizes)
        self._overload = OverloadKeeper(
            jobs, pools, self._planner, self._tasks, self._calls
        )
        self._answers: dict[str, tuple[int, str]] = {}
        self._count = 0
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
            case CallInput():
                return self._take_call(item, now)
            case ProposalOutcome(token=token) if token in self._answers:
                return [self._answer_outcome(item)]
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
        if not self._leadership.holds_lease(now):
            self._leading = False
            return []
        if not self._leading:
            self._leading = True
            self._tasks.reset(now)
            self._calls.reset()
            self._planner.reset()
            self._suspicion.reset()
            self._sizes.reset()
            self._overload.reset()
            self._quarantine.reset()
        effects = self._tasks.advance(now)
        effects += self._quarantine.advance(now)
        effects += self._overload.advance(now)
        for command in self._planner.plan(now):
            effects += self._propose_placement(command, now)
        for preemption in self._planner.preemptions:
            self._tasks.request_stop_of(preemption.job_id, preemption.cause)
        return effects

    def _propose_placement(
        self, command: PlaceJob | RefuseJob, now: float
    ) -> list[Effect]:
        proposal = self._proposals.propose(command.job_id, command)
        if not proposal:
            reason = "an earlier step has no outcome yet"
            self._planner.note_failed_proposal(command.job_id, reason, now)
        return proposal

    # The leader's side.

    def _take_reports(self, item: Input, now: float) -> list[Effect]:
        if not self._leadership.holds_lease(now):
            return []
        effects: list[Effect] = []
        for report in read_reports(item):
            self._overload.note_report(report, now)
            for state in report.ended:
                effects += self._tasks.take_state(state, now)
        return effects

    def _take_outcome(self, outcome: PlatformOutcome, now: float) -> list[Effect]:
        if not self._calls.settle(outcome, now):
            return []
        if not self._leadership.holds_lease(now):
            return []
        if outcome.token.startswith(PROBE_PREFIX):
            return self._quarantine.take_report(outcome.report, now)
        return self._tasks.take_outcome(outcome, now)

    def _take_proposal(self, outcome: ProposalOutcome, now: float) -> list[Effect]:
        key = self._proposals.settle(outcome)
        if outcome.status is not ProposalStatus.COMMITTED:
            rejected = outcome.result
            detail = "the log took no placement"
            reason = rejected.detail if isinstance(rejected, Rejected) else detail
            self._planner.note_failed_proposal(key, reason, now)
        return []

    def _take_commit(self, command: msgspec.Struct, now: float) -> list[Effect]:
        if isinstance(command, SubmitJob | EndJob | CancelJob | PlaceJob):
            self.wakeup = now
        job_id = getattr(command, "job_id", "")
        if job_id and self._leading:
            self._planner.note(job_id)
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

    # Teams' calls.

    def _take_call(self, call: CallInput, now: float) -> list[Effect]:
        if isinstance(call.body, SubmitJobCall):
            return self._submit(call, call.body, now)
        job_id = call.body.job_id  # type: ignore[attr-defined]
        record = self._jobs.find(job_id)
        if record is None:
            detail = f"job {job_id} is not known here"
            refusal = refuse(ProblemType.NOT_FOUND, Outcome.UNKNOWN, detail)
            return [Respond(call.call_id, refusal)]
        refusal_or_none = self._check_key(call, record, now)
        if refusal_or_none is not None:
            return [Respond(call.call_id, refusal_or_none)]
        match call.body:
            case CancelJobCall():
                return self._propose_for(call, CancelJob(job_id), job_id)
            case ExplainJob():
                return [Respond(call.call_id, self._explain(record, now))]
        return [Respond(call.call_id, Answer(200, describe_job(record)))]

    def _check_key(
        self, call: CallInput, record: JobRecord, now: float
    ) -> Answer | None:
        permit = self._keys.check(call.credential, record.spec.queue, now)
        if permit.verdict in KEY_REFUSALS:
            return refuse(KEY_REFUSALS[permit.verdict], Outcome.NOT_RUN)
        if permit.team != record.spec.team:
            detail = "the job is another team's"
            return refuse(ProblemType.FORBIDDEN, Outcome.NOT_RUN, detail)
        return None

    def _submit(self, call: CallInput, body: SubmitJobCall, now: float) -> list[Effect]:
        permit = self._keys.check(call.credential, body.queue, now)
        if permit.verdict in KEY_REFUSALS:
            kind = KEY_REFUSALS[permit.verdict]
            return [Respond(call.call_id, refuse(kind, Outcome.NOT_RUN))]
        pool = self._jobs.find_pool(body.queue)
        if not pool:
            detail = f"queue {body.queue} has no service with a pool"
            refusal = refuse(ProblemType.NOT_FOUND, Outcome.NOT_RUN, detail)
            return [Respond(call.call_id, refusal)]
        fields = msgspec.structs.asdict(body)
        spec = SubmitJob(team=permit.team, **fields)
        never = self._explain_never(spec, pool)
        if never and self._jobs.find(body.job_id) is None:
            refusal = refuse(ProblemType.NEVER_RUNS, Outcome.NOT_RUN, never)
            return [Respond(call.call_id, refusal)]
        return self._propose_for(call, spec, body.job_id)

    def _explain_never(self, spec: SubmitJob, pool: str) -> str:
        team = self._folder.team(spec.team) if spec.team else None
        if spec.team and (team is None or team.limit < 1):
            return f"team {spec.team} has an upper limit of 0"
        return self._planner.explain_never(spec, pool)

    def _propose_for(
        self, call: CallInput, command: msgspec.Struct, job_id: str
    ) -> list[Effect]:
        self._count += 1
        token = f"{self.name}/call/{self._count}"
        self._answers[token] = (call.call_id, job_id)
        return [Propose(token, command)]

    def _answer_outcome(self, outcome: ProposalOutcome) -> Effect:
        call_id, job_id = self._answers.pop(outcome.token)
        return Respond(call_id, self._choose_answer(outcome, job_id))

    def _choose_answer(self, outcome: ProposalOutcome, job_id: str) -> Answer:
        match outcome.status:
            case ProposalStatus.NOT_COMMITTED:
                return refuse(ProblemType.NO_QUORUM, Outcome.NOT_RUN)
            case ProposalStatus.REJECTED if isinstance(outcome.result, Rejected):
                return _refuse_rejected(outcome.result)
            case ProposalStatus.COMMITTED:
                record = self._jobs.find(job_id)
                if record is not None:
                    return Answer(200, describe_job(record))
        return refuse(ProblemType.OUTCOME_UNKNOWN, Outcome.UNKNOWN)

    def _explain(self, record: JobRecord, now: float) -> Answer:
        reasons = list(record.reasons)
        waits = self._planner.explain(record.spec.job_id)
        if record.state is JobState.WAITING and waits:
            reasons.append(Reason(now, f"waits: {waits}"))
        job_id = record.spec.job_id
        return Answer(200, Explanation(job_id, record.state.value, reasons))


def _refuse_rejected(rejected: Rejected) -> Answer:
    kinds = {
        "ConflictingJob": ProblemType.CONFLICT,
        "TooManyJobs": ProblemType.OVERLOADED,
        "UnknownJob": ProblemType.NOT_FOUND,
    }
    kind = kinds.get(rejected.reason, ProblemType.CONFLICT)
    return refuse(kind, Outcome.NOT_RUN, rejected.detail)


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
