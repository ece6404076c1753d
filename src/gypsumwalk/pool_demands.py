"""Demand of the pools: what running and ready tasks need."""

from collections.abc import Callable, Iterable, Mapping

from gypsumwalk.declaration_records import Resources
from gypsumwalk.leases import LeaseTable, RunView
from gypsumwalk.placement_limits import TeamQuotas
from gypsumwalk.pooling import PoolDemand
from gypsumwalk.ready_tasks import ReadyJob
from gypsumwalk.task_placement import find_need
from gypsumwalk.urgency import CriticalPath
from gypsumwalk.workload_records import Step, Workload
from gypsumwalk.workloads import WorkloadSection

__all__ = ["DemandCounter", "IsDeferred"]

IsDeferred = Callable[[Workload, CriticalPath | None], bool]


def _defer_none(workload: Workload, path: CriticalPath | None) -> bool:
    return False


class DemandCounter:
    """Counts what running and ready tasks need of each pool.

    Parameters
    ----------
    workloads : WorkloadSection
        Jobs and instances.
    quotas : TeamQuotas
        Quotas of the teams.
    find_service : Callable
        Returns the service that runs a job.
    """

    def __init__(
        self,
        workloads: WorkloadSection,
        quotas: TeamQuotas,
        find_service: Callable[[Workload], str],
    ) -> None:
        self._workloads = workloads
        self._quotas = quotas
        self._find_service = find_service

    def add_demand(
        self,
        demands: Mapping[str, PoolDemand],
        waiting_jobs: Iterable[ReadyJob],
        lease_table: LeaseTable,
        is_deferred: IsDeferred | None = None,
    ) -> None:
        """Add running and ready tasks to the demand of each pool.

        Tasks that exceed the quota of their team are not counted, nor are transient
        runs in evacuated data centres, which end where no capacity is counted.

        Parameters
        ----------
        demands : Mapping of str to PoolDemand
            Demand by service.
        waiting_jobs : Iterable of ReadyJob
            Jobs with ready tasks.
        lease_table : LeaseTable
            Runs that may be going on.
        is_deferred : Callable, optional
            Tells whether a job, whose critical path may be known, will be late in any
            case; by default no job is.
        """
        is_deferred = is_deferred or _defer_none
        for job in lease_table.list_jobs():
            workload = self._workloads.jobs.get(job)
            demand = demands.get(self._find_service(workload)) if workload else None
            if workload is not None and demand is not None:
                deferred = is_deferred(workload, None)
                for run in lease_table.list_runs_of_job(job):
                    step = workload.steps[run.task.step]
                    if step.lasting or not _is_evacuated(run, lease_table):
                        _add_tasks(demand, step, run.need.cpu, 1, deferred=deferred)
        used = dict(lease_table.usage_by_team)
        for waiting in waiting_jobs:
            demand = demands.get(self._find_service(waiting.workload))
            if demand is not None:
                deferred = is_deferred(waiting.workload, waiting.path)
                self._add_waiting(demand, waiting, used, deferred=deferred)

    def _add_waiting(
        self,
        demand: PoolDemand,
        waiting: ReadyJob,
        used: dict[str, Resources],
        *,
        deferred: bool,
    ) -> None:
        workload = waiting.workload
        for (_, number), tasks in waiting.tasks.items():
            step = workload.steps[number]
            count = self._quotas.charge(workload.team, step, len(tasks), used)
            if count:
                cpu = find_need(step).cpu
                _add_tasks(demand, step, cpu, count, deferred=deferred)
                demand.waiting += count
            if count < len(tasks):
                return


def _is_evacuated(run: RunView, lease_table: LeaseTable) -> bool:
    view = lease_table.instances.get(run.life)
    return view is not None and view.is_evacuated


def _add_tasks(
    demand: PoolDemand, step: Step, cpu: int, count: int, *, deferred: bool
) -> None:
    if not step.lasting:
        demand.transient += cpu * count
        demand.deferred += cpu * count if deferred else 0
        return
    demand.lasting += cpu * count
    if step.max_per_instance:
        machines = -(-step.count // step.max_per_instance)
        demand.min_machines = max(demand.min_machines, machines)
