"""Scheduler of waiting requests onto slots of own targets and of other daemons."""

from collections.abc import Iterable, Sequence
from heapq import heapify, heappop, heappush
from random import Random

from gypsumwalk.demands import DemandPlanner
from gypsumwalk.effects import Answer, Effect, SendPeer
from gypsumwalk.inputs import DispatchOutcome, DispatchStatus
from gypsumwalk.problems import Outcome, ProblemType, refuse
from gypsumwalk.queues import Flow, Pick, ServiceQueue
from gypsumwalk.request_attempts import GRACE_SECONDS, AttemptSpec, AttemptTable
from gypsumwalk.request_messages import (
    AcknowledgeRun,
    DemandSlots,
    GrantSlot,
    ReportRun,
    ReturnSlot,
    StartRun,
    digest_payload,
)
from gypsumwalk.request_table import Request, RequestTable
from gypsumwalk.retries import RetryBudget, draw_backoff
from gypsumwalk.service_durations import ServiceDurations
from gypsumwalk.shares import FairShares
from gypsumwalk.shedding import LoadShedder, Refusal
from gypsumwalk.slots import OwnedTarget
from gypsumwalk.submissions import RequestState
from gypsumwalk.targets import TargetPart
from gypsumwalk.views import FolderView, KeyVerdict, KeyView, PortionView

__all__ = ["RequestScheduler"]

UNIT_RETRY_SECONDS = 0.05
"""Time for which a team without a free unit of its quota is skipped."""
RESEND_SECONDS = 0.25
MAX_UNSENT_ATTEMPTS = 8
MAX_SENT_ATTEMPTS = 3
MAX_EVICTIONS = 8
"""Maximum number of waiting requests evicted to make room for a new one."""
MIN_DEADLINE_ENTRIES = 1024
DEADLINE_ENTRIES_PER_REQUEST = 8
"""Entries per live request above which those of ended requests are purged."""
RETRYABLE_STATUS_CODES = frozenset({502, 503, 504})


class RequestScheduler:
    """Starts waiting requests, and retries or ends them as their attempts end.

    Parameters
    ----------
    keys : KeyView
        View of the keys.
    folder : FolderView
        View of the configuration.
    portions : PortionView
        View of the portions of the teams' quotas.
    targets : TargetPart
        Targets of this daemon.
    requests : RequestTable
        Requests that this daemon keeps.
    attempts : AttemptTable
        Attempts on the targets of this daemon.
    demands : DemandPlanner
        Planner of the slots to ask other daemons for.
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
        requests: RequestTable,
        attempts: AttemptTable,
        demands: DemandPlanner,
        random: Random,
    ) -> None:
        self._keys = keys
        self._folder = folder
        self._portions = portions
        self._targets = targets
        self._requests = requests
        self._attempts = attempts
        self._demands = demands
        self._random = random
        self._queues: dict[str, ServiceQueue] = {}
        self._shares: dict[str, FairShares] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._durations = ServiceDurations()
        self._shedder = LoadShedder(requests, self._durations, self._get_weight)
        self._blocked: dict[str, float] = {}
        self._retries: list[tuple[float, str]] = []
        self._deadlines: list[tuple[float, str]] = []
        self._unit_releases: list[tuple[float, str, str]] = []
        self._remote_starts: dict[str, tuple[str, StartRun, float]] = {}

    @property
    def has_work(self) -> bool:
        """Whether a request, an attempt, a grant or a unit release is pending."""
        return bool(self._requests.live or len(self._attempts) or self._unit_releases)

    @property
    def queues(self) -> dict[str, ServiceQueue]:
        """Waiting requests by service."""
        return self._queues

    def get_queue(self, service: str) -> ServiceQueue:
        """Return the waiting requests of a service."""
        if service not in self._queues:
            self._shares[service] = FairShares()
            self._queues[service] = ServiceQueue(self._shares[service])
            self._budgets[service] = RetryBudget()
        return self._queues[service]

    def submit(
        self, request: Request, max_waiting: int, now: float
    ) -> list[Effect] | Refusal:
        """Queue a new request and start what can start, or refuse it.

        Parameters
        ----------
        request : Request
            The request, not yet in the table.
        max_waiting : int
            Maximum number of requests of its queue that wait here.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect or Refusal
            Effects of accepting it, or the refusal.
        """
        queue = self.get_queue(request.service)
        effects: list[Effect] = []
        if self._shedder.is_overloaded(request, queue, now):
            effects += self._evict(request, [queue], now)
            if not effects:
                return Refusal(queue.estimate_wait(urgent=request.urgent))
        if queue.count_queued(request.queue) >= max_waiting:
            effects += self._evict(request, [queue], now, same_queue=True)
            if queue.count_queued(request.queue) >= max_waiting:
                return Refusal(queue.estimate_wait(urgent=request.urgent))
        for _ in range(MAX_EVICTIONS):
            if self._requests.has_room(request.content.length):
                break
            effects += self._evict(request, self._queues.values(), now)
        if not self._requests.has_room(request.content.length):
            return Refusal(queue.estimate_wait(urgent=request.urgent))
        self._requests.add(request)
        self._schedule_deadline(request, request.deadline)
        queue.push(request.flow, request.request_id, request.queue, now)
        self._budgets[request.service].deposit()
        return [*effects, *self.start_waiting(request.service, now)]

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
        victim = self._requests.live[found]
        wait = self.get_queue(victim.service).estimate_wait(urgent=victim.urgent)
        return self._refuse(victim, ProblemType.OVERLOADED, now, retry_after=wait)

    def remove_waiting(self, request: Request) -> None:
        """Remove a waiting request from its queue."""
        self.get_queue(request.service).remove(request.flow, request.request_id)

    def start_waiting(self, service: str, now: float) -> list[Effect]:
        """Start waiting requests of a service while slots are free."""
        queue = self.get_queue(service)
        effects: list[Effect] = []
        while queue.has_waiting:
            target = self._targets.choose(service, now)
            if target is None:
                break
            pick = queue.pick(self._list_blocked(now), now)
            if pick is None:
                break
            effects += self._serve_pick(pick, target, now)
        effects += self._demands.plan(service, queue, self._list_blocked(now), now)
        return effects

    def advance(self, now: float) -> list[Effect]:
        """Apply deadlines, expiries, retries and resends, and start requests."""
        effects = self._end_expired(now)
        effects += self._attempts.resend_reports(now)
        effects += self._resend_starts(now)
        for grant in self._attempts.list_expired_grants(now):
            self.reclaim_slot(grant.token)
        for owned in self._targets.table.targets.values():
            owned.free_expired_lost(now)
        while self._retries and self._retries[0][0] <= now:
            self._requeue(heappop(self._retries)[1], now)
        while self._unit_releases and self._unit_releases[0][0] <= now:
            _, team, attempt_id = heappop(self._unit_releases)
            self._portions.release(team, attempt_id, now)
        for service in list(self._queues):
            effects += self.start_waiting(service, now)
        return effects

    def handle_demand(self, source: str, body: DemandSlots, now: float) -> list[Effect]:
        """Store another daemon's demand for slots, and grant free ones."""
        counts = {Flow(want.team, want.urgent): want.count for want in body.wants}
        queue = self.get_queue(body.service)
        queue.set_demand(source, counts, body.sequence, now)
        return self.start_waiting(body.service, now)

    def handle_grant(self, source: str, body: GrantSlot, now: float) -> list[Effect]:
        """Start a request in a slot granted by another daemon, or return the slot."""
        self._demands.invalidate(body.service, source)
        queue = self.get_queue(body.service)
        effects: list[Effect] = []
        for flow in (Flow(body.team, body.urgent), Flow(body.team, not body.urgent)):
            while (request_id := queue.peek(flow)) is not None:
                request = self._requests.live[request_id]
                refused = self._check_start(request, now)
                if refused is not None:
                    effects += refused
                    continue
                if not self._acquire_unit(request, now):
                    return [*effects, SendPeer(source, ReturnSlot(body.token))]
                queue.start(flow, request_id, now)
                return [*effects, *self._start_remote(request, source, body, now)]
        return [*effects, SendPeer(source, ReturnSlot(body.token))]

    def reclaim_slot(self, token: str) -> None:
        """Free a slot whose grant was returned or expired, and refund its charge."""
        grant = self._attempts.remove_grant(token)
        if grant is not None:
            weight = self._get_weight(grant.flow.team)
            shares = self._shares[grant.service]
            shares.refund(grant.flow.team, weight, grant.charged_seconds)

    def handle_start(self, source: str, body: StartRun, now: float) -> list[Effect]:
        """Run a request of another daemon in the slot granted to it."""
        # A delayed start must not use a unit acquired under a quota since lowered.
        lowered = self._find_limit(body.team) < body.limit
        return self._attempts.start_granted(source, body, now, may_start=not lowered)

    def handle_report(self, source: str, body: ReportRun, now: float) -> list[Effect]:
        """Acknowledge the report of an attempt on another daemon, and apply it."""
        if not body.content.is_intact() and body.status is DispatchStatus.ANSWERED:
            return []
        acknowledge = SendPeer(source, AcknowledgeRun(body.token))
        request = self._requests.live.get(body.request_id)
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

    def handle_outcome(self, outcome: DispatchOutcome, now: float) -> list[Effect]:
        """Apply the outcome of a dispatch to a target of this daemon."""
        finished = self._attempts.finish(outcome, now)
        if finished is None:
            return []
        attempt, effects = finished
        weight = self._get_weight(attempt.flow.team)
        used = now - attempt.started_at
        self._shares[attempt.service].settle(
            attempt.flow.team, weight, attempt.charged_seconds, used
        )
        request = self._requests.live.get(attempt.request_id)
        if not attempt.home and request is not None and request.token == attempt.token:
            effects += self._end_attempt(request, outcome, now)
        return [*effects, *self.start_waiting(attempt.service, now)]

    def handle_owner_loss(self, daemon: str, now: float) -> list[Effect]:
        """Drop the demand of a lost daemon, and retry repeatable requests on it."""
        for queue in self._queues.values():
            queue.drop_demand(daemon)
        effects: list[Effect] = []
        for request_id in list(self._remote_starts):
            request = self._requests.live[request_id]
            if request.owner == daemon and request.repeatable:
                outcome = DispatchOutcome(request.token, DispatchStatus.UNKNOWN)
                effects += self._end_attempt(request, outcome, now)
        return effects

    def _serve_pick(self, pick: Pick, target: OwnedTarget, now: float) -> list[Effect]:
        shares = self._shares[target.service]
        weight = self._get_weight(pick.flow.team)
        queue = self._queues[target.service]
        if pick.grantee:
            queue.reduce_demand(pick)
            charged_seconds = shares.charge(pick.flow.team, weight)
            grant = self._attempts.grant_slot(
                target, pick.grantee, pick.flow, charged_seconds, now
            )
            message = GrantSlot(
                grant.token, target.service, pick.flow.team, pick.flow.urgent
            )
            return [SendPeer(pick.grantee, message)]
        request_id = queue.peek(pick.flow)
        assert request_id is not None
        request = self._requests.live[request_id]
        refused = self._check_start(request, now)
        if refused is not None:
            return refused
        if not self._acquire_unit(request, now):
            return []
        queue.start(pick.flow, request_id, now)
        charged_seconds = shares.charge(pick.flow.team, weight)
        attempt, effects = self._attempts.start(
            _make_spec(request), target, charged_seconds, now
        )
        self._mark_running(request, "", attempt.token, now)
        return effects

    def _start_remote(
        self, request: Request, owner: str, grant: GrantSlot, now: float
    ) -> list[Effect]:
        self._mark_running(request, owner, grant.token, now)
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
        self._remote_starts[request.request_id] = (owner, message, now + RESEND_SECONDS)
        return [SendPeer(owner, message, reliable=True)]

    def _find_limit(self, team: str) -> int:
        rule = self._folder.team(team)
        return rule.limit if rule else 0

    def _mark_running(
        self, request: Request, owner: str, token: str, now: float
    ) -> None:
        request.state = RequestState.RUNNING
        request.outcome = Outcome.IN_PROGRESS
        request.owner = owner
        request.token = token
        request.started_at = now
        self._schedule_deadline(request, request.deadline + GRACE_SECONDS)

    def _schedule_deadline(self, request: Request, due: float) -> None:
        heappush(self._deadlines, (due, request.request_id))
        live = self._requests.live
        if (
            len(self._deadlines)
            > DEADLINE_ENTRIES_PER_REQUEST * len(live) + MIN_DEADLINE_ENTRIES
        ):
            self._deadlines = [item for item in self._deadlines if item[1] in live]
            heapify(self._deadlines)

    def _check_start(self, request: Request, now: float) -> list[Effect] | None:
        if self._shedder.has_too_little_time(request, now):
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
        self.remove_waiting(request)
        outcome = request.unanswered_outcome
        answer = refuse(kind, outcome, retry_after=retry_after)
        return self._requests.end(request, answer, outcome, now)

    def _acquire_unit(self, request: Request, now: float) -> bool:
        request.attempts += 1
        if not request.team:
            return True
        if self._portions.acquire(request.team, request.attempt_id, now):
            return True
        request.attempts -= 1
        self._blocked[request.team] = now + UNIT_RETRY_SECONDS
        return False

    def _release_unit(self, request: Request, until: float, now: float) -> None:
        if not request.team:
            return
        if until > now:
            heappush(self._unit_releases, (until, request.team, request.attempt_id))
            return
        self._portions.release(request.team, request.attempt_id, now)
        self._blocked.pop(request.team, None)

    def _end_attempt(
        self, request: Request, outcome: DispatchOutcome, now: float
    ) -> list[Effect]:
        self._remote_starts.pop(request.request_id, None)
        request.state = RequestState.WAITING
        request.owner = ""
        request.token = ""
        match outcome.status:
            case DispatchStatus.NOT_SENT:
                self._release_unit(request, now, now)
                return self._retry_unsent(request, now)
            case DispatchStatus.UNKNOWN:
                self._release_unit(request, request.deadline + GRACE_SECONDS, now)
                request.may_have_run = True
                if self._can_retry(request, now):
                    return self._schedule_retry(request, now)
                return self._refuse(request, ProblemType.OUTCOME_UNKNOWN, now)
            case DispatchStatus.ANSWERED:
                self._release_unit(request, now, now)
                self._durations.record(request.service, now - request.started_at)
                if outcome.code in RETRYABLE_STATUS_CODES and self._can_retry(
                    request, now
                ):
                    request.may_have_run = True
                    return self._schedule_retry(request, now)
                return self._requests.end(
                    request, _make_answer(outcome), Outcome.RAN, now
                )

    def _retry_unsent(self, request: Request, now: float) -> list[Effect]:
        if request.cancelled:
            return self._refuse(request, ProblemType.CANCELLED, now)
        if request.attempts >= MAX_UNSENT_ATTEMPTS:
            return self._refuse(request, ProblemType.NO_TARGET, now, retry_after=1.0)
        return self._schedule_retry(request, now)

    def _can_retry(self, request: Request, now: float) -> bool:
        if not request.repeatable or request.cancelled:
            return False
        if request.attempts >= MAX_SENT_ATTEMPTS or now >= request.deadline:
            return False
        return self._budgets[request.service].withdraw()

    def _schedule_retry(self, request: Request, now: float) -> list[Effect]:
        request.outcome = request.unanswered_outcome
        due = now + draw_backoff(request.attempts, self._random)
        heappush(self._retries, (due, request.request_id))
        return []

    def _requeue(self, request_id: str, now: float) -> None:
        request = self._requests.live.get(request_id)
        if request is None or request.state is not RequestState.WAITING:
            return
        queue = self.get_queue(request.service)
        queue.push(request.flow, request_id, request.queue, now, first=True)

    def _end_expired(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request_id = heappop(self._deadlines)
            request = self._requests.live.get(request_id)
            if request is None:
                continue
            if request.state is RequestState.WAITING:
                effects += self._refuse(request, ProblemType.DEADLINE, now)
            elif now >= request.deadline + GRACE_SECONDS:
                effects += self._end_overdue(request, now)
        return effects

    def _end_overdue(self, request: Request, now: float) -> list[Effect]:
        self._remote_starts.pop(request.request_id, None)
        self._release_unit(request, now, now)
        request.may_have_run = True
        return self._refuse(request, ProblemType.OUTCOME_UNKNOWN, now)

    def _resend_starts(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for request_id, (owner, message, resend_at) in list(
            self._remote_starts.items()
        ):
            if resend_at > now:
                continue
            self._remote_starts[request_id] = (owner, message, now + RESEND_SECONDS)
            effects.append(SendPeer(owner, message, reliable=True))
        return effects

    def _list_blocked(self, now: float) -> Sequence[str]:
        for team in [team for team, until in self._blocked.items() if until <= now]:
            del self._blocked[team]
        return list(self._blocked)

    def _get_weight(self, team: str) -> float:
        rule = self._folder.team(team)
        return rule.share if rule is not None else 1.0


def _make_spec(request: Request) -> AttemptSpec:
    return AttemptSpec(
        request_id=request.request_id,
        queue=request.queue,
        flow=request.flow,
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
