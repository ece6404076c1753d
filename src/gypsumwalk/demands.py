"""Slots that a daemon asks the owners of other targets for."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from gypsumwalk.effects import Effect, SendPeer
from gypsumwalk.exchange import DemandSlots, Want
from gypsumwalk.queues import Line, ServiceQueue
from gypsumwalk.targets import TargetPart
from gypsumwalk.views import Member

__all__ = ["DemandPlanner"]

MIN_INTERVAL_SECONDS = 0.005
REFRESH_SECONDS = 0.5
SPILL_SECONDS = 0.1
"""Time that a service is short of slots before other data centres are asked."""
MAX_WANTED = 64
WANTED_WHEN_FULL = 4
"""Slots asked of an owner that has none free, as several may come free at once."""


@dataclass(slots=True)
class _Sent:
    wants: tuple[Want, ...]
    at: float


class DemandPlanner:
    """Decides which daemons to ask for slots, nearest first.

    Parameters
    ----------
    targets : TargetPart
        Claims of the other daemons.
    data_centre : str
        Data centre of this daemon.
    """

    def __init__(self, targets: TargetPart, data_centre: str) -> None:
        self._targets = targets
        self._data_centre = data_centre
        self._sequence = 0
        self._sent: dict[tuple[str, str], _Sent] = {}
        self._short_since: dict[str, float] = {}

    def note_grant(self, service: str, owner: str) -> None:
        """Note that a grant lowered the demand that an owner knows of."""
        self._sent.pop((service, owner), None)

    def plan(
        self,
        service: str,
        queue: ServiceQueue,
        blocked: Collection[str],
        now: float,
    ) -> list[Effect]:
        """Return the demands that have changed.

        Parameters
        ----------
        service : str
            The service.
        queue : ServiceQueue
            Its waiting requests.
        blocked : Collection[str]
            Teams that may start nothing now.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Messages to owners of targets.
        """
        counts = {
            line: count
            for line, count in queue.count_lines().items()
            if line.team not in blocked
        }
        if not counts:
            self._short_since.pop(service, None)
        else:
            self._short_since.setdefault(service, now)
        wants = self._divide(service, counts, now) if counts else {}
        asked = {owner for known, owner in self._sent if known == service}
        effects: list[Effect] = []
        for owner in sorted(asked | set(wants)):
            effects += self._send(service, owner, wants.get(owner, ()), now)
        return effects

    def _divide(
        self, service: str, counts: dict[Line, int], now: float
    ) -> dict[str, tuple[Want, ...]]:
        owners = self._select_owners(service, now)
        free = {owner.name: self._count_free(service, owner.name) for owner in owners}
        wants: dict[str, list[Want]] = {owner.name: [] for owner in owners}
        for line, count in counts.items():
            left = count
            for owner in owners:
                if left <= 0:
                    break
                asked = min(left, max(free[owner.name], WANTED_WHEN_FULL), MAX_WANTED)
                wants[owner.name].append(Want(line.team, line.urgent, asked))
                left -= min(asked, free[owner.name])
        return {owner: tuple(items) for owner, items in wants.items() if items}

    def _select_owners(self, service: str, now: float) -> list[Member]:
        owners = self._targets.list_owners(service)
        near = [owner for owner in owners if owner.data_centre == self._data_centre]
        short_for = now - self._short_since.get(service, now)
        if not near and not self._targets.has_targets(service, now):
            return owners
        if short_for < SPILL_SECONDS:
            return near
        far = [
            owner
            for owner in owners
            if owner.data_centre != self._data_centre
            and self._count_free(service, owner.name) > 0
        ]
        return near + far

    def _count_free(self, service: str, owner: str) -> int:
        claims: Iterable[int] = (
            item.claim.free
            for item in self._targets.ownership.foreign.list_claims(service)
            if item.owner == owner
        )
        return sum(claims)

    def _send(
        self, service: str, owner: str, wants: tuple[Want, ...], now: float
    ) -> list[Effect]:
        sent = self._sent.get((service, owner))
        if sent is not None:
            age = now - sent.at
            changed = wants != sent.wants
            due = age >= MIN_INTERVAL_SECONDS if changed else age >= REFRESH_SECONDS
            if not due:
                return []
        if not wants:
            self._sent.pop((service, owner), None)
        else:
            self._sent[(service, owner)] = _Sent(wants, now)
        self._sequence += 1
        return [SendPeer(owner, DemandSlots(service, self._sequence, wants))]
