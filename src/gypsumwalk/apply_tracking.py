"""Tracking of which daemons have applied a committed command."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from gypsumwalk.effects import Effect, SendPeer
from gypsumwalk.part import NEVER
from gypsumwalk.views import MembershipView

__all__ = [
    "PEER_MESSAGES",
    "AppliedAnswer",
    "AppliedQuery",
    "ApplyTracker",
    "ApplyReport",
]

MIN_QUERY_INTERVAL_SECONDS = 0.02
MAX_QUERY_INTERVAL_SECONDS = 0.32


class AppliedQuery(msgspec.Struct, frozen=True, tag=True):
    """Peer message: asks a daemon whether it has applied a log entry."""

    watch: str
    index: int


class AppliedAnswer(msgspec.Struct, frozen=True, tag=True):
    """Answer to ``AppliedQuery``: index of the last entry applied."""

    watch: str
    applied: int


PEER_MESSAGES = (AppliedQuery, AppliedAnswer)


class ApplyReport(msgspec.Struct, frozen=True):
    """Which daemons have applied a committed command.

    Attributes
    ----------
    in_force : list of str
        Daemons that have applied it.
    unreachable : list of str
        Daemons that did not confirm it before the deadline.
    """

    in_force: list[str]
    unreachable: list[str]


@dataclass(slots=True)
class _Watch:
    call_id: int
    index: int
    deadline: float
    due: float
    interval: float = MIN_QUERY_INTERVAL_SECONDS
    pending: set[str] = field(default_factory=set)
    confirmed: set[str] = field(default_factory=set)


class ApplyTracker:
    """Polls the daemons until all have applied a command or a deadline passes.

    Parameters
    ----------
    name : str
        Name of the part that tracks its commands, used as prefix of watch names.
    daemon : str
        Name of this daemon.
    members : MembershipView
        View of the daemons to query.
    waits_for_dead : bool
        Whether a report also waits for daemons that membership considers dead.
    """

    def __init__(
        self,
        name: str,
        daemon: str,
        members: MembershipView,
        *,
        waits_for_dead: bool = True,
    ) -> None:
        self._waits_for_dead = waits_for_dead
        self._name = name
        self._daemon = daemon
        self._members = members
        self._watches: dict[str, _Watch] = {}
        self._number = 0

    @property
    def wakeup(self) -> float:
        """Time in seconds of the next query or deadline."""
        times = [min(item.due, item.deadline) for item in self._watches.values()]
        return min(times, default=NEVER)

    def start(self, call_id: int, index: int, deadline: float, now: float) -> None:
        """Start to query every member about a command.

        Parameters
        ----------
        call_id : int
            Call to answer with the report.
        index : int
            Index of the command in the replicated log.
        deadline : float
            Time in seconds at which the report is made even if answers are missing.
        now : float
            Time in seconds.
        """
        self._number += 1
        others = {member.name for member in self._members.members()} - {self._daemon}
        watch = _Watch(
            call_id, index, deadline, now, pending=others, confirmed={self._daemon}
        )
        self._watches[f"{self._name}/{self._number}"] = watch

    def handle_answer(self, source: str, answer: AppliedAnswer) -> None:
        """Record that a daemon has applied the command, if its answer says so."""
        watch = self._watches.get(answer.watch)
        if watch and answer.applied >= watch.index and source in watch.pending:
            watch.pending.discard(source)
            watch.confirmed.add(source)

    def make_queries(self, now: float) -> list[Effect]:
        """Return queries to the daemons that have not confirmed, with backoff."""
        effects: list[Effect] = []
        for name, watch in self._watches.items():
            if watch.due > now:
                continue
            watch.due = now + watch.interval
            watch.interval = min(2 * watch.interval, MAX_QUERY_INTERVAL_SECONDS)
            query = AppliedQuery(name, watch.index)
            effects += [SendPeer(daemon, query) for daemon in sorted(watch.pending)]
        return effects

    def pop_finished(self, now: float) -> Sequence[tuple[int, int, ApplyReport]]:
        """Remove each finished watch and return its call, index and report."""
        finished = []
        for name, watch in list(self._watches.items()):
            if now < watch.deadline and self._is_pending(watch):
                continue
            del self._watches[name]
            report = ApplyReport(sorted(watch.confirmed), sorted(watch.pending))
            finished.append((watch.call_id, watch.index, report))
        return finished

    def _is_pending(self, watch: _Watch) -> bool:
        if self._waits_for_dead or not watch.pending:
            return bool(watch.pending)
        alive = {member.name for member in self._members.members() if member.alive}
        return not watch.pending.isdisjoint(alive)
