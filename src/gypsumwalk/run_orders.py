"""Orders of one term to instances: starts, stops and renewals of leases."""

import msgspec

from gypsumwalk.advice import AdviceCache, name_step
from gypsumwalk.declarations import DeclarationSection
from gypsumwalk.effects import CallPlatform, Effect, Record, Scalar
from gypsumwalk.events import Event
from gypsumwalk.instance_actions import RenewLease, StartRun, StopRun
from gypsumwalk.instance_orders import OpenOrder, OrderKind, OrderTable
from gypsumwalk.leases import CLOCK_RATE_ERROR, InstanceView, RunView
from gypsumwalk.workloads import WorkloadSection

__all__ = ["LAPSE_MARGIN_SECONDS", "RunOrders"]

LEASE_SECONDS = 4.5
"""Spans a change of leader (1.7 s) after the last renewal (up to 1 s earlier)."""

RENEWAL_WAIT_SECONDS = 0.8
"""Time in seconds that an instance waits for an end before it answers."""

HURRIED_WAIT_SECONDS = 0.25
"""The same where fillers may slow tasks that serve, as figures cover half a second, or
where a run is missing that may be ending, as a stop takes 0.2 to 0.4 s."""

CALL_SECONDS = 1.0
"""Timeout of one call; links are a few milliseconds long."""

LAPSE_MARGIN_SECONDS = 0.3
"""Covers timers that fire late and a process that was suspended while it sent."""

MILLISECONDS = 1000


class RunOrders:
    """Makes calls to instances, and notes in their views what may follow from them.

    The caller makes sure that this daemon leads.

    Parameters
    ----------
    part : str
        Name of the part that the outcomes go to.
    declarations : DeclarationSection
        Declaration in force.
    workloads : WorkloadSection
        Jobs and instances.
    advice : AdviceCache
        Tickets for steps of queues with advice.
    max_lease : float
        Longest lease that an instance takes, in seconds.
    """

    def __init__(
        self,
        part: str,
        *,
        declarations: DeclarationSection,
        workloads: WorkloadSection,
        advice: AdviceCache,
        max_lease: float,
    ) -> None:
        self._declarations = declarations
        self._workloads = workloads
        self._advice = advice
        self._lease = min(LEASE_SECONDS, max_lease)
        self._table = OrderTable(part)
        self._term = 0

    @property
    def lease_span(self) -> float:
        """Longest time in seconds that a lease lasts after it was given."""
        return self._lease / (1 - CLOCK_RATE_ERROR) + LAPSE_MARGIN_SECONDS

    def begin(self, term: int) -> None:
        """Forget the orders of earlier terms, and give orders in this one."""
        self._term = term
        self._table.clear()

    def close(self, token: str) -> OpenOrder | None:
        """Return the order that an outcome belongs to, and forget it."""
        return self._table.close(token)

    # Advice

    def has_advice(self, run: RunView, now: float) -> bool:
        """Tell whether a run may start as far as the advice on its step goes."""
        workload = self._workloads.jobs[run.task.job]
        if self._declarations.get_advice(workload.queue) is None:
            return True
        return bool(self._find_ticket(run, now))

    def drop_ticket(self, run: RunView) -> None:
        """Forget the ticket that the instance of a run did not accept."""
        self._advice.drop_ticket(_name_step(run), run.life)

    def _find_ticket(self, run: RunView, now: float) -> str:
        return self._advice.find_ticket(_name_step(run), run.life, now)

    # Calls

    def start(self, run: RunView, view: InstanceView, now: float) -> list[Effect]:
        """Order a start, which gives its instance a lease."""
        workload = self._workloads.jobs[run.task.job]
        action = StartRun(
            instance=view.registered.instance,
            address=view.registered.address,
            fence=self._term,
            task=str(run.task),
            run=run.run,
            spec=workload.spec,
            lease_until=self._extend_lease(view, now),
            checkpoint=workload.find_checkpoint(run.task),
            ticket=self._find_ticket(run, now),
        )
        run.order_open = True
        run.ordered_at = now
        run.attempts += 1
        order = OpenOrder(OrderKind.START, run.life, now, run)
        attributes: dict[str, Scalar] = {
            "run": run.run,
            "life": run.life,
            "attempt": run.attempts,
            "free": view.registered.capacity.cpu - view.used.cpu,
            "version": self._declarations.version,
        }
        record = Record(Event.RUN_STARTED, str(run.task), attributes)
        return [record, self._call(order, action, CALL_SECONDS)]

    def stop(self, run: RunView, view: InstanceView, now: float) -> list[Effect]:
        """Order a stop, which also refuses a start that comes later."""
        run.ordered_at = now
        run.order_open = True
        order = OpenOrder(OrderKind.STOP, run.life, now, run)
        action = self._make_stop(view, str(run.task), run.run)
        return [self._call(order, action, CALL_SECONDS)]

    def stop_stranger(self, view: InstanceView, task: str, run: int) -> list[Effect]:
        """Order a stop of a run that no placement accounts for."""
        order = OpenOrder(OrderKind.ORPHAN, view.registered.life, 0.0)
        return [self._call(order, self._make_stop(view, task, run), CALL_SECONDS)]

    def renew(self, view: InstanceView, now: float) -> list[Effect]:
        """Ask for the runs of an instance, and renew its lease if it answers."""
        lease_until = None
        wait = 0.0
        if view.is_responsive:
            hurried = view.watched or any(
                run.missing_since for run in view.runs.values()
            )
            wait = HURRIED_WAIT_SECONDS if hurried else RENEWAL_WAIT_SECONDS
            if view.runs:
                lease_until = self._extend_lease(view, now)
        view.renewal_open = True
        view.renewal_sent = now
        action = RenewLease(
            view.registered.instance,
            view.registered.address,
            self._term,
            view.acknowledged,
            lease_until,
            wait,
        )
        order = OpenOrder(OrderKind.RENEW, view.registered.life, now)
        return [self._call(order, action, wait + CALL_SECONDS)]

    def _extend_lease(self, view: InstanceView, now: float) -> int:
        lease_until = view.read_clock(now) + int(self._lease * MILLISECONDS)
        view.lease_until = max(view.lease_until, lease_until)
        return lease_until

    def _make_stop(self, view: InstanceView, task: str, run: int) -> StopRun:
        registered = view.registered
        return StopRun(registered.instance, registered.address, self._term, task, run)

    def _call(self, order: OpenOrder, action: msgspec.Struct, timeout: float) -> Effect:
        return CallPlatform(self._table.open(order), action, timeout)


def _name_step(run: RunView) -> str:
    return name_step(run.task.job, run.task.occurrence, run.task.step)
