"""Cooldown between orders of different daemons to one machine."""

from collections.abc import Iterable

__all__ = ["COOLDOWN_SECONDS", "UNKNOWN_HOLDER", "OrderCooldown"]

COOLDOWN_SECONDS = 3.2
"""Time between orders of two holders to a machine; the platform forbids under 3 s."""

UNKNOWN_HOLDER = ""
"""Holder of orders that any other daemon may have sent."""

CLOCK_SKEW_SECONDS = 2.5
"""Clock skew allowed for; clocks of two daemons may differ by 2.4 s after jumps."""


class OrderCooldown:
    """Time and holder of the latest order to each machine, as committed in the log.

    Parameters
    ----------
    daemon : str
        Name of this daemon.
    """

    def __init__(self, daemon: str) -> None:
        self._daemon = daemon
        self._last_orders: dict[str, tuple[str, float]] = {}
        self._unknown_until = float("-inf")
        """Time in seconds until which others may have ordered any machine."""

    def record(
        self, machines: Iterable[str], holder: str, *, at: float, now: float
    ) -> None:
        """Record that a holder sends orders to machines.

        A restarted daemon replays old orders from the log, so the time of an order is
        its holder's time plus the clock skew, and at most the present.

        Parameters
        ----------
        machines : Iterable of str
            The machines.
        holder : str
            Daemon that sends the orders.
        at : float
            Time in seconds by the holder's clock.
        now : float
            Time in seconds by this daemon's clock.
        """
        ordered_at = min(now, at + CLOCK_SKEW_SECONDS)
        for machine in machines:
            self._last_orders[machine] = (holder, ordered_at)

    def record_unknown_orders(self, now: float) -> None:
        """Take every machine as ordered by another holder just now.

        Parameters
        ----------
        now : float
            Time in seconds by this daemon's clock.
        """
        self._unknown_until = now

    def can_order(self, machine: str, now: float) -> bool:
        """Return whether this daemon may send an order to a machine.

        It may unless another holder sent one less than ``COOLDOWN_SECONDS`` ago.

        Parameters
        ----------
        machine : str
            The machine.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether it may.
        """
        if now - self._unknown_until < COOLDOWN_SECONDS:
            return False
        holder, at = self._last_orders.get(machine, (self._daemon, 0.0))
        return holder == self._daemon or now - at >= COOLDOWN_SECONDS
