"""Placements of runs: their proposals, the starts that follow, and confirmations."""

from collections.abc import Callable, Iterable

from gypsumwalk.dispatch_context import DispatchContext
from gypsumwalk.effects import Effect
from gypsumwalk.inputs import ProposalStatus
from gypsumwalk.leases import RunState, RunView
from gypsumwalk.order_delivery import OrderDelivery
from gypsumwalk.orphaned_runs import OrphanedRuns
from gypsumwalk.run_confirmations import RunConfirmations
from gypsumwalk.workload_records import ConfirmRuns, EndRuns, Placement, PlaceRuns

__all__ = ["Placements"]


class Placements:
    """Proposes the runs that the scheduler planned, and starts those committed.

    Parameters
    ----------
    context : DispatchContext
        State that the modules of the dispatcher share.
    delivery : OrderDelivery
        Starts that the instances may not have accepted yet.
    orphans : OrphanedRuns
        Tells until when a start may be carried out unnoticed.
    """

    def __init__(
        self, context: DispatchContext, delivery: OrderDelivery, orphans: OrphanedRuns
    ) -> None:
        self._context = context
        self._delivery = delivery
        self._confirmations = RunConfirmations(orphans)
        self._confirmation_proposals: dict[str, list[RunView]] = {}
        self._proposals: dict[str, list[RunView]] = {}
        self._unresolved: list[RunView] = []
        """Planned runs whose proposal has an unknown outcome."""
        self._barrier_proposals: dict[str, list[RunView]] = {}

    def clear(self) -> None:
        """Forget all placements, at the end of a term."""
        self._confirmations.clear()
        self._confirmation_proposals.clear()
        self._proposals.clear()
        self._unresolved.clear()
        self._barrier_proposals.clear()

    def plan(self, term: int, now: float) -> list[Effect]:
        """Plan runs of ready tasks and propose their placements in a term."""
        runs = self._context.scheduler.plan_runs(self._context.lease_table, now)
        records = self._context.scheduler.take_records()
        if not runs:
            return [*records]
        for item in runs:
            item.run.planned_at = now
        command = PlaceRuns(term, [item.placement for item in runs])
        proposal = self._context.propose(command)
        self._proposals[proposal.token] = [item.run for item in runs]
        return [*records, proposal]

    def start(
        self,
        placements: Iterable[Placement],
        can_start: Callable[[RunView, float], bool],
        now: float,
    ) -> list[Effect]:
        """Start the planned runs whose placements are committed.

        Parameters
        ----------
        placements : Iterable of Placement
            Committed placements of this term.
        can_start : Callable
            Tells whether a run may start at a time in seconds.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Starts, and the ends of the runs that may not start any more.
        """
        effects: list[Effect] = []
        unsent: list[RunView] = []
        for placement in placements:
            run = self._context.lease_table.find(placement.task, placement.run)
            if run is None or run.state is not RunState.PLANNED:
                continue
            run.state = RunState.STARTING
            self._delivery.watch(run)
            if not can_start(run, now):
                unsent.append(run)
                continue
            view = self._context.lease_table.instances[run.life]
            effects += self._context.orders.start(run, view, now)
            self.watch_start(run, now)
        return effects + self._context.end_as_lost(unsent, "its start was not sent")

    def watch_start(self, run: RunView, now: float) -> None:
        """Confirm a run once no copy of its start can be carried out any more."""
        step = self._context.workloads.find_step(run.task)
        is_lasting = step is not None and step.lasting
        self._confirmations.watch(run, now, is_lasting=is_lasting)

    def confirm_runs(self, now: float) -> list[Effect]:
        """Propose the runs as confirmed whose start is settled."""
        runs = self._confirmations.take_settled(self._context.lease_table, now)
        if not runs:
            return []
        placements = [Placement(run.task, run.run, run.life) for run in runs]
        proposal = self._context.propose(ConfirmRuns(placements))
        self._confirmation_proposals[proposal.token] = runs
        return [proposal]

    def handle_confirmation_outcome(
        self, token: str, status: ProposalStatus, now: float
    ) -> bool:
        """Watch runs again whose confirmation is not known to be committed.

        Parameters
        ----------
        token : str
            Token of a proposal.
        status : ProposalStatus
            Its outcome.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether the proposal confirmed runs.
        """
        confirmed = self._confirmation_proposals.pop(token, None)
        if confirmed is None:
            return False
        if status is not ProposalStatus.COMMITTED:
            for run in confirmed:
                self.watch_start(run, now)
        return True

    def handle_outcome(self, token: str, status: ProposalStatus) -> bool:
        """Discard the planned runs of a proposal that is certainly not committed.

        Parameters
        ----------
        token : str
            Token of a proposal.
        status : ProposalStatus
            Its outcome.

        Returns
        -------
        bool
            Whether the proposal placed runs.
        """
        batch = self._proposals.pop(token, None)
        if batch is None:
            return False
        if status is ProposalStatus.UNKNOWN:
            # They may still be committed, so they are planned again only after a later
            # command of this term has been applied.
            self._unresolved += batch
        elif status is not ProposalStatus.COMMITTED:
            self._discard(batch)
        return True

    def handle_barrier_outcome(self, token: str, status: ProposalStatus) -> bool:
        """Discard the runs whose placement can no longer be committed.

        Parameters
        ----------
        token : str
            Token of a proposal.
        status : ProposalStatus
            Its outcome.

        Returns
        -------
        bool
            Whether ``propose_barrier`` has to follow.
        """
        waiting = self._barrier_proposals.pop(token, None)
        if waiting is None:
            return False
        if status is ProposalStatus.COMMITTED:
            self._discard(waiting)
            return False
        self._unresolved += waiting
        return True

    def propose_barrier(self) -> list[Effect]:
        """Propose a command that resolves the placements with an unknown outcome."""
        waiting, self._unresolved = self._unresolved, []
        if not waiting:
            return []
        # This leader appends its commands in order, and an expired proposal is not
        # sent again, so placements not committed before this one never will be.
        barrier = self._context.propose(EndRuns([]))
        self._barrier_proposals[barrier.token] = waiting
        return [barrier]

    def _discard(self, runs: Iterable[RunView]) -> None:
        for run in runs:
            if run.state is RunState.PLANNED:
                self._context.lease_table.remove(run)
                self._context.scheduler.invalidate(run.task.job)
