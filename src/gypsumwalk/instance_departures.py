"""Lives of instances that have ended or departed, and what becomes of their runs."""

from collections.abc import Callable, Iterable

from gypsumwalk.departures import DEPARTURE_SECONDS, TAKEOVER_SECONDS, Departures
from gypsumwalk.dispatch_context import DispatchContext
from gypsumwalk.effects import Effect, Record, Scalar
from gypsumwalk.events import Event
from gypsumwalk.leases import InstanceView, RunView
from gypsumwalk.orphaned_runs import OrphanedRuns, note_lease
from gypsumwalk.workload_records import RegisteredInstance, RemoveInstance, split_life

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
        self._departures = Departures()
        self._removal_proposals: dict[str, str] = {}

    def clear(self) -> None:
        """Forget all lives and runs, at the end of a term."""
        self._departures.clear()
        self._orphans.clear()
        self._removal_proposals.clear()

    def add_without_instance(self, runs: Iterable[RunView], now: float) -> None:
        """Add runs of an earlier leader whose instance is no longer registered.

        If their instance deregisters again, they may go on until the leases that were
        granted before this term expire.
        """
        due = now + TAKEOVER_SECONDS
        bound = now + self._context.orders.lease_validity_bound
        for run in runs:
            expiry = self._context.contacts.find_expiry(run.life, now)
            self._departures.add([run], due, expiry=max(bound, expiry))

    def note_deregistration(self, life: str, now: float) -> None:
        """Note that a life, or one of an instance, deregisters once more."""
        self._departures.postpone(life, now + TAKEOVER_SECONDS)

    def note_stop(self, run: RunView, due: float) -> None:
        """Note that a run goes on until a time in seconds, as its stop was answered."""
        self._departures.note_stop(run, due)

    def note_refused_stop(self, run: RunView) -> None:
        """Note that a run goes on until its lease expires, as its stop was refused."""
        self._departures.note_stop(run, self._orphans.find_latest_expiry(run))

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
        if command.is_departing:
            effects += self._stop_departing(command.life, now)
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
        return self._end_with_instance(ended, now)

    def _add_or_update(self, registered: RegisteredInstance, now: float) -> None:
        instances = self._context.lease_table.instances
        view = instances.get(registered.life)
        if view is None:
            view = self._context.orders.add_life(registered, now)
            instances[registered.life] = view
        else:
            view.registered = registered

    def _stop_departing(self, life: str, now: float) -> list[Effect]:
        """Stop the runs of an instance that has deregistered before repeating them."""
        view = self._context.lease_table.instances.get(life)
        if view is None:
            return []
        runs = note_lease(view)
        effects: list[Effect] = []
        for run in runs:
            effects += self._stop(run, now)
            run.has_departed = True
            view.remove_run(run)
        self._departures.add(runs, now + DEPARTURE_SECONDS)
        return effects

    def _end_with_instance(self, runs: Iterable[RunView], now: float) -> list[Effect]:
        """End runs of ended instances, unless the next life may carry them out."""
        ended, kept = self._orphans.separate(runs, now)
        effects = self._context.end_as_lost(ended, ENDED_REASON)
        effects += [_describe_orphan(run, now) for run in kept]
        return effects + self._check_orphans(now)

    def check(self, now: float) -> list[Effect]:
        """End the runs that can't go on any more, and stop those of a next life."""
        # The next life's first list, which may contain their ends, is read later.
        self._departures.end_replaced(self._is_replaced, now)
        ended = self._departures.take_ended(self._context.lease_table, now)
        effects = self._end_with_instance(ended, now) if ended else []
        return effects + self._check_orphans(now)

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
        self._removal_proposals[proposal.token] = view.registered.life
        return [proposal]

    def take_removed(self, token: str) -> str:
        """Remove and return the life whose removal was proposed, or an empty string."""
        return self._removal_proposals.pop(token, "")


def _describe_orphan(run: RunView, now: float) -> Record:
    attributes: dict[str, Scalar] = {
        "run": run.run,
        "life": run.life,
        "starts": run.unanswered_starts,
        "age": round(now - run.start_sent_at, 3),
    }
    return Record(Event.RUN_ORPHANED, str(run.task), attributes)
