"""Announcements of targets, and the messages that forward them between daemons."""

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
    """Announcement of a target, repeated every ``ANNOUNCE_SECONDS``.

    Attributes
    ----------
    name : str
        Name of the target.
    incarnation : int
        Higher after every start of the target.
    data_centre : str
        Data centre of the target.
    service : str
        Service that the target runs.
    address : str
        ``host:port`` that it listens on.
    slots : int
        Maximum number of concurrent requests.
    connections : int
        Maximum number of concurrent connections.
    leaving : bool
        Whether the target is draining and accepts no new work.
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
    """Notice that a target is leaving and accepts no new work."""

    name: Name
    incarnation: Incarnation


class TargetAccepted(msgspec.Struct, frozen=True):
    """Answer to an announcement.

    Attributes
    ----------
    owner : str
        Daemon that owns the target, empty while unknown.
    epoch : int
        Epoch of the ownership, 0 while unknown.
    announce_seconds : float
        Interval in seconds at which the target should announce itself.
    """

    owner: str
    epoch: int
    announce_seconds: float = ANNOUNCE_SECONDS


class ForwardAnnouncement(msgspec.Struct, frozen=True, tag=True):
    """Forwards an announcement to the daemon that should own the target.

    Attributes
    ----------
    announcement : AnnounceTarget
        The announcement.
    hops : int
        Number of times that it may still be forwarded.
    """

    announcement: AnnounceTarget
    hops: int = 0


class ForwardLeave(msgspec.Struct, frozen=True, tag=True):
    """Forwards the notice that a target is leaving to the owner of the target."""

    leave: LeaveTarget


class HandOverTarget(msgspec.Struct, frozen=True, tag=True):
    """Hands the ownership of a target over to another daemon.

    Attributes
    ----------
    announcement : AnnounceTarget
        Last announcement of the target.
    epoch : int
        Epoch of the sender's ownership.
    busy : int
        Slots that the sender's requests still occupy.
    busy_seconds : float
        Seconds after which those requests must have ended.
    """

    announcement: AnnounceTarget
    epoch: int
    busy: int
    busy_seconds: float
