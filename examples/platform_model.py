"""Model of a small platform, without clock or network.

The command of a task defines its behaviour: ``run SECONDS``, ``fail SECONDS`` or
``crash``, which crashes its instance.
"""

from dataclasses import dataclass, field

import msgspec

from gypsumwalk.platform import (
    ActionDone,
    ActionRefused,
    CheckpointTask,
    InstanceHealth,
    ListTasks,
    ProbeInstance,
    RebootInstance,
    RenewLeases,
    ReportWorkers,
    StartTask,
    StopTask,
    TaskKey,
    TaskPhase,
    TaskState,
    TaskStates,
    TaskUsage,
    ThrottleTask,
    WorkerReport,
)

__all__ = ["Execution", "Machine", "PlatformModel", "Task"]

REBOOT_SECONDS = 30.0
DEFAULT_RUN_SECONDS = 10.0
FOREVER = float("inf")


@dataclass
class Machine:
    """State of one instance at the platform.

    Attributes
    ----------
    name : str
        The instance.
    up : bool
        Whether it is powered on and running.
    reachable : bool
        Whether the platform can reach it; its tasks keep running if not.
    broken : bool
        Whether every task that it starts fails immediately.
    recovers : bool
        Whether it is up again after a reboot.
    boots : int
        Number of boots.
    reboot_ends_at : float
        Time in seconds at which the reboot ends.
    """

    name: str
    up: bool = True
    reachable: bool = True
    broken: bool = False
    recovers: bool = True
    boots: int = 1
    reboot_ends_at: float = FOREVER


@dataclass
class Task:
    """One attempt of a job on an instance."""

    key: TaskKey
    machine: str
    lease_end: float
    started_at: float
    ends_at: float
    outcome: TaskPhase
    phase: TaskPhase = TaskPhase.RUNNING
    checkpoint: str = ""
    throttle: float = 1.0


@dataclass
class Execution:
    """Record of one task's run, for checks."""

    key: TaskKey
    machine: str
    started_at: float
    ended_at: float = FOREVER


@dataclass
class PlatformModel:
    """Instances, tasks and leases of the platform.

    Attributes
    ----------
    machines : dict of str to Machine
        The instances.
    reboot_seconds : float
        Duration of a reboot.
    usage_factor : float
        Processors and gigabytes of memory reported for an unthrottled task.
    tasks : dict of TaskKey to Task
        Tasks that were started.
    executions : list of Execution
        Runs of all tasks, in order of their start.
    reboots : list of tuple
        Time and instance of each reboot.
    """

    machines: dict[str, Machine] = field(default_factory=dict)
    reboot_seconds: float = REBOOT_SECONDS
    usage_factor: float = 1.0
    tasks: dict[TaskKey, Task] = field(default_factory=dict)
    executions: list[Execution] = field(default_factory=list)
    reboots: list[tuple[float, str]] = field(default_factory=list)
    _fenced: set[TaskKey] = field(default_factory=set)
    _reports: dict[str, msgspec.Struct] = field(default_factory=dict)
    _execution_by_key: dict[TaskKey, Execution] = field(default_factory=dict)

    def add(self, name: str) -> Machine:
        """Add an instance."""
        return self.machines.setdefault(name, Machine(name))

    def crash(self, name: str, now: float) -> None:
        """Crash an instance with all its running tasks."""
        self.advance(now)
        machine = self.machines[name]
        machine.up = False
        machine.reboot_ends_at = FOREVER
        for task in self._list_running(name):
            self._finish(task, TaskPhase.UNKNOWN, now)

    def restore(self, name: str, now: float) -> None:
        """Boot an instance that crashed."""
        machine = self.machines[name]
        machine.up = True
        machine.boots += 1
        machine.reboot_ends_at = FOREVER

    def execute(self, token: str, action: msgspec.Struct, now: float) -> msgspec.Struct:
        """Execute an action, idempotently by token.

        Parameters
        ----------
        token : str
            Idempotency key.
        action : msgspec.Struct
            The action.
        now : float
            Time in seconds.

        Returns
        -------
        msgspec.Struct
            Report of the action; the stored one for a repeated token.
        """
        self.advance(now)
        if token not in self._reports:
            self._reports[token] = self._execute(action, now)
        return self._reports[token]

    def advance(self, now: float) -> None:
        """Finish tasks and reboots that are due, and expire leases."""
        for task in list(self.tasks.values()):
            if task.phase is TaskPhase.RUNNING:
                self._advance_task(task, now)
        for machine in self.machines.values():
            if machine.reboot_ends_at <= now:
                machine.up = machine.recovers
                machine.boots += machine.recovers
                machine.reboot_ends_at = FOREVER

    def report(self, now: float) -> list[msgspec.Struct]:
        """Return the heartbeats of all reachable instances.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        list of msgspec.Struct
            One call that covers all of them; empty if there are none.
        """
        self.advance(now)
        workers = [
            WorkerReport(machine.name, machine.boots, self._list_usage(machine.name))
            for machine in self.machines.values()
            if machine.up and machine.reachable
        ]
        return [ReportWorkers(workers)] if workers else []

    def _list_usage(self, name: str) -> list[TaskUsage]:
        return [
            TaskUsage(task.key, self.usage_factor * task.throttle, self.usage_factor)
            for task in self._list_running(name)
        ]

    def _execute(self, action: msgspec.Struct, now: float) -> msgspec.Struct:
        match action:
            case StartTask():
                return self._start(action, now)
            case StopTask(task=key):
                return TaskStates([self._stop(key, now)])
            case CheckpointTask(task=key):
                return TaskStates([self._take_checkpoint(key, now)])
            case ThrottleTask(task=key, fraction=fraction):
                if key in self.tasks:
                    self.tasks[key].throttle = fraction
                return ActionDone()
            case RenewLeases():
                return TaskStates(
                    [self._renew(key, action, now) for key in action.tasks]
                )
            case RebootInstance(instance=name):
                return self._reboot(name, now)
            case ProbeInstance(instance=name):
                return self._probe(name)
            case ListTasks(instance=name):
                keys = [task.key for task in self._list_running(name)]
                return TaskStates([self._describe(key) for key in keys])
        return ActionRefused("unknown action")

    def _start(self, action: StartTask, now: float) -> msgspec.Struct:
        machine = self.machines.get(action.instance)
        if action.task in self._fenced:
            return ActionRefused("the attempt was stopped before it started")
        if machine is None or not machine.up or not machine.reachable:
            return ActionRefused("the instance does not answer")
        if action.task in self.tasks:
            return TaskStates([self._describe(action.task)])
        behaviour, _, seconds = (action.command or "run").partition(" ")
        run_seconds = float(seconds or DEFAULT_RUN_SECONDS)
        outcome = TaskPhase.FAILED if behaviour == "fail" else TaskPhase.SUCCEEDED
        if machine.broken:
            run_seconds, outcome = 0.0, TaskPhase.FAILED
        lease_end = now + action.lease_seconds
        task = Task(
            action.task, machine.name, lease_end, now, now + run_seconds, outcome
        )
        task.checkpoint = action.checkpoint
        self.tasks[action.task] = task
        self._execution_by_key[action.task] = Execution(action.task, machine.name, now)
        self.executions.append(self._execution_by_key[action.task])
        if behaviour == "crash":
            self.crash(machine.name, now)
        return TaskStates([self._describe(action.task)])

    def _stop(self, key: TaskKey, now: float) -> TaskState:
        self._fenced.add(key)
        task = self.tasks.get(key)
        if task and task.phase is TaskPhase.RUNNING and self._is_reachable(task):
            self._finish(task, TaskPhase.STOPPED, now)
        return self._describe(key)

    def _take_checkpoint(self, key: TaskKey, now: float) -> TaskState:
        task = self.tasks.get(key)
        if task and task.phase is TaskPhase.RUNNING and self._is_reachable(task):
            task.checkpoint = f"{key.job_id}@{now - task.started_at:.0f}"
        return self._describe(key)

    def _renew(self, key: TaskKey, action: RenewLeases, now: float) -> TaskState:
        task = self.tasks.get(key)
        running = task is not None and task.phase is TaskPhase.RUNNING
        if task and running and self._is_reachable(task) and key not in self._fenced:
            task.lease_end = max(task.lease_end, now + action.lease_seconds)
        return self._describe(key)

    def _describe(self, key: TaskKey) -> TaskState:
        task = self.tasks.get(key)
        if task is None:
            fenced = key in self._fenced
            phase = TaskPhase.NEVER_STARTED if fenced else TaskPhase.UNKNOWN
            return TaskState(key, phase)
        if not self._is_reachable(task):
            return TaskState(key, TaskPhase.UNKNOWN, checkpoint=task.checkpoint)
        result = f"{key.job_id} done" if task.phase is TaskPhase.SUCCEEDED else ""
        return TaskState(key, task.phase, result, task.checkpoint)

    def _reboot(self, name: str, now: float) -> msgspec.Struct:
        machine = self.machines.get(name)
        if machine is None:
            return ActionRefused("no such instance")
        self.crash(name, now)
        machine.reboot_ends_at = now + self.reboot_seconds
        self.reboots.append((now, name))
        return ActionDone()

    def _probe(self, name: str) -> InstanceHealth:
        machine = self.machines.get(name)
        if machine is None:
            return InstanceHealth(name, healthy=False)
        healthy = machine.up and machine.reachable and not machine.broken
        return InstanceHealth(name, healthy, machine.boots)

    def _is_reachable(self, task: Task) -> bool:
        machine = self.machines[task.machine]
        return machine.up and machine.reachable

    def _list_running(self, name: str) -> list[Task]:
        return [
            task
            for task in self.tasks.values()
            if task.machine == name and task.phase is TaskPhase.RUNNING
        ]

    def _advance_task(self, task: Task, now: float) -> None:
        if task.ends_at <= min(now, task.lease_end):
            self._finish(task, task.outcome, task.ends_at)
        elif task.lease_end <= now:
            self._finish(task, TaskPhase.LEASE_EXPIRED, task.lease_end)

    def _finish(self, task: Task, phase: TaskPhase, at: float) -> None:
        task.phase = phase
        self._execution_by_key[task.key].ended_at = at
