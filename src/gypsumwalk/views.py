"""Read-only views that the parts of one daemon take of each other."""

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol

from gypsumwalk.folder import Folder

__all__ = [
    "CentralPortions",
    "FolderView",
    "KeyVerdict",
    "KeyView",
    "LeadershipView",
    "Member",
    "MembershipView",
    "Permit",
    "PortionView",
    "QueueRule",
    "TeamRule",
]


class KeyVerdict(StrEnum):
    """What a check of a key found."""

    VALID = "valid"
    OPEN = "open"
    """The queue is open to all; no key is needed."""
    UNKNOWN_KEY = "unknown-key"
    FORBIDDEN = "forbidden"
    """The key is known and does not cover the queue."""
    STALE = "stale"
    """The daemon's view of the keys is too old to decide."""


class Permit(NamedTuple):
    """Verdict on a key, and the team that the work is for."""

    verdict: KeyVerdict
    team: str = ""


class KeyView(Protocol):
    """View of the keys."""

    def check(self, credential: str, queue: str, now: float) -> Permit:
        """Decide whether a key may hand work to a queue."""
        ...

    def check_operator(self, credential: str, now: float) -> bool:
        """Decide whether a key is an operator's."""
        ...

    def is_fresh(self, now: float) -> bool:
        """Tell whether the view is fresh enough to decide by."""
        ...


class PortionView(Protocol):
    """View of the portions of the teams' upper limits that a daemon holds."""

    def acquire(self, team: str, holder: str, now: float) -> bool:
        """Take one unit of the team's portion for a request; false if none is free.

        A false answer also notes the demand, so that a portion is asked for.
        """
        ...

    def release(self, team: str, holder: str, now: float) -> None:
        """Give a unit back; only once it is known that nothing runs under it."""
        ...


class Member(NamedTuple):
    """One daemon as membership sees it."""

    name: str
    data_centre: str
    address: str
    peer_port: int
    incarnation: int
    alive: bool
    leaving: bool = False


class MembershipView(Protocol):
    """View of the daemons."""

    @property
    def incarnation(self) -> int:
        """Incarnation of this daemon, higher after every start."""
        ...

    def members(self) -> Sequence[Member]:
        """Return every known daemon, ordered by name, this one included."""
        ...

    def find(self, name: str) -> Member | None:
        """Return one daemon, or None."""
        ...


class LeadershipView(Protocol):
    """View of the replicated log's leadership."""

    @property
    def leader(self) -> str:
        """Name of the leader as last known, or empty."""
        ...

    @property
    def term(self) -> int:
        """Latest term seen."""
        ...

    def holds_lease(self, now: float) -> bool:
        """Tell whether this daemon leads and no other can lead at this time."""
        ...


class TeamRule(NamedTuple):
    """What the configuration says of one team."""

    name: str
    share: float
    limit: int


class QueueRule(NamedTuple):
    """What the configuration says of one queue."""

    name: str
    service: str
    open_to_all: bool
    teams: tuple[str, ...]
    max_waiting: int
    deadline: float


class FolderView(Protocol):
    """View of the configuration in force on this daemon."""

    @property
    def generation(self) -> int:
        """Generation in force, 0 before the first."""
        ...

    def team(self, name: str) -> TeamRule | None:
        """Return the rule of a team."""
        ...

    def teams(self) -> Sequence[TeamRule]:
        """Return the rules of all teams, ordered by name."""
        ...

    def queue(self, name: str) -> QueueRule | None:
        """Return the rule of a queue."""
        ...

    @property
    def folder(self) -> Folder:
        """The merged folder in force; read pools, instances and waves from it."""
        ...


class CentralPortions(Protocol):
    """What the replicated state keeps of the teams' upper limits for jobs.

    The sum of the portions granted to daemons and of the units taken here never
    exceeds a team's upper limit. Sections call this while they apply a command.
    """

    def take(self, team: str) -> bool:
        """Take one unit for a job that starts; false if none is left."""
        ...

    def give_back(self, team: str) -> None:
        """Return the unit of a job that can't be running any more."""
        ...
