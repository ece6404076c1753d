"""Records of instances, and the life cycle that their state chart gives."""

from enum import StrEnum

import msgspec

from gypsumwalk.reasons import Reason
from gypsumwalk.statecharts import load_chart

__all__ = ["InstanceEvent", "InstanceRecord", "InstanceState", "follow"]


class InstanceState(StrEnum):
    """States of ``charts/instance.toml``."""

    JOINING = "joining"
    ACTIVE = "active"
    DRAINING = "draining"
    DRAINED = "drained"
    REBOOTING = "rebooting"
    DWELLING = "dwelling"
    QUARANTINED = "quarantined"
    LOST = "lost"
    RETIRED = "retired"


class InstanceEvent(StrEnum):
    """Events of ``charts/instance.toml``."""

    SETTLE = "settle"
    DRAIN = "drain"
    CONFIRM_EMPTY = "confirm_empty"
    REBOOT = "reboot"
    BOOT = "boot"
    REASSIGN = "reassign"
    CANCEL_DRAIN = "cancel_drain"
    LOSE = "lose"
    RECOVER = "recover"
    QUARANTINE = "quarantine"
    RELEASE = "release"
    RETIRE = "retire"
    READMIT = "readmit"


class InstanceRecord(msgspec.Struct):
    """What the replicated state keeps of one instance.

    Attributes
    ----------
    name : str
        Name of the instance.
    pool : str
        The one pool that it belongs to; empty once retired.
    data_centre : str
        Data centre that it stands in.
    rack : str
        Rack that it stands in.
    processors : float
        Processors in cores.
    memory_gb : float
        Memory in gigabytes.
    accelerators : int
        Accelerators.
    state : InstanceState
        Where it stands in its life cycle.
    since : float
        Time in seconds at which it came to that state.
    purpose : str
        What it is drained for: ``wave/NAME`` or ``move/POOL``.
    boots : int
        How often it had booted when it last joined, rebooted or was heard again.
    reboot_index : int
        Position in the log of a reboot that the platform may still carry out, 0 for
        none.
    reasons : list of Reason
        Why it is where it is.
    """

    name: str
    pool: str
    data_centre: str
    rack: str
    processors: float
    memory_gb: float
    accelerators: int
    state: InstanceState = InstanceState.JOINING
    since: float = 0.0
    purpose: str = ""
    boots: int = 0
    reboot_index: int = 0
    reasons: list[Reason] = []

    @property
    def available(self) -> bool:
        """Whether it carries work for its pool."""
        return self.state is InstanceState.ACTIVE

    @property
    def counted(self) -> bool:
        """Whether it is part of its pool's capacity, so that its loss counts."""
        return self.state not in (InstanceState.JOINING, InstanceState.RETIRED)


def follow(state: InstanceState, event: InstanceEvent) -> InstanceState | None:
    """Return the state that an event leads to, or None if it is refused.

    Parameters
    ----------
    state : InstanceState
        State before.
    event : InstanceEvent
        The event.

    Returns
    -------
    InstanceState or None
        State after.
    """
    after = load_chart("instance").follow(state.value, event.value)
    return None if after is None else InstanceState(after)
