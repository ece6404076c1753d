"""Assignment of the machines of a fleet to the pools of its services.

The demand of each queue comes in bursts: several times its mean for some seconds, and
almost nothing in between. Machines move to the pools with demand, and idle machines
move to a standby pool, where they cost nothing.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from math import ceil

__all__ = [
    "MachineMove",
    "Pool",
    "PoolDemand",
    "PoolMachine",
    "plan_moves",
    "size_pools",
]

HEADROOM_FACTOR = 1.15
"""Ratio of capacity to demand; tasks do not fill machines to the last core."""

SPARE_MACHINES = 1
"""Machines beyond the demand, for the first second of a burst or a lost machine."""

MAX_SUCCESSORS = 4
"""Machines that a pool gets at once beyond its demand for the lasting tasks of those
that a wave takes down; more would be missed by the pool that has a burst."""

STANDBY_IDLE_SECONDS = 1.2
"""Idle time before a move to standby; a move costs as much as 1.15 s in a pool."""

TRANSFER_IDLE_SECONDS = 0.5
"""Idle time before a machine may move to an undersized pool."""


@dataclass(slots=True)
class PoolMachine:
    """State of a machine, as input of ``plan_moves``.

    Attributes
    ----------
    machine : str
        Identifier.
    service : str
        Service of its pool, or of the pool that it is moving to.
    cpu : int
        Processors, in thousandths of a core.
    is_movable : bool
        Whether it may be moved.
    idle_since : float
        Time in seconds since which it has no runs; infinite while it has runs.
    must_pass_on : bool
        Whether it has lasting tasks that have to move to another machine of its pool,
        as a wave takes it down later.
    has_lasting : bool
        Whether it has lasting tasks, so that it can't become idle by itself.
    run_count : int
        Number of its runs.
    is_released : bool
        Whether it gets no further tasks, so that it can move once it is idle.
    is_evacuated : bool
        Whether it is in an evacuated data centre, so that it is no capacity.
    """

    machine: str
    service: str
    cpu: int
    is_movable: bool
    idle_since: float
    must_pass_on: bool = False
    has_lasting: bool = False
    run_count: int = 0
    is_released: bool = False
    is_evacuated: bool = False


@dataclass(slots=True)
class PoolDemand:
    """Demand of the queues of one service.

    Attributes
    ----------
    lasting : int
        Processors of long-running tasks, in thousandths of a core.
    transient : int
        Processors of all other running or runnable tasks, in thousandths of a core.
    deferred : int
        Part of ``transient`` that belongs to jobs that will be late in any case.
    expected : int
        Processors that the forecast expects within the time that a move takes, in
        thousandths of a core.
    min_machines : int
        Machines needed by tasks that must run on different machines.
    reserve : int
        Machines beyond what the demand needs.
    can_shrink : bool
        Whether machines may move to the standby pool.
    kept_machines : int
        Machines that the pool keeps when others move to the standby pool.
    waiting : int
        Ready tasks that found no room in the latest pass.
    has_objective : bool
        Whether one of the queues has an objective.
    """

    lasting: int = 0
    transient: int = 0
    deferred: int = 0
    expected: int = 0
    min_machines: int = 0
    reserve: int = 0
    can_shrink: bool = True
    kept_machines: int = 0
    waiting: int = 0
    has_objective: bool = False


@dataclass(frozen=True, slots=True)
class MachineMove:
    """Decision to move a machine to the pool of another service."""

    machine: str
    service: str
    reason: str


@dataclass(slots=True)
class Pool:
    """Machines of a pool, and its desired size.

    Attributes
    ----------
    machines : list of PoolMachine
        Machines that are capacity of the pool.
    desired : int
        Number of machines that it needs.
    evacuated : list of PoolMachine
        Machines in evacuated data centres.
    """

    machines: list[PoolMachine] = field(default_factory=list)
    desired: int = 0
    evacuated: list[PoolMachine] = field(default_factory=list)

    @property
    def surplus(self) -> int:
        """Machines beyond the desired size; negative if the pool is undersized."""
        return len(self.machines) - self.desired

    def count_spare(self, demand: PoolDemand) -> int:
        """Return how many machines may move to the standby pool, at least 0."""
        if not demand.can_shrink:
            return 0
        kept = max(self.desired, demand.kept_machines)
        return max(0, len(self.machines) - kept)


def plan_moves(
    machines: Sequence[PoolMachine],
    demands: Mapping[str, PoolDemand],
    standby: str,
    now: float,
) -> list[MachineMove]:
    """Plan the moves of idle machines between pools.

    Pools without the room for their lasting tasks come first, then those with the
    largest shortage. A pool that lost machines to an evacuation gets standby machines
    first; machines in evacuated data centres move to the standby pool only.

    Parameters
    ----------
    machines : Sequence of PoolMachine
        All machines.
    demands : Mapping of str to PoolDemand
        Demand by service, without the standby pool.
    standby : str
        Service of the standby pool, empty if there is none.
    now : float
        Time in seconds.

    Returns
    -------
    list of MachineMove
        Moves in the order of decision.
    """
    pools = size_pools(machines, demands, standby)
    moves: list[MachineMove] = []
    for name, demand in demands.items():
        while _lacks_lasting_room(pools[name], demand):
            donor = _find_donor(pools, name, standby, now)
            if donor is None:
                break
            moves.append(_move(pools, donor, name, "lasting"))
    undersized = sorted(
        (name for name in demands if pools[name].surplus < 0),
        key=lambda name: pools[name].surplus,
    )
    for name in undersized:
        while pools[name].surplus < 0:
            donor = _find_donor(pools, name, standby, now)
            if donor is None:
                break
            moves.append(_move(pools, donor, name, "demand"))
    if standby:
        moves += _move_to_standby(pools, demands, standby, now)
        moves += _move_evacuated(pools, demands, standby, now)
    return moves


def size_pools(
    machines: Sequence[PoolMachine], demands: Mapping[str, PoolDemand], standby: str
) -> dict[str, Pool]:
    """Return each pool with its machines and its desired size.

    Parameters
    ----------
    machines : Sequence of PoolMachine
        All machines.
    demands : Mapping of str to PoolDemand
        Demand by service, without the standby pool.
    standby : str
        Service of the standby pool, empty if there is none.

    Returns
    -------
    dict of str to Pool
        Pools by service.
    """
    pools = {name: Pool() for name in [*demands, standby]}
    for machine in machines:
        pool = pools.setdefault(machine.service, Pool())
        (pool.evacuated if machine.is_evacuated else pool.machines).append(machine)
    sizes = sorted(machine.cpu for machine in machines)
    typical = max(1, sizes[len(sizes) // 2]) if sizes else 1
    for name, demand in demands.items():
        timely = max(demand.transient - demand.deferred, demand.expected)
        pools[name].desired = _find_size(pools[name], demand, timely, typical)
    _add_room_for_deferred(pools, demands, typical)
    return pools


def _find_size(pool: Pool, demand: PoolDemand, transient: int, typical: int) -> int:
    """Return the machines that a pool needs for its lasting and some other work."""
    work = demand.lasting + transient * HEADROOM_FACTOR
    count = ceil(work / typical) + SPARE_MACHINES
    leaving = sum(item.must_pass_on for item in pool.machines)
    successors = min(leaving, MAX_SUCCESSORS)
    least = demand.min_machines + SPARE_MACHINES + successors
    return max(count + demand.reserve, least)


def _add_room_for_deferred(
    pools: Mapping[str, Pool], demands: Mapping[str, PoolDemand], typical: int
) -> None:
    """Give late work the machines that work on time does not need, in proportion."""
    wanted = {
        name: max(
            0,
            _find_size(pools[name], demand, demand.transient, typical)
            - pools[name].desired,
        )
        for name, demand in demands.items()
        if demand.deferred
    }
    total = sum(wanted.values())
    if not total:
        return
    count = sum(len(pool.machines) for pool in pools.values())
    left = max(0, count - sum(pools[name].desired for name in demands))
    for name, machines in wanted.items():
        pools[name].desired += min(machines, ceil(left * machines / total))


def _lacks_lasting_room(pool: Pool, demand: PoolDemand) -> bool:
    if pool.surplus >= 0:
        return False
    capacity = sum(machine.cpu for machine in pool.machines)
    return capacity < demand.lasting or len(pool.machines) < demand.min_machines


def _find_donor(
    pools: Mapping[str, Pool], name: str, standby: str, now: float
) -> PoolMachine | None:
    candidates = [
        machine
        for other, pool in pools.items()
        if other != name and (other == standby or pool.surplus > 0)
        for machine in pool.machines
        if machine.is_movable and (other == standby or _is_idle_enough(machine, now))
    ]
    # A standby machine costs nothing where it is, so idle machines of pools go first.
    # A pool that lost machines to an evacuation needs others for longer than a burst,
    # so that the idle machines stay with the pools that will need them again.
    prefers_standby = bool(pools[name].evacuated)
    return max(
        candidates,
        key=lambda item: (
            (item.service == standby) is prefers_standby,
            now - item.idle_since,
        ),
        default=None,
    )


def _is_idle_enough(machine: PoolMachine, now: float) -> bool:
    required = 0.0 if machine.is_released else TRANSFER_IDLE_SECONDS
    return now - machine.idle_since >= required


def _move_to_standby(
    pools: Mapping[str, Pool],
    demands: Mapping[str, PoolDemand],
    standby: str,
    now: float,
) -> list[MachineMove]:
    moves: list[MachineMove] = []
    for name, demand in demands.items():
        pool = pools[name]
        count = pool.count_spare(demand)
        if not count:
            continue
        idle = [
            machine
            for machine in pool.machines
            if machine.is_movable and now - machine.idle_since >= STANDBY_IDLE_SECONDS
        ]
        idle.sort(key=lambda machine: machine.idle_since)
        for machine in idle[:count]:
            moves.append(_move(pools, machine, standby, "rest"))
    return moves


def _move_evacuated(
    pools: Mapping[str, Pool], names: Iterable[str], standby: str, now: float
) -> list[MachineMove]:
    """Move idle machines in evacuated data centres, as their pools can't use them."""
    return [
        _move(pools, machine, standby, "evacuated")
        for name in names
        for machine in list(pools[name].evacuated)
        if machine.is_movable and now - machine.idle_since >= STANDBY_IDLE_SECONDS
    ]


def _move(
    pools: Mapping[str, Pool], machine: PoolMachine, service: str, reason: str
) -> MachineMove:
    if machine.is_evacuated:
        pools[machine.service].evacuated.remove(machine)
        pools[service].evacuated.append(machine)
    else:
        pools[machine.service].machines.remove(machine)
        pools[service].machines.append(machine)
    machine.service = service
    machine.is_movable = False
    return MachineMove(machine.machine, service, reason)
