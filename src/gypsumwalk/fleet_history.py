"""What every daemon learns from the log: turns of queues, and lengths of tasks.

A daemon that becomes the leader knows them at once, so that machines follow a turn
that began under another leader.
"""

from collections.abc import Sequence

from gypsumwalk.effects import Effect
from gypsumwalk.inputs import Committed, Input
from gypsumwalk.part import NEVER
from gypsumwalk.state import Accepted
from gypsumwalk.task_scheduler import TaskScheduler
from gypsumwalk.turns import TurnForecast
from gypsumwalk.workload_records import (
    AcceptWorkload,
    EndRuns,
    PlaceRuns,
    RunEnd,
    RunEndKind,
    Step,
    TaskKey,
    Workload,
)

__all__ = ["FleetHistory", "find_load"]

LOAD_SECONDS = 1.6
"""Time in seconds of a job that a forecast counts: about that of a move."""

OLD_SECONDS = 6.0
"""An entry that seems older is read again after a start; clocks jump by 2.4 s."""

LONGEST_SECONDS = 600.0
"""A longer time between two entries comes of clocks of two leaders that differ."""


class FleetHistory:
    """The part that hears of arrivals, starts and ends, leading or not.

    Parameters
    ----------
    scheduler : TaskScheduler
        Learns the lengths of tasks.
    forecast : TurnForecast
        Learns the turns of queues.
    """

    name = "history"
    wakeup = NEVER
    accepts: tuple[type, ...] = (AcceptWorkload, PlaceRuns, EndRuns)

    def __init__(self, scheduler: TaskScheduler, forecast: TurnForecast) -> None:
        self._scheduler = scheduler
        self._forecast = forecast
        self._placed: dict[tuple[TaskKey, int], float] = {}

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Take in a committed command."""
        if not isinstance(item, Committed):
            return []
        match item.command:
            case AcceptWorkload(workload=workload):
                heard = item.at if now - item.at > OLD_SECONDS else now
                self._note_arrival(workload, heard)
            case PlaceRuns(placements=placements):
                if isinstance(item.result, Accepted):
                    for placement in placements:
                        self._placed[placement.task, placement.run] = item.at
            case EndRuns(ends=ends):
                for end in ends:
                    self._note_end(end, item.at)
        return []

    def advance(self, now: float) -> Sequence[Effect]:
        """Do nothing, as nothing is due."""
        return []

    def _note_arrival(self, workload: Workload, now: float) -> None:
        steps = [step for step in workload.steps if not step.lasting]
        if not steps:
            return
        service = self._scheduler.find_service(workload)
        slack = self._scheduler.find_slack(workload)
        length = self._scheduler.find_mean_duration(workload)
        self._forecast.note(service, find_load(steps, length), slack, now)

    def _note_end(self, end: RunEnd, at: float) -> None:
        placed = self._placed.pop((end.task, end.run), None)
        if placed is None or end.kind is not RunEndKind.DONE:
            return
        length = at - placed
        if 0 < length < LONGEST_SECONDS:
            self._scheduler.record_duration(end.task, length)


def find_load(steps: Sequence[Step], length: float | None) -> float:
    """Return the work of a job that counts for the near future.

    Estimates are rough, and a long job takes its room later than a forecast reaches,
    so that no more counts than the widest step for ``LOAD_SECONDS``.

    Parameters
    ----------
    steps : Sequence of Step
        Steps of the job.
    length : float or None
        Mean length in seconds of the queue's tasks, where it is known.

    Returns
    -------
    float
        Work in thousandths of a core times seconds.
    """
    work = sum(
        step.count * step.need.cpu * (step.estimate if length is None else length)
        for step in steps
    )
    widest = max(step.count * step.need.cpu for step in steps)
    return min(work, widest * LOAD_SECONDS)
