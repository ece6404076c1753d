"""Ends that an instance may forget.

An instance forgets all ends up to the number that is acknowledged, also those that
could not be read. A task whose end counts must not have been started again by then.
"""

from collections.abc import Iterable, Mapping, Sequence, Set

from gypsumwalk.instance_actions import EndedRun, InstanceReport
from gypsumwalk.leases import InstanceView, RunState, RunView

__all__ = ["find_last_end", "update_given_up"]

COUNTED_KINDS = ("done", "failed")
"""Kinds of ends after which a task is not started again, or not without limit."""


def update_given_up(
    view: InstanceView,
    report: InstanceReport,
    ended: Mapping[tuple[str, int], EndedRun],
    missing: Iterable[RunView],
) -> None:
    """Note the runs that count as lost although their end may be unread.

    Parameters
    ----------
    view : InstanceView
        The instance in the lease table.
    report : InstanceReport
        Its run list.
    ended : Mapping of tuple to EndedRun
        Listed ends by task name and run number.
    missing : Iterable of RunView
        Runs that count as lost, as the list omits them.
    """
    # One that is in the table was not recorded as lost.
    given_up = {key for key in view.given_up if key not in view.runs}
    view.given_up = {
        key
        for key in given_up
        if (ended[key].kind in COUNTED_KINDS if key in ended else report.unread_ends)
    }
    if report.unread_ends:
        view.given_up.update(run.key for run in missing)


def find_last_end(
    view: InstanceView,
    report: InstanceReport,
    ended: Sequence[EndedRun],
    known: Set[tuple[str, int]],
) -> int:
    """Return the number of the latest end that can be acknowledged.

    None is from the first end on of a run that was given up. If an unread end may be
    that of a run in the table, or of one that was given up, the numbers have to follow
    on those that are acknowledged, as then none between them is unread.

    Parameters
    ----------
    view : InstanceView
        The instance in the lease table.
    report : InstanceReport
        Its run list.
    ended : Sequence of EndedRun
        Listed ends that are not acknowledged.
    known : Set of tuple
        Task name and run number of the listed runs, going on or ended.

    Returns
    -------
    int
        The number, 0 for none.
    """
    held = [item.number for item in ended if (item.task, item.run) in view.given_up]
    first_held = min(held, default=float("inf"))
    numbers = [item.number for item in ended if item.number < first_held]
    if not report.unread_ends:
        return max(numbers, default=0)
    is_any_missing = any(
        key not in known and run.state is not RunState.PLANNED
        for key, run in view.runs.items()
    )
    if not is_any_missing and not view.given_up:
        return max(numbers, default=0)
    last_end = view.acknowledged
    if not last_end and view.was_taken_over and not is_any_missing:
        # It is not known which ends the former leader has acknowledged.
        last_end = min(numbers, default=1) - 1
    for number in sorted(numbers):
        if number > last_end + 1:
            break
        last_end = number
    return last_end if last_end > view.acknowledged else 0
