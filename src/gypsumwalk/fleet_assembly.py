"""Assembly of the parts of a daemon that keeps a fleet of instances."""

from dataclasses import dataclass
from random import Random

from gypsumwalk import consensus
from gypsumwalk.advice import AdviceBook
from gypsumwalk.advice_keeper import AdviceKeeper
from gypsumwalk.consensus import Consensus
from gypsumwalk.declarations import DeclarationSection
from gypsumwalk.dispatcher import Dispatcher
from gypsumwalk.fleet_desk import FleetDesk
from gypsumwalk.fleet_history import FleetHistory
from gypsumwalk.machine_directory import MachineDirectory
from gypsumwalk.machine_keeper import MachineKeeper
from gypsumwalk.machine_turns import MachineTurns
from gypsumwalk.node import Node
from gypsumwalk.pace_keeper import PaceKeeper
from gypsumwalk.part import Part
from gypsumwalk.pool_keeper import PoolKeeper
from gypsumwalk.recovery import Recovered
from gypsumwalk.replay_protection import ReplayWindow
from gypsumwalk.retirement import Retirement
from gypsumwalk.settings import Settings
from gypsumwalk.state import ReplicatedState, Section
from gypsumwalk.task_scheduler import TaskScheduler
from gypsumwalk.turns import TurnForecast
from gypsumwalk.upkeep import UpkeepSection
from gypsumwalk.voter_keeper import VoterKeeper
from gypsumwalk.wire import Envelope
from gypsumwalk.workloads import WorkloadSection

__all__ = ["PEER_MESSAGES", "FleetAssembly", "FleetLimits"]

PEER_MESSAGES: tuple[type, ...] = consensus.PEER_MESSAGES
"""Every type of message between daemons that keep a fleet."""


@dataclass(frozen=True, slots=True)
class FleetLimits:
    """Bounds that the platform states.

    Attributes
    ----------
    max_lease : float
        Longest lease of an instance, in seconds.
    maintenance : float
        Time in seconds that the maintenance of a machine takes.
    stop_grace : float
        Longest time in seconds that a stop of a run takes.
    """

    max_lease: float
    maintenance: float = 2.0
    stop_grace: float = 0.4


class FleetAssembly:
    """One daemon's parts, joined in a node, and what its driver needs of them.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon.
    limits : FleetLimits
        Bounds that the platform states.
    incarnation : int
        Incarnation, higher after every start.
    recovered : Recovered
        Content of the data folder.
    random : Random
        Source of all chance.
    first_start : bool
        Whether the whole system starts for the first time, with empty disks.
    """

    def __init__(
        self,
        settings: Settings,
        limits: FleetLimits,
        *,
        incarnation: int,
        recovered: Recovered,
        random: Random,
        first_start: bool,
    ) -> None:
        self.incarnation = incarnation
        self.declarations = DeclarationSection()
        self.workloads = WorkloadSection()
        self.upkeep = UpkeepSection()
        sections: list[Section] = [self.declarations, self.workloads, self.upkeep]
        self.state = ReplicatedState(sections)
        self._window = ReplayWindow()
        self.consensus = Consensus(
            settings=settings,
            state=self.state,
            recovered=recovered,
            random=random,
            incarnation=incarnation,
            first_start=first_start,
        )
        advice = AdviceBook()
        self.scheduler = TaskScheduler(self.declarations, self.workloads, advice)
        self.dispatcher = Dispatcher(
            leadership=self.consensus,
            declarations=self.declarations,
            workloads=self.workloads,
            scheduler=self.scheduler,
            advice=advice,
            max_lease=limits.max_lease,
            stop_grace=limits.stop_grace,
        )
        self.desk = FleetDesk(
            leadership=self.consensus,
            declarations=self.declarations,
            workloads=self.workloads,
            upkeep=self.upkeep,
        )
        directory = MachineDirectory(self.workloads, self.dispatcher)
        turns = MachineTurns(settings.name)
        machines = MachineKeeper(
            daemon=settings.name,
            declarations=self.declarations,
            workloads=self.workloads,
            upkeep=self.upkeep,
            dispatcher=self.dispatcher,
            scheduler=self.scheduler,
            directory=directory,
            turns=turns,
            maintenance=limits.maintenance,
        )
        forecast = TurnForecast()
        pools = PoolKeeper(
            daemon=settings.name,
            declarations=self.declarations,
            workloads=self.workloads,
            upkeep=self.upkeep,
            dispatcher=self.dispatcher,
            scheduler=self.scheduler,
            directory=directory,
            turns=turns,
            forecast=forecast,
        )
        adviser = AdviceKeeper(
            workloads=self.workloads,
            dispatcher=self.dispatcher,
            scheduler=self.scheduler,
            advice=advice,
        )
        pacer = PaceKeeper(workloads=self.workloads, dispatcher=self.dispatcher)
        keeper = VoterKeeper(settings.name, self.consensus)
        parts: list[Part] = [
            self.consensus,
            FleetHistory(self.scheduler, forecast),
            self.desk,
            self.dispatcher,
            directory,
            machines,
            pools,
            adviser,
            pacer,
            keeper,
            Retirement(),
        ]
        self.node = Node(parts, self.consensus)

    def accept(self, envelope: Envelope) -> bool:
        """Tell whether a peer's message is new, and note it."""
        return self._window.admit(
            envelope.source, envelope.incarnation, envelope.sequence
        )

    def is_ready(self, now: float) -> bool:
        """Tell whether the daemon knows a leader."""
        return bool(self.consensus.leader) or self.consensus.holds_lease(now)
