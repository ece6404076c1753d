"""Simulated cluster of daemons with consensus, membership and configuration."""

from random import Random

import msgspec

from gypsumwalk.configuration import ConfigurationPart, ConfigurationSection
from gypsumwalk.consensus import Consensus
from gypsumwalk.effects import Propose, Record
from gypsumwalk.events import Event
from gypsumwalk.inputs import Committed, ProposalOutcome
from gypsumwalk.keys import KeyPart, KeySection
from gypsumwalk.membership import MembershipPart
from gypsumwalk.node import Node
from gypsumwalk.part import NEVER
from gypsumwalk.quota_portions import PortionPart, PortionSection
from gypsumwalk.recovery import Recovered
from gypsumwalk.settings import PeerSettings, Settings
from gypsumwalk.state import Accepted, ReplicatedState
from gypsumwalk.voter_controller import VoterController
from gypsumwalk.voters import VoterPart
from tests._world import World

OPERATOR = "first operator's key"


class Put(msgspec.Struct, frozen=True, tag=True):
    """Command that appends a text to the list."""

    text: str


class ListSection:
    """Replicated list of texts, in log order."""

    name = "list"
    commands = (Put,)

    def __init__(self):
        self.items = []

    def apply(self, command, index, at):
        self.items.append(command.text)
        return Accepted(index)

    def dump(self):
        return msgspec.msgpack.encode(self.items)

    def load(self, content):
        self.items = msgspec.msgpack.decode(content)


class ClientPart:
    """Part that proposes commands and collects their outcomes."""

    name = "client"
    accepts = (Put,)

    def __init__(self):
        self.outcomes = {}
        self.committed = []
        self.waiting = []

    @property
    def wakeup(self):
        return 0.0 if self.waiting else NEVER

    def handle(self, item, now):
        if isinstance(item, ProposalOutcome):
            self.outcomes[item.token.removeprefix("client/")] = item
        elif isinstance(item, Committed):
            self.committed.append((item.index, item.command.text))
        return []

    def advance(self, now):
        effects, self.waiting = self.waiting, []
        return effects


class AgreementNode(Node):
    """Node with consensus and its dependent parts, and a client that appends texts."""

    def __init__(
        self,
        settings,
        recovered,
        incarnation,
        seed,
        max_replayed_entries=None,
        *,
        first_start=None,
        plans_voters=False,
    ):
        random = Random(f"{seed}/{settings.name}/{incarnation}")
        self.list = ListSection()
        self.folder = ConfigurationSection()
        self.key_section = KeySection()
        self.portion_section = PortionSection(self.folder)
        sections = [self.list, self.folder, self.key_section, self.portion_section]
        self.state = ReplicatedState(sections)
        self.consensus = Consensus(
            settings=settings,
            state=self.state,
            recovered=recovered or Recovered(),
            random=random,
            incarnation=incarnation,
            first_start=first_start,
            max_replayed_entries=max_replayed_entries,
        )
        self.membership = MembershipPart(
            settings=settings, random=random, incarnation=incarnation
        )
        self.keys = KeyPart(
            settings=settings,
            section=self.key_section,
            folder=self.folder,
            freshness=self.consensus,
            members=self.membership,
            random=random,
        )
        self.configuration = ConfigurationPart(
            settings=settings,
            section=self.folder,
            state=self.state,
            keys=self.keys,
            members=self.membership,
        )
        self.portions = PortionPart(
            settings=settings,
            section=self.portion_section,
            leadership=self.consensus,
            incarnation=incarnation,
        )
        self.voters = VoterPart(
            settings=settings, consensus=self.consensus, keys=self.keys
        )
        self.client = ClientPart()
        parts = [
            self.consensus,
            self.membership,
            self.configuration,
            self.keys,
            self.portions,
            self.voters,
            self.client,
        ]
        if plans_voters:
            parts.append(VoterController(settings.name, self.consensus))
        super().__init__(parts, self.consensus)


class Cluster(World):
    """Cluster of voters ``v0``... with disks and followers ``f0``... without disks.

    With ``first_start`` the platform tells the first start from later ones: the
    attribute is True until the daemons have been added. With ``plans_voters`` the
    leader replaces voters by itself.
    """

    def __init__(
        self,
        seed,
        voters=5,
        followers=0,
        data_centres=1,
        *,
        election_seconds=1.0,
        max_replayed_entries=None,
        first_start=None,
        plans_voters=False,
        tolerated_disk_losses=0,
    ):
        self.first_start = first_start
        self.tolerated_disk_losses = tolerated_disk_losses
        self.plans_voters = plans_voters
        self.seed = seed
        self.election_seconds = election_seconds
        self.max_replayed_entries = max_replayed_entries
        self._scanned_entries = 0
        self._withdrawal_times = {}
        self.observers = []
        self.voters = [f"v{number}" for number in range(voters)]
        self.followers = [f"f{number}" for number in range(followers)]
        super().__init__(self.build, seed=seed)
        for number, name in enumerate(self.voters):
            self.add(name, data_centre=f"dc{number % data_centres}")
        for number, name in enumerate(self.followers):
            self.add(name, data_centre=f"dc{number % data_centres}", disk=False)
        if first_start:
            self.first_start = False

    def build(self, name, recovered, incarnation):
        peers = [
            PeerSettings(
                name=voter,
                data_centre="dc",
                address="127.0.0.1",
                peer_port=1,
                voter=True,
            )
            for voter in self.voters
        ]
        settings = Settings(
            name=name,
            data_centre="dc",
            caller_port=1,
            peer_port=2,
            peers=peers,
            cluster_secret="0123456789abcdef",
            operator_key=OPERATOR,
            data_folder="" if recovered is None else "data",
            election_seconds=self.election_seconds,
            tolerated_disk_losses=self.tolerated_disk_losses,
        )
        return AgreementNode(
            settings,
            recovered,
            incarnation,
            self.seed,
            self.max_replayed_entries,
            first_start=self.first_start,
            plans_voters=self.plans_voters,
        )

    def _carry_out(self, daemon, effects):
        super()._carry_out(daemon, effects)
        for observe in self.observers:
            observe(daemon)

    def read_local_clock(self, name):
        return self.daemons[name].read_clock(self.now)

    def get_nodes(self):
        return {name: item.node for name, item in self.daemons.items() if item.alive}

    def find_leader(self):
        for name, node in self.get_nodes().items():
            if node.consensus.holds_lease(self.read_local_clock(name)):
                return name
        return ""

    def elect(self, within=10.0):
        assert self.run_until(self.find_leader, within=within)
        return self.find_leader()

    def propose(self, name, text, timeout=5.0):
        daemon = self.daemons[name]
        proposal = Propose(f"client/{text}", Put(text), timeout)
        daemon.node.client.waiting.append(proposal)
        self._arm(daemon)

    def get_outcome(self, name, text):
        return self.daemons[name].node.client.outcomes.get(text)

    def get_lists(self):
        return {name: node.list.items for name, node in self.get_nodes().items()}

    def ask(self, body, to="", credential=OPERATOR, within=10.0):
        call = self.call(body, to=to, credential=credential)
        self.run_until(lambda: call.ended, within=within)
        return call.answer

    @property
    def withdrawal_times(self):
        """Time at which any daemon first recorded each key's withdrawal, by key id."""
        for entry in self.trace[self._scanned_entries :]:
            effect = entry.effect
            if isinstance(effect, Record) and effect.event is Event.KEY_WITHDRAWN:
                self._withdrawal_times.setdefault(effect.subject, entry.at)
        self._scanned_entries = len(self.trace)
        return self._withdrawal_times

    def list_events(self, event):
        return [
            entry
            for entry in self.trace
            if isinstance(entry.effect, Record) and entry.effect.event is event
        ]
