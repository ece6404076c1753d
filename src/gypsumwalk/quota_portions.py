"""Portions of the teams' quotas that one daemon holds.

The quota of a team is its upper limit in units; a unit lets one request run. A daemon
asks the replicated state for a portion, holds it under a lease that it renews, and
returns units that stay idle.
"""

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
from gypsumwalk.quota_accounts import (
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

RENEW_INTERVAL_SECONDS = 20.0
RECLAIM_CHECK_INTERVAL_SECONDS = 10.0
ASK_INTERVAL_SECONDS = 0.2
IDLE_SECONDS = 2.0
CONTENDED_IDLE_SECONDS = 0.5
"""Idle time in seconds before a unit that other daemons lack is returned."""

RESERVE_SECONDS = 30.0
"""Idle time in seconds before the last unit of an uncontended team is returned."""

MIN_RESERVE_LIMIT = 8
"""Smallest quota, in units, at which a daemon keeps one idle unit for longer."""

PROPOSAL_TIMEOUT_SECONDS = 3.0
MAX_ASKED_UNITS = 64


@dataclass(slots=True)
class _TeamState:
    demand: int = 0
    asking: bool = False
    ask_due: float = 0.0
    returning: int = 0
    idle_since: float = NEVER
    keep_until: float = 0.0
    last_used: float = float("-inf")
    attempt_ids: set[str] = field(default_factory=set)


class PortionPart:
    """Acquires, renews and returns the portions that one daemon holds.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon.
    section : PortionSection
        Replicated accounts of the portions.
    leadership : LeadershipView
        Leadership of the log; the leader reclaims portions of stopped daemons.
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
        self._teams: dict[str, _TeamState] = {}
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

    def acquire(self, team: str, attempt_id: str, now: float) -> bool:
        """Take one unit of the team's portion for an attempt of a request.

        Idempotent: an attempt that holds a unit already keeps it.

        Parameters
        ----------
        team : str
            The team.
        attempt_id : str
            Identifier of the attempt.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether the attempt holds a unit; if not, more units are requested.
        """
        state = self._teams.setdefault(team, _TeamState())
        if attempt_id in state.attempt_ids:
            return True
        if self._count_free(team, state, now) < 1:
            state.demand += 1
            self._wakeup = min(self._wakeup, max(now, state.ask_due))
            return False
        state.attempt_ids.add(attempt_id)
        state.idle_since = NEVER
        state.last_used = now
        if not self._count_idle(team, state):
            state.keep_until = 0.0
        return True

    def release(self, team: str, attempt_id: str, now: float) -> None:
        """Release a unit, once it is certain that the attempt no longer runs.

        Parameters
        ----------
        team : str
            The team.
        attempt_id : str
            Identifier of the attempt.
        now : float
            Time in seconds.
        """
        state = self._teams.get(team)
        if state is None or attempt_id not in state.attempt_ids:
            return
        state.attempt_ids.discard(attempt_id)
        state.idle_since = now
        self._wakeup = min(self._wakeup, now + self._find_idle_timeout(team))

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Handle a proposal's outcome, a committed change or a shutdown."""
        if isinstance(item, ProposalOutcome):
            return self._handle_outcome(item, now)
        if isinstance(item, ShutdownRequested):
            self._is_leaving = True
        if isinstance(item, Committed | ShutdownRequested):
            self._wakeup = min(self._wakeup, now)
        return []

    def advance(self, now: float) -> Sequence[Effect]:
        """Ask for units, return idle ones, renew the lease and reclaim portions."""
        effects: list[Effect] = []
        for team, state in self._teams.items():
            effects += self._ask_units(team, state, now)
            effects += self._return_idle(team, state, now)
        effects += self._renew_lease(now)
        effects += self._reclaim(now)
        self._schedule_wakeup(now)
        return effects

    def _count_free(self, team: str, state: _TeamState, now: float) -> int:
        if now >= self._lease_start + LEASE_SECONDS:
            return 0
        if self._section.count_allocated(team) > self._section.find_limit(team):
            return 0
        return self._count_idle(team, state)

    def _count_idle(self, team: str, state: _TeamState) -> int:
        held = self._section.count_held(self._holder, team)
        return held - state.returning - len(state.attempt_ids)

    def _ask_units(self, team: str, state: _TeamState, now: float) -> list[Effect]:
        if not state.demand or state.asking or now < state.ask_due:
            return []
        units = min(MAX_ASKED_UNITS, state.demand)
        state.demand = 0
        state.asking = True
        state.ask_due = now + ASK_INTERVAL_SECONDS
        command = AskPortion(self._holder, team, units)
        number = self._next_number()
        self._asks[number] = (team, now)
        return [self._propose(number, command)]

    def _return_idle(self, team: str, state: _TeamState, now: float) -> list[Effect]:
        idle = self._count_idle(team, state) - self._count_reserved(team, state, now)
        if idle <= 0 or state.returning or state.asking:
            return []
        if not self._is_return_due(team, state, now):
            return []
        self._transfer += 1
        command = ReturnPortion(self._holder, team, idle, self._transfer)
        state.returning = idle
        number = self._next_number()
        self._returns[number] = command
        return [self._propose(number, command)]

    def _count_reserved(self, team: str, state: _TeamState, now: float) -> int:
        # Without a reserved unit, each request of a team with sparse traffic costs two
        # log entries: one to get a unit and one to return it.
        if self._is_leaving or self._section.is_contended(team):
            return 0
        if self._section.find_limit(team) < MIN_RESERVE_LIMIT:
            return 0
        return 1 if now < state.last_used + RESERVE_SECONDS else 0

    def _is_return_due(self, team: str, state: _TeamState, now: float) -> bool:
        if state.idle_since == NEVER:
            state.idle_since = now
        return now >= self._find_idle_end(team, state)

    def _find_idle_end(self, team: str, state: _TeamState) -> float:
        end = state.idle_since + self._find_idle_timeout(team)
        if self._section.count_allocated(team) > self._section.find_limit(team):
            return end
        return max(end, state.keep_until)

    def _find_idle_timeout(self, team: str) -> float:
        if self._is_leaving or self._section.count_allocated(
            team
        ) > self._section.find_limit(team):
            return 0.0
        return (
            CONTENDED_IDLE_SECONDS if self._section.is_contended(team) else IDLE_SECONDS
        )

    def _renew_lease(self, now: float) -> list[Effect]:
        if now < self._renew_due:
            return []
        self._renew_due = now + RENEW_INTERVAL_SECONDS
        if self._holder not in self._section.list_holders():
            return []
        number = self._next_number()
        self._renewals[number] = now
        return [self._propose(number, RenewPortions(self._holder))]

    def _reclaim(self, now: float) -> list[Effect]:
        if now < self._reclaim_due:
            return []
        self._reclaim_due = now + RECLAIM_CHECK_INTERVAL_SECONDS
        if not self._leadership.holds_lease(now):
            return []
        expired = [
            holder
            for holder in self._section.list_holders()
            if self._section.is_reclaimable(holder, now)
        ]
        effects: list[Effect] = []
        for holder in expired:
            effects.append(self._propose(self._next_number(), ReclaimPortions(holder)))
            effects.append(Record(Event.PORTION_RECLAIMED, holder.daemon))
        return effects

    def _handle_outcome(self, item: ProposalOutcome, now: float) -> list[Effect]:
        number = int(item.token.partition("/")[2])
        committed = item.status is ProposalStatus.COMMITTED
        self._wakeup = min(self._wakeup, now)
        if number in self._renewals:
            self._extend_lease(self._renewals.pop(number), committed)
        elif number in self._asks:
            team, asked = self._asks.pop(number)
            self._teams[team].asking = False
            self._teams[team].idle_since = now
            self._teams[team].keep_until = now + CONTENDED_IDLE_SECONDS
            self._extend_lease(asked, committed)
        elif command := self._returns.pop(number, None):
            return self._finish_return(command, item)
        return []

    def _finish_return(
        self, command: ReturnPortion, item: ProposalOutcome
    ) -> list[Effect]:
        if item.status is not ProposalStatus.UNKNOWN:
            self._teams[command.team].returning = 0
            return []
        number = self._next_number()
        self._returns[number] = command
        return [self._propose(number, command)]

    def _extend_lease(self, start: float, committed: bool) -> None:
        if committed:
            self._lease_start = max(self._lease_start, start)

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    def _propose(self, number: int, command: msgspec.Struct) -> Propose:
        return Propose(f"{self.name}/{number}", command, PROPOSAL_TIMEOUT_SECONDS)

    def _schedule_wakeup(self, now: float) -> None:
        times = [self._renew_due, self._reclaim_due]
        for team, state in self._teams.items():
            if state.demand and not state.asking:
                times.append(max(now, state.ask_due))
            idle = self._count_idle(team, state)
            if idle > 0 and state.idle_since != NEVER:
                idle_end = self._find_idle_end(team, state)
                if idle <= self._count_reserved(team, state, now):
                    idle_end = state.last_used + RESERVE_SECONDS
                times.append(max(idle_end, now + ASK_INTERVAL_SECONDS))
        self._wakeup = min(times)
