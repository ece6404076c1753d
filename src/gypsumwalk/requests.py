"""Requests of callers: taken in, answered once and truthfully, left without a trace."""

from collections.abc import Sequence
from random import Random

from gypsumwalk.demands import DemandPlanner
from gypsumwalk.effects import Answer, Effect, Record, Respond, Stop
from gypsumwalk.events import Event
from gypsumwalk.exchange import (
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
from gypsumwalk.records import (
    Request,
    RequestIdentity,
    RequestTable,
    Waiter,
    answer_waiter,
)
from gypsumwalk.relays import RelayTable
from gypsumwalk.runs import RunTable
from gypsumwalk.scheduling import Scheduler
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
QUICK_SECONDS = 2.0
"""Time that a relayed call waits that needs no run."""
RELAY_MARGIN_SECONDS = 2.0
MAX_WAITERS = 4
RETRY_AFTER_SECONDS = 1.0
LINGER_SECONDS = 1.0
"""Least time between losing readiness and stopping, for balancers to notice."""

REFUSALS = {
    KeyVerdict.UNKNOWN_KEY: ProblemType.UNAUTHENTICATED,
    KeyVerdict.FORBIDDEN: ProblemType.FORBIDDEN,
    KeyVerdict.STALE: ProblemType.KEY_VIEW_STALE,
}

Call = SubmitRequest | ReadRequest | CancelRequest


class RequestPart:
    """Takes requests in, has them run on targets, and answers them.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon.
    keys : KeyView
        View of the keys.
    folder : FolderView
        View of the configuration.
    portions : PortionView
        View of the teams' upper limits.
    membership : MembershipView
        View of the daemons.
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
        self._records = RequestTable(settings.name, incarnation, random)
        self._runs = RunTable(targets, incarnation, self.name)
        self._relays = RelayTable(incarnation)
        self._scheduler = Scheduler(
            keys=keys,
            folder=folder,
            portions=portions,
            targets=targets,
            records=self._records,
            runs=self._runs,
            demands=DemandPlanner(targets, settings.data_centre),
            random=random,
        )
        self._waiting: dict[str, int] = {}
        self._stop_at: float | None = None
        self._linger_until = 0.0
        self._stopped = False
        self._wakeup = NEVER

    @property
    def wakeup(self) -> float:
        """Time in seconds at which ``advance`` is due next."""
        return self._wakeup

    @property
    def is_leaving(self) -> bool:
        """Whether the daemon takes no new requests."""
        return self._stop_at is not None

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Take in one input."""
        match item:
            case CallInput():
                effects = self._take_call(item, now)
            case PeerInput():
                effects = self._take_message(item, now)
            case DispatchOutcome():
                effects = self._scheduler.take_outcome(item, now)
            case MembershipChanged():
                effects = self._take_change(item, now)
            case ShutdownRequested(deadline=deadline):
                effects = self._begin_leaving(deadline, now)
            case _:
                effects = []
        self._schedule(now)
        return effects

    def advance(self, now: float) -> Sequence[Effect]:
        """Do what is due at a time."""
        self._wakeup = NEVER
        effects = self._scheduler.advance(now)
        effects += self._relays.advance(now)
        effects += self._leave(now)
        self._schedule(now)
        return effects

    def _schedule(self, now: float) -> None:
        if self._stopped:
            self._wakeup = NEVER
            return
        busy = self._scheduler.is_active or len(self._relays) or self.is_leaving
        if busy and not now < self._wakeup <= now + TICK_SECONDS:
            self._wakeup = now + TICK_SECONDS

    def _take_call(self, item: CallInput, now: float) -> list[Effect]:
        waiter = Waiter(call_id=item.call_id)
        match item.body:
            case MintTicket():
                return [answer_waiter(waiter, "", self._mint_ticket(now))]
            case SubmitRequest() as call if not call.request_id:
                content = make_content(item.payload, "application/octet-stream")
                return self._submit(call, item.credential, content, waiter, now)
            case SubmitRequest() | ReadRequest() | CancelRequest() as call:
                return self._route(call, item, now)
            case _:
                return []

    def _mint_ticket(self, now: float) -> Answer:
        if self.is_leaving:
            return refuse(
                ProblemType.LEAVING, Outcome.NOT_RUN, retry_after=RETRY_AFTER_SECONDS
            )
        request_id = self._records.mint_ticket(now)
        if request_id is None:
            return refuse(
                ProblemType.OVERLOADED, Outcome.NOT_RUN, retry_after=RETRY_AFTER_SECONDS
            )
        return Answer(200, Ticket(request_id, TICKET_SECONDS))

    def _route(self, call: Call, item: CallInput, now: float) -> list[Effect]:
        waiter = Waiter(call_id=item.call_id)
        identity = RequestIdentity.parse(call.request_id)
        if identity is None:
            answer = refuse(ProblemType.MALFORMED, Outcome.NOT_RUN, "request id")
            return [Respond(item.call_id, answer)]
        content = make_content(item.payload, "application/octet-stream")
        if self._records.find(call.request_id) or identity.daemon == self._name:
            return self._take_local(call, item.credential, content, waiter, now)
        member = self._membership.find(identity.daemon)
        if member is None or not member.alive:
            return self._take_orphan(call, item.credential, content, waiter, now)
        if member.incarnation > identity.incarnation:
            return self._take_orphan(call, item.credential, content, waiter, now)
        seconds = QUICK_SECONDS
        if isinstance(call, SubmitRequest):
            seconds = self._measure_deadline(call) + RELAY_MARGIN_SECONDS
        return self._relays.relay(
            item.call_id, member.name, call, item.credential, content, seconds, now
        )

    def _take_local(
        self,
        call: Call,
        credential: str,
        content: Content,
        waiter: Waiter,
        now: float,
    ) -> list[Effect]:
        request = self._records.find(call.request_id)
        if request is None:
            return self._take_unknown(call, credential, content, waiter, now)
        problem = self._check_caller(request, credential, now)
        if problem is not None:
            answer = refuse(problem, request.stated_outcome)
            return [answer_waiter(waiter, call.request_id, answer)]
        match call:
            case SubmitRequest():
                return self._join(request, call, content, waiter)
            case ReadRequest():
                answer = _make_status(request)
                return [answer_waiter(waiter, call.request_id, answer)]
            case CancelRequest():
                return self._cancel(request, waiter, now)

    def _take_unknown(
        self,
        call: Call,
        credential: str,
        content: Content,
        waiter: Waiter,
        now: float,
    ) -> list[Effect]:
        identity = RequestIdentity.parse(call.request_id)
        assert identity is not None
        mine = identity.incarnation == self._incarnation
        if not mine or not isinstance(call, SubmitRequest):
            return self._take_orphan(call, credential, content, waiter, now)
        if self._records.has_ticket(call.request_id, now):
            return self._submit(call, credential, content, waiter, now)
        return self._take_orphan(call, credential, content, waiter, now)

    def _take_orphan(
        self,
        call: Call,
        credential: str,
        content: Content,
        waiter: Waiter,
        now: float,
    ) -> list[Effect]:
        """Answer a call about a request whose record is lost."""
        if isinstance(call, SubmitRequest) and call.repeatable:
            return self._submit(call, credential, content, waiter, now, orphan=True)
        detail = "the record of the request is lost"
        answer = refuse(ProblemType.OUTCOME_UNKNOWN, Outcome.UNKNOWN, detail)
        return [answer_waiter(waiter, call.request_id, answer)]

    def _check_caller(
        self, request: Request, credential: str, now: float
    ) -> ProblemType | None:
        permit = self._keys.check(credential, request.queue, now)
        if permit.verdict is KeyVerdict.STALE and credential == request.credential:
            return None
        if permit.verdict in REFUSALS:
            return REFUSALS[permit.verdict]
        return None if permit.team == request.team else ProblemType.FORBIDDEN

    def _join(
        self,
        request: Request,
        call: SubmitRequest,
        content: Content,
        waiter: Waiter,
    ) -> list[Effect]:
        if (call.queue, content.digest) != (request.queue, request.digest):
            detail = "the request id belongs to another request"
            answer = refuse(ProblemType.CONFLICT, request.stated_outcome, detail)
        elif request.answer is not None:
            answer = request.answer
        elif waiter in request.waiters:
            return []
        elif len(request.waiters) < MAX_WAITERS:
            request.waiters.append(waiter)
            return []
        else:
            answer = refuse(ProblemType.IN_PROGRESS, request.stated_outcome)
        return [answer_waiter(waiter, request.request_id, answer)]

    def _cancel(self, request: Request, waiter: Waiter, now: float) -> list[Effect]:
        effects: list[Effect] = []
        request.cancelled = True
        if request.state is RequestState.WAITING:
            self._scheduler.withdraw(request)
            outcome = request.unstarted_outcome
            answer = refuse(ProblemType.CANCELLED, outcome)
            effects = self._records.end(request, answer, outcome, now)
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
        orphan: bool = False,
    ) -> list[Effect]:
        rule = self._folder.queue(call.queue)
        permit = self._keys.check(credential, call.queue, now)
        problem = self._find_problem(rule, permit.verdict)
        if problem is not None or rule is None:
            kind = problem or ProblemType.NOT_FOUND
            outcome = Outcome.UNKNOWN if orphan else Outcome.NOT_RUN
            answer = refuse(kind, outcome, retry_after=RETRY_AFTER_SECONDS)
            return [answer_waiter(waiter, call.request_id, answer)]
        request = Request(
            request_id=call.request_id or self._records.mint(),
            queue=call.queue,
            service=rule.service,
            team=permit.team,
            credential=credential,
            urgent=call.urgent,
            repeatable=call.repeatable,
            content=content,
            digest=content.digest,
            accepted_at=now,
            deadline=now + self._measure_deadline(call),
            may_have_run=orphan,
            waiters=[waiter],
        )
        effects = self._scheduler.submit(request, rule.max_waiting, now)
        if isinstance(effects, Refusal):
            answer = refuse(
                ProblemType.OVERLOADED,
                request.unstarted_outcome,
                retry_after=max(effects.retry_after, RETRY_AFTER_SECONDS),
            )
            return [answer_waiter(waiter, call.request_id, answer)]
        self._records.redeem_ticket(request.request_id)
        accepted = Record(
            Event.REQUEST_ACCEPTED,
            request.request_id,
            {"team": request.team, "queue": request.queue},
        )
        return [accepted, *effects]

    def _find_problem(
        self, rule: QueueRule | None, verdict: KeyVerdict
    ) -> ProblemType | None:
        if self.is_leaving:
            return ProblemType.LEAVING
        if rule is None and verdict is not KeyVerdict.STALE:
            return ProblemType.NOT_FOUND
        if verdict in REFUSALS:
            return REFUSALS[verdict]
        return None

    def _measure_deadline(self, call: SubmitRequest) -> float:
        rule = self._folder.queue(call.queue)
        usual = rule.deadline if rule is not None else QUICK_SECONDS
        return call.deadline_seconds or usual

    def _take_message(self, item: PeerInput, now: float) -> list[Effect]:
        source = item.source
        match item.body:
            case DemandSlots() as body:
                return self._scheduler.take_demand(source, body, now)
            case GrantSlot() as body:
                return self._scheduler.take_grant(source, body, now)
            case ReturnSlot(token=token):
                self._scheduler.take_back(token)
                return []
            case StartRun() as body:
                return self._scheduler.take_start(source, body, now)
            case ReportRun() as body:
                return self._scheduler.take_report(source, body, now)
            case AcknowledgeRun(token=token):
                self._runs.acknowledge(token)
                return []
            case RelayCall() as body:
                return self._take_relayed(source, body, now)
            case RelayAnswer() as body:
                return self._relays.take_answer(source, body)
            case _:
                return []

    def _take_relayed(self, source: str, body: RelayCall, now: float) -> list[Effect]:
        if not body.content.is_whole():
            return []
        waiter = Waiter(0, source, body.number, body.incarnation)
        return self._take_local(body.call, body.credential, body.content, waiter, now)

    def _take_change(self, item: MembershipChanged, now: float) -> list[Effect]:
        if item.change not in (MemberChange.DEAD, MemberChange.LEFT):
            return []
        effects = self._scheduler.lose_owner(item.daemon, now)
        effects += self._relays.lose(item.daemon)
        if item.change is MemberChange.LEFT:
            self._runs.drop_reports(item.daemon)
        return effects

    def _begin_leaving(self, deadline: float, now: float) -> list[Effect]:
        if self._stop_at is not None:
            self._stop_at = min(self._stop_at, deadline)
            return self._leave(now)
        self._stop_at = deadline
        self._linger_until = now + LINGER_SECONDS
        attributes = {"in_progress": len(self._records.live) + self._runs.running}
        return [Record(Event.DAEMON_STOPPING, self._name, attributes)]

    def _leave(self, now: float) -> list[Effect]:
        if self._stop_at is None or self._stopped:
            return []
        if now >= self._stop_at:
            return self._cut(now)
        if self._records.live or len(self._runs) or len(self._relays):
            return []
        if self._targets.is_giving_up or now < self._linger_until:
            return []
        self._stopped = True
        return [Record(Event.DAEMON_STOPPED, self._name, {"cut": 0}), Stop()]

    def _cut(self, now: float) -> list[Effect]:
        self._stopped = True
        requests = list(self._records.live.values())
        waiting = sum(item.state is RequestState.WAITING for item in requests)
        running = len(requests) - waiting + self._runs.running
        effects: list[Effect] = [
            Record(
                Event.REQUESTS_CUT, self._name, {"waiting": waiting, "running": running}
            )
        ]
        for request in requests:
            outcome = Outcome.UNKNOWN
            if request.state is RequestState.WAITING:
                outcome = request.unstarted_outcome
            answer = refuse(
                ProblemType.LEAVING, outcome, retry_after=RETRY_AFTER_SECONDS
            )
            effects += self._records.end(request, answer, outcome, now)
        effects += self._relays.give_all_up()
        stopped = Record(Event.DAEMON_STOPPED, self._name, {"cut": len(requests)})
        return [*effects, stopped, Stop(exit_code=1 if requests else 0)]


def _make_status(request: Request) -> Answer:
    status = request.answer.status if request.answer is not None else 0
    outcome = request.stated_outcome
    return Answer(
        200, RequestStatus(request.request_id, request.state, outcome, status)
    )
