"""Cache of the advice service's answers: which instances may run a step.

The advice service handles one query at a time and takes time for each instance in it.
So a query names no more instances than a step is likely to need, and its answer is
cached for as long as it is valid.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from gypsumwalk.declaration_records import AdvicePolicy

__all__ = ["MAX_ASKED", "AdviceCache", "AdviceQuery", "name_step"]

MAX_ASKED = 30
"""Most instances in one query; the users' objective allows for 30 a step."""

EXPIRY_MARGIN_SECONDS = 0.1
"""Validity that a ticket must have left for a start to arrive; links take ms."""

MAX_STEPS = 4_000
"""Steps in the cache above which it is pruned; each takes about 1 kB."""


def name_step(job: str, occurrence: int, step: int) -> str:
    """Return the name of a step in the API of the advice service."""
    return f"{job}.{occurrence}.{step}"


@dataclass(frozen=True, slots=True)
class AdviceQuery:
    """A query whose answer may allow waiting tasks to start.

    Attributes
    ----------
    step : str
        Name of the step.
    policy : AdvicePolicy
        Processing times of the query, and validity of its answer.
    lives : tuple of str
        Incarnations of the instances to ask about, most useful first.
    """

    step: str
    policy: AdvicePolicy
    lives: tuple[str, ...]


@dataclass(slots=True)
class _StepAdvice:
    tickets: dict[str, tuple[str, float]] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)


class AdviceCache:
    """Tickets and refusals by step and incarnation of an instance."""

    def __init__(self) -> None:
        self._steps: dict[str, _StepAdvice] = {}

    def find_ticket(self, step: str, life: str, now: float) -> str:
        """Return a valid ticket, or an empty string.

        Parameters
        ----------
        step : str
            Name of the step.
        life : str
            Incarnation of the instance.
        now : float
            Time in seconds.

        Returns
        -------
        str
            Ticket, empty if none is valid.
        """
        advised = self._steps.get(step)
        if advised is None:
            return ""
        ticket, until = advised.tickets.get(life, ("", 0.0))
        return ticket if now < until - EXPIRY_MARGIN_SECONDS else ""

    def list_unknown(self, step: str, lives: Iterable[str], now: float) -> list[str]:
        """Return the incarnations without a valid ticket or a refusal for a step."""
        refused = self._steps[step].refused if step in self._steps else ()
        return [
            life
            for life in lives
            if life not in refused and not self.find_ticket(step, life, now)
        ]

    def record_answer(
        self, step: str, asked: Iterable[str], tickets: Mapping[str, str], until: float
    ) -> None:
        """Store an answer.

        Parameters
        ----------
        step : str
            Name of the step.
        asked : Iterable of str
            Incarnations that the query named.
        tickets : Mapping of str to str
            Ticket of each incarnation that may run the step.
        until : float
            Time in seconds at which the tickets expire.
        """
        advised = self._steps.setdefault(step, _StepAdvice())
        for life in asked:
            if life in tickets:
                advised.tickets[life] = (tickets[life], until)
            else:
                advised.refused.add(life)

    def drop_ticket(self, step: str, life: str) -> None:
        """Discard a ticket that the instance rejected."""
        if step in self._steps:
            self._steps[step].tickets.pop(life, None)

    def prune(self, open_jobs: Collection[str]) -> None:
        """Discard the steps of ended jobs once ``MAX_STEPS`` is reached."""
        if len(self._steps) < MAX_STEPS:
            return
        self._steps = {
            step: advised
            for step, advised in self._steps.items()
            if step.partition(".")[0] in open_jobs
        }

    def clear(self) -> None:
        """Discard all answers at the beginning of a term."""
        self._steps.clear()
