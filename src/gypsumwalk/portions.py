"""Portions of the teams' upper limits that one daemon holds."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from gypsumwalk.effects import Effect, Propose, Record
from gypsumwalk.events import Event
from gypsumwalk.inputs import (
    Committed,
    Input,
    ProposalOutcome,
    ProposalStatus,
    ShutdownRequested,
)
from gypsumwalk.part import NEVER
from gypsumwalk.portion_accounts import (
    COMMANDS,
    LEASE_SECONDS,
    AskPortion,
    Holder,
    PortionGranted,
    PortionSection,
    ReclaimPortions,
    RenewPortions,
    ReturnPortion,
)
from gypsumwalk.settings import Settings
from gypsumwalk.views import LeadershipView

__all__ = [
    "COMMANDS",
    "AskPortion",
    "PortionGranted",
    "PortionPart",
    "PortionSection",
    "ReclaimPortions",
    "RenewPortions",
    "ReturnPortion",
]

RENEW_SECONDS = 20.0
RECLAIM_CHECK_SECONDS = 10.0
ASK_SECONDS = 0.2
IDLE_SECONDS = 2.0
WANTED_IDLE_SECONDS = 0.5
"""Time in seconds that a unit stays idle although another daemon wants it."""

WARM_SECONDS = 30.0
"""Time in seconds that the last idle unit of a team stays while nobody wants it."""

MIN_WARM_LIMIT = 8
"""Smallest upper limit, in units, of which a daemon keeps an idle unit longer."""

PROPOSAL_SECONDS = 3.0
MAX_ASKED = 64


@dataclass(slots=True)
class _Local:
    demand: int = 0
    asking: bool = False
    ask_due: float = 0.0
    returning: int = 0
    idle_since: float = NEVER
    kept_until: float = 0.0
    used_at: float = float("-inf")
    holders: set[str] = field(default_factory=set)


class PortionPart:
    """Portions that one daemon holds, and their movement through the log.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon.
    section : PortionSection
        Replicated accounts.
    leadership : LeadershipView
        Leadership of the log; its holder takes back portions of ended daemons.
    incarnation : int
        Incarnation of the daemon.
    """

    name = "portions"
    accepts: tuple[type, ...] = (AskPortion, ReturnPortion, ShutdownRequested)

    def __init__(
        self,
        *,
        settings: Settings,
        section: PortionSection,
        leadership: LeadershipView,
        incarnation: int,
    ) -> None:
        self._holder = Holder(settings.name, incarnation)
        self._section = section
        self._leadership = leadership
        self._teams: dict[str, _Local] = {}
        self._returns: dict[int, ReturnPortion] = {}
        self._asks: dict[int, tuple[str, float]] = {}
        self._renewals: dict[int, float] = {}
        self._number = 0
        self._transfer = 0
        self._lease_start = float("-inf")
        self._is_leaving = False
        self._renew_due = 0.0
        self._reclaim_due = 0.0
        self._wakeup = 0.0

    @property
    def wakeup(self) -> float:
        """Time in seconds at which ``advance`` is due next."""
        return self._wakeup

    def acquire(self, team: str, holder: str, now: float) -> bool:
        """Take one unit of the team's portion for a request.

        Parameters
        ----------
        team : str
            The team.
        holder : str
            Identifier of the request.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether a unit was free; if not, the demand is noted.
        """
        local = self._teams.setdefault(team, _Local())
        if holder in local.holders:
            return True
        if self._count_free(team, local, now) < 1:
            local.demand += 1
            self._wakeup = min(self._wakeup, max(now, local.ask_due))
            return False
        local.holders.add(holder)
        local.idle_since = NEVER
        local.used_at = now
        if not self._count_idle(team, local):
            local.kept_until = 0.0
        return True

    def release(self, team: str, holder: str, now: float) -> None:
        """Give a unit back; only once it is known that nothing runs under it.

        Parameters
        ----------
        team : str
            The team.
        holder : str
            Identifier of the request.
        now : float
            Time in seconds.
        """
        local = self._teams.get(team)
        if local is None or holder not in local.holders:
            return
        local.holders.discard(holder)
        local.idle_since = now
        self._wakeup = min(self._wakeup, now + self._find_idle_time(team))

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Take in the end of a proposal, a movement, or the wish to leave."""
        if isinstance(item, ProposalOutcome):
            return self._take_outcome(item, now)
        if isinstance(item, ShutdownRequested):
            self._is_leaving = True
        if isinstance(item, Committed | ShutdownRequested):
            self._wakeup = min(self._wakeup, now)
        return []

    def advance(self, now: float) -> Sequence[Effect]:
        """Ask for units, return idle ones, renew and take back what is due."""
        effects: list[Effect] = []
        for team, local in self._teams.items():
            effects += self._ask(team, local, now)
            effects += self._return_idle(team, local, now)
        effects += self._renew(now)
        effects += self._reclaim(now)
        self._plan(now)
        return effects

    def _count_free(self, team: str, local: _Local, now: float) -> int:
        if now >= self._lease_start + LEASE_SECONDS:
            return 0
        if self._section.total(team) > self._section.limit(team):
            return 0
        return self._count_idle(team, local)

    def _count_idle(self, team: str, local: _Local) -> int:
        held = self._section.held(self._holder, team)
        return held - local.returning - len(local.holders)

    def _ask(self, team: str, local: _Local, now: float) -> list[Effect]:
        if not local.demand or local.asking or now < local.ask_due:
            return []
        units = min(MAX_ASKED, local.demand)
        local.demand = 0
        local.asking = True
        local.ask_due = now + ASK_SECONDS
        command = AskPortion(self._holder, team, units)
        number = self._count()
        self._asks[number] = (team, now)
        return [self._propose(number, command)]

    def _return_idle(self, team: str, local: _Local, now: float) -> list[Effect]:
        idle = self._count_idle(team, local) - self._count_warm(team, local, now)
        if idle <= 0 or local.returning or local.asking:
            return []
        if not self._is_return_due(team, local, now):
            return []
        self._transfer += 1
        command = ReturnPortion(self._holder, team, idle, self._transfer)
        local.returning = idle
        number = self._count()
        self._returns[number] = command
        return [self._propose(number, command)]

    def _count_warm(self, team: str, local: _Local, now: float) -> int:
        # A team that sends now and then would otherwise cost two log entries each time.
        if self._is_leaving or self._section.is_wanted(team):
            return 0
        if self._section.limit(team) < MIN_WARM_LIMIT:
            return 0
        return 1 if now < local.used_at + WARM_SECONDS else 0

    def _is_return_due(self, team: str, local: _Local, now: float) -> bool:
        if local.idle_since == NEVER:
            local.idle_since = now
        return now >= self._find_idle_end(team, local)

    def _find_idle_end(self, team: str, local: _Local) -> float:
        end = local.idle_since + self._find_idle_time(team)
        if self._section.total(team) > self._section.limit(team):
            return end
        return max(end, local.kept_until)

    def _find_idle_time(self, team: str) -> float:
        if self._is_leaving or self._section.total(team) > self._section.limit(team):
            return 0.0
        return WANTED_IDLE_SECONDS if self._section.is_wanted(team) else IDLE_SECONDS

    def _renew(self, now: float) -> list[Effect]:
        if now < self._renew_due:
            return []
        self._renew_due = now + RENEW_SECONDS
        if self._holder not in self._section.holders():
            return []
        number = self._count()
        self._renewals[number] = now
        return [self._propose(number, RenewPortions(self._holder))]

    def _reclaim(self, now: float) -> list[Effect]:
        if now < self._reclaim_due:
            return []
        self._reclaim_due = now + RECLAIM_CHECK_SECONDS
        if not self._leadership.holds_lease(now):
            return []
        ended = [
            holder
            for holder in self._section.holders()
            if self._section.is_reclaimable(holder, now)
        ]
        effects: list[Effect] = []
        for holder in ended:
            effects.append(self._propose(self._count(), ReclaimPortions(holder)))
            effects.append(Record(Event.PORTION_RECLAIMED, holder.daemon))
        return effects

    def _take_outcome(self, item: ProposalOutcome, now: float) -> list[Effect]:
        number = int(item.token.partition("/")[2])
        committed = item.status is ProposalStatus.COMMITTED
        self._wakeup = min(self._wakeup, now)
        if number in self._renewals:
            self._note_lease(self._renewals.pop(number), committed)
        elif number in self._asks:
            team, asked = self._asks.pop(number)
            self._teams[team].asking = False
            self._teams[team].idle_since = now
            self._teams[team].kept_until = now + WANTED_IDLE_SECONDS
            self._note_lease(asked, committed)
        elif command := self._returns.pop(number, None):
            return self._end_return(command, item)
        return []

    def _end_return(
        self, command: ReturnPortion, item: ProposalOutcome
    ) -> list[Effect]:
        if item.status is not ProposalStatus.UNKNOWN:
            self._teams[command.team].returning = 0
            return []
        number = self._count()
        self._returns[number] = command
        return [self._propose(number, command)]

    def _note_lease(self, start: float, committed: bool) -> None:
        if committed:
            self._lease_start = max(self._lease_start, start)

    def _count(self) -> int:
        self._number += 1
        return self._number

    def _propose(self, number: int, command: msgspec.Struct) -> Propose:
        return Propose(f"{self.name}/{number}", command, PROPOSAL_SECONDS)

    def _plan(self, now: float) -> None:
        times = [self._renew_due, self._reclaim_due]
        for team, local in self._teams.items():
            if local.demand and not local.asking:
                times.append(max(now, local.ask_due))
            idle = self._count_idle(team, local)
            if idle > 0 and local.idle_since != NEVER:
                idle_end = self._find_idle_end(team, local)
                if idle <= self._count_warm(team, local, now):
                    idle_end = local.used_at + WARM_SECONDS
                times.append(max(idle_end, now + ASK_SECONDS))
        self._wakeup = min(times)
