"""Reconciliation of an instance's run list with the leader's lease table."""

from dataclasses import dataclass

from gypsumwalk.end_acknowledgements import find_last_end, update_given_up
from gypsumwalk.instance_actions import EndedRun, EndKind, InstanceReport, RunningTask
from gypsumwalk.instance_orders import parse_task
from gypsumwalk.leases import InstanceView, RunState, RunView
from gypsumwalk.workload_records import RunEnd, RunEndKind

__all__ = [
    "Reconciliation",
    "confirm_listed_runs",
    "describe_end",
    "reconcile_runs",
]

MAX_LISTED_ENDS = 500
"""Maximum number of ends in one run list."""

HIDDEN_SECONDS = 1.5
"""Time for which a run may be missing from lists with unread entries before it is
stopped; an entry is seldom unread for long, and a task waits for its next run."""

END_KINDS: dict[EndKind, RunEndKind] = {
    "done": RunEndKind.DONE,
    "failed": RunEndKind.FAILED,
    "stopped": RunEndKind.STOPPED,
    "lapsed": RunEndKind.LEASE_EXPIRED,
    "broken": RunEndKind.GANG_BROKEN,
    "alone": RunEndKind.GANG_TIMEOUT,
}


@dataclass(frozen=True, slots=True)
class Reconciliation:
    """Differences between a run list and the lease table.

    Attributes
    ----------
    ends : list of RunEnd
        Ends of runs in the table that have ended or can no longer be running.
    missing : list of RunView
        Runs in ``ends`` whose end is not listed: they are missing from the lists.
    hidden : list of RunView
        Runs to stop, as they are missing from lists with entries that can't be read.
    last_end : int
        Number of the latest listed end to acknowledge, 0 for none.
    unknown_runs : list of tuple
        Task name and run number of the running tasks that are not in the table.
    unknown_ends : list of EndedRun
        Listed ends of runs that the table does not have on this life.
    """

    ends: list[RunEnd]
    missing: list[RunView]
    hidden: list[RunView]
    last_end: int
    unknown_runs: list[tuple[str, int]]
    unknown_ends: list[EndedRun]


def reconcile_runs(
    view: InstanceView,
    report: InstanceReport,
    *,
    sent_at: float,
    now: float,
    stop_grace: float,
) -> Reconciliation:
    """Compare a run list with the lease table, and update the runs that go on.

    Parameters
    ----------
    view : InstanceView
        The instance in the lease table.
    report : InstanceReport
        Its run list, answered under the fence of the current leader.
    sent_at : float
        Time in seconds at which the list was requested.
    now : float
        Time in seconds.
    stop_grace : float
        Maximum duration of a stop in seconds.

    Returns
    -------
    Reconciliation
        Runs that have ended, and runs that are not in the table.
    """
    listed = {(item.task, item.run): item for item in report.running}
    new_ends = [
        item
        for item in report.ended
        if item.number > view.acknowledged and _is_plausible(item, report)
    ]
    ended = {(item.task, item.run): item for item in new_ends}
    ends: list[RunEnd] = []
    missing: list[RunView] = []
    hidden: list[RunView] = []
    is_same_life = report.born == view.registered.born
    complete = len(report.ended) + report.unread_ends < MAX_LISTED_ENDS
    is_read = not report.unread_runs and not report.unread_ends
    for key, run in view.runs.items():
        if key in ended:
            ends.append(describe_end(run, ended[key]))
        elif key in listed:
            _confirm(run, listed[key], now, is_same_life=is_same_life)
        elif not is_read and _is_hidden(run, sent_at, now):
            hidden.append(run)
        elif complete and _is_gone(run, sent_at, now, stop_grace, is_read=is_read):
            ends.append(RunEnd(run.task, run.run, RunEndKind.LOST, run.checkpoint))
            missing.append(run)
    update_given_up(view, report, ended, missing)
    last_end = find_last_end(view, report, new_ends, listed.keys() | ended.keys())
    unknown_runs = [
        (task, run)
        for task, run in listed
        if (task, run) not in view.runs and parse_task(task) is not None
    ]
    unknown_ends = [item for key, item in ended.items() if key not in view.runs]
    return Reconciliation(ends, missing, hidden, last_end, unknown_runs, unknown_ends)


def confirm_listed_runs(view: InstanceView, report: InstanceReport, now: float) -> None:
    """Update the runs that a list shows, and conclude nothing from those it omits.

    Parameters
    ----------
    view : InstanceView
        The instance in the lease table.
    report : InstanceReport
        Its run list, answered under the fence of the current leader.
    now : float
        Time in seconds.
    """
    is_same_life = report.born == view.registered.born
    for item in report.running:
        run = view.runs.get((item.task, item.run))
        if run is not None and run.state is RunState.STARTING:
            _confirm(run, item, now, is_same_life=is_same_life)


def _confirm(
    run: RunView, item: RunningTask, now: float, *, is_same_life: bool
) -> None:
    _update_running(run, item, now)
    # The only copy of its start was carried out by the life that lists it.
    run.is_settled |= run.attempts == 1 and is_same_life


def _is_plausible(end: EndedRun, report: InstanceReport) -> bool:
    """Tell whether an instance can have ended that many runs since it began.

    Its clock begins with it, in milliseconds. The acknowledgement of a number that is
    too high would drop later ends unseen.
    """
    return not report.clock or end.number <= report.clock


def describe_end(run: RunView, end: EndedRun) -> RunEnd:
    """Return the end of a run as its instance lists it."""
    checkpoint = end.checkpoint or run.checkpoint
    return RunEnd(run.task, run.run, END_KINDS[end.kind], checkpoint)


def _update_running(run: RunView, item: RunningTask, now: float) -> None:
    if run.state is RunState.ENDING:
        return
    if run.state is not RunState.RUNNING:
        run.state = RunState.RUNNING
        run.confirmed_at = now
    run.first_listed_at = run.first_listed_at or now
    run.missing_since = run.hidden_since = 0.0
    run.percent, run.load = item.percent, item.load
    run.checkpoint = item.checkpoint or run.checkpoint


def _is_hidden(run: RunView, sent_at: float, now: float) -> bool:
    """Tell whether a run has to be stopped, as no list tells whether it goes on."""
    if run.is_stopping or not _should_be_listed(run, sent_at):
        return False
    run.hidden_since = run.hidden_since or now
    return sent_at >= run.hidden_since + HIDDEN_SECONDS


def _is_gone(
    run: RunView, sent_at: float, now: float, stop_grace: float, *, is_read: bool
) -> bool:
    """Tell whether a run that is missing from the list can no longer be running.

    An order may be carried out after a list was made, so a list is evidence only for
    runs that were confirmed before it was requested. A run that is being stopped,
    possibly by an order of an earlier leader, may be missing from lists while it still
    goes on; so it counts as gone only after the stop grace.

    A list with entries that could not be read may lack any run. What it lacks has ended
    only if the instance accepted a stop of it, after which it can't start either.
    """
    if not is_read:
        is_ending = run.state is RunState.ENDING
        return not is_ending and 0 < run.stopped_at <= sent_at - stop_grace
    if not _should_be_listed(run, sent_at):
        return False
    if not run.missing_since:
        run.missing_since = now
        return False
    return sent_at >= run.missing_since + stop_grace


def _should_be_listed(run: RunView, sent_at: float) -> bool:
    if run.state is RunState.ENDING:
        return False
    if run.state is RunState.UNCONFIRMED:
        return True
    if run.is_stopping and 0 < run.stopped_at < sent_at:
        return True
    return run.state is RunState.RUNNING and run.confirmed_at < sent_at
