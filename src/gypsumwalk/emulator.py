"""Model of a platform's instances and machines, for tests and experiments.

Instances run tasks under leases and fences as real ones do: a run ends when its time is
over, when it is stopped or when its lease ends; ends are listed until acknowledged; a
run that is being stopped is listed neither as running nor as ended; an order of an
earlier term, or for a run that is not higher than one that ended there, is refused.
Faults are switched on by the caller: orders carried out late, answers lost, instances
silent, crashed or started anew. Nothing here shares code with the decisions.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import msgspec

from gypsumwalk.effects import CallPlatform
from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.instance_actions import (
    AdviceReport,
    AskAdvice,
    EndedRun,
    InstanceReport,
    ListMachines,
    MachineInfo,
    MachineList,
    MachineReport,
    MaintainMachine,
    MoveMachine,
    OrderReport,
    PaceRun,
    RenewLease,
    RunningTask,
    StartRun,
    StopRun,
)
from gypsumwalk.workload_records import RegisteredInstance

__all__ = ["EmulatedAdvice", "EmulatedInstance", "EmulatedPlatform", "Execution"]

LINK_SECONDS = 0.001
"""One way to an instance, as between two data centres of one region."""

STOP_SECONDS = 0.05
"""Time that a task takes to stop; the platform allows 200 to 400 ms."""

STARTUP_SECONDS = 0.3
"""Time until a lasting task is at work."""

MAX_LISTED_ENDS = 500

Length = Callable[[str, int], tuple[float, str]]


@dataclass(slots=True)
class Execution:
    """One run, as it really happened.

    Attributes
    ----------
    task, run, life : str, int, str
        What ran where.
    spec : str
        What it was told to do.
    started : float
        Time in seconds.
    ends : float
        Time in seconds at which it ends by itself.
    ended : float or None
        Time in seconds at which it ended.
    how : str
        How it ended, or will end by itself.
    acknowledged : bool
        Whether its end was acknowledged while the lease under it had not ended.
    lapsed : bool
        Whether the lease ended after it and before its end was acknowledged; such an
        end does not count as noted.
    pace : int
        Share of its speed that was ordered last, in percent.
    """

    task: str
    run: int
    life: str
    spec: str
    started: float
    ends: float
    how: str
    ended: float | None = None
    acknowledged: bool = False
    lapsed: bool = False
    pace: int = 100


@dataclass(slots=True)
class EmulatedInstance:
    """One life of an instance."""

    registered: RegisteredInstance
    born_at: float
    fence: int = 0
    lease_until: float = 0.0
    running: dict[str, Execution] = field(default_factory=dict)
    ends: list[tuple[int, Execution]] = field(default_factory=list)
    closed: dict[str, int] = field(default_factory=dict)
    count: int = 0
    silent: bool = False
    dead: bool = False
    drops_answers: bool = False
    lateness: float = 0.0
    unreachable_from: set[str] = field(default_factory=set)

    def read_clock(self, now: float) -> int:
        """Return the instance's clock, in milliseconds."""
        return int((now - self.born_at) * 1000) + 1000


class EmulatedAdvice:
    """Advice service: a ticket for each instance that may run a step.

    Parameters
    ----------
    is_allowed : Callable
        Tells whether a step may run on an instance, by their names.
    decision : float
        Time in seconds that an answer takes.
    per_instance : float
        Time in seconds more for each instance that is named.
    validity : float
        Time in seconds for which a ticket is valid.
    """

    def __init__(
        self,
        is_allowed: Callable[[str, str], bool],
        *,
        decision: float,
        per_instance: float,
        validity: float,
    ) -> None:
        self.asked: list[tuple[float, str, int]] = []
        self._is_allowed = is_allowed
        self._decision = decision
        self._per_instance = per_instance
        self._validity = validity
        self._tickets: dict[str, tuple[str, str, float]] = {}

    def answer(
        self, token: str, action: AskAdvice, now: float
    ) -> tuple[float, Callable[[float], PlatformOutcome]]:
        """Answer a question, later."""
        self.asked.append((now, action.step, len(action.instances)))
        delay = self._decision + len(action.instances) * self._per_instance
        tickets = {}
        for instance in action.instances:
            if self._is_allowed(action.step, instance):
                ticket = f"ticket-{len(self._tickets)}"
                until = now + delay + self._validity
                self._tickets[ticket] = (action.step, instance, until)
                tickets[instance] = ticket
        report = AdviceReport(tickets, self._validity)
        done = PlatformOutcome(token, succeeded=True, report=report)
        return delay, lambda at: done

    def admits(self, instance: EmulatedInstance, action: StartRun, now: float) -> bool:
        """Tell whether the ticket of a start is valid for its step there."""
        step = action.task.rpartition(".")[0]
        known, allowed, until = self._tickets.get(action.ticket, ("", "", 0.0))
        return (known, allowed) == (step, instance.registered.instance) and now < until


class EmulatedPlatform:
    """All instances, and the history of what they ran.

    Parameters
    ----------
    random : Random
        Source of chance.
    find_length : Callable
        Returns how long a run of a task takes, in seconds, and how it ends.
    """

    def __init__(self, random: Random, find_length: Length) -> None:
        self.instances: dict[str, EmulatedInstance] = {}
        self.history: list[Execution] = []
        self.maintained: list[tuple[float, int, str]] = []
        self.machine_orders: list[tuple[float, str, str, int]] = []
        self.machines: dict[str, MachineInfo] = {}
        self.on_maintenance: Callable[[str, float], None] = lambda machine, now: None
        self.caller = ""
        """Name of the daemon that calls, for instances that only some can reach."""
        self.find_load: Callable[[EmulatedInstance, Execution], int] = lambda *_: 0
        """Returns the load that an instance lists for a run."""
        self.stop_lengths: list[float] = [STOP_SECONDS]
        """Times in seconds that a stop may take."""
        self.advice: EmulatedAdvice | None = None
        """Set where starts need tickets."""
        self._random = random
        self._find_length = find_length
        self._late: list[tuple[float, EmulatedInstance, msgspec.Struct]] = []

    def add(self, registered: RegisteredInstance, now: float) -> EmulatedInstance:
        """Start one life of an instance; an earlier one at its address has ended."""
        for other in self.instances.values():
            if other.registered.address == registered.address and not other.dead:
                self.crash(other, now)
        instance = EmulatedInstance(registered, now)
        self.instances[registered.address] = instance
        if registered.machine:
            self.machines[registered.machine] = MachineInfo(
                registered.machine,
                registered.service,
                "up",
                instance=registered.instance,
            )
        return instance

    def crash(self, instance: EmulatedInstance, now: float) -> None:
        """End a life: all that it runs ends, and it answers nothing any more."""
        self.settle(now)
        instance.dead = True
        for execution in instance.running.values():
            execution.ended, execution.how = now, "crashed"
        instance.running.clear()

    def settle(self, now: float) -> None:
        """Carry out what is due up to a time: late orders, ends and lapses."""
        for item in sorted(self._late, key=lambda late: late[0]):
            if item[0] <= now:
                self._late.remove(item)
                self._advance(item[1], item[0])
                if not item[1].dead:
                    self._carry_out(item[1], item[2], item[0])
        for instance in self.instances.values():
            if not instance.dead:
                self._advance(instance, now)

    def call(
        self, effect: CallPlatform, now: float
    ) -> tuple[float, Callable[[float], PlatformOutcome]]:
        """Carry out a call; the outcome is found at the time that it arrives.

        Parameters
        ----------
        effect : CallPlatform
            The call.
        now : float
            Time in seconds.

        Returns
        -------
        tuple of float and Callable
            Delay in seconds, and a function of the time that returns the outcome.
        """
        self.settle(now)
        unknown = PlatformOutcome(effect.token, succeeded=False, unknown=True)
        action = effect.action
        if isinstance(action, ListMachines | MaintainMachine | MoveMachine):
            answer = self._serve_machines(action, now)
            done = PlatformOutcome(effect.token, succeeded=True, report=answer)
            return 2 * LINK_SECONDS, lambda at: done
        if isinstance(action, AskAdvice) and self.advice is not None:
            return self.advice.answer(effect.token, action, now)
        if not isinstance(action, RenewLease | StartRun | StopRun | PaceRun):
            return effect.timeout, lambda at: unknown
        instance = self.instances.get(action.address)
        if instance is None or instance.silent or instance.dead:
            return effect.timeout, lambda at: unknown
        if self.caller in instance.unreachable_from:
            return effect.timeout, lambda at: unknown
        if instance.registered.instance != action.instance:
            other = OrderReport(refused="identity")
            done = PlatformOutcome(effect.token, succeeded=True, report=other)
            return 2 * LINK_SECONDS, lambda at: done
        if instance.lateness and not isinstance(action, RenewLease):
            self._late.append((now + instance.lateness, instance, action))
            return effect.timeout, lambda at: unknown
        report = self._carry_out(instance, action, now)
        if instance.drops_answers:
            return effect.timeout, lambda at: unknown
        if isinstance(action, RenewLease) and not isinstance(report, OrderReport):
            return self._wait(effect, instance, action.wait, now)
        done = PlatformOutcome(effect.token, succeeded=True, report=report)
        return 2 * LINK_SECONDS, lambda at: done

    def _wait(
        self, effect: CallPlatform, instance: EmulatedInstance, wait: float, now: float
    ) -> tuple[float, Callable[[float], PlatformOutcome]]:
        delay = wait
        if instance.ends:
            delay = 0.0
        for execution in instance.running.values():
            delay = min(delay, max(0.0, execution.ends - now))
        delay = min(delay, max(0.0, instance.lease_until - now) or delay)

        def find(at: float) -> PlatformOutcome:
            self.settle(at)
            if instance.dead or instance.silent:
                return PlatformOutcome(effect.token, succeeded=False, unknown=True)
            report = self._list(instance, at)
            return PlatformOutcome(effect.token, succeeded=True, report=report)

        return delay + 2 * LINK_SECONDS, find

    def _list(self, instance: EmulatedInstance, now: float) -> InstanceReport:
        running = []
        for execution in instance.running.values():
            if execution.how == "stopped":
                continue
            starting = now - execution.started < STARTUP_SECONDS
            percent = 0 if starting else 100
            load = self.find_load(instance, execution)
            row = RunningTask(execution.task, execution.run, percent=percent, load=load)
            running.append(row)
        ended = [
            EndedRun(number, item.task, item.run, item.how)
            for number, item in instance.ends[:MAX_LISTED_ENDS]
        ]
        born = instance.registered.born
        return InstanceReport(instance.read_clock(now), born, running, ended)

    def _carry_out(
        self, instance: EmulatedInstance, action: msgspec.Struct, now: float
    ) -> msgspec.Struct:
        clock, born = instance.read_clock(now), instance.registered.born
        fence = getattr(action, "fence", 0)
        if fence < instance.fence:
            if isinstance(action, RenewLease):
                return InstanceReport(clock, born, refused="fence")
            return OrderReport(clock, born, "fence")
        instance.fence = fence
        match action:
            case RenewLease():
                self._extend(instance, action.lease_until, now)
                self._acknowledge(instance, action.acknowledged)
                return self._list(instance, now)
            case StartRun():
                return OrderReport(clock, born, self._start(instance, action, now))
            case StopRun():
                self._stop(instance, action, now)
            case PaceRun():
                present = instance.running.get(action.task)
                if present is not None and present.run == action.run:
                    present.pace = action.percent
        return OrderReport(clock, born)

    def _extend(
        self, instance: EmulatedInstance, until: int | None, now: float
    ) -> None:
        if until is None:
            return
        end = now + (until - instance.read_clock(now)) / 1000
        instance.lease_until = max(instance.lease_until, end)

    def _acknowledge(self, instance: EmulatedInstance, number: int) -> None:
        for item in instance.ends:
            if item[0] <= number:
                item[1].acknowledged = not item[1].lapsed
        instance.ends = [item for item in instance.ends if item[0] > number]

    def _start(self, instance: EmulatedInstance, action: StartRun, now: float) -> str:
        present = instance.running.get(action.task)
        if present is not None and present.run == action.run:
            return ""
        if action.run <= instance.closed.get(action.task, 0):
            return "old"
        if action.lease_until <= instance.read_clock(now):
            return "late"
        if self.advice is not None and not self.advice.admits(instance, action, now):
            return "ticket"
        self._extend(instance, action.lease_until, now)
        length, how = self._find_length(action.task, action.run)
        execution = Execution(
            action.task,
            action.run,
            instance.registered.life,
            action.spec,
            now,
            now + length,
            how,
        )
        instance.running[action.task] = execution
        self.history.append(execution)
        return ""

    def _stop(self, instance: EmulatedInstance, action: StopRun, now: float) -> None:
        closed = instance.closed.get(action.task, 0)
        instance.closed[action.task] = max(closed, action.run)
        present = instance.running.get(action.task)
        if present is not None and present.run <= action.run:
            length = self._random.choice(self.stop_lengths)
            present.ends = min(present.ends, now + length)
            present.how = "stopped" if present.ends > now else present.how

    def _advance(self, instance: EmulatedInstance, now: float) -> None:
        for task, execution in list(instance.running.items()):
            if execution.ends <= now and execution.ends <= instance.lease_until:
                self._end(instance, task, execution, execution.ends, execution.how)
            elif instance.lease_until <= now:
                self._end(instance, task, execution, instance.lease_until, "lapsed")
        if instance.lease_until <= now:
            for _, execution in instance.ends:
                execution.lapsed = True

    def _end(
        self,
        instance: EmulatedInstance,
        task: str,
        execution: Execution,
        at: float,
        how: str,
    ) -> None:
        del instance.running[task]
        execution.ended, execution.how = at, how
        closed = instance.closed.get(task, 0)
        instance.closed[task] = max(closed, execution.run)
        instance.count += 1
        instance.ends.append((instance.count, execution))

    def _serve_machines(
        self, action: ListMachines | MaintainMachine | MoveMachine, now: float
    ) -> msgspec.Struct:
        if isinstance(action, ListMachines):
            return MachineList(list(self.machines.values()))
        order = (now, action.machine, action.holder, action.fence)
        self.machine_orders.append(order)
        if isinstance(action, MaintainMachine):
            self.maintained.append((now, action.wave, action.machine))
            for instance in self.instances.values():
                if instance.registered.machine == action.machine:
                    self.crash(instance, now)
            self.on_maintenance(action.machine, now)
        return MachineReport()
