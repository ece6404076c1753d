"""Open-loop demand: queues that spike in turn, and teams of unequal size."""

from dataclasses import dataclass
from random import Random

__all__ = ["TEAMS", "Arrival", "Team", "draw_arrivals"]

SPIKE_FACTOR = 5.0
QUIET_FACTOR = 0.05


@dataclass(frozen=True, slots=True)
class Team:
    """A team: its share of a full fleet, and its part of what is asked."""

    name: str
    share: float
    demand: float


TEAMS = (
    Team("festival", 4.0, 0.20),
    Team("pledges", 3.0, 0.35),
    Team("charts", 1.0, 0.25),
    Team("reminders", 1.0, 0.10),
    Team("reissues", 1.0, 0.05),
    Team("rosters", 1.0, 0.05),
)


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request that is handed in."""

    at: float
    queue: int
    team: str
    number: int
    seconds: float
    urgent: bool
    repeatable: bool


def draw_arrivals(
    *,
    queues: int,
    rate: float,
    spike_seconds: float,
    rounds: int,
    service_seconds: float,
    random: Random,
) -> list[Arrival]:
    """Draw requests at random times, one queue spiking after the other.

    Parameters
    ----------
    queues : int
        Number of queues.
    rate : float
        Mean requests a second of each queue.
    spike_seconds : float
        Length of a spike.
    rounds : int
        Times that each queue spikes.
    service_seconds : float
        Mean run time, which is exponentially distributed.
    random : Random
        Source of the random numbers.

    Returns
    -------
    list of Arrival
        Requests in order of time.
    """
    names = [team.name for team in TEAMS]
    weights = [team.demand for team in TEAMS]
    found: list[tuple[float, int]] = []
    for turn in range(queues * rounds):
        start = turn * spike_seconds
        for queue in range(queues):
            factor = SPIKE_FACTOR if turn % queues == queue else QUIET_FACTOR
            at = start + random.expovariate(rate * factor)
            while at < start + spike_seconds:
                found.append((at, queue))
                at += random.expovariate(rate * factor)
    arrivals = []
    for number, (at, queue) in enumerate(sorted(found)):
        (team,) = random.choices(names, weights)
        arrivals.append(
            Arrival(
                at=at,
                queue=queue,
                team=team,
                number=number,
                seconds=random.expovariate(1.0 / service_seconds),
                urgent=random.random() < 0.05,
                repeatable=random.random() < 0.5,
            )
        )
    return arrivals
