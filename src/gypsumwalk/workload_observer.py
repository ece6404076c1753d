"""Statistics that every daemon derives from the log: arrivals and task durations.

A new leader has them at once, so that machines follow a burst of demand that began
under another leader.
"""

from collections.abc import Sequence

from gypsumwalk.demand_forecast import DemandForecast
from gypsumwalk.effects import Effect
from gypsumwalk.inputs import Committed, Input
from gypsumwalk.part import NEVER
from gypsumwalk.state import Accepted, Rejected
from gypsumwalk.task_scheduler import TaskScheduler
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

__all__ = ["WorkloadObserver", "estimate_work"]

FORECAST_HORIZON_SECONDS = 1.6
"""Longest part of a job that the forecast counts, about the time of a move."""

MAX_DURATION_SECONDS = 600.0
"""Longest plausible duration; a longer one is due to clock skew between leaders."""


class WorkloadObserver:
    """Part that follows arrivals, starts and ends of tasks, on every daemon.

    Parameters
    ----------
    scheduler : TaskScheduler
        Receives the durations of tasks.
    forecast : DemandForecast
        Receives the arrivals of jobs.
    """

    name = "history"
    wakeup = NEVER
    accepts: tuple[type, ...] = (AcceptWorkload, PlaceRuns, EndRuns)

    def __init__(self, scheduler: TaskScheduler, forecast: DemandForecast) -> None:
        self._scheduler = scheduler
        self._forecast = forecast
        self._placed_at: dict[tuple[TaskKey, int], float] = {}

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Process a committed command."""
        if not isinstance(item, Committed):
            return []
        match item.command:
            case AcceptWorkload(workload=workload):
                if isinstance(item.result, Rejected):
                    return []
                self._scheduler.backlog.record_arrival(workload, item.at)
                self._record_arrival(workload, item.at, now)
            case PlaceRuns(placements=placements):
                if isinstance(item.result, Accepted):
                    for placement in placements:
                        self._placed_at[placement.task, placement.run] = item.at
            case EndRuns(ends=ends):
                for end in ends:
                    self._record_end(end, item.at)
        return []

    def advance(self, now: float) -> Sequence[Effect]:
        """Do nothing, as this part has no timers."""
        return []

    def _record_arrival(self, workload: Workload, at: float, now: float) -> None:
        steps = [step for step in workload.steps if not step.lasting]
        if not steps:
            return
        service = self._scheduler.find_service(workload)
        slack = self._scheduler.find_slack(workload)
        mean_duration = self._scheduler.find_mean_duration(workload)
        work = estimate_work(steps, mean_duration)
        self._forecast.record_job(service, work, slack, at, now=now)

    def _record_end(self, end: RunEnd, at: float) -> None:
        placed_at = self._placed_at.pop((end.task, end.run), None)
        if placed_at is None or end.kind is not RunEndKind.DONE:
            return
        duration = at - placed_at
        if 0 < duration < MAX_DURATION_SECONDS:
            self._scheduler.record_duration(end.task, duration)


def estimate_work(steps: Sequence[Step], mean_duration: float | None) -> float:
    """Return the work of a job that the forecast of demand counts.

    Estimates are rough, and a long job uses most of its resources after the horizon of
    the forecast. So the result is at most the work of the widest step within
    ``FORECAST_HORIZON_SECONDS``.

    Parameters
    ----------
    steps : Sequence of Step
        Steps of the job.
    mean_duration : float or None
        Mean duration in seconds of the queue's tasks, None if it is unknown.

    Returns
    -------
    float
        Work in thousandths of a core times seconds.
    """
    work = sum(
        step.count
        * step.need.cpu
        * (step.estimate if mean_duration is None else mean_duration)
        for step in steps
    )
    widest = max(step.count * step.need.cpu for step in steps)
    return min(work, widest * FORECAST_HORIZON_SECONDS)
