"""Dispatcher of one leader, stepped in virtual time over instances that answer."""

import heapq
from itertools import count
from unittest import mock

from gypsumwalk.advice import AdviceCache
from gypsumwalk.declaration_records import (
    Declaration,
    DeclaredQueue,
    DeclaredService,
    DeclaredTeam,
    PutDeclaration,
    Resources,
)
from gypsumwalk.declarations import DeclarationSection
from gypsumwalk.dispatcher import Dispatcher
from gypsumwalk.effects import CallPlatform, Propose
from gypsumwalk.evacuations import EvacuationSection
from gypsumwalk.inputs import (
    Committed,
    PlatformOutcome,
    ProposalOutcome,
    ProposalStatus,
)
from gypsumwalk.instance_actions import (
    EndedRun,
    InstanceReport,
    OrderReport,
    RenewLease,
    RunningTask,
    StartRun,
    StopRun,
)
from gypsumwalk.task_scheduler import TaskScheduler
from gypsumwalk.workload_records import (
    AcceptWorkload,
    RegisteredInstance,
    RegisterInstance,
    Step,
    Workload,
)
from gypsumwalk.workloads import WorkloadSection

BEGIN = 1000.0
LATENCY = 0.002
CORES = 16000
NEED = Resources(1000, 1000)


class SteppedInstance:
    """Instance that starts, lists and ends runs without delay."""

    def __init__(self, registered):
        self.registered = registered
        self.running = {}
        self.ended = []
        self.last_end = 0
        self.waiting = None
        self.is_silent = False

    def report(self, now):
        running = [RunningTask(task, run) for task, run in self.running]
        clock = int((now - BEGIN + 100.0) * 1000)
        return InstanceReport(clock, self.registered.born, running, list(self.ended))


class SteppedLeader:
    """Dispatcher with its sections, a log that commits at once, and instances."""

    def __init__(self, instances, *, services=5, task_seconds=0.64):
        names = [f"service-{number}" for number in range(services)]
        self.services = names
        self.now = BEGIN
        self.task_seconds = task_seconds
        self.calls = []
        """Time, action of each call of an instance."""
        self._events = []
        self._count = count()
        self._index = 0
        self.declarations = DeclarationSection()
        self.workloads = WorkloadSection()
        queues = [
            DeclaredQueue(f"q-{name}", "host", f"/{name}/", name) for name in names
        ]
        declared = [DeclaredService(name) for name in names]
        teams = [DeclaredTeam("team", ["key"], 1.0, Resources())]
        declaration = Declaration(1, queues, declared, teams, "")
        self.declarations.apply(PutDeclaration(declaration), 0, BEGIN)
        self.instances = {}
        for number in range(instances):
            registered = RegisteredInstance(
                instance=f"i-{number}",
                born=1000,
                service=names[number % services],
                address=f"host-{number}:80",
                data_centre="dc",
                capacity=Resources(CORES, 64000),
                labels=[f"rack-{number // 40}"],
                machine=f"m-{number}",
            )
            self.instances[registered.instance] = SteppedInstance(registered)
            self.workloads.apply(RegisterInstance(registered), 0, BEGIN)
        advice = AdviceCache()
        self.evacuations = EvacuationSection()
        self.scheduler = TaskScheduler(
            self.declarations, self.workloads, advice, self.evacuations.data_centres
        )
        self.leadership = mock.NonCallableMock(term=1, applied_index=0)
        self.leadership.holds_lease = lambda now: True
        self.dispatcher = Dispatcher(
            leadership=self.leadership,
            declarations=self.declarations,
            workloads=self.workloads,
            evacuations=self.evacuations,
            scheduler=self.scheduler,
            advice=advice,
            max_lease=6.0,
            stop_grace=0.4,
            evacuation=5.0,
        )

    def get_view(self, number):
        life = self.instances[f"i-{number}"].registered.life
        return self.dispatcher.lease_table.instances[life]

    def schedule(self, delay, action):
        heapq.heappush(self._events, (self.now + delay, next(self._count), action))

    def run(self, seconds):
        end = self.now + seconds
        while True:
            event = self._events[0][0] if self._events else float("inf")
            due = max(self.now, min(event, self.dispatcher.wakeup))
            if due > end:
                self.now = end
                return
            self.now = due
            if event <= due:
                heapq.heappop(self._events)[2]()
            else:
                self.carry_out(self.dispatcher.advance(self.now))

    def submit(self, name, tasks, *, service=0, **fields):
        service = self.services[service]
        steps = [Step(tasks, NEED, self.task_seconds, **fields)]
        job = Workload(name, f"q-{service}", service, "team", "", steps)
        self.commit(AcceptWorkload(job))

    def handle(self, item):
        self.carry_out(self.dispatcher.handle(item, self.now))

    def commit(self, command):
        self._index += 1
        section = self.declarations
        if not isinstance(command, PutDeclaration):
            section = self.workloads
        result = section.apply(command, self._index, self.now)
        self.handle(Committed(self._index, command, result, self.now))

    def carry_out(self, effects):
        for effect in effects:
            if isinstance(effect, Propose):
                self.schedule(LATENCY, lambda effect=effect: self._commit(effect))
            elif isinstance(effect, CallPlatform):
                self.calls.append((self.now, effect.action))
                self._call(effect)

    def _commit(self, effect):
        self.commit(effect.command)
        self.handle(ProposalOutcome(effect.token, ProposalStatus.COMMITTED))

    def _call(self, effect):
        action = effect.action
        instance = self.instances[action.instance]
        if instance.is_silent:
            failed = PlatformOutcome(effect.token, succeeded=False, unknown=True)
            self.schedule(effect.timeout, lambda: self.handle(failed))
        elif isinstance(action, RenewLease):
            self._list_runs(instance, effect)
        elif isinstance(action, StartRun):
            key = (action.task, action.run)
            instance.running[key] = True
            self.schedule(self.task_seconds, lambda: self._end(instance, key, "done"))
            self._answer(effect, OrderReport(self._read_clock()))
        elif isinstance(action, StopRun):
            self._end(instance, (action.task, action.run), "stopped")
            self._answer(effect, OrderReport(self._read_clock()))

    def _list_runs(self, instance, effect):
        action = effect.action
        instance.ended = [
            item for item in instance.ended if item.number > action.acknowledged
        ]
        open_calls = [effect]

        def send():
            if open_calls:
                open_calls.clear()
                instance.waiting = None
                self._answer(effect, instance.report(self.now))

        if instance.ended or not action.wait:
            send()
            return
        instance.waiting = send
        self.schedule(action.wait, send)

    def _end(self, instance, key, kind):
        if instance.running.pop(key, None) is None:
            return
        instance.last_end += 1
        instance.ended.append(EndedRun(instance.last_end, *key, kind))
        if instance.waiting is not None:
            instance.waiting()

    def _answer(self, effect, report):
        outcome = PlatformOutcome(effect.token, succeeded=True, report=report)
        self.schedule(LATENCY, lambda: self.handle(outcome))

    def _read_clock(self):
        return int((self.now - BEGIN + 100.0) * 1000)
