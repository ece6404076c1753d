"""Leases on instances, and the leader's table of the runs that they cover."""

from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field

from gypsumwalk.declaration_records import Resources
from gypsumwalk.life_clocks import (
    CLOCK_RATE_ERROR,
    MILLISECONDS_PER_SECOND,
    ClockBounds,
    ClockReading,
)
from gypsumwalk.run_views import UNKNOWN_PERCENT, RunState, RunView
from gypsumwalk.workload_records import RegisteredInstance, TaskKey

__all__ = [
    "UNKNOWN_PERCENT",
    "InstanceTable",
    "InstanceView",
    "LeaseTable",
    "RunState",
    "RunView",
]

WATCHED_ATTRIBUTES = frozenset(
    {
        "registered",
        "answered_at",
        "silent_since",
        "start_backoff_until",
        "deregistered_at",
    }
)
"""Attributes of an instance that decide, besides its runs, what may start there."""


@dataclass(slots=True)
class InstanceView:
    """One life (incarnation) of an instance as the current leader knows it.

    Attributes
    ----------
    registered : RegisteredInstance
        Registration that the instance announced.
    evacuated : Set of str
        Data centres that are evacuated.
    fence : int
        Fence of the orders to this life.
    runs : dict
        Runs that may be going on there, by ``RunView.key``. Only ``add_run`` and
        ``remove_run`` change it.
    clock : ClockBounds or None
        What its clock can show, None before the first reading.
    lease_until : int
        Latest expiry of a lease granted, on the instance's clock, in milliseconds.
    lease_sent_at : float
        Time in seconds of the latest order that extended the lease, 0 before.
    min_lease_expiry : float
        Time in seconds until which leases of earlier leaders may be valid.
    acknowledged : int
        Number of the latest end that is committed.
    is_renewal_pending : bool
        Whether a renewal waits for its answer.
    renewal_due : float
        Time in seconds at which the next renewal is due.
    renewal_sent : float
        Time in seconds at which the last renewal was sent.
    silent_since : float
        Time in seconds of the first unanswered call since the last answer, 0 if the
        last call was answered.
    answered_at : float
        Time in seconds of the last answer, 0 before the first.
    first_answered_at : float
        Time in seconds of the first answer to the current leader, 0 before.
    has_pending_ends : bool
        Whether listed ends wait to be committed.
    start_backoff_until : float
        Time in seconds until which no start is sent, after the instance refused one or
        may have left; 0 without such a time.
    is_fenced_off : bool
        Whether it refused the fence, so that it is not called any more.
    is_contended : bool
        Whether fillers share the instance with tasks that have a latency target, so
        that run lists are requested more often.
    acknowledgement_sent, acknowledgement_received : int
        Numbers of the latest ends whose acknowledgement was sent, and arrived.
    has_held_ends : bool
        Whether its latest run list showed ends that can't be acknowledged or read.
    given_up : set of tuple
        Keys of the runs that count as lost although their end may be unread, or is
        listed and must not be acknowledged.
    was_taken_over : bool
        Whether an earlier leader may have acknowledged ends of it.
    has_unknown_runs : bool
        Whether its latest run list showed runs that are not in the table.
    late_start_until : float
        Time in seconds until which a start that was not answered may begin a run.
    deregistered_at : float
        Time in seconds at which the instance first deregistered with this leader, 0
        before. It goes on until it has received the answer.
    """

    registered: RegisteredInstance
    evacuated: AbstractSet[str] = frozenset()
    fence: int = 0
    runs: dict[tuple[str, int], RunView] = field(default_factory=dict)
    clock: ClockBounds | None = None
    lease_until: int = 0
    lease_sent_at: float = 0.0
    min_lease_expiry: float = 0.0
    acknowledged: int = 0
    is_renewal_pending: bool = False
    renewal_due: float = 0.0
    renewal_sent: float = 0.0
    silent_since: float = 0.0
    answered_at: float = 0.0
    first_answered_at: float = 0.0
    has_pending_ends: bool = False
    start_backoff_until: float = 0.0
    is_fenced_off: bool = False
    is_contended: bool = False
    acknowledgement_sent: int = 0
    acknowledgement_received: int = 0
    has_held_ends: bool = False
    given_up: set[tuple[str, int]] = field(default_factory=set)
    was_taken_over: bool = False
    has_unknown_runs: bool = False
    late_start_until: float = 0.0
    deregistered_at: float = 0.0
    _used: Resources = field(default=Resources(), init=False)
    _lasting_used: Resources = field(default=Resources(), init=False)
    _latency_sensitive_runs: int = field(default=0, init=False)
    _name: str = field(default="", init=False, repr=False)
    _watchers: list[set[str]] = field(default_factory=list, init=False, repr=False)

    def __setattr__(self, name: str, value: object) -> None:
        known = getattr(self, name, None) if name in WATCHED_ATTRIBUTES else value
        object.__setattr__(self, name, value)
        if known is value:
            return
        # The time of an answer changes often; only whether there is one is watched.
        is_time_of_answer = name in ("answered_at", "silent_since")
        if not is_time_of_answer or bool(known) is not bool(value):
            self._note_change()

    def watch_by(self, watchers: list[set[str]], name: str) -> None:
        """Add a name to some sets now and with each watched change.

        Parameters
        ----------
        watchers : list of set of str
            The sets; those that the list receives later are included.
        name : str
            Name of the view.
        """
        self._name, self._watchers = name, watchers
        self._note_change()

    def _note_change(self) -> None:
        # The list is not set yet while the first fields are initialised.
        for changed in getattr(self, "_watchers", ()):
            changed.add(self._name)

    @property
    def is_evacuated(self) -> bool:
        """Whether the instance is in a data centre that is evacuated."""
        return self.registered.data_centre in self.evacuated

    @property
    def is_draining(self) -> bool:
        """Whether the instance gets no new runs, as it or its data centre drains."""
        has_deregistered = self.deregistered_at > 0
        return self.registered.draining or self.is_evacuated or has_deregistered

    @property
    def used(self) -> Resources:
        """Resources that the runs on the instance reserve."""
        return self._used

    @property
    def lasting_used(self) -> Resources:
        """Resources that the lasting runs on the instance reserve."""
        return self._lasting_used

    @property
    def latency_sensitive_runs(self) -> int:
        """Number of runs on the instance that have a latency target."""
        return self._latency_sensitive_runs

    def add_run(self, run: RunView) -> None:
        """Add a run that may be going on; it replaces one with the same key."""
        self.remove_run(run)
        self.runs[run.key] = run
        self._used += run.need
        if run.is_lasting:
            self._lasting_used += run.need
        self._latency_sensitive_runs += run.has_latency_target
        self._note_change()

    def remove_run(self, run: RunView) -> None:
        """Remove a run if it is on the instance."""
        known = self.runs.pop(run.key, None)
        if known is not None:
            self._used -= known.need
            if known.is_lasting:
                self._lasting_used -= known.need
            self._latency_sensitive_runs -= known.has_latency_target
            self._note_change()

    @property
    def is_responsive(self) -> bool:
        """Whether the instance answered the latest call of the current leader."""
        return self.answered_at > 0 and not self.silent_since

    @property
    def is_spare(self) -> bool:
        """Whether the instance answers and has no runs."""
        return self.is_responsive and not self.runs

    def is_idle(self, now: float) -> bool:
        """Tell whether nothing depends on the next run list of the instance."""
        return (
            self.is_spare
            and not self.is_contended
            and not self.has_unknown_runs
            and not self.start_backoff_until
            and self.acknowledged == self.acknowledgement_sent
            and now >= self.late_start_until
        )

    def update_clock(self, reading: ClockReading, *, is_certain: bool) -> None:
        """Add a reading of the instance's clock.

        Parameters
        ----------
        reading : ClockReading
            The reading.
        is_certain : bool
            Whether the answer named this life. Such a reading replaces those that it
            contradicts: while this process is suspended, the clock gains on its own.
        """
        known = self.clock
        begin, end = reading.requested_at, reading.received_at
        if known is None:
            self.clock = ClockBounds(reading, reading)
        elif known.may_show(reading.value, begin=begin, end=end):
            self.clock = known.add(reading)
        elif is_certain:
            self.clock = ClockBounds(reading, reading)

    def estimate_clock(self, now: float) -> int:
        """Return a lower bound of the instance's clock, in milliseconds."""
        return self.clock.find_earliest(now) if self.clock else 0

    def find_lease_age(self, now: float) -> float:
        """Return the seconds since the lease was last extended, 0 if it never was."""
        return round(now - self.lease_sent_at, 3) if self.lease_sent_at else 0.0

    def find_lease_expiry(self) -> float:
        """Return the time in seconds by which every lease granted has expired."""
        if self.clock is None:
            return self.min_lease_expiry
        reading = self.clock.earliest
        remaining = (self.lease_until - reading.value) / MILLISECONDS_PER_SECOND
        expiry = reading.received_at + remaining / (1 - CLOCK_RATE_ERROR)
        return max(expiry, self.min_lease_expiry)


class InstanceTable(dict[str, InstanceView]):
    """Instances by life, with the changes that matter for placements and renewals."""

    def __init__(self) -> None:
        super().__init__()
        self._watchers: list[set[str]] = []
        self._numbers: dict[str, int] = {}
        self._count = 0

    def watch(self) -> set[str]:
        """Return a set that receives the life of each instance as it changes.

        The set contains all instances at first. It also receives lives that are added
        and removed. Its owner takes them out.

        Returns
        -------
        set of str
            Lives of the changed instances.
        """
        changed = set(self)
        self._watchers.append(changed)
        return changed

    def get_number(self, life: str) -> int:
        """Return a number that grows in the order of the iteration."""
        return self._numbers[life]

    def __setitem__(self, life: str, view: InstanceView) -> None:
        if life not in self:
            self._count += 1
            self._numbers[life] = self._count
        super().__setitem__(life, view)
        view.watch_by(self._watchers, life)

    def __delitem__(self, life: str) -> None:
        super().__delitem__(life)
        del self._numbers[life]
        for changed in self._watchers:
            changed.add(life)

    def setdefault(self, life: str, view: InstanceView) -> InstanceView:
        """Return the view of a life, which is added if the life is unknown."""
        if life not in self:
            self[life] = view
        return self[life]

    def pop(  # type: ignore[override]
        self, life: str, default: InstanceView | None = None
    ) -> InstanceView | None:
        """Remove and return the view of a life, or return a default value."""
        view = self.get(life, default)
        if life in self:
            del self[life]
        return view


class LeaseTable:
    """Instances and the runs that may be going on there, as the leader knows them."""

    def __init__(self) -> None:
        self.instances = InstanceTable()
        self.runs_by_task: dict[TaskKey, dict[int, RunView]] = {}
        self.usage_by_team: dict[str, Resources] = {}
        self.lasting_usage_by_team: dict[str, Resources] = {}
        """What the lasting runs of each team use of its quota."""
        self._tasks_by_job: dict[str, dict[TaskKey, dict[int, RunView]]] = {}

    def add(self, run: RunView) -> None:
        """Add a run that may be going on; it replaces one with the same number."""
        known = self.find(run.task, run.run)
        if known is not None:
            self.remove(known)
        view = self.instances.get(run.life)
        if view is not None:
            view.add_run(run)
        runs = self.runs_by_task.setdefault(run.task, {})
        runs[run.run] = run
        self._tasks_by_job.setdefault(run.task.job, {})[run.task] = runs
        for usage in self._list_usages(run):
            usage[run.team] = usage.get(run.team, Resources()) + run.quota_charge

    def move(self, run: RunView, life: str) -> None:
        """Move a run to another life of its instance, which may carry it out."""
        previous = self.instances.get(run.life)
        if previous is not None:
            previous.remove_run(run)
        run.life = life
        self.instances[life].add_run(run)

    def remove(self, run: RunView) -> None:
        """Remove a run that can no longer be going on."""
        runs = self.runs_by_task.get(run.task, {})
        if runs.pop(run.run, None) is None:
            return
        if not runs:
            self._remove_task(run.task)
        view = self.instances.get(run.life)
        if view is not None:
            view.remove_run(run)
        for usage in self._list_usages(run):
            usage[run.team] -= run.quota_charge

    def _list_usages(self, run: RunView) -> list[dict[str, Resources]]:
        if run.is_lasting:
            return [self.usage_by_team, self.lasting_usage_by_team]
        return [self.usage_by_team]

    def _remove_task(self, task: TaskKey) -> None:
        del self.runs_by_task[task]
        tasks = self._tasks_by_job[task.job]
        del tasks[task]
        if not tasks:
            del self._tasks_by_job[task.job]

    def find(self, task: TaskKey, run: int) -> RunView | None:
        """Return a run of a task, or None if it is not in the table."""
        return self.runs_by_task.get(task, {}).get(run)

    def list_runs(self) -> list[RunView]:
        """Return every run."""
        return [run for runs in self.runs_by_task.values() for run in runs.values()]

    def list_jobs(self) -> list[str]:
        """Return the jobs that have runs."""
        return list(self._tasks_by_job)

    def list_runs_of_job(self, job: str) -> list[RunView]:
        """Return every run of a job, in the order of ``list_runs``."""
        tasks = self._tasks_by_job.get(job, {})
        return [run for runs in tasks.values() for run in runs.values()]
