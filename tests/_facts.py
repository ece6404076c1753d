"""Ground truth of one run, as callers, operators, targets and the platform saw it."""

from dataclasses import dataclass, field


@dataclass
class RequestFacts:
    """One request of a caller, with all its sendings."""

    name: str
    payload: bytes
    team: str
    key: str
    queue: str
    repeatable: bool
    calls: list = field(default_factory=list)


@dataclass
class KeyFacts:
    """One key: whose it is, and since when it must not work."""

    text: str
    team: str
    withdrawn_at: float | None = None


@dataclass(frozen=True)
class LimitFacts:
    """A team's upper limit, accepted at a time."""

    at: float
    team: str
    limit: int


@dataclass
class LeavingFacts:
    """One time that a target was leaving; ``until`` is when it came back, if ever."""

    target: str
    since: float
    until: float = float("inf")


@dataclass(frozen=True)
class AcceptedFacts:
    """A configuration that was answered as accepted."""

    at: float
    generation: int
    limits: dict[str, int] = field(default_factory=dict)
    """Upper limit of each team, as the operator's files say it."""


@dataclass(frozen=True)
class FolderSample:
    """Upper limits that a daemon had in force under a generation."""

    daemon: str
    generation: int
    limits: dict[str, int]


@dataclass(frozen=True)
class GenerationSample:
    """Generation that a daemon had in force at a time.

    ``connected_since`` is when it last began to reach a majority of the voters
    without a break, or None if it does not.
    """

    at: float
    daemon: str
    generation: int
    connected_since: float | None


@dataclass(frozen=True)
class TaskRun:
    """One task that ran on an instance; ``ended`` is None while it runs."""

    job: str
    attempt: int
    instance: str
    pool: str
    team: str
    started: float
    ended: float | None


@dataclass(frozen=True)
class OutageFacts:
    """One instance that was away: lost, or rebooted by the system."""

    instance: str
    planned: bool
    began: float
    ended: float | None


@dataclass(frozen=True)
class BudgetFacts:
    """A pool's availability budget, accepted at a time."""

    at: float
    pool: str
    max_unavailable: int


@dataclass
class Facts:
    """Everything that the checkers may look at."""

    requests: dict[str, RequestFacts] = field(default_factory=dict)
    keys: dict[str, KeyFacts] = field(default_factory=dict)
    open_queues: set[str] = field(default_factory=set)
    limits: list[LimitFacts] = field(default_factory=list)
    accepted: list[AcceptedFacts] = field(default_factory=list)
    samples: list[GenerationSample] = field(default_factory=list)
    folders: list[FolderSample] = field(default_factory=list)
    leaving: list[LeavingFacts] = field(default_factory=list)
    shutdowns: dict[str, float] = field(default_factory=dict)
    executions: list = field(default_factory=list)
    tasks: list[TaskRun] = field(default_factory=list)
    outages: list[OutageFacts] = field(default_factory=list)
    budgets: list[BudgetFacts] = field(default_factory=list)
    pool_of: dict[str, list[tuple[float, str]]] = field(default_factory=dict)
    """For each instance, the pools that it was in, with the time of each change."""
    ended_at: float = 0.0
