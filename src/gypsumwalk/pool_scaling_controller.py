"""Control loop of the leader that moves machines between pools."""

from collections.abc import Sequence

from gypsumwalk.declarations import DeclarationSection
from gypsumwalk.demand_forecast import LEAD_SECONDS, DemandForecast
from gypsumwalk.dispatcher import Dispatcher
from gypsumwalk.effects import CallPlatform, Effect, Propose, Record, Scalar
from gypsumwalk.evacuations import EvacuationSection
from gypsumwalk.events import Event
from gypsumwalk.inputs import Committed, Input, PlatformOutcome
from gypsumwalk.instance_actions import MachineReport, MoveMachine
from gypsumwalk.machine_directory import MachineDirectory
from gypsumwalk.machine_releaser import MachineReleaser
from gypsumwalk.machine_releases import plan_releases
from gypsumwalk.order_cooldown import OrderCooldown
from gypsumwalk.part import NEVER
from gypsumwalk.pool_demands import IsDeferred
from gypsumwalk.pool_size_history import PoolSizeHistory
from gypsumwalk.pooling import (
    MachineMove,
    Pool,
    PoolDemand,
    PoolMachine,
    plan_moves,
    size_pools,
)
from gypsumwalk.task_scheduler import TaskScheduler
from gypsumwalk.upkeep import OrderMoves, UpkeepSection
from gypsumwalk.work_estimates import MILLICORES
from gypsumwalk.workload_records import RemoveInstance

__all__ = ["PoolScalingController"]

CHECK_SECONDS = 0.2
"""Interval of the control loop; short against the 1.5 s that a move takes."""

CALL_SECONDS = 2.0
"""Timeout of one call to the machine API, which may be slow."""

PROPOSAL_SECONDS = 2.0
"""Timeout of a proposal; a heartbeat of the instance repeats a removal."""

ARRIVAL_SECONDS = 3.5
"""Time in which the instance on a moved machine registers in its new pool."""

RETURN_SECONDS = 3.0
"""Time after which a machine has returned from a maintenance of 2 s."""

REFUSAL_BACKOFF_SECONDS = 2.0
"""Time after a refused move before the machine may be moved again."""

NOT_SENT = "not sent"
"""Reason of a move that did not reach the machine API."""

BURST_RESERVE_MACHINES = 1
"""Extra machines where a burst may begin, until the first moved machine arrives."""

REPORT_SECONDS = 1.0
"""Interval of the events with the sizes of pools."""


class PoolScalingController:
    """Part that moves machines between pools while this daemon leads.

    Parameters
    ----------
    daemon : str
        Name of the daemon, which is the holder in its orders.
    declarations : DeclarationSection
        Declaration in force.
    upkeep : UpkeepSection
        Maintenance waves; machines that are down for one are not moved.
    evacuations : EvacuationSection
        Evacuated data centres, whose machines are no capacity.
    dispatcher : Dispatcher
        Placement of runs on instances, and the leadership of this daemon.
    scheduler : TaskScheduler
        Source of the demand; places no runs on machines that are leaving their pool.
    directory : MachineDirectory
        Machines of the fleet.
    cooldown : OrderCooldown
        Cooldown between orders of different daemons to a machine.
    forecast : DemandForecast
        Forecast of the demand, learned from the log.
    """

    name = "poolkeeper"
    accepts: tuple[type, ...] = (OrderMoves,)

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
        forecast: DemandForecast,
    ) -> None:
        self._daemon = daemon
        self._declarations = declarations
        self._upkeep = upkeep
        self._evacuations = evacuations
        self._dispatcher = dispatcher
        self._scheduler = scheduler
        self._directory = directory
        self._cooldown = cooldown
        self._term = 0
        self._idle_since: dict[str, float] = {}
        self._releaser = MachineReleaser(
            dispatcher=dispatcher, scheduler=scheduler, directory=directory
        )
        self._sizes = PoolSizeHistory()
        self._moving: dict[str, tuple[str, float]] = {}
        self._blocked_until: dict[str, float] = {}
        self._open_orders: dict[str, tuple[str, str]] = {}
        self._forecast = forecast
        self._count = 0
        self._sizes_reported_at = float("-inf")
        self._due = 0.0

    @property
    def wakeup(self) -> float:
        """Time in seconds of the next step."""
        return self._due

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Process the answer to an order, or send committed orders."""
        if isinstance(item, Committed):
            return self._handle_command(item.command, now)
        if not isinstance(item, PlatformOutcome):
            return []
        order = self._open_orders.pop(item.token, None)
        if order is None or self._dispatcher.term != self._term:
            return []
        return self._handle_answer(*order, item, now)

    def advance(self, now: float) -> Sequence[Effect]:
        """Plan moves, and propose them before they are ordered."""
        self._due = now + CHECK_SECONDS
        if not self._dispatcher.term or not self._dispatcher.is_leading(now):
            return []
        if self._dispatcher.term != self._term:
            self._begin_term(now)
        self._complete_moves(now)
        self._scheduler.backlog.arriving = self._list_arriving()
        standby = self._declarations.find_standby()
        if not standby or not self._directory.machines:
            # No machine can move, so that those that were to do so take tasks again.
            return self._releaser.release(set(), now)
        machines = self._describe_machines(now)
        demands = self._find_demands(standby, now)
        if self._is_short(machines, demands, standby):
            demands = self._find_demands(
                standby,
                now,
                lambda job, path: self._scheduler.lateness.is_deferrable(
                    job, now, path
                ),
            )
        pools = size_pools(machines, demands, standby)
        for name, pool in pools.items():
            self._sizes.record(name, pool.desired, now)
        effects = self._report_sizes(pools, demands, now)
        moves = plan_moves(machines, demands, standby, now)
        effects += self._propose_moves(moves, now)
        released = plan_releases(machines, demands, standby)
        effects += self._releaser.release(released, now)
        return effects

    def _report_sizes(
        self, pools: dict[str, Pool], demands: dict[str, PoolDemand], now: float
    ) -> list[Effect]:
        if now - self._sizes_reported_at < REPORT_SECONDS:
            return []
        self._sizes_reported_at = now
        effects: list[Effect] = []
        for name, pool in pools.items():
            idle = sum(item.idle_since < NEVER for item in pool.machines)
            demand = demands.get(name, PoolDemand())
            attributes: dict[str, Scalar] = {
                "machines": len(pool.machines),
                "wanted": pool.desired,
                "idle": idle,
                "lasting": demand.lasting,
                "passing": demand.transient,
                "expected": demand.expected,
                "deferred": demand.deferred,
            }
            effects.append(Record(Event.POOL_SIZED, name, attributes))
        return effects

    def _begin_term(self, now: float) -> None:
        self._term = self._dispatcher.term
        self._forecast.start_observing(now)
        self._idle_since.clear()
        self._moving.clear()
        self._open_orders.clear()
        if self._scheduler.changing_pool or self._scheduler.released:
            self._scheduler.changing_pool.clear()
            self._scheduler.released = set()
            self._dispatcher.request_scheduling_pass(now)

    def _complete_moves(self, now: float) -> None:
        for machine, (service, since) in list(self._moving.items()):
            info = self._directory.machines.get(machine)
            instance = self._directory.find_instance(machine)
            has_arrived = instance is not None and instance.service == service
            is_listed = (
                info is not None
                and info.service == service
                and info.state == "up"
                and self._directory.read_at > since
            )
            if has_arrived or is_listed or now - since > ARRIVAL_SECONDS:
                self._end_move(machine, now)
                self._blocked_until[machine] = now + CHECK_SECONDS

    def _end_move(self, machine: str, now: float) -> None:
        """Let a machine take work again; tasks may wait for it."""
        self._moving.pop(machine, None)
        self._scheduler.changing_pool.discard(machine)
        self._dispatcher.request_scheduling_pass(now)

    def _list_arriving(self) -> dict[str, tuple[tuple[float, float], ...]]:
        """Return the times and cores of machines on their way, by service.

        Machines that arrive together are one entry, as each entry is looked at for
        each waiting job.
        """
        sums: dict[str, dict[float, float]] = {}
        for machine, (service, since) in self._moving.items():
            info = self._directory.machines.get(machine)
            if info is not None:
                cores = sums.setdefault(service, {})
                at = since + LEAD_SECONDS
                cores[at] = cores.get(at, 0.0) + info.capacity.cpu / MILLICORES
        return {service: tuple(cores.items()) for service, cores in sums.items()}

    def _describe_machines(self, now: float) -> list[PoolMachine]:
        in_waves = {
            machine for wave in self._upkeep.waves.values() for machine in wave.begun
        }
        in_waves -= self._list_returned(now)
        in_waves |= self._scheduler.cordoned
        in_waves |= self._scheduler.held_in_pool
        described = []
        for machine, info in self._directory.machines.items():
            service = info.service
            is_movable = info.state == "up" and machine not in in_waves
            if machine in self._moving:
                service, is_movable = self._moving[machine][0], False
            elif info.state == "down":
                continue
            if now < self._blocked_until.get(machine, 0.0):
                is_movable = False
            if not self._cooldown.can_order(machine, now):
                is_movable = False
            view = self._directory.find_view(machine)
            runs = list(view.runs.values()) if view else []
            described.append(
                PoolMachine(
                    machine,
                    service,
                    info.capacity.cpu,
                    is_movable,
                    self._update_idle_since(machine, now),
                    self._must_pass_on(machine),
                    has_lasting=any(run.is_lasting for run in runs),
                    run_count=len(runs),
                    is_released=machine in self._scheduler.released,
                    is_evacuated=self._is_evacuated(machine),
                )
            )
        return described

    def _is_evacuated(self, machine: str) -> bool:
        data_centre = self._directory.find_data_centre(machine)
        return data_centre in self._evacuations.data_centres

    def _must_pass_on(self, machine: str) -> bool:
        if machine not in self._scheduler.due_for_maintenance:
            return False
        view = self._directory.find_view(machine)
        return view is not None and any(run.is_lasting for run in view.runs.values())

    def _list_returned(self, now: float) -> set[str]:
        return {
            machine
            for wave in self._upkeep.waves.values()
            for machine, begun in wave.begun.items()
            if machine in wave.maintained and now > begun.at + RETURN_SECONDS
        }

    def _update_idle_since(self, machine: str, now: float) -> float:
        view = self._directory.find_view(machine)
        if view is not None and (view.runs or not view.is_responsive):
            self._idle_since.pop(machine, None)
            return NEVER
        return self._idle_since.setdefault(machine, now)

    def _is_short(
        self,
        machines: Sequence[PoolMachine],
        demands: dict[str, PoolDemand],
        standby: str,
    ) -> bool:
        """Tell whether the pools want more machines than there are."""
        pools = size_pools(machines, demands, standby)
        count = sum(len(pool.machines) for pool in pools.values())
        return sum(pools[name].desired for name in demands) > count

    def _find_demands(
        self, standby: str, now: float, is_deferred: IsDeferred | None = None
    ) -> dict[str, PoolDemand]:
        current = self._declarations.current
        services = current.services if current else []
        demands = {item.name: PoolDemand() for item in services if item.name != standby}
        self._scheduler.add_demand(demands, self._dispatcher.lease_table, is_deferred)
        queues = current.queues if current else []
        timed = {queue.service for queue in queues if queue.objective > 0}
        for service, demand in demands.items():
            demand.has_objective = service in timed
            demand.expected = int(self._forecast.find_expected(service, now))
            demand.can_shrink = self._forecast.can_shrink(service, now)
            if demand.has_objective and self._forecast.is_in_burst(service):
                demand.can_shrink = True
                demand.kept_machines = self._sizes.find_peak(service, now)
            if self._forecast.is_burst_due(service):
                demand.reserve = BURST_RESERVE_MACHINES
        return demands

    def _handle_command(self, command: object, now: float) -> list[Effect]:
        if not isinstance(command, OrderMoves):
            return []
        for machine in command.services:
            at = self._upkeep.ordered_at.get(machine, now)
            self._cooldown.record([machine], command.holder, at=at, now=now)
        if command.term != self._term or not self._dispatcher.is_leading(now):
            return []
        effects: list[Effect] = []
        for machine, service in command.services.items():
            effects += self._order(machine, service, now)
        return effects

    def _propose_moves(self, moves: Sequence[MachineMove], now: float) -> list[Effect]:
        if not moves:
            return []
        effects: list[Effect] = []
        for move in moves:
            self._moving[move.machine] = (move.service, now)
            self._scheduler.changing_pool.add(move.machine)
            self._idle_since.pop(move.machine, None)
            attributes: dict[str, Scalar] = {
                "service": move.service,
                "reason": move.reason,
            }
            effects.append(Record(Event.MACHINE_MOVED, move.machine, attributes))
        services = {move.machine: move.service for move in moves}
        command = OrderMoves(self._daemon, self._term, services)
        self._count += 1
        token = f"{self.name}/announce/{self._count}"
        return [*effects, Propose(token, command, PROPOSAL_SECONDS)]

    def _order(self, machine: str, service: str, now: float) -> list[Effect]:
        if self._moving.get(machine, ("", 0.0))[0] != service:
            return []
        if service != self._declarations.find_standby() and self._is_evacuated(machine):
            # The evacuation was ordered after the move was planned.
            self._end_move(machine, now)
            return []
        instance = self._directory.find_instance(machine)
        # An instance that is in that pool already has moved, and does not end again.
        ending = instance if instance and instance.service != service else None
        self._moving[machine] = (service, now)
        self._count += 1
        token = f"{self.name}/order/{self._count}"
        self._open_orders[token] = (machine, ending.life if ending else "")
        action = MoveMachine(machine, service, self._daemon, self._term)
        return [CallPlatform(token, action, CALL_SECONDS)]

    def _handle_answer(
        self, machine: str, life: str, item: PlatformOutcome, now: float
    ) -> list[Effect]:
        if item.unknown:
            # The order may have been executed; the list of machines will show it.
            return []
        refused = NOT_SENT
        if isinstance(item.report, MachineReport):
            refused = item.report.refused
        if refused:
            self._end_move(machine, now)
            self._blocked_until[machine] = now + REFUSAL_BACKOFF_SECONDS
            attributes: dict[str, Scalar] = {"reason": refused}
            return [Record(Event.MOVE_REFUSED, machine, attributes)]
        if not life:
            return []
        token = f"{self.name}/end/{life}"
        command = RemoveInstance(life, reason="its machine has moved")
        return [Propose(token, command, PROPOSAL_SECONDS)]
