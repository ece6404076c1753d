"""Figures of one run under load: latency, goodput, refusals and fair shares."""

from collections import Counter, defaultdict
from dataclasses import asdict, dataclass
from typing import Any

from hdrh.histogram import HdrHistogram

from bench._demand import TEAMS, Arrival

__all__ = ["End", "Figures", "compute_figures", "split_fairly"]

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 600 * 1_000_000
SIGNIFICANT_FIGURES = 3


@dataclass(frozen=True, slots=True)
class End:
    """How one request ended.

    Attributes
    ----------
    seconds : float
        Time from when it was due to be sent until its answer.
    kind : str
        ``good`` for an answer within the deadline, otherwise what came instead.
    """

    seconds: float
    kind: str


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of one system at one load.

    Attributes
    ----------
    system : str
        ``gypsumwalk`` or ``plain``.
    load : float
        Mean demand as a part of the capacity.
    offered, good : int
        Requests handed in, and those answered well within their deadline.
    goodput : float
        Good answers a second, as a part of the capacity.
    kinds : dict of str to int
        Requests by how they ended.
    p50, p99, p999 : float
        Latency of good answers in seconds, from the time due to be sent.
    urgent_p99 : float
        The same of urgent requests.
    deviations : dict of str to float
        Good answers of each team less its fair part, as a part of that.
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
        """Return the figures as plain data."""
        return asdict(self)


def compute_figures(
    system: str,
    load: float,
    capacity: float,
    arrivals: list[Arrival],
    ends: dict[int, End],
    window_seconds: float,
) -> Figures:
    """Compute the figures of one run.

    Parameters
    ----------
    system : str
        Name of the system.
    load : float
        Mean demand as a part of the capacity.
    capacity : float
        Requests a second that all targets together can run.
    arrivals : list of Arrival
        What was handed in.
    ends : dict of int to End
        How each ended, by its number.
    window_seconds : float
        Time in which a queue spikes once; fair parts are computed for each.

    Returns
    -------
    Figures
        The figures.
    """
    latency, urgent = _make_histogram(), _make_histogram()
    kinds: Counter[str] = Counter()
    offered: dict[tuple[int, int], Counter[str]] = defaultdict(Counter)
    good: dict[tuple[int, int], Counter[str]] = defaultdict(Counter)
    for arrival in arrivals:
        end = ends.get(arrival.number, End(0.0, "lost"))
        kinds[end.kind] += 1
        window = (arrival.queue, int(arrival.at / window_seconds))
        offered[window][arrival.team] += 1
        if end.kind != "good":
            continue
        good[window][arrival.team] += 1
        latency.record_value(int(end.seconds * 1e6))
        if arrival.urgent:
            urgent.record_value(int(end.seconds * 1e6))
    span = max(arrival.at for arrival in arrivals)
    return Figures(
        system=system,
        load=load,
        offered=len(arrivals),
        good=kinds["good"],
        goodput=kinds["good"] / span / capacity,
        kinds=dict(sorted(kinds.items())),
        p50=latency.get_value_at_percentile(50.0) / 1e6,
        p99=latency.get_value_at_percentile(99.0) / 1e6,
        p999=latency.get_value_at_percentile(99.9) / 1e6,
        urgent_p99=urgent.get_value_at_percentile(99.0) / 1e6,
        deviations=_compute_deviations(offered, good),
    )


def split_fairly(total: float, offered: dict[str, float]) -> dict[str, float]:
    """Split an amount between teams by shares, none getting more than it offered.

    Parameters
    ----------
    total : float
        Amount to split.
    offered : dict of str to float
        Most that each team can use.

    Returns
    -------
    dict of str to float
        Weighted max-min fair part of each team.
    """
    shares = {team.name: team.share for team in TEAMS}
    parts = dict.fromkeys(offered, 0.0)
    open_teams = set(offered)
    left = total
    while open_teams and left > 1e-9:
        weight = sum(shares[team] for team in open_teams)
        level = min((offered[t] - parts[t]) / shares[t] for t in open_teams)
        step = min(level, left / weight)
        for team in open_teams:
            parts[team] += step * shares[team]
        left -= step * weight
        open_teams = {t for t in open_teams if offered[t] - parts[t] > 1e-9}
    return parts


def _compute_deviations(
    offered: dict[tuple[int, int], Counter[str]],
    good: dict[tuple[int, int], Counter[str]],
) -> dict[str, float]:
    fair: Counter[str] = Counter()
    got: Counter[str] = Counter()
    for window, demands in offered.items():
        total = sum(good[window].values())
        fair.update(split_fairly(total, dict(demands)))
        got.update(good[window])
    return {
        team.name: (got[team.name] - fair[team.name]) / fair[team.name]
        for team in TEAMS
        if fair[team.name] > 0
    }


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_FIGURES)
