"""Targets owned by one daemon: slots, load balancing and outlier ejection."""

from dataclasses import dataclass, field
from random import Random

__all__ = ["OwnedTarget", "OwnedTargetTable"]

ANNOUNCEMENT_TTL_SECONDS = 1.5
"""Age of the last announcement above which a target gets no new work."""
SLOW_START_SECONDS = 2.0
SLOW_START_MIN_SHARE = 0.25
FAILURES_TO_EJECT = 3
BASE_EJECTION_SECONDS = 2.0
MAX_EJECTION_SECONDS = 60.0
MAX_EJECTED_SHARE = 0.5
LOST_PREFIX = "lost/"


@dataclass(slots=True)
class OwnedTarget:
    """A target that this daemon owns.

    Attributes
    ----------
    name, service, address : str
        Name, service and address that the target announced.
    incarnation : int
        Incarnation of the target.
    epoch : int
        Epoch of the ownership.
    slots, connections : int
        Maximum numbers of concurrent requests and connections.
    slow_start_at : float
        Time in seconds at which the slow start began.
    announced_at : float
        Time in seconds of the last announcement.
    claimed_at : float
        Time in seconds at which this daemon claimed the target.
    confirmed : bool
        Whether all daemons concerned have echoed the claim.
    busy : dict of str to float
        Dispatches and reservations that occupy a slot, and the time in seconds by
        which each must have ended.
    inherited_slots : int
        Slots that a previous owner's requests may still occupy.
    inherited_until : float
        Time in seconds by which those requests must have ended.
    probing : bool
        Whether only one request at a time is admitted, to probe an ejected target.
    """

    name: str
    service: str
    address: str
    incarnation: int
    epoch: int
    slots: int
    connections: int
    slow_start_at: float
    announced_at: float
    claimed_at: float = 0.0
    confirmed: bool = False
    leaving: bool = False
    busy: dict[str, float] = field(default_factory=dict)
    inherited_slots: int = 0
    inherited_until: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    probing: bool = False

    def reset_after_restart(self, incarnation: int, now: float) -> None:
        """Reset the state after a restart of the target, and begin a slow start."""
        self.incarnation = incarnation
        self.slow_start_at = now
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.probing = False
        self.busy = {
            holder: until
            for holder, until in self.busy.items()
            if not holder.startswith(LOST_PREFIX)
        }

    def mark_lost(self, holder: str, until: float) -> None:
        """Keep the slot of a dispatch that ended without an answer occupied."""
        if self.busy.pop(holder, None) is not None:
            self.busy[LOST_PREFIX + holder] = until

    def free_expired_lost(self, now: float) -> None:
        """Free the slots of lost dispatches that must have ended by now."""
        for holder in [name for name in self.busy if name.startswith(LOST_PREFIX)]:
            if self.busy[holder] <= now:
                del self.busy[holder]

    def busy_seconds(self, now: float) -> float:
        """Return the seconds until all current dispatches must have ended."""
        if not self.busy:
            return 0.0
        return max(self.busy.values()) - now

    def limit(self, now: float) -> int:
        """Return the maximum number of concurrent dispatches to the target."""
        capacity = min(self.slots, self.connections)
        if now < self.inherited_until:
            capacity -= self.inherited_slots
        if self.probing:
            return min(capacity, 1)
        age = max(now - self.slow_start_at, 0.0) / SLOW_START_SECONDS
        if age >= 1.0:
            return capacity
        ramp = SLOW_START_MIN_SHARE + (1.0 - SLOW_START_MIN_SHARE) * age
        return min(capacity, max(1, int(capacity * ramp)))

    def load(self, now: float) -> float:
        """Return the occupied share of the slots, 1 when full."""
        limit = self.limit(now)
        return len(self.busy) / limit if limit > 0 else 1.0

    def is_serving(self, now: float) -> bool:
        """Tell whether the target runs requests, whether or not a slot is free."""
        if self.leaving or not self.confirmed:
            return False
        return now - self.announced_at <= ANNOUNCEMENT_TTL_SECONDS

    def can_accept_work(self, now: float) -> bool:
        """Tell whether the target is serving and has a free slot."""
        return self.is_serving(now) and len(self.busy) < self.limit(now)


class OwnedTargetTable:
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
        """Return the less loaded of two random targets with free slots.

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
        available = [
            target
            for target in self.targets.values()
            if target.service == service and target.can_accept_work(now)
        ]
        candidates = self._exclude_ejected(available, service, now)
        if not candidates:
            return None
        pair = self._random.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda target: target.load(now))

    def count_free(self, service: str, now: float) -> int:
        """Return the number of free slots of a service."""
        available = [
            target
            for target in self.targets.values()
            if target.service == service and target.can_accept_work(now)
        ]
        candidates = self._exclude_ejected(available, service, now)
        return sum(target.limit(now) - len(target.busy) for target in candidates)

    def record_success(self, target: OwnedTarget, now: float) -> None:
        """Record a successful answer, which ends probing with a slow start."""
        target.failures = 0
        if target.probing:
            target.probing = False
            target.ejections = 0
            target.slow_start_at = now

    def record_failure(self, target: OwnedTarget, now: float) -> bool:
        """Record a failure, and eject the target after too many in a row.

        Parameters
        ----------
        target : OwnedTarget
            The target.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether this failure ejected the target.
        """
        target.failures += 1
        if not target.probing and target.failures < FAILURES_TO_EJECT:
            return False
        target.ejections += 1
        seconds = BASE_EJECTION_SECONDS * 2 ** (target.ejections - 1)
        target.ejected_until = now + min(seconds, MAX_EJECTION_SECONDS)
        target.probing = True
        target.failures = 0
        return True

    def _exclude_ejected(
        self, available: list[OwnedTarget], service: str, now: float
    ) -> list[OwnedTarget]:
        ejected = [target for target in available if now < target.ejected_until]
        if not ejected:
            return available
        known = sum(target.service == service for target in self.targets.values())
        if len(ejected) > known * MAX_EJECTED_SHARE:
            return available
        return [target for target in available if now >= target.ejected_until]
