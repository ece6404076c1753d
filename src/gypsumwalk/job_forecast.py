"""Forecast of a job that is not submitted: what would become of it now, and why."""

from collections.abc import Callable
from dataclasses import dataclass
from math import isfinite

from gypsumwalk.declaration_records import DeclaredQueue, DeclaredTeam
from gypsumwalk.dispatcher import Dispatcher
from gypsumwalk.effects import Answer
from gypsumwalk.overload_order import OrderPreview
from gypsumwalk.placement_forecast import (
    PlacementForecast,
    forecast_placement,
    make_candidates,
)
from gypsumwalk.submission_control import SubmissionControl
from gypsumwalk.task_scheduler import TaskScheduler
from gypsumwalk.workload_records import Workload

__all__ = ["JobForecast", "JobForecaster"]


@dataclass(frozen=True, slots=True)
class JobForecast:
    """What would become of a job.

    Attributes
    ----------
    refusal : Answer or None
        Answer to its submission if it would be refused, else None.
    placement : PlacementForecast
        Where its first step would start.
    order : OrderPreview or None
        Its place in the order under overload; None if that does not apply.
    completion : float or None
        Predicted seconds until it would be done; None if unknown.
    """

    refusal: Answer | None
    placement: PlacementForecast
    order: OrderPreview | None
    completion: float | None


class JobForecaster:
    """Makes forecasts from the state of the leader, and changes nothing of it.

    Parameters
    ----------
    dispatcher : Dispatcher
        Instances and runs.
    scheduler : TaskScheduler
        Waiting jobs, learned durations and limits of placements.
    submission_control : SubmissionControl
        Decisions on submissions.
    may_be_stored : Callable
        Tells whether a job may be accepted by an earlier call, by its host and path
        and the time; such a job is never refused.
    """

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        scheduler: TaskScheduler,
        submission_control: SubmissionControl,
        may_be_stored: Callable[[str, str, float], bool],
    ) -> None:
        self._dispatcher = dispatcher
        self._scheduler = scheduler
        self._submission_control = submission_control
        self._may_be_stored = may_be_stored

    @property
    def is_ready(self) -> bool:
        """Whether this daemon has taken over as the leader, and has time to spare.

        A forecast costs about as much as the order of an overloaded pool.
        """
        return self._dispatcher.term > 0 and not self._dispatcher.is_late

    def forecast(
        self,
        workload: Workload,
        queue: DeclaredQueue,
        team: DeclaredTeam | None,
        now: float,
    ) -> JobForecast:
        """Return what would become of a job that is not stored.

        Parameters
        ----------
        workload : Workload
            The job, due now.
        queue : DeclaredQueue
            Its queue.
        team : DeclaredTeam or None
            Its team, None without a key.
        now : float
            Time in seconds.

        Returns
        -------
        JobForecast
            The forecast.
        """
        refusal = None
        path = f"{queue.prefix}{workload.job}"
        if not self._may_be_stored(queue.host, path, now):
            control = self._submission_control
            refusal = control.preview(workload, queue, team, now).refusal
        table = self._dispatcher.lease_table
        placement = forecast_placement(
            workload, self._scheduler.read_pool(queue.service, table), now
        )
        candidates = make_candidates(
            self._scheduler.read_pool(queue.service, table), now
        )
        order = self._scheduler.preview_order(workload, candidates, now)
        completion = self._predict_completion(workload, placement, order, now)
        return JobForecast(refusal, placement, order, completion)

    def _predict_completion(
        self,
        workload: Workload,
        placement: PlacementForecast,
        order: OrderPreview | None,
        now: float,
    ) -> float | None:
        """Return the predicted seconds until a job would be done, None if unknown.

        The steps after the first one are taken to start without a wait.
        """
        seconds = self._scheduler.predict_job(workload)
        if not seconds or any(step.lasting for step in workload.steps):
            return None
        if not placement.waits:
            return seconds
        if order is None or not isfinite(order.completion):
            return None
        return max(seconds, order.completion - now)
