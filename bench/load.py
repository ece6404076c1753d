"""Open-loop load test of a simulated system against a baseline load balancer.

``python -m bench.load`` submits the same requests, in virtual time, to gypsumwalk and
to the baseline, at several fractions of the capacity, and writes JSON, a table and a
plot. Latency is measured from the scheduled send time, so that time spent waiting for a
slow system is included (no coordinated omission).
"""

import json
from collections import deque
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

import fire

from bench._demand import TEAMS, Arrival, draw_arrivals
from bench._plain import BaselineBalancer, BaselineTarget
from bench._report import Figures, RequestResult, compute_figures
from gypsumwalk.inputs import DispatchOutcome, DispatchStatus
from gypsumwalk.submissions import SubmitRequest
from gypsumwalk.views import Member
from tests._fake_targets import FakeTargets
from tests._request_checks import read_outcome
from tests._request_fakes import Cluster, FakeMembership
from tests._world import World

__all__ = ["main"]

DEADLINE_SECONDS = 10.0
SETTLE_SECONDS = 15.0
SPIKE_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class DeploymentSize:
    """Number and capacity of the components of a deployment."""

    data_centres: int
    daemons: int
    services: int
    targets_per_service: int
    slots: int
    connections: int

    @property
    def service_slots(self) -> int:
        """Slots of one service."""
        return self.targets_per_service * self.slots


SIZES = {
    "hanbit": DeploymentSize(4, 8, 5, 8, 8, 64),
    "batedores": DeploymentSize(3, 7, 5, 6, 8, 64),
}


class SlottedTargets(FakeTargets):
    """Targets with a limited number of slots and a bounded connection backlog."""

    def __init__(self, world: World, size: DeploymentSize) -> None:
        super().__init__(world)
        self._size = size
        self._queues: dict[str, deque[tuple[Any, Any]]] = {}
        self.seconds: dict[bytes, float] = {}

    def _arrive(self, key: Any, target: Any, effect: Any) -> None:
        queue = self._queues.setdefault(target.name, deque())
        if len(target.running) + len(queue) >= self._size.connections:
            refused = DispatchOutcome(effect.dispatch_id, DispatchStatus.NOT_SENT)
            self._end(key, refused)
        elif len(target.running) >= self._size.slots:
            queue.append((key, effect))
        else:
            target.service_seconds = self.seconds[effect.payload]
            super()._arrive(key, target, effect)

    def _finish(self, key: Any, target: Any, effect: Any) -> None:
        super()._finish(key, target, effect)
        queue = self._queues[target.name]
        if queue:
            next_key, waiting = queue.popleft()
            self._arrive(next_key, target, waiting)


class StaticMembership(FakeMembership):
    """Membership in which every daemon is alive, for runs without partitions."""

    _known: list[Member] | None = None

    def members(self) -> list[Member]:
        """Return every daemon."""
        if self._known is None or len(self._known) < len(self.cluster.data_centres):
            self._known = super().members()
        return self._known

    def find(self, name: str) -> Member | None:
        """Return one daemon, or None."""
        return next((item for item in self.members() if item.name == name), None)


class Deployment(Cluster):
    """A deployment of gypsumwalk or of the baseline load balancer.

    Parameters
    ----------
    size : DeploymentSize
        Number and capacity of its components.
    is_baseline : bool
        Whether each daemon runs the baseline load balancer.
    seed : int
        Seed of every random number.
    """

    def __init__(self, size: DeploymentSize, *, is_baseline: bool, seed: int) -> None:
        self.size = size
        self.is_baseline = is_baseline
        names = {
            f"daemon-{number}": f"dc-{number % size.data_centres}"
            for number in range(size.daemons)
        }
        self.baseline_targets = [
            BaselineTarget(
                f"runner-{service}-{number}",
                f"runner-{service}-{number}:80",
                f"service-{service}",
            )
            for service in range(size.services)
            for number in range(size.targets_per_service)
        ]
        super().__init__(names, seed=seed)
        self.world.targets = SlottedTargets(self.world, size)
        for team in TEAMS:
            self.add_team(team.name, share=team.share, limit=10_000)
        for service in range(size.services):
            self.add_queue(f"queue-{service}", f"service-{service}", max_waiting=2000)
        for number, target in enumerate(self.baseline_targets):
            self.add_target(
                target.name,
                f"dc-{number % size.data_centres}",
                slots=size.slots,
                service=target.service,
            )

    def make_membership(self, name: str, incarnation: int) -> StaticMembership:
        """Return the membership view of one daemon."""
        return StaticMembership(self, name, incarnation)

    def build(self, name: str, recovered: Any, incarnation: int) -> Any:
        """Return the decision logic of one daemon."""
        if not self.is_baseline:
            return super().build(name, recovered, incarnation)
        services = {
            f"queue-{service}": f"service-{service}"
            for service in range(self.size.services)
        }
        in_flight = self.size.service_slots // self.size.daemons
        return BaselineBalancer(self.baseline_targets, services, in_flight)

    def start(self) -> None:
        """Run until every target is owned and has its full concurrency."""
        if not self.is_baseline:
            names = [target.name for target in self.baseline_targets]
            assert self.wait_owned(*names, within=10.0)
        self.world.run(3.0)

    def submit_all(self, arrivals: list[Arrival]) -> dict[int, RequestResult]:
        """Submit requests at their scheduled times, and return their results."""
        calls: dict[int, Any] = {}

        def send(arrival: Arrival) -> None:
            payload = b"%d" % arrival.number
            self.world.targets.seconds[payload] = arrival.seconds
            body = SubmitRequest(
                queue=f"queue-{arrival.queue}",
                repeatable=arrival.repeatable,
                urgent=arrival.urgent,
                deadline_seconds=DEADLINE_SECONDS,
            )
            credential = f"{arrival.team}-key"
            call = self.world.call(body, credential=credential, payload=payload)
            calls[arrival.number] = call

        for arrival in arrivals:
            self.world.schedule(arrival.at, lambda a=arrival: send(a))
        self.world.run(arrivals[-1].at + SETTLE_SECONDS)
        return {number: _classify(call) for number, call in calls.items()}


def _classify(call: Any) -> RequestResult:
    if call.answer is None:
        return RequestResult(0.0, "lost")
    seconds = call.answered_at - call.sent_at
    if call.answer.status == 200:
        return RequestResult(seconds, "good" if seconds <= DEADLINE_SECONDS else "late")
    outcome = read_outcome(call.answer) if call.answer.body else "failed"
    kind = f"{call.answer.status} {outcome}"
    return RequestResult(seconds, kind)


def run_once(
    size: DeploymentSize,
    *,
    is_baseline: bool,
    load: float,
    rounds: int,
    service_seconds: float,
    seed: int,
) -> Figures:
    """Run one system at one load.

    Parameters
    ----------
    size : DeploymentSize
        Size of the deployment.
    is_baseline : bool
        Whether to run the baseline.
    load : float
        Mean demand as a fraction of the capacity.
    rounds : int
        Number of spikes of each queue.
    service_seconds : float
        Mean service time of a request.
    seed : int
        Seed of every random number.

    Returns
    -------
    Figures
        Latency, goodput and fairness of the run.
    """
    capacity = size.service_slots / service_seconds
    arrivals = draw_arrivals(
        queues=size.services,
        rate=load * capacity,
        spike_seconds=SPIKE_SECONDS,
        rounds=rounds,
        service_seconds=service_seconds,
        random=Random(f"arrivals {seed} {load}"),
    )
    deployment = Deployment(size, is_baseline=is_baseline, seed=seed)
    deployment.start()
    results = deployment.submit_all(arrivals)
    return compute_figures(
        "plain" if is_baseline else "gypsumwalk",
        load,
        capacity * size.services,
        arrivals,
        results,
        SPIKE_SECONDS * size.services,
    )


def render_table(figures: list[Figures]) -> str:
    """Return a Markdown table with one row per run."""
    lines = [
        "| load | system | goodput | p50 s | p99 s | p99.9 s | urgent p99 s "
        "| largest deviation from fair share | ends |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for item in figures:
        worst = max(item.deviations.values(), key=abs)
        outcomes = ", ".join(f"{kind} {count}" for kind, count in item.kinds.items())
        lines.append(
            f"| {item.load} | {item.system} | {item.goodput:.3f} | {item.p50:.3f} "
            f"| {item.p99:.3f} | {item.p999:.3f} | {item.urgent_p99:.3f} "
            f"| {worst:+.1%} | {outcomes} |"
        )
    return "\n".join(lines) + "\n"


def plot(figures: list[Figures], path: Path) -> None:
    """Plot goodput, latency and unfairness against the load."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 3, figsize=(13, 4))
    for system in ("gypsumwalk", "plain"):
        series = [item for item in figures if item.system == system]
        loads = [item.load for item in series]
        axes[0].plot(loads, [item.goodput for item in series], "o-", label=system)
        axes[1].plot(loads, [item.p99 for item in series], "o-", label=system)
        worst = [max(abs(v) for v in item.deviations.values()) for item in series]
        axes[2].plot(loads, worst, "o-", label=system)
    titles = (
        "goodput, part of capacity",
        "p99 latency of good answers, s",
        "largest deviation from fair share",
    )
    for axis, title in zip(axes, titles, strict=True):
        axis.set_title(title)
        axis.set_xlabel("mean demand, part of capacity")
        axis.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def main(
    out: str = "docs/measurements",
    size: str = "hanbit",
    loads: tuple[float, ...] = (0.5, 0.9, 1.2, 2.0),
    rounds: int = 2,
    service_seconds: float = 0.4,
    seed: int = 1,
) -> None:
    """Run both systems at each load, and write the results.

    Parameters
    ----------
    out : str
        Output folder.
    size : str
        ``hanbit`` or ``batedores``.
    loads : tuple of float
        Mean demands as fractions of the capacity.
    rounds : int
        Number of spikes of each queue.
    service_seconds : float
        Mean service time of a request.
    seed : int
        Seed of every random number.
    """
    figures = [
        run_once(
            SIZES[size],
            is_baseline=is_baseline,
            load=load,
            rounds=rounds,
            service_seconds=service_seconds,
            seed=seed,
        )
        for load in loads
        for is_baseline in (False, True)
    ]
    folder = Path(out)
    folder.mkdir(parents=True, exist_ok=True)
    name = f"load-virtual-{size}"
    command = (
        f"python -m bench.load --size={size} --loads={','.join(map(str, loads))} "
        f"--rounds={rounds} --service_seconds={service_seconds} --seed={seed}"
    )
    report = {"command": command, "figures": [item.to_json() for item in figures]}
    text = json.dumps(report, indent=1, sort_keys=True)
    (folder / f"{name}.json").write_text(text + "\n", encoding="utf-8")
    plot(figures, folder / f"{name}.png")
    print(render_table(figures))


if __name__ == "__main__":
    fire.Fire(main)
