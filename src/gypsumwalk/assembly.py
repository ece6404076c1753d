"""Construction of the parts of one daemon."""

from collections.abc import Sequence
from random import Random

from gypsumwalk import (
    configuration,
    consensus,
    explanations,
    heartbeats,
    job_calls,
    keys,
    membership,
    operator_calls,
    platform,
    request_messages,
    status,
    submissions,
    targets,
    voters,
)
from gypsumwalk.configuration import ConfigurationPart, ConfigurationSection
from gypsumwalk.consensus import Consensus
from gypsumwalk.endpoints import Endpoint
from gypsumwalk.fences import FenceSection
from gypsumwalk.heartbeats import HeartbeatReceiver, HeartbeatTable
from gypsumwalk.job_part import JobPart
from gypsumwalk.jobs import JobSection
from gypsumwalk.keys import KeyPart, KeySection
from gypsumwalk.membership import MembershipPart
from gypsumwalk.node import Node
from gypsumwalk.part import Part
from gypsumwalk.pool_controller import PoolController
from gypsumwalk.pools import PoolSection
from gypsumwalk.quota_portions import PortionPart, PortionSection
from gypsumwalk.rebalancing import RebalancingPolicy
from gypsumwalk.rebalancing_controller import RebalancingController
from gypsumwalk.recovery import Recovered
from gypsumwalk.replay_protection import ReplayWindow
from gypsumwalk.requests import RequestPart
from gypsumwalk.settings import Settings
from gypsumwalk.state import ReplicatedState, Section
from gypsumwalk.status import StatusPart
from gypsumwalk.targets import TargetPart
from gypsumwalk.voters import VoterPart
from gypsumwalk.wave_controller import WaveController
from gypsumwalk.waves import WaveSection
from gypsumwalk.wire import Envelope

__all__ = ["ENDPOINTS", "PEER_MESSAGES", "Assembly", "build_node"]

SEED_BITS = 64

PEER_MESSAGES: tuple[type, ...] = (
    *consensus.PEER_MESSAGES,
    *membership.PEER_MESSAGES,
    *configuration.PEER_MESSAGES,
    *targets.PEER_MESSAGES,
    *request_messages.PEER_MESSAGES,
    *heartbeats.PEER_MESSAGES,
    *explanations.PEER_MESSAGES,
)
"""All types of messages between daemons."""

ENDPOINTS: tuple[Endpoint, ...] = (
    *submissions.ENDPOINTS,
    *targets.ENDPOINTS,
    *job_calls.ENDPOINTS,
    *platform.ENDPOINTS,
    *operator_calls.WAVE_ENDPOINTS,
    *operator_calls.INSTANCE_ENDPOINTS,
    *configuration.ENDPOINTS,
    *keys.ENDPOINTS,
    *status.ENDPOINTS,
    *voters.ENDPOINTS,
)
"""All endpoints of the HTTP API."""


class _Sections:
    def __init__(self) -> None:
        self.configuration = ConfigurationSection()
        self.keys = KeySection()
        self.portions = PortionSection(self.configuration)
        self.fences = FenceSection()
        self.pools = PoolSection(self.configuration)
        self.jobs = JobSection(self.pools, self.portions, self.configuration)
        self.waves = WaveSection(self.pools, self.configuration)

    def list(self) -> Sequence[Section]:
        return [
            self.configuration,
            self.keys,
            self.portions,
            self.fences,
            self.pools,
            self.jobs,
            self.waves,
        ]


class Assembly:
    """Node of one daemon with all its parts, and the interface for its driver.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon.
    incarnation : int
        Incarnation, which rises with every start.
    recovered : Recovered
        Content of the data folder.
    random : Random
        Random number generator; it seeds a separate one for each part.
    secrets : Random
        Source of new keys; must be cryptographically secure outside of tests.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        incarnation: int,
        recovered: Recovered,
        random: Random,
        secrets: Random,
    ) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.sections = _Sections()
        self.state = ReplicatedState(self.sections.list())
        self._random = random
        self._has_caught_up = False
        self._replay_window = ReplayWindow()
        self.membership = MembershipPart(
            settings=settings, random=self._derive_random(), incarnation=incarnation
        )
        self.consensus = Consensus(
            settings=settings,
            state=self.state,
            recovered=recovered,
            random=self._derive_random(),
            incarnation=incarnation,
        )
        self.keys = KeyPart(
            settings=settings,
            section=self.sections.keys,
            folder=self.sections.configuration,
            freshness=self.consensus,
            members=self.membership,
            random=secrets,
        )
        parts: list[Part] = [
            self.consensus,
            self.membership,
            self.keys,
            *self._make_request_parts(),
            *self._make_fleet_parts(),
            *self._make_operator_parts(),
        ]
        self.node = Node(parts, self.consensus)

    def accept(self, envelope: Envelope) -> bool:
        """Return whether a peer's message is new, and record it as received."""
        return self._replay_window.admit(
            envelope.source, envelope.incarnation, envelope.sequence
        )

    def find_newer_incarnation(self, envelope: Envelope) -> int:
        """Return a known incarnation above that of a message's sender, or 0."""
        return self._replay_window.find_newer(envelope.source, envelope.incarnation)

    def may_call(self, now: float) -> bool:
        """Return True, as these calls are guarded where they are decided on only."""
        return True

    def is_ready(self, now: float) -> bool:
        """Return whether the daemon has caught up with the quorum since its start.

        A daemon that loses contact to the quorum later stays ready, as it still serves
        calls that need no quorum.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether the daemon may receive work.
        """
        if not self._has_caught_up:
            age = now - self.consensus.find_freshness(now)
            self._has_caught_up = age <= keys.FRESH_SECONDS
        return self._has_caught_up

    def _make_request_parts(self) -> list[Part]:
        portions = PortionPart(
            settings=self.settings,
            section=self.sections.portions,
            leadership=self.consensus,
            incarnation=self.incarnation,
        )
        target_part = TargetPart(
            settings=self.settings,
            membership=self.membership,
            keys=self.keys,
            fences=self.sections.fences,
            random=self._derive_random(),
            incarnation=self.incarnation,
        )
        request_part = RequestPart(
            settings=self.settings,
            keys=self.keys,
            folder=self.sections.configuration,
            portions=portions,
            membership=self.membership,
            targets=target_part,
            random=self._derive_random(),
            incarnation=self.incarnation,
        )
        return [portions, target_part, request_part]

    def _make_fleet_parts(self) -> list[Part]:
        table = HeartbeatTable()
        sections = self.sections
        folder = sections.configuration
        job_part = JobPart(
            settings=self.settings,
            jobs=sections.jobs,
            pools=sections.pools,
            heartbeats=table,
            keys=self.keys,
            folder=folder,
            leadership=self.consensus,
            random=self._derive_random(),
        )
        return [
            HeartbeatReceiver(
                settings=self.settings, leadership=self.consensus, table=table
            ),
            job_part,
            PoolController(
                pools=sections.pools,
                heartbeats=table,
                keys=self.keys,
                folder=folder,
                leadership=self.consensus,
            ),
            WaveController(
                waves=sections.waves,
                pools=sections.pools,
                heartbeats=table,
                keys=self.keys,
                folder=folder,
                leadership=self.consensus,
            ),
            RebalancingController(
                jobs=sections.jobs,
                planner=job_part.planner,
                pools=sections.pools,
                heartbeats=table,
                folder=folder,
                leadership=self.consensus,
                policy=RebalancingPolicy(),
                waves=sections.waves,
            ),
        ]

    def _make_operator_parts(self) -> list[Part]:
        return [
            ConfigurationPart(
                settings=self.settings,
                section=self.sections.configuration,
                state=self.state,
                keys=self.keys,
                members=self.membership,
            ),
            StatusPart(
                settings=self.settings,
                state=self.state,
                folder=self.sections.configuration,
                leadership=self.consensus,
                membership=self.membership,
            ),
            VoterPart(settings=self.settings, consensus=self.consensus, keys=self.keys),
        ]

    def _derive_random(self) -> Random:
        return Random(self._random.getrandbits(SEED_BITS))


def build_node(
    settings: Settings, *, incarnation: int, recovered: Recovered, random: Random
) -> Node:
    """Build the node of one daemon with reproducible random numbers, for tests.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon.
    incarnation : int
        Incarnation, which rises with every start.
    recovered : Recovered
        Content of the data folder.
    random : Random
        Random number generator, also for keys.

    Returns
    -------
    Node
        The node.
    """
    secrets = Random(random.getrandbits(SEED_BITS))
    assembly = Assembly(
        settings,
        incarnation=incarnation,
        recovered=recovered,
        random=random,
        secrets=secrets,
    )
    return assembly.node
