"""Rules on which daemon may use a target and which may take it over."""

from hashlib import blake2b

from gypsumwalk.claims import (
    ClaimConfirmations,
    ClaimTable,
    Echo,
    PeerClaim,
    TargetClaims,
)
from gypsumwalk.fences import FenceSection
from gypsumwalk.views import KeyView, Member, MembershipView

__all__ = ["Ownership"]

CONFIRMATION_TIMEOUT_SECONDS = 1.5
"""Age of the newest echoed claims message at which an owner stops using its targets."""
SILENCE_TIMEOUT_SECONDS = 2.5
"""Time without claims from an unreachable daemon after which a fence is proposed."""
FENCE_WAIT_SECONDS = 4.0
"""Wait between a fence and the takeover of the fenced daemon's targets.

Longer than a fenced daemon may take its stale view of the replicated state as fresh.
"""


class Ownership:
    """Decides, from the view of one daemon, who may use and take over targets.

    A daemon uses its targets while every other daemon of the data centre has echoed
    its claims within ``CONFIRMATION_TIMEOUT_SECONDS``, or while its view of the
    replicated state is fresh and holds no fence against it. Another daemon takes a
    target over only when the owner handed it over, or ``FENCE_WAIT_SECONDS`` after a
    fence of the owner was committed to the replicated log.

    Parameters
    ----------
    name, data_centre : str
        Name of this daemon, and its data centre.
    incarnation : int
        Incarnation of this daemon.
    membership : MembershipView
        View of the daemons.
    keys : KeyView
        Reports whether the view of the replicated state is fresh.
    fences : FenceSection
        Replicated fences.
    """

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        incarnation: int,
        membership: MembershipView,
        keys: KeyView,
        fences: FenceSection,
    ) -> None:
        self.confirmations = ClaimConfirmations(name, incarnation)
        self.peer_claims = ClaimTable()
        self._name = name
        self._data_centre = data_centre
        self._membership = membership
        self._keys = keys
        self._fences = fences
        self._fenced_at: dict[str, float] = {}
        self._departed: set[str] = set()
        self._started_at: float | None = None

    def start(self, now: float) -> None:
        """Set the start time, the initial reference for the silence of daemons."""
        if self._started_at is None:
            self._started_at = now

    def list_local_peers(self) -> list[Member]:
        """Return the other daemons of the data centre that have not left."""
        return [
            member
            for member in self._membership.members()
            if member.data_centre == self._data_centre
            and member.name not in self._departed | {self._name}
        ]

    def list_required_peers(self, now: float) -> list[Member]:
        """Return the daemons that have to echo this daemon's claims."""
        return [
            peer
            for peer in self.list_local_peers()
            if not self.is_fenced(peer.name, now)
        ]

    def is_fenced(self, daemon: str, now: float) -> bool:
        """Return whether a fenced daemon must have stopped using its targets."""
        fenced_at = self._fenced_at.get(daemon)
        if fenced_at is None:
            return False
        if self.confirmations.received_at.get(daemon, float("-inf")) > fenced_at:
            return False
        return now - fenced_at >= FENCE_WAIT_SECONDS

    def record_fence(self, daemon: str, now: float) -> None:
        """Record that a fence which this daemon proposed was committed."""
        self._fenced_at[daemon] = now

    def record_departure(self, daemon: str) -> None:
        """Record that a daemon has left, and drop its claims."""
        self._departed.add(daemon)
        self.peer_claims.drop(daemon)

    def is_fresh(self, now: float) -> bool:
        """Return whether the view of the replicated state is fresh."""
        return self._keys.is_fresh(now)

    def is_confirmed(self, since: float, now: float) -> bool:
        """Return whether every required daemon echoed claims sent since a time."""
        return all(
            self.confirmations.find_confirmed_time(peer.name) >= since
            for peer in self.list_required_peers(now)
        )

    def can_use_targets(self, now: float) -> bool:
        """Return whether confirmed targets may be given work."""
        return self.is_confirmed(
            now - CONFIRMATION_TIMEOUT_SECONDS, now
        ) or self.is_fresh(now)

    def find_holder(self, target: str, now: float) -> PeerClaim | None:
        """Return the claim of another daemon that is still valid, or None."""
        claim = self.peer_claims.find(target)
        if claim is None:
            return None
        if self._membership.find(claim.owner) is None:
            return None
        return None if self.is_fenced(claim.owner, now) else claim

    def choose_owner(self, target: str) -> str:
        """Return the daemon that should own a target, by rendezvous hashing."""
        eligible = [member.name for member in self._list_eligible()]
        return max(
            eligible,
            key=lambda daemon: _hash_weight(daemon, target),
            default=self._name,
        )

    def choose_successor(self, target: str) -> str | None:
        """Return the daemon to hand a target over to, or None if there is no other."""
        eligible = [member.name for member in self._list_eligible()]
        others = [daemon for daemon in eligible if daemon != self._name]
        return max(
            others, key=lambda daemon: _hash_weight(daemon, target), default=None
        )

    def list_fence_candidates(self, now: float) -> list[str]:
        """Return the silent daemons of the data centre for which to propose a fence."""
        return [
            peer.name
            for peer in self.list_local_peers()
            if not peer.alive
            and now - self._find_last_contact(peer.name) >= SILENCE_TIMEOUT_SECONDS
            and self._fenced_at.get(peer.name, float("-inf"))
            < self._find_last_contact(peer.name)
        ]

    def count_own_fences(self) -> int:
        """Return how often this daemon has been fenced."""
        return self._fences.count(self._name)

    def make_echoes(self, daemons: set[str]) -> dict[str, Echo]:
        """Return the newest claims message received from each of some daemons."""
        received = self.confirmations.received
        return {name: echo for name, echo in received.items() if name in daemons}

    def accept_claims(self, source: str, message: TargetClaims, now: float) -> bool:
        """Store the claims of another daemon, and return False if they are outdated."""
        if not self.confirmations.accept(source, message, now):
            return False
        self._departed.discard(source)
        self.peer_claims.replace(source, message, now)
        return True

    def _list_eligible(self) -> list[Member]:
        return [
            member
            for member in self._membership.members()
            if member.data_centre == self._data_centre
            and member.alive
            and not member.leaving
        ]

    def _find_last_contact(self, daemon: str) -> float:
        started_at = self._started_at if self._started_at is not None else float("inf")
        return self.confirmations.received_at.get(daemon, started_at)


def _hash_weight(daemon: str, target: str) -> bytes:
    """Return the weight of a daemon in the rendezvous hashing of a target."""
    return blake2b(f"{daemon}/{target}".encode(), digest_size=8).digest()
