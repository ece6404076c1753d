"""Record of who ordered what of which machine last, so that holders keep a distance."""

from collections.abc import Iterable

__all__ = ["TURN_SECONDS", "MachineTurns"]

TURN_SECONDS = 3.2
"""Two holders must not take turns at one machine within 3 s."""


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
        self._began: float | None = None

    def note(self, machines: Iterable[str], holder: str, now: float) -> None:
        """Note that a holder orders something of machines."""
        for machine in machines:
            self._latest[machine] = (holder, now)

    def may_order(self, machine: str, now: float) -> bool:
        """Tell whether this daemon may order something of a machine.

        Parameters
        ----------
        machine : str
            The machine.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether no other holder ordered something lately. A daemon that started
            lately does not know, and waits.
        """
        if self._began is None:
            self._began = now
        if now - self._began < TURN_SECONDS:
            return False
        holder, at = self._latest.get(machine, (self._daemon, 0.0))
        return holder == self._daemon or now - at >= TURN_SECONDS
