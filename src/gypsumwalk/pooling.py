"""Choice of the pool that each machine of a fleet stands in.

The pattern that this answers: the demand of each queue comes by turns, several times
its mean for some seconds and next to nothing in between. Machines follow the demand,
and those that nobody needs rest in a standby pool, where they cost nothing.
"""

from collections.abc import Mapping, Sequence
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

HEADROOM = 1.15
"""Share of room above the demand; tasks do not fill machines to the last core."""

SPARE_MACHINES = 1
"""Machines beyond the demand, for the first second of a turn and a lost machine."""

REST_SECONDS = 1.2
"""Idle time before a machine rests: a move costs as much as 1.15 s in a pool."""

LEND_SECONDS = 0.5
"""Idle time before a machine goes to another pool that has too few."""


@dataclass(slots=True)
class PoolMachine:
    """A machine as the plan sees it.

    Attributes
    ----------
    machine : str
        Identifier.
    service : str
        Service whose pool it is in, or is on its way to.
    cpu : int
        Its processors, in thousandths of a core.
    is_up : bool
        Whether it may be moved.
    idle_since : float
        Time in seconds since which nothing runs there; infinite while something does.
    """

    machine: str
    service: str
    cpu: int
    is_up: bool
    idle_since: float


@dataclass(slots=True)
class PoolDemand:
    """What the queues of one service ask for.

    Attributes
    ----------
    lasting : int
        Processors of tasks that last, in thousandths of a core.
    passing : int
        Processors of all other tasks that run or could run now, likewise.
    expected : int
        Processors that are expected within the time of a move, likewise.
    min_machines : int
        Machines that spread tasks need.
    reserve : int
        Machines beyond what the demand needs.
    may_rest : bool
        Whether machines may leave for the standby pool.
    """

    lasting: int = 0
    passing: int = 0
    expected: int = 0
    min_machines: int = 0
    reserve: int = 0
    may_rest: bool = True


@dataclass(frozen=True, slots=True)
class MachineMove:
    """Decision to move a machine to the pool of another service."""

    machine: str
    service: str
    reason: str


@dataclass(slots=True)
class Pool:
    """Machines of a pool, and the number that it should have."""

    machines: list[PoolMachine] = field(default_factory=list)
    wanted: int = 0

    @property
    def surplus(self) -> int:
        """Machines beyond the number that it should have."""
        return len(self.machines) - self.wanted


def plan_moves(
    machines: Sequence[PoolMachine],
    demands: Mapping[str, PoolDemand],
    standby: str,
    now: float,
) -> list[MachineMove]:
    """Choose which idle machines change their pool.

    Parameters
    ----------
    machines : Sequence of PoolMachine
        All machines.
    demands : Mapping of str to PoolDemand
        Demand by service, without the standby pool.
    standby : str
        Service whose machines are off, or empty if there is none.
    now : float
        Time in seconds.

    Returns
    -------
    list of MachineMove
        The moves.
    """
    pools = size_pools(machines, demands, standby)
    moves: list[MachineMove] = []
    needy = sorted(
        (name for name in demands if pools[name].surplus < 0),
        key=lambda name: pools[name].surplus,
    )
    for name in needy:
        while pools[name].surplus < 0:
            lent = _find_donor(pools, name, standby, now)
            if lent is None:
                break
            moves.append(_move(pools, lent, name, "demand"))
    if standby:
        restful = [name for name in demands if demands[name].may_rest]
        moves += _rest(pools, restful, standby, now)
    return moves


def size_pools(
    machines: Sequence[PoolMachine], demands: Mapping[str, PoolDemand], standby: str
) -> dict[str, Pool]:
    """Return each pool with its machines and the number that it should have.

    Parameters
    ----------
    machines : Sequence of PoolMachine
        All machines.
    demands : Mapping of str to PoolDemand
        Demand by service, without the standby pool.
    standby : str
        Service whose machines are off, or empty if there is none.

    Returns
    -------
    dict of str to Pool
        Pools by service.
    """
    pools = {name: Pool() for name in [*demands, standby]}
    for machine in machines:
        pools.setdefault(machine.service, Pool()).machines.append(machine)
    sizes = sorted(machine.cpu for machine in machines)
    typical = max(1, sizes[len(sizes) // 2]) if sizes else 1
    for name, demand in demands.items():
        passing = max(demand.passing, demand.expected) * HEADROOM
        count = ceil((demand.lasting + passing) / typical) + SPARE_MACHINES
        least = demand.min_machines + SPARE_MACHINES
        pools[name].wanted = max(count + demand.reserve, least)
    return pools


def _find_donor(
    pools: Mapping[str, Pool], name: str, standby: str, now: float
) -> PoolMachine | None:
    able = [
        machine
        for other, pool in pools.items()
        if other != name and (other == standby or pool.surplus > 0)
        for machine in pool.machines
        if machine.is_up
        and (other == standby or now - machine.idle_since >= LEND_SECONDS)
    ]
    # A machine that rests costs nothing where it is, one in a pool does.
    return max(
        able,
        key=lambda item: (item.service != standby, now - item.idle_since),
        default=None,
    )


def _rest(
    pools: Mapping[str, Pool], restful: Sequence[str], standby: str, now: float
) -> list[MachineMove]:
    moves: list[MachineMove] = []
    for name in restful:
        pool = pools[name]
        idle = [
            machine
            for machine in pool.machines
            if machine.is_up and now - machine.idle_since >= REST_SECONDS
        ]
        idle.sort(key=lambda machine: machine.idle_since)
        for machine in idle[: max(0, pool.surplus)]:
            moves.append(_move(pools, machine, standby, "rest"))
    return moves


def _move(
    pools: Mapping[str, Pool], machine: PoolMachine, service: str, reason: str
) -> MachineMove:
    pools[machine.service].machines.remove(machine)
    pools[service].machines.append(machine)
    machine.service = service
    machine.is_up = False
    return MachineMove(machine.machine, service, reason)
