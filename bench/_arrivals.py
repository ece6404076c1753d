"""Arrival patterns of jobs that overload one pool, generated once for each seed."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from random import Random

from gypsumwalk.team_rates import TeamRates

__all__ = [
    "OBJECTIVE_SECONDS",
    "PATTERNS",
    "RACKS",
    "SLOTS",
    "STRETCH",
    "TEAMS",
    "Arrival",
    "Pattern",
    "make_pattern",
]

SLOTS = 60
"""Cores of the pool, divided evenly between ``RACKS`` racks."""
RACKS = 3
TEAMS = {"a": 0.4, "b": 0.3, "c": 0.2, "d": 0.1}
"""Share of each team of the arrivals."""
MEAN_RATE = 7.0
"""Jobs a second apart from the turns; about 0.35 of what the pool can do."""
TURNS = ((6.0, 10.0), (17.0, 21.0))
TURN_FACTOR = 5.0
DEEP_FACTOR = 3.0
"""Ratio of the rate of a deep turn to that of a turn."""
END_SECONDS = 25.0
STRETCH, OBJECTIVE_SECONDS = 1.6, 0.6


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job: its steps follow one another, each with the width and both durations."""

    job: str
    team: str
    at: float
    steps: tuple[tuple[int, float, float], ...]
    priority: int = 0
    rack: int | None = None
    cancelled_at: float = float("inf")
    is_poison: bool = False
    is_excess: bool = False

    @property
    def allowed(self) -> float:
        """Seconds from its submission within which it is on time."""
        return STRETCH * sum(step[2] for step in self.steps) + OBJECTIVE_SECONDS

    @property
    def work(self) -> float:
        """Work in core-seconds."""
        return sum(width * seconds for width, _, seconds in self.steps)


@dataclass(frozen=True, slots=True)
class Pattern:
    """Arrivals, and the times between which a rack is dark or gets no new tasks."""

    name: str
    arrivals: list[Arrival]
    margin: float = 0.1
    dark: tuple[float, float] = (0.0, 0.0)
    closed: tuple[float, float] = (0.0, 0.0)


def _make_jobs(
    random: Random, factor: Callable[[float], float], sigma: float = 0.6
) -> Iterator[Arrival]:
    """Yield arrivals whose rate is a multiple of the mean that depends on the time."""
    at, peak = 0.0, DEEP_FACTOR * TURN_FACTOR
    while (at := at + random.expovariate(MEAN_RATE * peak)) < END_SECONDS:
        if random.random() > factor(at) / peak:
            continue
        team = random.choices(list(TEAMS), list(TEAMS.values()))[0]
        scale = random.lognormvariate(-(sigma**2) / 2, sigma)
        yield _make_job(random, at, team, scale)


def _make_job(random: Random, at: float, team: str, scale: float) -> Arrival:
    steps = []
    for _ in range(random.randint(1, 3)):
        seconds = random.uniform(0.3, 0.7) * min(2.0, scale**0.3)
        width = max(1, round(random.uniform(1, 5) * scale))
        steps.append((width, seconds, seconds))
    return Arrival(f"{team}-{random.getrandbits(48):012x}", team, at, tuple(steps))


def _turn(at: float) -> float:
    return TURN_FACTOR if any(begin <= at < end for begin, end in TURNS) else 1.0


def _burst(at: float) -> float:
    return _turn(at) * (
        2.0 if any(begin <= at - 1 < begin + 2 for begin, _ in TURNS) else 1.0
    )


def _deep_turn(at: float) -> float:
    return DEEP_FACTOR * _turn(at) if _turn(at) > 1.0 else 1.0


def _add_hot_team(random: Random, jobs: list[Arrival]) -> Iterator[Arrival]:
    yield from jobs
    for job in jobs:
        for _ in range(random.choice([5, 5, 5, 6, 6]) if job.team == "d" else 0):
            yield _make_job(random, job.at + random.uniform(0, 0.5), "d", 1.0)


def _misestimate(random: Random, job: Arrival) -> Arrival:
    steps = [
        (width, est, est * random.uniform(0.1, 1.9)) for width, est, _ in job.steps
    ]
    return replace(job, steps=tuple(steps))


def _return(random: Random, job: Arrival) -> Arrival:
    is_refused = 7.0 <= job.at < 10.0
    return replace(job, at=10.0 + random.uniform(0, 0.5)) if is_refused else job


def _cancel(random: Random, job: Arrival) -> Arrival:
    at = job.at + random.uniform(0.0, 2.0) if random.random() < 0.3 else float("inf")
    return replace(job, cancelled_at=at)


def _prioritise(random: Random, job: Arrival) -> Arrival:
    return replace(job, priority=int(random.random() < 0.7))


def _pin(random: Random, job: Arrival) -> Arrival:
    return replace(job, rack=0 if random.random() < 0.6 else None)


def _poison(random: Random, job: Arrival) -> Arrival:
    return replace(job, is_poison=random.random() < 0.1)


_CHANGES: dict[str, Callable[[Random, Arrival], Arrival]] = {
    "cancellations": _cancel,
    "one rack wanted by all": _pin,
    "returning crowd": _return,
    "poison jobs": _poison,
    "wrong estimates": _misestimate,
    "mixed priorities": _prioritise,
}

PATTERNS = (
    "turn",
    "burst on a turn",
    "deep turn",
    "hot team",
    "dark rack",
    "cancellations",
    "one rack wanted by all",
    "returning crowd",
    "poison jobs",
    "heavy-tailed work",
    "wrong estimates",
    "mixed priorities",
    "evacuated data centre",
)


def make_pattern(name: str, seed: int) -> Pattern:
    """Return one pattern; equal names and seeds give equal arrivals."""
    random = Random(f"{name} {seed}")
    factor = {"burst on a turn": _burst, "deep turn": _deep_turn}.get(name, _turn)
    sigma = 1.3 if name == "heavy-tailed work" else 0.6
    jobs = list(_make_jobs(random, factor, sigma))
    if name == "hot team":
        jobs = list(_add_hot_team(random, jobs))
    if change := _CHANGES.get(name):
        jobs = [change(random, job) for job in jobs]
    return Pattern(
        name,
        _mark_excess(jobs),
        margin=0.3 if name == "wrong estimates" else 0.1,
        dark=(7.0, 13.0) if name == "dark rack" else (0.0, 0.0),
        closed=(7.0, END_SECONDS) if name == "evacuated data centre" else (0.0, 0.0),
    )


def _mark_excess(jobs: list[Arrival]) -> list[Arrival]:
    """Mark what is beyond the weights, which allow each team its share of a turn."""
    rates = TeamRates(lambda team: 1.3 * TURN_FACTOR * MEAN_RATE * TEAMS[team])
    jobs = sorted(jobs, key=lambda job: job.at)
    return [
        replace(job, is_excess=rates.record_job(job.job, job.team, job.at))
        for job in jobs
    ]
