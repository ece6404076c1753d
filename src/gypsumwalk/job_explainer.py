"""Handler of the operator's call that explains where a job would go."""

from collections.abc import Sequence

import msgspec

from gypsumwalk.declarations import DeclarationSection
from gypsumwalk.effects import Answer, Effect, Respond
from gypsumwalk.endpoints import Audience, Endpoint
from gypsumwalk.fleet_calls import (
    ExplainedJobAnswer,
    ExplainedOrder,
    ExplainedPlace,
    ExplainedPlacement,
    ExplainedWait,
    ExplainJobCall,
    SubmitWorkloadCall,
)
from gypsumwalk.fleet_refusals import RETRY_SECONDS, authorize, redirect_to_leader
from gypsumwalk.inputs import CallInput, Input
from gypsumwalk.job_forecast import JobForecast, JobForecaster
from gypsumwalk.overload_order import OrderPreview
from gypsumwalk.part import NEVER
from gypsumwalk.placement_forecast import Place, PlacementForecast
from gypsumwalk.problems import Outcome, ProblemType, refuse
from gypsumwalk.step_checks import find_step_errors
from gypsumwalk.submission_control import make_workload
from gypsumwalk.views import LeadershipView
from gypsumwalk.workloads import WorkloadSection

__all__ = ["JOB_EXPLAINER_ENDPOINTS", "JobExplainer"]

JOB_EXPLAINER_ENDPOINTS = (
    Endpoint("POST", "/v1/workloads/explain", ExplainJobCall, Audience.OPERATOR),
)
"""Calls of the product's command line."""

MILLICORES = 1000


class JobExplainer:
    """Part that explains where a job would go, and leaves all state as it is.

    Only the leader knows the instances and the waiting jobs. No event is recorded, as
    nothing is decided.

    Parameters
    ----------
    leadership : LeadershipView
        Leadership of the replicated log.
    declarations : DeclarationSection
        Declaration in force.
    workloads : WorkloadSection
        Accepted jobs.
    forecaster : JobForecaster
        Source of the forecasts.
    """

    name = "job-explainer"
    wakeup = NEVER
    accepts: tuple[type, ...] = (ExplainJobCall,)

    def __init__(
        self,
        *,
        leadership: LeadershipView,
        declarations: DeclarationSection,
        workloads: WorkloadSection,
        forecaster: JobForecaster,
    ) -> None:
        self._leadership = leadership
        self._declarations = declarations
        self._workloads = workloads
        self._forecaster = forecaster

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Answer a call."""
        if not isinstance(item, CallInput) or not isinstance(item.body, ExplainJobCall):
            return []
        if not self._leadership.holds_lease(now):
            return [Respond(item.call_id, redirect_to_leader(self._leadership))]
        if not self._forecaster.is_ready:
            refusal = refuse(
                ProblemType.OVERLOADED,
                Outcome.NOT_RUN,
                "the leader has just begun, or is late with its work",
                retry_after=RETRY_SECONDS,
            )
            return [Respond(item.call_id, refusal)]
        return [Respond(item.call_id, self._explain(item.body, item.credential, now))]

    def advance(self, now: float) -> Sequence[Effect]:
        """Do nothing, as this part has no timers."""
        return []

    def _explain(self, call: ExplainJobCall, key: str, now: float) -> Answer:
        if errors := find_step_errors(call.steps):
            detail = f"the job can't be explained: {errors[0]}"
            return refuse(ProblemType.MALFORMED, Outcome.NOT_RUN, detail, errors=errors)
        authorized = authorize(self._declarations, key, call.host, call.path)
        if isinstance(authorized, Answer):
            queue = self._declarations.find_queue(call.host, call.path)
            known = ExplainedJobAnswer(
                queue=queue.name if queue else "",
                service=queue.service if queue else "",
            )
            return Answer(200, _add_refusal(known, authorized))
        queue, team = authorized
        known = ExplainedJobAnswer(queue.name, queue.service, team.name if team else "")
        submission = SubmitWorkloadCall(call.host, call.path, steps=call.steps)
        workload = make_workload(submission, queue, team)
        if not workload.job:
            detail = "a job requires an identifier"
            refusal = refuse(ProblemType.MALFORMED, Outcome.NOT_RUN, detail)
            return Answer(200, _add_refusal(known, refusal))
        stored = self._workloads.jobs.get(workload.job)
        if stored is not None:
            reason = f"it is accepted already, its state is {stored.state.value}"
            answer = msgspec.structs.replace(known, accepted=True, reason=reason)
            return Answer(200, answer)
        forecast = self._forecaster.forecast(workload, queue, team, now)
        return Answer(200, _add_forecast(known, forecast, now))


def _add_refusal(answer: ExplainedJobAnswer, refusal: Answer) -> ExplainedJobAnswer:
    return msgspec.structs.replace(
        answer,
        accepted=False,
        status=refusal.status,
        reason=getattr(refusal.body, "detail", ""),
        retry_after=int(refusal.headers.get("Retry-After", 0)),
    )


def _add_forecast(
    answer: ExplainedJobAnswer, forecast: JobForecast, now: float
) -> ExplainedJobAnswer:
    answer = msgspec.structs.replace(
        answer,
        accepted=True,
        placement=_describe_placement(forecast.placement),
        order=_describe_order(forecast.order, now) if forecast.order else None,
        completion=_round(forecast.completion),
    )
    if forecast.refusal is None:
        return answer
    return _add_refusal(answer, forecast.refusal)


def _describe_placement(placement: PlacementForecast) -> ExplainedPlacement:
    return ExplainedPlacement(
        tasks=placement.tasks,
        starting=placement.starting,
        places=[_describe_place(place) for place in placement.places],
        waits=[
            ExplainedWait(wait.reason.value, wait.instances, wait.detail)
            for wait in placement.waits
        ],
    )


def _describe_place(place: Place) -> ExplainedPlace:
    registered = place.view.registered
    return ExplainedPlace(
        instance=registered.instance,
        data_centre=registered.data_centre,
        rack=registered.rack,
        free_cores=place.free_cpu / MILLICORES,
        tasks=place.tasks,
    )


def _describe_order(order: OrderPreview, now: float) -> ExplainedOrder:
    return ExplainedOrder(
        group=order.group.name.lower().replace("_", " "),
        is_overloaded=order.is_overloaded,
        latest_start=round(order.latest_start - now, 3),
    )


def _round(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
