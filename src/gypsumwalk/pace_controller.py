"""Control loop of the leader that paces fillers beside latency-sensitive tasks."""

from collections.abc import Iterable, Sequence

from gypsumwalk.dispatcher import Dispatcher
from gypsumwalk.effects import CallPlatform, Effect, Record, Scalar
from gypsumwalk.events import Event
from gypsumwalk.inputs import Input, PlatformOutcome
from gypsumwalk.instance_actions import OrderReport, PaceRun
from gypsumwalk.leases import UNKNOWN_PERCENT, InstanceView, RunState, RunView
from gypsumwalk.pacing import InstanceLoad, PaceLevels, TailLatency
from gypsumwalk.workload_records import Step
from gypsumwalk.workloads import WorkloadSection

__all__ = ["PaceController"]

CHECK_SECONDS = 0.1
"""Interval of the control loop; a change of pace also takes 0.1 s to apply."""

CALL_SECONDS = 0.5
"""Timeout of one order; links have a latency of a few milliseconds."""

MILLISECONDS_PER_SECOND = 1000


class PaceController:
    """Part that orders the pace of fillers while this daemon leads.

    Parameters
    ----------
    workloads : WorkloadSection
        Jobs and instances.
    dispatcher : Dispatcher
        Placement of runs on instances, and the leadership of this daemon.
    """

    name = "pacer"
    accepts: tuple[type, ...] = ()

    def __init__(self, *, workloads: WorkloadSection, dispatcher: Dispatcher) -> None:
        self._workloads = workloads
        self._dispatcher = dispatcher
        self._levels = PaceLevels()
        self._term = 0
        self._open_orders: dict[str, tuple[RunView, int]] = {}
        self._count = 0
        self._due = 0.0

    @property
    def wakeup(self) -> float:
        """Time in seconds of the next check."""
        return self._due

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Process the answer to an order; a failed order is sent again."""
        if isinstance(item, PlatformOutcome):
            run, percent = self._open_orders.pop(item.token, (None, 0))
            report = item.report
            has_succeeded = isinstance(report, OrderReport) and not report.refused
            if run is not None and has_succeeded:
                run.requested_percent = percent
            elif run is not None and item.unknown:
                run.requested_percent = UNKNOWN_PERCENT
        return []

    def advance(self, now: float) -> Sequence[Effect]:
        """Compare tail latencies with their targets, and order changes of pace."""
        self._due = now + CHECK_SECONDS
        if not self._dispatcher.term or not self._dispatcher.is_leading(now):
            return []
        if self._dispatcher.term != self._term:
            self._term = self._dispatcher.term
            self._levels.clear()
            self._open_orders.clear()
        effects: list[Effect] = []
        views = self._dispatcher.lease_table.instances
        self._levels.retain(views)
        for view in views.values():
            if view.runs or view.is_contended:
                effects += self._pace(view, now)
        return effects

    def _pace(self, view: InstanceView, now: float) -> list[Effect]:
        steps = [
            (run, step)
            for run in view.runs.values()
            if (step := self._workloads.find_step(run.task))
        ]
        fillers = [(run, step) for run, step in steps if step.filler]
        view.is_contended = bool(fillers) and any(
            step.has_latency_target for _, step in steps
        )
        if not fillers or view.is_fenced_off:
            return []
        load = InstanceLoad(
            view.registered.life,
            tuple(_list_tail_latencies(steps)),
            frozenset(step.image for _, step in fillers),
            any(run.requested_percent == UNKNOWN_PERCENT for run, _ in fillers),
        )
        percent = self._levels.update(load, now)
        worst = max(load.tails, key=lambda tail: tail.ratio, default=TailLatency(0, 1))
        pending = {run.key for run, _ in self._open_orders.values()}
        effects: list[Effect] = []
        for run, _ in fillers:
            if (
                run.requested_percent != percent
                and run.key not in pending
                and _is_running(run)
            ):
                effects += self._order(view, run, percent, worst)
        return effects

    def _order(
        self, view: InstanceView, run: RunView, percent: int, worst: TailLatency
    ) -> list[Effect]:
        self._count += 1
        token = f"{self.name}/{self._term}/{self._count}"
        self._open_orders[token] = (run, percent)
        registered = view.registered
        action = PaceRun(
            instance=registered.instance,
            address=registered.address,
            fence=view.fence,
            task=str(run.task),
            run=run.run,
            percent=percent,
        )
        attributes: dict[str, Scalar] = {
            "run": run.run,
            "life": run.life,
            "percent": percent,
            "tail": round(worst.latency),
            "target": round(worst.target),
        }
        record = Record(Event.RUN_PACED, str(run.task), attributes)
        return [record, CallPlatform(token, action, CALL_SECONDS)]


def _is_running(run: RunView) -> bool:
    return run.state is RunState.RUNNING and not run.is_stopping


def _list_tail_latencies(
    steps: Iterable[tuple[RunView, Step]],
) -> Iterable[TailLatency]:
    for run, step in steps:
        if step.has_latency_target and run.first_listed_at and _is_running(run):
            yield TailLatency(run.load, step.latency_target * MILLISECONDS_PER_SECOND)
