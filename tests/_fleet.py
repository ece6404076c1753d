"""Daemons that hold only the fleet's parts, over a log that is agreed on by fiat."""

from random import Random

import msgspec

from gypsumwalk.buffer_steps import BufferPart
from gypsumwalk.buffers import BufferPolicy
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
from gypsumwalk.heartbeats import HeartbeatPart, HeartbeatTable
from gypsumwalk.inputs import Committed, ProposalOutcome, ProposalStatus
from gypsumwalk.job_part import JobPart
from gypsumwalk.jobs import JobSection
from gypsumwalk.node import Node
from gypsumwalk.pool_steps import PoolPart
from gypsumwalk.pools import PoolSection
from gypsumwalk.settings import Settings
from gypsumwalk.state import Rejected, ReplicatedState
from gypsumwalk.views import KeyVerdict, Permit, QueueRule, TeamRule
from gypsumwalk.wave_steps import WavePart
from gypsumwalk.waves import WaveSection
from tests._fake_platform import FakePlatform
from tests._world import World

POLL_SECONDS = 0.05
LEASE_SECONDS = 2.0


class FakeLog:
    """Shared log with a leader that the test appoints."""

    def __init__(self, folder, make_policy):
        self.folder = folder
        self.generation = 1
        self.entries = []
        self.leader = ""
        self.cut = {}
        self.make_policy = make_policy


class FakeReplicator:
    """Appends proposals to the shared log, and applies what is in it."""

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
        if self.log.leader != self.daemon and self.daemon not in self.log.cut:
            return False
        cut_at = self.log.cut.get(self.daemon)
        return self.log.leader == self.daemon or now < cut_at + LEASE_SECONDS

    def propose(self, proposal, now):
        if self.daemon in self.log.cut:
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
        if self.daemon in self.log.cut:
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
    """Folder, keys and central portions of one daemon."""

    def __init__(self, log):
        self.log = log
        self.taken = {}
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
            return Permit(KeyVerdict.VALID, credential)
        return Permit(KeyVerdict.UNKNOWN_KEY)

    def is_fresh(self, now):
        return self.fresh

    def check_operator(self, credential, now):
        return credential == "operator"

    def take(self, team):
        if self.taken.get(team, 0) >= self.folder.teams[team].limit:
            return False
        self.taken[team] = self.taken.get(team, 0) + 1
        return True

    def give_back(self, team):
        self.taken[team] -= 1


class FleetNode(Node):
    """Node with the fleet's parts, which tests may look into."""

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
        self.pool_part = PoolPart(pools=self.pools, heartbeats=table, **shared)
        self.wave_part = WavePart(
            waves=self.waves, pools=self.pools, heartbeats=table, **shared
        )
        heartbeats = HeartbeatPart(
            settings=settings, leadership=replicator, table=table
        )
        self.buffer_part = BufferPart(
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
            self.pool_part,
            self.wave_part,
            self.job_part,
            self.buffer_part,
        ]
        super().__init__(parts, replicator)


def make_folder(*, pools=2, instances=8, per_rack=4, limit=50, **wave):
    """Make a folder with pools p0.. of instances p0-0.., and a wave ``w``."""
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
    """World of three daemons with the fleet's parts."""

    def __init__(
        self,
        folder=None,
        *,
        seed=1,
        names=("a", "b", "c"),
        platform=None,
        make_policy=BufferPolicy,
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
        """Let every instance join its pool."""
        pools = self.leader.pools
        total = len(self.log.folder.instances)

        def joined():
            return sum(record.available for record in pools.instances()) == total

        assert self.run_until(joined, within=30.0)

    def ask(self, body, *, credential="red", to=""):
        """Make a call and return its answer."""
        self.run(2 * POLL_SECONDS)
        call = self.call(body, to=to, credential=credential)
        assert self.run_until(lambda: call.ended, within=10.0), body
        return call.answer

    def elect(self, name):
        """Cut the leader off, and let another lead after its lease ran out."""
        self.log.cut[self.log.leader] = self.now
        self.partition([self.log.leader])
        self.log.leader = ""
        self.run(LEASE_SECONDS)
        self.log.leader = name

    def change_folder(self, **tables):
        """Put a changed folder in force."""
        self.log.folder = msgspec.structs.replace(self.log.folder, **tables)
        self.log.generation += 1
