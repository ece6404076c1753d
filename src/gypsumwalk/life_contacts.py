"""When lives of instances were first called under a fence of their own.

Until then, a life carries out orders that were meant for the former lives of its
instance. A time on another clock is far ahead on its own, or past, so that such an
order may extend its lease by as much as the instance allows.
"""

from collections.abc import Iterable

from gypsumwalk.life_clocks import CLOCK_RATE_ERROR
from gypsumwalk.workload_records import Placement
from gypsumwalk.workloads import WorkloadSection

__all__ = ["LifeContacts"]

MAX_ENDED_LIVES = 1000
"""Lives that have ended whose contact may be kept until the next sweep."""


class LifeContacts:
    """First contacts of the registered lives, as this daemon knows them.

    A placement in the log shows that the life had answered the leader of that time.

    Parameters
    ----------
    workloads : WorkloadSection
        Jobs and instances.
    max_lease : float
        Longest lease that an instance accepts, in seconds.
    """

    def __init__(self, workloads: WorkloadSection, *, max_lease: float) -> None:
        self._workloads = workloads
        self._lifetime = max_lease / (1 - CLOCK_RATE_ERROR)
        self._contacts: dict[str, float] = {}

    def note(self, life: str, now: float) -> None:
        """Note that a life has been called by now."""
        if life not in self._contacts:
            self._sweep()
            self._contacts[life] = now

    def note_placements(self, placements: Iterable[Placement], now: float) -> None:
        """Note the lives of committed placements."""
        for placement in placements:
            self.note(placement.life, now)

    def find(self, life: str) -> float | None:
        """Return the time of the first contact in seconds, None if none is known."""
        return self._contacts.get(life)

    def find_expiry(self, life: str, now: float) -> float:
        """Return the time by which the leases set by orders for former lives expire.

        Parameters
        ----------
        life : str
            A life that is or was registered.
        now : float
            Time in seconds.

        Returns
        -------
        float
            Time in seconds, 0 if no former life of the instance had any orders.
        """
        if self._workloads.is_first_life(life):
            return 0.0
        return self._contacts.get(life, now) + self._lifetime

    def _sweep(self) -> None:
        known = self._workloads.instances
        if len(self._contacts) > len(known) + MAX_ENDED_LIVES:
            self._contacts = {
                life: contact
                for life, contact in self._contacts.items()
                if life in known
            }
