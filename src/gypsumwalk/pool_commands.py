"""Commands on instances and their pools."""

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
    """Take up the instances that the folder in force declares.

    Attributes
    ----------
    generation : int
        Generation of the folder that the proposer saw.
    """

    generation: int


class LoseInstance(msgspec.Struct, frozen=True, tag=True):
    """Count an instance as unavailable, as it can't be reached."""

    instance: str
    reason: str = "no heartbeat"


class RecoverInstance(msgspec.Struct, frozen=True, tag=True):
    """Let a lost instance that is heard again begin to dwell.

    Attributes
    ----------
    instance : str
        The instance.
    boots : int
        How often it has booted.
    """

    instance: str
    boots: int = 0


class SettleInstance(msgspec.Struct, frozen=True, tag=True):
    """Count an instance as available after it stayed healthy.

    Attributes
    ----------
    instance : str
        The instance.
    dwell_seconds : float
        Seconds that it has to have dwelt.
    boots : int
        How often it has booted.
    """

    instance: str
    dwell_seconds: float
    boots: int = 0


class QuarantineInstance(msgspec.Struct, frozen=True, tag=True):
    """Give an instance no work, as it fails what it starts."""

    instance: str
    reason: str
    silent: list[str] = []


class ReleaseInstance(msgspec.Struct, frozen=True, tag=True):
    """Let an instance leave quarantine, as a probe went well."""

    instance: str


class MoveInstance(msgspec.Struct, frozen=True, tag=True):
    """Drain an instance so that it may move to another pool.

    Attributes
    ----------
    instance : str
        The instance.
    source : str
        Pool that the proposer saw it in.
    destination : str
        Pool that it goes to; empty to retire an instance no longer declared.
    silent : list of str
        Instances that the proposer has not heard of lately.
    """

    instance: str
    source: str
    destination: str
    silent: list[str] = []


class ReassignInstance(msgspec.Struct, frozen=True, tag=True):
    """Give a drained instance to the pool that it was drained for."""

    instance: str


class CancelDrain(msgspec.Struct, frozen=True, tag=True):
    """Let an instance go back to work that was draining or drained."""

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
