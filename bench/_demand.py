"""Open-loop workload: queues that spike in turn, and teams of unequal demand."""

from dataclasses import dataclass
from random import Random

__all__ = ["TEAMS", "Arrival", "Team", "draw_arrivals"]

SPIKE_FACTOR = 5.0
QUIET_FACTOR = 0.05


@dataclass(frozen=True, slots=True)
class Team:
    """A team with its fair-share weight and its fraction of the demand."""

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
    """One request with its scheduled submission time."""

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
    """Draw requests at random times, with one queue spiking at a time.

    Parameters
    ----------
    queues : int
        Number of queues.
    rate : float
        Mean requests per second of each queue.
    spike_seconds : float
        Duration of a spike.
    rounds : int
        Number of spikes of each queue.
    service_seconds : float
        Mean of the exponentially distributed service time.
    random : Random
        Source of the random numbers.

    Returns
    -------
    list of Arrival
        Requests in order of time.
    """
    names = [team.name for team in TEAMS]
    weights = [team.demand for team in TEAMS]
    scheduled: list[tuple[float, int]] = []
    for turn in range(queues * rounds):
        start = turn * spike_seconds
        for queue in range(queues):
            factor = SPIKE_FACTOR if turn % queues == queue else QUIET_FACTOR
            at = start + random.expovariate(rate * factor)
            while at < start + spike_seconds:
                scheduled.append((at, queue))
                at += random.expovariate(rate * factor)
    arrivals = []
    for number, (at, queue) in enumerate(sorted(scheduled)):
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
