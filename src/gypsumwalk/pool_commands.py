"""Replicated commands on instances and their pools."""

import msgspec

__all__ = [
    "COMMANDS",
    "CancelDrain",
    "LoseInstance",
    "MoveInstance",
    "QuarantineInstance",
    "ReassignInstance",
    "ReconcileInstances",
    "RecoverInstance",
    "ReleaseInstance",
    "SettleInstance",
]


class ReconcileInstances(msgspec.Struct, frozen=True, tag=True):
    """Reconcile the instances with those declared by the folder in force.

    Attributes
    ----------
    generation : int
        Folder generation seen by the proposer.
    """

    generation: int


class LoseInstance(msgspec.Struct, frozen=True, tag=True):
    """Mark an unreachable instance as lost; it counts as unavailable."""

    instance: str
    reason: str = "no heartbeat"


class RecoverInstance(msgspec.Struct, frozen=True, tag=True):
    """Start the dwell time of a lost instance that sends heartbeats again.

    Attributes
    ----------
    instance : str
        The instance.
    boots : int
        Boot count of the instance.
    """

    instance: str
    boots: int = 0


class SettleInstance(msgspec.Struct, frozen=True, tag=True):
    """Mark an instance as available after it stayed healthy for its dwell time.

    Attributes
    ----------
    instance : str
        The instance.
    dwell_seconds : float
        Minimum time in seconds since the last change of state.
    boots : int
        Boot count of the instance.
    """

    instance: str
    dwell_seconds: float
    boots: int = 0


class QuarantineInstance(msgspec.Struct, frozen=True, tag=True):
    """Exclude an instance from placement because tasks keep failing on it."""

    instance: str
    reason: str
    silent: list[str] = []


class ReleaseInstance(msgspec.Struct, frozen=True, tag=True):
    """Release an instance from quarantine after a successful probe."""

    instance: str


class MoveInstance(msgspec.Struct, frozen=True, tag=True):
    """Drain an instance in order to move it to another pool.

    Attributes
    ----------
    instance : str
        The instance.
    source : str
        Pool of the instance as seen by the proposer.
    destination : str
        Pool to move to; empty to retire an instance that is no longer declared.
    silent : list of str
        Instances without a recent heartbeat at the proposer.
    """

    instance: str
    source: str
    destination: str
    silent: list[str] = []


class ReassignInstance(msgspec.Struct, frozen=True, tag=True):
    """Reassign a drained instance to the destination pool of its move."""

    instance: str


class CancelDrain(msgspec.Struct, frozen=True, tag=True):
    """Cancel the drain of an instance and return it to service."""

    instance: str
    reason: str


COMMANDS = (
    ReconcileInstances,
    LoseInstance,
    RecoverInstance,
    SettleInstance,
    QuarantineInstance,
    ReleaseInstance,
    MoveInstance,
    ReassignInstance,
    CancelDrain,
)
