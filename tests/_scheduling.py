"""Scheduler with a lease table and jobs, without a dispatcher or a clock."""

from gypsumwalk.advice import AdviceCache
from gypsumwalk.declaration_records import PutDeclaration, Resources
from gypsumwalk.declarations import DeclarationSection
from gypsumwalk.leases import InstanceView, LeaseTable
from gypsumwalk.task_scheduler import TaskScheduler
from gypsumwalk.workload_records import (
    AcceptWorkload,
    EndRuns,
    PlaceRuns,
    RegisteredInstance,
    RegisterInstance,
    RunEnd,
    RunEndKind,
    Step,
    Workload,
)
from gypsumwalk.workloads import WorkloadSection
from tests._fleet_work import make_declaration

TASKS = 13
NOW = 1000.0
CAPACITY = Resources(64000, 128000)
NEED = Resources(6200, 2000)


def make_instance(number, *, life=1, machine=None):
    return RegisteredInstance(
        instance=f"i-{number}",
        born=1000 + life,
        service="service-a",
        address=f"host-{number}:80",
        data_centre="dc",
        capacity=CAPACITY,
        labels=[f"rack-{number // 8}"],
        machine=f"m-{number}" if machine is None else machine,
    )


def make_job(name, *, steps=None, queue="queue-a"):
    steps = steps or [Step(TASKS, NEED, 0.64), Step(TASKS, NEED, 0.64, after=[0])]
    return Workload(name, queue, "service-a", "team", "", steps)


class CountingDict(dict):
    """Dictionary that counts the entries that its callers walk over."""

    walked = 0

    def items(self):
        self.walked += len(self)
        return super().items()

    def values(self):
        self.walked += len(self)
        return super().values()


class Fleet:
    """Scheduler with a lease table, without a dispatcher."""

    def __init__(self):
        self.declarations = DeclarationSection()
        self.declarations.apply(PutDeclaration(make_declaration()), 1, NOW)
        self.workloads = WorkloadSection()
        self.scheduler = TaskScheduler(self.declarations, self.workloads, AdviceCache())
        self.table = LeaseTable()
        self.table.runs_by_task = CountingDict()

    def add_instance(self, instance):
        self.workloads.apply(RegisterInstance(instance), 1, NOW)
        view = InstanceView(instance, answered_at=NOW)
        self.table.instances[instance.life] = view

    def submit(self, job):
        self.workloads.apply(AcceptWorkload(job), 1, NOW)
        self.scheduler.invalidate(job.job)

    def plan(self):
        planned = self.scheduler.plan_runs(self.table, NOW)
        placements = [item.placement for item in planned]
        self.workloads.apply(PlaceRuns(1, placements), 1, NOW)
        return planned

    def end(self, run):
        ends = [RunEnd(run.task, run.run, RunEndKind.DONE)]
        self.workloads.apply(EndRuns(ends), 1, NOW)
        self.table.remove(run)
        self.scheduler.record_duration(run.task, 0.64)
        self.scheduler.invalidate(run.task.job)
