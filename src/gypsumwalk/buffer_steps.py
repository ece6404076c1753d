"""Moves between pools, proposed by the leader as its policy asks."""

from collections import Counter
from collections.abc import Sequence
from math import inf

from gypsumwalk._proposals import PendingProposals
from gypsumwalk.buffers import MovePolicy, PlannedMove, PoolLoad
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
from gypsumwalk.state import Accepted
from gypsumwalk.views import FolderView, LeadershipView
from gypsumwalk.wave_records import WaveState
from gypsumwalk.waves import WaveSection

__all__ = ["BufferPart"]

PERIOD_SECONDS = 2.0
ON_THE_WAY = (
    InstanceState.JOINING,
    InstanceState.DRAINING,
    InstanceState.DRAINED,
)


class BufferPart:
    """Samples the pools' loads and proposes moves while this daemon leads.

    Parameters
    ----------
    jobs : JobSection
        The jobs.
    planner : JobPlanner
        What jobs hold, and the resources of pools.
    pools : PoolSection
        Instances and their pools.
    heartbeats : HeartbeatTable
        When each instance was last heard.
    folder : FolderView
        The configuration.
    leadership : LeadershipView
        Who leads.
    policy : MovePolicy
        Decides on moves.
    waves : WaveSection
        The waves, whose pools keep their budget for maintenance.
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
        """Instances of pools other than the spare that were idle, times seconds."""
        self.spare_instance_seconds = 0.0
        """Instances of the spare that were idle, times seconds."""
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
        """Take in one input.

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
                    self._policy.note_loss(record.pool, now)
            case Committed(command=MoveInstance() as command, result=Accepted()):
                route = {"source": command.source, "destination": command.destination}
                return [Record(Event.INSTANCE_MOVING, command.instance, route)]
        return []

    def advance(self, now: float) -> Sequence[Effect]:
        """Propose the moves that the policy asks for.

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
        loads = self.measure()
        self._count_idle(loads, now)
        effects: list[Effect] = []
        taken: set[str] = set()
        for move in self._policy.choose(loads, now):
            effects += self._propose(move, taken, now)
        return effects

    def _count_idle(self, loads: Sequence[PoolLoad], now: float) -> None:
        elapsed = max(0.0, now - self._sampled_at)
        self._sampled_at = now
        for load in loads:
            idle = max(0.0, load.available - load.demand) * elapsed
            if load.spare:
                self.spare_instance_seconds += idle
            else:
                self.idle_instance_seconds += idle

    # Measuring.

    def measure(self) -> list[PoolLoad]:
        """Return how every pool stands.

        Returns
        -------
        list of PoolLoad
            The pools in order of their names.
        """
        waiting = self._sum_waiting()
        incoming = self._count_incoming()
        leaving = self._count_leaving()
        declared = self._count_declared()
        maintained = self._list_maintained()
        loads = []
        for name, table in sorted(self._folder.folder.pools.items()):
            load = self._measure_pool(name, table, waiting, incoming, leaving, declared)
            if name in maintained:
                load = load._replace(movable=0)
            loads.append(load)
        return loads

    def _list_maintained(self) -> set[str]:
        tables = self._folder.folder.waves
        return {
            pool
            for wave in self._waves.waves()
            if wave.state is WaveState.RUNNING and wave.name in tables
            for pool in tables[wave.name].pools
        }

    def _sum_waiting(self) -> dict[str, ResourceVector]:
        sums: dict[str, ResourceVector] = {}
        for record in self._jobs.list_waiting():
            pool = self._jobs.find_pool(record.spec.queue)
            sums[pool] = sums.get(pool, NO_RESOURCES).add(get_resources(record.spec))
        return sums

    def _count_incoming(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for record in self._pools.list_in(*ON_THE_WAY):
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
        for record in self._pools.list_in(*ON_THE_WAY):
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
        room = table.max_unavailable - self._pools.count_unavailable(name)
        lasting = members - leaving.get(name, 0)
        return PoolLoad(
            name=name,
            spare=table.spare,
            members=members,
            available=available,
            incoming=incoming.get(name, 0),
            declared=declared.get(name, 0),
            movable=max(0, min(room, lasting - table.min_instances)),
            demand=demand.compute_dominant_share(total) * members,
        )

    def _list_members(self, pool: str) -> list[InstanceRecord]:
        records = (self._pools.find(name) for name in self._pools.members(pool))
        return [record for record in records if record is not None]

    # Proposing.

    def _propose(self, move: PlannedMove, taken: set[str], now: float) -> list[Effect]:
        chosen = self._choose_instance(move, taken, now)
        if chosen is None:
            return []
        taken.add(chosen.name)
        silent = self._heartbeats.list_silent(self._pools.members(move.source), now)
        command = MoveInstance(chosen.name, move.source, move.destination, silent)
        return self._proposals.propose(chosen.name, command)

    def _choose_instance(
        self, move: PlannedMove, taken: set[str], now: float
    ) -> InstanceRecord | None:
        """Choose an idle instance whose move keeps both pools spread over racks."""
        source = self._count_racks(move.source)
        destination = self._count_racks(move.destination)
        best: tuple[int, int, str, InstanceRecord] | None = None
        for record in self._list_members(move.source):
            silent = self._heartbeats.is_silent(record.name, now)
            if not record.available or silent or record.name in taken:
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
