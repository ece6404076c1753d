"""Orders to instances within one term: starts, stops and lease renewals."""

from collections.abc import Set as AbstractSet

import msgspec

from gypsumwalk.advice import AdviceCache, name_step
from gypsumwalk.declarations import DeclarationSection
from gypsumwalk.effects import CallPlatform, Effect, Record, Scalar
from gypsumwalk.events import Event
from gypsumwalk.instance_actions import RenewLease, StartRun, StopRun
from gypsumwalk.instance_orders import OpenOrder, OrderKind, OrderTable
from gypsumwalk.leases import InstanceView, RunView
from gypsumwalk.life_clocks import CLOCK_RATE_ERROR, MILLISECONDS_PER_SECOND
from gypsumwalk.workload_records import RegisteredInstance
from gypsumwalk.workloads import WorkloadSection

__all__ = ["LEASE_MARGIN_SECONDS", "RENEWAL_WAIT_SECONDS", "RunOrders"]

LEASE_SECONDS = 4.5
"""Lease duration; covers a change of leader (1.7 s) that follows the last renewal
by up to 1 s."""

RENEWAL_WAIT_SECONDS = 0.8
"""Time that an instance waits for a run to end before it answers (long polling)."""

SHORT_WAIT_SECONDS = 0.25
"""Shorter wait where fillers may slow tasks with a latency target, as load figures
cover 0.5 s, or where a listed run is missing and may be ending, as a stop takes 0.2 to
0.4 s."""

CALL_SECONDS = 1.0
"""Timeout of one call; the latency of a link is a few milliseconds."""

PROBE_SECONDS = 0.03
"""Time without an answer to a start after which the runs are listed; doubles with each
further list."""

LEASE_MARGIN_SECONDS = 0.3
"""Safety margin; covers late timers and a process suspended while it sent an order."""

LIVES_PER_TERM = 1 << 32
"""Lives of instances that have a fence of their own within one term."""


class RunOrders:
    """Sends orders to instances, and records their possible effects in the views.

    The caller ensures that this daemon is the leader.

    Parameters
    ----------
    part : str
        Name of the part that receives the outcomes.
    declarations : DeclarationSection
        Declaration in force.
    workloads : WorkloadSection
        Jobs and instances.
    advice : AdviceCache
        Tickets for steps of queues that require advice.
    evacuated : Set of str
        Data centres that are evacuated, kept up to date by their holder.
    max_lease : float
        Longest lease that an instance accepts, in seconds.
    """

    def __init__(
        self,
        part: str,
        *,
        declarations: DeclarationSection,
        workloads: WorkloadSection,
        advice: AdviceCache,
        evacuated: AbstractSet[str],
        max_lease: float,
    ) -> None:
        self._declarations = declarations
        self._workloads = workloads
        self._advice = advice
        self._evacuated = evacuated
        self._lease_seconds = min(LEASE_SECONDS, max_lease)
        self._table = OrderTable(part)
        self._term = 0
        self._life_count = 0

    @property
    def lease_validity_bound(self) -> float:
        """Upper bound in seconds of the time until a lease granted now has expired."""
        return self._lease_seconds / (1 - CLOCK_RATE_ERROR) + LEASE_MARGIN_SECONDS

    @property
    def term(self) -> int:
        """Term of the orders."""
        return self._term

    @property
    def latest_fence(self) -> int:
        """The highest fence given to a life in this term."""
        return self._term * LIVES_PER_TERM + self._life_count

    def begin_term(self, term: int) -> None:
        """Discard the pending orders and use the fences of a new term."""
        self._term = term
        self._life_count = 0
        self._table.clear()

    def add_life(self, registered: RegisteredInstance, now: float) -> InstanceView:
        """Return the view of a life of an instance.

        Its fence is above those of all earlier lives, so that the instance refuses
        orders meant for a former life as soon as it has been called.
        """
        self._life_count += 1
        return InstanceView(
            registered, self._evacuated, fence=self.latest_fence, renewal_due=now
        )

    def close(self, token: str) -> OpenOrder | None:
        """Remove and return the order that an outcome belongs to."""
        return self._table.close(token)

    def has_open_changes(self, life: str) -> bool:
        """Tell whether a start or a stop on a life waits for its answer."""
        return self._table.has_open_changes(life)

    # Advice

    def has_advice(self, run: RunView, now: float) -> bool:
        """Tell whether a run has a valid ticket or its queue requires none."""
        workload = self._workloads.jobs[run.task.job]
        if self._declarations.get_advice(workload.queue) is None:
            return True
        return bool(self._find_ticket(run, now))

    def drop_ticket(self, run: RunView) -> None:
        """Discard the ticket of a run after its instance refused it."""
        self._advice.drop_ticket(_format_step(run), run.life)

    def _find_ticket(self, run: RunView, now: float) -> str:
        return self._advice.find_ticket(_format_step(run), run.life, now)

    # Calls

    def start(self, run: RunView, view: InstanceView, now: float) -> list[Effect]:
        """Order an instance to start a run; the order also extends the lease."""
        workload = self._workloads.jobs[run.task.job]
        action = StartRun(
            instance=view.registered.instance,
            address=view.registered.address,
            fence=view.fence,
            task=str(run.task),
            run=run.run,
            spec=workload.spec,
            lease_until=self._extend_lease(view, now),
            checkpoint=workload.find_checkpoint(run.task),
            ticket=self._find_ticket(run, now),
        )
        run.is_order_pending = True
        run.ordered_at = now
        run.attempts += 1
        run.probes = 0
        run.unanswered_starts += 1
        run.start_sent_at = now
        order = _open_order(OrderKind.START, view, now, run)
        attributes: dict[str, Scalar] = {
            "run": run.run,
            "life": run.life,
            "attempt": run.attempts,
            "free": view.registered.capacity.cpu - view.used.cpu,
            "version": self._declarations.version,
        }
        record = Record(Event.RUN_STARTED, str(run.task), attributes)
        return [record, self._call(order, action, CALL_SECONDS)]

    def probe(self, run: RunView, view: InstanceView, now: float) -> list[Effect]:
        """Request a run list at once if the only start of a run is not answered."""
        if run.attempts != 1 or now < run.ordered_at + PROBE_SECONDS * 2**run.probes:
            return []
        run.probes += 1
        action = RenewLease(
            view.registered.instance,
            view.registered.address,
            view.fence,
            acknowledged=0,
            lease_until=None,
            wait=0.0,
        )
        order = _open_order(OrderKind.LIST, view, now)
        return [self._call(order, action, CALL_SECONDS)]

    def stop(self, run: RunView, view: InstanceView, now: float) -> list[Effect]:
        """Order an instance to stop a run, and to refuse a start that arrives later."""
        run.ordered_at = now
        run.is_order_pending = True
        order = _open_order(OrderKind.STOP, view, now, run)
        action = self._make_stop(view, str(run.task), run.run)
        return [self._call(order, action, CALL_SECONDS)]

    def stop_unknown(
        self, view: InstanceView, task: str, run: int, now: float
    ) -> list[Effect]:
        """Order an instance to stop a run that has no placement."""
        order = _open_order(OrderKind.ORPHAN, view, now)
        return [self._call(order, self._make_stop(view, task, run), CALL_SECONDS)]

    def renew(self, view: InstanceView, now: float) -> list[Effect]:
        """Request the run list of an instance, and renew its lease if responsive."""
        lease_until = None
        wait = 0.0
        acknowledged = 0
        if view.is_responsive:
            # Repeated to another life, it would make that one forget ends of its own.
            if view.acknowledged > view.acknowledgement_received:
                acknowledged = view.acknowledged
            needs_short_wait = view.is_contended or any(
                run.missing_since or run.hidden_since for run in view.runs.values()
            )
            wait = SHORT_WAIT_SECONDS if needs_short_wait else RENEWAL_WAIT_SECONDS
            # The runs of an instance that deregisters are being stopped.
            if view.runs and not view.deregistered_at:
                lease_until = self._extend_lease(view, now)
        view.is_renewal_pending = True
        view.renewal_sent = now
        view.acknowledgement_sent = acknowledged or view.acknowledgement_received
        action = RenewLease(
            view.registered.instance,
            view.registered.address,
            view.fence,
            acknowledged,
            lease_until,
            wait,
        )
        order = _open_order(OrderKind.RENEW, view, now)
        return [self._call(order, action, wait + CALL_SECONDS)]

    def _extend_lease(self, view: InstanceView, now: float) -> int:
        lease_until = view.estimate_clock(now) + int(
            self._lease_seconds * MILLISECONDS_PER_SECOND
        )
        view.lease_until = max(view.lease_until, lease_until)
        view.lease_sent_at = now
        return lease_until

    def _make_stop(self, view: InstanceView, task: str, run: int) -> StopRun:
        registered = view.registered
        return StopRun(registered.instance, registered.address, view.fence, task, run)

    def _call(self, order: OpenOrder, action: msgspec.Struct, timeout: float) -> Effect:
        return CallPlatform(self._table.open(order), action, timeout)


def _open_order(
    kind: OrderKind, view: InstanceView, now: float, run: RunView | None = None
) -> OpenOrder:
    return OpenOrder(kind, view.registered.life, now, view.fence, run, view.clock)


def _format_step(run: RunView) -> str:
    return name_step(run.task.job, run.task.occurrence, run.task.step)
