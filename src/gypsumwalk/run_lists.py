"""Comparison of an instance's list of runs with the leader's book."""

from dataclasses import dataclass

from gypsumwalk.instance_actions import EndedRun, InstanceReport, RunningTask
from gypsumwalk.instance_orders import parse_task
from gypsumwalk.leases import InstanceView, RunState, RunView
from gypsumwalk.workload_records import RunEnd, RunEndKind

__all__ = ["ListedRuns", "compare_lists"]

MAX_LISTED_ENDS = 500
"""An instance lists at most this many ends at once."""

END_KINDS = {
    "done": RunEndKind.DONE,
    "failed": RunEndKind.FAILED,
    "stopped": RunEndKind.STOPPED,
    "lapsed": RunEndKind.LEASE_EXPIRED,
    "broken": RunEndKind.GANG_BROKEN,
    "alone": RunEndKind.GANG_TIMEOUT,
}


@dataclass(frozen=True, slots=True)
class ListedRuns:
    """What a list says beside the runs that go on.

    Attributes
    ----------
    ends : list of RunEnd
        Runs of the book that have ended, or that can't be running any more.
    last_end : int
        Number of the last end listed that is not acknowledged, 0 for none.
    strangers : list of tuple
        Task and run of what goes on there and is not in the book.
    """

    ends: list[RunEnd]
    last_end: int
    strangers: list[tuple[str, int]]


def compare_lists(
    view: InstanceView,
    report: InstanceReport,
    *,
    sent_at: float,
    now: float,
    stop_grace: float,
) -> ListedRuns:
    """Compare a list with the book, and note in the book what goes on.

    Parameters
    ----------
    view : InstanceView
        The instance in the book.
    report : InstanceReport
        Its list, given for the present leader's fence.
    sent_at : float
        Time in seconds at which the list was asked for.
    now : float
        Time in seconds.
    stop_grace : float
        Longest time in seconds that a stop takes.

    Returns
    -------
    ListedRuns
        What has ended, and what is not in the book.
    """
    listed = {(item.task, item.run): item for item in report.running}
    ended = {
        (item.task, item.run): item
        for item in report.ended
        if item.number > view.acknowledged
    }
    ends: list[RunEnd] = []
    complete = len(report.ended) < MAX_LISTED_ENDS
    for key, run in view.runs.items():
        if key in ended:
            ends.append(_describe_end(run, ended[key]))
        elif key in listed:
            _note_running(run, listed[key], now)
        elif complete and _is_gone(run, sent_at, now, stop_grace):
            ends.append(RunEnd(run.task, run.run, RunEndKind.LOST, run.checkpoint))
    last_end = max((item.number for item in ended.values()), default=0)
    strangers = [
        (task, run)
        for task, run in listed
        if (task, run) not in view.runs and parse_task(task) is not None
    ]
    return ListedRuns(ends, last_end, strangers)


def _describe_end(run: RunView, end: EndedRun) -> RunEnd:
    kind = END_KINDS.get(end.kind, RunEndKind.LOST)
    return RunEnd(run.task, run.run, kind, end.checkpoint or run.checkpoint)


def _note_running(run: RunView, item: RunningTask, now: float) -> None:
    if run.state is RunState.ENDING:
        return
    if run.state is not RunState.RUNNING:
        run.state = RunState.RUNNING
        run.confirmed_at = now
    run.seen_at = run.seen_at or now
    run.missing_since = 0.0
    run.percent, run.load = item.percent, item.load
    run.checkpoint = item.checkpoint


def _is_gone(run: RunView, sent_at: float, now: float, stop_grace: float) -> bool:
    """Tell whether a run that the list does not show can't be running any more.

    An order may be carried out after a list was made, so a list says something only of
    what was confirmed before it was asked for. A run that is being stopped, perhaps by
    an order of an earlier leader, may stand in no list while it goes on.
    """
    if not _is_known_there(run, sent_at):
        return False
    if not run.missing_since:
        run.missing_since = now
        return False
    return sent_at >= run.missing_since + stop_grace


def _is_known_there(run: RunView, sent_at: float) -> bool:
    if run.state is RunState.ENDING:
        return False
    if run.state is RunState.UNCONFIRMED:
        return True
    if run.stopping and 0 < run.stopped_at < sent_at:
        return True
    return run.state is RunState.RUNNING and run.confirmed_at < sent_at
