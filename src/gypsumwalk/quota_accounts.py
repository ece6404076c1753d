"""Section of the replicated state that accounts for the teams' quotas.

The quota of a team is its upper limit in units. Units are granted to daemons, as
portions for their requests, or used centrally for jobs.
"""

import msgspec

from gypsumwalk.state import Accepted, Rejected
from gypsumwalk.submissions import MAX_DEADLINE_SECONDS
from gypsumwalk.views import FolderView

__all__ = [
    "COMMANDS",
    "LEASE_SECONDS",
    "AskPortion",
    "Holder",
    "PortionGranted",
    "PortionSection",
    "ReclaimPortions",
    "RenewPortions",
    "ReturnPortion",
]

LEASE_SECONDS = 60.0
GRACE_SECONDS = 60.0
REQUEST_SECONDS = MAX_DEADLINE_SECONDS + GRACE_SECONDS
"""Longest time in seconds that a request may run after its daemon stopped."""

CLOCK_DRIFT = 0.1
"""Largest relative difference between clock rates."""

RECLAIM_SECONDS = (LEASE_SECONDS + REQUEST_SECONDS) * (1 + CLOCK_DRIFT)
"""Time in seconds since the last renewal after which portions may be reclaimed."""


class Holder(msgspec.Struct, frozen=True, order=True):
    """One incarnation of a daemon, which holds portions."""

    daemon: str
    incarnation: int


class AskPortion(msgspec.Struct, frozen=True, tag=True):
    """Command: grant a daemon up to ``units`` further units."""

    holder: Holder
    team: str
    units: int


class ReturnPortion(msgspec.Struct, frozen=True, tag=True):
    """Command: return units that a daemon no longer uses.

    Attributes
    ----------
    holder : Holder
        The daemon incarnation that returns them.
    team : str
        The team.
    units : int
        Number of units returned.
    transfer : int
        Number of the transfer, increasing per holder; a repeated transfer has no
        effect.
    """

    holder: Holder
    team: str
    units: int
    transfer: int


class RenewPortions(msgspec.Struct, frozen=True, tag=True):
    """Command: renew the lease on all portions of a daemon."""

    holder: Holder


class ReclaimPortions(msgspec.Struct, frozen=True, tag=True):
    """Command: reclaim the portions of a daemon whose work must have ended."""

    holder: Holder


class PortionGranted(msgspec.Struct, frozen=True, tag=True):
    """Result: units granted, possibly fewer than requested."""

    units: int


COMMANDS = (AskPortion, ReturnPortion, RenewPortions, ReclaimPortions)


class _Account(msgspec.Struct):
    renewed: float
    transfer: int = 0
    units: dict[str, int] = {}


class _Dump(msgspec.Struct, frozen=True):
    accounts: list[tuple[Holder, _Account]]
    taken: dict[str, int]
    wanted: list[str]


class PortionSection:
    """Units granted to daemons and used by jobs; the sum never exceeds the quota.

    Parameters
    ----------
    folder : FolderView
        Configuration in the same replicated state.
    """

    name = "portions"
    commands: tuple[type, ...] = COMMANDS

    def __init__(self, folder: FolderView) -> None:
        self._folder = folder
        self._accounts: dict[Holder, _Account] = {}
        self._central_units: dict[str, int] = {}
        self._granted_units: dict[str, int] = {}
        self._contended: set[str] = set()

    def find_limit(self, team: str) -> int:
        """Return the quota of a team in units, 0 for an unknown team."""
        rule = self._folder.team(team)
        return rule.limit if rule else 0

    def count_allocated(self, team: str) -> int:
        """Return the units of a team that are granted to daemons or used by jobs."""
        return self._granted_units.get(team, 0) + self._central_units.get(team, 0)

    def count_held(self, holder: Holder, team: str) -> int:
        """Return the units of a team that are granted to a daemon."""
        account = self._accounts.get(holder)
        return account.units.get(team, 0) if account else 0

    def list_holders(self) -> list[Holder]:
        """Return every daemon incarnation that has an account, sorted."""
        return sorted(self._accounts)

    def is_contended(self, team: str) -> bool:
        """Return whether demand for a team exceeds its free units."""
        return team in self._contended or self.count_allocated(team) > self.find_limit(
            team
        )

    def is_reclaimable(self, holder: Holder, at: float) -> bool:
        """Return whether all requests of a daemon must have ended by a time."""
        account = self._accounts.get(holder)
        return account is not None and at >= account.renewed + RECLAIM_SECONDS

    def acquire(self, team: str) -> bool:
        """Take one unit for a job; return false if no unit is free."""
        if self.count_allocated(team) >= self.find_limit(team):
            self._contended.add(team)
            return False
        self._central_units[team] = self._central_units.get(team, 0) + 1
        return True

    def release(self, team: str) -> None:
        """Release the unit of a job that certainly no longer runs."""
        left = self._central_units.get(team, 0) - 1
        if left > 0:
            self._central_units[team] = left
        else:
            self._central_units.pop(team, None)

    def apply(self, command: msgspec.Struct, index: int, at: float) -> msgspec.Struct:
        """Apply one committed command."""
        match command:
            case AskPortion():
                return self._grant(command, at)
            case ReturnPortion():
                return self._return_units(command, index, at)
            case RenewPortions(holder=holder):
                return self._renew(holder, index, at)
            case ReclaimPortions(holder=holder):
                return self._reclaim(holder, index, at)
        raise TypeError(type(command).__name__)

    def dump(self) -> bytes:
        """Return the section as bytes."""
        accounts = [(holder, self._accounts[holder]) for holder in self.list_holders()]
        taken = dict(sorted(self._central_units.items()))
        return msgspec.msgpack.encode(_Dump(accounts, taken, sorted(self._contended)))

    def load(self, content: bytes) -> None:
        """Replace the content by a dump."""
        dump = msgspec.msgpack.decode(content, type=_Dump)
        self._accounts = dict(dump.accounts)
        self._central_units, self._contended = dict(dump.taken), set(dump.wanted)
        self._granted_units = {}
        for account in self._accounts.values():
            for team, units in account.units.items():
                self._granted_units[team] = self._granted_units.get(team, 0) + units

    def _grant(self, command: AskPortion, at: float) -> msgspec.Struct:
        team = command.team
        free = max(0, self.find_limit(team) - self.count_allocated(team))
        units = min(free, max(0, command.units))
        if units < command.units:
            self._contended.add(team)
        else:
            self._contended.discard(team)
        if units:
            self._accounts.setdefault(command.holder, _Account(at, units={}))
        account = self._accounts.get(command.holder)
        if account is None:
            return PortionGranted(0)
        account.renewed = at
        if not units:
            return PortionGranted(0)
        account.units[team] = account.units.get(team, 0) + units
        self._granted_units[team] = self._granted_units.get(team, 0) + units
        return PortionGranted(units)

    def _return_units(
        self, command: ReturnPortion, index: int, at: float
    ) -> msgspec.Struct:
        account = self._accounts.get(command.holder)
        if account is None:
            return Rejected("UnknownHolder", "the daemon holds no portions")
        if command.transfer <= account.transfer:
            return Accepted(index)
        account.transfer = command.transfer
        account.renewed = at
        self._subtract_units(account, command.team, command.units)
        if not self._granted_units.get(command.team):
            self._contended.discard(command.team)
        return Accepted(index)

    def _renew(self, holder: Holder, index: int, at: float) -> msgspec.Struct:
        account = self._accounts.get(holder)
        if account is None:
            return Rejected("UnknownHolder", "the daemon holds no portions")
        account.renewed = at
        return Accepted(index)

    def _reclaim(self, holder: Holder, index: int, at: float) -> msgspec.Struct:
        if not self.is_reclaimable(holder, at):
            return Rejected("StillHeld", "the daemon may have work running")
        account = self._accounts.pop(holder)
        for team, units in list(account.units.items()):
            self._subtract_units(account, team, units)
        return Accepted(index)

    def _subtract_units(self, account: _Account, team: str, units: int) -> None:
        units = min(units, account.units.get(team, 0))
        account.units[team] = account.units.get(team, 0) - units
        self._granted_units[team] = self._granted_units.get(team, 0) - units
        if not account.units[team]:
            del account.units[team]
        if not self._granted_units[team]:
            del self._granted_units[team]
