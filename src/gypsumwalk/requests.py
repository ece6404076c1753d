"""Handling of callers' requests: admission, routing, cancellation and shutdown."""

from collections.abc import Sequence
from random import Random

from gypsumwalk.demands import DemandPlanner
from gypsumwalk.effects import Answer, Effect, Record, Respond, Stop
from gypsumwalk.events import Event
from gypsumwalk.inputs import (
    CallInput,
    DispatchOutcome,
    Input,
    MemberChange,
    MembershipChanged,
    PeerInput,
    ShutdownRequested,
)
from gypsumwalk.part import NEVER
from gypsumwalk.problems import Outcome, ProblemType, refuse
from gypsumwalk.relays import RelayTable
from gypsumwalk.request_attempts import AttemptTable
from gypsumwalk.request_messages import (
    PEER_MESSAGES,
    AcknowledgeRun,
    Content,
    DemandSlots,
    GrantSlot,
    RelayAnswer,
    RelayCall,
    ReportRun,
    ReturnSlot,
    StartRun,
    make_content,
)
from gypsumwalk.request_scheduler import RequestScheduler
from gypsumwalk.request_table import (
    Request,
    RequestIdentity,
    RequestTable,
    Waiter,
    answer_waiter,
)
from gypsumwalk.settings import Settings
from gypsumwalk.shedding import Refusal
from gypsumwalk.submissions import (
    ENDPOINTS,
    CancelRequest,
    MintTicket,
    ReadRequest,
    RequestState,
    RequestStatus,
    SubmitRequest,
    Ticket,
)
from gypsumwalk.targets import TargetPart
from gypsumwalk.views import (
    FolderView,
    KeyVerdict,
    KeyView,
    MembershipView,
    PortionView,
    QueueRule,
)

__all__ = ["COMMANDS", "ENDPOINTS", "PEER_MESSAGES", "RequestPart"]

COMMANDS: tuple[type, ...] = ()
TICK_SECONDS = 0.02
TICKET_SECONDS = 300.0
DEFAULT_CALL_SECONDS = 2.0
"""Time-out of a relayed read or cancellation; deadline where no queue is known."""
RELAY_MARGIN_SECONDS = 2.0
MAX_WAITERS_PER_REQUEST = 4
RETRY_AFTER_SECONDS = 1.0
MIN_SHUTDOWN_SECONDS = 1.0
"""Minimum time from unreadiness to the stop, for load balancers to notice it."""

KEY_PROBLEMS = {
    KeyVerdict.UNKNOWN_KEY: ProblemType.UNAUTHENTICATED,
    KeyVerdict.FORBIDDEN: ProblemType.FORBIDDEN,
    KeyVerdict.STALE: ProblemType.KEY_VIEW_STALE,
}

Call = SubmitRequest | ReadRequest | CancelRequest


class RequestPart:
    """Accepts requests, runs them on targets and answers them.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon.
    keys : KeyView
        View of the keys.
    folder : FolderView
        View of the configuration.
    portions : PortionView
        View of the portions of the teams' quotas.
    membership : MembershipView
        View of the cluster's members.
    targets : TargetPart
        Targets of this daemon.
    random : Random
        Source of the random choices.
    incarnation : int
        Incarnation of this daemon.
    """

    name = "requests"
    accepts: tuple[type, ...] = (
        SubmitRequest,
        MintTicket,
        ReadRequest,
        CancelRequest,
        *PEER_MESSAGES,
        MembershipChanged,
        ShutdownRequested,
    )

    def __init__(
        self,
        *,
        settings: Settings,
        keys: KeyView,
        folder: FolderView,
        portions: PortionView,
        membership: MembershipView,
        targets: TargetPart,
        random: Random,
        incarnation: int,
    ) -> None:
        self._name = settings.name
        self._keys = keys
        self._folder = folder
        self._membership = membership
        self._targets = targets
        self._incarnation = incarnation
        self._requests = RequestTable(settings.name, incarnation, random)
        self._attempts = AttemptTable(targets, incarnation, self.name)
        self._relays = RelayTable(incarnation)
        self._scheduler = RequestScheduler(
            keys=keys,
            folder=folder,
            portions=portions,
            targets=targets,
            requests=self._requests,
            attempts=self._attempts,
            demands=DemandPlanner(targets, settings.data_centre),
            random=random,
        )
        self._waiting: dict[str, int] = {}
        self._stop_at: float | None = None
        self._earliest_stop_at = 0.0
        self._stopped = False
        self._wakeup = NEVER

    @property
    def wakeup(self) -> float:
        """Time in seconds at which ``advance`` is next due."""
        return self._wakeup

    @property
    def is_leaving(self) -> bool:
        """Whether the daemon is shutting down and accepts no new requests."""
        return self._stop_at is not None

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Handle one input."""
        match item:
            case CallInput():
                effects = self._handle_call(item, now)
            case PeerInput():
                effects = self._handle_message(item, now)
            case DispatchOutcome():
                effects = self._scheduler.handle_outcome(item, now)
            case MembershipChanged():
                effects = self._handle_change(item, now)
            case ShutdownRequested(deadline=deadline):
                effects = self._begin_shutdown(deadline, now)
            case _:
                effects = []
        self._schedule(now)
        return effects

    def advance(self, now: float) -> Sequence[Effect]:
        """Run the work that is due."""
        self._wakeup = NEVER
        effects = self._scheduler.advance(now)
        effects += self._relays.advance(now)
        effects += self._continue_shutdown(now)
        self._schedule(now)
        return effects

    def _schedule(self, now: float) -> None:
        if self._stopped:
            self._wakeup = NEVER
            return
        has_work = self._scheduler.has_work or len(self._relays) or self.is_leaving
        if has_work and not now < self._wakeup <= now + TICK_SECONDS:
            self._wakeup = now + TICK_SECONDS

    def _handle_call(self, item: CallInput, now: float) -> list[Effect]:
        waiter = Waiter(call_id=item.call_id)
        match item.body:
            case MintTicket():
                return [answer_waiter(waiter, "", self._mint_ticket(now))]
            case SubmitRequest() as call if not call.request_id:
                content = make_content(item.payload, "application/octet-stream")
                return self._submit(call, item.credential, content, waiter, now)
            case SubmitRequest() | ReadRequest() | CancelRequest() as call:
                return self._route_call(call, item, now)
            case _:
                return []

    def _mint_ticket(self, now: float) -> Answer:
        if self.is_leaving:
            return refuse(
                ProblemType.LEAVING, Outcome.NOT_RUN, retry_after=RETRY_AFTER_SECONDS
            )
        request_id = self._requests.mint_ticket(now)
        if request_id is None:
            return refuse(
                ProblemType.OVERLOADED, Outcome.NOT_RUN, retry_after=RETRY_AFTER_SECONDS
            )
        return Answer(200, Ticket(request_id, TICKET_SECONDS))

    def _route_call(self, call: Call, item: CallInput, now: float) -> list[Effect]:
        waiter = Waiter(call_id=item.call_id)
        identity = RequestIdentity.parse(call.request_id)
        if identity is None:
            answer = refuse(ProblemType.MALFORMED, Outcome.NOT_RUN, "request id")
            return [Respond(item.call_id, answer)]
        content = make_content(item.payload, "application/octet-stream")
        if self._requests.find(call.request_id) or identity.daemon == self._name:
            return self._handle_local(call, item.credential, content, waiter, now)
        member = self._membership.find(identity.daemon)
        if member is None or not member.alive:
            return self._handle_lost(call, item.credential, content, waiter, now)
        if member.incarnation > identity.incarnation:
            return self._handle_lost(call, item.credential, content, waiter, now)
        seconds = DEFAULT_CALL_SECONDS
        if isinstance(call, SubmitRequest):
            seconds = self._get_deadline_seconds(call) + RELAY_MARGIN_SECONDS
        return self._relays.relay(
            item.call_id, member.name, call, item.credential, content, seconds, now
        )

    def _handle_local(
        self,
        call: Call,
        credential: str,
        content: Content,
        waiter: Waiter,
        now: float,
    ) -> list[Effect]:
        request = self._requests.find(call.request_id)
        if request is None:
            return self._handle_unknown(call, credential, content, waiter, now)
        problem = self._check_caller(request, credential, now)
        if problem is not None:
            answer = refuse(problem, request.reported_outcome)
            return [answer_waiter(waiter, call.request_id, answer)]
        match call:
            case SubmitRequest():
                return self._attach_waiter(request, call, content, waiter)
            case ReadRequest():
                answer = _make_status(request)
                return [answer_waiter(waiter, call.request_id, answer)]
            case CancelRequest():
                return self._cancel(request, waiter, now)

    def _handle_unknown(
        self,
        call: Call,
        credential: str,
        content: Content,
        waiter: Waiter,
        now: float,
    ) -> list[Effect]:
        identity = RequestIdentity.parse(call.request_id)
        assert identity is not None
        is_current = identity.incarnation == self._incarnation
        if not is_current or not isinstance(call, SubmitRequest):
            return self._handle_lost(call, credential, content, waiter, now)
        if self._requests.has_ticket(call.request_id, now):
            return self._submit(call, credential, content, waiter, now)
        return self._handle_lost(call, credential, content, waiter, now)

    def _handle_lost(
        self,
        call: Call,
        credential: str,
        content: Content,
        waiter: Waiter,
        now: float,
    ) -> list[Effect]:
        """Answer a call about a request whose record is lost.

        A repeatable submission runs anew; anything else has an unknown outcome.
        """
        if isinstance(call, SubmitRequest) and call.repeatable:
            return self._submit(
                call, credential, content, waiter, now, is_record_lost=True
            )
        detail = "the record of the request is lost"
        answer = refuse(ProblemType.OUTCOME_UNKNOWN, Outcome.UNKNOWN, detail)
        return [answer_waiter(waiter, call.request_id, answer)]

    def _check_caller(
        self, request: Request, credential: str, now: float
    ) -> ProblemType | None:
        permit = self._keys.check(credential, request.queue, now)
        if permit.verdict is KeyVerdict.STALE and credential == request.credential:
            return None
        if permit.verdict in KEY_PROBLEMS:
            return KEY_PROBLEMS[permit.verdict]
        return None if permit.team == request.team else ProblemType.FORBIDDEN

    def _attach_waiter(
        self,
        request: Request,
        call: SubmitRequest,
        content: Content,
        waiter: Waiter,
    ) -> list[Effect]:
        if (call.queue, content.digest) != (request.queue, request.digest):
            detail = "the request id belongs to another request"
            answer = refuse(ProblemType.CONFLICT, request.reported_outcome, detail)
        elif request.answer is not None:
            answer = request.answer
        elif waiter in request.waiters:
            return []
        elif len(request.waiters) < MAX_WAITERS_PER_REQUEST:
            request.waiters.append(waiter)
            return []
        else:
            answer = refuse(ProblemType.IN_PROGRESS, request.reported_outcome)
        return [answer_waiter(waiter, request.request_id, answer)]

    def _cancel(self, request: Request, waiter: Waiter, now: float) -> list[Effect]:
        effects: list[Effect] = []
        request.cancelled = True
        if request.state is RequestState.WAITING:
            self._scheduler.remove_waiting(request)
            outcome = request.unanswered_outcome
            answer = refuse(ProblemType.CANCELLED, outcome)
            effects = self._requests.end(request, answer, outcome, now)
        status = _make_status(request)
        return [*effects, answer_waiter(waiter, request.request_id, status)]

    def _submit(
        self,
        call: SubmitRequest,
        credential: str,
        content: Content,
        waiter: Waiter,
        now: float,
        *,
        is_record_lost: bool = False,
    ) -> list[Effect]:
        rule = self._folder.queue(call.queue)
        permit = self._keys.check(credential, call.queue, now)
        problem = self._check_admission(rule, permit.verdict)
        if problem is not None or rule is None:
            problem_type = problem or ProblemType.NOT_FOUND
            outcome = Outcome.UNKNOWN if is_record_lost else Outcome.NOT_RUN
            answer = refuse(problem_type, outcome, retry_after=RETRY_AFTER_SECONDS)
            return [answer_waiter(waiter, call.request_id, answer)]
        request = Request(
            request_id=call.request_id or self._requests.mint(),
            queue=call.queue,
            service=rule.service,
            team=permit.team,
            credential=credential,
            urgent=call.urgent,
            repeatable=call.repeatable,
            content=content,
            digest=content.digest,
            accepted_at=now,
            deadline=now + self._get_deadline_seconds(call),
            may_have_run=is_record_lost,
            waiters=[waiter],
        )
        effects = self._scheduler.submit(request, rule.max_waiting, now)
        if isinstance(effects, Refusal):
            answer = refuse(
                ProblemType.OVERLOADED,
                request.unanswered_outcome,
                retry_after=max(effects.retry_after, RETRY_AFTER_SECONDS),
            )
            return [answer_waiter(waiter, call.request_id, answer)]
        self._requests.redeem_ticket(request.request_id)
        accepted = Record(
            Event.REQUEST_ACCEPTED,
            request.request_id,
            {"team": request.team, "queue": request.queue},
        )
        return [accepted, *effects]

    def _check_admission(
        self, rule: QueueRule | None, verdict: KeyVerdict
    ) -> ProblemType | None:
        if self.is_leaving:
            return ProblemType.LEAVING
        if rule is None and verdict is not KeyVerdict.STALE:
            return ProblemType.NOT_FOUND
        if verdict in KEY_PROBLEMS:
            return KEY_PROBLEMS[verdict]
        return None

    def _get_deadline_seconds(self, call: SubmitRequest) -> float:
        rule = self._folder.queue(call.queue)
        default = rule.deadline if rule is not None else DEFAULT_CALL_SECONDS
        return call.deadline_seconds or default

    def _handle_message(self, item: PeerInput, now: float) -> list[Effect]:
        source = item.source
        match item.body:
            case DemandSlots() as body:
                return self._scheduler.handle_demand(source, body, now)
            case GrantSlot() as body:
                return self._scheduler.handle_grant(source, body, now)
            case ReturnSlot(token=token):
                self._scheduler.reclaim_slot(token)
                return []
            case StartRun() as body:
                return self._scheduler.handle_start(source, body, now)
            case ReportRun() as body:
                return self._scheduler.handle_report(source, body, now)
            case AcknowledgeRun(token=token):
                self._attempts.acknowledge(token)
                return []
            case RelayCall() as body:
                return self._handle_relayed(source, body, now)
            case RelayAnswer() as body:
                return self._relays.handle_answer(source, body)
            case _:
                return []

    def _handle_relayed(self, source: str, body: RelayCall, now: float) -> list[Effect]:
        if not body.content.is_intact():
            return []
        waiter = Waiter(0, source, body.number, body.incarnation)
        return self._handle_local(body.call, body.credential, body.content, waiter, now)

    def _handle_change(self, item: MembershipChanged, now: float) -> list[Effect]:
        if item.change not in (MemberChange.DEAD, MemberChange.LEFT):
            return []
        effects = self._scheduler.handle_owner_loss(item.daemon, now)
        effects += self._relays.fail_calls_to(item.daemon)
        if item.change is MemberChange.LEFT:
            self._attempts.drop_reports(item.daemon)
        return effects

    def _begin_shutdown(self, deadline: float, now: float) -> list[Effect]:
        if self._stop_at is not None:
            self._stop_at = min(self._stop_at, deadline)
            return self._continue_shutdown(now)
        self._stop_at = deadline
        self._earliest_stop_at = now + MIN_SHUTDOWN_SECONDS
        attributes = {"in_progress": len(self._requests.live) + self._attempts.running}
        return [Record(Event.DAEMON_STOPPING, self._name, attributes)]

    def _continue_shutdown(self, now: float) -> list[Effect]:
        if self._stop_at is None or self._stopped:
            return []
        if now >= self._stop_at:
            return self._cut_remaining(now)
        if self._requests.live or len(self._attempts) or len(self._relays):
            return []
        if self._targets.is_handing_over or now < self._earliest_stop_at:
            return []
        self._stopped = True
        return [Record(Event.DAEMON_STOPPED, self._name, {"cut": 0}), Stop()]

    def _cut_remaining(self, now: float) -> list[Effect]:
        self._stopped = True
        requests = list(self._requests.live.values())
        waiting = sum(item.state is RequestState.WAITING for item in requests)
        running = len(requests) - waiting + self._attempts.running
        effects: list[Effect] = [
            Record(
                Event.REQUESTS_CUT, self._name, {"waiting": waiting, "running": running}
            )
        ]
        for request in requests:
            outcome = Outcome.UNKNOWN
            if request.state is RequestState.WAITING:
                outcome = request.unanswered_outcome
            answer = refuse(
                ProblemType.LEAVING, outcome, retry_after=RETRY_AFTER_SECONDS
            )
            effects += self._requests.end(request, answer, outcome, now)
        effects += self._relays.fail_all()
        stopped = Record(Event.DAEMON_STOPPED, self._name, {"cut": len(requests)})
        return [*effects, stopped, Stop(exit_code=1 if requests else 0)]


def _make_status(request: Request) -> Answer:
    status = request.answer.status if request.answer is not None else 0
    outcome = request.reported_outcome
    return Answer(
        200, RequestStatus(request.request_id, request.state, outcome, status)
    )
