"""Control loop of the leader that takes machines down for maintenance waves."""

from collections import Counter
from collections.abc import Sequence

import msgspec

from gypsumwalk.declarations import DeclarationSection
from gypsumwalk.dispatcher import Dispatcher
from gypsumwalk.effects import CallPlatform, Effect, Propose, Record, Scalar
from gypsumwalk.evacuations import EvacuationSection
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
from gypsumwalk.order_cooldown import UNKNOWN_HOLDER, OrderCooldown
from gypsumwalk.task_scheduler import TaskScheduler
from gypsumwalk.upkeep import (
    BeginMaintenance,
    NoteMaintained,
    UpkeepSection,
    UpkeepWave,
)
from gypsumwalk.workload_records import RemoveInstance, split_life

__all__ = ["MaintenanceController", "find_concurrency"]

CHECK_SECONDS = 0.1
"""Interval of the control loop; short against the 2 s that a maintenance takes."""

CALL_SECONDS = 2.0
"""Timeout of one call to the machine API, which may be slow."""

RETRY_SECONDS = 1.0
"""Time before an order that was not successful is sent again."""

PROPOSAL_SECONDS = 2.0
"""Timeout of a proposal; a later step proposes the command again."""

RETURN_TIMEOUT_SECONDS = 10.0
"""Time after which a machine that has not returned counts as failed, not as down."""

GONE_SECONDS = 10.0
"""Time for which a machine is missing from the lists before it counts as gone; one that
is replaced, or was added after the list was made, is listed within seconds."""

REGISTRATION_SECONDS = 1.0
"""Time after a maintenance until the new instance registers."""

DRAIN_SECONDS = 1.5
"""Time that draining the tasks of a machine usually takes."""

STANDBY_ONLY_SHARE = 0.45
"""Share of a wave's duration in which only standby machines are taken down."""

DEADLINE_RESERVE_SECONDS = 4.0
"""Time before a wave's deadline from which running tasks are not waited for."""


class MaintenanceController:
    """Part that drains machines and takes them down while this daemon leads.

    A wave has at most ``max_down`` machines down at once, without those that failed,
    and stops long-running tasks of a step only as far as ``max_unavailable`` allows.

    Parameters
    ----------
    daemon : str
        Name of the daemon, which is the holder in its orders.
    declarations : DeclarationSection
        Declaration in force.
    upkeep : UpkeepSection
        Maintenance waves.
    evacuations : EvacuationSection
        Evacuated data centres, whose idle machines can be taken down at any time.
    dispatcher : Dispatcher
        Placement of runs on instances, and orders to stop them.
    scheduler : TaskScheduler
        Scheduler, which places no runs on cordoned machines.
    directory : MachineDirectory
        Machines of the fleet.
    cooldown : OrderCooldown
        Cooldown between orders of different daemons to a machine.
    maintenance : float
        Time in seconds that the maintenance of a machine takes.
    """

    name = "machines"
    accepts: tuple[type, ...] = (BeginMaintenance, NoteMaintained)

    def __init__(
        self,
        *,
        daemon: str,
        declarations: DeclarationSection,
        upkeep: UpkeepSection,
        evacuations: EvacuationSection,
        dispatcher: Dispatcher,
        scheduler: TaskScheduler,
        directory: MachineDirectory,
        cooldown: OrderCooldown,
        maintenance: float,
    ) -> None:
        self._daemon = daemon
        self._declarations = declarations
        self._upkeep = upkeep
        self._evacuations = evacuations
        self._dispatcher = dispatcher
        self._scheduler = scheduler
        self._directory = directory
        self._cooldown = cooldown
        self._maintenance = maintenance
        self._term = 0
        self._ordered_at: dict[str, float] = {}
        self._lives: dict[str, str] = {}
        self._answered_at: dict[str, float] = {}
        self._missing_since: dict[str, float] = {}
        """Time in seconds of the first list without a machine that a wave waits for."""
        self._term_began = float("-inf")
        self._open_orders: dict[str, tuple[int, str]] = {}
        self._effective_orders: Counter[str] = Counter()
        """Number of orders to each machine that were carried out or may be."""
        self._pending_proposals: dict[str, Propose] = {}
        self._known_loads = 0
        self._count = 0
        self._due = 0.0

    @property
    def wakeup(self) -> float:
        """Time in seconds of the next step."""
        return self._due

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Process the outcome of a call or proposal, or a committed command."""
        self._delay_after_snapshot(now)
        if isinstance(item, Committed):
            self._record_holder(item, now)
        if self._dispatcher.term == 0 or self._dispatcher.term != self._term:
            return []
        match item:
            case Committed(command=BeginMaintenance() as command):
                return self._send_first_order(command, item.at, now)
            case PlatformOutcome():
                return self._handle_outcome(item, now)
            case ProposalOutcome(token=token, status=status):
                return self._handle_proposal_outcome(token, status)
        return []

    def _delay_after_snapshot(self, now: float) -> None:
        if self._upkeep.loads != self._known_loads:
            self._known_loads = self._upkeep.loads
            self._cooldown.record_unknown_orders(now)

    def _record_holder(self, item: Committed, now: float) -> None:
        match item.command:
            case BeginMaintenance(machine=machine, holder=holder):
                at = self._upkeep.ordered_at.get(machine, now)
                self._cooldown.record([machine], holder, at=at, now=now)
            case NoteMaintained(machines=machines, holder=holder) if holder:
                self._cooldown.record(machines, holder, at=item.at, now=now)

    def _handle_proposal_outcome(
        self, token: str, status: ProposalStatus
    ) -> list[Effect]:
        proposal = self._pending_proposals.get(token)
        if proposal is not None and status is ProposalStatus.UNKNOWN:
            # It may still be committed, so its machine counts as down; the repetition
            # has no further effect if it is.
            return [proposal]
        self._pending_proposals.pop(token, None)
        return []

    def advance(self, now: float) -> Sequence[Effect]:
        """Advance the open waves."""
        self._due = now + CHECK_SECONDS
        self._delay_after_snapshot(now)
        if not self._dispatcher.term or not self._dispatcher.is_leading(now):
            return []
        if self._dispatcher.term != self._term:
            self._begin_term(now)
        waves = self._upkeep.list_open()
        self._scheduler.due_for_maintenance.clear()
        if not waves:
            self._cordon(set(), now)
            return []
        if not self._directory.machines:
            return []
        effects: list[Effect] = []
        cordoned: set[str] = set()
        for wave in waves:
            effects += self._advance_wave(wave, cordoned, now)
        self._cordon(cordoned, now)
        return effects

    def _cordon(self, machines: set[str], now: float) -> None:
        """Replace the cordoned machines; tasks may wait for the others."""
        if self._scheduler.cordoned - machines:
            self._dispatcher.request_scheduling_pass(now)
        self._scheduler.cordoned = machines

    def _begin_term(self, now: float) -> None:
        self._term = self._dispatcher.term
        self._ordered_at.clear()
        self._lives.clear()
        self._answered_at.clear()
        self._missing_since.clear()
        self._term_began = now
        self._open_orders.clear()
        self._effective_orders.clear()
        self._pending_proposals.clear()
        self._cordon(set(), now)
        self._delay_open_orders(now)

    def _delay_open_orders(self, now: float) -> None:
        """Wait as if a former leader had repeated its open orders until just now."""
        for wave in self._upkeep.list_open():
            ordered = [item for item in wave.remaining if item in wave.begun]
            self._cooldown.record(ordered, UNKNOWN_HOLDER, at=now, now=now)

    # Waves

    def _advance_wave(
        self, wave: UpkeepWave, cordoned: set[str], now: float
    ) -> list[Effect]:
        effects = self._complete_missing(wave)
        remaining = [
            item for item in wave.remaining if item in self._directory.machines
        ]
        effects += self._resend_orders(wave, remaining, now)
        down = sum(self._is_down(wave, machine, now) for machine in wave.begun)
        down += sum(self._is_begin_pending(wave, machine) for machine in remaining)
        due = [
            item
            for item in remaining
            if item not in wave.begun
            and item not in self._scheduler.changing_pool
            and self._cooldown.can_order(item, now)
        ]
        due.sort(key=self._find_drain_cost)
        spare = [item for item in due if self._is_spare(item)]
        active = [item for item in due if item not in spare]
        concurrency = find_concurrency(
            len(due),
            wave,
            now,
            self._maintenance,
            has_standby=bool(self._declarations.find_standby()),
        )
        chosen = spare[: wave.max_down] + active[:concurrency]
        cordoned.update(chosen)
        cordoned.update(item for item in wave.begun if self._is_down(wave, item, now))
        is_urgent = now > wave.started + wave.duration - self._find_time_needed(
            wave, due
        )
        for machine in chosen:
            effects += self._drain(machine, now)
            if self._is_begin_pending(wave, machine):
                continue
            if down >= wave.max_down or not self._may_take_down(machine, is_urgent):
                continue
            down += 1
            effects += self._propose_begin(wave, machine)
        self._scheduler.due_for_maintenance.update(due)
        later = [item for item in active if item not in chosen]
        return effects + self._drain_ahead(later, now)

    def _is_spare(self, machine: str) -> bool:
        """Tell whether nothing is lost while a machine is down.

        It is in the standby pool, or idle in an evacuated data centre.
        """
        info = self._directory.machines[machine]
        if info.service == self._declarations.find_standby():
            return True
        data_centre = self._directory.find_data_centre(machine)
        is_evacuated = data_centre in self._evacuations.data_centres
        return is_evacuated and not self._list_runs(machine)

    def _find_time_needed(self, wave: UpkeepWave, due: list[str]) -> float:
        rounds = -(-len(due) // wave.max_down)
        return (
            rounds * (self._maintenance + REGISTRATION_SECONDS)
            + DEADLINE_RESERVE_SECONDS
        )

    def _is_down(self, wave: UpkeepWave, machine: str, now: float) -> bool:
        begun = wave.begun[machine]
        # An order may be executed long after its command was committed; an order of an
        # earlier leader is executed by the beginning of this term.
        since = max(begun.at, self._answered_at.get(machine, self._term_began))
        if now > since + self._maintenance + RETURN_TIMEOUT_SECONDS:
            return False
        if machine not in wave.maintained:
            return True
        life = self._lives.get(machine, begun.life)
        is_repeated = machine in self._answered_at and machine not in self._lives
        if is_repeated and now <= since + self._maintenance + REGISTRATION_SECONDS:
            # The order of an earlier leader may have ended a life unknown here.
            return True
        if not life:
            # A machine in the standby pool returns without an instance.
            return not self._directory.is_in_service(machine, since + self._maintenance)
        instance = self._directory.find_instance(machine)
        if instance is None:
            return True
        # A life that began earlier may be listed until it is known to have ended.
        return split_life(instance.life)[1] <= split_life(life)[1]

    def _list_runs(self, machine: str) -> list[RunView]:
        view = self._directory.find_view(machine)
        return list(view.runs.values()) if view else []

    def _find_drain_cost(self, machine: str) -> tuple[bool, int]:
        instance = self._directory.find_instance(machine)
        is_draining = instance is not None and instance.draining
        return is_draining, len(self._list_runs(machine))

    def _drain(self, machine: str, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for run in self._list_runs(machine):
            if run.is_stopping or run.state is not RunState.RUNNING:
                continue
            if run.is_lasting and self._dispatcher.may_interrupt(run):
                effects += self._evacuate(run, machine, now)
        return effects

    def _drain_ahead(self, machines: Sequence[str], now: float) -> list[Effect]:
        """Evacuate lasting tasks of machines that are taken down later.

        The budgets of their steps allow only a few evacuations at a time, too few for
        the end of a wave. Transient tasks still start on these machines.
        """
        effects: list[Effect] = []
        exhausted: set[tuple[str, int, int]] = set()
        for machine in machines:
            for run in self._list_runs(machine):
                step = run.task[:3]
                if run.is_stopping or run.state is not RunState.RUNNING:
                    continue
                if not run.is_lasting or step in exhausted:
                    continue
                if not self._dispatcher.may_interrupt(run):
                    exhausted.add(step)
                elif self._scheduler.can_move(run, self._dispatcher.lease_table, now):
                    effects += self._evacuate(run, machine, now)
        return effects

    def _evacuate(self, run: RunView, machine: str, now: float) -> list[Effect]:
        attributes: dict[str, Scalar] = {"run": run.run, "machine": machine}
        record = Record(Event.RUN_EVACUATED, str(run.task), attributes)
        return [record, *self._dispatcher.stop(run, now)]

    def _may_take_down(self, machine: str, is_urgent: bool) -> bool:
        info = self._directory.machines[machine]
        if info.state != "up":
            return False
        runs = self._list_runs(machine)
        if any(run.is_lasting for run in runs):
            return False
        return is_urgent or not runs

    def _is_begin_pending(self, wave: UpkeepWave, machine: str) -> bool:
        if machine in wave.begun:
            return False
        return self._make_begin_token(wave, machine) in self._pending_proposals

    def _make_begin_token(self, wave: UpkeepWave, machine: str) -> str:
        return f"{self.name}/begin/{wave.wave}/{machine}"

    def _propose_begin(self, wave: UpkeepWave, machine: str) -> list[Effect]:
        token = self._make_begin_token(wave, machine)
        instance = self._directory.find_instance(machine)
        life = instance.life if instance else ""
        return self._propose(
            token, BeginMaintenance(wave.wave, machine, life, self._daemon)
        )

    def _complete_missing(self, wave: UpkeepWave) -> list[Effect]:
        """Do not wait any longer for machines that have left the fleet.

        They may return, so they are given up once the wave waits for no others.
        """
        remaining = wave.remaining
        gone = [item for item in remaining if self._is_gone(item)]
        if len(gone) < len(remaining):
            return []
        attributes: dict[str, Scalar] = {"wave": wave.wave}
        proposed = self._propose_maintained(wave.wave, gone)
        if not proposed:
            return []
        records = [Record(Event.MACHINE_GONE, item, attributes) for item in gone]
        return [*records, *proposed]

    def _is_gone(self, machine: str) -> bool:
        if machine in self._directory.machines:
            self._missing_since.pop(machine, None)
            return False
        read_at = self._directory.read_at
        return (
            read_at - self._missing_since.setdefault(machine, read_at) >= GONE_SECONDS
        )

    def _propose_maintained(
        self, wave: int, machines: list[str], holder: str = ""
    ) -> list[Effect]:
        token = f"{self.name}/note/{wave}/{','.join(machines)}"
        if token in self._pending_proposals:
            return []
        return self._propose(token, NoteMaintained(wave, machines, holder))

    def _propose(self, token: str, command: msgspec.Struct) -> list[Effect]:
        proposal = Propose(token, command, PROPOSAL_SECONDS)
        self._pending_proposals[token] = proposal
        return [proposal]

    # Orders

    def _resend_orders(
        self, wave: UpkeepWave, remaining: list[str], now: float
    ) -> list[Effect]:
        effects: list[Effect] = []
        for machine in remaining:
            if machine not in wave.begun:
                continue
            if now - self._ordered_at.get(machine, float("-inf")) >= RETRY_SECONDS:
                effects += self._order(wave.wave, machine, now)
        return effects

    def _send_first_order(
        self, command: BeginMaintenance, at: float, now: float
    ) -> list[Effect]:
        wave = self._upkeep.waves.get(command.wave)
        begun = wave.begun.get(command.machine) if wave else None
        if begun is None or begun.at != at:
            # A repetition: the machine may be back, with another life.
            return []
        self._record_life(command.machine)
        return self._order(command.wave, command.machine, now)

    def _record_life(self, machine: str) -> None:
        """Record the life that the next order to a machine ends."""
        instance = self._directory.find_instance(machine)
        self._lives[machine] = instance.life if instance else ""

    def _order(self, wave: int, machine: str, now: float) -> list[Effect]:
        if not self._dispatcher.is_leading(now):
            return []
        if not self._cooldown.can_order(machine, now):
            return []
        if machine in self._lives and not self._effective_orders[machine]:
            self._record_life(machine)
        self._effective_orders[machine] += 1
        self._ordered_at[machine] = now
        self._count += 1
        token = f"{self.name}/order/{self._count}"
        self._open_orders[token] = (wave, machine)
        action = MaintainMachine(machine, wave, self._daemon, self._term)
        record = Record(Event.MAINTENANCE_ORDERED, machine, {"wave": wave})
        return [record, CallPlatform(token, action, CALL_SECONDS)]

    def _handle_outcome(self, item: PlatformOutcome, now: float) -> list[Effect]:
        order = self._open_orders.pop(item.token, None)
        if order is None:
            return []
        if not isinstance(item.report, MachineReport):
            if not item.unknown:
                self._effective_orders[order[1]] -= 1
            return []
        if item.report.refused:
            self._effective_orders[order[1]] -= 1
        else:
            self._answered_at[order[1]] = now
        return self._handle_report(*order, item.report)

    def _handle_report(
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
        # The platform also answers so if an earlier leader's order was carried out, and
        # another life may run there now than the one that ended.
        begun = self._upkeep.waves[wave].begun[machine]
        life = self._lives.get(machine, begun.life)
        if life and not report.refused:
            effects.append(self._propose_removal(life))
        return effects + self._propose_maintained(wave, [machine], self._daemon)

    def _propose_removal(self, life: str) -> Propose:
        command = RemoveInstance(life, reason="its machine is maintained")
        return Propose(f"{self.name}/end/{life}", command, PROPOSAL_SECONDS)


def find_concurrency(
    due: int, wave: UpkeepWave, now: float, maintenance: float, *, has_standby: bool
) -> int:
    """Return how many machines in use a wave may drain and take down at once.

    A queue needs its machines during a burst of demand, and most of them are in standby
    at other times. So a wave first waits for machines to enter standby, and then drains
    no more machines in use than it needs to end in time.

    Parameters
    ----------
    due : int
        Number of machines that are still due.
    wave : UpkeepWave
        The wave.
    now : float
        Time in seconds.
    maintenance : float
        Time in seconds that the maintenance of a machine takes.
    has_standby : bool
        Whether the fleet has a standby pool.

    Returns
    -------
    int
        Number of machines, at most ``max_down``.
    """
    remaining_seconds = wave.started + wave.duration - now - DEADLINE_RESERVE_SECONDS
    if has_standby and remaining_seconds > (1 - STANDBY_ONLY_SHARE) * wave.duration:
        return 0
    round_seconds = maintenance + REGISTRATION_SECONDS + DRAIN_SECONDS
    rounds = max(1, int(remaining_seconds / round_seconds))
    return min(wave.max_down, -(-due // rounds))
