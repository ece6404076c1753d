"""Handler of job calls: submission, status, cancellation and explanation."""

from collections.abc import Sequence

import msgspec

from gypsumwalk.effects import Answer, Effect, Propose, Respond, SendPeer
from gypsumwalk.explanations import (
    AskReason,
    ExplanationRelay,
    TellReason,
    explain_job,
)
from gypsumwalk.inputs import CallInput, PeerInput, ProposalOutcome, ProposalStatus
from gypsumwalk.job_calls import (
    CancelJobCall,
    DescribeJob,
    ExplainJob,
    SubmitJobCall,
    describe_job,
)
from gypsumwalk.job_planner import JobPlanner
from gypsumwalk.job_records import CancelJob, JobRecord, JobState, SubmitJob
from gypsumwalk.jobs import JobSection
from gypsumwalk.problems import Outcome, ProblemType, refuse
from gypsumwalk.state import Rejected
from gypsumwalk.views import FolderView, KeyVerdict, KeyView, LeadershipView

__all__ = ["JOB_CALLS", "JobCallHandler"]

JOB_CALLS = (SubmitJobCall, DescribeJob, CancelJobCall, ExplainJob)
KEY_REFUSALS = {
    KeyVerdict.UNKNOWN_KEY: ProblemType.UNAUTHENTICATED,
    KeyVerdict.FORBIDDEN: ProblemType.FORBIDDEN,
    KeyVerdict.STALE: ProblemType.KEY_VIEW_STALE,
}


class JobCallHandler:
    """Answers the job calls that one daemon receives.

    Parameters
    ----------
    part : str
        Name of the owning part, the prefix of its proposal tokens.
    daemon : str
        Name of the daemon.
    jobs : JobSection
        The jobs.
    planner : JobPlanner
        Source of wait reasons while this daemon leads.
    keys : KeyView
        API keys of the teams.
    folder : FolderView
        The configuration.
    leadership : LeadershipView
        Current leader.
    """

    def __init__(
        self,
        *,
        part: str,
        daemon: str,
        jobs: JobSection,
        planner: JobPlanner,
        keys: KeyView,
        folder: FolderView,
        leadership: LeadershipView,
    ) -> None:
        self.name = part
        self._daemon = daemon
        self._jobs = jobs
        self._planner = planner
        self._keys = keys
        self._folder = folder
        self._leadership = leadership
        self._relay = ExplanationRelay(jobs)
        self._pending_calls: dict[str, tuple[int, str]] = {}
        self._count = 0

    def owns(self, token: str) -> bool:
        """Return whether a proposal was made for a call."""
        return token in self._pending_calls

    def expire(self, now: float) -> Sequence[Effect]:
        """Answer the calls whose request to the leader timed out."""
        return self._relay.expire(now)

    def handle_peer(self, item: PeerInput, now: float) -> list[Effect]:
        """Handle a peer's request for a wait reason, or the reply to one.

        Parameters
        ----------
        item : PeerInput
            The message.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            The reply, or the answer to the pending call.
        """
        match item.body:
            case AskReason(call_id=call_id, job_id=job_id):
                reason = self._planner.explain_wait(job_id)
                return [SendPeer(item.source, TellReason(call_id, reason))]
            case TellReason() as message:
                return self._relay.handle_reason(message, now)
        return []

    def handle_call(self, call: CallInput, now: float) -> list[Effect]:
        """Answer a call, or propose the command it asks for.

        Parameters
        ----------
        call : CallInput
            The call.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            The answer, or a proposal whose outcome is the answer.
        """
        if isinstance(call.body, SubmitJobCall):
            return self._submit(call, call.body, now)
        job_id = call.body.job_id  # type: ignore[attr-defined]
        record = self._jobs.find(job_id)
        if record is None:
            detail = f"job {job_id} is unknown to this daemon"
            refusal = refuse(ProblemType.NOT_FOUND, Outcome.UNKNOWN, detail)
            return [Respond(call.call_id, refusal)]
        refusal_or_none = self._check_key(call, record, now)
        if refusal_or_none is not None:
            return [Respond(call.call_id, refusal_or_none)]
        match call.body:
            case CancelJobCall():
                return self._propose_for(call, CancelJob(job_id), job_id)
            case ExplainJob():
                return [self._explain(call.call_id, record, now)]
        return [Respond(call.call_id, Answer(200, describe_job(record)))]

    def _check_key(
        self, call: CallInput, record: JobRecord, now: float
    ) -> Answer | None:
        permit = self._keys.check(call.credential, record.spec.queue, now)
        if permit.verdict in KEY_REFUSALS:
            return refuse(KEY_REFUSALS[permit.verdict], Outcome.NOT_RUN)
        if permit.team != record.spec.team:
            detail = f"job {record.spec.job_id} belongs to another team"
            return refuse(ProblemType.FORBIDDEN, Outcome.NOT_RUN, detail)
        return None

    def _submit(self, call: CallInput, body: SubmitJobCall, now: float) -> list[Effect]:
        permit = self._keys.check(call.credential, body.queue, now)
        if permit.verdict in KEY_REFUSALS:
            kind = KEY_REFUSALS[permit.verdict]
            return [Respond(call.call_id, refuse(kind, Outcome.NOT_RUN))]
        pool = self._jobs.find_pool(body.queue)
        if not pool:
            detail = f"queue {body.queue} has no service with an instance pool"
            refusal = refuse(ProblemType.NOT_FOUND, Outcome.NOT_RUN, detail)
            return [Respond(call.call_id, refusal)]
        fields = msgspec.structs.asdict(body)
        spec = SubmitJob(team=permit.team, **fields)
        reason = self._explain_unschedulable(spec, pool)
        if reason and self._jobs.find(body.job_id) is None:
            refusal = refuse(ProblemType.NEVER_RUNS, Outcome.NOT_RUN, reason)
            return [Respond(call.call_id, refusal)]
        return self._propose_for(call, spec, body.job_id)

    def _explain_unschedulable(self, spec: SubmitJob, pool: str) -> str:
        team = self._folder.team(spec.team) if spec.team else None
        if spec.team and (team is None or team.limit < 1):
            return f"team {spec.team} has an upper limit of 0 jobs"
        return self._planner.explain_unschedulable(spec, pool)

    def _propose_for(
        self, call: CallInput, command: msgspec.Struct, job_id: str
    ) -> list[Effect]:
        self._count += 1
        token = f"{self.name}/call/{self._count}"
        self._pending_calls[token] = (call.call_id, job_id)
        return [Propose(token, command)]

    def answer_outcome(self, outcome: ProposalOutcome) -> Effect:
        """Answer the call that a proposal was made for.

        Parameters
        ----------
        outcome : ProposalOutcome
            The outcome.

        Returns
        -------
        Effect
            The answer.
        """
        call_id, job_id = self._pending_calls.pop(outcome.token)
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

    def _explain(self, call_id: int, record: JobRecord, now: float) -> Effect:
        job_id = record.spec.job_id
        waiting = record.state is JobState.WAITING
        leader = self._leadership.leader
        if waiting and leader and leader != self._daemon:
            return self._relay.request_reason(call_id, job_id, leader, now)
        wait_reason = self._planner.explain_wait(job_id) if waiting else ""
        return Respond(call_id, explain_job(record, wait_reason, now))


def _refuse_rejected(rejected: Rejected) -> Answer:
    kinds = {
        "ConflictingJob": ProblemType.CONFLICT,
        "TooManyJobs": ProblemType.OVERLOADED,
        "UnknownJob": ProblemType.NOT_FOUND,
    }
    kind = kinds.get(rejected.reason, ProblemType.CONFLICT)
    return refuse(kind, Outcome.NOT_RUN, rejected.detail)
