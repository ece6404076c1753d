"""Order of the jobs with ready tasks in a scheduling pass."""

from collections.abc import Callable, Mapping

from gypsumwalk.backlog_views import BacklogViews
from gypsumwalk.declaration_records import DeclaredQueue
from gypsumwalk.declarations import DeclarationSection
from gypsumwalk.overload_order import OverloadOrder
from gypsumwalk.ready_tasks import ReadyJob, ReadyJobs
from gypsumwalk.task_placement import CandidatePool
from gypsumwalk.urgency import UrgencyEstimator
from gypsumwalk.workload_records import Workload

__all__ = ["WaitingOrder"]

_Rank = tuple[int, int, float, str]
"""Priority and urgency of a job."""


class WaitingOrder:
    """Sorts jobs by priority and urgency, and by a selection in overloaded pools.

    Parameters
    ----------
    declarations : DeclarationSection
        Declaration in force.
    waiting : ReadyJobs
        Jobs with ready tasks.
    urgency : UrgencyEstimator
        Urgency of the jobs.
    views : BacklogViews
        Views of the jobs and of the room.
    find_service : Callable
        Returns the service that runs a job.
    """

    def __init__(
        self,
        declarations: DeclarationSection,
        waiting: ReadyJobs,
        urgency: UrgencyEstimator,
        views: BacklogViews,
        find_service: Callable[[Workload], str],
    ) -> None:
        self.overload = OverloadOrder(waiting, views, find_service)
        self._declarations = declarations
        self._waiting = waiting
        self._urgency = urgency
        self._views = views
        self._find_service = find_service

    def sort(
        self, pools: Mapping[str, CandidatePool], now: float
    ) -> list[tuple[ReadyJob, CandidatePool]]:
        """List the jobs that may get room, most urgent first, with their pools.

        In an overloaded pool, the jobs of queues with an objective take the places of
        each other; all other jobs keep theirs.

        Parameters
        ----------
        pools : Mapping of str to CandidatePool
            Instances that may take tasks, by service.
        now : float
            Time in seconds.

        Returns
        -------
        list of (ReadyJob, CandidatePool)
            The jobs.
        """
        listed: list[tuple[_Rank, ReadyJob, CandidatePool]] = []
        selectable: dict[str, list[tuple[ReadyJob, DeclaredQueue]]] = {}
        for group in self._waiting.list_groups():
            service = self._find_service(group.any_job.workload)
            pool = pools.get(service)
            if pool is None:
                continue
            has_room = pool.has_room(group.least)
            if not has_room and not group.is_lasting:
                continue
            queue = self._declarations.get_queue(group.any_job.workload.queue)
            can_view = self._views.can_view(queue)
            for job in group.jobs.values():
                if has_room or job.is_lasting:
                    listed.append((self._rank(job, queue, now), job, pool))
                if queue and can_view and has_room and not job.path.is_open_ended:
                    selectable.setdefault(service, []).append((job, queue))
        listed.sort(key=lambda item: item[0])
        order = [(job, pool) for _, job, pool in listed]
        for service, jobs in selectable.items():
            selected = self.overload.sort(service, jobs, pools[service], now)
            if selected is not None:
                _replace(order, selected, pools[service])
        return order

    def _rank(self, job: ReadyJob, queue: DeclaredQueue | None, now: float) -> _Rank:
        workload = job.workload
        if queue is None:
            return 0, 0, workload.accepted, workload.job
        urgency = self._urgency.rate(workload, queue, now, job.path)
        return queue.priority, urgency.tier, urgency.sort_key, workload.job


def _replace(
    order: list[tuple[ReadyJob, CandidatePool]],
    selected: list[ReadyJob],
    pool: CandidatePool,
) -> None:
    """Put jobs in their order at the places that they have together."""
    names = {job.workload.job for job in selected}
    places = [
        number for number, item in enumerate(order) if item[0].workload.job in names
    ]
    for number, job in zip(places, selected, strict=True):
        order[number] = job, pool
