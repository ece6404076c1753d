"""Emulated platform with instances and machines, for tests and experiments.

Instances run tasks under leases and fences as real ones do. A run ends when its time is
over, when it is stopped or when its lease expires. Ended runs are listed until they are
acknowledged. A run that is being stopped is listed neither as running nor as ended. An
order with an older fence is refused, and so is a start whose run number is not higher
than that of a run of the task that ended or was stopped there; it extends the lease
nevertheless. A repeated order to
maintain a machine in a wave succeeds without an effect. The caller injects faults:
delayed orders, lost answers, and silent, crashed or restarted instances. The emulator
shares no code with the controllers.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import cast

import msgspec

from gypsumwalk.effects import CallPlatform
from gypsumwalk.inputs import PlatformOutcome
from gypsumwalk.instance_actions import (
    AdviceReport,
    AskAdvice,
    EndedRun,
    EndKind,
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

__all__ = [
    "EmulatedAdvice",
    "EmulatedInstance",
    "EmulatedPlatform",
    "Execution",
    "LongPoll",
]

ONE_WAY_LATENCY_SECONDS = 0.001
"""One-way latency to an instance, as between two data centres of one region."""

STOP_SECONDS = 0.05
"""Default time that a task takes to stop; the platform allows 200 to 400 ms."""

MAX_LEASE_SECONDS = 6.0
"""Default of the longest lease that an instance grants."""

LATEST_CLOCK_BEGIN = 9_000_000
"""Highest reading, in milliseconds, at which the clock of a life begins."""

STARTUP_SECONDS = 0.3
"""Time from the start of a long-running task until it reports 100 percent."""

MAX_LISTED_ENDS = 500

FindRunLength = Callable[[str, int], tuple[float, str]]


class LongPoll:
    """A call that waits at an instance for the end of a run.

    Attributes
    ----------
    wake : Callable
        Called with the time in seconds after which the outcome is due, if that is
        earlier than was said first.
    """

    def __init__(self, find_outcome: Callable[[float], PlatformOutcome]) -> None:
        self.wake: Callable[[float], None] = lambda delay: None
        self._find_outcome = find_outcome

    def __call__(self, at: float) -> PlatformOutcome:
        """Return the outcome at a time in seconds."""
        return self._find_outcome(at)


@dataclass(slots=True)
class Execution:
    """Actual course of one run, whatever the controllers know of it.

    Attributes
    ----------
    task, run, life : str, int, str
        Task, number of the run, and incarnation of the instance.
    spec : str
        Specification that the run was started with.
    started : float
        Start time in seconds.
    ends : float
        Time in seconds at which it is due to end.
    ended : float or None
        Time in seconds at which it ended, None while it runs.
    end_kind : str
        How it ended, or is due to end.
    acknowledged : bool
        Whether its end was acknowledged before the lease expired.
    lapsed : bool
        Whether the lease expired after its end and before the acknowledgement, which
        then does not count.
    pace : int
        Speed that was ordered last, in percent of full speed.
    """

    task: str
    run: int
    life: str
    spec: str
    started: float
    ends: float
    end_kind: str
    ended: float | None = None
    acknowledged: bool = False
    lapsed: bool = False
    pace: int = 100


@dataclass(slots=True)
class EmulatedInstance:
    """One incarnation of an instance.

    Its clock begins at ``clock_begin`` milliseconds, above or below that of another
    life.
    """

    registered: RegisteredInstance
    started_at: float
    clock_begin: int = 1000
    fence: int = 0
    lease_until: float = 0.0
    running: dict[str, Execution] = field(default_factory=dict)
    ends: list[tuple[int, Execution]] = field(default_factory=list)
    highest_closed_run: dict[str, int] = field(default_factory=dict)
    end_count: int = 0
    is_silent: bool = False
    is_dead: bool = False
    drops_answers: bool = False
    order_delay: float = 0.0
    unreachable_from: set[str] = field(default_factory=set)
    long_polls: list[LongPoll] = field(default_factory=list)

    def read_clock(self, now: float) -> int:
        """Return the instance's clock in milliseconds."""
        return int((now - self.started_at) * 1000) + self.clock_begin


class EmulatedAdvice:
    """Advice service that issues a ticket for each instance that may run a step.

    Parameters
    ----------
    is_allowed : Callable
        Returns whether a step may run on an instance, given their names.
    decision : float
        Base time in seconds that an answer takes.
    per_instance : float
        Additional time in seconds for each instance in the request.
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
        self.requests: list[tuple[float, str, int]] = []
        self._is_allowed = is_allowed
        self._decision = decision
        self._per_instance = per_instance
        self._validity = validity
        self._tickets: dict[str, tuple[str, str, float]] = {}

    def answer(
        self, token: str, action: AskAdvice, now: float
    ) -> tuple[float, Callable[[float], PlatformOutcome]]:
        """Return the delay in seconds of an answer, and a function that returns it."""
        self.requests.append((now, action.step, len(action.instances)))
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

    def accepts_ticket(
        self, instance: EmulatedInstance, action: StartRun, now: float
    ) -> bool:
        """Return whether the ticket of a start is valid for its step and instance."""
        step = action.task.rpartition(".")[0]
        known, allowed, until = self._tickets.get(action.ticket, ("", "", 0.0))
        return (known, allowed) == (step, instance.registered.instance) and now < until


class EmulatedPlatform:
    """All instances and machines, and the history of all runs.

    Parameters
    ----------
    random : Random
        Source of random choices.
    find_length : Callable
        Returns the duration of a run of a task in seconds, and how the run ends.
    """

    def __init__(self, random: Random, find_length: FindRunLength) -> None:
        self.instances: dict[str, EmulatedInstance] = {}
        self.history: list[Execution] = []
        self.maintenance_orders: list[tuple[float, int, str]] = []
        self.machine_orders: list[tuple[float, str, str, int]] = []
        self.machines: dict[str, MachineInfo] = {}
        self.on_maintenance: Callable[[str, float], None] = lambda machine, now: None
        self.caller = ""
        """Name of the calling daemon, for instances that some daemons cannot reach."""
        self.find_load: Callable[[EmulatedInstance, Execution], int] = lambda *_: 0
        """Returns the load that an instance reports for a run."""
        self.max_lease = MAX_LEASE_SECONDS
        """Longest lease in seconds that an instance grants, whatever an order names."""
        self.stop_durations: list[float] = [STOP_SECONDS]
        """Times in seconds that a stop may take, chosen at random."""
        self.advice: EmulatedAdvice | None = None
        """Advice service, or None if starts need no tickets."""
        self._random = random
        self._find_length = find_length
        self._delayed_orders: list[tuple[float, EmulatedInstance, msgspec.Struct]] = []
        self._maintained: set[tuple[int, str]] = set()

    def add(
        self,
        registered: RegisteredInstance,
        now: float,
        *,
        clock_begin: int | None = None,
    ) -> EmulatedInstance:
        """Add an incarnation of an instance, ending the one at the same address.

        Parameters
        ----------
        registered : RegisteredInstance
            The incarnation.
        now : float
            Time in seconds.
        clock_begin : int, optional
            First reading of its clock in milliseconds; by default one that depends on
            the incarnation.

        Returns
        -------
        EmulatedInstance
            The incarnation.
        """
        for other in self.instances.values():
            if other.registered.address == registered.address and not other.is_dead:
                self.crash(other, now)
        if clock_begin is None:
            clock_begin = Random(registered.life).randrange(1000, LATEST_CLOCK_BEGIN)
        instance = EmulatedInstance(registered, now, clock_begin)
        self.instances[registered.address] = instance
        if registered.machine:
            self.machines[registered.machine] = MachineInfo(
                registered.machine,
                registered.service,
                "up",
                registered.data_centre,
                instance=registered.instance,
            )
        return instance

    def crash(self, instance: EmulatedInstance, now: float) -> None:
        """End an incarnation and all its runs; it answers no further calls."""
        self.advance(now)
        instance.is_dead = True
        for execution in instance.running.values():
            execution.ended, execution.end_kind = now, "crashed"
        instance.running.clear()

    def advance(self, now: float) -> None:
        """Apply delayed orders, ends of runs and lease expiries due up to a time."""
        for item in sorted(self._delayed_orders, key=lambda late: late[0]):
            if item[0] <= now:
                self._delayed_orders.remove(item)
                self._advance_instance(item[1], item[0])
                if not item[1].is_dead:
                    self._carry_out(item[1], item[2], item[0])
        for instance in self.instances.values():
            if not instance.is_dead:
                self._advance_instance(instance, now)

    def call(
        self, effect: CallPlatform, now: float
    ) -> tuple[float, Callable[[float], PlatformOutcome]]:
        """Carry out a call, whose outcome is computed at the time of its arrival.

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
        self.advance(now)
        unknown = PlatformOutcome(effect.token, succeeded=False, unknown=True)
        action = effect.action
        if isinstance(action, ListMachines | MaintainMachine | MoveMachine):
            answer = self._handle_machine_action(action, now)
            done = PlatformOutcome(effect.token, succeeded=True, report=answer)
            return 2 * ONE_WAY_LATENCY_SECONDS, lambda at: done
        if isinstance(action, AskAdvice) and self.advice is not None:
            return self.advice.answer(effect.token, action, now)
        if not isinstance(action, RenewLease | StartRun | StopRun | PaceRun):
            return effect.timeout, lambda at: unknown
        instance = self.instances.get(action.address)
        if instance is None or instance.is_silent or instance.is_dead:
            return effect.timeout, lambda at: unknown
        if self.caller in instance.unreachable_from:
            return effect.timeout, lambda at: unknown
        if instance.registered.instance != action.instance:
            other = OrderReport(refused="identity")
            done = PlatformOutcome(effect.token, succeeded=True, report=other)
            return 2 * ONE_WAY_LATENCY_SECONDS, lambda at: done
        if instance.order_delay and not isinstance(action, RenewLease):
            self._delayed_orders.append((now + instance.order_delay, instance, action))
            return effect.timeout, lambda at: unknown
        report = self._carry_out(instance, action, now)
        if instance.drops_answers:
            return effect.timeout, lambda at: unknown
        if isinstance(action, RenewLease) and not getattr(report, "refused", ""):
            return self._answer_long_poll(effect, instance, action.wait, now)
        done = PlatformOutcome(effect.token, succeeded=True, report=report)
        return 2 * ONE_WAY_LATENCY_SECONDS, lambda at: done

    def _answer_long_poll(
        self, effect: CallPlatform, instance: EmulatedInstance, wait: float, now: float
    ) -> tuple[float, Callable[[float], PlatformOutcome]]:
        delay = wait
        if instance.ends:
            delay = 0.0
        for execution in instance.running.values():
            delay = min(delay, max(0.0, execution.ends - now))
        delay = min(delay, max(0.0, instance.lease_until - now) or delay)

        def find_outcome(at: float) -> PlatformOutcome:
            self.advance(at)
            if poll in instance.long_polls:
                instance.long_polls.remove(poll)
            if instance.is_dead or instance.is_silent:
                return PlatformOutcome(effect.token, succeeded=False, unknown=True)
            report = self._make_report(instance, at)
            return PlatformOutcome(effect.token, succeeded=True, report=report)

        poll = LongPoll(find_outcome)
        instance.long_polls.append(poll)
        return delay + 2 * ONE_WAY_LATENCY_SECONDS, poll

    def _make_report(self, instance: EmulatedInstance, now: float) -> InstanceReport:
        running = []
        for execution in instance.running.values():
            if execution.end_kind == "stopped":
                continue
            starting = now - execution.started < STARTUP_SECONDS
            percent = 0 if starting else 100
            load = self.find_load(instance, execution)
            row = RunningTask(execution.task, execution.run, percent=percent, load=load)
            running.append(row)
        ended = [
            EndedRun(number, item.task, item.run, cast(EndKind, item.end_kind))
            for number, item in instance.ends[:MAX_LISTED_ENDS]
        ]
        born = instance.registered.born
        return InstanceReport(instance.read_clock(now), born, running, ended)

    def _carry_out(
        self, instance: EmulatedInstance, action: msgspec.Struct, now: float
    ) -> msgspec.Struct:
        # Only run lists name the incarnation.
        clock = instance.read_clock(now)
        fence = getattr(action, "fence", 0)
        if fence < instance.fence:
            if isinstance(action, RenewLease):
                return InstanceReport(clock, refused="fence")
            return OrderReport(clock, refused="fence")
        instance.fence = fence
        match action:
            case RenewLease():
                self._extend(instance, action.lease_until, now)
                self._acknowledge(instance, action.acknowledged)
                return self._make_report(instance, now)
            case StartRun():
                refused = self._start(instance, action, now)
                return OrderReport(clock, refused=refused)
            case StopRun():
                self._stop(instance, action, now)
            case PaceRun():
                present = instance.running.get(action.task)
                if present is not None and present.run == action.run:
                    present.pace = action.percent
        return OrderReport(clock)

    def _extend(
        self, instance: EmulatedInstance, until: int | None, now: float
    ) -> None:
        if until is None:
            return
        seconds = (until - instance.read_clock(now)) / 1000
        end = now + min(seconds, self.max_lease)
        instance.lease_until = max(instance.lease_until, end)

    def _acknowledge(self, instance: EmulatedInstance, number: int) -> None:
        for item in instance.ends:
            if item[0] <= number:
                item[1].acknowledged = not item[1].lapsed
        instance.ends = [item for item in instance.ends if item[0] > number]

    def _start(self, instance: EmulatedInstance, action: StartRun, now: float) -> str:
        present = instance.running.get(action.task)
        if present is not None and present.run == action.run:
            self._extend(instance, action.lease_until, now)
            return ""
        if action.run <= instance.highest_closed_run.get(action.task, 0):
            self._extend(instance, action.lease_until, now)
            return "old"
        if action.lease_until <= instance.read_clock(now):
            return "late"
        if self.advice is not None and not self.advice.accepts_ticket(
            instance, action, now
        ):
            return "ticket"
        self._extend(instance, action.lease_until, now)
        length, end_kind = self._find_length(action.task, action.run)
        execution = Execution(
            action.task,
            action.run,
            instance.registered.life,
            action.spec,
            now,
            now + length,
            end_kind,
        )
        instance.running[action.task] = execution
        self.history.append(execution)
        return ""

    def _stop(self, instance: EmulatedInstance, action: StopRun, now: float) -> None:
        highest_closed_run = instance.highest_closed_run.get(action.task, 0)
        instance.highest_closed_run[action.task] = max(highest_closed_run, action.run)
        present = instance.running.get(action.task)
        if present is not None and present.run <= action.run:
            length = self._random.choice(self.stop_durations)
            present.ends = min(present.ends, now + length)
            present.end_kind = "stopped" if present.ends > now else present.end_kind
            for poll in instance.long_polls:
                poll.wake(present.ends - now + ONE_WAY_LATENCY_SECONDS)

    def _advance_instance(self, instance: EmulatedInstance, now: float) -> None:
        for task, execution in list(instance.running.items()):
            if execution.ends <= now and execution.ends <= instance.lease_until:
                self._end(instance, task, execution, execution.ends, execution.end_kind)
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
        end_kind: str,
    ) -> None:
        del instance.running[task]
        execution.ended, execution.end_kind = at, end_kind
        highest_closed_run = instance.highest_closed_run.get(task, 0)
        instance.highest_closed_run[task] = max(highest_closed_run, execution.run)
        instance.end_count += 1
        instance.ends.append((instance.end_count, execution))

    def _handle_machine_action(
        self, action: ListMachines | MaintainMachine | MoveMachine, now: float
    ) -> msgspec.Struct:
        if isinstance(action, ListMachines):
            return MachineList(list(self.machines.values()))
        order = (now, action.machine, action.holder, action.fence)
        self.machine_orders.append(order)
        if isinstance(action, MaintainMachine):
            maintained = (action.wave, action.machine)
            if maintained in self._maintained:
                return MachineReport()
            self._maintained.add(maintained)
            self.maintenance_orders.append((now, *maintained))
            for instance in self.instances.values():
                if instance.registered.machine == action.machine:
                    self.crash(instance, now)
            self.on_maintenance(action.machine, now)
        return MachineReport()
