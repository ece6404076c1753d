"""Machines outside a pool that may do some of its work soon.

The pools grow with their backlog. A job is not refused for work that machines can do
that are about to come.
"""

from collections.abc import Iterable, Mapping
from copy import copy

from gypsumwalk.declarations import DeclarationSection
from gypsumwalk.dispatcher import Dispatcher
from gypsumwalk.instance_actions import MachineInfo
from gypsumwalk.leases import InstanceView
from gypsumwalk.machine_directory import MachineDirectory
from gypsumwalk.task_scheduler import TaskScheduler
from gypsumwalk.work_estimates import MILLICORES

__all__ = ["SpareMachines"]

ARRIVAL_SECONDS = 2.0
"""Time until a machine that is ordered now has joined a pool: a move takes 1.5 s, a
maintenance 2 s."""

RETURNING_STATES = ("moving", "maintenance")


class SpareMachines:
    """Cores that may join a pool within ``ARRIVAL_SECONDS``.

    Its machines in maintenance count, its released ones, and if machines move between
    pools, those on standby and the idle ones of other pools. Machines that this leader
    moves are in the view of the room already. All sums but that of the released
    machines are computed once for each list of machines.

    Parameters
    ----------
    declarations : DeclarationSection
        Declaration in force.
    dispatcher : Dispatcher
        Instances with their runs.
    directory : MachineDirectory
        Machines of the fleet.
    scheduler : TaskScheduler
        Machines that are moving to another pool.
    """

    def __init__(
        self,
        declarations: DeclarationSection,
        dispatcher: Dispatcher,
        directory: MachineDirectory,
        scheduler: TaskScheduler,
    ) -> None:
        self._declarations = declarations
        self._dispatcher = dispatcher
        self._directory = directory
        self._scheduler = scheduler
        self._read_at = float("-inf")
        self._movable: dict[str, int] = {}
        self._returning: dict[str, int] = {}

    def copy(self) -> "SpareMachines":
        """Return a copy, which keeps its sums to itself."""
        return copy(self)

    def find_arriving(
        self, service: str, now: float
    ) -> tuple[tuple[float, float], ...]:
        """Return the cores that may join a pool, as in ``RoomView.arriving``.

        Parameters
        ----------
        service : str
            Service of the pool.
        now : float
            Time in seconds.

        Returns
        -------
        tuple of (float, float)
            Time in seconds and cores; at most one entry.
        """
        if self._directory.read_at != self._read_at:
            self._read_at = self._directory.read_at
            self._sum_machines()
        elsewhere = sum(
            cores for other, cores in self._movable.items() if other != service
        )
        millicores = elsewhere + self._returning.get(service, 0)
        millicores += self._sum_released(service)
        if not millicores:
            return ()
        return ((now + ARRIVAL_SECONDS, millicores / MILLICORES),)

    def _sum_released(self, service: str) -> int:
        """Return the cores that take tasks again as soon as their pool needs them."""
        listed = self._directory.machines
        return sum(
            listed[machine].capacity.cpu
            for machine in self._scheduler.released
            if machine in listed and listed[machine].service == service
        )

    def _sum_machines(self) -> None:
        views = {
            view.registered.machine: view
            for view in self._dispatcher.lease_table.instances.values()
        }
        machines = [
            info
            for info in self._directory.machines.values()
            if info.machine not in self._scheduler.changing_pool
        ]
        self._returning = _sum_returning(machines)
        self._movable = {}
        if standby := self._declarations.find_standby():
            self._movable = _sum_movable(machines, views, standby)


def _sum_returning(machines: Iterable[MachineInfo]) -> dict[str, int]:
    cores: dict[str, int] = {}
    for info in machines:
        if info.state in RETURNING_STATES:
            cores[info.service] = cores.get(info.service, 0) + info.capacity.cpu
    return cores


def _sum_movable(
    machines: Iterable[MachineInfo], views: Mapping[str, InstanceView], standby: str
) -> dict[str, int]:
    cores: dict[str, int] = {}
    for info in machines:
        view = views.get(info.machine)
        is_idle = info.service == standby or (view is not None and not view.runs)
        if info.state == "up" and is_idle:
            cores[info.service] = cores.get(info.service, 0) + info.capacity.cpu
    return cores
