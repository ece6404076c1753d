"""Instances and runs that a new leader takes over from an earlier one."""

from collections.abc import Iterable

from gypsumwalk.dispatch_context import DispatchContext
from gypsumwalk.effects import Effect, Record, Scalar
from gypsumwalk.events import Event
from gypsumwalk.instance_departures import InstanceDepartures
from gypsumwalk.order_delivery import OrderDelivery
from gypsumwalk.placements import Placements
from gypsumwalk.workload_records import Placement

__all__ = ["Takeover"]


class Takeover:
    """Adds to the lease table what an earlier leader may have caused.

    Parameters
    ----------
    context : DispatchContext
        State that the modules of the dispatcher share.
    delivery : OrderDelivery
        Starts and stops that the instances may not have accepted yet.
    placements : Placements
        Placements of runs.
    departures : InstanceDepartures
        Lives that have ended or depart.
    """

    def __init__(
        self,
        context: DispatchContext,
        delivery: OrderDelivery,
        placements: Placements,
        departures: InstanceDepartures,
    ) -> None:
        self._context = context
        self._delivery = delivery
        self._placements = placements
        self._departures = departures

    def restore(self, term: int, now: float) -> list[Effect]:
        """Add the registered instances and the placed runs at the start of a term."""
        self._restore_instances(now)
        self.restore_runs(self._context.workloads.list_placements(), now)
        lease_table = self._context.lease_table
        attributes: dict[str, Scalar] = {
            "instances": len(lease_table.instances),
            "runs": len(lease_table.list_runs()),
        }
        return [Record(Event.FLEET_TAKEN_OVER, f"term {term}", attributes)]

    def _restore_instances(self, now: float) -> None:
        """Add the registered instances, on which leases may be valid."""
        orders = self._context.orders
        for registered in self._context.workloads.instances.values():
            view = orders.add_life(registered, now)
            view.min_lease_expiry = now + orders.lease_validity_bound
            view.was_taken_over = True
            self._context.lease_table.instances[registered.life] = view

    def restore_runs(self, placements: Iterable[Placement], now: float) -> None:
        """Add runs of an earlier leader, which may have sent some starts just now."""
        without_instance = []
        lease_table = self._context.lease_table
        workloads = self._context.workloads
        for placement in placements:
            task = placement.task
            if task.job not in workloads.jobs:
                continue
            if lease_table.find(task, placement.run) is not None:
                continue
            run = self._context.scheduler.restore_run(placement, lease_table)
            self._delivery.watch(run)
            run.is_settled = workloads.is_settled(placement)
            if not run.is_settled:
                run.unanswered_starts, run.start_sent_at = 1, now
                self._placements.watch_start(run, now)
            view = lease_table.instances.get(run.life)
            if view is None:
                without_instance.append(run)
            else:
                self._context.note_contact(view, now)
        self._departures.add_without_instance(without_instance, now)
