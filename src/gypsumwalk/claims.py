"""Claims of daemons to targets, and the echoes that confirm them."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

__all__ = [
    "ClaimConfirmations",
    "ClaimTable",
    "Echo",
    "TargetClaim",
    "TargetClaims",
]

MAX_TRACKED_MESSAGES = 16


class Echo(msgspec.Struct, frozen=True, array_like=True):
    """Newest claims message that a daemon has received from another."""

    incarnation: int
    sequence: int


class TargetClaim(msgspec.Struct, frozen=True, array_like=True):
    """Claim of a daemon to one target, with the target's free and busy slots."""

    name: str
    incarnation: int
    epoch: int
    service: str
    free: int
    busy: int
    busy_seconds: float
    leaving: bool = False


class TargetClaims(msgspec.Struct, frozen=True, tag=True):
    """Message with all claims of one daemon.

    Attributes
    ----------
    incarnation : int
        Incarnation of the sender.
    sequence : int
        Number of the message within the incarnation.
    data_centre : str
        Data centre of the sender and of its targets.
    heard : dict of str to Echo
        Newest claims message received from each other daemon, which confirms to that
        daemon that its claims arrived.
    claims : tuple of TargetClaim
        All targets that the sender owns.
    occupied : dict of str to int
        Slots that the sender's requests still occupy on targets handed over.
    """

    incarnation: int
    sequence: int
    data_centre: str
    heard: dict[str, Echo]
    claims: tuple[TargetClaim, ...]
    occupied: dict[str, int] = {}


class ClaimConfirmations:
    """Tracks which daemons have echoed this daemon's claims, and when those were sent.

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
        self.received: dict[str, Echo] = {}
        self.received_at: dict[str, float] = {}

    def assign_sequence(self, now: float) -> int:
        """Return the sequence number for a claims message that is sent now."""
        self._sequence += 1
        self._sent[self._sequence] = now
        if len(self._sent) > MAX_TRACKED_MESSAGES:
            self._sent.popitem(last=False)
        return self._sequence

    def accept(self, source: str, message: TargetClaims, now: float) -> bool:
        """Record the receipt of a claims message, and the echo in it.

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
            Whether it is newer than all messages received from the sender before.
        """
        last = self.received.get(source, Echo(-1, -1))
        found = Echo(message.incarnation, message.sequence)
        if (found.incarnation, found.sequence) <= (last.incarnation, last.sequence):
            return False
        self.received[source] = found
        self.received_at[source] = now
        self._record_echo(source, message.heard.get(self._name))
        return True

    def find_confirmed_time(self, daemon: str) -> float:
        """Return the send time in seconds of the newest message echoed by a daemon."""
        return self._confirmed.get(daemon, float("-inf"))

    def measure_silence(self, daemon: str, now: float) -> float:
        """Return the seconds since the last claims message of a daemon."""
        return now - self.received_at.get(daemon, float("-inf"))

    def _record_echo(self, source: str, echo: Echo | None) -> None:
        if echo is None or echo.incarnation != self._incarnation:
            return
        sent = self._sent.get(echo.sequence)
        if sent is not None:
            self._confirmed[source] = max(sent, self.find_confirmed_time(source))


@dataclass(frozen=True, slots=True)
class PeerClaim:
    """Claim of another daemon, as last received."""

    owner: str
    data_centre: str
    claim: TargetClaim
    received_at: float


class ClaimTable:
    """Claims of all other daemons, by target and by owner."""

    def __init__(self) -> None:
        self._by_target: dict[str, PeerClaim] = {}

    def replace(self, owner: str, message: TargetClaims, now: float) -> None:
        """Replace all claims of one daemon."""
        self.drop(owner)
        for claim in message.claims:
            known = self._by_target.get(claim.name)
            if known is not None and known.claim.epoch > claim.epoch:
                continue
            peer_claim = PeerClaim(owner, message.data_centre, claim, now)
            self._by_target[claim.name] = peer_claim

    def drop(self, owner: str) -> None:
        """Remove every claim of a daemon."""
        stale = [name for name, item in self._by_target.items() if item.owner == owner]
        for name in stale:
            del self._by_target[name]

    def find(self, target: str) -> PeerClaim | None:
        """Return the claim to a target, or None."""
        return self._by_target.get(target)

    def list_claims(self, service: str) -> Iterable[PeerClaim]:
        """Return the claims to the targets of a service."""
        return [
            item for item in self._by_target.values() if item.claim.service == service
        ]

    def list_owners(self) -> set[str]:
        """Return the daemons that claim any target."""
        return {item.owner for item in self._by_target.values()}
