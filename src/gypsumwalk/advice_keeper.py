"""Leader's questions to the advice service, one at a time."""

from collections.abc import Sequence
from dataclasses import dataclass

from gypsumwalk.advice import AdviceBook, AdviceWish
from gypsumwalk.dispatcher import Dispatcher
from gypsumwalk.effects import CallPlatform, Effect, Record, Scalar
from gypsumwalk.events import Event
from gypsumwalk.inputs import Input, PlatformOutcome
from gypsumwalk.instance_actions import AdviceReport, AskAdvice
from gypsumwalk.part import NEVER
from gypsumwalk.task_scheduler import TaskScheduler
from gypsumwalk.workloads import WorkloadSection

__all__ = ["AdviceKeeper"]

CALL_SECONDS = 1.0
"""Timeout of a question beyond the time that the service states for it."""

RETRY_SECONDS = 0.2
"""Time in seconds after a question without an answer before the next one."""


@dataclass(frozen=True, slots=True)
class _Question:
    wish: AdviceWish
    lives: dict[str, str]
    sent_at: float


class AdviceKeeper:
    """The part that asks which instances may run waiting steps.

    Parameters
    ----------
    workloads : WorkloadSection
        Jobs and instances.
    dispatcher : Dispatcher
        Tells whether this daemon leads; told when an answer lets tasks start.
    scheduler : TaskScheduler
        Tells what is worth asking.
    advice : AdviceBook
        Where answers are kept.
    """

    name = "advice"
    accepts: tuple[type, ...] = ()

    def __init__(
        self,
        *,
        workloads: WorkloadSection,
        dispatcher: Dispatcher,
        scheduler: TaskScheduler,
        advice: AdviceBook,
    ) -> None:
        self._workloads = workloads
        self._dispatcher = dispatcher
        self._scheduler = scheduler
        self._advice = advice
        self._term = 0
        self._open: dict[str, _Question] = {}
        self._count = 0
        self._retry_at = 0.0

    @property
    def wakeup(self) -> float:
        """Time in seconds of the next question, never while one is open."""
        if self._open or not self._scheduler.wanted_advice:
            return NEVER
        return self._retry_at

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Take in the answer to a question."""
        if not isinstance(item, PlatformOutcome):
            return []
        question = self._open.pop(item.token, None)
        if question is None or self._dispatcher.term != self._term:
            return []
        step = question.wish.step
        attributes: dict[str, Scalar] = {"asked": len(question.lives), "allowed": -1}
        if not isinstance(item.report, AdviceReport):
            self._retry_at = now + RETRY_SECONDS
            self._dispatcher.request_scheduling_pass(now)
            return [Record(Event.ADVICE_GIVEN, step, attributes)]
        tickets = {
            life: item.report.tickets[instance]
            for life, instance in question.lives.items()
            if instance in item.report.tickets
        }
        # The service may count the validity from when it took the question.
        validity = item.report.validity or question.wish.policy.validity
        until = question.sent_at + validity
        self._advice.note(step, question.lives, tickets, until)
        self._dispatcher.request_scheduling_pass(now)
        attributes["allowed"] = len(tickets)
        return [Record(Event.ADVICE_GIVEN, step, attributes)]

    def advance(self, now: float) -> Sequence[Effect]:
        """Ask the question that is wished for first."""
        if not self._dispatcher.term or not self._dispatcher.is_leading(now):
            self._scheduler.wanted_advice.clear()
            return []
        if self._dispatcher.term != self._term:
            self._term = self._dispatcher.term
            self._open.clear()
            self._advice.clear()
        if self._open or not self._scheduler.wanted_advice or now < self._retry_at:
            return []
        self._advice.prune(self._workloads.open_jobs)
        return self._ask(self._scheduler.wanted_advice.pop(0), now)

    def _ask(self, wish: AdviceWish, now: float) -> list[Effect]:
        known = self._workloads.instances
        # A wish may be older than an answer that came since.
        unknown = self._advice.list_unknown(wish.step, wish.lives, now)
        lives = {life: known[life].instance for life in unknown if life in known}
        if not lives:
            return []
        self._count += 1
        token = f"{self.name}/{self._term}/{self._count}"
        self._open[token] = _Question(wish, lives, now)
        service_seconds = wish.policy.decision + len(lives) * wish.policy.per_instance
        action = AskAdvice(wish.step, list(lives.values()))
        return [CallPlatform(token, action, service_seconds + CALL_SECONDS)]
