"""Requests that wait for a slot of one service, and the order they start in."""

from collections import OrderedDict
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from gypsumwalk.shares import FairShares

__all__ = ["Line", "Pick", "ServiceQueue"]

URGENT_STREAK = 4
"""Urgent starts in a row after which a request that is not urgent starts."""
URGENT_PART = URGENT_STREAK / (URGENT_STREAK + 1)
MEASURED_SECONDS = 0.5
MEASURED_STARTS = 4
"""Least time and starts from which the rate of starts is known."""
FORGETTING_SECONDS = 2.0
DEMAND_SECONDS = 1.5
"""Age at which the demand of another daemon is forgotten."""


class Line(NamedTuple):
    """One line of waiting requests: those of a team, urgent or not."""

    team: str
    urgent: bool


class Pick(NamedTuple):
    """What may start next.

    Attributes
    ----------
    line : Line
        Line to take it from.
    asker : str
        Daemon that asked for the slot; empty for a request of this daemon.
    """

    line: Line
    asker: str


@dataclass(frozen=True, slots=True)
class _Demand:
    counts: dict[Line, int]
    sequence: int
    expires_at: float


@dataclass(slots=True)
class _Drain:
    """Starts a second, measured while anything waits."""

    since: float
    starts: float = 0.0
    known: float = 0.0
    measured: bool = False

    def note_start(self, now: float) -> None:
        self.starts += 1.0
        elapsed = now - self.since
        enough = self.starts >= MEASURED_STARTS and elapsed >= MEASURED_SECONDS
        self.measured = self.measured or enough
        if self.measured:
            self.known = self.starts / elapsed
        if elapsed >= FORGETTING_SECONDS:
            self.starts /= 2.0
            self.since = now - elapsed / 2.0

    def begin(self, now: float) -> None:
        self.since = now
        self.starts = 0.0
        self.measured = False


class ServiceQueue:
    """Waiting requests of one service, here and on the daemons that ask for slots.

    Parameters
    ----------
    shares : FairShares
        Fair shares of the teams.
    """

    def __init__(self, shares: FairShares) -> None:
        self._shares = shares
        self._lines: dict[Line, OrderedDict[str, str]] = {}
        self._depths: dict[str, int] = {}
        self._length = 0
        self._drain = _Drain(0.0)
        self._demands: dict[str, _Demand] = {}
        self._streak = 0
        self._served: dict[Line, str] = {}

    @property
    def has_work(self) -> bool:
        """Whether anything waits, here or on a daemon that asked for slots."""
        return bool(self._lines or self._demands)

    def push(
        self,
        line: Line,
        request_id: str,
        queue: str,
        now: float,
        *,
        first: bool = False,
    ) -> None:
        """Put a request into its line, last or first."""
        if not self._has_team(line.team):
            self._shares.activate(line.team)
        if line not in self._lines:
            self._lines[line] = OrderedDict()
        waiting = self._lines[line]
        if request_id in waiting:
            return
        waiting[request_id] = queue
        if first:
            waiting.move_to_end(request_id, last=False)
        self._depths[queue] = self._depths.get(queue, 0) + 1
        if not self._length:
            self._drain.begin(now)
        self._length += 1

    def remove(self, line: Line, request_id: str) -> bool:
        """Take a request out of its line; false if it was not in it."""
        waiting = self._lines.get(line)
        if waiting is None or request_id not in waiting:
            return False
        queue = waiting.pop(request_id)
        self._depths[queue] -= 1
        self._length -= 1
        if not waiting:
            del self._lines[line]
        return True

    def start(self, line: Line, request_id: str, now: float) -> None:
        """Take a request out of its line as it starts."""
        self._drain.note_start(now)
        self.remove(line, request_id)

    def estimate_wait(self, *, urgent: bool) -> float:
        """Return the seconds until what goes before a new request has started.

        Parameters
        ----------
        urgent : bool
            Whether the new request is urgent, and only urgent ones go before it.

        Returns
        -------
        float
            Seconds; 0 if the rate of starts is not known.
        """
        if not self._drain.known:
            return 0.0
        if not urgent:
            return self._length / self._drain.known
        ahead = sum(len(item) for line, item in self._lines.items() if line.urgent)
        return ahead / (self._drain.known * URGENT_PART)

    def depth(self, queue: str) -> int:
        """Return how many requests of a queue wait here."""
        return self._depths.get(queue, 0)

    def peek(self, line: Line) -> str | None:
        """Return the first request of a line, or None."""
        waiting = self._lines.get(line)
        return next(iter(waiting)) if waiting else None

    def peek_last(self, line: Line) -> str | None:
        """Return the last request of a line, or None."""
        waiting = self._lines.get(line)
        return next(reversed(waiting)) if waiting else None

    def count(self, line: Line) -> int:
        """Return how many requests wait in a line."""
        return len(self._lines.get(line, ()))

    def count_lines(self) -> Mapping[Line, int]:
        """Return how many requests wait in each line."""
        return {line: len(waiting) for line, waiting in self._lines.items()}

    def set_demand(
        self, asker: str, counts: dict[Line, int], sequence: int, now: float
    ) -> None:
        """Put the demand of another daemon in place of its former one."""
        known = self._demands.get(asker)
        current = known is not None and known.expires_at > now
        if known is not None and current and sequence <= known.sequence:
            return
        for line in counts:
            if not self._has_team(line.team):
                self._shares.activate(line.team)
        self._demands[asker] = _Demand(counts, sequence, now + DEMAND_SECONDS)

    def drop_demand(self, asker: str) -> None:
        """Forget the demand of a daemon that is gone."""
        self._demands.pop(asker, None)

    def pick(self, blocked: Collection[str], now: float) -> Pick | None:
        """Return what may start next.

        Parameters
        ----------
        blocked : Collection[str]
            Teams that have reached their portion of the upper limit on this daemon.
        now : float
            Time in seconds.

        Returns
        -------
        Pick or None
            The line and the asker, or None if nothing may start.
        """
        sources = self._collect_sources(blocked, now)
        if not sources:
            return None
        urgent = self._choose_urgency(sources)
        teams = [line.team for line in sources if line.urgent == urgent]
        team = self._shares.choose(teams)
        assert team is not None
        line = Line(team, urgent)
        return Pick(line, self._rotate(line, sources[line]))

    def take_demand(self, pick: Pick) -> None:
        """Note that a slot is granted to the asker of a pick."""
        counts = self._demands[pick.asker].counts
        counts[pick.line] -= 1
        if counts[pick.line] <= 0:
            del counts[pick.line]

    def _collect_sources(
        self, blocked: Collection[str], now: float
    ) -> dict[Line, list[str]]:
        sources: dict[Line, list[str]] = {}
        for line in self._lines:
            if line.team not in blocked:
                sources[line] = [""]
        for asker, demand in list(self._demands.items()):
            if demand.expires_at <= now:
                del self._demands[asker]
                continue
            for line in demand.counts:
                sources.setdefault(line, []).append(asker)
        return sources

    def _choose_urgency(self, sources: Mapping[Line, list[str]]) -> bool:
        urgent = any(line.urgent for line in sources)
        ordinary = not all(line.urgent for line in sources)
        if not urgent:
            self._streak = 0
            return False
        if ordinary and self._streak >= URGENT_STREAK:
            self._streak = 0
            return False
        self._streak += 1
        return True

    def _rotate(self, line: Line, askers: list[str]) -> str:
        last = self._served.get(line, "")
        following = [asker for asker in sorted(askers) if asker > last]
        chosen = following[0] if following else min(askers)
        self._served[line] = chosen
        return chosen

    def _has_team(self, team: str) -> bool:
        if any(line.team == team for line in self._lines):
            return True
        return any(
            line.team == team
            for demand in self._demands.values()
            for line in demand.counts
        )
