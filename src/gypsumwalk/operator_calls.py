"""Operator calls on pools, instances and waves, and their answers."""

import msgspec

from gypsumwalk.endpoints import Audience, BodyKind, Endpoint
from gypsumwalk.reasons import Reason

__all__ = [
    "INSTANCE_ENDPOINTS",
    "WAVE_ENDPOINTS",
    "AbortWaveCall",
    "DescribeWave",
    "ExplainInstance",
    "ExplainWave",
    "Explanation",
    "InstanceList",
    "InstanceStatus",
    "ListInstances",
    "ListPools",
    "MoveInstanceCall",
    "PauseWaveCall",
    "PoolList",
    "PoolStatus",
    "StartWaveCall",
    "WaveStatus",
]


class StartWaveCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Start a run of a wave, or resume a paused run.

    Attributes
    ----------
    name : str
        The wave.
    run : int
        Number of the run, from 1; repeating a call with the same number is idempotent.
    """

    name: str
    run: int = 1


class PauseWaveCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Pause a run of a wave."""

    name: str
    run: int = 1


class AbortWaveCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Abort a run of a wave."""

    name: str
    run: int = 1


class DescribeWave(msgspec.Struct, frozen=True):
    """Return the status of a wave."""

    name: str


class ExplainWave(msgspec.Struct, frozen=True):
    """Return the reasons for the state of a wave."""

    name: str


class ListPools(msgspec.Struct, frozen=True):
    """Return the status of every pool."""


class ListInstances(msgspec.Struct, frozen=True):
    """Return the status of every instance."""


class ExplainInstance(msgspec.Struct, frozen=True):
    """Return the reasons for the state of an instance."""

    name: str


class MoveInstanceCall(msgspec.Struct, frozen=True):
    """Move an instance to another pool.

    Attributes
    ----------
    name : str
        The instance.
    destination : str
        Pool to move to.
    """

    name: str
    destination: str


class Explanation(msgspec.Struct, frozen=True):
    """Reasons for the state of a job, wave or instance.

    Attributes
    ----------
    subject : str
        Name of the job, wave or instance.
    state : str
        Current state.
    reasons : list of Reason
        Reasons, oldest first.
    """

    subject: str
    state: str
    reasons: list[Reason]


class WaveStatus(msgspec.Struct, frozen=True):
    """Status of a wave.

    Attributes
    ----------
    name : str
        The wave.
    run : int
        Number of its latest run, 0 before the first.
    state : str
        State of the run, or ``not started``.
    instances : int
        Number of instances in the run.
    done : int
        Number of finished instances.
    skipped : int
        Number of skipped instances.
    away : list of str
        Instances out of service now.
    elapsed_seconds : float
        Time in seconds since the start, up to the end of the run.
    lower_bound_seconds : float
        Minimum roll-out time in seconds of any plan within the budgets.
    estimated_seconds : float
        Estimated remaining time in seconds.
    """

    name: str
    run: int
    state: str
    instances: int
    done: int
    skipped: int
    away: list[str]
    elapsed_seconds: float
    lower_bound_seconds: float
    estimated_seconds: float


class PoolStatus(msgspec.Struct, frozen=True):
    """Status of a pool.

    Attributes
    ----------
    name : str
        The pool.
    instances : list of str
        Names of its instances.
    unavailable : int
        Number of unavailable instances, planned and unplanned.
    max_unavailable : int
        Availability budget: maximum number of unavailable instances.
    spare : bool
        Whether it is a spare pool, from which other pools take instances first.
    """

    name: str
    instances: list[str]
    unavailable: int
    max_unavailable: int
    spare: bool


class PoolList(msgspec.Struct, frozen=True):
    """Status of all pools."""

    pools: list[PoolStatus]


class InstanceStatus(msgspec.Struct, frozen=True):
    """Status of an instance.

    Attributes
    ----------
    name : str
        The instance.
    pool : str
        Pool of the instance.
    data_centre : str
        Data centre of the instance.
    rack : str
        Rack of the instance.
    state : str
        State in its life cycle.
    purpose : str
        Purpose of its drain, or empty.
    """

    name: str
    pool: str
    data_centre: str
    rack: str
    state: str
    purpose: str


class InstanceList(msgspec.Struct, frozen=True):
    """Status of all instances."""

    instances: list[InstanceStatus]


OPERATOR = Audience.OPERATOR
WAVE_ENDPOINTS = (
    Endpoint("POST", "/v1/waves/start", StartWaveCall, OPERATOR),
    Endpoint("POST", "/v1/waves/pause", PauseWaveCall, OPERATOR),
    Endpoint("POST", "/v1/waves/abort", AbortWaveCall, OPERATOR),
    Endpoint("GET", "/v1/waves/{name}", DescribeWave, OPERATOR, BodyKind.NONE),
    Endpoint("GET", "/v1/waves/{name}/why", ExplainWave, OPERATOR, BodyKind.NONE),
)
INSTANCE_ENDPOINTS = (
    Endpoint("GET", "/v1/pools", ListPools, OPERATOR, BodyKind.NONE),
    Endpoint("GET", "/v1/instances", ListInstances, OPERATOR, BodyKind.NONE),
    Endpoint(
        "GET", "/v1/instances/{name}/why", ExplainInstance, OPERATOR, BodyKind.NONE
    ),
    Endpoint("POST", "/v1/instances/{name}/move", MoveInstanceCall, OPERATOR),
)
