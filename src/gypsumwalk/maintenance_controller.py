"""Control loop of the leader that takes machines down for maintenance waves."""

from collections.abc import Mapping, Sequence
from dataclasses import replace

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
from gypsumwalk.leases import RunView
from gypsumwalk.machine_directory import MachineDirectory
from gypsumwalk.maintenance_orders import MaintenanceOrders
from gypsumwalk.order_cooldown import UNKNOWN_HOLDER, OrderCooldown
from gypsumwalk.task_scheduler import TaskScheduler
from gypsumwalk.upkeep import (
    BeginMaintenance,
    BegunMaintenance,
    NoteMaintained,
    UpkeepSection,
    UpkeepWave,
)
from gypsumwalk.wave_draining import WaveDraining
from gypsumwalk.wave_holds import WaveHolds
from gypsumwalk.wave_pacing import (
    REGISTRATION_SECONDS,
    WaveMachine,
    WavePlan,
    find_concurrency,
    find_drain_cost,
    find_hold,
    is_wave_urgent,
    plan_wave,
)
from gypsumwalk.workload_records import RemoveInstance, split_life

__all__ = ["MaintenanceController", "find_concurrency"]

CHECK_SECONDS = 0.1
"""Interval of the control loop; short against the 2 s that a maintenance takes."""

CALL_SECONDS = 2.0
"""Timeout of one call to the machine API, which may be slow."""

PROPOSAL_SECONDS = 2.0
"""Timeout of a proposal; a later step proposes the command again."""

RETURN_TIMEOUT_SECONDS = 10.0
"""Time after which a machine that has not returned counts as failed, not as down."""

GONE_SECONDS = 10.0
"""Time for which a machine is missing from the lists before it counts as gone; one that
is replaced, or was added after the list was made, is listed within seconds."""


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
        self._draining = WaveDraining(
            dispatcher=dispatcher, scheduler=scheduler, directory=directory
        )
        self._term = 0
        self._lives: dict[str, str] = {}
        self._replaced: set[str] = set()
        """Machines that had a later life than the recorded one at an order."""
        self._answered_at: dict[str, float] = {}
        self._missing_since: dict[str, float] = {}
        """Time in seconds of the first list without a machine that a wave waits for."""
        self._term_began = float("-inf")
        self._orders = MaintenanceOrders(maintenance + REGISTRATION_SECONDS)
        self._pending_proposals: dict[str, Propose] = {}
        self._emptied: set[str] = set()
        """Machines that were emptied ahead of their turn in a wave."""
        self._holds = WaveHolds()
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
        self._scheduler.held_in_pool.clear()
        if not waves:
            self._emptied.clear()
            self._cordon(set(), now)
            return []
        if not self._directory.machines:
            return []
        waiting = {wave.wave: self._list_waiting(wave, now) for wave in waves}
        due = [item.machine for listed in waiting.values() for item in listed]
        self._draining.begin(due, now)
        effects: list[Effect] = []
        cordoned: set[str] = set()
        later: list[str] = []
        for wave in waves:
            effects += self._advance_wave(
                wave, waiting[wave.wave], cordoned, later, now
            )
        effects += self._draining.drain_ahead(later, now)
        self._cordon(cordoned, now)
        return [*self._draining.take_records(), *effects]

    def _cordon(self, machines: set[str], now: float) -> None:
        """Replace the cordoned machines; tasks may wait for the others."""
        if self._scheduler.cordoned - machines:
            self._dispatcher.request_scheduling_pass(now)
        self._scheduler.cordoned = machines

    def _begin_term(self, now: float) -> None:
        self._term = self._dispatcher.term
        self._lives.clear()
        self._replaced.clear()
        self._answered_at.clear()
        self._missing_since.clear()
        self._term_began = now
        self._orders.clear()
        self._pending_proposals.clear()
        self._emptied.clear()
        self._holds.clear()
        self._draining.clear()
        self._cordon(set(), now)
        self._delay_open_orders(now)

    def _delay_open_orders(self, now: float) -> None:
        """Wait as if a former leader had repeated its open orders until just now."""
        for wave in self._upkeep.list_open():
            ordered = [item for item in wave.remaining if item in wave.begun]
            self._cooldown.record(ordered, UNKNOWN_HOLDER, at=now, now=now)

    # Waves

    def _list_waiting(self, wave: UpkeepWave, now: float) -> list[WaveMachine]:
        """Return the machines of a wave without an order, the next one first."""
        waiting = [
            self._describe(machine, now)
            for machine in wave.remaining
            if machine not in wave.begun
        ]
        return sorted(waiting, key=find_drain_cost)

    def _advance_wave(
        self,
        wave: UpkeepWave,
        waiting: Sequence[WaveMachine],
        cordoned: set[str],
        later: list[str],
        now: float,
    ) -> list[Effect]:
        """Advance a wave; add its closed machines, and those that are emptied later."""
        effects = self._complete_missing(wave)
        remaining = [
            item for item in wave.remaining if item in self._directory.machines
        ]
        effects += self._resend_orders(wave, remaining, now)
        down = sum(self._is_down(wave, machine, now) for machine in wave.begun)
        down += sum(self._is_begin_pending(wave, machine) for machine in remaining)
        plan = self._plan(wave, waiting, now, has_room=down < wave.max_down)
        self._emptied |= set(plan.emptied)
        self._emptied.difference_update(plan.blocked)
        later += plan.later
        cordoned.update(plan.chosen)
        cordoned.update(item for item in wave.begun if self._is_down(wave, item, now))
        # One that is ordered down only now and then must not get work in between.
        cordoned.update(item for item in remaining if item in wave.begun)
        views = {item.machine: item for item in waiting}
        begun, down = self._begin_chosen(wave, plan, views, down, now)
        effects += begun
        effects += self._retry_refused(wave, remaining, down, now)
        listed = [item.machine for item in waiting if item.is_listed]
        self._scheduler.due_for_maintenance.update(listed)
        if plan.is_closing:
            self._scheduler.held_in_pool.update(listed)
        has_room = down < wave.max_down
        unordered = [
            item for item in waiting if not self._is_begin_pending(wave, item.machine)
        ]
        return effects + self._holds.report(
            wave, unordered, plan, now, has_room=has_room
        )

    def _begin_chosen(
        self,
        wave: UpkeepWave,
        plan: WavePlan,
        views: Mapping[str, WaveMachine],
        down: int,
        now: float,
    ) -> tuple[list[Effect], int]:
        """Drain the chosen machines, and take down those that nothing holds back.

        Return the effects, and how many machines of the wave are down.
        """
        effects: list[Effect] = []
        # Their tasks wait for their return, so no other machine may take their turn.
        pausing = {item for item in plan.chosen if self._draining.is_pausing(item)}
        for machine in plan.chosen:
            view = views[machine]
            has_room = down + len(pausing - {machine}) < wave.max_down
            can_go_down = has_room and self._can_go_down_paused(view, plan)
            effects += self._draining.drain(machine, now, can_go_down=can_go_down)
            if self._draining.is_pausing(machine):
                pausing.add(machine)
            if self._is_begin_pending(wave, machine):
                pausing.discard(machine)
                continue
            if find_hold(view, plan, has_room=has_room) is None:
                down += 1
                pausing.discard(machine)
                effects += self._propose_begin(wave, machine)
        return effects, down

    def _can_go_down_paused(self, view: WaveMachine, plan: WavePlan) -> bool:
        """Tell whether only the lasting runs of a machine hold it back."""
        runs = view.runs - view.lasting_runs
        paused = replace(view, runs=runs, lasting_runs=0, stopping_runs=0)
        is_held = find_hold(paused, plan, has_room=True) is not None
        return not is_held and not view.stopping_runs

    def _plan(
        self,
        wave: UpkeepWave,
        waiting: Sequence[WaveMachine],
        now: float,
        *,
        has_room: bool,
    ) -> WavePlan:
        is_urgent = is_wave_urgent(wave, waiting, now, self._maintenance)

        def can_empty(item: WaveMachine) -> bool:
            is_idle = not item.lasting_runs and (is_urgent or not item.runs)
            return self._draining.can_empty(
                item.machine,
                can_go_down=has_room and item.is_up and is_idle,
                is_leaving=item.is_leaving,
            )

        used = [item.machine for item in waiting if item.lasting_runs]
        rounds, at_once = self._draining.count_moves(used)
        return plan_wave(
            wave,
            waiting,
            now,
            self._maintenance,
            has_standby=bool(self._declarations.find_standby()),
            move_rounds=rounds,
            movable=self._draining.list_movable(used, at_once),
            can_empty=can_empty,
        )

    def _is_spare(self, machine: str, runs: Sequence[RunView]) -> bool:
        """Tell whether nothing is lost while a machine is down.

        It is in the standby pool, or idle in an evacuated data centre.
        """
        info = self._directory.machines[machine]
        if info.service == self._declarations.find_standby():
            return True
        data_centre = self._directory.find_data_centre(machine)
        return not runs and data_centre in self._evacuations.data_centres

    def _describe(self, machine: str, now: float) -> WaveMachine:
        info = self._directory.machines.get(machine)
        if info is None:
            return WaveMachine(machine, is_listed=False)
        instance = self._directory.find_instance(machine)
        runs = self._draining.list_runs(machine)
        lasting = [run for run in runs if run.is_lasting]
        return WaveMachine(
            machine,
            is_up=info.state == "up",
            is_moving=machine in self._scheduler.changing_pool,
            is_cooling=not self._cooldown.can_order(machine, now),
            is_standby=self._is_spare(machine, runs),
            is_leaving=instance is not None and instance.draining,
            runs=len(runs),
            lasting_runs=len(lasting),
            stopping_runs=sum(run.is_stopping for run in lasting),
            is_emptied=machine in self._emptied,
            is_pinned=any(self._is_pinned(run) for run in lasting),
            is_started=self._draining.is_started(machine),
        )

    def _is_pinned(self, run: RunView) -> bool:
        return not run.is_stopping and self._dispatcher.find_interruption_limit(run) < 1

    def _is_down(self, wave: UpkeepWave, machine: str, now: float) -> bool:
        begun = wave.begun[machine]
        # An order may be executed long after its command was committed; an order of an
        # earlier leader is executed by the beginning of this term.
        since = max(begun.at, self._answered_at.get(machine, self._term_began))
        is_overdue = now > since + self._maintenance + RETURN_TIMEOUT_SECONDS
        if machine not in wave.maintained:
            # One that is always refused makes room for others between its orders.
            return not is_overdue or self._orders.may_take_effect(machine, now)
        if is_overdue:
            return False
        life = self._find_ended_life(machine, begun, now)
        is_uncertain = machine not in self._lives or machine in self._replaced
        is_repeated = machine in self._answered_at and is_uncertain
        if is_repeated and now <= since + self._maintenance + REGISTRATION_SECONDS:
            # The order of an earlier leader, or the one that was answered, may have
            # ended another life than the recorded one.
            return True
        if not life:
            # A machine in the standby pool returns without an instance.
            return not self._directory.is_in_service(machine, since + self._maintenance)
        instance = self._directory.find_instance(machine)
        if instance is None:
            return True
        # A life that began earlier may be listed until it is known to have ended.
        return split_life(instance.life)[1] <= split_life(life)[1]

    def _find_ended_life(
        self, machine: str, begun: BegunMaintenance, now: float
    ) -> str:
        """Return the latest life that the order to a machine has ended."""
        instance = self._directory.find_instance(machine)
        is_too_early = machine in self._lives and now < begun.at + self._maintenance
        if instance is not None and is_too_early:
            # It began before the order, and was registered after it.
            self._lives[machine] = instance.life
        return self._lives.get(machine, begun.life)

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
            if machine not in wave.begun or not self._is_down(wave, machine, now):
                continue
            if self._orders.is_due(machine, now):
                effects += self._order(wave.wave, machine, now)
        return effects

    def _retry_refused(
        self, wave: UpkeepWave, remaining: list[str], down: int, now: float
    ) -> list[Effect]:
        """Order machines that do not count as down, as far as ``max_down`` allows."""
        effects: list[Effect] = []
        for machine in remaining:
            if machine not in wave.begun or self._is_down(wave, machine, now):
                continue
            if down < wave.max_down and self._orders.is_due(machine, now):
                ordered = self._order(wave.wave, machine, now)
                down += bool(ordered)
                effects += ordered
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
        self._replaced.discard(machine)

    def _note_replaced(self, machine: str) -> None:
        """Note if another life may be the one that the next order to a machine ends."""
        instance = self._directory.find_instance(machine)
        if instance is not None and instance.life != self._lives[machine]:
            self._replaced.add(machine)

    def _order(self, wave: int, machine: str, now: float) -> list[Effect]:
        if not self._dispatcher.is_leading(now):
            return []
        if not self._cooldown.can_order(machine, now):
            return []
        if machine in self._lives:
            if self._orders.has_effective(machine):
                self._note_replaced(machine)
            else:
                self._record_life(machine)
        self._count += 1
        token = f"{self.name}/order/{self._count}"
        self._orders.add(token, wave, machine, now)
        action = MaintainMachine(machine, wave, self._daemon, self._term)
        record = Record(Event.MAINTENANCE_ORDERED, machine, {"wave": wave})
        return [record, CallPlatform(token, action, CALL_SECONDS)]

    def _handle_outcome(self, item: PlatformOutcome, now: float) -> list[Effect]:
        order = self._orders.close(item)
        if order is None or not isinstance(item.report, MachineReport):
            return []
        if not item.report.refused:
            self._answered_at[order.machine] = now
        return self._handle_report(order.wave, order.machine, item.report)

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
