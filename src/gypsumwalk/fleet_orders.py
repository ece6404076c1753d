"""Orders to instances that wait for an answer."""

from dataclasses import dataclass
from enum import Enum

from gypsumwalk.leases import RunView
from gypsumwalk.workload_records import TaskKey

__all__ = ["OpenOrder", "OrderKind", "OrderTable", "parse_task"]

NAME_PARTS = 4


class OrderKind(Enum):
    """What was asked of an instance."""

    RENEW = "renew"
    START = "start"
    STOP = "stop"
    STRANGER = "stranger"
    """Stop of a run that no placement accounts for."""
    PACE = "pace"


@dataclass(frozen=True, slots=True)
class OpenOrder:
    """One call to an instance.

    Attributes
    ----------
    kind : OrderKind
        What was asked.
    life : str
        Life of the instance.
    sent_at : float
        Time in seconds of sending.
    run : RunView or None
        Run that the order is about.
    """

    kind: OrderKind
    life: str
    sent_at: float
    run: RunView | None = None


class OrderTable:
    """Open orders by the token that their outcome repeats.

    Parameters
    ----------
    part : str
        Name of the part that the outcomes go to.
    """

    def __init__(self, part: str) -> None:
        self._part = part
        self._count = 0
        self._orders: dict[str, OpenOrder] = {}

    def open(self, order: OpenOrder) -> str:
        """Note an order and return its token."""
        self._count += 1
        token = f"{self._part}/order/{self._count}"
        self._orders[token] = order
        return token

    def close(self, token: str) -> OpenOrder | None:
        """Return the order of a token and forget it."""
        return self._orders.pop(token, None)

    def clear(self) -> None:
        """Forget all orders, as another term has begun."""
        self._orders.clear()


def parse_task(name: str) -> TaskKey | None:
    """Return the task that an instance names, or None for a foreign name.

    Parameters
    ----------
    name : str
        Job, occurrence, step and number, joined by dots.

    Returns
    -------
    TaskKey or None
        The task.
    """
    parts = name.split(".")
    if len(parts) != NAME_PARTS or not all(part.isdecimal() for part in parts[1:]):
        return None
    return TaskKey(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))
