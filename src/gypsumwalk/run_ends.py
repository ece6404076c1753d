"""Ends of runs: those that instances list, and those of lost runs."""

from collections.abc import Callable, Iterable, Sequence

from gypsumwalk.dispatch_context import DispatchContext
from gypsumwalk.effects import Effect, Record, Scalar
from gypsumwalk.events import Event
from gypsumwalk.inputs import ProposalStatus
from gypsumwalk.instance_actions import EndedRun, InstanceReport
from gypsumwalk.instance_orders import parse_task
from gypsumwalk.leases import InstanceView, RunState, RunView
from gypsumwalk.part import NEVER
from gypsumwalk.run_lists import describe_end, reconcile_runs
from gypsumwalk.workload_records import EndRuns, RunEnd, RunEndKind, split_life

__all__ = ["RunEnds"]

ENDS_BATCH_SECONDS = 0.005
"""Time for which the ends listed by all instances are put into one command."""


class RunEnds:
    """Proposes the ends of runs, and removes them once they are committed.

    Parameters
    ----------
    context : DispatchContext
        State that the modules of the dispatcher share.
    stop : Callable
        Stops a run at a time in seconds.
    stop_grace : float
        Maximum duration of a stop, in seconds.
    """

    def __init__(
        self,
        context: DispatchContext,
        stop: Callable[[RunView, float], list[Effect]],
        *,
        stop_grace: float,
    ) -> None:
        self.due = NEVER
        """Time in seconds at which ``propose_listed`` is due."""
        self._context = context
        self._stop = stop
        self._stop_grace = stop_grace
        self._listed: list[RunEnd] = []
        self._listed_numbers: dict[str, int] = {}
        """Latest end in ``_listed`` that each instance listed, by its life."""
        self._listed_proposals: dict[str, dict[str, int]] = {}
        self._lost_proposals: dict[str, tuple[list[RunView], list[RunEnd]]] = {}
        self._unproposed: list[tuple[list[RunView], list[RunEnd]]] = []
        """Ends of lost runs that have to be proposed again."""

    def clear(self) -> None:
        """Forget all ends, at the end of a term."""
        self.due = NEVER
        self._listed, self._listed_numbers = [], {}
        self._listed_proposals.clear()
        self._lost_proposals.clear()
        self._unproposed.clear()

    def reconcile(
        self, view: InstanceView, report: InstanceReport, sent_at: float, now: float
    ) -> list[Effect]:
        """Compare a run list with the lease table, and collect the ends it shows.

        Parameters
        ----------
        view : InstanceView
            The instance.
        report : InstanceReport
            Its run list.
        sent_at : float
            Time in seconds at which the list was requested.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Stops of runs that have no placement, or may go on unread, and records.
        """
        reconciled = reconcile_runs(
            view, report, sent_at=sent_at, now=now, stop_grace=self._stop_grace
        )
        view.has_unknown_runs = bool(reconciled.unknown_runs)
        last_end = max(view.acknowledged, reconciled.last_end)
        has_more_ends = any(item.number > last_end for item in report.ended)
        view.has_held_ends = has_more_ends or report.unread_ends > 0
        effects: list[Effect] = []
        if self._context.is_leading(now):
            for task, run in reconciled.unknown_runs:
                effects += self._context.orders.stop_unknown(view, task, run, now)
            for hidden in reconciled.hidden:
                effects.append(_describe_hidden(hidden, report, now))
                effects += self._stop(hidden, now)
        if not reconciled.ends and not reconciled.last_end:
            return effects
        effects += [
            _describe_missing(run, report, sent_at, now) for run in reconciled.missing
        ]
        ends = reconciled.ends
        ends += self._find_ends_of_former_lives(view, reconciled.unknown_ends)
        for end in ends:
            run_view = self._context.lease_table.find(end.task, end.run)
            if run_view is not None:
                run_view.measure(report.clock)
        view.has_pending_ends = True
        self._listed += ends
        self._listed_numbers[view.registered.life] = reconciled.last_end
        self.due = min(self.due, now + ENDS_BATCH_SECONDS)
        return effects

    def _find_ends_of_former_lives(
        self, view: InstanceView, listed: Iterable[EndedRun]
    ) -> list[RunEnd]:
        """Return the ends of runs that still count under a former life.

        They have to be committed before they are acknowledged, as any other. Of other
        kinds, the orphaned run is waited for: a copy of its start may be on its way.
        """
        ends: list[RunEnd] = []
        for item in listed:
            task = parse_task(item.task)
            if task is None or item.kind not in ("done", "failed"):
                continue
            run = self._context.lease_table.find(task, item.run)
            if run is None or run.state is RunState.ENDING:
                continue
            if split_life(run.life)[0] == view.registered.instance:
                ends.append(describe_end(run, item))
        return ends

    def propose_listed(self) -> list[Effect]:
        """Propose the ends that instances listed, which are acknowledged afterwards."""
        self.due = NEVER
        proposal = self._context.propose(EndRuns(self._listed))
        self._listed_proposals[proposal.token] = self._listed_numbers
        self._listed, self._listed_numbers = [], {}
        return [proposal]

    def take_listed(self, token: str) -> dict[str, int] | None:
        """Remove and return the latest ends of a proposal, by the life that listed it.

        None if the token is that of another proposal.
        """
        return self._listed_proposals.pop(token, None)

    def end_as_lost(self, lost: Iterable[RunView], reason: str) -> list[Effect]:
        """Propose runs as lost whose end their instance will not report.

        A planned run is left out: its end would be that of another one if its placement
        is never committed and the next leader gives its number again. It ends as its
        placement is committed.

        Parameters
        ----------
        lost : Iterable of RunView
            The runs.
        reason : str
            Why they are lost, for the log.

        Returns
        -------
        list of Effect
            The proposal and its record, none if every end is proposed already.
        """
        without_end = (RunState.PLANNED, RunState.ENDING)
        runs = [run for run in lost if run.state not in without_end]
        if not runs:
            return []
        ends = [
            RunEnd(run.task, run.run, RunEndKind.LOST, run.checkpoint) for run in runs
        ]
        attributes: dict[str, Scalar] = {"runs": len(ends), "reason": reason}
        record = Record(Event.RUNS_LOST, runs[0].life, attributes)
        return [record, *self._propose_lost(runs, ends)]

    def _propose_lost(
        self, runs: Sequence[RunView], ends: list[RunEnd]
    ) -> list[Effect]:
        # Prevents further starts, which would execute a run recorded as ended.
        for run in runs:
            run.state = RunState.ENDING
        proposal = self._context.propose(EndRuns(ends))
        self._lost_proposals[proposal.token] = (list(runs), ends)
        return [proposal]

    def handle_lost_outcome(self, token: str, status: ProposalStatus) -> bool:
        """Keep the ends of a proposal that is not known to be committed.

        Parameters
        ----------
        token : str
            Token of a proposal.
        status : ProposalStatus
            Its outcome.

        Returns
        -------
        bool
            Whether ``propose_again`` has to follow.
        """
        lost = self._lost_proposals.pop(token, None)
        if lost is None or status is ProposalStatus.COMMITTED:
            return False
        self._unproposed.append(lost)
        return True

    def propose_again(self) -> list[Effect]:
        """Propose the ends of lost runs whose proposal had no known commit."""
        effects: list[Effect] = []
        unproposed, self._unproposed = self._unproposed, []
        find = self._context.lease_table.find
        for runs, ends in unproposed:
            if any(find(run.task, run.run) is run for run in runs):
                effects += self._propose_lost(runs, ends)
        return effects

    def remove(
        self, ends: Iterable[RunEnd], now: float
    ) -> tuple[list[RunEnd], list[Effect]]:
        """Remove the runs with a committed end from the lease table.

        Parameters
        ----------
        ends : Iterable of RunEnd
            Committed ends.
        now : float
            Time in seconds.

        Returns
        -------
        list of RunEnd
            Ends of the runs that were in the table.
        list of Effect
            Their records.
        """
        effects: list[Effect] = []
        removed: list[RunEnd] = []
        for end in ends:
            run = self._context.lease_table.find(end.task, end.run)
            if run is None:
                continue
            self._context.lease_table.remove(run)
            removed.append(end)
            self._record_overhead(run, end, now)
            attributes: dict[str, Scalar] = {
                "run": end.run,
                "kind": end.kind.value,
                "life": run.life,
            }
            effects.append(Record(Event.RUN_ENDED, str(end.task), attributes))
        return removed, effects

    def _record_overhead(self, run: RunView, end: RunEnd, now: float) -> None:
        overhead = run.find_overhead(now)
        if overhead is not None and end.kind is RunEndKind.DONE:
            self._context.scheduler.record_overhead(overhead)


def _describe_missing(
    run: RunView, report: InstanceReport, sent_at: float, now: float
) -> Record:
    confirmed = run.confirmed_at
    missing = run.missing_since or run.hidden_since
    attributes: dict[str, Scalar] = {
        "run": run.run,
        "life": run.life,
        "born": report.born,
        "clock": report.clock,
        "running": len(report.running),
        "ended": len(report.ended),
        "unread_runs": report.unread_runs,
        "unread_ends": report.unread_ends,
        "requested": round(now - sent_at, 3),
        "state": run.state.value,
        "confirmed": round(now - confirmed, 3) if confirmed else 0.0,
        "missing": round(now - missing, 3) if missing else 0.0,
    }
    return Record(Event.RUN_MISSING, str(run.task), attributes)


def _describe_hidden(run: RunView, report: InstanceReport, now: float) -> Record:
    attributes: dict[str, Scalar] = {
        "run": run.run,
        "life": run.life,
        "unread_runs": report.unread_runs,
        "unread_ends": report.unread_ends,
        "missing": round(now - run.hidden_since, 3),
    }
    return Record(Event.RUN_HIDDEN, str(run.task), attributes)
