"""Membership of daemons: discovery, gossip and failure detection."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

import msgspec

from gypsumwalk.effects import Effect, Raise, Record, SendPeer
from gypsumwalk.events import Event
from gypsumwalk.inputs import Input, PeerInput, ShutdownRequested
from gypsumwalk.member_table import (
    ENDED_STATUSES,
    MemberStatus,
    MemberTable,
    MemberUpdate,
)
from gypsumwalk.part import NEVER
from gypsumwalk.replication import OutdatedIncarnation
from gypsumwalk.settings import Settings
from gypsumwalk.views import Member

__all__ = ["PEER_MESSAGES", "MembershipPart"]

PROBE_INTERVAL_SECONDS = 1.0
DIRECT_PROBE_TIMEOUT_SECONDS = 0.4
INDIRECT_PROBE_TIMEOUT_SECONDS = 0.5
SUSPICION_TIMEOUT_SECONDS = 4.0
CORRELATED_SUSPICION_TIMEOUT_SECONDS = 30.0
MIN_CORRELATED_FRACTION = 0.34
MIN_CORRELATED_SUSPECTS = 3
INDIRECT_PEERS = 2
EXCHANGE_INTERVAL_SECONDS = 30.0
JOIN_RETRY_SECONDS = 1.0
ENDED_RETENTION_SECONDS = 600.0


class Probe(msgspec.Struct, frozen=True, tag=True):
    """Asks a daemon for an answer, which shows that it is alive.

    Attributes
    ----------
    number : int
        Number that the answer repeats.
    updates : list of MemberUpdate
        Latest states of some daemons, the sender's own first.
    on_behalf : str
        Daemon that requested the probe, empty if it is the sender.
    """

    number: int
    updates: list[MemberUpdate] = msgspec.field(name="news")
    on_behalf: str = ""


class ProbeAnswer(msgspec.Struct, frozen=True, tag=True):
    """Answer to a ``Probe``, sent directly or relayed by another daemon."""

    number: int
    updates: list[MemberUpdate] = msgspec.field(name="news")
    on_behalf: str = ""


class IndirectProbe(msgspec.Struct, frozen=True, tag=True):
    """Asks a daemon to probe a third one on behalf of the sender."""

    number: int
    target: str


class Exchange(msgspec.Struct, frozen=True, tag=True):
    """Full member table of a daemon; ``reply`` asks the recipient for its own."""

    updates: list[MemberUpdate] = msgspec.field(name="news")
    reply: bool


PEER_MESSAGES = (Probe, ProbeAnswer, IndirectProbe, Exchange)


@dataclass(slots=True)
class _PendingProbe:
    target: str
    incarnation: int
    number: int
    indirect_due: float
    failed_due: float
    is_indirect: bool = False


class MembershipPart:
    """View of all daemons, kept up by periodic probes and gossip.

    A daemon probes one other daemon in each interval, so the number of messages that
    it sends does not grow with the number of daemons.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon, including the peers to join first.
    random : Random
        Source of the order of probes.
    incarnation : int
        Incarnation of the daemon, higher after every start.
    """

    name = "membership"
    accepts: tuple[type, ...] = (*PEER_MESSAGES, ShutdownRequested)

    def __init__(self, *, settings: Settings, random: Random, incarnation: int) -> None:
        self._daemon = settings.name
        self._random = random
        self._incarnation = incarnation
        self._table = MemberTable()
        # No process numbers its probes like another one, whose answers may be late.
        self._last_probe_number = incarnation
        self._pending_probe: _PendingProbe | None = None
        self._probe_order: list[str] = []
        self._probe_due = 0.0
        self._exchange_due = 0.0
        self._suspected: dict[str, float] = {}
        self._ended: dict[str, float] = {}
        self._seeds = [
            peer.name for peer in settings.peers if peer.name != self._daemon
        ]
        for peer in settings.peers:
            self._table.merge(
                MemberUpdate(
                    peer.name,
                    peer.data_centre,
                    peer.address,
                    peer.peer_port,
                    0,
                    0,
                    MemberStatus.UNKNOWN,
                )
            )
        self._table.merge(
            MemberUpdate(
                settings.name,
                settings.data_centre,
                settings.address,
                settings.peer_port,
                incarnation,
                0,
                MemberStatus.ALIVE,
            )
        )

    @property
    def incarnation(self) -> int:
        """Incarnation of this daemon, higher after every start."""
        return self._incarnation

    @property
    def wakeup(self) -> float:
        """Time in seconds at which ``advance`` is due next."""
        times = [self._probe_due, self._exchange_due]
        if pending := self._pending_probe:
            due = pending.failed_due if pending.is_indirect else pending.indirect_due
            times.append(due)
        times.append(self._find_suspicion_deadline())
        return min(times)

    def members(self) -> Sequence[Member]:
        """Return every known daemon, ordered by name, this one included."""
        return self._table.list_members()

    def find(self, name: str) -> Member | None:
        """Return one daemon, or None."""
        for member in self._table.list_members():
            if member.name == name:
                return member
        return None

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Handle a message of a peer, or the request to shut down."""
        if isinstance(item, ShutdownRequested):
            return self._leave(now)
        if not isinstance(item, PeerInput):
            return []
        source = item.source
        match item.body:
            case Probe() as body:
                effects = self._merge_all(body.updates, now)
                updates = self._choose_updates(source)
                answer = ProbeAnswer(body.number, updates, body.on_behalf)
                return [*effects, SendPeer(source, answer)]
            case ProbeAnswer() as body:
                return self._handle_answer(source, body, now)
            case IndirectProbe(number=number, target=target):
                probe = Probe(number, self._choose_updates(target), source)
                return [SendPeer(target, probe)]
            case Exchange() as body:
                effects = self._merge_all(body.updates, now)
                if body.reply:
                    reply = Exchange(self._table.list_updates(), reply=False)
                    effects.append(SendPeer(source, reply, reliable=True))
                return effects
        return []

    def advance(self, now: float) -> Sequence[Effect]:
        """Send due probes and exchanges, and update the states of silent daemons."""
        effects = self._check_pending_probe(now)
        effects += self._declare_dead(now)
        if now >= self._probe_due:
            self._probe_due = now + PROBE_INTERVAL_SECONDS
            effects += self._begin_probe(now)
            self._remove_ended(now)
        if now >= self._exchange_due:
            effects += self._begin_exchange(now)
        return effects

    def _leave(self, now: float) -> list[Effect]:
        own = self._get_own_state()
        leaving = msgspec.structs.replace(own, status=MemberStatus.LEAVING)
        effects = self._merge(leaving, now)
        others = self._list_reachable()
        probe = Probe(0, [leaving])
        return effects + [SendPeer(name, probe) for name in others]

    def _begin_probe(self, now: float) -> list[Effect]:
        target = self._choose_target()
        if not target:
            return []
        self._last_probe_number += 1
        known = self._table.get(target)
        self._pending_probe = _PendingProbe(
            target,
            known.incarnation if known else 0,
            self._last_probe_number,
            now + DIRECT_PROBE_TIMEOUT_SECONDS,
            now + 2 * INDIRECT_PROBE_TIMEOUT_SECONDS,
        )
        return [
            SendPeer(
                target, Probe(self._last_probe_number, self._choose_updates(target))
            )
        ]

    def _choose_target(self) -> str:
        while self._probe_order:
            name = self._probe_order.pop()
            if self._is_probed(name):
                return name
        names = [update.name for update in self._table.list_updates()]
        self._probe_order = [name for name in names if self._is_probed(name)]
        self._random.shuffle(self._probe_order)
        return self._probe_order.pop() if self._probe_order else ""

    def _is_probed(self, name: str) -> bool:
        update = self._table.get(name)
        if update is None or name == self._daemon:
            return False
        return update.status not in ENDED_STATUSES or name in self._seeds

    def _check_pending_probe(self, now: float) -> list[Effect]:
        pending = self._pending_probe
        if pending is None:
            return []
        if pending.is_indirect:
            if now < pending.failed_due:
                return []
            self._pending_probe = None
            return self._suspect(pending, now)
        if now < pending.indirect_due:
            return []
        pending.is_indirect = True
        others = [name for name in self._list_reachable() if name != pending.target]
        chosen = self._random.sample(others, min(INDIRECT_PEERS, len(others)))
        request = IndirectProbe(pending.number, pending.target)
        return [SendPeer(name, request) for name in chosen]

    def _handle_answer(
        self, source: str, body: ProbeAnswer, now: float
    ) -> list[Effect]:
        effects = self._merge_all(body.updates, now)
        if body.on_behalf and body.on_behalf != self._daemon:
            relayed = ProbeAnswer(body.number, body.updates, body.on_behalf)
            return [*effects, SendPeer(body.on_behalf, relayed)]
        if self._pending_probe and self._pending_probe.number == body.number:
            self._pending_probe = None
        return effects

    def _suspect(self, probe: _PendingProbe, now: float) -> list[Effect]:
        update = self._table.get(probe.target)
        suspected = (MemberStatus.ALIVE, MemberStatus.LEAVING)
        if update is None or update.status not in suspected:
            return []
        if update.incarnation != probe.incarnation:
            return []
        status = MemberStatus.SUSPECT
        if update.status is MemberStatus.LEAVING:
            status = MemberStatus.LEFT
        return self._merge(msgspec.structs.replace(update, status=status), now)

    def _declare_dead(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        wait = self._find_suspicion_timeout()
        for name, since in list(self._suspected.items()):
            if now < since + wait:
                continue
            del self._suspected[name]
            if update := self._table.get(name):
                dead = msgspec.structs.replace(update, status=MemberStatus.DEAD)
                effects += self._merge(dead, now)
        return effects

    def _find_suspicion_deadline(self) -> float:
        if not self._suspected:
            return NEVER
        return min(self._suspected.values()) + self._find_suspicion_timeout()

    def _find_suspicion_timeout(self) -> float:
        """Return the suspicion timeout in seconds.

        It is longer while many daemons are suspected at once, as after a partition.
        """
        known = len(self._list_reachable()) + 1
        count = len(self._suspected)
        if (
            count >= MIN_CORRELATED_SUSPECTS
            and count >= MIN_CORRELATED_FRACTION * known
        ):
            return CORRELATED_SUSPICION_TIMEOUT_SECONDS
        return SUSPICION_TIMEOUT_SECONDS

    def _begin_exchange(self, now: float) -> list[Effect]:
        others = self._list_reachable()
        self._exchange_due = now + EXCHANGE_INTERVAL_SECONDS
        if not others:
            self._exchange_due = now + JOIN_RETRY_SECONDS
            others = self._seeds
        if not others:
            return []
        chosen = self._random.choice(others)
        body = Exchange(self._table.list_updates(), reply=True)
        return [SendPeer(chosen, body, reliable=True)]

    def _list_reachable(self) -> list[str]:
        members = self._table.list_members()
        return [
            member.name
            for member in members
            if member.alive and member.name != self._daemon
        ]

    def _remove_ended(self, now: float) -> None:
        for name, since in list(self._ended.items()):
            if now > since + ENDED_RETENTION_SECONDS and name not in self._seeds:
                del self._ended[name]
                self._table.forget(name)

    def _choose_updates(self, recipient: str) -> list[MemberUpdate]:
        chosen = [self._get_own_state(), *self._table.take_updates()]
        about = self._table.get(recipient)
        if about is not None and about.status > MemberStatus.ALIVE:
            chosen.append(about)
        return list(dict.fromkeys(chosen))

    def _get_own_state(self) -> MemberUpdate:
        update = self._table.get(self._daemon)
        assert update is not None
        return update

    def _merge_all(self, updates: list[MemberUpdate], now: float) -> list[Effect]:
        effects: list[Effect] = []
        for update in updates:
            effects += self._merge(update, now)
        return effects

    def _merge(self, update: MemberUpdate, now: float) -> list[Effect]:
        if update.name == self._daemon:
            return self._refute_update(update)
        change = self._table.merge(update)
        if change is None:
            return []
        self._suspected.pop(update.name, None)
        self._ended.pop(update.name, None)
        if update.status is MemberStatus.SUSPECT:
            self._suspected[update.name] = now
        if update.status in ENDED_STATUSES:
            self._ended[update.name] = now
        detail = {"change": change.change.value, "incarnation": change.incarnation}
        return [Record(Event.MEMBER_CHANGED, update.name, detail), Raise(change)]

    def _refute_update(self, update: MemberUpdate) -> list[Effect]:
        own = self._get_own_state()
        if update.incarnation > own.incarnation:
            # Others take it for the present life, and ignore what this one says.
            outdated = OutdatedIncarnation(update.incarnation)
            return [Raise(PeerInput(self._daemon, outdated))]
        if update.incarnation != own.incarnation or update.order <= own.order:
            return []
        status = own.status
        if update.status is MemberStatus.LEAVING:
            status = MemberStatus.LEAVING
        refuted = msgspec.structs.replace(
            own, refutation=update.refutation + 1, status=status
        )
        self._table.merge(refuted)
        return []
