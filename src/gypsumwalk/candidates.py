"""Instances that may take a waiting task."""

from collections.abc import Callable, Set

from gypsumwalk.declaration_records import Resources
from gypsumwalk.leases import InstanceTable, InstanceView, LeaseTable
from gypsumwalk.placement_limits import SpreadLimit
from gypsumwalk.ready_tasks import ReadyJobs
from gypsumwalk.task_placement import (
    Candidate,
    CandidatePool,
    find_need,
    list_ready,
)
from gypsumwalk.workload_records import Step, TaskKey, Workload

__all__ = ["CandidateLister", "can_schedule_on"]


class CandidateLister:
    """Keeps the instances that may take tasks, by service.

    A pass costs what has changed since the one before: the instances whose runs,
    registration or answers changed, those that refused a start lately, those on
    machines that were closed or opened, and those of data centres that are evacuated
    or used again.

    Parameters
    ----------
    waiting : ReadyJobs
        Jobs with ready tasks.
    find_service : Callable
        Returns the service that runs a job.
    evacuated : Set of str
        Data centres that are evacuated, kept up to date by their holder.
    """

    def __init__(
        self,
        waiting: ReadyJobs,
        find_service: Callable[[Workload], str],
        evacuated: Set[str] = frozenset(),
    ) -> None:
        self._waiting = waiting
        self._find_service = find_service
        self._evacuated = evacuated
        self._known_evacuated: frozenset[str] = frozenset()
        """Data centres that were evacuated at the latest pass."""
        self._instances = InstanceTable()
        self._changed: set[str] = set()
        self._pools: dict[str, CandidatePool] = {}
        self._services: dict[str, str] = {}
        """Service of each life in a pool."""
        self._cold_until = 0.0
        """Time in seconds from which every candidate is warm."""
        self._held: set[str] = set()
        """Lives that get no starts for a time."""
        self._closed: frozenset[str] = frozenset()
        self._lives_by_machine: dict[str, set[str]] = {}
        self._machines: dict[str, str] = {}
        """Machine of each known life."""

    def list_pools(
        self,
        lease_table: LeaseTable,
        closed: Set[str],
        now: float,
        *,
        leaving: Set[str] = frozenset(),
    ) -> dict[str, CandidatePool]:
        """Return the instances that may take a waiting task, by service.

        Parameters
        ----------
        lease_table : LeaseTable
            Instances and the runs that may be going on there.
        closed : set of str
            Machines that get no new work.
        now : float
            Time in seconds.
        leaving : set of str
            Services with lasting runs that have to move.

        Returns
        -------
        dict of str to CandidatePool
            Candidates of the services with waiting tasks or runs that have to move.
        """
        services = {
            self._find_service(next(iter(group.jobs.values())).workload)
            for group in self._waiting.list_groups()
        }
        services |= leaving
        if not services:
            return {}
        self._follow_changes(lease_table, closed, now)
        listed = {
            service: pool
            for service in services
            if (pool := self._pools.get(service)) is not None and len(pool)
        }
        for pool in listed.values():
            pool.begin()
        return listed

    def list_views(self, service: str) -> list[InstanceView]:
        """Return the instances of a service that could take tasks at the last pass."""
        pool = self._pools.get(service)
        return pool.list_views() if pool is not None else []

    def find_withheld(self, service: str) -> dict[str, Resources]:
        """Return what the latest pass withheld for lasting tasks, by life."""
        pool = self._pools.get(service)
        return pool.find_withheld() if pool is not None else {}

    def has_cold(self, now: float) -> bool:
        """Tell whether some candidate may still be slow after its start."""
        return now < self._cold_until

    def has_room_for(
        self,
        task: TaskKey,
        step: Step,
        service: str,
        lease_table: LeaseTable,
        closed: Set[str],
        avoided: Set[str],
        now: float,
    ) -> bool:
        """Tell whether an instance of a service has room for one more task.

        Parameters
        ----------
        task : TaskKey
            The task.
        step : Step
            Its step.
        service : str
            The service.
        lease_table : LeaseTable
            Instances and the runs that may be going on there.
        closed : set of str
            Machines that get no new work.
        avoided : set of str
            Further machines that can't take the task.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether the task can start there now.
        """
        self._follow_changes(lease_table, closed, now)
        pool = self._pools.get(service)
        if pool is None:
            return False
        limit = SpreadLimit(step, task, lease_table)
        for view in pool.list_views():
            if view.registered.machine in avoided:
                continue
            # Room that a pass withholds from transient tasks counts here.
            candidate = Candidate(view, view.registered.capacity - view.used)
            if candidate.can_take(step) and limit.allows(candidate):
                return True
        return False

    def list_open(
        self, lease_table: LeaseTable, closed: Set[str], now: float
    ) -> dict[str, list[InstanceView]]:
        """Return the instances that take new tasks if they have room, by service.

        Parameters
        ----------
        lease_table : LeaseTable
            Instances and the runs that may be going on there.
        closed : set of str
            Machines that get no new work.
        now : float
            Time in seconds.

        Returns
        -------
        dict of str to list of InstanceView
            The instances.
        """
        self._follow_changes(lease_table, closed, now)
        return {service: pool.list_views() for service, pool in self._pools.items()}

    def has_room_for_job(
        self,
        workload: Workload,
        service: str,
        lease_table: LeaseTable,
        closed: Set[str],
        now: float,
        *,
        is_trial: bool = False,
    ) -> bool:
        """Tell whether the ready tasks of a job fit beside each other.

        Parameters
        ----------
        workload : Workload
            The job, which need not be accepted yet.
        service : str
            The service that runs it.
        lease_table : LeaseTable
            Instances and the runs that may be going on there.
        closed : set of str
            Machines that get no new work.
        now : float
            Time in seconds.
        is_trial : bool
            Whether to read the lease table only, and to keep no changes of it.

        Returns
        -------
        bool
            Whether all of them can start now.
        """
        if is_trial:
            views = [
                view
                for view in lease_table.instances.values()
                if view.registered.service == service
                and can_schedule_on(view, closed, now)
            ]
        else:
            self._follow_changes(lease_table, closed, now)
            views = self.list_views(service)
        # Apart from the pools of the passes, which withhold room for lasting tasks.
        pool = CandidatePool(
            [Candidate(view, view.registered.capacity - view.used) for view in views]
        )
        for task in list_ready(workload, lease_table, now):
            step = workload.steps[task.step]
            chosen = pool.choose(step, lambda _: True)
            if chosen is None:
                return False
            pool.take(chosen, find_need(step))
        return True

    def _follow_changes(
        self, lease_table: LeaseTable, closed: Set[str], now: float
    ) -> None:
        if lease_table.instances is not self._instances:
            self._watch(lease_table.instances)
        opened_or_closed = self._closed ^ closed
        self._closed = frozenset(closed)
        for machine in opened_or_closed:
            self._changed |= self._lives_by_machine.get(machine, set())
        if self._known_evacuated != self._evacuated:
            self._note_evacuations()
        changed = self._changed | self._held
        self._changed.clear()
        for life in changed:
            self._follow(life, now)

    def _note_evacuations(self) -> None:
        """Add the instances whose data centre is evacuated, or is not any more."""
        data_centres = self._known_evacuated ^ self._evacuated
        self._known_evacuated = frozenset(self._evacuated)
        self._changed.update(
            life
            for life, view in self._instances.items()
            if view.registered.data_centre in data_centres
        )

    def _watch(self, instances: InstanceTable) -> None:
        self._instances = instances
        self._changed = instances.watch()
        self._pools.clear()
        self._services.clear()
        self._held.clear()
        self._cold_until = 0.0
        self._lives_by_machine.clear()
        self._machines.clear()

    def _follow(self, life: str, now: float) -> None:
        view = self._instances.get(life)
        self._note_machine(life, view)
        self._held.discard(life)
        if view is not None and now < view.start_backoff_until:
            self._held.add(life)
        if view is None or not can_schedule_on(view, self._closed, now):
            self._drop(life)
            return
        registered = view.registered
        self._cold_until = max(self._cold_until, registered.cold_until)
        pool = self._pools.get(registered.service)
        if pool is not None and pool.update(view):
            return
        self._drop(life)
        if pool is None:
            pool = self._pools[registered.service] = CandidatePool()
        free = registered.capacity - view.used
        candidate = Candidate(view, free, view.latency_sensitive_runs)
        pool.put(self._instances.get_number(life), candidate)
        self._services[life] = registered.service

    def _drop(self, life: str) -> None:
        service = self._services.pop(life, None)
        if service is not None:
            self._pools[service].discard(life)

    def _note_machine(self, life: str, view: InstanceView | None) -> None:
        machine = view.registered.machine if view is not None else ""
        known = self._machines.pop(life, "")
        if known and known != machine:
            self._lives_by_machine[known].discard(life)
            if not self._lives_by_machine[known]:
                del self._lives_by_machine[known]
        if machine:
            self._machines[life] = machine
            self._lives_by_machine.setdefault(machine, set()).add(life)


def can_schedule_on(view: InstanceView, closed: Set[str], now: float) -> bool:
    """Tell whether an instance gets new tasks if it has room.

    Parameters
    ----------
    view : InstanceView
        The instance.
    closed : set of str
        Machines that get no new work.
    now : float
        Time in seconds.

    Returns
    -------
    bool
        Whether it gets new tasks.
    """
    machine = view.registered.machine
    if view.is_draining or (machine and machine in closed):
        return False
    return view.is_responsive and now >= view.start_backoff_until
