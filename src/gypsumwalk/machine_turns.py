"""Record of who ordered what of which machine last, so that holders keep a distance."""

from collections.abc import Iterable

__all__ = ["TURN_SECONDS", "MachineTurns"]

TURN_SECONDS = 3.2
"""Two holders must not take turns at one machine within 3 s."""

CLOCK_SECONDS = 2.5
"""Clocks of two daemons may differ by 2.4 s, as the time of day jumps."""


class MachineTurns:
    """Latest holder of each machine, as every daemon hears it from the log.

    Parameters
    ----------
    daemon : str
        Name of this daemon.
    """

    def __init__(self, daemon: str) -> None:
        self._daemon = daemon
        self._latest: dict[str, tuple[str, float]] = {}

    def note(
        self, machines: Iterable[str], holder: str, *, at: float, now: float
    ) -> None:
        """Note that a holder orders something of machines.

        A daemon that starts again hears old orders anew; it takes the latest time that
        the holder can have meant.

        Parameters
        ----------
        machines : Iterable of str
            The machines.
        holder : str
            Daemon that orders.
        at : float
            Time in seconds by the holder's clock.
        now : float
            Time in seconds by this daemon's clock.
        """
        heard = min(now, at + CLOCK_SECONDS)
        for machine in machines:
            self._latest[machine] = (holder, heard)

    def may_order(self, machine: str, now: float) -> bool:
        """Tell whether no other holder ordered something of a machine lately.

        Parameters
        ----------
        machine : str
            The machine.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether this daemon may order something of it.
        """
        holder, at = self._latest.get(machine, (self._daemon, 0.0))
        return holder == self._daemon or now - at >= TURN_SECONDS
