"""Directory of the machines of a fleet, polled by the leader."""

from collections.abc import Mapping, Sequence

from gypsumwalk.dispatcher import Dispatcher
from gypsumwalk.effects import CallPlatform, Effect, Propose, Record, Scalar
from gypsumwalk.events import Event
from gypsumwalk.inputs import Input, PlatformOutcome
from gypsumwalk.instance_actions import ListMachines, MachineInfo, MachineList
from gypsumwalk.leases import InstanceView
from gypsumwalk.part import NEVER
from gypsumwalk.workload_records import RegisteredInstance, RemoveInstance
from gypsumwalk.workloads import WorkloadSection

__all__ = ["MachineDirectory"]

LIST_SECONDS = 1.0
"""Polling interval; a move takes 1.5 s and a maintenance 2 s."""

AWAITED_LIST_SECONDS = 0.25
"""Polling interval while a list may show that an instance has left with its runs."""

MAX_MACHINES_PER_CALL = 200
"""Machines up to which a list takes one call and may be requested more often."""

CALL_SECONDS = 2.0
"""Timeout of one call to the machine API, which may be slow."""

PROPOSAL_SECONDS = 2.0
"""Timeout of a proposal; the next list leads to a new one."""

STATES_IN_SERVICE = ("up", "moving")

MAX_AGE_SECONDS = 5.0
"""Age of a list after which it is not known any more which machines there are; a few
polls with their timeouts."""

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
        self._named: dict[str, str] = {}
        """Instance that a list of this term last named on each machine."""
        self._unchanged_since = NEVER
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
        """Store a list, and remove the instances that have ended by what it says."""
        if not isinstance(item, PlatformOutcome):
            return []
        requested_at = self._open_requests.pop(item.token, None)
        if requested_at is None or not isinstance(item.report, MachineList):
            return []
        if requested_at < self.read_at:
            # The answer to a later request has overtaken it.
            return []
        self._replace_machines(item.report, now)
        # The list may be as old as the request for it.
        self.read_at = requested_at
        effects = self._remove_dead_instances()
        effects += self._remove_departed_instances(item.report)
        self._note_named(item.report)
        return effects

    def advance(self, now: float) -> Sequence[Effect]:
        """Request the list if a poll is due."""
        self._due = now + CHECK_SECONDS
        if not self._dispatcher.term or not self._dispatcher.is_leading(now):
            return []
        if self._dispatcher.term != self._term:
            self._term = self._dispatcher.term
            self.machines = {}
            self._named.clear()
            self._unchanged_since = NEVER
            self._requested_at = float("-inf")
            self._open_requests.clear()
        if now - self._requested_at < self._find_interval():
            return []
        self._requested_at = now
        self._request_count += 1
        token = f"{self.name}/list/{self._request_count}"
        self._open_requests[token] = now
        return [CallPlatform(token, ListMachines(), CALL_SECONDS)]

    def _find_interval(self) -> float:
        if len(self.machines) > MAX_MACHINES_PER_CALL:
            return LIST_SECONDS
        departing = self._dispatcher.list_departing()
        has_runs = any(view.runs for view in departing)
        return AWAITED_LIST_SECONDS if has_runs else LIST_SECONDS

    def _replace_machines(self, report: MachineList, now: float) -> None:
        machines = {info.machine: info for info in report.machines}
        if not report.is_complete:
            self._unchanged_since = NEVER
        elif self._unchanged_since == NEVER or _is_changed(self.machines, machines):
            self._unchanged_since = now
        self.machines = machines

    def _remove_dead_instances(self) -> list[Effect]:
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
                effects.append(self._propose_removal(life, "its machine is down"))
        return effects

    def _remove_departed_instances(self, report: MachineList) -> list[Effect]:
        """Propose to remove deregistered instances that their machine no longer runs.

        They may have been named before the list was requested only: what a list has
        never named, it does not show to be gone.
        """
        effects: list[Effect] = []
        for view in self._dispatcher.list_departing():
            registered = view.registered
            is_later = view.deregistered_at <= self.read_at
            was_named = self._named.get(registered.machine) == registered.instance
            if is_later and was_named and self._has_left(registered, report):
                reason = "it has deregistered, and its machine no longer runs it"
                effects.append(self._propose_removal(registered.life, reason))
        return effects

    def _has_left(self, registered: RegisteredInstance, report: MachineList) -> bool:
        info = self.machines.get(registered.machine)
        if info is None:
            return report.is_complete
        return info.instance not in ("", registered.instance)

    def _propose_removal(self, life: str, reason: str) -> Propose:
        token = f"{self.name}/end/{life}"
        return Propose(token, RemoveInstance(life, reason=reason), PROPOSAL_SECONDS)

    def _note_named(self, report: MachineList) -> None:
        if report.is_complete:
            departing = {
                view.registered.machine for view in self._dispatcher.list_departing()
            }
            for machine in self._named.keys() - self.machines.keys() - departing:
                del self._named[machine]
        for info in report.machines:
            if info.instance:
                self._named[info.machine] = info.instance

    def is_settled(self, seconds: float, now: float) -> bool:
        """Tell whether it is known which machines there are.

        Parameters
        ----------
        seconds : float
            Time for which the machines with their capacities and labels must have been
            the same in all lists of this term.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            False also if the latest list is old or lacks machines.
        """
        if not self.machines or self._term != self._dispatcher.term:
            return False
        is_recent = now - self.read_at <= MAX_AGE_SECONDS
        return is_recent and now - self._unchanged_since >= seconds

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


def _is_changed(
    known: Mapping[str, MachineInfo], listed: Mapping[str, MachineInfo]
) -> bool:
    """Tell whether machines were added, removed or have other resources or labels."""
    return known.keys() != listed.keys() or any(
        known[name].capacity != info.capacity or known[name].labels != info.labels
        for name, info in listed.items()
    )
