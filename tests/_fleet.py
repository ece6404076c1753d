"""Daemons with only the fleet's parts, over a shared log without consensus."""

from random import Random

import msgspec

from gypsumwalk.effects import Raise
from gypsumwalk.folder import (
    Folder,
    InstanceTable,
    PoolTable,
    QueueTable,
    ServiceTable,
    TeamTable,
    WaveTable,
)
from gypsumwalk.heartbeats import HeartbeatReceiver, HeartbeatTable
from gypsumwalk.inputs import Committed, ProposalOutcome, ProposalStatus
from gypsumwalk.job_part import JobPart
from gypsumwalk.jobs import JobSection
from gypsumwalk.node import Node
from gypsumwalk.pool_controller import PoolController
from gypsumwalk.pools import PoolSection
from gypsumwalk.rebalancing import RebalancingPolicy
from gypsumwalk.rebalancing_controller import RebalancingController
from gypsumwalk.settings import Settings
from gypsumwalk.state import Rejected, ReplicatedState
from gypsumwalk.views import KeyDecision, KeyVerdict, QueueRule, TeamRule
from gypsumwalk.wave_controller import WaveController
from gypsumwalk.waves import WaveSection
from tests._fake_platform import FakePlatform
from tests._world import World

POLL_SECONDS = 0.05
LEASE_SECONDS = 2.0


class FakeLog:
    """Log shared by all daemons, with a leader that the test appoints.

    ``cut_off_at`` holds the time at which a daemon lost contact with the others.
    """

    def __init__(self, folder, make_policy):
        self.folder = folder
        self.generation = 1
        self.entries = []
        self.leader = ""
        self.cut_off_at = {}
        self.make_policy = make_policy


class FakeReplicator:
    """Part that appends proposals to the shared log and applies its entries."""

    name = "consensus"
    accepts = ()

    def __init__(self, daemon, log, state):
        self.wakeup = 0.0
        self.daemon = daemon
        self.log = log
        self.state = state
        self.tokens = {}

    @property
    def leader(self):
        return self.log.leader

    def holds_lease(self, now):
        if self.log.leader != self.daemon and self.daemon not in self.log.cut_off_at:
            return False
        cut_at = self.log.cut_off_at.get(self.daemon)
        return self.log.leader == self.daemon or now < cut_at + LEASE_SECONDS

    def propose(self, proposal, now):
        if self.daemon in self.log.cut_off_at:
            outcome = ProposalOutcome(proposal.token, ProposalStatus.NOT_COMMITTED)
            return [Raise(outcome)]
        at = max(now, self.log.entries[-1][1] if self.log.entries else 0.0)
        self.log.entries.append((proposal.command, at))
        self.tokens[len(self.log.entries)] = proposal.token
        self.wakeup = now + 0.002
        return []

    def handle(self, item, now):
        return []

    def advance(self, now):
        self.wakeup = now + POLL_SECONDS
        if self.daemon in self.log.cut_off_at:
            return []
        effects = []
        while self.state.applied < len(self.log.entries):
            index = self.state.applied + 1
            command, at = self.log.entries[index - 1]
            result = self.state.apply(command, index, at)
            effects.append(Raise(Committed(index, command, result)))
            token = self.tokens.pop(index, None)
            if token:
                status = ProposalStatus.COMMITTED
                if isinstance(result, Rejected):
                    status = ProposalStatus.REJECTED
                effects.append(Raise(ProposalOutcome(token, status, index, result)))
        return effects


class FakeViews:
    """Views that one daemon has of the folder, the keys and the unit accounts."""

    def __init__(self, log):
        self.log = log
        self.units_in_use = {}
        self.fresh = True

    @property
    def folder(self):
        return self.log.folder

    @property
    def generation(self):
        return self.log.generation

    def team(self, name):
        table = self.folder.teams.get(name)
        return TeamRule(name, table.share, table.limit) if table else None

    def teams(self):
        return [self.team(name) for name in sorted(self.folder.teams)]

    def queue(self, name):
        table = self.folder.queues.get(name)
        if table is None:
            return None
        return QueueRule(name, table.service, table.open, (), 10, 10.0)

    def check(self, credential, queue, now):
        if credential in self.folder.teams:
            return KeyDecision(KeyVerdict.VALID, credential)
        return KeyDecision(KeyVerdict.UNKNOWN_KEY)

    def is_fresh(self, now):
        return self.fresh

    def check_operator(self, credential, now):
        return credential == "operator"

    def acquire(self, team):
        if self.units_in_use.get(team, 0) >= self.folder.teams[team].limit:
            return False
        self.units_in_use[team] = self.units_in_use.get(team, 0) + 1
        return True

    def release(self, team):
        self.units_in_use[team] -= 1


class FleetNode(Node):
    """Node with the fleet's parts, exposed to tests as attributes."""

    def __init__(self, name, log):
        self.views = views = FakeViews(log)
        self.pools = PoolSection(views)
        self.jobs = JobSection(self.pools, views, views)
        self.waves = WaveSection(self.pools, views)
        self.state = ReplicatedState([self.pools, self.jobs, self.waves])
        self.replicator = replicator = FakeReplicator(name, log, self.state)
        settings = Settings(
            name=name,
            data_centre="dc1",
            caller_port=1,
            peer_port=2,
            cluster_secret="x" * 16,
        )
        table = HeartbeatTable()
        shared = {"keys": views, "folder": views, "leadership": replicator}
        self.job_part = JobPart(
            settings=settings,
            jobs=self.jobs,
            pools=self.pools,
            heartbeats=table,
            random=Random(1),
            **shared,
        )
        self.pool_controller = PoolController(
            pools=self.pools, heartbeats=table, **shared
        )
        self.wave_controller = WaveController(
            waves=self.waves, pools=self.pools, heartbeats=table, **shared
        )
        heartbeats = HeartbeatReceiver(
            settings=settings, leadership=replicator, table=table
        )
        self.rebalancing_controller = RebalancingController(
            jobs=self.jobs,
            planner=self.job_part.planner,
            pools=self.pools,
            heartbeats=table,
            folder=views,
            leadership=replicator,
            policy=log.make_policy(),
            waves=self.waves,
        )
        parts = [
            replicator,
            heartbeats,
            self.pool_controller,
            self.wave_controller,
            self.job_part,
            self.rebalancing_controller,
        ]
        super().__init__(parts, replicator)


def make_folder(*, pools=2, instances=8, per_rack=4, limit=50, **wave):
    """Return a folder with pools p0... of instances p0-0..., and a wave ``w``."""
    names = [f"p{number}" for number in range(pools)]
    wave_table = {"concurrency": 2, "dwell_seconds": 20.0, "drain_seconds": 30.0}
    return Folder(
        teams={"red": TeamTable(limit=limit), "blue": TeamTable(limit=limit)},
        services={name: ServiceTable(pool=name) for name in names},
        queues={name: QueueTable(service=name) for name in names},
        pools={name: PoolTable(max_unavailable=1) for name in names},
        instances={
            f"{name}-{number}": InstanceTable(
                pool=name,
                data_centre="dc1",
                rack=f"r{number // per_rack}",
                processors=64.0,
                memory_gb=128.0,
            )
            for name in names
            for number in range(instances)
        },
        waves={"w": WaveTable(**({"pools": ["p0"]} | wave_table | wave))},
    )


class FleetWorld(World):
    """Simulated cluster of daemons with the fleet's parts."""

    def __init__(
        self,
        folder=None,
        *,
        seed=1,
        names=("a", "b", "c"),
        platform=None,
        make_policy=RebalancingPolicy,
    ):
        folder = folder or make_folder()
        platform = platform or FakePlatform()
        for name in folder.instances:
            platform.add(name)
        self.log = FakeLog(folder, make_policy)
        self.log.leader = names[0]
        super().__init__(self._make, seed=seed, platform=platform)
        for name in names:
            self.add(name)

    def _make(self, name, recovered, incarnation):
        return FleetNode(name, self.log)

    @property
    def leader(self):
        """Node of the leader."""
        return self.daemons[self.log.leader].node

    def settle(self):
        """Run until every instance is available in its pool."""
        pools = self.leader.pools
        total = len(self.log.folder.instances)

        def has_joined():
            return (
                sum(record.is_available for record in pools.list_instances()) == total
            )

        assert self.run_until(has_joined, within=30.0)

    def ask(self, body, *, credential="red", to=""):
        """Send a call and return its answer."""
        self.run(2 * POLL_SECONDS)
        call = self.call(body, to=to, credential=credential)
        assert self.run_until(lambda: call.ended, within=10.0), body
        return call.answer

    def elect(self, name):
        """Partition the leader, and appoint another once its lease has expired."""
        self.log.cut_off_at[self.log.leader] = self.now
        self.partition([self.log.leader])
        self.log.leader = ""
        self.run(LEASE_SECONDS)
        self.log.leader = name

    def change_folder(self, **tables):
        """Put a folder with other tables into force, as the next generation."""
        self.log.folder = msgspec.structs.replace(self.log.folder, **tables)
        self.log.generation += 1
