"""Leader's care for tasks that serve: paces the fillers beside them."""

from collections.abc import Iterable, Sequence

from gypsumwalk.dispatcher import Dispatcher
from gypsumwalk.effects import CallPlatform, Effect, Record, Scalar
from gypsumwalk.events import Event
from gypsumwalk.inputs import Input, PlatformOutcome
from gypsumwalk.instance_actions import OrderReport, PaceRun
from gypsumwalk.leases import InstanceView, RunState, RunView
from gypsumwalk.pacing import InstanceLoad, PaceLevels, Tail
from gypsumwalk.workload_records import Step
from gypsumwalk.workloads import WorkloadSection

__all__ = ["PaceKeeper"]

CHECK_SECONDS = 0.1
"""Interval of checks; a change of pace takes effect after that time."""

CALL_SECONDS = 0.5
"""Timeout of one order; links are a few milliseconds long."""

MILLISECONDS = 1000


class PaceKeeper:
    """The part that orders the pace of fillers while this daemon leads.

    Parameters
    ----------
    workloads : WorkloadSection
        Jobs and instances.
    dispatcher : Dispatcher
        What runs where.
    """

    name = "pacer"
    accepts: tuple[type, ...] = ()

    def __init__(self, *, workloads: WorkloadSection, dispatcher: Dispatcher) -> None:
        self._workloads = workloads
        self._dispatcher = dispatcher
        self._levels = PaceLevels()
        self._term = 0
        self._open: dict[str, tuple[RunView, int]] = {}
        self._count = 0
        self._due = 0.0

    @property
    def wakeup(self) -> float:
        """Time in seconds of the next check."""
        return self._due

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Take in the answer to an order; one without success is given again."""
        if isinstance(item, PlatformOutcome):
            run, percent = self._open.pop(item.token, (None, 0))
            report = item.report
            done = isinstance(report, OrderReport) and not report.refused
            if run is not None and done:
                run.requested_percent = percent
        return []

    def advance(self, now: float) -> Sequence[Effect]:
        """Compare tails with their targets, and order what follows."""
        self._due = now + CHECK_SECONDS
        if not self._dispatcher.term or not self._dispatcher.is_leading(now):
            return []
        if self._dispatcher.term != self._term:
            self._term = self._dispatcher.term
            self._levels.clear()
            self._open.clear()
        effects: list[Effect] = []
        views = self._dispatcher.lease_table.instances
        self._levels.forget(views)
        for view in views.values():
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
        if not fillers:
            return []
        load = InstanceLoad(
            view.registered.life,
            tuple(_list_tails(steps)),
            frozenset(step.image for _, step in fillers),
        )
        percent = self._levels.update(load, now)
        worst = max(load.tails, key=lambda tail: tail.share, default=Tail(0, 1))
        busy = {run.key for run, _ in self._open.values()}
        effects: list[Effect] = []
        for run, _ in fillers:
            if (
                run.requested_percent != percent
                and run.key not in busy
                and _is_settled(run)
            ):
                effects += self._order(view, run, percent, worst)
        return effects

    def _order(
        self, view: InstanceView, run: RunView, percent: int, worst: Tail
    ) -> list[Effect]:
        self._count += 1
        token = f"{self.name}/{self._term}/{self._count}"
        self._open[token] = (run, percent)
        registered = view.registered
        action = PaceRun(
            instance=registered.instance,
            address=registered.address,
            fence=self._term,
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


def _is_settled(run: RunView) -> bool:
    return run.state is RunState.RUNNING and not run.is_stopping


def _list_tails(steps: Iterable[tuple[RunView, Step]]) -> Iterable[Tail]:
    for run, step in steps:
        if step.has_latency_target and run.first_listed_at and _is_settled(run):
            yield Tail(run.load, step.latency_target * MILLISECONDS)
