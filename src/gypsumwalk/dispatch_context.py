"""State and operations that the modules of the dispatcher share."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from gypsumwalk.effects import Effect, Propose
from gypsumwalk.leases import InstanceView, LeaseTable, RunView
from gypsumwalk.life_contacts import LifeContacts
from gypsumwalk.run_orders import RunOrders
from gypsumwalk.task_scheduler import TaskScheduler
from gypsumwalk.workloads import WorkloadSection

__all__ = ["DispatchContext"]

PROPOSAL_SECONDS = 2.0
"""Proposal timeout; a command not committed by then waits for a new leader."""

LATE_LOOP_SECONDS = 0.1
"""Lateness of the event loop above which optional work is shed; leases tolerate 0.3
s."""


@dataclass(slots=True)
class DispatchContext:
    """What the modules of the dispatcher share.

    Attributes
    ----------
    part : str
        Name of the part that receives the outcomes of proposals.
    workloads : WorkloadSection
        Jobs and instances.
    scheduler : TaskScheduler
        Chooses the runs to start and their instances.
    orders : RunOrders
        Orders to instances.
    contacts : LifeContacts
        When lives of instances were first called.
    is_leading : Callable
        Tells whether this daemon may give orders at a time in seconds.
    request_pass : Callable
        Requests a scheduling pass at a time in seconds.
    end_as_lost : Callable
        Proposes runs as lost, for a reason.
    lateness : float
        Measured lateness of the event loop in seconds, 0 while it is in time.
    lease_table : LeaseTable
        Instances and runs of the current term.
    """

    part: str
    workloads: WorkloadSection
    scheduler: TaskScheduler
    orders: RunOrders
    contacts: LifeContacts
    is_leading: Callable[[float], bool]
    request_pass: Callable[[float], None]
    end_as_lost: Callable[[Iterable[RunView], str], list[Effect]]
    lateness: float = 0.0
    lease_table: LeaseTable = field(default_factory=LeaseTable)
    _proposal_count: int = field(default=0, init=False)

    @property
    def is_late(self) -> bool:
        """Whether the event loop is so late that optional work is shed."""
        return self.lateness > LATE_LOOP_SECONDS

    def note_contact(self, view: InstanceView, now: float) -> None:
        """Note that a life has been called, and until when its lease may go on."""
        life = view.registered.life
        self.contacts.note(life, now)
        expiry = self.contacts.find_expiry(life, now)
        view.min_lease_expiry = max(view.min_lease_expiry, expiry)

    def propose(self, command: msgspec.Struct) -> Propose:
        """Return the proposal of a command."""
        self._proposal_count += 1
        token = f"{self.part}/{self._proposal_count}"
        return Propose(token, command, PROPOSAL_SECONDS)
