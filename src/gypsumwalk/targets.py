"""Announcements of targets, and the ownership of each target by one daemon."""

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

CLAIM_INTERVAL_SECONDS = 0.5
REMOTE_CLAIM_INTERVAL_SECONDS = 2.0
CLAIM_BATCH_DELAY_SECONDS = 0.02
"""Delay of claims after a change, which batches several changes in one message."""
FENCE_PROPOSAL_TIMEOUT_SECONDS = 1.0
ANNOUNCEMENT_TIMEOUT_SECONDS = 10.0
REJOIN_SECONDS = 3.0
"""Time since the last leaving announcement after which a target counts as back."""
MAX_CLAIMS_IN_DATAGRAM = 12
MAX_TARGETS = 2048

PEER_MESSAGES = (TargetClaims, ForwardAnnouncement, ForwardLeave, HandOverTarget)
COMMANDS: tuple[type, ...] = (FenceDaemon,)
ENDPOINTS = (
    Endpoint("POST", "/v1/targets/announce", AnnounceTarget, Audience.TARGET),
    Endpoint("POST", "/v1/targets/leave", LeaveTarget, Audience.TARGET),
)


class TargetPart:
    """Handles announcements of targets and owns a share of the targets.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon.
    membership : MembershipView
        View of the daemons.
    keys : KeyView
        Reports whether the view of the replicated state is fresh.
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
        self._handovers: dict[str, HandOverTarget] = {}
        self._occupied: dict[str, dict[str, float]] = {}
        self._own_fences = fences.count(settings.name)
        self._next_claims = 0.0
        self._next_remote_claims = 0.0
        self._has_remote_claims = False
        self._proposed_at: dict[str, float] = {}

    @property
    def wakeup(self) -> float:
        """Time in seconds at which ``advance`` is due next."""
        return self._next_claims

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Handle one input."""
        self._check_own_fences(now)
        match item:
            case CallInput(call_id=call_id, body=AnnounceTarget() as body):
                return self._announce(call_id, body, now)
            case CallInput(call_id=call_id, body=LeaveTarget() as body):
                return self._leave(call_id, body, now)
            case PeerInput(body=ForwardAnnouncement() as body):
                return self._process_announcement(body.announcement, now, body.hops)
            case PeerInput(body=ForwardLeave(leave=leave)):
                return self._mark_leaving(leave.name, leave.incarnation, now)
            case PeerInput(source=source, body=TargetClaims() as body):
                return self._merge_claims(source, body, now)
            case PeerInput(body=HandOverTarget() as body):
                return self._accept_handover(body, now)
            case ProposalOutcome(token=token, status=ProposalStatus.COMMITTED):
                self.ownership.record_fence(token.partition("/")[2], now)
                return []
            case MembershipChanged(daemon=daemon, change=MemberChange.LEFT):
                self.ownership.record_departure(daemon)
                return []
            case ShutdownRequested():
                return self._hand_over_all(now)
            case _:
                return []

    def advance(self, now: float) -> Sequence[Effect]:
        """Send claims, propose fences and drop targets that stopped announcing."""
        if now < self._next_claims:
            return []
        self._check_own_fences(now)
        self._next_claims = now + CLAIM_INTERVAL_SECONDS
        self._drop_silent_targets(now)
        return [
            *self._send_claims(now),
            *self._propose_fences(now),
            *self._resend_handovers(),
        ]

    def choose(self, service: str, now: float) -> OwnedTarget | None:
        """Return a target of this daemon with a free slot, or None."""
        self._check_own_fences(now)
        if not self.ownership.can_use_targets(now):
            return None
        return self.table.choose(service, now)

    def count_free(self, service: str, now: float) -> int:
        """Return the free slots that this daemon may use for a service."""
        self._check_own_fences(now)
        if not self.ownership.can_use_targets(now):
            return 0
        return self.table.count_free(service, now)

    def release(self, target: str, holder: str) -> None:
        """Free the slot that a dispatch or reservation occupied."""
        owned = self.table.targets.get(target)
        if owned is not None:
            owned.busy.pop(holder, None)
        self._occupied.get(target, {}).pop(holder, None)

    def mark_slot_lost(self, target: str, holder: str, until: float) -> None:
        """Keep the slot of an unanswered dispatch occupied until a time."""
        owned = self.table.targets.get(target)
        if owned is not None:
            owned.mark_lost(holder, until)

    @property
    def is_handing_over(self) -> bool:
        """Whether a target was handed over and its new owner has not yet claimed it."""
        if not self._leaving:
            return False
        return any(self.ownership.choose_successor(name) for name in self._handovers)

    def has_targets(self, service: str, now: float) -> bool:
        """Return whether this daemon owns a serving target of a service."""
        return any(
            owned.service == service and owned.is_serving(now)
            for owned in self.table.targets.values()
        )

    def list_owners(self, service: str) -> list[Member]:
        """Return the live daemons that claim targets of a service, nearest first."""
        names = {
            item.owner
            for item in self.ownership.peer_claims.list_claims(service)
            if not item.claim.leaving
        }
        found = {name: self._membership.find(name) for name in names}
        eligible = [member for member in found.values() if member and member.alive]
        return sorted(
            eligible,
            key=lambda member: (member.data_centre != self._data_centre, member.name),
        )

    def _announce(self, call_id: int, body: AnnounceTarget, now: float) -> list[Effect]:
        if body.data_centre != self._data_centre:
            return self._forward_to_data_centre(call_id, body)
        effects = self._process_announcement(body, now, hops=1)
        return [*effects, Respond(call_id, self._make_acceptance(body.name))]

    def _make_acceptance(self, target: str) -> Answer:
        if target in self.table.targets:
            epoch = self.table.targets[target].epoch
            return Answer(200, TargetAccepted(self._name, epoch))
        claim = self.ownership.peer_claims.find(target)
        if claim is None:
            return Answer(200, TargetAccepted("", 0))
        return Answer(200, TargetAccepted(claim.owner, claim.claim.epoch))

    def _forward_to_data_centre(
        self, call_id: int, body: AnnounceTarget
    ) -> list[Effect]:
        eligible = [
            member.name
            for member in self._membership.members()
            if member.alive and member.data_centre == body.data_centre
        ]
        if not eligible:
            detail = f"no daemon of data centre {body.data_centre} is reachable"
            answer = refuse(
                ProblemType.NO_TARGET, Outcome.NOT_RUN, detail, retry_after=1.0
            )
            return [Respond(call_id, answer)]
        forward = ForwardAnnouncement(body, hops=1)
        recipient = self._random.choice(eligible)
        answer = self._make_acceptance(body.name)
        return [
            SendPeer(recipient, forward, reliable=body.leaving),
            Respond(call_id, answer),
        ]

    def _process_announcement(
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
        owner = holder.owner if holder else self.ownership.choose_owner(body.name)
        if owner != self._name:
            return [SendPeer(owner, ForwardAnnouncement(body))] if hops else []
        if self._leaving:
            return []
        return self._take_ownership(body, now)

    def _take_ownership(
        self, body: AnnounceTarget, now: float, epoch: int | None = None
    ) -> list[Effect]:
        claim = self.ownership.peer_claims.find(body.name)
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
            owned.inherited_until = claim.received_at + claim.claim.busy_seconds
        owned.busy.update(self._occupied.pop(body.name, {}))
        self._handovers.pop(body.name, None)
        self._announced[body.name] = body
        self._epochs[body.name] = owned.epoch
        self.table.targets[body.name] = owned
        self._confirm(now)
        self._schedule_claims(now)
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
        if now - left_at < REJOIN_SECONDS:
            return False
        owned.slow_start_at = now
        return True

    def _leave(self, call_id: int, body: LeaveTarget, now: float) -> list[Effect]:
        effects = self._mark_leaving(body.name, body.incarnation, now)
        return [*effects, Respond(call_id, self._make_acceptance(body.name))]

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
        self._schedule_claims(now)
        return [Record(Event.TARGET_LEAVING, target, {"target": target})]

    def _merge_claims(
        self, source: str, body: TargetClaims, now: float
    ) -> list[Effect]:
        new = {claim.name for claim in body.claims if self._is_new(source, claim)}
        if not self.ownership.accept_claims(source, body, now):
            return []
        if new and body.data_centre == self._data_centre:
            self._schedule_claims(now)
        for claim in body.claims:
            self._epochs[claim.name] = max(self._epochs.get(claim.name, 0), claim.epoch)
            self._release_if_outranked(source, claim)
        for name, count in body.occupied.items():
            if name in self.table.targets:
                self.table.targets[name].inherited_slots = count
        self._confirm(now)
        return []

    def _is_new(self, source: str, claim: TargetClaim) -> bool:
        known = self.ownership.peer_claims.find(claim.name)
        return known is None or known.owner != source

    def _release_if_outranked(self, source: str, claim: TargetClaim) -> None:
        handover = self._handovers.get(claim.name)
        if handover is not None and claim.epoch > handover.epoch:
            del self._handovers[claim.name]
        owned = self.table.targets.get(claim.name)
        if owned is None or owned.epoch > claim.epoch:
            return
        preferred = self.ownership.choose_owner(claim.name)
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

    def _check_own_fences(self, now: float) -> None:
        """Drop all targets if this daemon was fenced since the last check."""
        self.ownership.start(now)
        count = self.ownership.count_own_fences()
        if count == self._own_fences:
            return
        self._own_fences = count
        for target in list(self.table.targets):
            self._drop(target)

    def _schedule_claims(self, now: float) -> None:
        self._next_claims = min(self._next_claims, now + CLAIM_BATCH_DELAY_SECONDS)
        self._next_remote_claims = now

    def _send_claims(self, now: float) -> list[Effect]:
        local_peers = {peer.name for peer in self.ownership.list_local_peers()}
        message = self._make_claims(now, local_peers)
        large = len(message.claims) > MAX_CLAIMS_IN_DATAGRAM
        effects: list[Effect] = [
            SendPeer(peer, message, reliable=large) for peer in sorted(local_peers)
        ]
        return [*effects, *self._send_remote_claims(message, local_peers, now)]

    def _send_remote_claims(
        self, message: TargetClaims, local_peers: set[str], now: float
    ) -> list[Effect]:
        # Daemons of other data centres only forward work: they send no echoes, and need
        # no claims of a daemon without targets, except one empty message after the
        # last target is gone.
        if now < self._next_remote_claims:
            return []
        self._next_remote_claims = now + REMOTE_CLAIM_INTERVAL_SECONDS
        if not message.claims and not self._has_remote_claims:
            return []
        self._has_remote_claims = bool(message.claims)
        far = msgspec.structs.replace(message, heard={})
        large = len(far.claims) > MAX_CLAIMS_IN_DATAGRAM
        return [
            SendPeer(member.name, far, reliable=large)
            for member in self._membership.members()
            if member.name not in local_peers | {self._name}
        ]

    def _make_claims(self, now: float, local_peers: set[str]) -> TargetClaims:
        claims = tuple(_make_claim(owned, now) for owned in self.table.targets.values())
        return TargetClaims(
            incarnation=self._incarnation,
            sequence=self.ownership.confirmations.assign_sequence(now),
            data_centre=self._data_centre,
            heard=self.ownership.make_echoes(
                local_peers - self._list_disputing_owners()
            ),
            claims=claims,
            occupied={name: len(busy) for name, busy in self._occupied.items()},
        )

    def _list_disputing_owners(self) -> set[str]:
        """Return the other daemons that claim a target which this daemon owns."""
        found: set[str] = set()
        for target in self.table.targets:
            claim = self.ownership.peer_claims.find(target)
            if claim is not None:
                found.add(claim.owner)
        return found

    def _propose_fences(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for daemon in self.ownership.list_fence_candidates(now):
            last = self._proposed_at.get(daemon, float("-inf"))
            if now - last < FENCE_PROPOSAL_TIMEOUT_SECONDS:
                continue
            self._proposed_at[daemon] = now
            effects.append(
                Propose(
                    f"{self.name}/{daemon}",
                    FenceDaemon(daemon),
                    FENCE_PROPOSAL_TIMEOUT_SECONDS,
                )
            )
        return effects

    def _drop_silent_targets(self, now: float) -> None:
        silent = [
            owned.name
            for owned in self.table.targets.values()
            if now - owned.announced_at > ANNOUNCEMENT_TIMEOUT_SECONDS
            and not owned.busy
        ]
        for target in silent:
            del self.table.targets[target]
        held = set(self.table.targets) | set(self._handovers)
        self._announced = {
            name: item for name, item in self._announced.items() if name in held
        }
        for busy in self._occupied.values():
            for holder in [key for key, until in busy.items() if until <= now]:
                del busy[holder]
        for target in [name for name, busy in self._occupied.items() if not busy]:
            if target not in self._handovers and not self._leaving:
                del self._occupied[target]

    def _hand_over_all(self, now: float) -> list[Effect]:
        self._leaving = True
        for target, owned in list(self.table.targets.items()):
            if self.ownership.choose_successor(target) is None:
                continue
            self._handovers[target] = HandOverTarget(
                announcement=self._announced[target],
                epoch=owned.epoch,
                busy=len(owned.busy),
                busy_seconds=owned.busy_seconds(now),
            )
            self._drop(target)
            self._occupied.setdefault(target, {})
        self._schedule_claims(now)
        return self._resend_handovers()

    def _resend_handovers(self) -> list[Effect]:
        effects: list[Effect] = []
        for target, message in self._handovers.items():
            recipient = self.ownership.choose_successor(target)
            if recipient is None:
                continue
            effects.append(SendPeer(recipient, message, reliable=True))
        return effects

    def _accept_handover(self, body: HandOverTarget, now: float) -> list[Effect]:
        target = body.announcement.name
        epoch = body.epoch + 1
        if self._leaving or target in self.table.targets:
            return []
        if epoch <= self._epochs.get(target, 0):
            return []
        effects = self._take_ownership(body.announcement, now, epoch)
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
