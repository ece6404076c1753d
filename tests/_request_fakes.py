"""Simulated daemons with target and request parts, and fakes of their other parts."""

from random import Random

from gypsumwalk.announcements import AnnounceTarget
from gypsumwalk.fences import FenceSection
from gypsumwalk.inputs import (
    MemberChange,
    MembershipChanged,
    ProposalOutcome,
    ProposalStatus,
    ShutdownRequested,
)
from gypsumwalk.node import Node
from gypsumwalk.part import NEVER
from gypsumwalk.requests import RequestPart
from gypsumwalk.settings import Settings
from gypsumwalk.submissions import CancelRequest, ReadRequest, SubmitRequest
from gypsumwalk.targets import TargetPart
from gypsumwalk.views import KeyDecision, KeyVerdict, Member, QueueRule, TeamRule
from tests._fake_targets import FakeTarget
from tests._world import World

COMMIT_SECONDS = 0.02
FRESHNESS_SECONDS = 3.0


class FakeFolder:
    """Teams and queues; changes take effect immediately."""

    generation = 1
    folder = None

    def __init__(self):
        self.team_rules = {}
        self.queue_rules = {}

    def team(self, name):
        return self.team_rules.get(name)

    def teams(self):
        return [self.team_rules[name] for name in sorted(self.team_rules)]

    def queue(self, name):
        return self.queue_rules.get(name)


class FakeKeys:
    """Keys of teams; the key of a team is its name followed by ``-key``."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.withdrawn = set()
        self.stale = False
        self.cut_off_at = None

    def is_stale(self):
        if self.stale:
            return True
        cut_off_at = self.cut_off_at
        now = self.cluster.world.now
        return cut_off_at is not None and now - cut_off_at > FRESHNESS_SECONDS

    def is_fresh(self, now):
        return not self.is_stale()

    def check(self, credential, queue, now):
        if self.is_stale():
            return KeyDecision(KeyVerdict.STALE)
        rule = self.cluster.folder.queue_rules.get(queue)
        if rule is not None and rule.open_to_all:
            return KeyDecision(KeyVerdict.OPEN)
        team = credential.removesuffix("-key")
        if team not in self.cluster.folder.team_rules or credential in self.withdrawn:
            return KeyDecision(KeyVerdict.UNKNOWN_KEY)
        if rule is not None and rule.teams and team not in rule.teams:
            return KeyDecision(KeyVerdict.FORBIDDEN, team)
        return KeyDecision(KeyVerdict.VALID, team)

    def check_operator(self, credential, now):
        return False


class FakePortions:
    """Units of each team, shared by all daemons; records the peak number in use."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.held = {}
        self.peak = {}

    def acquire(self, team, holder, now):
        held = self.held.setdefault(team, set())
        if len(held) >= self.cluster.folder.team_rules[team].limit:
            return False
        assert holder not in held
        held.add(holder)
        self.peak[team] = max(self.peak.get(team, 0), len(held))
        return True

    def release(self, team, holder, now):
        self.held[team].remove(holder)


class FakeMembership:
    """Membership that knows without delay which daemons are reachable."""

    def __init__(self, cluster, name, incarnation):
        self.cluster = cluster
        self.name = name
        self.incarnation = incarnation

    def members(self):
        world = self.cluster.world
        here = world.daemons[self.name]
        return [
            Member(
                name=item.name,
                data_centre=self.cluster.data_centres[item.name],
                address="127.0.0.1",
                peer_port=1,
                incarnation=item.incarnation,
                alive=item is here
                or (item.alive and not world.network.blocks(here.place, item.place)),
                leaving=item.name in self.cluster.leaving,
            )
            for item in world.daemons.values()
            if item.name not in self.cluster.removed
        ]

    def find(self, name):
        return next((item for item in self.members() if item.name == name), None)


class FakeReplicator:
    """Commits each proposal after ``COMMIT_SECONDS`` on every reachable daemon."""

    name = "consensus"
    accepts = (type(None),)
    wakeup = NEVER

    def __init__(self, cluster, name):
        self.cluster = cluster
        self.daemon = name

    def handle(self, item, now):
        return []

    def advance(self, now):
        return []

    def propose(self, proposal, now):
        world = self.cluster.world
        world.schedule(COMMIT_SECONDS, lambda: self.commit(proposal))
        return []

    def commit(self, proposal):
        world = self.cluster.world
        here = world.daemons[self.daemon]
        if here.paused or not here.alive or not self.cluster.has_quorum(here):
            return
        for name, section in self.cluster.fences.items():
            if not world.network.blocks(here.place, world.daemons[name].place):
                section.apply(proposal.command, 1, world.now)
        outcome = ProposalOutcome(proposal.token, ProposalStatus.COMMITTED, 1)
        world.deliver(here, outcome)


class Cluster:
    """Simulated cluster of daemons with target and request parts.

    Parameters
    ----------
    data_centres : dict of str to str
        Data centre of each daemon.
    seed : int
        Seed of all random number generators.
    """

    def __init__(self, data_centres, *, seed=0):
        self.data_centres = data_centres
        self.seed = seed
        self.folder = FakeFolder()
        self.keys = {}
        self.portions = FakePortions(self)
        self.fences = {}
        self.leaving = set()
        self.removed = set()
        self.without_quorum = False
        self.parts = {}
        self.world = World(self.build, seed=seed)
        self.add_team("seats")
        self.add_team("holds")
        self.add_queue("charts", "rebuild")
        for name, data_centre in data_centres.items():
            self.world.add(name, data_centre=data_centre, disk=False)

    def build(self, name, recovered, incarnation):
        settings = Settings(
            name=name,
            data_centre=self.data_centres[name],
            caller_port=1,
            peer_port=2,
            cluster_secret="a secret of the cluster",
        )
        membership = self.make_membership(name, incarnation)
        keys = self.keys.setdefault(name, FakeKeys(self))
        fences = self.fences.setdefault(name, FenceSection())
        random = Random(f"{self.seed} {name} {incarnation}")
        targets = TargetPart(
            settings=settings,
            membership=membership,
            keys=keys,
            fences=fences,
            random=random,
            incarnation=incarnation,
        )
        requests = RequestPart(
            settings=settings,
            keys=keys,
            folder=self.folder,
            portions=self.portions,
            membership=membership,
            targets=targets,
            random=random,
            incarnation=incarnation,
        )
        self.parts[name] = (targets, requests)
        replicator = FakeReplicator(self, name)
        return Node([targets, requests, replicator], replicator)

    def make_membership(self, name, incarnation):
        """Return the membership view of one daemon."""
        return FakeMembership(self, name, incarnation)

    def add_team(self, name, *, share=1.0, limit=1000):
        self.folder.team_rules[name] = TeamRule(name, share, limit)

    def add_queue(self, name, service, **changes):
        rule = QueueRule(name, service, False, (), 1000, 10.0)
        self.folder.queue_rules[name] = rule._replace(**changes)

    def add_target(self, name, data_centre, *, slots=2, service="rebuild", **changes):
        incarnations = {"value": 1}

        def announce(target, now):
            return AnnounceTarget(
                name=name,
                incarnation=incarnations["value"],
                data_centre=data_centre,
                service=service,
                address=target.address,
                slots=slots,
                connections=slots * 8,
                leaving=target.leaving,
            )

        changes.setdefault("announce_interval", 0.5)
        target = FakeTarget(name, announce, data_centre, **changes)
        return self.world.targets.add(target)

    def submit(self, payload=b"x", *, to="", team="seats", queue="charts", **fields):
        body = SubmitRequest(queue=queue, **fields)
        return self.world.call(body, to=to, credential=f"{team}-key", payload=payload)

    def read(self, request_id, *, to="", team="seats"):
        return self.world.call(ReadRequest(request_id), to=to, credential=f"{team}-key")

    def cancel(self, request_id, *, to="", team="seats"):
        return self.world.call(
            CancelRequest(request_id), to=to, credential=f"{team}-key"
        )

    def has_quorum(self, daemon):
        """Return whether a daemon reaches a majority, counting itself."""
        if self.without_quorum:
            return False
        others = self.world.daemons.values()
        reached = [
            item
            for item in others
            if not self.world.network.blocks(daemon.place, item.place)
        ]
        return len(reached) * 2 > len(others)

    def partition(self, sources):
        """Partition a group off, and report each side to the other as dead."""
        self.world.partition(sources)
        for daemon in self.world.daemons.values():
            if not self.has_quorum(daemon):
                self.keys[daemon.name].cut_off_at = self.world.now
            for other in self.world.daemons.values():
                if self.world.network.blocks(daemon.place, other.place):
                    self.notify_member_change(daemon, other, MemberChange.DEAD)

    def heal(self):
        """End all partitions, and bring fences and keys up to date on all daemons."""
        self.world.heal()
        newest = max(self.fences.values(), key=lambda section: section.dump())
        withdrawn = set().union(*(keys.withdrawn for keys in self.keys.values()))
        for name, keys in self.keys.items():
            keys.cut_off_at = None
            keys.withdrawn |= withdrawn
            self.fences[name].load(newest.dump())

    def withdraw_key(self, team):
        """Withdraw a team's key on every daemon that is not cut off from the quorum."""
        for keys in self.keys.values():
            if keys.cut_off_at is None:
                keys.withdrawn.add(f"{team}-key")

    def shut_down(self, name, seconds=20.0):
        """Request the graceful shutdown of a daemon within some seconds."""
        self.leaving.add(name)
        daemon = self.world.daemons[name]
        self.world.deliver(daemon, ShutdownRequested(self.world.now + seconds))

    def kill(self, name):
        """Kill a daemon, and report it dead to the others."""
        self.world.kill(name)
        self.announce_change(name, MemberChange.DEAD)

    def announce_change(self, name, change):
        """Report a change in membership to every other daemon."""
        for daemon in self.world.daemons.values():
            if daemon.name != name:
                self.notify_member_change(daemon, self.world.daemons[name], change)

    def notify_member_change(self, daemon, other, change):
        """Report a change in the status of another daemon to one daemon."""
        item = MembershipChanged(other.name, change, other.incarnation)
        self.world.deliver(daemon, item)

    def list_owners(self, target):
        """Return the live daemons that own a target."""
        return [
            name
            for name, (targets, _) in self.parts.items()
            if self.world.daemons[name].alive and target in targets.table.targets
        ]

    def wait_owned(self, *targets, within=5.0):
        """Run until each target has one owner that confirmed it; return the result."""

        def are_owned():
            return all(self._is_owned(target) for target in targets)

        return self.world.run_until(are_owned, within=within)

    def _is_owned(self, target):
        owners = self.list_owners(target)
        if len(owners) != 1:
            return False
        return self.parts[owners[0]][0].table.targets[target].confirmed
