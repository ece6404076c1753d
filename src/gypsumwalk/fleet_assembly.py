"""Assembly of the parts of a daemon that manages a fleet of instances."""

from dataclasses import dataclass
from random import Random

from gypsumwalk import consensus
from gypsumwalk.advice import AdviceCache
from gypsumwalk.advice_client import AdviceClient
from gypsumwalk.consensus import Consensus
from gypsumwalk.declarations import DeclarationSection
from gypsumwalk.demand_forecast import DemandForecast
from gypsumwalk.dispatcher import Dispatcher
from gypsumwalk.evacuation_handler import EvacuationHandler
from gypsumwalk.evacuations import EvacuationSection
from gypsumwalk.fleet_call_handler import FleetCallHandler
from gypsumwalk.job_explainer import JobExplainer
from gypsumwalk.job_forecast import JobForecaster
from gypsumwalk.known_announcements import KnownAnnouncements
from gypsumwalk.life_checks import LifeChecks
from gypsumwalk.machine_directory import MachineDirectory
from gypsumwalk.maintenance_controller import MaintenanceController
from gypsumwalk.node import Node
from gypsumwalk.order_cooldown import OrderCooldown
from gypsumwalk.pace_controller import PaceController
from gypsumwalk.part import Part
from gypsumwalk.pool_scaling_controller import PoolScalingController
from gypsumwalk.recovery import Recovered
from gypsumwalk.replay_protection import ReplayWindow
from gypsumwalk.settings import Settings
from gypsumwalk.shutdown import ShutdownHandler
from gypsumwalk.state import ReplicatedState, Section
from gypsumwalk.submission_control import SubmissionControl
from gypsumwalk.task_scheduler import TaskScheduler
from gypsumwalk.upkeep import UpkeepSection
from gypsumwalk.voter_controller import VoterController
from gypsumwalk.wire import Envelope
from gypsumwalk.workload_observer import WorkloadObserver
from gypsumwalk.workloads import WorkloadSection

__all__ = ["MAX_REPLAYED_ENTRIES", "PEER_MESSAGES", "FleetAssembly", "FleetLimits"]

PEER_MESSAGES: tuple[type, ...] = consensus.PEER_MESSAGES
"""Message types between daemons that manage a fleet."""

MAX_REPLAYED_ENTRIES = 128
"""Committed entries that a daemon applies at a time while it catches up; they take some
tens of milliseconds, so that heartbeats are sent and answered in between."""


@dataclass(frozen=True, slots=True)
class FleetLimits:
    """Limits of the platform.

    Attributes
    ----------
    max_lease : float
        Longest lease of an instance, in seconds.
    maintenance : float
        Time in seconds that the maintenance of a machine takes.
    stop_grace : float
        Longest time in seconds that a stop of a run takes.
    evacuation : float
        Time in seconds after the acknowledgement of an evacuation from which no task
        may start in the data centre.
    """

    max_lease: float
    maintenance: float = 2.0
    stop_grace: float = 0.4
    evacuation: float = 5.0


class FleetAssembly:
    """Parts of one daemon, joined in a node, with the interface for its driver.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon.
    limits : FleetLimits
        Limits of the platform.
    incarnation : int
        Incarnation of the daemon, which increases with every start.
    recovered : Recovered
        Content of the data folder.
    random : Random
        Source of random numbers.
    first_start : bool
        Whether the whole cluster starts for the first time, with empty disks.
    data_centres : frozenset of str
        Data centres that the settings name.
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
        data_centres: frozenset[str] = frozenset(),
    ) -> None:
        self.incarnation = incarnation
        self.declarations = DeclarationSection()
        self.workloads = WorkloadSection()
        self.upkeep = UpkeepSection()
        self.evacuations = EvacuationSection()
        sections: list[Section] = [
            self.declarations,
            self.workloads,
            self.upkeep,
            self.evacuations,
        ]
        self.state = ReplicatedState(sections)
        self._window = ReplayWindow()
        self.consensus = Consensus(
            settings=settings,
            state=self.state,
            recovered=recovered,
            random=random,
            incarnation=incarnation,
            first_start=first_start,
            max_replayed_entries=MAX_REPLAYED_ENTRIES,
        )
        advice = AdviceCache()
        self.scheduler = TaskScheduler(
            self.declarations, self.workloads, advice, self.evacuations.data_centres
        )
        self.dispatcher = Dispatcher(
            leadership=self.consensus,
            declarations=self.declarations,
            workloads=self.workloads,
            evacuations=self.evacuations,
            scheduler=self.scheduler,
            advice=advice,
            max_lease=limits.max_lease,
            stop_grace=limits.stop_grace,
            evacuation=limits.evacuation,
        )
        life_checks = LifeChecks(self.dispatcher)
        directory = MachineDirectory(self.workloads, self.dispatcher)
        submission_control = SubmissionControl(
            declarations=self.declarations,
            workloads=self.workloads,
            dispatcher=self.dispatcher,
            scheduler=self.scheduler,
            directory=directory,
            views=self.scheduler.backlog,
        )
        self.known_announcements = KnownAnnouncements(
            self.workloads, submission_control
        )
        self.call_handler = FleetCallHandler(
            leadership=self.consensus,
            declarations=self.declarations,
            workloads=self.workloads,
            upkeep=self.upkeep,
            dispatcher=self.dispatcher,
            life_checks=life_checks,
            submission_control=submission_control,
        )
        job_explainer = JobExplainer(
            leadership=self.consensus,
            declarations=self.declarations,
            workloads=self.workloads,
            forecaster=JobForecaster(
                dispatcher=self.dispatcher,
                scheduler=self.scheduler,
                submission_control=submission_control,
                may_be_stored=self.call_handler.may_be_stored,
            ),
        )
        self.evacuation_handler = EvacuationHandler(
            leadership=self.consensus,
            evacuations=self.evacuations,
            workloads=self.workloads,
            directory=directory,
            data_centres=data_centres,
        )
        cooldown = OrderCooldown(settings.name)
        maintenance_controller = MaintenanceController(
            daemon=settings.name,
            declarations=self.declarations,
            upkeep=self.upkeep,
            evacuations=self.evacuations,
            dispatcher=self.dispatcher,
            scheduler=self.scheduler,
            directory=directory,
            cooldown=cooldown,
            maintenance=limits.maintenance,
        )
        forecast = DemandForecast()
        pool_scaling_controller = PoolScalingController(
            daemon=settings.name,
            declarations=self.declarations,
            upkeep=self.upkeep,
            evacuations=self.evacuations,
            dispatcher=self.dispatcher,
            scheduler=self.scheduler,
            directory=directory,
            cooldown=cooldown,
            forecast=forecast,
        )
        advice_client = AdviceClient(
            workloads=self.workloads,
            dispatcher=self.dispatcher,
            scheduler=self.scheduler,
            advice=advice,
        )
        pace_controller = PaceController(
            workloads=self.workloads, dispatcher=self.dispatcher
        )
        voter_controller = VoterController(settings.name, self.consensus)
        parts: list[Part] = [
            self.consensus,
            WorkloadObserver(self.scheduler, forecast),
            self.call_handler,
            self.evacuation_handler,
            job_explainer,
            life_checks,
            self.dispatcher,
            directory,
            maintenance_controller,
            pool_scaling_controller,
            advice_client,
            pace_controller,
            voter_controller,
            ShutdownHandler(),
        ]
        self.node = Node(parts, self.consensus)

    def accept(self, envelope: Envelope) -> bool:
        """Add a peer's message to the replay window; return whether it is new."""
        return self._window.admit(
            envelope.source, envelope.incarnation, envelope.sequence
        )

    def find_newer_incarnation(self, envelope: Envelope) -> int:
        """Return a known incarnation above that of a message's sender, or 0."""
        return self._window.find_newer(envelope.source, envelope.incarnation)

    def is_leading(self, now: float) -> bool:
        """Return whether the daemon leads; may be called from any thread.

        The lease is compared with the time of the call, as a node that does not run
        cannot notice that it has expired.

        Parameters
        ----------
        now : float
            Time in seconds on the node's clock.

        Returns
        -------
        bool
            Whether it is active as the leader and its lease is valid.
        """
        return self.dispatcher.is_active and now < self.consensus.lease_end

    def may_call(self, now: float) -> bool:
        """Return whether this daemon leads, as only the leader calls the platform."""
        return self.dispatcher.is_leading(now)

    def is_ready(self, now: float) -> bool:
        """Return whether the daemon knows a leader."""
        return bool(self.consensus.leader) or self.consensus.holds_lease(now)
