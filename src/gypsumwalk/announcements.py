"""Messages about targets: announcements, and what daemons tell each other of them."""

from typing import Annotated

import msgspec

__all__ = [
    "ANNOUNCE_SECONDS",
    "AnnounceTarget",
    "ForwardAnnouncement",
    "ForwardLeave",
    "HandOverTarget",
    "LeaveTarget",
    "TargetAccepted",
]

ANNOUNCE_SECONDS = 0.5
MAX_SLOTS = 4096

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
Incarnation = Annotated[int, msgspec.Meta(ge=0)]


class AnnounceTarget(msgspec.Struct, frozen=True, tag=True):
    """A target announces itself; repeated every half second.

    Attributes
    ----------
    name : str
        Name of the target.
    incarnation : int
        Higher after every start of the target.
    data_centre : str
        Data centre that it stands in.
    service : str
        Service that it runs.
    address : str
        ``host:port`` that it listens on.
    slots : int
        Most requests that it runs at once.
    connections : int
        Most connections that it takes at once.
    leaving : bool
        Whether it takes no new work.
    """

    name: Name
    incarnation: Incarnation
    data_centre: Name
    service: Name
    address: Name
    slots: Slots
    connections: Slots
    leaving: bool = False


class LeaveTarget(msgspec.Struct, frozen=True, tag=True):
    """A target says that it is leaving and takes no new work."""

    name: Name
    incarnation: Incarnation


class TargetAccepted(msgspec.Struct, frozen=True):
    """Answer to an announcement.

    Attributes
    ----------
    owner : str
        Daemon that owns the target, as far as known.
    epoch : int
        Epoch of the ownership, 0 while unknown.
    announce_seconds : float
        Interval in seconds at which the target should announce itself.
    """

    owner: str
    epoch: int
    announce_seconds: float = ANNOUNCE_SECONDS


class ForwardAnnouncement(msgspec.Struct, frozen=True, tag=True):
    """Hands an announcement to the daemon that should own the target.

    Attributes
    ----------
    announcement : AnnounceTarget
        The announcement.
    hops : int
        Daemons that may still pass it on.
    """

    announcement: AnnounceTarget
    hops: int = 0


class ForwardLeave(msgspec.Struct, frozen=True, tag=True):
    """Hands the word that a target is leaving to its owner."""

    leave: LeaveTarget


class HandOverTarget(msgspec.Struct, frozen=True, tag=True):
    """Gives a target up to another daemon.

    Attributes
    ----------
    announcement : AnnounceTarget
        What the target announced last.
    epoch : int
        Epoch of the giver's ownership.
    busy : int
        Slots that the giver's requests still occupy.
    busy_seconds : float
        Seconds after which those must have ended.
    """

    announcement: AnnounceTarget
    epoch: int
    busy: int
    busy_seconds: float
