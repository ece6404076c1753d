"""Instances that may take a waiting task."""

from collections.abc import Callable, Set

from gypsumwalk.declaration_records import Resources
from gypsumwalk.leases import InstanceView, LeaseTable
from gypsumwalk.placement_limits import SpreadLimit
from gypsumwalk.ready_tasks import ReadyJobs, find_least
from gypsumwalk.task_placement import Candidate, CandidatePool
from gypsumwalk.workload_records import Step, TaskKey, Workload

__all__ = ["CandidateLister"]


class CandidateLister:
    """Lists the instances that may take waiting tasks.

    Parameters
    ----------
    waiting : ReadyJobs
        Jobs with ready tasks.
    find_service : Callable
        Returns the service that runs a job.
    """

    def __init__(
        self, waiting: ReadyJobs, find_service: Callable[[Workload], str]
    ) -> None:
        self._waiting = waiting
        self._find_service = find_service

    def list_pools(
        self, lease_table: LeaseTable, closed: Set[str], now: float
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

        Returns
        -------
        dict of str to CandidatePool
            Candidates by service.
        """
        least_needs = self._find_least_needs()
        # Full instances count as well where transient runs may have to make room.
        reserving = {
            self._find_service(next(iter(group.jobs.values())).workload)
            for group in self._waiting.list_groups()
            if group.is_lasting
        }
        listed: dict[str, list[Candidate]] = {}
        if not least_needs:
            return {}
        for view in lease_table.instances.values():
            registered = view.registered
            least = least_needs.get(registered.service)
            if least is None or not _can_schedule_on(view, closed, now):
                continue
            free = registered.capacity - view.used
            if least.fits(free) or registered.service in reserving:
                candidate = Candidate(view, free, view.latency_sensitive_runs)
                listed.setdefault(registered.service, []).append(candidate)
        return {service: CandidatePool(items) for service, items in listed.items()}

    def _find_least_needs(self) -> dict[str, Resources]:
        """Return lower bounds of what a waiting task reserves, by service."""
        needs: dict[str, Resources] = {}
        for group in self._waiting.list_groups():
            any_job = next(iter(group.jobs.values()))
            service = self._find_service(any_job.workload)
            needs[service] = find_least([needs.get(service, group.least), group.least])
        return needs

    def has_room_for(
        self,
        task: TaskKey,
        step: Step,
        service: str,
        lease_table: LeaseTable,
        closed: Set[str],
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
            Machines that can't take the task.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether the task can start there now.
        """
        limit = SpreadLimit(step, task, lease_table)
        for view in lease_table.instances.values():
            registered = view.registered
            if registered.service != service:
                continue
            if not _can_schedule_on(view, closed, now):
                continue
            candidate = Candidate(view, registered.capacity - view.used)
            if candidate.can_take(step) and limit.allows(candidate):
                return True
        return False


def _can_schedule_on(view: InstanceView, closed: Set[str], now: float) -> bool:
    machine = view.registered.machine
    if view.registered.draining or (machine and machine in closed):
        return False
    return view.is_responsive and now >= view.start_backoff_until
