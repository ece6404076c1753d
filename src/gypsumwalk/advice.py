"""Advice on which instances may run a step: tickets, and what is asked next.

The service that gives advice takes time for each instance that it is asked about, and
takes one question at a time. So a question names no more instances than a step is
likely to need, and what was answered is kept for as long as it is valid.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from gypsumwalk.declaration_records import AdvicePolicy

__all__ = ["MAX_ASKED", "AdviceBook", "AdviceWish", "name_step"]

MAX_ASKED = 30
"""Instances in one question; the users' objective allows for 30 a step."""

EXPIRY_MARGIN_SECONDS = 0.1
"""Time in seconds that a start may take to its instance; links take milliseconds."""

MAX_STEPS = 4_000
"""Steps with advice that are kept; each takes about a kilobyte."""


def name_step(job: str, occurrence: int, step: int) -> str:
    """Return the name under which the advice service knows a step."""
    return f"{job}.{occurrence}.{step}"


@dataclass(frozen=True, slots=True)
class AdviceWish:
    """A question that would let waiting tasks start.

    Attributes
    ----------
    step : str
        Name of the step.
    policy : AdvicePolicy
        What the question costs, and how long its answer is valid.
    lives : tuple of str
        Lives of instances to ask about, the most useful first.
    """

    step: str
    policy: AdvicePolicy
    lives: tuple[str, ...]


@dataclass(slots=True)
class _Advised:
    tickets: dict[str, tuple[str, float]] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)


class AdviceBook:
    """Tickets by step and life of an instance, and lives that may not run a step."""

    def __init__(self) -> None:
        self._steps: dict[str, _Advised] = {}

    def find_ticket(self, step: str, life: str, now: float) -> str:
        """Return a valid ticket, or an empty string.

        Parameters
        ----------
        step : str
            Name of the step.
        life : str
            Life of the instance.
        now : float
            Time in seconds.

        Returns
        -------
        str
            The ticket.
        """
        advised = self._steps.get(step)
        if advised is None:
            return ""
        ticket, until = advised.tickets.get(life, ("", 0.0))
        return ticket if now < until - EXPIRY_MARGIN_SECONDS else ""

    def list_unknown(self, step: str, lives: Iterable[str], now: float) -> list[str]:
        """Return the lives of which it is not known whether they may run a step."""
        refused = self._steps[step].refused if step in self._steps else ()
        return [
            life
            for life in lives
            if life not in refused and not self.find_ticket(step, life, now)
        ]

    def note(
        self, step: str, asked: Iterable[str], tickets: Mapping[str, str], until: float
    ) -> None:
        """Take in an answer.

        Parameters
        ----------
        step : str
            Name of the step.
        asked : Iterable of str
            Lives that the question named.
        tickets : Mapping of str to str
            Ticket of each life that may run the step.
        until : float
            Time in seconds at which the tickets expire.
        """
        advised = self._steps.setdefault(step, _Advised())
        for life in asked:
            if life in tickets:
                advised.tickets[life] = (tickets[life], until)
            else:
                advised.refused.add(life)

    def drop_ticket(self, step: str, life: str) -> None:
        """Forget a ticket that the instance did not accept."""
        if step in self._steps:
            self._steps[step].tickets.pop(life, None)

    def prune(self, open_jobs: Collection[str]) -> None:
        """Forget steps of jobs that are over, once many are kept."""
        if len(self._steps) < MAX_STEPS:
            return
        self._steps = {
            step: advised
            for step, advised in self._steps.items()
            if step.partition(".")[0] in open_jobs
        }

    def clear(self) -> None:
        """Forget everything, as another term has begun."""
        self._steps.clear()
