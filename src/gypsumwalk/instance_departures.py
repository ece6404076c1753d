"""Lives of instances that have ended or depart, and what becomes of their runs.

An instance ends once its deregistration is acknowledged, or else some seconds later, so
its runs are stopped first. What does not answer goes on until the machines are listed
without it, or its lease expires: it may be cut off, and wait for its acknowledgement.
"""

from collections.abc import Callable, Iterable

import msgspec

from gypsumwalk.dispatch_context import DispatchContext
from gypsumwalk.effects import Effect, Record, Scalar
from gypsumwalk.events import Event
from gypsumwalk.leases import InstanceView, RunView
from gypsumwalk.orphaned_runs import OrphanedRuns, note_lease
from gypsumwalk.run_orders import LEASE_MARGIN_SECONDS
from gypsumwalk.unregistered_runs import UnregisteredRuns
from gypsumwalk.workload_records import (
    RegisteredInstance,
    RegisterInstance,
    RemoveInstance,
    split_life,
)

__all__ = ["InstanceDepartures"]

ENDED_REASON = "its instance has ended"
EXPIRED_REASON = "its instance has ended, and no later life can have it any more"


class InstanceDepartures:
    """Keeps the instances of the lease table in step with the registered lives.

    Parameters
    ----------
    context : DispatchContext
        State that the modules of the dispatcher share.
    orphans : OrphanedRuns
        Runs that the next life of their instance may carry out.
    stop : Callable
        Stops a run at a time in seconds.
    """

    def __init__(
        self,
        context: DispatchContext,
        orphans: OrphanedRuns,
        stop: Callable[[RunView, float], list[Effect]],
    ) -> None:
        self._context = context
        self._orphans = orphans
        self._stop = stop
        self._unregistered_runs = UnregisteredRuns()
        self._deregistered: set[str] = set()
        """Lives that have deregistered and are still registered."""
        self._replacement_proposals: dict[str, str] = {}
        """Lives in whose place another one answered, by the token of their removal."""
        self._departure_proposals: dict[str, str] = {}
        """Lives that have deregistered, by the token of their removal."""

    def clear(self) -> None:
        """Forget all lives and runs, at the end of a term."""
        self._unregistered_runs.clear()
        self._deregistered.clear()
        self._orphans.clear()
        self._replacement_proposals.clear()
        self._departure_proposals.clear()

    def add_without_instance(self, runs: Iterable[RunView], now: float) -> None:
        """Add runs of an earlier leader whose instance is no longer registered.

        They may go on until the leases that were granted before this term expire.
        """
        bound = now + self._context.orders.lease_validity_bound
        for run in runs:
            expiry = self._context.contacts.find_expiry(run.life, now)
            self._unregistered_runs.add(run, max(bound, expiry))

    def begin(self, life: str, now: float) -> list[Effect]:
        """Stop the runs of a life that deregisters; it is removed once they have ended.

        Parameters
        ----------
        life : str
            The life.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Stops of its runs, or its removal.
        """
        view = self._context.lease_table.instances.get(life)
        if view is None or view.deregistered_at:
            return []
        view.deregistered_at = now
        self._deregistered.add(life)
        effects: list[Effect] = []
        for run in list(view.runs.values()):
            if not run.is_stopping:
                effects += self._stop(run, now)
        if not view.runs:
            return self._propose_departure(life)
        if not view.registered.draining:
            # The next leader must not place runs there.
            draining = msgspec.structs.replace(view.registered, draining=True)
            effects.append(self._context.propose(RegisterInstance(draining)))
        return effects

    def list_departing(self) -> list[InstanceView]:
        """Return the instances that have deregistered and are still registered."""
        instances = self._context.lease_table.instances
        return [instances[life] for life in sorted(self._deregistered)]

    def _remove_empty(self) -> list[Effect]:
        """Propose the removal of the deregistered lives whose runs have ended."""
        effects: list[Effect] = []
        for view in self.list_departing():
            if not view.runs:
                effects += self._propose_departure(view.registered.life)
        return effects

    def _propose_departure(self, life: str) -> list[Effect]:
        if life in self._departure_proposals.values():
            return []
        command = RemoveInstance(
            life, reason="it has deregistered", term=self._context.orders.term
        )
        proposal = self._context.propose(command)
        self._departure_proposals[proposal.token] = life
        return [proposal]

    def handle_removal(self, command: RemoveInstance, now: float) -> list[Effect]:
        """Follow up on a committed removal of a life.

        Parameters
        ----------
        command : RemoveInstance
            The command.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Records, stops and ends of its runs.
        """
        effects = self._describe_removal(command.life, command.reason)
        view = self._context.lease_table.instances.get(command.life)
        if view is not None and command.is_departing:
            self._await_expiry(view)
        return effects + self.sync(command.life, now)

    def _describe_removal(self, life: str, reason: str) -> list[Effect]:
        view = self._context.lease_table.instances.get(life)
        if view is None:
            return []
        attributes: dict[str, Scalar] = {"runs": len(view.runs), "reason": reason}
        return [Record(Event.INSTANCE_REMOVED, life, attributes)]

    def sync(self, life: str, now: float) -> list[Effect]:
        """Follow a command that registered or removed a life, and those it replaced.

        Parameters
        ----------
        life : str
            The life that the command named.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Ends and stops of the runs of ended lives.
        """
        known = self._context.workloads.instances
        instances = self._context.lease_table.instances
        if life in known:
            self._add_or_update(known[life], now)
        ended: list[RunView] = []
        # Both hold the same lives unless a life has ended or was replaced.
        if len(instances) != len(known):
            for gone in [item for item in instances if item not in known]:
                ended += note_lease(instances[gone])
                del instances[gone]
                self._deregistered.discard(gone)
        return self._end_with_instance(ended, now)

    def _add_or_update(self, registered: RegisteredInstance, now: float) -> None:
        instances = self._context.lease_table.instances
        view = instances.get(registered.life)
        if view is None:
            view = self._context.orders.add_life(registered, now)
            instances[registered.life] = view
        else:
            view.registered = registered

    def _await_expiry(self, view: InstanceView) -> None:
        """Keep the runs of a life that was removed before it ended."""
        for run in note_lease(view):
            view.remove_run(run)
            self._unregistered_runs.add(run, run.lease_expiry + LEASE_MARGIN_SECONDS)

    def _end_with_instance(self, runs: Iterable[RunView], now: float) -> list[Effect]:
        """End runs of ended instances, unless the next life may carry them out."""
        ended, kept = self._orphans.separate(runs, now)
        effects = self._context.end_as_lost(ended, ENDED_REASON)
        effects += [_describe_orphan(run, now) for run in kept]
        return effects + self._check_orphans(now)

    def check(self, now: float) -> list[Effect]:
        """End what can't go on any more, and stop the runs of a next life."""
        # The next life's first list, which may contain their ends, is read later.
        self._unregistered_runs.end_replaced(self._is_replaced, now)
        ended = self._unregistered_runs.take_ended(self._context.lease_table, now)
        effects = self._end_with_instance(ended, now) if ended else []
        return effects + self._check_orphans(now) + self._remove_empty()

    def _is_replaced(self, run: RunView) -> bool:
        instance, born = split_life(run.life)
        latest = self._context.workloads.find_latest_life(instance)
        return latest is not None and latest.born > born

    def _check_orphans(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        lease_table = self._context.lease_table
        find_latest_life = self._context.workloads.find_latest_life
        for run in self._orphans.adopt(lease_table, find_latest_life):
            attributes: dict[str, Scalar] = {"run": run.run, "life": run.life}
            effects.append(Record(Event.RUN_ADOPTED, str(run.task), attributes))
            # The start may have arrived late; the next life has been heard of by now.
            view = lease_table.instances[run.life]
            expiry = self._orphans.find_late_expiry(run, now)
            view.min_lease_expiry = max(view.min_lease_expiry, expiry)
            effects += self._stop(run, now)
        ended = self._orphans.take_ended(lease_table, now)
        return effects + self._context.end_as_lost(ended, EXPIRED_REASON)

    def remove_replaced(self, view: InstanceView) -> list[Effect]:
        """Propose the removal of a life in whose place another instance answers."""
        view.is_renewal_pending = True
        reason = "another instance answers in its place"
        command = RemoveInstance(view.registered.life, reason=reason)
        proposal = self._context.propose(command)
        self._replacement_proposals[proposal.token] = view.registered.life
        return [proposal]

    def take_removed(self, token: str) -> str:
        """Remove and return the life that was to be replaced, or an empty string.

        A life that has deregistered is removed again at the next check, if need be.
        """
        self._departure_proposals.pop(token, None)
        return self._replacement_proposals.pop(token, "")


def _describe_orphan(run: RunView, now: float) -> Record:
    attributes: dict[str, Scalar] = {
        "run": run.run,
        "life": run.life,
        "starts": run.unanswered_starts,
        "age": round(now - run.start_sent_at, 3),
    }
    return Record(Event.RUN_ORPHANED, str(run.task), attributes)
