"""Orders to instances that are not answered yet."""

from collections import Counter
from dataclasses import dataclass
from enum import Enum

from gypsumwalk.leases import RunView
from gypsumwalk.life_clocks import ClockBounds
from gypsumwalk.workload_records import TaskKey

__all__ = ["OpenOrder", "OrderKind", "OrderTable", "parse_task"]

TASK_NAME_PARTS = 4
"""Job, occurrence, step and number of the task."""

MAX_INDEX_DIGITS = 9


class OrderKind(Enum):
    """Kind of an order to an instance."""

    RENEW = "renew"
    START = "start"
    STOP = "stop"
    ORPHAN = "stranger"
    """Stop of a run without a placement."""
    PACE = "pace"
    LIST = "list"
    """List of the runs, to learn what has become of an unanswered start."""


READING_KINDS = (OrderKind.RENEW, OrderKind.LIST)
"""Orders that change no run."""


@dataclass(frozen=True, slots=True)
class OpenOrder:
    """An order that was sent to an instance.

    Attributes
    ----------
    kind : OrderKind
        Kind of the order.
    life : str
        Incarnation of the instance.
    sent_at : float
        Time in seconds at which it was sent.
    fence : int
        Fence that it carried.
    run : RunView or None
        Run that the order concerns.
    clock : ClockBounds or None
        What the clock of that life could show, as known when it was sent.
    """

    kind: OrderKind
    life: str
    sent_at: float
    fence: int
    run: RunView | None = None
    clock: ClockBounds | None = None


class OrderTable:
    """Open orders by the token that correlates them with their outcomes.

    Parameters
    ----------
    part : str
        Name of the part that receives the outcomes.
    """

    def __init__(self, part: str) -> None:
        self._part = part
        self._count = 0
        self._orders: dict[str, OpenOrder] = {}
        self._changes_by_life: Counter[str] = Counter()
        """Number of open orders of each life, except those that only read."""

    def open(self, order: OpenOrder) -> str:
        """Add an order and return its token."""
        self._count += 1
        token = f"{self._part}/order/{self._count}"
        self._orders[token] = order
        if order.kind not in READING_KINDS:
            self._changes_by_life[order.life] += 1
        return token

    def close(self, token: str) -> OpenOrder | None:
        """Remove and return the order of a token."""
        order = self._orders.pop(token, None)
        if order is not None and order.kind not in READING_KINDS:
            self._changes_by_life[order.life] -= 1
            if not self._changes_by_life[order.life]:
                del self._changes_by_life[order.life]
        return order

    def has_open_changes(self, life: str) -> bool:
        """Tell whether a start or a stop on a life waits for its answer."""
        return life in self._changes_by_life

    def clear(self) -> None:
        """Discard all orders at the beginning of a term."""
        self._orders.clear()
        self._changes_by_life.clear()


def parse_task(name: str) -> TaskKey | None:
    """Parse the name of a task as an instance reports it.

    Parameters
    ----------
    name : str
        Job, occurrence, step and number, joined by dots.

    Returns
    -------
    TaskKey or None
        Key of the task, None if the name is not one of a task.
    """
    parts = name.split(".")
    if len(parts) != TASK_NAME_PARTS or not all(map(_is_index, parts[1:])):
        return None
    return TaskKey(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))


def _is_index(part: str) -> bool:
    return part.isascii() and part.isdecimal() and len(part) <= MAX_INDEX_DIGITS
