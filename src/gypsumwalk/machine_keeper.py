"""Leader's care for machines: maintenance waves within their bounds and budgets."""

from collections.abc import Sequence

import msgspec

from gypsumwalk.declarations import DeclarationSection
from gypsumwalk.dispatcher import Dispatcher
from gypsumwalk.effects import CallPlatform, Effect, Propose, Record, Scalar
from gypsumwalk.events import Event
from gypsumwalk.inputs import (
    Committed,
    Input,
    PlatformOutcome,
    ProposalOutcome,
    ProposalStatus,
)
from gypsumwalk.instance_actions import MachineReport, MaintainMachine
from gypsumwalk.leases import RunState, RunView
from gypsumwalk.machine_directory import MachineDirectory
from gypsumwalk.machine_turns import MachineTurns
from gypsumwalk.task_scheduler import TaskScheduler
from gypsumwalk.upkeep import (
    BeginMaintenance,
    NoteMaintained,
    UpkeepSection,
    UpkeepWave,
)
from gypsumwalk.workload_records import RemoveInstance, TaskKey
from gypsumwalk.workloads import WorkloadSection

__all__ = ["MachineKeeper", "find_pace"]

CHECK_SECONDS = 0.1
"""Interval of steps of a wave; short against the 2 s that a maintenance takes."""

CALL_SECONDS = 2.0
"""Timeout of one call to the API of machines, which may be slow."""

RETRY_SECONDS = 1.0
"""Time in seconds before an order without success is sent again."""

PROPOSAL_SECONDS = 2.0
"""A command not committed by then is proposed again in a later step."""

MISSING_SECONDS = 10.0
"""A machine that is not back by then has failed and is not down for the wave."""

RETURN_SECONDS = 1.0
"""Time in seconds after its maintenance in which a new instance announces itself."""

EMPTY_SECONDS = 1.5
"""Time in seconds in which the tasks of a machine usually end."""

PATIENT_SHARE = 0.45
"""Share of a wave's time in which only resting machines are taken down."""

RESERVE_SECONDS = 4.0
"""Time in seconds before the end of a wave at which tasks are not waited for."""

FULL_PERCENT = 100


class MachineKeeper:
    """The part that takes machines down for waves while this daemon leads.

    Parameters
    ----------
    daemon : str
        Name of the daemon, which is the holder of its orders.
    declarations : DeclarationSection
        Declaration in force.
    workloads : WorkloadSection
        Jobs and instances.
    upkeep : UpkeepSection
        Maintenance waves.
    dispatcher : Dispatcher
        What runs where, and the way to stop it.
    scheduler : TaskScheduler
        Told which machines get no new work.
    directory : MachineDirectory
        The machines.
    turns : MachineTurns
        Who ordered something of each machine last.
    maintenance : float
        Time in seconds that the maintenance of a machine takes.
    """

    name = "machines"
    accepts: tuple[type, ...] = (BeginMaintenance,)

    def __init__(
        self,
        *,
        daemon: str,
        declarations: DeclarationSection,
        workloads: WorkloadSection,
        upkeep: UpkeepSection,
        dispatcher: Dispatcher,
        scheduler: TaskScheduler,
        directory: MachineDirectory,
        turns: MachineTurns,
        maintenance: float,
    ) -> None:
        self._daemon = daemon
        self._declarations = declarations
        self._workloads = workloads
        self._upkeep = upkeep
        self._dispatcher = dispatcher
        self._scheduler = scheduler
        self._directory = directory
        self._turns = turns
        self._maintenance = maintenance
        self._term = 0
        self._ordered: dict[str, float] = {}
        self._lives: dict[str, str] = {}
        self._answered: dict[str, float] = {}
        self._term_began = float("-inf")
        self._open: dict[str, tuple[int, str]] = {}
        self._noting: set[str] = set()
        self._count = 0
        self._due = 0.0

    @property
    def wakeup(self) -> float:
        """Time in seconds of the next step."""
        return self._due

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Take in the end of a call, or a committed beginning of a maintenance."""
        if isinstance(item, Committed) and isinstance(item.command, BeginMaintenance):
            machine = item.command.machine
            at = self._upkeep.ordered_at.get(machine, now)
            self._turns.note([machine], item.command.holder, at=at, now=now)
        if self._dispatcher.term == 0 or self._dispatcher.term != self._term:
            return []
        match item:
            case Committed(command=BeginMaintenance() as command):
                return self._order(command.wave, command.machine, now)
            case PlatformOutcome():
                return self._take_outcome(item, now)
            case ProposalOutcome(token=token, status=status):
                # A beginning that may still be committed counts as down.
                if status is not ProposalStatus.UNKNOWN:
                    self._noting.discard(token)
        return []

    def advance(self, now: float) -> Sequence[Effect]:
        """Take the next steps of the open waves."""
        self._due = now + CHECK_SECONDS
        if not self._dispatcher.term or not self._dispatcher.is_leading(now):
            return []
        if self._dispatcher.term != self._term:
            self._begin_term(now)
        waves = self._upkeep.list_open()
        if not waves:
            self._scheduler.cordoned.clear()
            return []
        if not self._directory.machines:
            return []
        effects: list[Effect] = []
        for wave in waves:
            effects += self._step(wave, now)
        return effects

    def _begin_term(self, now: float) -> None:
        self._term = self._dispatcher.term
        self._ordered.clear()
        self._lives.clear()
        self._answered.clear()
        self._term_began = now
        self._open.clear()
        self._noting.clear()

    # Steps of a wave

    def _step(self, wave: UpkeepWave, now: float) -> list[Effect]:
        effects = self._drop_missing(wave)
        remaining = [
            item for item in wave.remaining if item in self._directory.machines
        ]
        effects += self._resend_orders(wave, remaining, now)
        down = sum(self._is_down(wave, machine, now) for machine in wave.begun)
        down += sum(self._is_beginning(wave, machine) for machine in remaining)
        due = [
            item
            for item in remaining
            if item not in wave.begun
            and item not in self._scheduler.changing_pool
            and self._turns.may_order(item, now)
        ]
        due.sort(key=self._count_runs)
        resting = [item for item in due if self._is_resting(item)]
        busy = [item for item in due if item not in resting]
        pace = find_pace(
            len(due),
            wave,
            now,
            self._maintenance,
            waits=bool(self._declarations.find_standby()),
        )
        chosen = resting[: wave.max_down] + busy[:pace]
        self._scheduler.cordoned = set(chosen) | {
            machine for machine in wave.begun if self._is_down(wave, machine, now)
        }
        hurried = now > wave.started + wave.duration - self._find_time_needed(wave, due)
        for machine in chosen:
            effects += self._empty(machine, now)
            if self._is_beginning(wave, machine):
                continue
            if down >= wave.max_down or not self._may_take_down(machine, hurried):
                continue
            down += 1
            effects += self._begin(wave, machine)
        return effects

    def _is_resting(self, machine: str) -> bool:
        return (
            self._directory.machines[machine].service
            == self._declarations.find_standby()
        )

    def _find_time_needed(self, wave: UpkeepWave, due: list[str]) -> float:
        rounds = -(-len(due) // wave.max_down)
        return rounds * (self._maintenance + RETURN_SECONDS) + RESERVE_SECONDS

    def _is_down(self, wave: UpkeepWave, machine: str, now: float) -> bool:
        begun = wave.begun[machine]
        # An order may be carried out long after it was begun; an earlier leader's
        # order at the beginning of the term at the latest.
        since = max(begun.at, self._answered.get(machine, self._term_began))
        if now > since + self._maintenance + MISSING_SECONDS:
            return False
        if machine not in wave.maintained:
            return True
        life = self._lives.get(machine, begun.life)
        if not life:
            # A machine whose pool is off comes back without an instance.
            return now <= since + self._maintenance + RETURN_SECONDS
        instance = self._directory.find_instance(machine)
        return instance is None or instance.life == life

    def _list_runs(self, machine: str) -> list[RunView]:
        instance = self._directory.find_instance(machine)
        view = (
            self._dispatcher.lease_table.instances.get(instance.life)
            if instance
            else None
        )
        return list(view.runs.values()) if view else []

    def _count_runs(self, machine: str) -> tuple[bool, int]:
        instance = self._directory.find_instance(machine)
        unavailable = instance is not None and instance.draining
        return unavailable, len(self._list_runs(machine))

    def _empty(self, machine: str, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for run in self._list_runs(machine):
            if run.is_stopping or run.state is not RunState.RUNNING:
                continue
            if self._is_lasting(run) and self._may_interrupt(run):
                attributes: dict[str, Scalar] = {"run": run.run, "machine": machine}
                effects.append(Record(Event.RUN_EVACUATED, str(run.task), attributes))
                effects += self._dispatcher.stop(run, now)
        return effects

    def _is_lasting(self, run: RunView) -> bool:
        step = self._workloads.find_step(run.task)
        return step is not None and step.lasting

    def _may_interrupt(self, run: RunView) -> bool:
        workload = self._workloads.jobs[run.task.job]
        step = workload.steps[run.task.step]
        if step.max_unavailable < 0:
            return True
        at_work = 0
        for number in range(step.count):
            task = run.task._replace(number=number)
            if number != run.task.number and self._is_at_work(task):
                at_work += 1
        return step.count - 1 - at_work < step.max_unavailable

    def _is_at_work(self, task: TaskKey) -> bool:
        runs = self._dispatcher.lease_table.runs_by_task.get(task, {})
        return any(
            run.state is RunState.RUNNING
            and run.first_listed_at > 0
            and run.percent >= FULL_PERCENT
            and not run.is_stopping
            for run in runs.values()
        )

    def _may_take_down(self, machine: str, hurried: bool) -> bool:
        info = self._directory.machines[machine]
        if info.state != "up":
            return False
        runs = self._list_runs(machine)
        if any(self._is_lasting(run) for run in runs):
            return False
        return hurried or not runs

    def _is_beginning(self, wave: UpkeepWave, machine: str) -> bool:
        if machine in wave.begun:
            return False
        return self._name_beginning(wave, machine) in self._noting

    def _name_beginning(self, wave: UpkeepWave, machine: str) -> str:
        return f"{self.name}/begin/{wave.wave}/{machine}"

    def _begin(self, wave: UpkeepWave, machine: str) -> list[Effect]:
        token = self._name_beginning(wave, machine)
        self._noting.add(token)
        instance = self._directory.find_instance(machine)
        life = instance.life if instance else ""
        command = BeginMaintenance(wave.wave, machine, life, self._daemon)
        return [Propose(token, command, PROPOSAL_SECONDS)]

    def _drop_missing(self, wave: UpkeepWave) -> list[Effect]:
        gone = [item for item in wave.remaining if item not in self._directory.machines]
        return self._note(wave.wave, gone) if gone else []

    def _note(self, wave: int, machines: list[str]) -> list[Effect]:
        token = f"{self.name}/note/{wave}/{','.join(machines)}"
        if token in self._noting:
            return []
        self._noting.add(token)
        return [Propose(token, NoteMaintained(wave, machines), PROPOSAL_SECONDS)]

    # Orders

    def _resend_orders(
        self, wave: UpkeepWave, remaining: list[str], now: float
    ) -> list[Effect]:
        effects: list[Effect] = []
        for machine in remaining:
            if machine not in wave.begun:
                continue
            if now - self._ordered.get(machine, float("-inf")) >= RETRY_SECONDS:
                effects += self._order(wave.wave, machine, now)
        return effects

    def _order(self, wave: int, machine: str, now: float) -> list[Effect]:
        if not self._dispatcher.is_leading(now):
            return []
        if not self._turns.may_order(machine, now):
            return []
        self._ordered[machine] = now
        if machine not in self._lives:
            instance = self._directory.find_instance(machine)
            self._lives[machine] = instance.life if instance else ""
        self._count += 1
        token = f"{self.name}/order/{self._count}"
        self._open[token] = (wave, machine)
        action = MaintainMachine(machine, wave, self._daemon, self._term)
        record = Record(Event.MAINTENANCE_ORDERED, machine, {"wave": wave})
        return [record, CallPlatform(token, action, CALL_SECONDS)]

    def _take_outcome(self, item: PlatformOutcome, now: float) -> list[Effect]:
        order = self._open.pop(item.token, None)
        if order is None or not isinstance(item.report, MachineReport):
            return []
        if not item.report.refused:
            self._answered[order[1]] = now
        return self._take_report(*order, item.report)

    def _take_report(
        self, wave: int, machine: str, report: MachineReport
    ) -> list[Effect]:
        attributes: dict[str, Scalar] = {
            "wave": wave,
            "outcome": report.refused or "done",
        }
        effects: list[Effect] = [
            Record(Event.MAINTENANCE_ANSWERED, machine, attributes)
        ]
        if report.refused in ("busy", "limit", "fence"):
            return effects
        life = self._lives.get(machine, "")
        if life and not report.refused:
            effects.append(self._propose_end(life))
        return effects + self._note(wave, [machine])

    def _propose_end(self, life: str) -> Propose:
        command: msgspec.Struct = RemoveInstance(life)
        return Propose(f"{self.name}/end/{life}", command, PROPOSAL_SECONDS)


def find_pace(
    due: int, wave: UpkeepWave, now: float, maintenance: float, *, waits: bool
) -> int:
    """Return how many machines in use a wave empties and takes down at once.

    A queue in its turn needs its machines, and most of them rest at another time, so a
    wave waits for that at first, and then takes no more than it needs to end in time.

    Parameters
    ----------
    due : int
        Machines that are still due.
    wave : UpkeepWave
        The wave.
    now : float
        Time in seconds.
    maintenance : float
        Time in seconds that the maintenance of a machine takes.
    waits : bool
        Whether machines come to rest at all.

    Returns
    -------
    int
        Number of machines.
    """
    left = wave.started + wave.duration - now - RESERVE_SECONDS
    if waits and left > (1 - PATIENT_SHARE) * wave.duration:
        return 0
    length = maintenance + RETURN_SECONDS + EMPTY_SECONDS
    rounds = max(1, int(left / length))
    return min(wave.max_down, -(-due // rounds))
