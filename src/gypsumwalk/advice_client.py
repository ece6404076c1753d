"""Queries of the leader to the advice service, one at a time."""

from collections.abc import Sequence
from dataclasses import dataclass

from gypsumwalk.advice import AdviceCache, AdviceQuery
from gypsumwalk.dispatcher import Dispatcher
from gypsumwalk.effects import CallPlatform, Effect, Record, Scalar
from gypsumwalk.events import Event
from gypsumwalk.inputs import Input, PlatformOutcome
from gypsumwalk.instance_actions import AdviceReport, AskAdvice
from gypsumwalk.part import NEVER
from gypsumwalk.task_scheduler import TaskScheduler
from gypsumwalk.workloads import WorkloadSection

__all__ = ["AdviceClient"]

CALL_SECONDS = 1.0
"""Timeout of a query beyond the processing time that the service states."""

RETRY_SECONDS = 0.2
"""Backoff after a query that was not answered."""


@dataclass(frozen=True, slots=True)
class _OpenQuery:
    query: AdviceQuery
    lives: dict[str, str]
    sent_at: float


class AdviceClient:
    """Part that queries the advice service for waiting steps.

    Parameters
    ----------
    workloads : WorkloadSection
        Jobs and instances.
    dispatcher : Dispatcher
        Leadership of this daemon; runs a scheduling pass after each answer.
    scheduler : TaskScheduler
        Source of the pending queries.
    advice : AdviceCache
        Cache of the answers.
    """

    name = "advice"
    accepts: tuple[type, ...] = ()

    def __init__(
        self,
        *,
        workloads: WorkloadSection,
        dispatcher: Dispatcher,
        scheduler: TaskScheduler,
        advice: AdviceCache,
    ) -> None:
        self._workloads = workloads
        self._dispatcher = dispatcher
        self._scheduler = scheduler
        self._advice = advice
        self._term = 0
        self._open_queries: dict[str, _OpenQuery] = {}
        self._count = 0
        self._retry_at = 0.0

    @property
    def wakeup(self) -> float:
        """Time in seconds of the next query, ``NEVER`` while one is in flight."""
        if self._open_queries or not self._scheduler.wanted_advice:
            return NEVER
        return self._retry_at

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Store the answer to a query, and request a scheduling pass."""
        if not isinstance(item, PlatformOutcome):
            return []
        open_query = self._open_queries.pop(item.token, None)
        if open_query is None or self._dispatcher.term != self._term:
            return []
        step = open_query.query.step
        attributes: dict[str, Scalar] = {"asked": len(open_query.lives), "allowed": -1}
        if not isinstance(item.report, AdviceReport):
            self._retry_at = now + RETRY_SECONDS
            self._dispatcher.request_scheduling_pass(now)
            return [Record(Event.ADVICE_GIVEN, step, attributes)]
        tickets = {
            life: item.report.tickets[instance]
            for life, instance in open_query.lives.items()
            if instance in item.report.tickets
        }
        # The service may count the validity from the arrival of the query.
        validity = item.report.validity or open_query.query.policy.validity
        until = open_query.sent_at + validity
        self._advice.record_answer(step, open_query.lives, tickets, until)
        self._dispatcher.request_scheduling_pass(now)
        attributes["allowed"] = len(tickets)
        return [Record(Event.ADVICE_GIVEN, step, attributes)]

    def advance(self, now: float) -> Sequence[Effect]:
        """Send the first pending query unless one is in flight."""
        if not self._dispatcher.term:
            self._scheduler.wanted_advice.clear()
            return []
        if not self._dispatcher.is_leading(now):
            # The lease may return in the same term, and no pass follows then.
            self._retry_at = now + RETRY_SECONDS
            return []
        if self._dispatcher.term != self._term:
            self._term = self._dispatcher.term
            self._open_queries.clear()
            self._advice.clear()
        if (
            self._open_queries
            or not self._scheduler.wanted_advice
            or now < self._retry_at
        ):
            return []
        self._advice.prune(self._workloads.open_jobs)
        return self._ask(self._scheduler.wanted_advice.pop(0), now)

    def _ask(self, query: AdviceQuery, now: float) -> list[Effect]:
        known = self._workloads.instances
        # An answer since the query was queued may cover some of its instances.
        unknown = self._advice.list_unknown(query.step, query.lives, now)
        lives = {life: known[life].instance for life in unknown if life in known}
        if not lives:
            return []
        self._count += 1
        token = f"{self.name}/{self._term}/{self._count}"
        self._open_queries[token] = _OpenQuery(query, lives, now)
        service_seconds = query.policy.decision + len(lives) * query.policy.per_instance
        action = AskAdvice(query.step, list(lives.values()))
        return [CallPlatform(token, action, service_seconds + CALL_SECONDS)]
