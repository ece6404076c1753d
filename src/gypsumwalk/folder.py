"""Models of the tables that a configuration folder holds once merged."""

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
        Weight of the team when all is full.
    limit : int
        Most requests and jobs that it may have running over the whole fleet.
    """

    share: float = 1.0
    limit: int


class ServiceTable(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """A service that targets run requests for, ``[services.NAME]``.

    Attributes
    ----------
    pool : str
        Pool whose instances carry the service's targets and jobs.
    """

    pool: str


class QueueTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A queue that callers hand requests and jobs to, ``[queues.NAME]``.

    Attributes
    ----------
    service : str
        Service that runs what is in the queue.
    open : bool
        Whether work is taken without a key.
    teams : list of str
        Teams that may use the queue; empty for all.
    max_waiting : int
        Most requests that wait on one daemon.
    deadline_seconds : float
        Seconds that a request may take when it states no deadline.
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
        Availability budget: most of its instances that may be unavailable at once,
        planned and unplanned loss together.
    spare : bool
        Whether instances are taken from it first when another pool needs some.
    min_instances : int
        Fewest instances that moves may leave in it.
    """

    max_unavailable: int
    spare: bool = False
    min_instances: int = 0


class InstanceTable(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """An instance that carries workers, ``[instances.NAME]``.

    Attributes
    ----------
    pool : str
        Pool that it belongs to at first; moves change that later.
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
        Most instances of the wave that are away at once.
    dwell_seconds : float
        Seconds that a rebooted instance stays healthy before it counts as available.
    drain_seconds : float
        Seconds that work may go on before it is checkpointed and stopped.
    window_start_hour : float
        Hour of the day, in UTC, from which instances are taken away.
    window_hours : float
        Hours for which they are; what is away by then still comes back.
    """

    pools: list[str]
    concurrency: int = 1
    dwell_seconds: float = 60.0
    drain_seconds: float = 300.0
    window_start_hour: float = 0.0
    window_hours: float = 24.0


class Folder(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The whole intent: every table of all files, merged in the order of names."""

    teams: dict[str, TeamTable] = {}
    services: dict[str, ServiceTable] = {}
    queues: dict[str, QueueTable] = {}
    pools: dict[str, PoolTable] = {}
    instances: dict[str, InstanceTable] = {}
    waves: dict[str, WaveTable] = {}
