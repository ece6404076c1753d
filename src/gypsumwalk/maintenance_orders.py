"""Orders of maintenance that a leader sent, and whether they may still take effect."""

from collections import Counter
from typing import NamedTuple

from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.instance_actions import MachineReport
from gypsumwalk.orphaned_runs import LATE_ORDER_SECONDS

__all__ = ["MaintenanceOrder", "MaintenanceOrders"]

RETRY_SECONDS = 1.0
"""Time before an order that was not successful is sent again."""


class MaintenanceOrder(NamedTuple):
    """An order to take a machine down.

    Attributes
    ----------
    wave : int
        Number of the wave.
    machine : str
        The machine.
    sent_at : float
        Time in seconds at which it was sent.
    """

    wave: int
    machine: str
    sent_at: float


class MaintenanceOrders:
    """Orders of one term, by machine.

    An order without a definite refusal may take effect: at once while its call is open,
    and up to ``LATE_ORDER_SECONDS`` after it was sent if its outcome is unknown.

    Parameters
    ----------
    down_seconds : float
        Time in seconds for which an order that is carried out takes a machine down.
    """

    def __init__(self, down_seconds: float) -> None:
        self._down_seconds = down_seconds
        self._open: dict[str, MaintenanceOrder] = {}
        self._sent_at: dict[str, float] = {}
        self._effective: Counter[str] = Counter()
        """Number of orders to each machine that were carried out or may be."""
        self._unknown_until: dict[str, float] = {}
        """Time in seconds until which an unanswered order may keep a machine down."""

    def clear(self) -> None:
        """Forget all orders, at the start of a term."""
        self._open.clear()
        self._sent_at.clear()
        self._effective.clear()
        self._unknown_until.clear()

    def add(self, token: str, wave: int, machine: str, now: float) -> None:
        """Add an order that is sent now."""
        self._open[token] = MaintenanceOrder(wave, machine, now)
        self._sent_at[machine] = now
        self._effective[machine] += 1

    def close(self, outcome: PlatformOutcome) -> MaintenanceOrder | None:
        """Remove an open order with its outcome, and return it if there is one."""
        order = self._open.pop(outcome.token, None)
        if order is None:
            return None
        if outcome.unknown:
            latest = order.sent_at + LATE_ORDER_SECONDS
            self._unknown_until[order.machine] = latest + self._down_seconds
        elif not isinstance(outcome.report, MachineReport) or outcome.report.refused:
            self._effective[order.machine] -= 1
        return order

    def is_due(self, machine: str, now: float) -> bool:
        """Return whether the time before the next order to a machine is over."""
        return now - self._sent_at.get(machine, float("-inf")) >= RETRY_SECONDS

    def has_effective(self, machine: str) -> bool:
        """Return whether an order to a machine was carried out or may be."""
        return self._effective[machine] > 0

    def may_take_effect(self, machine: str, now: float) -> bool:
        """Return whether an order may take a machine down now, or has taken it down.

        Parameters
        ----------
        machine : str
            The machine.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            False if each of them was refused, or was sent too long ago.
        """
        if now < self._unknown_until.get(machine, float("-inf")):
            return True
        return any(order.machine == machine for order in self._open.values())
