"""Delivery of starts and stops to instances until they are accepted."""

from collections.abc import Callable, Iterable

from gypsumwalk.answer_origins import AnswerOrigin
from gypsumwalk.dispatch_context import DispatchContext
from gypsumwalk.effects import Effect, Record, Scalar
from gypsumwalk.events import Event
from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.instance_actions import UNCLEAR, OrderReport
from gypsumwalk.instance_orders import OpenOrder, OrderKind
from gypsumwalk.leases import InstanceView, RunState, RunView
from gypsumwalk.orphaned_runs import LATE_ORDER_SECONDS
from gypsumwalk.workload_records import RunEnd, TaskKey

__all__ = ["OrderDelivery", "note_start_outcome"]

RESEND_SECONDS = 0.4
"""Delay before an order without effect is sent again."""

WITHDRAWAL_SECONDS = 2.0
"""Time after an unanswered start until a draining instance is ordered to stop the run;
it lists its runs every 0.8 s, so a run that has begun is known by then."""

START_BACKOFF_SECONDS = 1.0
"""Time for which an instance gets no starts after it refused one."""

UNCLEAR_BACKOFF_SECONDS = 4.0
"""The same after repeated answers that say nothing; longer than it takes to end the run
(2.4 s), so that its task starts elsewhere if it can."""


class OrderDelivery:
    """Starts and stops that the instances may not have accepted yet.

    Parameters
    ----------
    context : DispatchContext
        State that the modules of the dispatcher share.
    evacuation : float
        Time in seconds from which an evacuation has to be in force.
    """

    def __init__(self, context: DispatchContext, *, evacuation: float) -> None:
        self._context = context
        # The other half is left for the stop and its repetitions.
        self._evacuation_withdrawal = min(WITHDRAWAL_SECONDS, evacuation / 2)
        self._ordered_runs: dict[tuple[TaskKey, int], RunView] = {}
        """Runs with a start or a stop that the instance may not have accepted yet."""

    def clear(self) -> None:
        """Forget all orders, at the end of a term."""
        self._ordered_runs.clear()

    def watch(self, run: RunView) -> None:
        """Send the orders for a run again until its instance has accepted them."""
        self._ordered_runs[run.task, run.run] = run

    def stop(self, run: RunView, now: float) -> list[Effect]:
        """Stop a run; the order is resent until the instance accepts it."""
        run.is_stopping = True
        self.watch(run)
        return self._send_stop(run, now)

    def stop_job(self, job: str, now: float) -> list[Effect]:
        """Stop the runs of a job that are not being stopped yet."""
        effects: list[Effect] = []
        for run in self._context.lease_table.list_runs_of_job(job):
            if not run.is_stopping:
                effects += self.stop(run, now)
        return effects

    def stop_gang(self, end: RunEnd, now: float) -> list[Effect]:
        """Stop the other members of a gang run, which cannot go on without one."""
        step = self._context.workloads.find_step(end.task)
        if step is None or not step.gang:
            return []
        effects: list[Effect] = []
        find = self._context.lease_table.find
        for number in range(step.count):
            member = find(end.task._replace(number=number), end.run)
            if member is not None and not member.is_stopping:
                effects += self.stop(member, now)
        return effects

    def _send_stop(self, run: RunView, now: float) -> list[Effect]:
        view = self._context.lease_table.instances.get(run.life)
        if view is None or view.is_fenced_off:
            return []
        if run.state in (RunState.PLANNED, RunState.ENDING):
            return []
        if not self._context.is_leading(now):
            return []
        return self._context.orders.stop(run, view, now)

    def resend(self, now: float) -> list[Effect]:
        """Send the orders again that had no effect for some time."""
        effects: list[Effect] = []
        for key, run in list(self._ordered_runs.items()):
            is_known = self._context.lease_table.find(*key) is run
            if not is_known or not _has_open_order(run):
                del self._ordered_runs[key]
            else:
                effects += self._resend_order(run, now)
        return effects

    def _resend_order(self, run: RunView, now: float) -> list[Effect]:
        view = self._context.lease_table.instances.get(run.life)
        if view is None or not view.is_responsive:
            return []
        if run.is_order_pending:
            return self._probe_start(run, view, now)
        if now - run.ordered_at < RESEND_SECONDS:
            return []
        if run.is_stopping:
            return self._send_stop(run, now)
        if run.state is not RunState.STARTING:
            return []
        if view.is_draining:
            is_overdue = now - run.ordered_at >= self._find_withdrawal(view)
            return self.stop(run, now) if is_overdue else []
        if not self._context.orders.has_advice(run, now):
            return self.stop(run, now)
        return self._context.orders.start(run, view, now)

    def _find_withdrawal(self, view: InstanceView) -> float:
        """Return the time in seconds after which an unanswered start is withdrawn."""
        return self._evacuation_withdrawal if view.is_evacuated else WITHDRAWAL_SECONDS

    def _probe_start(
        self, run: RunView, view: InstanceView, now: float
    ) -> list[Effect]:
        """List the runs of an instance that does not answer a start of a lasting task.

        Once a list shows the run, it ends with its instance: otherwise the task has to
        wait until a late copy of the start can do no harm.
        """
        if run.is_stopping or not run.is_lasting:
            return []
        return self._context.orders.probe(run, view, now)

    def stop_lasting_on(
        self,
        draining: Iterable[InstanceView],
        may_interrupt: Callable[[RunView], bool],
        now: float,
    ) -> list[Effect]:
        """Stop the lasting runs of draining instances within the budgets of the steps.

        Parameters
        ----------
        draining : Iterable of InstanceView
            The instances.
        may_interrupt : Callable
            Tells whether the budget of the step of a run allows to stop the run.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Orders to the instances.
        """
        effects: list[Effect] = []
        for view in draining:
            for run in list(view.runs.values()):
                if not run.is_lasting or run.is_stopping:
                    continue
                if may_interrupt(run):
                    effects += self.stop(run, now)
        return effects

    def handle_answer(
        self,
        view: InstanceView,
        order: OpenOrder,
        report: OrderReport,
        origin: AnswerOrigin,
        now: float,
    ) -> list[Effect]:
        """Update a run as its instance accepts or refuses an order.

        Parameters
        ----------
        view : InstanceView
            The instance.
        order : OpenOrder
            The order.
        report : OrderReport
            Answer of the instance.
        origin : AnswerOrigin
            Life that the answer comes from.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            What follows from a refusal.
        """
        run = order.run
        if run is None:
            return []
        if order.kind is OrderKind.STOP:
            if report.refused:
                return [_describe_refusal(Event.STOP_REFUSED, run, report, origin)]
            run.stopped_at = now
            return []
        if not report.refused and origin is not AnswerOrigin.SAME_LIFE:
            return []
        return self._handle_start_answer(view, run, report, origin, now)

    def _handle_start_answer(
        self,
        view: InstanceView,
        run: RunView,
        report: OrderReport,
        origin: AnswerOrigin,
        now: float,
    ) -> list[Effect]:
        if run.state is not RunState.STARTING:
            return []
        if report.refused in ("", "old"):
            # "old" means that the run has started and ended: the next run list
            # contains its end.
            run.state = RunState.RUNNING
            run.confirmed_at = now
            if not report.refused:
                run.started_clock = report.clock
            return []
        record = _describe_refusal(Event.RUN_REFUSED, run, report, origin)
        if report.refused == "ticket":
            self._context.orders.drop_ticket(run)
        else:
            view.start_backoff_until = now + START_BACKOFF_SECONDS
        if report.refused == UNCLEAR and run.attempts == 1:
            # The instance may have the run: the start is sent again.
            return [record]
        if report.refused == UNCLEAR:
            view.start_backoff_until = now + UNCLEAR_BACKOFF_SECONDS
        if run.attempts > 1:
            # An earlier copy of the order may still arrive; the instance refuses it
            # after a stop.
            return [record, *self.stop(run, now)]
        return [record, *self._context.end_as_lost([run], report.refused)]


def note_start_outcome(
    order: OpenOrder, run: RunView, item: PlatformOutcome, origin: AnswerOrigin
) -> None:
    """Update how many starts of a run a later life of its instance may carry out.

    Parameters
    ----------
    order : OpenOrder
        The order that was answered; only a start changes anything.
    run : RunView
        The run.
    item : PlatformOutcome
        Outcome of the order.
    origin : AnswerOrigin
        Life that the answer comes from, if there is one.
    """
    if order.kind is not OrderKind.START:
        return
    report = item.report
    if item.unknown:
        run.late_start_until = order.sent_at + LATE_ORDER_SECONDS
        return
    is_carried_out = isinstance(report, OrderReport) and not report.refused
    if is_carried_out and origin is not AnswerOrigin.SAME_LIFE:
        return
    run.unanswered_starts = max(0, run.unanswered_starts - 1)


def _describe_refusal(
    event: Event, run: RunView, report: OrderReport, origin: AnswerOrigin
) -> Record:
    attributes: dict[str, Scalar] = {
        "run": run.run,
        "life": run.life,
        "attempt": run.attempts,
        "reason": report.refused,
        "detail": report.detail,
        "origin": origin.value,
    }
    return Record(event, str(run.task), attributes)


def _has_open_order(run: RunView) -> bool:
    if run.state is RunState.ENDING:
        return False
    if run.is_stopping:
        return not run.stopped_at
    return run.state is RunState.STARTING
