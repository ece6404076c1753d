"""Ground truth of one run, as observed by callers, operators, targets and platform."""

from dataclasses import dataclass, field


@dataclass
class RequestFacts:
    """One request of a caller, with every call that submitted it."""

    name: str
    payload: bytes
    team: str
    key: str
    queue: str
    repeatable: bool
    calls: list = field(default_factory=list)


@dataclass
class KeyFacts:
    """One key, its team and the time from which it must be refused."""

    text: str
    team: str
    withdrawn_at: float | None = None


@dataclass(frozen=True)
class LimitFacts:
    """A team's upper limit, and the time at which it was accepted."""

    at: float
    team: str
    limit: int


@dataclass
class LeavingFacts:
    """One period in which a target was leaving; ``until`` is when it served again."""

    target: str
    since: float
    until: float = float("inf")


@dataclass(frozen=True)
class AcceptedFacts:
    """A configuration that was acknowledged as accepted."""

    at: float
    generation: int
    limits: dict[str, int] = field(default_factory=dict)
    """Upper limit of each team in the operator's files."""


@dataclass(frozen=True)
class FolderSample:
    """Upper limits in force on a daemon under a generation."""

    daemon: str
    generation: int
    limits: dict[str, int]


@dataclass(frozen=True)
class GenerationSample:
    """Generation in force on a daemon at a time.

    ``connected_since`` is the time since which it has reached a majority of the voters
    without interruption, or None if it does not reach one.
    """

    at: float
    daemon: str
    generation: int
    connected_since: float | None


@dataclass(frozen=True)
class TaskRun:
    """One run of a task on an instance; ``ended`` is None while it runs."""

    job: str
    attempt: int
    instance: str
    pool: str
    team: str
    started: float
    ended: float | None


@dataclass(frozen=True)
class OutageFacts:
    """One outage of an instance; ``planned`` if the system rebooted it."""

    instance: str
    planned: bool
    began: float
    ended: float | None


@dataclass(frozen=True)
class BudgetFacts:
    """A pool's availability budget, and the time at which it was accepted."""

    at: float
    pool: str
    max_unavailable: int


@dataclass
class Facts:
    """All observations that the checkers may read."""

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
    """Time of each change and new pool, by instance."""
    ended_at: float = 0.0
