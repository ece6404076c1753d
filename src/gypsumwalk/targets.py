"""Targets: their announcements, and the one daemon that owns each of them."""

from collections.abc import Sequence
from random import Random

import msgspec

from gypsumwalk.announcements import (
    AnnounceTarget,
    ForwardAnnouncement,
    ForwardLeave,
    HandOverTarget,
    LeaveTarget,
    TargetAccepted,
)
from gypsumwalk.claims import TargetClaim, TargetClaims
from gypsumwalk.effects import (
    Answer,
    Effect,
    Propose,
    Record,
    Respond,
    Scalar,
    SendPeer,
)
from gypsumwalk.endpoints import Audience, Endpoint
from gypsumwalk.events import Event
from gypsumwalk.fences import FenceDaemon, FenceSection
from gypsumwalk.inputs import (
    CallInput,
    Input,
    MemberChange,
    MembershipChanged,
    PeerInput,
    ProposalOutcome,
    ProposalStatus,
    ShutdownRequested,
)
from gypsumwalk.ownership import Ownership
from gypsumwalk.problems import Outcome, ProblemType, refuse
from gypsumwalk.settings import Settings
from gypsumwalk.slots import OwnedTarget, OwnedTargetTable
from gypsumwalk.views import KeyView, Member, MembershipView

__all__ = ["COMMANDS", "ENDPOINTS", "PEER_MESSAGES", "TargetPart"]

CLAIM_SECONDS = 0.5
FAR_CLAIM_SECONDS = 2.0
PROMPT_SECONDS = 0.02
"""Delay of the claims that follow a change, so that several changes go as one."""
PROPOSAL_SECONDS = 1.0
FORGET_SECONDS = 10.0
RETURN_SECONDS = 3.0
"""Time without a leaving announcement after which a target counts as returned."""
MAX_CLAIMS_IN_DATAGRAM = 12
MAX_TARGETS = 2048

PEER_MESSAGES = (TargetClaims, ForwardAnnouncement, ForwardLeave, HandOverTarget)
COMMANDS: tuple[type, ...] = (FenceDaemon,)
ENDPOINTS = (
    Endpoint("POST", "/v1/targets/announce", AnnounceTarget, Audience.TARGET),
    Endpoint("POST", "/v1/targets/leave", LeaveTarget, Audience.TARGET),
)


class TargetPart:
    """Announcements of targets, and their ownership by one daemon each.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon.
    membership : MembershipView
        View of the daemons.
    keys : KeyView
        Tells whether the view of the replicated state is fresh.
    fences : FenceSection
        Replicated fences.
    random : Random
        Source of the random choices.
    incarnation : int
        Incarnation of this daemon.
    """

    name = "targets"
    accepts: tuple[type, ...] = (
        AnnounceTarget,
        LeaveTarget,
        *PEER_MESSAGES,
        MembershipChanged,
        ShutdownRequested,
    )

    def __init__(
        self,
        *,
        settings: Settings,
        membership: MembershipView,
        keys: KeyView,
        fences: FenceSection,
        random: Random,
        incarnation: int,
    ) -> None:
        self.table = OwnedTargetTable(random)
        self.ownership = Ownership(
            name=settings.name,
            data_centre=settings.data_centre,
            incarnation=incarnation,
            membership=membership,
            keys=keys,
            fences=fences,
        )
        self._name = settings.name
        self._data_centre = settings.data_centre
        self._incarnation = incarnation
        self._membership = membership
        self._random = random
        self._leaving = False
        self._announced: dict[str, AnnounceTarget] = {}
        self._left_at: dict[str, tuple[int, float]] = {}
        self._epochs: dict[str, int] = {}
        self._given: dict[str, HandOverTarget] = {}
        self._occupied: dict[str, dict[str, float]] = {}
        self._own_fences = fences.count(settings.name)
        self._next_claims = 0.0
        self._next_far_claims = 0.0
        self._told_far = False
        self._proposed_at: dict[str, float] = {}

    @property
    def wakeup(self) -> float:
        """Time in seconds at which ``advance`` is due next."""
        return self._next_claims

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Take in one input."""
        self._observe(now)
        match item:
            case CallInput(call_id=call_id, body=AnnounceTarget() as body):
                return self._announce(call_id, body, now)
            case CallInput(call_id=call_id, body=LeaveTarget() as body):
                return self._leave(call_id, body, now)
            case PeerInput(body=ForwardAnnouncement() as body):
                return self._take_announcement(body.announcement, now, body.hops)
            case PeerInput(body=ForwardLeave(leave=leave)):
                return self._mark_leaving(leave.name, leave.incarnation, now)
            case PeerInput(source=source, body=TargetClaims() as body):
                return self._take_claims(source, body, now)
            case PeerInput(body=HandOverTarget() as body):
                return self._take_given(body, now)
            case ProposalOutcome(token=token, status=ProposalStatus.COMMITTED):
                self.ownership.note_fence(token.partition("/")[2], now)
                return []
            case MembershipChanged(daemon=daemon, change=MemberChange.LEFT):
                self.ownership.note_left(daemon)
                return []
            case ShutdownRequested():
                return self._give_all_up(now)
            case _:
                return []

    def advance(self, now: float) -> Sequence[Effect]:
        """Send claims, ask for fences and forget what is gone."""
        if now < self._next_claims:
            return []
        self._observe(now)
        self._next_claims = now + CLAIM_SECONDS
        self._forget_silent(now)
        return [
            *self._send_claims(now),
            *self._propose_fences(now),
            *self._repeat_given(),
        ]

    def choose(self, service: str, now: float) -> OwnedTarget | None:
        """Return a target of this daemon with a free slot, or None."""
        self._observe(now)
        if not self.ownership.may_use(now):
            return None
        return self.table.choose(service, now)

    def count_free(self, service: str, now: float) -> int:
        """Return the free slots that this daemon may use for a service."""
        self._observe(now)
        if not self.ownership.may_use(now):
            return 0
        return self.table.count_free(service, now)

    def release(self, target: str, holder: str) -> None:
        """Free the slot that a dispatch or reservation occupied."""
        owned = self.table.targets.get(target)
        if owned is not None:
            owned.busy.pop(holder, None)
        self._occupied.get(target, {}).pop(holder, None)

    def lose(self, target: str, holder: str, until: float) -> None:
        """Keep a slot occupied whose dispatch ended without an answer."""
        owned = self.table.targets.get(target)
        if owned is not None:
            owned.mark_lost(holder, until)

    @property
    def is_giving_up(self) -> bool:
        """Whether a target was given to a daemon that has not yet claimed it."""
        if not self._leaving:
            return False
        return any(self.ownership.prefer_other(name) for name in self._given)

    def has_targets(self, service: str, now: float) -> bool:
        """Tell whether this daemon owns a target of a service that serves."""
        return any(
            owned.service == service and owned.is_serving(now)
            for owned in self.table.targets.values()
        )

    def list_owners(self, service: str) -> list[Member]:
        """Return the live daemons that claim targets of a service, nearest first."""
        names = {
            item.owner
            for item in self.ownership.foreign.list_claims(service)
            if not item.claim.leaving
        }
        found = {name: self._membership.find(name) for name in names}
        able = [member for member in found.values() if member and member.alive]
        return sorted(
            able,
            key=lambda member: (member.data_centre != self._data_centre, member.name),
        )

    def _announce(self, call_id: int, body: AnnounceTarget, now: float) -> list[Effect]:
        if body.data_centre != self._data_centre:
            return self._pass_to_data_centre(call_id, body)
        effects = self._take_announcement(body, now, hops=1)
        return [*effects, Respond(call_id, self._accept(body.name))]

    def _accept(self, target: str) -> Answer:
        if target in self.table.targets:
            epoch = self.table.targets[target].epoch
            return Answer(200, TargetAccepted(self._name, epoch))
        claim = self.ownership.foreign.find(target)
        if claim is None:
            return Answer(200, TargetAccepted("", 0))
        return Answer(200, TargetAccepted(claim.owner, claim.claim.epoch))

    def _pass_to_data_centre(self, call_id: int, body: AnnounceTarget) -> list[Effect]:
        able = [
            member.name
            for member in self._membership.members()
            if member.alive and member.data_centre == body.data_centre
        ]
        if not able:
            detail = f"no daemon of data centre {body.data_centre} is reachable"
            answer = refuse(
                ProblemType.NO_TARGET, Outcome.NOT_RUN, detail, retry_after=1.0
            )
            return [Respond(call_id, answer)]
        forward = ForwardAnnouncement(body, hops=1)
        recipient = self._random.choice(able)
        answer = self._accept(body.name)
        return [
            SendPeer(recipient, forward, reliable=body.leaving),
            Respond(call_id, answer),
        ]

    def _take_announcement(
        self, body: AnnounceTarget, now: float, hops: int
    ) -> list[Effect]:
        known = self._announced.get(body.name)
        if known is not None and body.incarnation < known.incarnation:
            return []
        if len(self._announced) >= MAX_TARGETS and known is None:
            return []
        if body.name in self.table.targets:
            return self._refresh(body, now)
        if body.leaving:
            return self._mark_leaving(body.name, body.incarnation, now)
        holder = self.ownership.find_holder(body.name, now)
        owner = holder.owner if holder else self.ownership.prefer(body.name)
        if owner != self._name:
            return [SendPeer(owner, ForwardAnnouncement(body))] if hops else []
        if self._leaving:
            return []
        return self._take(body, now)

    def _take(
        self, body: AnnounceTarget, now: float, epoch: int | None = None
    ) -> list[Effect]:
        claim = self.ownership.foreign.find(body.name)
        last = max(self._epochs.get(body.name, 0), claim.claim.epoch if claim else 0)
        owned = OwnedTarget(
            name=body.name,
            service=body.service,
            address=body.address,
            incarnation=body.incarnation,
            epoch=epoch if epoch is not None else last + 1,
            slots=body.slots,
            connections=body.connections,
            slow_start_at=now,
            announced_at=now,
            claimed_at=now,
        )
        if claim is not None and epoch is None:
            owned.inherited_slots = claim.claim.busy
            owned.inherited_until = claim.heard_at + claim.claim.busy_seconds
        owned.busy.update(self._occupied.pop(body.name, {}))
        self._given.pop(body.name, None)
        self._announced[body.name] = body
        self._epochs[body.name] = owned.epoch
        self.table.targets[body.name] = owned
        self._confirm(now)
        self._hurry(now)
        attributes: dict[str, Scalar] = {"target": body.name, "epoch": owned.epoch}
        return [Record(Event.TARGET_TAKEN, body.name, attributes)]

    def _refresh(self, body: AnnounceTarget, now: float) -> list[Effect]:
        owned = self.table.targets[body.name]
        if body.incarnation < owned.incarnation:
            return []
        if body.leaving:
            return self._mark_leaving(body.name, body.incarnation, now)
        if body.incarnation > owned.incarnation:
            owned.reset_after_restart(body.incarnation, now)
        elif owned.leaving and not self._has_returned(owned, now):
            return []
        owned.leaving = False
        owned.announced_at = now
        owned.service = body.service
        owned.address = body.address
        owned.slots = body.slots
        owned.connections = body.connections
        self._announced[body.name] = body
        return []

    def _has_returned(self, owned: OwnedTarget, now: float) -> bool:
        left_at = self._left_at.get(owned.name, (0, now))[1]
        if now - left_at < RETURN_SECONDS:
            return False
        owned.slow_start_at = now
        return True

    def _leave(self, call_id: int, body: LeaveTarget, now: float) -> list[Effect]:
        effects = self._mark_leaving(body.name, body.incarnation, now)
        return [*effects, Respond(call_id, self._accept(body.name))]

    def _mark_leaving(self, target: str, incarnation: int, now: float) -> list[Effect]:
        owned = self.table.targets.get(target)
        if owned is None:
            holder = self.ownership.find_holder(target, now)
            if holder is None or holder.claim.leaving:
                return []
            leave = ForwardLeave(LeaveTarget(target, incarnation))
            return [SendPeer(holder.owner, leave, reliable=True)]
        if incarnation < owned.incarnation:
            return []
        self._left_at[target] = (incarnation, now)
        if owned.leaving:
            return []
        owned.leaving = True
        self._hurry(now)
        return [Record(Event.TARGET_LEAVING, target, {"target": target})]

    def _take_claims(self, source: str, body: TargetClaims, now: float) -> list[Effect]:
        known = {claim.name for claim in body.claims if self._is_new(source, claim)}
        if not self.ownership.take(source, body, now):
            return []
        if known and body.data_centre == self._data_centre:
            self._hurry(now)
        for claim in body.claims:
            self._epochs[claim.name] = max(self._epochs.get(claim.name, 0), claim.epoch)
            self._yield_target(source, claim)
        for name, count in body.occupied.items():
            if name in self.table.targets:
                self.table.targets[name].inherited_slots = count
        self._confirm(now)
        return []

    def _is_new(self, source: str, claim: TargetClaim) -> bool:
        known = self.ownership.foreign.find(claim.name)
        return known is None or known.owner != source

    def _yield_target(self, source: str, claim: TargetClaim) -> None:
        given = self._given.get(claim.name)
        if given is not None and claim.epoch > given.epoch:
            del self._given[claim.name]
        owned = self.table.targets.get(claim.name)
        if owned is None or owned.epoch > claim.epoch:
            return
        preferred = self.ownership.prefer(claim.name)
        if owned.epoch == claim.epoch and preferred == self._name:
            return
        self._drop(claim.name)

    def _drop(self, target: str) -> None:
        owned = self.table.targets.pop(target)
        if owned.busy:
            self._occupied[target] = owned.busy

    def _confirm(self, now: float) -> None:
        for owned in self.table.targets.values():
            if not owned.confirmed:
                owned.confirmed = self.ownership.is_confirmed(owned.claimed_at, now)

    def _observe(self, now: float) -> None:
        self.ownership.start(now)
        count = self.ownership.count_own_fences()
        if count == self._own_fences:
            return
        self._own_fences = count
        for target in list(self.table.targets):
            self._drop(target)

    def _hurry(self, now: float) -> None:
        self._next_claims = min(self._next_claims, now + PROMPT_SECONDS)
        self._next_far_claims = now

    def _send_claims(self, now: float) -> list[Effect]:
        mates = {mate.name for mate in self.ownership.list_mates()}
        message = self._make_claims(now, mates)
        large = len(message.claims) > MAX_CLAIMS_IN_DATAGRAM
        effects: list[Effect] = [
            SendPeer(mate, message, reliable=large) for mate in sorted(mates)
        ]
        return [*effects, *self._send_far_claims(message, mates, now)]

    def _send_far_claims(
        self, message: TargetClaims, mates: set[str], now: float
    ) -> list[Effect]:
        # Other data centres only send work here: they echo nothing, and need no news
        # of a daemon that has no targets.
        if now < self._next_far_claims:
            return []
        self._next_far_claims = now + FAR_CLAIM_SECONDS
        if not message.claims and not self._told_far:
            return []
        self._told_far = bool(message.claims)
        far = msgspec.structs.replace(message, heard={})
        large = len(far.claims) > MAX_CLAIMS_IN_DATAGRAM
        return [
            SendPeer(member.name, far, reliable=large)
            for member in self._membership.members()
            if member.name not in mates | {self._name}
        ]

    def _make_claims(self, now: float, mates: set[str]) -> TargetClaims:
        claims = tuple(_make_claim(owned, now) for owned in self.table.targets.values())
        return TargetClaims(
            incarnation=self._incarnation,
            sequence=self.ownership.contacts.stamp(now),
            data_centre=self._data_centre,
            heard=self.ownership.echo(mates - self._list_disputed()),
            claims=claims,
            occupied={name: len(busy) for name, busy in self._occupied.items()},
        )

    def _list_disputed(self) -> set[str]:
        found: set[str] = set()
        for target in self.table.targets:
            claim = self.ownership.foreign.find(target)
            if claim is not None:
                found.add(claim.owner)
        return found

    def _propose_fences(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for daemon in self.ownership.list_silent(now):
            last = self._proposed_at.get(daemon, float("-inf"))
            if now - last < PROPOSAL_SECONDS:
                continue
            self._proposed_at[daemon] = now
            effects.append(
                Propose(f"{self.name}/{daemon}", FenceDaemon(daemon), PROPOSAL_SECONDS)
            )
        return effects

    def _forget_silent(self, now: float) -> None:
        silent = [
            owned.name
            for owned in self.table.targets.values()
            if now - owned.announced_at > FORGET_SECONDS and not owned.busy
        ]
        for target in silent:
            del self.table.targets[target]
        held = set(self.table.targets) | set(self._given)
        self._announced = {
            name: item for name, item in self._announced.items() if name in held
        }
        for busy in self._occupied.values():
            for holder in [key for key, until in busy.items() if until <= now]:
                del busy[holder]
        for target in [name for name, busy in self._occupied.items() if not busy]:
            if target not in self._given and not self._leaving:
                del self._occupied[target]

    def _give_all_up(self, now: float) -> list[Effect]:
        self._leaving = True
        for target, owned in list(self.table.targets.items()):
            if self.ownership.prefer_other(target) is None:
                continue
            self._given[target] = HandOverTarget(
                announcement=self._announced[target],
                epoch=owned.epoch,
                busy=len(owned.busy),
                busy_seconds=owned.busy_seconds(now),
            )
            self._drop(target)
            self._occupied.setdefault(target, {})
        self._hurry(now)
        return self._repeat_given()

    def _repeat_given(self) -> list[Effect]:
        effects: list[Effect] = []
        for target, message in self._given.items():
            recipient = self.ownership.prefer_other(target)
            if recipient is None:
                continue
            effects.append(SendPeer(recipient, message, reliable=True))
        return effects

    def _take_given(self, body: HandOverTarget, now: float) -> list[Effect]:
        target = body.announcement.name
        epoch = body.epoch + 1
        if self._leaving or target in self.table.targets:
            return []
        if epoch <= self._epochs.get(target, 0):
            return []
        effects = self._take(body.announcement, now, epoch)
        owned = self.table.targets[target]
        owned.inherited_slots = body.busy
        owned.inherited_until = now + body.busy_seconds
        return effects


def _make_claim(owned: OwnedTarget, now: float) -> TargetClaim:
    free = owned.limit(now) - len(owned.busy) if owned.can_accept_work(now) else 0
    return TargetClaim(
        name=owned.name,
        incarnation=owned.incarnation,
        epoch=owned.epoch,
        service=owned.service,
        free=free,
        busy=len(owned.busy),
        busy_seconds=owned.busy_seconds(now),
        leaving=owned.leaving,
    )
