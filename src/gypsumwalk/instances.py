"""Records of instances and their life cycle, defined by a state chart."""

from enum import StrEnum

import msgspec

from gypsumwalk.reasons import Reason
from gypsumwalk.statecharts import load_chart

__all__ = ["InstanceEvent", "InstanceRecord", "InstanceState", "find_next_state"]

INSTANCE_CHART = load_chart("instance")


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
    """Replicated record of one instance.

    Attributes
    ----------
    name : str
        Name of the instance.
    pool : str
        Pool of the instance; empty once retired.
    data_centre : str
        Data centre of the instance.
    rack : str
        Rack of the instance.
    processors : float
        Processors in cores.
    memory_gb : float
        Memory in gigabytes.
    accelerators : int
        Number of accelerators.
    state : InstanceState
        State in its life cycle.
    since : float
        Time in seconds at which it entered that state.
    purpose : str
        Purpose of its drain: ``wave/NAME``, ``move/POOL`` or ``retire``; else empty.
    boots : int
        Boot count when it last joined, rebooted or recovered from a loss.
    reboot_index : int
        Log index of a reboot that the platform may still carry out, 0 if none.
    reasons : list of Reason
        Reasons for the current state, oldest first.
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
    def is_available(self) -> bool:
        """Whether the instance serves work in its pool."""
        return self.state is InstanceState.ACTIVE

    @property
    def is_counted(self) -> bool:
        """Whether the instance counts towards its pool's capacity and losses."""
        return self.state not in (InstanceState.JOINING, InstanceState.RETIRED)


def find_next_state(state: InstanceState, event: InstanceEvent) -> InstanceState | None:
    """Return the state after an event, or None if the chart has no such transition.

    Parameters
    ----------
    state : InstanceState
        Current state.
    event : InstanceEvent
        The event.

    Returns
    -------
    InstanceState or None
        Next state.
    """
    after = INSTANCE_CHART.follow(state.value, event.value)
    return None if after is None else InstanceState(after)
