"""Accounts of the teams' upper limits, as a section of the replicated state."""

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
"""Longest time in seconds that a request may go on after its daemon ended."""

CLOCK_DRIFT = 0.1
RECLAIM_SECONDS = (LEASE_SECONDS + REQUEST_SECONDS) * (1 + CLOCK_DRIFT)


class Holder(msgspec.Struct, frozen=True, order=True):
    """One incarnation of one daemon."""

    daemon: str
    incarnation: int


class AskPortion(msgspec.Struct, frozen=True, tag=True):
    """Command: grant a daemon up to so many units more."""

    holder: Holder
    team: str
    units: int


class ReturnPortion(msgspec.Struct, frozen=True, tag=True):
    """Command: take units back from a daemon, which no longer uses them.

    Attributes
    ----------
    holder : Holder
        The daemon.
    team : str
        The team.
    units : int
        Units returned.
    transfer : int
        Number of the transfer; one carried out already has no further effect.
    """

    holder: Holder
    team: str
    units: int
    transfer: int


class RenewPortions(msgspec.Struct, frozen=True, tag=True):
    """Command: a daemon goes on holding its portions."""

    holder: Holder


class ReclaimPortions(msgspec.Struct, frozen=True, tag=True):
    """Command: take back the portions of a daemon that must have ended."""

    holder: Holder


class PortionGranted(msgspec.Struct, frozen=True, tag=True):
    """Result: units granted, perhaps fewer than were asked for."""

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
    """Units granted to daemons and taken for jobs; the sum never exceeds the limit.

    Parameters
    ----------
    folder : FolderView
        Configuration of the same replicated state.
    """

    name = "portions"
    commands: tuple[type, ...] = COMMANDS

    def __init__(self, folder: FolderView) -> None:
        self._folder = folder
        self._accounts: dict[Holder, _Account] = {}
        self._taken: dict[str, int] = {}
        self._granted: dict[str, int] = {}
        self._wanted: set[str] = set()

    def limit(self, team: str) -> int:
        """Return the upper limit of a team, 0 for one that is not known."""
        rule = self._folder.team(team)
        return rule.limit if rule else 0

    def total(self, team: str) -> int:
        """Return the units granted and taken."""
        return self._granted.get(team, 0) + self._taken.get(team, 0)

    def held(self, holder: Holder, team: str) -> int:
        """Return the units granted to a daemon."""
        account = self._accounts.get(holder)
        return account.units.get(team, 0) if account else 0

    def holders(self) -> list[Holder]:
        """Return every daemon that has an account."""
        return sorted(self._accounts)

    def is_wanted(self, team: str) -> bool:
        """Tell whether idle units of a team are to be returned at once."""
        return team in self._wanted or self.total(team) > self.limit(team)

    def is_reclaimable(self, holder: Holder, at: float) -> bool:
        """Tell whether all that a daemon had running must have ended."""
        account = self._accounts.get(holder)
        return account is not None and at >= account.renewed + RECLAIM_SECONDS

    def take(self, team: str) -> bool:
        """Take one unit for a job that starts; false if none is left."""
        if self.total(team) >= self.limit(team):
            self._wanted.add(team)
            return False
        self._taken[team] = self._taken.get(team, 0) + 1
        return True

    def give_back(self, team: str) -> None:
        """Return the unit of a job that can't be running any more."""
        left = self._taken.get(team, 0) - 1
        if left > 0:
            self._taken[team] = left
        else:
            self._taken.pop(team, None)

    def apply(self, command: msgspec.Struct, index: int, at: float) -> msgspec.Struct:
        """Apply one committed command."""
        match command:
            case AskPortion():
                return self._grant(command, at)
            case ReturnPortion():
                return self._take_back(command, index, at)
            case RenewPortions(holder=holder):
                return self._renew(holder, index, at)
            case ReclaimPortions(holder=holder):
                return self._reclaim(holder, index, at)
        raise TypeError(type(command).__name__)

    def dump(self) -> bytes:
        """Return the section as bytes."""
        accounts = [(holder, self._accounts[holder]) for holder in self.holders()]
        taken = dict(sorted(self._taken.items()))
        return msgspec.msgpack.encode(_Dump(accounts, taken, sorted(self._wanted)))

    def load(self, content: bytes) -> None:
        """Replace the section by one that was dumped."""
        dump = msgspec.msgpack.decode(content, type=_Dump)
        self._accounts = dict(dump.accounts)
        self._taken, self._wanted = dict(dump.taken), set(dump.wanted)
        self._granted = {}
        for account in self._accounts.values():
            for team, units in account.units.items():
                self._granted[team] = self._granted.get(team, 0) + units

    def _grant(self, command: AskPortion, at: float) -> msgspec.Struct:
        team = command.team
        free = max(0, self.limit(team) - self.total(team))
        units = min(free, max(0, command.units))
        if units < command.units:
            self._wanted.add(team)
        else:
            self._wanted.discard(team)
        if units:
            self._accounts.setdefault(command.holder, _Account(at, units={}))
        account = self._accounts.get(command.holder)
        if account is None:
            return PortionGranted(0)
        account.renewed = at
        if not units:
            return PortionGranted(0)
        account.units[team] = account.units.get(team, 0) + units
        self._granted[team] = self._granted.get(team, 0) + units
        return PortionGranted(units)

    def _take_back(
        self, command: ReturnPortion, index: int, at: float
    ) -> msgspec.Struct:
        account = self._accounts.get(command.holder)
        if account is None:
            return Rejected("UnknownHolder", "the daemon holds no portions")
        if command.transfer <= account.transfer:
            return Accepted(index)
        account.transfer = command.transfer
        account.renewed = at
        self._lower(account, command.team, command.units)
        if not self._granted.get(command.team):
            self._wanted.discard(command.team)
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
            self._lower(account, team, units)
        return Accepted(index)

    def _lower(self, account: _Account, team: str, units: int) -> None:
        units = min(units, account.units.get(team, 0))
        account.units[team] = account.units.get(team, 0) - units
        self._granted[team] = self._granted.get(team, 0) - units
        if not account.units[team]:
            del account.units[team]
        if not self._granted[team]:
            del self._granted[team]
