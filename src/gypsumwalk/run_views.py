"""Runs that may be going on, as the leader knows them."""

from dataclasses import dataclass
from enum import StrEnum

from gypsumwalk.declaration_records import Resources
from gypsumwalk.life_clocks import MILLISECONDS_PER_SECOND
from gypsumwalk.workload_records import TaskKey

__all__ = ["UNKNOWN_PERCENT", "RunState", "RunView"]

UNKNOWN_PERCENT = -1
"""Share of full speed of a run whose latest order is not known."""


class RunState(StrEnum):
    """State of a run as the leader knows it."""

    PLANNED = "planned"
    """The placement is not committed yet, so no order was sent."""
    STARTING = "starting"
    """The start was sent, but neither an answer nor a run list confirms it yet."""
    RUNNING = "running"
    UNCONFIRMED = "unconfirmed"
    """An earlier leader placed it, and the instance has not listed its runs since."""
    ENDING = "ending"
    """The run has certainly ended and its end is being committed; no order is sent."""


@dataclass(slots=True)
class RunView:
    """A run that may be going on.

    Attributes
    ----------
    task : TaskKey
        The task.
    run : int
        Number of the run.
    life : str
        Life (incarnation) of the instance that it is placed on.
    need : Resources
        Resources that it reserves there.
    team : str
        Team whose quota it is charged to.
    quota_charge : Resources
        Amount charged to that quota.
    state : RunState
        State as the leader knows it.
    ordered_at : float
        Time in seconds at which a start or stop was last sent.
    confirmed_at : float
        Time in seconds at which the instance confirmed the start.
    first_listed_at : float
        Time in seconds of the first run list that included it, 0 before.
    missing_since : float
        Time in seconds of the first run list that should have included it and did
        not, 0 while it is listed.
    hidden_since : float
        Time in seconds of the first run list without it from which entries could not
        be read, 0 while it is listed.
    is_stopping : bool
        Whether it is being stopped.
    stopped_at : float
        Time in seconds at which the instance accepted the stop, 0 before.
    is_order_pending : bool
        Whether an order for it waits for an answer.
    attempts : int
        Number of start orders sent.
    probes : int
        Number of run lists requested while the last start was unanswered.
    unanswered_starts : int
        Number of start orders that may be carried out by a later life of the instance.
    start_sent_at : float
        Time in seconds at which a start was last sent.
    lease_sent_at : float
        Time in seconds of the latest order that extended the lease of its life, as
        noted when the life ended or fell silent.
    lease_expiry : float
        Time in seconds by which the leases granted to its life have expired, as noted
        when the life ended or fell silent.
    late_start_until : float
        Time in seconds until which a start that was not answered may be carried out,
        also if a later one was answered.
    is_settled : bool
        Whether no start of it can be carried out any more.
    planned_at : float
        Time in seconds at which this leader planned it, 0 if another one did.
    started_clock : int
        Reading of the instance's clock in milliseconds as it accepted the start, 0
        before.
    seconds : float
        Time for which it ran on the instance, 0 until its end is listed.
    percent : int
        Share of full speed in percent, as listed.
    load : int
        Load as listed, in the unit of ``RunningTask.load``.
    requested_percent : int
        Share of full speed in percent that was last ordered, ``UNKNOWN_PERCENT`` if an
        earlier leader may have ordered one, or the latest order was not answered.
    checkpoint : str
        Latest checkpoint, as listed.
    has_latency_target : bool
        Whether its step has a latency target.
    is_lasting : bool
        Whether it goes on until it is stopped.
    """

    task: TaskKey
    run: int
    life: str
    need: Resources
    team: str
    quota_charge: Resources
    state: RunState
    ordered_at: float = 0.0
    confirmed_at: float = 0.0
    first_listed_at: float = 0.0
    missing_since: float = 0.0
    hidden_since: float = 0.0
    is_stopping: bool = False
    stopped_at: float = 0.0
    is_order_pending: bool = False
    attempts: int = 0
    probes: int = 0
    unanswered_starts: int = 0
    start_sent_at: float = 0.0
    lease_sent_at: float = 0.0
    lease_expiry: float = 0.0
    late_start_until: float = 0.0
    is_settled: bool = False
    planned_at: float = 0.0
    started_clock: int = 0
    seconds: float = 0.0
    percent: int = 100
    load: int = 0
    requested_percent: int = 100
    checkpoint: str = ""
    has_latency_target: bool = False
    is_lasting: bool = False

    @property
    def key(self) -> tuple[str, int]:
        """Task name and run number, as in run lists."""
        return str(self.task), self.run

    def measure(self, clock: int) -> None:
        """Set ``seconds`` from the instance's clock as it listed the end."""
        if self.started_clock:
            elapsed = max(1, clock - self.started_clock)
            self.seconds = elapsed / MILLISECONDS_PER_SECOND

    def find_overhead(self, now: float) -> float | None:
        """Return the time in seconds that it has held its place without running.

        None if that was not measured.
        """
        if not self.planned_at or not self.seconds:
            return None
        return max(0.0, now - self.planned_at - self.seconds)
