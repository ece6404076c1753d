"""Order in which waiting requests start, and where: own targets or lent slots."""

from collections.abc import Iterable, Sequence
from heapq import heapify, heappop, heappush
from random import Random

from gypsumwalk.demands import DemandPlanner
from gypsumwalk.effects import Answer, Effect, SendPeer
from gypsumwalk.exchange import (
    AcknowledgeRun,
    DemandSlots,
    GrantSlot,
    ReportRun,
    ReturnSlot,
    StartRun,
    digest_payload,
)
from gypsumwalk.inputs import DispatchOutcome, DispatchStatus
from gypsumwalk.problems import Outcome, ProblemType, refuse
from gypsumwalk.queues import Line, Pick, ServiceQueue
from gypsumwalk.records import Request, RequestTable
from gypsumwalk.retries import RetryBudget, draw_backoff
from gypsumwalk.runs import GRACE_SECONDS, RunTable, Work
from gypsumwalk.service_durations import ServiceDurations
from gypsumwalk.shares import FairShares
from gypsumwalk.shedding import Refusal, Shedder
from gypsumwalk.slots import OwnedTarget
from gypsumwalk.submissions import RequestState
from gypsumwalk.targets import TargetPart
from gypsumwalk.views import FolderView, KeyVerdict, KeyView, PortionView

__all__ = ["Scheduler"]

BLOCK_SECONDS = 0.05
"""Pause before a team without a free unit is tried again."""
RESEND_SECONDS = 0.25
MAX_UNSENT_ATTEMPTS = 8
MAX_SENT_ATTEMPTS = 3
MAX_EVICTED = 8
"""Most waiting requests that are refused to make room for a new one."""
MIN_DEADLINES = 1024
DEADLINES_PER_REQUEST = 8
"""Entries kept for each live request before those of ended ones are swept out."""
RETRIED_CODES = frozenset({502, 503, 504})


class Scheduler:
    """Starts waiting requests, and takes in how their attempts end.

    Parameters
    ----------
    keys : KeyView
        View of the keys.
    folder : FolderView
        View of the configuration.
    portions : PortionView
        View of the teams' upper limits.
    targets : TargetPart
        Targets of this daemon.
    records : RequestTable
        Records of the requests.
    runs : RunTable
        Runs on the targets of this daemon.
    demands : DemandPlanner
        Plans what is asked of other daemons.
    random : Random
        Source of the jitter.
    """

    def __init__(
        self,
        *,
        keys: KeyView,
        folder: FolderView,
        portions: PortionView,
        targets: TargetPart,
        records: RequestTable,
        runs: RunTable,
        demands: DemandPlanner,
        random: Random,
    ) -> None:
        self._keys = keys
        self._folder = folder
        self._portions = portions
        self._targets = targets
        self._records = records
        self._runs = runs
        self._demands = demands
        self._random = random
        self._queues: dict[str, ServiceQueue] = {}
        self._shares: dict[str, FairShares] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._durations = ServiceDurations()
        self._shedder = Shedder(records, self._durations, self._weigh)
        self._blocked: dict[str, float] = {}
        self._delayed: list[tuple[float, str]] = []
        self._deadlines: list[tuple[float, str]] = []
        self._held: list[tuple[float, str, str]] = []
        self._remote: dict[str, tuple[str, StartRun, float]] = {}

    @property
    def is_active(self) -> bool:
        """Whether anything waits, runs or is held."""
        return bool(self._records.live or len(self._runs) or self._held)

    @property
    def queues(self) -> dict[str, ServiceQueue]:
        """Waiting requests by service."""
        return self._queues

    def queue_of(self, service: str) -> ServiceQueue:
        """Return the waiting requests of a service."""
        if service not in self._queues:
            self._shares[service] = FairShares()
            self._queues[service] = ServiceQueue(self._shares[service])
            self._budgets[service] = RetryBudget()
        return self._queues[service]

    def submit(
        self, request: Request, max_waiting: int, now: float
    ) -> list[Effect] | Refusal:
        """Let a new request wait and start what can start, or refuse it.

        Parameters
        ----------
        request : Request
            The request, not yet recorded.
        max_waiting : int
            Most requests of its queue that wait here.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect or Refusal
            What to do, or why the request is refused.
        """
        queue = self.queue_of(request.service)
        effects: list[Effect] = []
        if self._shedder.is_full(request, queue, now):
            effects += self._evict(request, [queue], now)
            if not effects:
                return Refusal(queue.estimate_wait(urgent=request.urgent))
        if queue.depth(request.queue) >= max_waiting:
            effects += self._evict(request, [queue], now, same_queue=True)
            if queue.depth(request.queue) >= max_waiting:
                return Refusal(queue.estimate_wait(urgent=request.urgent))
        for _ in range(MAX_EVICTED):
            if self._records.has_room(request.content.length):
                break
            effects += self._evict(request, self._queues.values(), now)
        if not self._records.has_room(request.content.length):
            return Refusal(queue.estimate_wait(urgent=request.urgent))
        self._records.add(request)
        self._watch(request, request.deadline)
        queue.push(request.line, request.request_id, request.queue, now)
        self._budgets[request.service].deposit()
        return [*effects, *self.pump(request.service, now)]

    def _evict(
        self,
        request: Request,
        queues: Iterable[ServiceQueue],
        now: float,
        *,
        same_queue: bool = False,
    ) -> list[Effect]:
        found = self._shedder.find_victim(request, queues, same_queue=same_queue)
        if found is None:
            return []
        victim = self._records.live[found]
        wait = self.queue_of(victim.service).estimate_wait(urgent=victim.urgent)
        return self._refuse(victim, ProblemType.OVERLOADED, now, retry_after=wait)

    def withdraw(self, request: Request) -> None:
        """Take a waiting request out of its line."""
        self.queue_of(request.service).remove(request.line, request.request_id)

    def pump(self, service: str, now: float) -> list[Effect]:
        """Start waiting requests of a service while slots are free."""
        queue = self.queue_of(service)
        effects: list[Effect] = []
        while queue.has_work:
            target = self._targets.choose(service, now)
            if target is None:
                break
            pick = queue.pick(self._list_blocked(now), now)
            if pick is None:
                break
            effects += self._start_pick(pick, target, now)
        effects += self._demands.plan(service, queue, self._list_blocked(now), now)
        return effects

    def advance(self, now: float) -> list[Effect]:
        """Do what is due: deadlines, delays, repetitions, and waiting requests."""
        effects = self._expire(now)
        effects += self._runs.resend(now)
        effects += self._resend_starts(now)
        for loan in self._runs.list_expired(now):
            self.take_back(loan.token)
        for owned in self._targets.table.targets.values():
            owned.free_lost(now)
        while self._delayed and self._delayed[0][0] <= now:
            self._requeue(heappop(self._delayed)[1], now)
        while self._held and self._held[0][0] <= now:
            _, team, holder = heappop(self._held)
            self._portions.release(team, holder, now)
        for service in list(self._queues):
            effects += self.pump(service, now)
        return effects

    def take_demand(self, source: str, body: DemandSlots, now: float) -> list[Effect]:
        """Take in which slots another daemon wants."""
        counts = {Line(want.team, want.urgent): want.count for want in body.wants}
        queue = self.queue_of(body.service)
        queue.set_demand(source, counts, body.sequence, now)
        return self.pump(body.service, now)

    def take_grant(self, source: str, body: GrantSlot, now: float) -> list[Effect]:
        """Use a slot that another daemon lends, or give it back."""
        self._demands.note_grant(body.service, source)
        queue = self.queue_of(body.service)
        effects: list[Effect] = []
        for line in (Line(body.team, body.urgent), Line(body.team, not body.urgent)):
            while (request_id := queue.peek(line)) is not None:
                request = self._records.live[request_id]
                refused = self._refuse_start(request, now)
                if refused is not None:
                    effects += refused
                    continue
                if not self._acquire(request, now):
                    return [*effects, SendPeer(source, ReturnSlot(body.token))]
                queue.start(line, request_id, now)
                return [*effects, *self._start_remote(request, source, body, now)]
        return [*effects, SendPeer(source, ReturnSlot(body.token))]

    def take_back(self, token: str) -> None:
        """Take back a slot that was lent and not used."""
        loan = self._runs.take_back(token)
        if loan is not None:
            weight = self._weigh(loan.line.team)
            shares = self._shares[loan.service]
            shares.refund(loan.line.team, weight, loan.charged)

    def take_start(self, source: str, body: StartRun, now: float) -> list[Effect]:
        """Run a request of another daemon in a slot lent to it."""
        # A start that was delayed must not use a unit that the limit no longer has.
        lowered = self._find_limit(body.team) < body.limit
        return self._runs.start_lent(source, body, now, may_start=not lowered)

    def take_report(self, source: str, body: ReportRun, now: float) -> list[Effect]:
        """Take in how a run at another daemon ended."""
        if not body.content.is_whole() and body.status is DispatchStatus.ANSWERED:
            return []
        acknowledge = SendPeer(source, AcknowledgeRun(body.token))
        request = self._records.live.get(body.request_id)
        if request is None or (request.owner, request.token) != (source, body.token):
            return [acknowledge]
        outcome = DispatchOutcome(
            body.token,
            body.status,
            body.code,
            body.content.payload,
            body.content.content_type,
        )
        return [acknowledge, *self._end_attempt(request, outcome, now)]

    def take_outcome(self, outcome: DispatchOutcome, now: float) -> list[Effect]:
        """Take in how a dispatch to a target of this daemon ended."""
        finished = self._runs.finish(outcome, now)
        if finished is None:
            return []
        run, effects = finished
        weight = self._weigh(run.line.team)
        used = now - run.started_at
        self._shares[run.service].settle(run.line.team, weight, run.charged, used)
        request = self._records.live.get(run.request_id)
        if not run.home and request is not None and request.token == run.token:
            effects += self._end_attempt(request, outcome, now)
        return [*effects, *self.pump(run.service, now)]

    def lose_owner(self, daemon: str, now: float) -> list[Effect]:
        """Note that a daemon is gone; repeatable requests there are tried again."""
        for queue in self._queues.values():
            queue.drop_demand(daemon)
        effects: list[Effect] = []
        for request_id in list(self._remote):
            request = self._records.live[request_id]
            if request.owner == daemon and request.repeatable:
                outcome = DispatchOutcome(request.token, DispatchStatus.UNKNOWN)
                effects += self._end_attempt(request, outcome, now)
        return effects

    def _start_pick(self, pick: Pick, target: OwnedTarget, now: float) -> list[Effect]:
        shares = self._shares[target.service]
        weight = self._weigh(pick.line.team)
        queue = self._queues[target.service]
        if pick.asker:
            queue.take_demand(pick)
            charged = shares.charge(pick.line.team, weight)
            loan = self._runs.lend(target, pick.asker, pick.line, charged, now)
            grant = GrantSlot(
                loan.token, target.service, pick.line.team, pick.line.urgent
            )
            return [SendPeer(pick.asker, grant)]
        request_id = queue.peek(pick.line)
        assert request_id is not None
        request = self._records.live[request_id]
        refused = self._refuse_start(request, now)
        if refused is not None:
            return refused
        if not self._acquire(request, now):
            return []
        queue.start(pick.line, request_id, now)
        charged = shares.charge(pick.line.team, weight)
        run, effects = self._runs.start(_make_work(request), target, charged, now)
        self._note_start(request, "", run.token, now)
        return effects

    def _start_remote(
        self, request: Request, owner: str, grant: GrantSlot, now: float
    ) -> list[Effect]:
        self._note_start(request, owner, grant.token, now)
        message = StartRun(
            token=grant.token,
            request_id=request.request_id,
            queue=request.queue,
            team=request.team,
            attempt=request.attempts,
            seconds=request.deadline - now,
            content=request.content,
            repeatable=request.repeatable,
            limit=self._find_limit(request.team),
        )
        self._remote[request.request_id] = (owner, message, now + RESEND_SECONDS)
        return [SendPeer(owner, message, reliable=True)]

    def _find_limit(self, team: str) -> int:
        rule = self._folder.team(team)
        return rule.limit if rule else 0

    def _note_start(self, request: Request, owner: str, token: str, now: float) -> None:
        request.state = RequestState.RUNNING
        request.outcome = Outcome.IN_PROGRESS
        request.owner = owner
        request.token = token
        request.started_at = now
        self._watch(request, request.deadline + GRACE_SECONDS)

    def _watch(self, request: Request, due: float) -> None:
        heappush(self._deadlines, (due, request.request_id))
        live = self._records.live
        if len(self._deadlines) > DEADLINES_PER_REQUEST * len(live) + MIN_DEADLINES:
            self._deadlines = [item for item in self._deadlines if item[1] in live]
            heapify(self._deadlines)

    def _refuse_start(self, request: Request, now: float) -> list[Effect] | None:
        if self._shedder.is_too_late(request, now):
            return self._refuse(request, ProblemType.DEADLINE, now)
        if request.may_have_run and not request.repeatable:
            return self._refuse(request, ProblemType.OUTCOME_UNKNOWN, now)
        permit = self._keys.check(request.credential, request.queue, now)
        if permit.verdict is KeyVerdict.STALE:
            return self._refuse(request, ProblemType.KEY_VIEW_STALE, now)
        if permit.verdict is KeyVerdict.UNKNOWN_KEY:
            return self._refuse(request, ProblemType.UNAUTHENTICATED, now)
        if permit.verdict is KeyVerdict.FORBIDDEN or permit.team != request.team:
            return self._refuse(request, ProblemType.FORBIDDEN, now)
        return None

    def _refuse(
        self,
        request: Request,
        kind: ProblemType,
        now: float,
        *,
        retry_after: float | None = None,
    ) -> list[Effect]:
        self.withdraw(request)
        outcome = request.unstarted_outcome
        answer = refuse(kind, outcome, retry_after=retry_after)
        return self._records.end(request, answer, outcome, now)

    def _acquire(self, request: Request, now: float) -> bool:
        request.attempts += 1
        if not request.team:
            return True
        if self._portions.acquire(request.team, request.holder, now):
            return True
        request.attempts -= 1
        self._blocked[request.team] = now + BLOCK_SECONDS
        return False

    def _release(self, request: Request, until: float, now: float) -> None:
        if not request.team:
            return
        if until > now:
            heappush(self._held, (until, request.team, request.holder))
            return
        self._portions.release(request.team, request.holder, now)
        self._blocked.pop(request.team, None)

    def _end_attempt(
        self, request: Request, outcome: DispatchOutcome, now: float
    ) -> list[Effect]:
        self._remote.pop(request.request_id, None)
        request.state = RequestState.WAITING
        request.owner = ""
        request.token = ""
        match outcome.status:
            case DispatchStatus.NOT_SENT:
                self._release(request, now, now)
                return self._retry_unsent(request, now)
            case DispatchStatus.UNKNOWN:
                self._release(request, request.deadline + GRACE_SECONDS, now)
                request.may_have_run = True
                if self._may_repeat(request, now):
                    return self._delay(request, now)
                return self._refuse(request, ProblemType.OUTCOME_UNKNOWN, now)
            case DispatchStatus.ANSWERED:
                self._release(request, now, now)
                self._durations.record(request.service, now - request.started_at)
                if outcome.code in RETRIED_CODES and self._may_repeat(request, now):
                    request.may_have_run = True
                    return self._delay(request, now)
                return self._records.end(
                    request, _make_answer(outcome), Outcome.RAN, now
                )

    def _retry_unsent(self, request: Request, now: float) -> list[Effect]:
        if request.cancelled:
            return self._refuse(request, ProblemType.CANCELLED, now)
        if request.attempts >= MAX_UNSENT_ATTEMPTS:
            return self._refuse(request, ProblemType.NO_TARGET, now, retry_after=1.0)
        return self._delay(request, now)

    def _may_repeat(self, request: Request, now: float) -> bool:
        if not request.repeatable or request.cancelled:
            return False
        if request.attempts >= MAX_SENT_ATTEMPTS or now >= request.deadline:
            return False
        return self._budgets[request.service].withdraw()

    def _delay(self, request: Request, now: float) -> list[Effect]:
        request.outcome = request.unstarted_outcome
        due = now + draw_backoff(request.attempts, self._random)
        heappush(self._delayed, (due, request.request_id))
        return []

    def _requeue(self, request_id: str, now: float) -> None:
        request = self._records.live.get(request_id)
        if request is None or request.state is not RequestState.WAITING:
            return
        queue = self.queue_of(request.service)
        queue.push(request.line, request_id, request.queue, now, first=True)

    def _expire(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request_id = heappop(self._deadlines)
            request = self._records.live.get(request_id)
            if request is None:
                continue
            if request.state is RequestState.WAITING:
                effects += self._refuse(request, ProblemType.DEADLINE, now)
            elif now >= request.deadline + GRACE_SECONDS:
                effects += self._give_up(request, now)
        return effects

    def _give_up(self, request: Request, now: float) -> list[Effect]:
        self._remote.pop(request.request_id, None)
        self._release(request, now, now)
        request.may_have_run = True
        return self._refuse(request, ProblemType.OUTCOME_UNKNOWN, now)

    def _resend_starts(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for request_id, (owner, message, resend_at) in list(self._remote.items()):
            if resend_at > now:
                continue
            self._remote[request_id] = (owner, message, now + RESEND_SECONDS)
            effects.append(SendPeer(owner, message, reliable=True))
        return effects

    def _list_blocked(self, now: float) -> Sequence[str]:
        for team in [team for team, until in self._blocked.items() if until <= now]:
            del self._blocked[team]
        return list(self._blocked)

    def _weigh(self, team: str) -> float:
        rule = self._folder.team(team)
        return rule.share if rule is not None else 1.0


def _make_work(request: Request) -> Work:
    return Work(
        request_id=request.request_id,
        queue=request.queue,
        line=request.line,
        attempt=request.attempts,
        deadline=request.deadline,
        content=request.content,
        repeatable=request.repeatable,
    )


def _make_answer(outcome: DispatchOutcome) -> Answer:
    return Answer(
        outcome.code or 200,
        payload=outcome.payload,
        content_type=outcome.content_type,
        headers={"Gypsumwalk-Digest": digest_payload(outcome.payload)},
    )
