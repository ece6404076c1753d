"""Handler of the API calls of callers, operators and instances on a fleet."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from gypsumwalk.declaration_records import (
    DeclaredQueue,
    DeclaredTeam,
    PutDeclaration,
    find_errors,
)
from gypsumwalk.declarations import DeclarationSection
from gypsumwalk.dispatcher import Dispatcher
from gypsumwalk.effects import Answer, Effect, Propose, Record, Respond, Scalar
from gypsumwalk.events import Event
from gypsumwalk.fleet_calls import (
    AnnounceInstanceCall,
    CancelWorkloadCall,
    CountWaitingCall,
    DeclarationAnswer,
    DescribeUpkeepCall,
    DescribeWorkloadCall,
    LeaveInstanceCall,
    PutDeclarationCall,
    ReadDeclarationCall,
    StartUpkeepCall,
    SubmitWorkloadCall,
    UpkeepAnswer,
    WaitingAnswer,
    WorkloadAnswer,
)
from gypsumwalk.fleet_refusals import (
    LEADER_HEADER,
    PROPOSAL_SECONDS,
    RETRY_SECONDS,
    authorize,
    make_unknown_answer,
    redirect_to_leader,
    refuse_proposal,
    refuse_withdrawn,
)
from gypsumwalk.inputs import (
    CallInput,
    Committed,
    Input,
    ProposalOutcome,
    ProposalStatus,
)
from gypsumwalk.known_announcements import complete_registration
from gypsumwalk.life_checks import LifeChecks
from gypsumwalk.part import NEVER
from gypsumwalk.problems import Outcome, ProblemType, refuse
from gypsumwalk.state import Rejected
from gypsumwalk.submission_control import SubmissionControl, Verdict, make_workload
from gypsumwalk.upkeep import StartUpkeep, UpkeepSection
from gypsumwalk.views import LeadershipView
from gypsumwalk.withdrawn_jobs import KEEP_SECONDS
from gypsumwalk.workload_records import (
    AcceptWorkload,
    CancelWorkload,
    RegisteredInstance,
    RegisterInstance,
    RemoveInstance,
    name_life,
)
from gypsumwalk.workloads import JOB_WITHDRAWN, TOO_MANY_WITHDRAWN, WorkloadSection

__all__ = ["LEADER_HEADER", "FleetCallHandler"]

DEPARTURE_SECONDS = 0.75
"""Time after which a deregistration is acknowledged although the instance may go on
with its runs; it calls another daemon after 1 s, and a stop takes 0.4 s at most."""

DEPARTURE_CHECK_SECONDS = 0.02
"""Interval of checks whether an instance that deregisters still answers."""

UNSETTLED_SECONDS = 10.0
"""Time in which a command whose proposal timed out may still be committed; it is longer
than an election and the retries of a caller."""

CALLS: tuple[type, ...] = (
    SubmitWorkloadCall,
    DescribeWorkloadCall,
    CancelWorkloadCall,
    CountWaitingCall,
    PutDeclarationCall,
    ReadDeclarationCall,
    AnnounceInstanceCall,
    LeaveInstanceCall,
    StartUpkeepCall,
    DescribeUpkeepCall,
)


SUPERSEDED = "it has ended or was replaced"
"""Reason to ignore the announcement of a life."""


@dataclass(slots=True)
class _Pending:
    """A proposal without an outcome, and the calls that wait for it.

    Attributes
    ----------
    subject : str
        Subject of the decision to record.
    address : str
        Host and path of the job that it accepts; empty for other commands.
    is_cancel : bool
        Whether it cancels the job that is its subject.
    call_ids : list of int
        Numbers of the waiting calls.
    """

    subject: str
    address: str = ""
    is_cancel: bool = False
    call_ids: list[int] = field(default_factory=list)


@dataclass(slots=True)
class _Departure:
    """Calls of a life that deregisters, whose runs are being stopped.

    Attributes
    ----------
    due : float
        Time in seconds at which they are answered if the life is still registered.
    call_ids : list of int
        Numbers of the waiting calls.
    """

    due: float
    call_ids: list[int] = field(default_factory=list)


class FleetCallHandler:
    """Part that answers API calls; daemons that do not lead refer to the leader.

    Parameters
    ----------
    leadership : LeadershipView
        Leadership of the replicated log.
    declarations : DeclarationSection
        Declaration in force.
    workloads : WorkloadSection
        Jobs and instances.
    upkeep : UpkeepSection
        Maintenance waves.
    dispatcher : Dispatcher
        Starts of runs on instances.
    life_checks : LifeChecks
        Calls to lives that were removed and are heard from.
    submission_control : SubmissionControl
        Refusals of jobs that are hopeless or impossible.
    """

    name = "desk"
    accepts: tuple[type, ...] = (*CALLS, RemoveInstance)

    def __init__(
        self,
        *,
        leadership: LeadershipView,
        declarations: DeclarationSection,
        workloads: WorkloadSection,
        upkeep: UpkeepSection,
        dispatcher: Dispatcher,
        life_checks: LifeChecks,
        submission_control: SubmissionControl,
    ) -> None:
        self._leadership = leadership
        self._declarations = declarations
        self._workloads = workloads
        self._upkeep = upkeep
        self._dispatcher = dispatcher
        self._life_checks = life_checks
        self._submission_control = submission_control
        self._pending: dict[str, _Pending] = {}
        self._submissions: dict[str, _Pending] = {}
        self._unsettled: dict[str, float] = {}
        self._departures: dict[str, _Departure] = {}
        """Unanswered deregistrations, by the life that they concern."""
        self._check_due = 0.0

    @property
    def wakeup(self) -> float:
        """Time in seconds at which ``advance`` is due."""
        return self._check_due if self._departures else NEVER

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Process a call, or the outcome of the proposal for one."""
        match item:
            case CallInput():
                return self._handle_call(item, now)
            case ProposalOutcome():
                return self._handle_outcome(item, now)
            case Committed(command=RemoveInstance(life=life)):
                return self._answer_departure(life, now)
        return []

    def advance(self, now: float) -> Sequence[Effect]:
        """Answer the deregistrations of instances whose runs can't be awaited."""
        self._check_due = now + DEPARTURE_CHECK_SECONDS
        silent = {
            view.registered.life
            for view in self._dispatcher.list_departing()
            if view.silent_since and view.runs
        }
        effects: list[Effect] = []
        for life, departure in list(self._departures.items()):
            if departure.due <= now or life in silent:
                effects += self._answer_departure(life, now)
        return effects

    def _handle_call(self, item: CallInput, now: float) -> list[Effect]:
        self._submission_control.observe_term(now)
        if isinstance(item.body, SubmitWorkloadCall) and self._join(item, item.body):
            return []
        if isinstance(item.body, AnnounceInstanceCall) and self._is_known(
            item.body, now
        ):
            return self._acknowledge_known(item, item.body)
        if not self._leadership.holds_lease(now):
            return [Respond(item.call_id, redirect_to_leader(self._leadership))]
        match item.body:
            case SubmitWorkloadCall() as call:
                return self._submit(item, call, now)
            case DescribeWorkloadCall() | CancelWorkloadCall() as lookup:
                return self._look_up(item, lookup)
            case CountWaitingCall() as count:
                return [Respond(item.call_id, self._count_waiting(item, count))]
            case AnnounceInstanceCall() as announcement:
                return self._register_instance(item, announcement, now)
            case LeaveInstanceCall() as leaving:
                return self._remove_instance(item, leaving, now)
        return self._handle_operator_call(item)

    def _handle_operator_call(self, item: CallInput) -> list[Effect]:
        match item.body:
            case PutDeclarationCall() as put:
                return self._put_declaration(item, put)
            case ReadDeclarationCall():
                return [Respond(item.call_id, self._read_declaration())]
            case StartUpkeepCall() as start:
                command = StartUpkeep(
                    start.wave, start.machines, start.duration, start.max_down
                )
                return self._propose(item, command, f"wave {start.wave}")
            case DescribeUpkeepCall(wave=wave):
                return [Respond(item.call_id, self._describe_wave(wave))]
        return []

    def may_be_stored(self, host: str, path: str, now: float) -> bool:
        """Tell whether an earlier submission of a job may still be committed.

        Parameters
        ----------
        host : str
            Host of the job.
        path : str
            Path of the job.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether it is pending, or its outcome is unknown.
        """
        address = f"{host}{path}"
        return address in self._submissions or self._is_unsettled(address, now)

    def _authorize(
        self, item: CallInput, host: str, path: str
    ) -> tuple[DeclaredQueue, DeclaredTeam | None] | Answer:
        return authorize(self._declarations, item.credential, host, path)

    def _submit(
        self, item: CallInput, call: SubmitWorkloadCall, now: float
    ) -> list[Effect]:
        authorized = self._authorize(item, call.host, call.path)
        if isinstance(authorized, Answer):
            return self._respond(item, call.path, authorized)
        queue, team = authorized
        job = call.path[len(queue.prefix) :]
        if not job or not call.steps:
            detail = "a job requires an identifier and at least one step"
            refusal = refuse(ProblemType.MALFORMED, Outcome.NOT_RUN, detail)
            return self._respond(item, call.path, refusal)
        if job in self._workloads.jobs:
            return self._respond(item, job, Answer(200))
        address = f"{call.host}{call.path}"
        workload = make_workload(call, queue, team)
        verdict = Verdict()
        if not self._is_unsettled(address, now):
            verdict = self._submission_control.decide(workload, queue, team, now)
        if verdict.refusal is not None:
            return [*verdict.records, *self._respond(item, job, verdict.refusal)]
        accept = AcceptWorkload(workload)
        return [*verdict.records, *self._propose(item, accept, job, address)]

    def _join(self, item: CallInput, call: SubmitWorkloadCall) -> bool:
        """Let a call wait for the pending proposal of the same job, if there is one.

        This holds without the lease too: the proposal may still be committed, so the
        call must not be refused.
        """
        pending = self._submissions.get(f"{call.host}{call.path}")
        if pending is None:
            return False
        if isinstance(self._authorize(item, call.host, call.path), Answer):
            return False
        pending.call_ids.append(item.call_id)
        return True

    def _look_up(
        self, item: CallInput, call: DescribeWorkloadCall | CancelWorkloadCall
    ) -> list[Effect]:
        authorized = self._authorize(item, call.host, call.path)
        if isinstance(authorized, Answer):
            return self._respond(item, call.path, authorized)
        queue, team = authorized
        job = call.path[len(queue.prefix) :]
        workload = self._workloads.jobs.get(job)
        if isinstance(call, DescribeWorkloadCall):
            if workload is None:
                return self._respond(item, job, _refuse_unknown(job))
            return [Respond(item.call_id, Answer(200, WorkloadAnswer(workload.state)))]
        if workload is not None and workload.has_ended:
            return self._respond(item, job, Answer(200))
        # Its submission may be on its way: the order in the log decides.
        owner = team.name if team is not None and not queue.public else ""
        return self._propose(item, CancelWorkload(job, queue.name, owner), job)

    def _count_waiting(self, item: CallInput, call: CountWaitingCall) -> Answer:
        authorized = self._authorize(item, call.host, call.path)
        if isinstance(authorized, Answer):
            return authorized
        waiting = self._workloads.count_waiting(authorized[0].name)
        return Answer(200, WaitingAnswer(waiting))

    def _put_declaration(
        self, item: CallInput, call: PutDeclarationCall
    ) -> list[Effect]:
        subject = f"version {call.declaration.version}"
        if declaration_errors := find_errors(call.declaration):
            answer = refuse(
                ProblemType.INVALID_DECLARATION,
                Outcome.NOT_RUN,
                f"{subject} of the declaration is invalid",
                errors=declaration_errors,
            )
            return self._respond(item, subject, answer)
        if call.declaration.version <= self._declarations.version:
            return self._respond(item, subject, Answer(200))
        return self._propose(item, PutDeclaration(call.declaration), subject)

    def _read_declaration(self) -> Answer:
        current = self._declarations.current
        if current is None:
            return refuse(
                ProblemType.OVERLOADED,
                Outcome.NOT_RUN,
                "no declaration is in force yet",
            )
        return Answer(200, DeclarationAnswer(current.source))

    def _describe_wave(self, wave: int) -> Answer:
        known = self._upkeep.waves.get(wave)
        if known is None:
            detail = f"wave {wave} does not exist"
            return refuse(ProblemType.NOT_FOUND, Outcome.NOT_RUN, detail)
        return Answer(200, UpkeepAnswer(self._upkeep.is_completed(wave)))

    def _register_instance(
        self, item: CallInput, call: AnnounceInstanceCall, now: float
    ) -> list[Effect]:
        registered = self._complete_registration(call, now)
        if self._workloads.is_superseded(registered):
            return [
                *self._ignore_announcement(item, call, SUPERSEDED),
                *self._life_checks.check(registered, now),
            ]
        if self._is_foreign(registered):
            return self._ignore_foreign(item, call, now)
        return self._propose(item, RegisterInstance(registered), registered.life)

    def _is_foreign(self, registered: RegisteredInstance) -> bool:
        """Tell whether an announcement seems to come from another writer.

        Its service is not declared, and it would replace what is known of an instance
        of another service, whose runs would be taken as ended.
        """
        if self._declarations.current is None:
            return False
        if self._declarations.get_service(registered.service) is not None:
            return False
        replaced = self._workloads.list_replaced(registered)
        return any(other.service != registered.service for other in replaced)

    def _ignore_foreign(
        self, item: CallInput, call: AnnounceInstanceCall, now: float
    ) -> list[Effect]:
        registered = call.registered
        reason = f'no declaration names its service "{registered.service}"'
        effects = self._ignore_announcement(item, call, reason)
        if self._workloads.has_life_at(registered.address):
            # The renewals of that life tell if another one answers there.
            return effects
        return [*effects, *self._life_checks.check(registered, now)]

    def _is_known(self, call: AnnounceInstanceCall, now: float) -> bool:
        """Tell whether an announcement changes nothing in the applied log.

        The log of a daemon that does not lead may end early, but what it contains is
        committed, so such an announcement needs no leader.
        """
        if self._workloads.is_superseded(call.registered):
            return not self._workloads.may_return(call.registered)
        known = self._workloads.instances.get(call.registered.life)
        return known is not None and known == self._complete_registration(call, now)

    def _acknowledge_known(
        self, item: CallInput, call: AnnounceInstanceCall
    ) -> list[Effect]:
        if self._workloads.is_superseded(call.registered):
            return self._ignore_announcement(item, call, SUPERSEDED)
        return [Respond(item.call_id, Answer(200))]

    def _ignore_announcement(
        self, item: CallInput, call: AnnounceInstanceCall, reason: str
    ) -> list[Effect]:
        attributes: dict[str, Scalar] = {"reason": reason}
        return [
            Respond(item.call_id, Answer(200)),
            Record(Event.ANNOUNCEMENT_IGNORED, call.registered.life, attributes),
        ]

    def _complete_registration(
        self, call: AnnounceInstanceCall, now: float
    ) -> RegisteredInstance:
        known = self._workloads.instances.get(call.registered.life)
        if known is not None:
            return complete_registration(call, known)
        cold_until = now + call.cold_remaining if call.cold_remaining else 0.0
        return msgspec.structs.replace(call.registered, cold_until=cold_until)

    def _remove_instance(
        self, item: CallInput, call: LeaveInstanceCall, now: float
    ) -> list[Effect]:
        leaving = self._find_leaving(call)
        if leaving is None:
            return [
                Respond(item.call_id, Answer(200)),
                _describe_deregistration(call, "none"),
            ]
        if not call.born and not self._workloads.may_have_left(leaving):
            # If this life is the one that left, it ends with the acknowledgement and
            # counts as silent.
            self._dispatcher.hold_starts(leaving.life, now)
            return [
                Respond(item.call_id, Answer(200)),
                _describe_deregistration(call, f"{leaving.life} or an earlier one"),
            ]
        departure = self._departures.get(leaving.life)
        if departure is None:
            departure = _Departure(now + DEPARTURE_SECONDS)
            self._departures[leaving.life] = departure
        departure.call_ids.append(item.call_id)
        return [
            _describe_deregistration(call, leaving.life),
            *self._dispatcher.begin_departure(leaving.life, now),
        ]

    def _answer_departure(self, life: str, now: float) -> list[Effect]:
        """Answer the calls of a life that was removed, or whose runs may go on.

        In the second case its draining is committed first: a leader that is cut off
        from the others must not answer, as the next one would not know of the call.
        """
        departure = self._departures.pop(life, None)
        if departure is None:
            return []
        known = self._workloads.instances.get(life)
        if known is None:
            return self._respond_all(departure.call_ids, life, Answer(200), 0)
        if not self._leadership.holds_lease(now):
            answer = redirect_to_leader(self._leadership)
            return self._respond_all(departure.call_ids, life, answer, 0)
        token = f"{self.name}/{departure.call_ids[0]}"
        self._pending[token] = _Pending(life, call_ids=departure.call_ids)
        draining = msgspec.structs.replace(known, draining=True)
        return [Propose(token, RegisterInstance(draining), PROPOSAL_SECONDS)]

    def _find_leaving(self, call: LeaveInstanceCall) -> RegisteredInstance | None:
        if call.born:
            return self._workloads.instances.get(name_life(call.instance, call.born))
        return self._workloads.find_latest_life(call.instance)

    def _propose(
        self,
        item: CallInput,
        command: msgspec.Struct,
        subject: str,
        address: str = "",
    ) -> list[Effect]:
        token = f"{self.name}/{item.call_id}"
        is_cancel = isinstance(command, CancelWorkload)
        pending = _Pending(subject, address, is_cancel, [item.call_id])
        self._pending[token] = pending
        if address:
            self._submissions[address] = pending
        return [Propose(token, command, PROPOSAL_SECONDS)]

    def _handle_outcome(self, item: ProposalOutcome, now: float) -> list[Effect]:
        pending = self._pending.pop(item.token, None)
        if pending is None:
            return []
        self._submissions.pop(pending.address, None)
        answer = self._make_outcome_answer(item, pending, now)
        return self._respond_all(pending.call_ids, pending.subject, answer, item.index)

    def _respond_all(
        self, call_ids: Sequence[int], subject: str, answer: Answer, index: int
    ) -> list[Effect]:
        effects: list[Effect] = []
        for call_id in call_ids:
            effects += [
                Respond(call_id, answer),
                self._record_decision(subject, answer, index),
            ]
        return effects

    def _make_outcome_answer(
        self, outcome: ProposalOutcome, pending: _Pending, now: float
    ) -> Answer:
        match outcome.status:
            case ProposalStatus.COMMITTED:
                self._unsettled.pop(pending.address, None)
                if pending.is_cancel and pending.subject not in self._workloads.jobs:
                    return _refuse_unknown(pending.subject)
                return Answer(200)
            case ProposalStatus.REJECTED:
                return _refuse_rejected(outcome.result, pending.subject)
            case ProposalStatus.UNKNOWN:
                if pending.address:
                    self._add_unsettled(pending.address, now)
                return make_unknown_answer()
        if self._is_unsettled(pending.address, now):
            return make_unknown_answer()
        return refuse_proposal(self._leadership, now)

    def _add_unsettled(self, address: str, now: float) -> None:
        self._unsettled.pop(address, None)
        self._unsettled[address] = now + UNSETTLED_SECONDS
        for known in list(self._unsettled):
            if self._is_unsettled(known, now):
                return
            del self._unsettled[known]

    def _is_unsettled(self, address: str, now: float) -> bool:
        """Tell whether an earlier proposal of a job may still be committed."""
        return now < self._unsettled.get(address, now)

    def _respond(self, item: CallInput, subject: str, answer: Answer) -> list[Effect]:
        return [
            Respond(item.call_id, answer),
            self._record_decision(subject, answer, 0),
        ]

    def _record_decision(self, subject: str, answer: Answer, index: int) -> Effect:
        detail = getattr(answer.body, "detail", "")
        attributes = {
            "status": answer.status,
            "index": index,
            "version": self._declarations.version,
            "reason": detail or "accepted",
        }
        return Record(Event.FLEET_CALL_DECIDED, subject, attributes)


def _refuse_unknown(job: str) -> Answer:
    detail = f'job "{job}" does not exist'
    return refuse(ProblemType.GONE, Outcome.NOT_RUN, detail)


def _refuse_rejected(result: msgspec.Struct | None, subject: str) -> Answer:
    """Return the answer to a call whose command is committed without an effect."""
    reason = result.reason if isinstance(result, Rejected) else ""
    if reason == JOB_WITHDRAWN:
        return refuse_withdrawn(subject, KEEP_SECONDS)
    if reason == TOO_MANY_WITHDRAWN:
        detail = f'job "{subject}" does not exist, and too many such are cancelled'
        return refuse(
            ProblemType.OVERLOADED, Outcome.NOT_RUN, detail, retry_after=RETRY_SECONDS
        )
    return refuse(ProblemType.GONE, Outcome.NOT_RUN, f"{subject} no longer exists")


def _describe_deregistration(call: LeaveInstanceCall, life: str) -> Effect:
    attributes: dict[str, Scalar] = {"born": call.born, "life": life}
    return Record(Event.INSTANCE_DEREGISTERED, call.instance, attributes)
