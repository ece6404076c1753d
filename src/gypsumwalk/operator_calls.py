"""Calls of operators about pools, instances and waves, and their answers."""

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
    """Start a run of a wave, or resume it.

    Attributes
    ----------
    name : str
        The wave.
    run : int
        Number of the run, from 1; the same number again is answered as before.
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
    """Tell how a wave stands."""

    name: str


class ExplainWave(msgspec.Struct, frozen=True):
    """Tell why a wave stands so."""

    name: str


class ListPools(msgspec.Struct, frozen=True):
    """Tell how every pool stands."""


class ListInstances(msgspec.Struct, frozen=True):
    """Tell how every instance stands."""


class ExplainInstance(msgspec.Struct, frozen=True):
    """Tell why an instance stands so."""

    name: str


class MoveInstanceCall(msgspec.Struct, frozen=True):
    """Move an instance to another pool.

    Attributes
    ----------
    name : str
        The instance.
    destination : str
        The pool.
    """

    name: str
    destination: str


class Explanation(msgspec.Struct, frozen=True):
    """Reasons of a decision.

    Attributes
    ----------
    subject : str
        The job, wave or instance.
    state : str
        Where it stands.
    reasons : list of Reason
        Why, oldest first.
    """

    subject: str
    state: str
    reasons: list[Reason]


class WaveStatus(msgspec.Struct, frozen=True):
    """How a wave stands.

    Attributes
    ----------
    name : str
        The wave.
    run : int
        Number of its latest run, 0 before the first.
    state : str
        Where it stands.
    instances : int
        Instances in the run.
    done : int
        Instances finished.
    skipped : int
        Instances left out.
    away : list of str
        Instances away now.
    elapsed_seconds : float
        Seconds since it started, up to its end.
    lower_bound_seconds : float
        Seconds that no plan within the budgets can stay under.
    estimated_seconds : float
        Seconds that it is expected to take from now on.
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
    """How a pool stands.

    Attributes
    ----------
    name : str
        The pool.
    instances : list of str
        Its instances.
    unavailable : int
        Instances that carry no work, planned and unplanned loss together.
    max_unavailable : int
        Its availability budget.
    spare : bool
        Whether other pools take instances from it first.
    """

    name: str
    instances: list[str]
    unavailable: int
    max_unavailable: int
    spare: bool


class PoolList(msgspec.Struct, frozen=True):
    """Every pool."""

    pools: list[PoolStatus]


class InstanceStatus(msgspec.Struct, frozen=True):
    """How an instance stands.

    Attributes
    ----------
    name : str
        The instance.
    pool : str
        The one pool that it belongs to.
    data_centre : str
        Data centre that it stands in.
    rack : str
        Rack that it stands in.
    state : str
        Where it stands in its life cycle.
    purpose : str
        What it is drained for, or empty.
    """

    name: str
    pool: str
    data_centre: str
    rack: str
    state: str
    purpose: str


class InstanceList(msgspec.Struct, frozen=True):
    """Every instance."""

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
