"""Metrics of one load test run: latency, goodput, refusals and fairness."""

from collections import Counter, defaultdict
from dataclasses import asdict, dataclass
from typing import Any

from hdrh.histogram import HdrHistogram

from bench._demand import TEAMS, Arrival

__all__ = ["Figures", "RequestResult", "compute_fair_allocation", "compute_figures"]

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 600 * 1_000_000
SIGNIFICANT_FIGURES = 3


@dataclass(frozen=True, slots=True)
class RequestResult:
    """Latency and outcome of one request.

    Attributes
    ----------
    seconds : float
        Time from its scheduled send time until its answer.
    kind : str
        ``good`` for an answer within the deadline, otherwise the kind of failure.
    """

    seconds: float
    kind: str


@dataclass(frozen=True, slots=True)
class Figures:
    """Metrics of one system at one load.

    Attributes
    ----------
    system : str
        ``gypsumwalk`` or ``plain``.
    load : float
        Mean demand as a fraction of the capacity.
    offered, good : int
        Requests submitted, and those answered successfully within their deadline.
    goodput : float
        Good answers per second, as a fraction of the capacity.
    kinds : dict of str to int
        Number of requests by kind of result.
    p50, p99, p999 : float
        Latency of good answers in seconds, from the scheduled send time.
    urgent_p99 : float
        99th percentile of the latency of urgent requests, in seconds.
    deviations : dict of str to float
        Relative deviation of each team's good answers from its fair share.
    """

    system: str
    load: float
    offered: int
    good: int
    goodput: float
    kinds: dict[str, int]
    p50: float
    p99: float
    p999: float
    urgent_p99: float
    deviations: dict[str, float]

    def to_json(self) -> dict[str, Any]:
        """Return the metrics as a JSON-serialisable dict."""
        return asdict(self)


def compute_figures(
    system: str,
    load: float,
    capacity: float,
    arrivals: list[Arrival],
    results: dict[int, RequestResult],
    window_seconds: float,
) -> Figures:
    """Compute the metrics of one run.

    Parameters
    ----------
    system : str
        Name of the system.
    load : float
        Mean demand as a fraction of the capacity.
    capacity : float
        Requests per second that all targets together can run.
    arrivals : list of Arrival
        Requests submitted.
    results : dict of int to RequestResult
        Results by request number.
    window_seconds : float
        Time in which a queue spikes once; fair shares are computed per window.

    Returns
    -------
    Figures
        Metrics of the run.
    """
    latency, urgent = _make_histogram(), _make_histogram()
    kinds: Counter[str] = Counter()
    offered: dict[tuple[int, int], Counter[str]] = defaultdict(Counter)
    good: dict[tuple[int, int], Counter[str]] = defaultdict(Counter)
    for arrival in arrivals:
        result = results.get(arrival.number, RequestResult(0.0, "lost"))
        kinds[result.kind] += 1
        window = (arrival.queue, int(arrival.at / window_seconds))
        offered[window][arrival.team] += 1
        if result.kind != "good":
            continue
        good[window][arrival.team] += 1
        latency.record_value(int(result.seconds * 1e6))
        if arrival.urgent:
            urgent.record_value(int(result.seconds * 1e6))
    duration = max(arrival.at for arrival in arrivals)
    return Figures(
        system=system,
        load=load,
        offered=len(arrivals),
        good=kinds["good"],
        goodput=kinds["good"] / duration / capacity,
        kinds=dict(sorted(kinds.items())),
        p50=latency.get_value_at_percentile(50.0) / 1e6,
        p99=latency.get_value_at_percentile(99.0) / 1e6,
        p999=latency.get_value_at_percentile(99.9) / 1e6,
        urgent_p99=urgent.get_value_at_percentile(99.0) / 1e6,
        deviations=_compute_deviations(offered, good),
    )


def compute_fair_allocation(
    total: float, offered: dict[str, float]
) -> dict[str, float]:
    """Allocate an amount to teams by weighted max-min fairness.

    Parameters
    ----------
    total : float
        Amount to allocate.
    offered : dict of str to float
        Demand of each team, which its allocation does not exceed.

    Returns
    -------
    dict of str to float
        Allocation of each team.
    """
    shares = {team.name: team.share for team in TEAMS}
    allocation = dict.fromkeys(offered, 0.0)
    unsatisfied = set(offered)
    remaining = total
    while unsatisfied and remaining > 1e-9:
        weight = sum(shares[team] for team in unsatisfied)
        level = min((offered[t] - allocation[t]) / shares[t] for t in unsatisfied)
        step = min(level, remaining / weight)
        for team in unsatisfied:
            allocation[team] += step * shares[team]
        remaining -= step * weight
        unsatisfied = {t for t in unsatisfied if offered[t] - allocation[t] > 1e-9}
    return allocation


def _compute_deviations(
    offered: dict[tuple[int, int], Counter[str]],
    good: dict[tuple[int, int], Counter[str]],
) -> dict[str, float]:
    fair: Counter[str] = Counter()
    actual: Counter[str] = Counter()
    for window, demands in offered.items():
        total = sum(good[window].values())
        fair.update(compute_fair_allocation(total, dict(demands)))
        actual.update(good[window])
    return {
        team.name: (actual[team.name] - fair[team.name]) / fair[team.name]
        for team in TEAMS
        if fair[team.name] > 0
    }


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_FIGURES)
