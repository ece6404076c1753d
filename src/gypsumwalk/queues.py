"""Queue of the requests that wait for a slot of one service, and its order."""

from collections import OrderedDict
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from gypsumwalk.shares import FairShares

__all__ = ["Flow", "Pick", "ServiceQueue"]

MAX_URGENT_STREAK = 4
"""Consecutive urgent starts after which a waiting regular request starts."""
URGENT_SHARE = MAX_URGENT_STREAK / (MAX_URGENT_STREAK + 1)
MIN_SAMPLE_SECONDS = 0.5
MIN_SAMPLE_STARTS = 4
"""Minimum duration and number of starts of the first estimate of the start rate."""
SAMPLE_HALVING_SECONDS = 2.0
DEMAND_TTL_SECONDS = 1.5
"""Age at which the demand of another daemon expires."""


class Flow(NamedTuple):
    """Key of a first-in, first-out flow: the requests of a team with one urgency."""

    team: str
    urgent: bool


class Pick(NamedTuple):
    """The flow to serve next, and the daemon whose request is served.

    Attributes
    ----------
    flow : Flow
        Flow to serve.
    grantee : str
        Daemon to grant the slot to; empty for a request of this daemon.
    """

    flow: Flow
    grantee: str


@dataclass(frozen=True, slots=True)
class _Demand:
    counts: dict[Flow, int]
    sequence: int
    expires_at: float


@dataclass(slots=True)
class _StartRate:
    """Estimate of the starts per second, sampled while requests wait."""

    since: float
    starts: float = 0.0
    per_second: float = 0.0
    is_measured: bool = False

    def record_start(self, now: float) -> None:
        self.starts += 1.0
        elapsed = now - self.since
        enough = self.starts >= MIN_SAMPLE_STARTS and elapsed >= MIN_SAMPLE_SECONDS
        self.is_measured = self.is_measured or enough
        if self.is_measured:
            self.per_second = self.starts / elapsed
        if elapsed >= SAMPLE_HALVING_SECONDS:
            self.starts /= 2.0
            self.since = now - elapsed / 2.0

    def reset(self, now: float) -> None:
        self.since = now
        self.starts = 0.0
        self.is_measured = False


class ServiceQueue:
    """Waiting requests of one service, and other daemons' demand for its slots.

    Parameters
    ----------
    shares : FairShares
        Fair shares of the teams.
    """

    def __init__(self, shares: FairShares) -> None:
        self._shares = shares
        self._flows: dict[Flow, OrderedDict[str, str]] = {}
        self._queue_counts: dict[str, int] = {}
        self._length = 0
        self._start_rate = _StartRate(0.0)
        self._demands: dict[str, _Demand] = {}
        self._urgent_streak = 0
        self._last_grantees: dict[Flow, str] = {}

    @property
    def has_waiting(self) -> bool:
        """Whether requests wait here or on a daemon that asked for slots."""
        return bool(self._flows or self._demands)

    def push(
        self,
        flow: Flow,
        request_id: str,
        queue: str,
        now: float,
        *,
        first: bool = False,
    ) -> None:
        """Add a request to the end of its flow, or to the front if ``first``."""
        if not self._has_team(flow.team):
            self._shares.activate(flow.team)
        if flow not in self._flows:
            self._flows[flow] = OrderedDict()
        waiting = self._flows[flow]
        if request_id in waiting:
            return
        waiting[request_id] = queue
        if first:
            waiting.move_to_end(request_id, last=False)
        self._queue_counts[queue] = self._queue_counts.get(queue, 0) + 1
        if not self._length:
            self._start_rate.reset(now)
        self._length += 1

    def remove(self, flow: Flow, request_id: str) -> bool:
        """Remove a request from its flow; return whether it was there."""
        waiting = self._flows.get(flow)
        if waiting is None or request_id not in waiting:
            return False
        queue = waiting.pop(request_id)
        self._queue_counts[queue] -= 1
        self._length -= 1
        if not waiting:
            del self._flows[flow]
        return True

    def start(self, flow: Flow, request_id: str, now: float) -> None:
        """Remove a request that starts from its flow, and update the start rate."""
        self._start_rate.record_start(now)
        self.remove(flow, request_id)

    def estimate_wait(self, *, urgent: bool) -> float:
        """Return the expected wait of a new request.

        Parameters
        ----------
        urgent : bool
            Whether the new request is urgent, so that only urgent ones are ahead.

        Returns
        -------
        float
            Seconds; 0 while the start rate is unknown.
        """
        if not self._start_rate.per_second:
            return 0.0
        if not urgent:
            return self._length / self._start_rate.per_second
        ahead = sum(len(item) for flow, item in self._flows.items() if flow.urgent)
        return ahead / (self._start_rate.per_second * URGENT_SHARE)

    def count_queued(self, queue: str) -> int:
        """Return the number of requests of a queue that wait here."""
        return self._queue_counts.get(queue, 0)

    def peek(self, flow: Flow) -> str | None:
        """Return the first request of a flow, or None."""
        waiting = self._flows.get(flow)
        return next(iter(waiting)) if waiting else None

    def peek_last(self, flow: Flow) -> str | None:
        """Return the last request of a flow, or None."""
        waiting = self._flows.get(flow)
        return next(reversed(waiting)) if waiting else None

    def count(self, flow: Flow) -> int:
        """Return the number of requests that wait in a flow."""
        return len(self._flows.get(flow, ()))

    def count_by_flow(self) -> Mapping[Flow, int]:
        """Return the number of requests that wait in each flow."""
        return {flow: len(waiting) for flow, waiting in self._flows.items()}

    def set_demand(
        self, grantee: str, counts: dict[Flow, int], sequence: int, now: float
    ) -> None:
        """Replace the demand of another daemon, unless its sequence is outdated."""
        previous = self._demands.get(grantee)
        current = previous is not None and previous.expires_at > now
        if previous is not None and current and sequence <= previous.sequence:
            return
        for flow in counts:
            if not self._has_team(flow.team):
                self._shares.activate(flow.team)
        self._demands[grantee] = _Demand(counts, sequence, now + DEMAND_TTL_SECONDS)

    def drop_demand(self, grantee: str) -> None:
        """Remove the demand of a daemon that died or left."""
        self._demands.pop(grantee, None)

    def pick(self, blocked: Collection[str], now: float) -> Pick | None:
        """Choose the flow and the daemon to serve next.

        Parameters
        ----------
        blocked : Collection[str]
            Teams without a free unit of their quota on this daemon.
        now : float
            Time in seconds.

        Returns
        -------
        Pick or None
            The flow and the grantee, or None if nothing may start.
        """
        sources = self._collect_sources(blocked, now)
        if not sources:
            return None
        urgent = self._choose_urgent(sources)
        teams = [flow.team for flow in sources if flow.urgent == urgent]
        team = self._shares.choose(teams)
        assert team is not None
        flow = Flow(team, urgent)
        return Pick(flow, self._choose_grantee(flow, sources[flow]))

    def reduce_demand(self, pick: Pick) -> None:
        """Subtract a slot that is granted from the demand of its grantee."""
        counts = self._demands[pick.grantee].counts
        counts[pick.flow] -= 1
        if counts[pick.flow] <= 0:
            del counts[pick.flow]

    def _collect_sources(
        self, blocked: Collection[str], now: float
    ) -> dict[Flow, list[str]]:
        sources: dict[Flow, list[str]] = {}
        for flow in self._flows:
            if flow.team not in blocked:
                sources[flow] = [""]
        for grantee, demand in list(self._demands.items()):
            if demand.expires_at <= now:
                del self._demands[grantee]
                continue
            for flow in demand.counts:
                sources.setdefault(flow, []).append(grantee)
        return sources

    def _choose_urgent(self, sources: Mapping[Flow, list[str]]) -> bool:
        has_urgent = any(flow.urgent for flow in sources)
        has_regular = not all(flow.urgent for flow in sources)
        if not has_urgent:
            self._urgent_streak = 0
            return False
        if has_regular and self._urgent_streak >= MAX_URGENT_STREAK:
            self._urgent_streak = 0
            return False
        self._urgent_streak += 1
        return True

    def _choose_grantee(self, flow: Flow, grantees: list[str]) -> str:
        last = self._last_grantees.get(flow, "")
        following = [grantee for grantee in sorted(grantees) if grantee > last]
        chosen = following[0] if following else min(grantees)
        self._last_grantees[flow] = chosen
        return chosen

    def _has_team(self, team: str) -> bool:
        if any(flow.team == team for flow in self._flows):
            return True
        return any(
            flow.team == team
            for demand in self._demands.values()
            for flow in demand.counts
        )
