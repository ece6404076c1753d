"""Schema of a merged configuration folder."""

import msgspec

__all__ = [
    "Folder",
    "InstanceTable",
    "PoolTable",
    "QueueTable",
    "ServiceTable",
    "TeamTable",
    "WaveTable",
]


class TeamTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A team, ``[teams.NAME]``.

    Attributes
    ----------
    share : float
        Weight of the team in fair sharing when capacity is exhausted.
    limit : int
        Maximum number of requests and jobs that it may have running in the whole
        fleet.
    """

    share: float = 1.0
    limit: int


class ServiceTable(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """A service whose requests run on targets, ``[services.NAME]``.

    Attributes
    ----------
    pool : str
        Pool whose instances run the targets and jobs of the service.
    """

    pool: str


class QueueTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A queue that callers submit requests and jobs to, ``[queues.NAME]``.

    Attributes
    ----------
    service : str
        Service that runs the requests and jobs of the queue.
    open : bool
        Whether work is accepted without a key.
    teams : list of str
        Teams that may use the queue; empty for all teams.
    max_waiting : int
        Maximum number of requests that wait on one daemon.
    deadline_seconds : float
        Default deadline, in seconds, of requests that state none.
    """

    service: str
    open: bool = False
    teams: list[str] = []
    max_waiting: int = 1000
    deadline_seconds: float = 30.0


class PoolTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A pool of instances, ``[pools.NAME]``.

    Attributes
    ----------
    max_unavailable : int
        Availability budget: maximum number of its instances that may be unavailable
        at once, for planned and unplanned reasons together.
    spare : bool
        Whether other pools that need instances take them from this pool first.
    min_instances : int
        Minimum number of instances that moves to other pools leave in it.
    """

    max_unavailable: int
    spare: bool = False
    min_instances: int = 0


class InstanceTable(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """An instance that runs workers, ``[instances.NAME]``.

    Attributes
    ----------
    pool : str
        Initial pool of the instance; moves may change it later.
    data_centre : str
        Data centre of the instance.
    rack : str
        Rack of the instance.
    processors : float
        Number of processor cores.
    memory_gb : float
        Size of the memory in gigabytes.
    accelerators : int
        Number of accelerators.
    """

    pool: str
    data_centre: str
    rack: str
    processors: float
    memory_gb: float
    accelerators: int = 0


class WaveTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A maintenance wave, ``[waves.NAME]``.

    Attributes
    ----------
    pools : list of str
        Pools whose instances are drained and rebooted, each instance once.
    concurrency : int
        Maximum number of instances of the wave in maintenance at once.
    dwell_seconds : float
        Seconds that a rebooted instance must be healthy to count as available.
    drain_seconds : float
        Seconds that running work may continue before it is checkpointed and stopped.
    window_start_hour : float
        Start of the maintenance window, as hour of the day in UTC.
    window_hours : float
        Length of the maintenance window in hours; instances that are in maintenance at
        its end still complete it.
    """

    pools: list[str]
    concurrency: int = 1
    dwell_seconds: float = 60.0
    drain_seconds: float = 300.0
    window_start_hour: float = 0.0
    window_hours: float = 24.0


class Folder(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The complete configuration: tables of all files, merged in order of file name."""

    teams: dict[str, TeamTable] = {}
    services: dict[str, ServiceTable] = {}
    queues: dict[str, QueueTable] = {}
    pools: dict[str, PoolTable] = {}
    instances: dict[str, InstanceTable] = {}
    waves: dict[str, WaveTable] = {}
