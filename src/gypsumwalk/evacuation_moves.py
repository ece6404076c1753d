"""Moves of lasting tasks out of evacuated data centres, and their events."""

from collections.abc import Set

from gypsumwalk.dispatch_context import DispatchContext
from gypsumwalk.effects import Effect, Record, Scalar
from gypsumwalk.evacuation_planning import PlannedMove
from gypsumwalk.events import Event
from gypsumwalk.order_delivery import OrderDelivery

__all__ = ["EvacuationMoves"]

CHECK_SECONDS = 0.2
"""Interval of the choice of runs to move; short against a stop, which takes 0.2 s or
more. Each choice goes through all instances."""


class EvacuationMoves:
    """Stops the lasting runs that may leave evacuated data centres.

    Parameters
    ----------
    context : DispatchContext
        State that the modules of the dispatcher share.
    delivery : OrderDelivery
        Stops that the instances may not have accepted yet.
    evacuated : Set of str
        Data centres that are evacuated, kept up to date by their holder.
    """

    def __init__(
        self, context: DispatchContext, delivery: OrderDelivery, evacuated: Set[str]
    ) -> None:
        self._context = context
        self._delivery = delivery
        self._evacuated = evacuated
        self._known: frozenset[str] = frozenset()
        """Data centres whose evacuation was recorded."""
        self._due = 0.0

    def clear(self) -> None:
        """Forget the time of the last choice, at the end of a term."""
        self._known = frozenset(self._evacuated)
        self._due = 0.0

    def record_changes(self) -> list[Effect]:
        """Record which data centres are evacuated, or not any more, since last time."""
        known, self._known = self._known, frozenset(self._evacuated)
        return [
            self._describe(name, is_evacuated=name in self._known)
            for name in sorted(known ^ self._known)
        ]

    def _describe(self, data_centre: str, *, is_evacuated: bool) -> Record:
        views = [
            view
            for view in self._context.lease_table.instances.values()
            if view.registered.data_centre == data_centre
        ]
        runs = [run for view in views for run in view.runs.values()]
        attributes: dict[str, Scalar] = {
            "instances": len(views),
            "runs": len(runs),
            "lasting": sum(run.is_lasting for run in runs),
        }
        event = Event.EVACUATION_FINISHED
        if is_evacuated:
            event = Event.EVACUATION_STARTED
        return Record(event, data_centre, attributes)

    def check(self, now: float) -> list[Effect]:
        """Stop the lasting runs that may leave now.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Orders to the instances, and records.
        """
        if not self._evacuated or now < self._due:
            return []
        self._due = now + CHECK_SECONDS
        effects: list[Effect] = []
        lease_table = self._context.lease_table
        for move in self._context.scheduler.plan_moves(lease_table, now):
            effects.append(self._describe_move(move))
            effects += self._delivery.stop(move.run, now)
        return effects

    def _describe_move(self, move: PlannedMove) -> Record:
        run = move.run
        registered = self._context.lease_table.instances[run.life].registered
        attributes: dict[str, Scalar] = {
            "run": run.run,
            "life": run.life,
            "data_centre": registered.data_centre,
            "room": move.room,
        }
        return Record(Event.RUN_MOVED_AWAY, str(run.task), attributes)
