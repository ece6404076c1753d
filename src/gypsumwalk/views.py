"""Interfaces through which the parts of one daemon read each other's state."""

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol

from gypsumwalk.folder import Folder

__all__ = [
    "CentralQuota",
    "FolderView",
    "KeyVerdict",
    "KeyView",
    "LeadershipView",
    "Member",
    "MembershipView",
    "KeyDecision",
    "PortionView",
    "QueueRule",
    "TeamRule",
]


class KeyVerdict(StrEnum):
    """Result of the check of a key."""

    VALID = "valid"
    OPEN = "open"
    """The queue needs no key."""
    UNKNOWN_KEY = "unknown-key"
    FORBIDDEN = "forbidden"
    """The key is valid but does not grant access to the queue."""
    STALE = "stale"
    """The daemon's view of the keys is too old to authenticate with."""


class KeyDecision(NamedTuple):
    """Verdict on a key, and the team that it belongs to."""

    verdict: KeyVerdict
    team: str = ""


class KeyView(Protocol):
    """View of the keys."""

    def check(self, credential: str, queue: str, now: float) -> KeyDecision:
        """Decide whether a key may submit work to a queue."""
        ...

    def check_operator(self, credential: str, now: float) -> bool:
        """Return whether a key is a valid operator key."""
        ...

    def is_fresh(self, now: float) -> bool:
        """Return whether the view is fresh enough to authenticate with."""
        ...


class PortionView(Protocol):
    """View of the portions of the teams' quotas that a daemon holds."""

    def acquire(self, team: str, attempt_id: str, now: float) -> bool:
        """Take one unit of the team's portion; return false if no unit is free.

        If no unit is free, the demand is recorded and more units are requested.
        """
        ...

    def release(self, team: str, attempt_id: str, now: float) -> None:
        """Release a unit, once it is certain that the attempt no longer runs."""
        ...


class Member(NamedTuple):
    """One daemon in the membership view."""

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
        """Incarnation of this daemon, which rises with every start."""
        ...

    def members(self) -> Sequence[Member]:
        """Return all known daemons, including this one, ordered by name."""
        ...

    def find(self, name: str) -> Member | None:
        """Return one daemon, or None if it is unknown."""
        ...


class LeadershipView(Protocol):
    """View of the replicated log's leadership."""

    @property
    def leader(self) -> str:
        """Name of the last known leader, or empty."""
        ...

    @property
    def term(self) -> int:
        """Latest term seen."""
        ...

    @property
    def applied_index(self) -> int:
        """Index of the last entry of the log that was applied to the state."""
        ...

    def holds_lease(self, now: float) -> bool:
        """Return whether this daemon leads, with a lease that rules out others."""
        ...


class TeamRule(NamedTuple):
    """Configuration of one team."""

    name: str
    share: float
    limit: int


class QueueRule(NamedTuple):
    """Configuration of one queue; ``deadline`` is in seconds."""

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
        """Generation in force; 0 before the first one."""
        ...

    def team(self, name: str) -> TeamRule | None:
        """Return the configuration of a team, or None if it is unknown."""
        ...

    def teams(self) -> Sequence[TeamRule]:
        """Return the configuration of all teams, ordered by name."""
        ...

    def queue(self, name: str) -> QueueRule | None:
        """Return the configuration of a queue, or None if it is unknown."""
        ...

    @property
    def folder(self) -> Folder:
        """The merged folder in force, which contains pools, instances and waves."""
        ...


class CentralQuota(Protocol):
    """Interface of the replicated quota accounts for units that jobs use.

    The units granted to daemons and the units taken here together never exceed the
    quota of a team. Sections call it while they apply a command.
    """

    def acquire(self, team: str) -> bool:
        """Take one unit for a job; return false if no unit is free."""
        ...

    def release(self, team: str) -> None:
        """Release the unit of a job that certainly no longer runs."""
        ...
