"""Directory of the machines of a fleet, polled by the leader."""

from collections.abc import Sequence

from gypsumwalk.dispatcher import Dispatcher
from gypsumwalk.effects import CallPlatform, Effect, Propose, Record, Scalar
from gypsumwalk.events import Event
from gypsumwalk.inputs import Input, PlatformOutcome
from gypsumwalk.instance_actions import ListMachines, MachineInfo, MachineList
from gypsumwalk.leases import InstanceView
from gypsumwalk.workload_records import RegisteredInstance, RemoveInstance
from gypsumwalk.workloads import WorkloadSection

__all__ = ["MachineDirectory"]

LIST_SECONDS = 1.0
"""Polling interval; a move takes 1.5 s and a maintenance 2 s."""

CALL_SECONDS = 2.0
"""Timeout of one call to the machine API, which may be slow."""

PROPOSAL_SECONDS = 2.0
"""Timeout of a proposal; the next list leads to a new one."""

STATES_IN_SERVICE = ("up", "moving")

CHECK_SECONDS = 0.1
"""Interval at which it is checked whether a poll is due."""


class MachineDirectory:
    """Part that polls the list of machines while this daemon leads.

    Parameters
    ----------
    workloads : WorkloadSection
        Jobs and instances.
    dispatcher : Dispatcher
        Leadership of this daemon, and the instances with their runs.
    """

    name = "directory"
    accepts: tuple[type, ...] = ()

    def __init__(self, workloads: WorkloadSection, dispatcher: Dispatcher) -> None:
        self.machines: dict[str, MachineInfo] = {}
        self.read_at = float("-inf")
        """Time in seconds at which the list in ``machines`` was requested."""
        self._workloads = workloads
        self._dispatcher = dispatcher
        self._term = 0
        self._requested_at = float("-inf")
        self._open_requests: dict[str, float] = {}
        """Time in seconds of each request without an outcome, by its token."""
        self._request_count = 0
        self._due = 0.0

    @property
    def wakeup(self) -> float:
        """Time in seconds of the next check."""
        return self._due

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Store a list, and remove the instances whose machines are down."""
        if not isinstance(item, PlatformOutcome):
            return []
        requested_at = self._open_requests.pop(item.token, None)
        if requested_at is None or not isinstance(item.report, MachineList):
            return []
        if requested_at < self.read_at:
            # The answer to a later request has overtaken it.
            return []
        self.machines = {info.machine: info for info in item.report.machines}
        # The list may be as old as the request for it.
        self.read_at = requested_at
        return self._remove_dead_instances(now)

    def advance(self, now: float) -> Sequence[Effect]:
        """Request the list if a poll is due."""
        self._due = now + CHECK_SECONDS
        if not self._dispatcher.term or not self._dispatcher.is_leading(now):
            return []
        if self._dispatcher.term != self._term:
            self._term = self._dispatcher.term
            self.machines = {}
            self._requested_at = float("-inf")
            self._open_requests.clear()
        if now - self._requested_at < LIST_SECONDS:
            return []
        self._requested_at = now
        self._request_count += 1
        token = f"{self.name}/list/{self._request_count}"
        self._open_requests[token] = now
        return [CallPlatform(token, ListMachines(), CALL_SECONDS)]

    def _remove_dead_instances(self, now: float) -> list[Effect]:
        """Propose to remove silent instances whose machines are down."""
        effects: list[Effect] = []
        for life, view in self._dispatcher.lease_table.instances.items():
            info = self.machines.get(view.registered.machine)
            if info is None or info.state != "down" or not view.silent_since:
                continue
            if view.silent_since < self.read_at:
                attributes: dict[str, Scalar] = {
                    "machine": info.machine,
                    "runs": len(view.runs),
                }
                effects.append(Record(Event.INSTANCE_DOWN, life, attributes))
                token = f"{self.name}/end/{life}"
                command = RemoveInstance(life, reason="its machine is down")
                effects.append(Propose(token, command, PROPOSAL_SECONDS))
        return effects

    def is_in_service(self, machine: str, since: float) -> bool:
        """Tell whether a machine is listed and neither down nor in maintenance.

        Parameters
        ----------
        machine : str
            Identifier of the machine.
        since : float
            Time in seconds after which the list must have been requested.

        Returns
        -------
        bool
            False also if there is no such list yet.
        """
        info = self.machines.get(machine)
        is_listed = info is not None and info.state in STATES_IN_SERVICE
        return is_listed and self.read_at > since

    def find_data_centre(self, machine: str) -> str:
        """Return the data centre of a machine, an empty string if it is unknown."""
        info = self.machines.get(machine)
        if info is not None and info.data_centre:
            return info.data_centre
        instance = self.find_instance(machine)
        return instance.data_centre if instance is not None else ""

    def find_instance(self, machine: str) -> RegisteredInstance | None:
        """Return the latest incarnation of the instance on a machine."""
        return self._workloads.find_latest_on_machine(machine)

    def find_view(self, machine: str) -> InstanceView | None:
        """Return what the leader knows of that incarnation and its runs."""
        instance = self.find_instance(machine)
        if instance is None:
            return None
        return self._dispatcher.lease_table.instances.get(instance.life)
