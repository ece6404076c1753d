"""Claims of daemons to targets, and the echoes that confirm them."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

__all__ = ["ClaimBook", "Contacts", "Heard", "TargetClaim", "TargetClaims"]

MAX_SENT_KEPT = 16


class Heard(msgspec.Struct, frozen=True, array_like=True):
    """Newest claims message that a daemon has taken in from another."""

    incarnation: int
    sequence: int


class TargetClaim(msgspec.Struct, frozen=True, array_like=True):
    """The claim of a daemon to one target, and what it has free."""

    name: str
    incarnation: int
    epoch: int
    service: str
    free: int
    busy: int
    busy_seconds: float
    leaving: bool = False


class TargetClaims(msgspec.Struct, frozen=True, tag=True):
    """Every claim of one daemon.

    Attributes
    ----------
    incarnation : int
        Incarnation of the sender.
    sequence : int
        Number of the message within the incarnation.
    data_centre : str
        Data centre of the sender and of its targets.
    heard : dict of str to Heard
        Newest claims message taken in from each other daemon: the echo.
    claims : tuple of TargetClaim
        All targets that the sender owns.
    occupied : dict of str to int
        Slots that the sender's requests still occupy on targets handed over.
    """

    incarnation: int
    sequence: int
    data_centre: str
    heard: dict[str, Heard]
    claims: tuple[TargetClaim, ...]
    occupied: dict[str, int] = {}


class Contacts:
    """Which daemons have confirmed this daemon's claims, and as of when.

    Parameters
    ----------
    name : str
        Name of this daemon.
    incarnation : int
        Incarnation of this daemon.
    """

    def __init__(self, name: str, incarnation: int) -> None:
        self._name = name
        self._incarnation = incarnation
        self._sequence = 0
        self._sent: OrderedDict[int, float] = OrderedDict()
        self._confirmed: dict[str, float] = {}
        self.heard: dict[str, Heard] = {}
        self.heard_at: dict[str, float] = {}

    def stamp(self, now: float) -> int:
        """Return the number of the claims message that is sent now."""
        self._sequence += 1
        self._sent[self._sequence] = now
        if len(self._sent) > MAX_SENT_KEPT:
            self._sent.popitem(last=False)
        return self._sequence

    def take(self, source: str, message: TargetClaims, now: float) -> bool:
        """Take in a claims message.

        Parameters
        ----------
        source : str
            The sender.
        message : TargetClaims
            The message.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether it is newer than every one taken in before.
        """
        last = self.heard.get(source, Heard(-1, -1))
        found = Heard(message.incarnation, message.sequence)
        if (found.incarnation, found.sequence) <= (last.incarnation, last.sequence):
            return False
        self.heard[source] = found
        self.heard_at[source] = now
        self._note_echo(source, message.heard.get(self._name))
        return True

    def confirmed_as_of(self, daemon: str) -> float:
        """Return when the newest message was sent that a daemon has echoed."""
        return self._confirmed.get(daemon, float("-inf"))

    def silent_for(self, daemon: str, now: float) -> float:
        """Return the seconds since anything was heard of a daemon."""
        return now - self.heard_at.get(daemon, float("-inf"))

    def _note_echo(self, source: str, echo: Heard | None) -> None:
        if echo is None or echo.incarnation != self._incarnation:
            return
        sent = self._sent.get(echo.sequence)
        if sent is not None:
            self._confirmed[source] = max(sent, self.confirmed_as_of(source))


@dataclass(frozen=True, slots=True)
class ForeignClaim:
    """A claim of another daemon, as last heard."""

    owner: str
    data_centre: str
    claim: TargetClaim
    heard_at: float


class ClaimBook:
    """Claims of all other daemons, by target and by owner."""

    def __init__(self) -> None:
        self._by_target: dict[str, ForeignClaim] = {}

    def replace(self, owner: str, message: TargetClaims, now: float) -> None:
        """Put the claims of one daemon in place of its former ones."""
        self.drop(owner)
        for claim in message.claims:
            known = self._by_target.get(claim.name)
            if known is not None and known.claim.epoch > claim.epoch:
                continue
            foreign = ForeignClaim(owner, message.data_centre, claim, now)
            self._by_target[claim.name] = foreign

    def drop(self, owner: str) -> None:
        """Forget every claim of a daemon."""
        stale = [name for name, item in self._by_target.items() if item.owner == owner]
        for name in stale:
            del self._by_target[name]

    def find(self, target: str) -> ForeignClaim | None:
        """Return the claim to a target, or None."""
        return self._by_target.get(target)

    def list_claims(self, service: str) -> Iterable[ForeignClaim]:
        """Return the claims to the targets of a service."""
        return [
            item for item in self._by_target.values() if item.claim.service == service
        ]

    def owners(self) -> set[str]:
        """Return the daemons that claim any target."""
        return {item.owner for item in self._by_target.values()}
