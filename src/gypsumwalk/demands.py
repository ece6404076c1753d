"""Demands for slots of targets that other daemons own."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from gypsumwalk.effects import Effect, SendPeer
from gypsumwalk.queues import Flow, ServiceQueue
from gypsumwalk.request_messages import DemandSlots, SlotDemand
from gypsumwalk.targets import TargetPart
from gypsumwalk.views import Member

__all__ = ["DemandPlanner"]

MIN_INTERVAL_SECONDS = 0.005
REFRESH_SECONDS = 0.5
SPILLOVER_DELAY_SECONDS = 0.1
"""Time for which requests must wait before other data centres are asked for slots."""
MAX_SLOTS_PER_DEMAND = 64
MIN_SLOTS_PER_DEMAND = 4
"""Slots asked of an owner without free ones, as several may become free at once."""


@dataclass(slots=True)
class _Sent:
    wants: tuple[SlotDemand, ...]
    sent_at: float


class DemandPlanner:
    """Decides which daemons to ask for slots, nearest first.

    Parameters
    ----------
    targets : TargetPart
        Targets of this daemon, and other daemons' claims.
    data_centre : str
        Data centre of this daemon.
    """

    def __init__(self, targets: TargetPart, data_centre: str) -> None:
        self._targets = targets
        self._data_centre = data_centre
        self._sequence = 0
        self._sent: dict[tuple[str, str], _Sent] = {}
        self._short_since: dict[str, float] = {}

    def invalidate(self, service: str, owner: str) -> None:
        """Mark the demand sent to an owner as outdated, as a grant has reduced it."""
        self._sent.pop((service, owner), None)

    def plan(
        self,
        service: str,
        queue: ServiceQueue,
        blocked: Collection[str],
        now: float,
    ) -> list[Effect]:
        """Return the demands that have changed or need a refresh.

        Parameters
        ----------
        service : str
            The service.
        queue : ServiceQueue
            Its waiting requests.
        blocked : Collection[str]
            Teams without a free unit of their quota.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Messages to owners of targets.
        """
        counts = {
            flow: count
            for flow, count in queue.count_by_flow().items()
            if flow.team not in blocked
        }
        if not counts:
            self._short_since.pop(service, None)
        else:
            self._short_since.setdefault(service, now)
        wants = self._split_demand(service, counts, now) if counts else {}
        asked = {owner for known, owner in self._sent if known == service}
        effects: list[Effect] = []
        for owner in sorted(asked | set(wants)):
            effects += self._send_if_due(service, owner, wants.get(owner, ()), now)
        return effects

    def _split_demand(
        self, service: str, counts: dict[Flow, int], now: float
    ) -> dict[str, tuple[SlotDemand, ...]]:
        owners = self._select_owners(service, now)
        free = {owner.name: self._count_free(service, owner.name) for owner in owners}
        wants: dict[str, list[SlotDemand]] = {owner.name: [] for owner in owners}
        for flow, count in counts.items():
            left = count
            for owner in owners:
                if left <= 0:
                    break
                asked = min(
                    left,
                    max(free[owner.name], MIN_SLOTS_PER_DEMAND),
                    MAX_SLOTS_PER_DEMAND,
                )
                wants[owner.name].append(SlotDemand(flow.team, flow.urgent, asked))
                left -= min(asked, free[owner.name])
        return {owner: tuple(items) for owner, items in wants.items() if items}

    def _select_owners(self, service: str, now: float) -> list[Member]:
        owners = self._targets.list_owners(service)
        near = [owner for owner in owners if owner.data_centre == self._data_centre]
        short_for = now - self._short_since.get(service, now)
        if not near and not self._targets.has_targets(service, now):
            return owners
        if short_for < SPILLOVER_DELAY_SECONDS:
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
            for item in self._targets.ownership.peer_claims.list_claims(service)
            if item.owner == owner
        )
        return sum(claims)

    def _send_if_due(
        self, service: str, owner: str, wants: tuple[SlotDemand, ...], now: float
    ) -> list[Effect]:
        sent = self._sent.get((service, owner))
        if sent is not None:
            age = now - sent.sent_at
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
