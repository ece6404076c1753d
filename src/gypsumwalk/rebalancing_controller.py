"""Controller that rebalances instances between pools."""

from collections import Counter
from collections.abc import Sequence
from math import inf

from gypsumwalk._proposals import PendingProposals
from gypsumwalk.effects import Effect, Record
from gypsumwalk.events import Event
from gypsumwalk.folder import PoolTable
from gypsumwalk.heartbeats import HeartbeatTable
from gypsumwalk.inputs import Committed, Input, ProposalOutcome
from gypsumwalk.instances import InstanceRecord, InstanceState
from gypsumwalk.job_allocations import NO_RESOURCES
from gypsumwalk.job_placement import ResourceVector, get_resources
from gypsumwalk.job_planner import JobPlanner
from gypsumwalk.jobs import JobSection
from gypsumwalk.pool_commands import LoseInstance, MoveInstance
from gypsumwalk.pools import MOVE_PURPOSE, PoolSection
from gypsumwalk.rebalancing import MovePolicy, PlannedMove, PoolLoad
from gypsumwalk.state import Accepted
from gypsumwalk.views import FolderView, LeadershipView
from gypsumwalk.wave_records import WaveState
from gypsumwalk.waves import WaveSection

__all__ = ["RebalancingController"]

PERIOD_SECONDS = 2.0
"""Interval between two passes."""
JOINING_OR_DRAINING_STATES = (
    InstanceState.JOINING,
    InstanceState.DRAINING,
    InstanceState.DRAINED,
)
"""States of instances that are joining a pool or draining."""


class RebalancingController:
    """Samples the loads of the pools and proposes moves on the leader.

    Parameters
    ----------
    jobs : JobSection
        The jobs.
    planner : JobPlanner
        Resources reserved by jobs, and resources of pools.
    pools : PoolSection
        Instances and their pools.
    heartbeats : HeartbeatTable
        Last heartbeat of each instance.
    folder : FolderView
        The configuration.
    leadership : LeadershipView
        Current leadership.
    policy : MovePolicy
        Policy that decides on moves.
    waves : WaveSection
        The waves; pools of a running wave release no instance.
    """

    name = "buffers"
    accepts = (LoseInstance, MoveInstance)

    def __init__(
        self,
        *,
        jobs: JobSection,
        planner: JobPlanner,
        pools: PoolSection,
        heartbeats: HeartbeatTable,
        folder: FolderView,
        leadership: LeadershipView,
        policy: MovePolicy,
        waves: WaveSection,
    ) -> None:
        self.wakeup = 0.0
        self.idle_instance_seconds = 0.0
        """Idle time outside the spare pool, in instance-seconds."""
        self.spare_instance_seconds = 0.0
        """Idle time in the spare pool, in instance-seconds."""
        self._jobs = jobs
        self._planner = planner
        self._pools = pools
        self._heartbeats = heartbeats
        self._folder = folder
        self._leadership = leadership
        self._policy = policy
        self._waves = waves
        self._proposals = PendingProposals(self.name)
        self._declared: tuple[int, dict[str, int]] = (-1, {})
        self._sampled_at = inf

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Handle one input.

        Parameters
        ----------
        item : Input
            The input.
        now : float
            Time in seconds.

        Returns
        -------
        Sequence[Effect]
            Events.
        """
        match item:
            case ProposalOutcome():
                self._proposals.settle(item)
            case Committed(command=LoseInstance() as command, result=Accepted()):
                record = self._pools.find(command.instance)
                if record is not None:
                    self._policy.record_loss(record.pool, now)
            case Committed(command=MoveInstance() as command, result=Accepted()):
                route = {"source": command.source, "destination": command.destination}
                return [Record(Event.INSTANCE_MOVING, command.instance, route)]
        return []

    def advance(self, now: float) -> Sequence[Effect]:
        """Propose the moves that the policy requests.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        Sequence[Effect]
            Proposals.
        """
        self.wakeup = now + PERIOD_SECONDS
        if not self._leadership.holds_lease(now):
            self._sampled_at = inf
            return []
        loads = self.measure_loads()
        self._record_idle_time(loads, now)
        effects: list[Effect] = []
        chosen_names: set[str] = set()
        for move in self._policy.choose_moves(loads, now):
            effects += self._propose(move, chosen_names, now)
        return effects

    def _record_idle_time(self, loads: Sequence[PoolLoad], now: float) -> None:
        elapsed = max(0.0, now - self._sampled_at)
        self._sampled_at = now
        for load in loads:
            idle = max(0.0, load.available - load.demand) * elapsed
            if load.spare:
                self.spare_instance_seconds += idle
            else:
                self.idle_instance_seconds += idle

    # Measurement.

    def measure_loads(self) -> list[PoolLoad]:
        """Return the load of every pool.

        Returns
        -------
        list of PoolLoad
            Loads in order of pool name.
        """
        waiting = self._sum_waiting_demand()
        incoming = self._count_incoming()
        leaving = self._count_leaving()
        declared = self._count_declared()
        maintained = self._list_pools_in_maintenance()
        loads = []
        for name, table in sorted(self._folder.folder.pools.items()):
            load = self._measure_pool(name, table, waiting, incoming, leaving, declared)
            if name in maintained:
                load = load._replace(movable=0)
            loads.append(load)
        return loads

    def _list_pools_in_maintenance(self) -> set[str]:
        tables = self._folder.folder.waves
        return {
            pool
            for wave in self._waves.list_waves()
            if wave.state is WaveState.RUNNING and wave.name in tables
            for pool in tables[wave.name].pools
        }

    def _sum_waiting_demand(self) -> dict[str, ResourceVector]:
        sums: dict[str, ResourceVector] = {}
        for record in self._jobs.list_waiting():
            pool = self._jobs.find_pool(record.spec.queue)
            sums[pool] = sums.get(pool, NO_RESOURCES).add(get_resources(record.spec))
        return sums

    def _count_incoming(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for record in self._pools.list_by_state(*JOINING_OR_DRAINING_STATES):
            pool = ""
            if record.purpose.startswith(MOVE_PURPOSE):
                pool = record.purpose.removeprefix(MOVE_PURPOSE)
            elif record.state is InstanceState.JOINING:
                pool = record.pool
            counts[pool] = counts.get(pool, 0) + 1
        return counts

    def _count_declared(self) -> dict[str, int]:
        generation, counts = self._declared
        if generation != self._folder.generation:
            tables = self._folder.folder.instances.values()
            counts = dict(Counter(table.pool for table in tables))
            self._declared = (self._folder.generation, counts)
        return counts

    def _count_leaving(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for record in self._pools.list_by_state(*JOINING_OR_DRAINING_STATES):
            if record.purpose.startswith(MOVE_PURPOSE):
                counts[record.pool] = counts.get(record.pool, 0) + 1
        return counts

    def _measure_pool(
        self,
        name: str,
        table: PoolTable,
        waiting: dict[str, ResourceVector],
        incoming: dict[str, int],
        leaving: dict[str, int],
        declared: dict[str, int],
    ) -> PoolLoad:
        members, total, available = self._planner.get_pool_capacity(name)
        demand = self._planner.allocations.sum_pool(name)
        demand = demand.add(waiting.get(name, NO_RESOURCES))
        free_budget = table.max_unavailable - self._pools.count_unavailable(name)
        staying = members - leaving.get(name, 0)
        return PoolLoad(
            name=name,
            spare=table.spare,
            members=members,
            available=available,
            incoming=incoming.get(name, 0),
            declared=declared.get(name, 0),
            movable=max(0, min(free_budget, staying - table.min_instances)),
            demand=demand.compute_dominant_share(total) * members,
        )

    def _list_members(self, pool: str) -> list[InstanceRecord]:
        records = (self._pools.find(name) for name in self._pools.list_members(pool))
        return [record for record in records if record is not None]

    # Proposals.

    def _propose(
        self, move: PlannedMove, chosen_names: set[str], now: float
    ) -> list[Effect]:
        chosen = self._choose_instance(move, chosen_names, now)
        if chosen is None:
            return []
        chosen_names.add(chosen.name)
        unresponsive = self._heartbeats.list_unresponsive(
            self._pools.list_members(move.source), now
        )
        command = MoveInstance(chosen.name, move.source, move.destination, unresponsive)
        return self._proposals.propose(chosen.name, command)

    def _choose_instance(
        self, move: PlannedMove, chosen_names: set[str], now: float
    ) -> InstanceRecord | None:
        """Return the best instance to move, or None.

        Prefers the fewest jobs, then the move that best keeps both pools spread over
        racks. Instances with a job that is not repeatable don't move.
        """
        source = self._count_racks(move.source)
        destination = self._count_racks(move.destination)
        best: tuple[int, int, str, InstanceRecord] | None = None
        for record in self._list_members(move.source):
            unresponsive = self._heartbeats.is_unresponsive(record.name, now)
            if not record.is_available or unresponsive or record.name in chosen_names:
                continue
            jobs = self._jobs.list_on_instance(record.name)
            if any(not job.spec.repeatable for job in jobs):
                continue
            crowding = destination.get(record.rack, 0) - source[record.rack]
            key = (len(jobs), crowding, record.name, record)
            if best is None or key[:3] < best[:3]:
                best = key
        return best[3] if best else None

    def _count_racks(self, pool: str) -> dict[str, int]:
        counts: dict[str, int] = {}
        for record in self._list_members(pool):
            counts[record.rack] = counts.get(record.rack, 0) + 1
        return counts
