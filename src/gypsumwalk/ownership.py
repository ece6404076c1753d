"""Right of one daemon to use a target, and the takeover of targets by another."""

from hashlib import blake2b

from gypsumwalk.claims import ClaimBook, Contacts, ForeignClaim, Heard, TargetClaims
from gypsumwalk.fences import FenceSection
from gypsumwalk.views import KeyView, Member, MembershipView

__all__ = ["Ownership"]

CONFIRM_SECONDS = 1.5
"""Age of the newest echoed claim at which an owner stops using its targets."""
SILENCE_SECONDS = 2.5
"""Silence after which a daemon is proposed for a fence."""
FENCE_SECONDS = 4.0
"""Wait after a fence: longer than the bound on the freshness of replicated state."""


class Ownership:
    """Who may use and who may take over targets, as one daemon sees it.

    A daemon uses its targets while every other daemon of the data centre has echoed
    its claims within ``CONFIRM_SECONDS``, or while its view of the replicated state is
    fresh and holds no fence against it. Another daemon takes a target over only when
    the owner gave it up, or ``FENCE_SECONDS`` after the owner was fenced in the log.

    Parameters
    ----------
    name, data_centre : str
        This daemon and where it stands.
    incarnation : int
        Incarnation of this daemon.
    membership : MembershipView
        View of the daemons.
    keys : KeyView
        Tells whether the view of the replicated state is fresh.
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
        self.contacts = Contacts(name, incarnation)
        self.foreign = ClaimBook()
        self._name = name
        self._data_centre = data_centre
        self._membership = membership
        self._keys = keys
        self._fences = fences
        self._fenced_at: dict[str, float] = {}
        self._left: set[str] = set()
        self._started_at: float | None = None

    def start(self, now: float) -> None:
        """Note the time of the first input, before which nothing could be heard."""
        if self._started_at is None:
            self._started_at = now

    def list_mates(self) -> list[Member]:
        """Return the other daemons of the data centre that have not left."""
        return [
            member
            for member in self._membership.members()
            if member.data_centre == self._data_centre
            and member.name not in self._left | {self._name}
        ]

    def list_required(self, now: float) -> list[Member]:
        """Return the daemons whose echo this daemon's claims need."""
        return [
            mate for mate in self.list_mates() if not self.is_fenced(mate.name, now)
        ]

    def is_fenced(self, daemon: str, now: float) -> bool:
        """Tell whether a daemon has certainly stopped using its targets."""
        fenced_at = self._fenced_at.get(daemon)
        if fenced_at is None:
            return False
        if self.contacts.heard_at.get(daemon, float("-inf")) > fenced_at:
            return False
        return now - fenced_at >= FENCE_SECONDS

    def note_fence(self, daemon: str, now: float) -> None:
        """Note that a fence which this daemon asked for was committed."""
        self._fenced_at[daemon] = now

    def note_left(self, daemon: str) -> None:
        """Note that a daemon has left and uses no target any more."""
        self._left.add(daemon)
        self.foreign.drop(daemon)

    def is_fresh(self, now: float) -> bool:
        """Tell whether the view of the replicated state is fresh."""
        return self._keys.is_fresh(now)

    def is_confirmed(self, since: float, now: float) -> bool:
        """Tell whether every required daemon has echoed a claim sent since a time."""
        return all(
            self.contacts.confirmed_as_of(mate.name) >= since
            for mate in self.list_required(now)
        )

    def may_use(self, now: float) -> bool:
        """Tell whether confirmed targets may get work now."""
        return self.is_confirmed(now - CONFIRM_SECONDS, now) or self.is_fresh(now)

    def find_holder(self, target: str, now: float) -> ForeignClaim | None:
        """Return the claim of another daemon that still binds, or None."""
        claim = self.foreign.find(target)
        if claim is None:
            return None
        if self._membership.find(claim.owner) is None:
            return None
        return None if self.is_fenced(claim.owner, now) else claim

    def prefer(self, target: str) -> str:
        """Return the daemon of the data centre that should own a target."""
        able = [member.name for member in self._list_able()]
        return max(able, key=lambda daemon: _rank(daemon, target), default=self._name)

    def prefer_other(self, target: str) -> str | None:
        """Return the daemon to give a target to, or None where there is no other."""
        able = [member.name for member in self._list_able()]
        others = [daemon for daemon in able if daemon != self._name]
        return max(others, key=lambda daemon: _rank(daemon, target), default=None)

    def list_silent(self, now: float) -> list[str]:
        """Return the daemons of the data centre that a fence should be asked for."""
        return [
            mate.name
            for mate in self.list_mates()
            if not mate.alive
            and now - self._last_heard(mate.name) >= SILENCE_SECONDS
            and self._fenced_at.get(mate.name, float("-inf"))
            < self._last_heard(mate.name)
        ]

    def count_own_fences(self) -> int:
        """Return how often this daemon has been fenced."""
        return self._fences.count(self._name)

    def echo(self, mates: set[str]) -> dict[str, Heard]:
        """Return what has been heard of some daemons."""
        heard = self.contacts.heard
        return {name: item for name, item in heard.items() if name in mates}

    def take(self, source: str, message: TargetClaims, now: float) -> bool:
        """Take in the claims of another daemon; false if they are outdated."""
        if not self.contacts.take(source, message, now):
            return False
        self._left.discard(source)
        self.foreign.replace(source, message, now)
        return True

    def _list_able(self) -> list[Member]:
        return [
            member
            for member in self._membership.members()
            if member.data_centre == self._data_centre
            and member.alive
            and not member.leaving
        ]

    def _last_heard(self, daemon: str) -> float:
        started_at = self._started_at if self._started_at is not None else float("inf")
        return self.contacts.heard_at.get(daemon, started_at)


def _rank(daemon: str, target: str) -> bytes:
    return blake2b(f"{daemon}/{target}".encode(), digest_size=8).digest()
