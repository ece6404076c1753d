"""Leases on instances, and the leader's book of what may be running where."""

from dataclasses import dataclass, field
from enum import StrEnum

from gypsumwalk.declaration_records import Resources
from gypsumwalk.workload_records import RegisteredInstance, TaskKey

__all__ = ["CLOCK_RATE_ERROR", "InstanceView", "LeaseBook", "RunState", "RunView"]

CLOCK_RATE_ERROR = 0.02
"""An instance's clock may be this much slow or fast, as the platform states."""

MILLISECONDS = 1000


class RunState(StrEnum):
    """What the leader knows of one run."""

    PLANNED = "planned"
    """Its placement is not committed yet, so nothing was sent."""
    STARTING = "starting"
    """The start was sent, and no answer or list has shown it yet."""
    RUNNING = "running"
    UNCONFIRMED = "unconfirmed"
    """An earlier leader placed it; the instance has not been read since."""
    ENDING = "ending"
    """It has certainly ended, and that is being committed; nothing is sent for it."""


@dataclass(slots=True)
class RunView:
    """One run that may be going on.

    Attributes
    ----------
    task : TaskKey
        The task.
    run : int
        Number of the run.
    life : str
        Life of the instance that it is placed on.
    need : Resources
        Room that it takes there.
    team : str
        Team that it counts for.
    charge : Resources
        What it counts for the team's quota.
    state : RunState
        What is known of it.
    ordered_at : float
        Time in seconds at which the start or stop was sent last.
    confirmed_at : float
        Time in seconds at which the instance confirmed it.
    seen_at : float
        Time in seconds at which a list showed it first, 0 before.
    missing_since : float
        Time in seconds of the first list that should have shown it and did not, 0
        while lists show it.
    stopping : bool
        Whether it is to be stopped.
    stopped_at : float
        Time in seconds at which the instance took the stop, 0 before.
    order_open : bool
        Whether an order for it waits for an answer.
    attempts : int
        Starts sent.
    percent : int
        Share of its speed, as listed.
    load : int
        Load, as listed.
    pace : int
        Share of its speed that was asked for.
    checkpoint : str
        Latest checkpoint listed.
    """

    task: TaskKey
    run: int
    life: str
    need: Resources
    team: str
    charge: Resources
    state: RunState
    ordered_at: float = 0.0
    confirmed_at: float = 0.0
    seen_at: float = 0.0
    missing_since: float = 0.0
    stopping: bool = False
    stopped_at: float = 0.0
    order_open: bool = False
    attempts: int = 0
    percent: int = 100
    load: int = 0
    pace: int = 100
    checkpoint: str = ""

    @property
    def key(self) -> tuple[str, int]:
        """Name of the task and number of the run, as instances list them."""
        return str(self.task), self.run


@dataclass(slots=True)
class InstanceView:
    """One life of an instance, as the present leader knows it.

    Attributes
    ----------
    registered : RegisteredInstance
        What it announced.
    runs : dict
        Runs that may be going on there.
    clock : int
        Latest reading of its clock, in milliseconds; 0 before the first.
    clock_at : float
        Time in seconds at which that reading arrived.
    lease_until : int
        Latest end of lease given, on the instance's clock, in milliseconds.
    lapse_floor : float
        Time in seconds before which leases of earlier leaders may last.
    acknowledged : int
        Last end that is durable here.
    renewal_open : bool
        Whether a renewal waits for its answer.
    renewal_due : float
        Time in seconds of the next renewal.
    renewal_sent : float
        Time in seconds at which the last renewal was sent.
    silent_since : float
        Time in seconds of the first call without an answer since the last answer,
        or 0.
    answered_at : float
        Time in seconds of the last answer, 0 before the first.
    ends_open : bool
        Whether ends wait to be committed.
    rejected_until : float
        Time in seconds until which it gets no starts, as it rejected one.
    watched : bool
        Whether fillers run beside tasks that serve, so that lists are due sooner.
    """

    registered: RegisteredInstance
    runs: dict[tuple[str, int], RunView] = field(default_factory=dict)
    clock: int = 0
    clock_at: float = 0.0
    lease_until: int = 0
    lapse_floor: float = 0.0
    acknowledged: int = 0
    renewal_open: bool = False
    renewal_due: float = 0.0
    renewal_sent: float = 0.0
    silent_since: float = 0.0
    answered_at: float = 0.0
    ends_open: bool = False
    rejected_until: float = 0.0
    watched: bool = False

    @property
    def used(self) -> Resources:
        """What its runs take."""
        total = Resources()
        for run in self.runs.values():
            total += run.need
        return total

    @property
    def is_responsive(self) -> bool:
        """Whether the present leader has read it and its last call was answered."""
        return self.answered_at > 0 and not self.silent_since

    def note_clock(self, clock: int, now: float) -> None:
        """Take in a reading of the instance's clock."""
        if clock >= self.clock:
            self.clock, self.clock_at = clock, now

    def read_clock(self, now: float) -> int:
        """Return a time that the instance's clock has reached, in milliseconds."""
        elapsed = (now - self.clock_at) * (1 - CLOCK_RATE_ERROR)
        return self.clock + int(elapsed * MILLISECONDS)

    def find_lapse(self) -> float:
        """Return the time in seconds at which every lease given has ended."""
        if not self.clock:
            return self.lapse_floor
        remaining = (self.lease_until - self.clock) / MILLISECONDS
        lapse = self.clock_at + remaining / (1 - CLOCK_RATE_ERROR)
        return max(lapse, self.lapse_floor)


class LeaseBook:
    """All instances and runs that the present leader has to reckon with."""

    def __init__(self) -> None:
        self.instances: dict[str, InstanceView] = {}
        self.by_task: dict[TaskKey, dict[int, RunView]] = {}
        self.by_team: dict[str, Resources] = {}

    def add(self, run: RunView) -> None:
        """Note a run that may be going on."""
        view = self.instances.get(run.life)
        if view is not None:
            view.runs[run.key] = run
        self.by_task.setdefault(run.task, {})[run.run] = run
        self.by_team[run.team] = self.by_team.get(run.team, Resources()) + run.charge

    def remove(self, run: RunView) -> None:
        """Forget a run that can't be going on any more."""
        runs = self.by_task.get(run.task, {})
        if runs.pop(run.run, None) is None:
            return
        if not runs:
            del self.by_task[run.task]
        view = self.instances.get(run.life)
        if view is not None:
            view.runs.pop(run.key, None)
        self.by_team[run.team] -= run.charge

    def find(self, task: TaskKey, run: int) -> RunView | None:
        """Return a run, or None."""
        return self.by_task.get(task, {}).get(run)

    def list_runs(self) -> list[RunView]:
        """Return every run."""
        return [run for runs in self.by_task.values() for run in runs.values()]
