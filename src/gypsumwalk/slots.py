"""Slots of the targets that one daemon owns, and the choice among targets."""

from dataclasses import dataclass, field
from random import Random

__all__ = ["OwnedTarget", "SlotTable"]

FRESH_SECONDS = 1.5
"""Age of the last announcement at which a target gets no new work."""
SLOW_START_SECONDS = 2.0
SLOW_START_FLOOR = 0.25
FAILURES_TO_EJECT = 3
EJECTION_SECONDS = 2.0
MAX_EJECTION_SECONDS = 60.0
MAX_EJECTED_SHARE = 0.5
LOST_PREFIX = "lost/"


@dataclass(slots=True)
class OwnedTarget:
    """A target that this daemon owns.

    Attributes
    ----------
    name, service, address : str
        What the target announced.
    incarnation : int
        Incarnation of the target.
    epoch : int
        Epoch of the ownership.
    slots, connections : int
        Most requests that run on it, and most connections to it, at once.
    since : float
        Time in seconds at which it was first announced.
    heard_at : float
        Time in seconds of the last announcement.
    busy : dict of str to float
        Dispatches and reservations that occupy a slot, and when each must have ended.
    claimed_at : float
        Time in seconds at which this daemon took the target.
    confirmed : bool
        Whether all daemons concerned have echoed the claim.
    encumbered : int
        Slots that a former owner's requests may still occupy.
    encumbered_until : float
        Time in seconds at which those must have ended.
    """

    name: str
    service: str
    address: str
    incarnation: int
    epoch: int
    slots: int
    connections: int
    since: float
    heard_at: float
    claimed_at: float = 0.0
    confirmed: bool = False
    leaving: bool = False
    busy: dict[str, float] = field(default_factory=dict)
    encumbered: int = 0
    encumbered_until: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    probing: bool = False

    def restart(self, incarnation: int, now: float) -> None:
        """Note that the target started anew, and begin slowly again."""
        self.incarnation = incarnation
        self.since = now
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.probing = False
        self.busy = {
            holder: until
            for holder, until in self.busy.items()
            if not holder.startswith(LOST_PREFIX)
        }

    def lose(self, holder: str, until: float) -> None:
        """Keep a slot occupied whose dispatch ended without an answer."""
        if self.busy.pop(holder, None) is not None:
            self.busy[LOST_PREFIX + holder] = until

    def free_lost(self, now: float) -> None:
        """Free the slots whose lost dispatches must have ended."""
        for holder in [name for name in self.busy if name.startswith(LOST_PREFIX)]:
            if self.busy[holder] <= now:
                del self.busy[holder]

    def busy_seconds(self, now: float) -> float:
        """Return the seconds after which all present dispatches must have ended."""
        if not self.busy:
            return 0.0
        return max(self.busy.values()) - now

    def limit(self, now: float) -> int:
        """Return how many dispatches the target may have at a time."""
        capacity = min(self.slots, self.connections)
        if now < self.encumbered_until:
            capacity -= self.encumbered
        if self.probing:
            return min(capacity, 1)
        age = max(now - self.since, 0.0) / SLOW_START_SECONDS
        if age >= 1.0:
            return capacity
        ramp = SLOW_START_FLOOR + (1.0 - SLOW_START_FLOOR) * age
        return min(capacity, max(1, int(capacity * ramp)))

    def load(self, now: float) -> float:
        """Return the occupied part of the slots, 1 when full."""
        limit = self.limit(now)
        return len(self.busy) / limit if limit > 0 else 1.0

    def is_serving(self, now: float) -> bool:
        """Tell whether the target runs requests, be its slots free or not."""
        if self.leaving or not self.confirmed:
            return False
        return now - self.heard_at <= FRESH_SECONDS

    def takes_work(self, now: float) -> bool:
        """Tell whether the target may get new work."""
        return self.is_serving(now) and len(self.busy) < self.limit(now)


class SlotTable:
    """The targets owned by one daemon.

    Parameters
    ----------
    random : Random
        Source of the random choices.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self.targets: dict[str, OwnedTarget] = {}

    def choose(self, service: str, now: float) -> OwnedTarget | None:
        """Return the less loaded of two random targets with a free slot.

        Parameters
        ----------
        service : str
            Service that the target runs.
        now : float
            Time in seconds.

        Returns
        -------
        OwnedTarget or None
            The target, or None if no slot is free.
        """
        able = [
            target
            for target in self.targets.values()
            if target.service == service and target.takes_work(now)
        ]
        candidates = self._pass_over_ejected(able, service, now)
        if not candidates:
            return None
        pair = self._random.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda target: target.load(now))

    def count_free(self, service: str, now: float) -> int:
        """Return the free slots of a service."""
        able = [
            target
            for target in self.targets.values()
            if target.service == service and target.takes_work(now)
        ]
        candidates = self._pass_over_ejected(able, service, now)
        return sum(target.limit(now) - len(target.busy) for target in candidates)

    def note_success(self, target: OwnedTarget, now: float) -> None:
        """Count an answer of a target."""
        target.failures = 0
        if target.probing:
            target.probing = False
            target.ejections = 0
            target.since = now

    def note_failure(self, target: OwnedTarget, now: float) -> bool:
        """Count a failure of a target.

        Parameters
        ----------
        target : OwnedTarget
            The target.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether it was ejected by this failure.
        """
        target.failures += 1
        if not target.probing and target.failures < FAILURES_TO_EJECT:
            return False
        target.ejections += 1
        pause = EJECTION_SECONDS * 2 ** (target.ejections - 1)
        target.ejected_until = now + min(pause, MAX_EJECTION_SECONDS)
        target.probing = True
        target.failures = 0
        return True

    def _pass_over_ejected(
        self, able: list[OwnedTarget], service: str, now: float
    ) -> list[OwnedTarget]:
        ejected = [target for target in able if now < target.ejected_until]
        if not ejected:
            return able
        known = sum(target.service == service for target in self.targets.values())
        if len(ejected) > known * MAX_EJECTED_SHARE:
            return able
        return [target for target in able if now >= target.ejected_until]
