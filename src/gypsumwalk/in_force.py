"""Reports, daemon by daemon, of whether a committed command is applied."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from gypsumwalk.effects import Effect, SendPeer
from gypsumwalk.part import NEVER
from gypsumwalk.views import MembershipView

__all__ = ["PEER_MESSAGES", "AppliedAnswer", "AppliedQuery", "InForce", "Report"]

FIRST_QUERY_SECONDS = 0.02
LAST_QUERY_SECONDS = 0.32


class AppliedQuery(msgspec.Struct, frozen=True, tag=True):
    """Asks a daemon whether it has applied an entry of the log."""

    watch: str
    index: int


class AppliedAnswer(msgspec.Struct, frozen=True, tag=True):
    """Answer to ``AppliedQuery``: the last entry applied."""

    watch: str
    applied: int


PEER_MESSAGES = (AppliedQuery, AppliedAnswer)


class Report(msgspec.Struct, frozen=True):
    """What is known of a committed command on every daemon.

    Attributes
    ----------
    in_force : list of str
        Daemons that have applied it.
    unreachable : list of str
        Daemons that did not say so in time.
    """

    in_force: list[str]
    unreachable: list[str]


@dataclass(slots=True)
class _Watch:
    call_id: int
    index: int
    deadline: float
    due: float
    interval: float = FIRST_QUERY_SECONDS
    waiting: set[str] = field(default_factory=set)
    done: set[str] = field(default_factory=set)


class InForce:
    """Watches of one part.

    Parameters
    ----------
    name : str
        Name of the part.
    daemon : str
        Name of the daemon.
    members : MembershipView
        The daemons to ask.
    waits_for_ended : bool
        Whether a report waits for daemons that membership holds for ended.
    """

    def __init__(
        self,
        name: str,
        daemon: str,
        members: MembershipView,
        *,
        waits_for_ended: bool = True,
    ) -> None:
        self._waits_for_ended = waits_for_ended
        self._name = name
        self._daemon = daemon
        self._members = members
        self._watches: dict[str, _Watch] = {}
        self._number = 0

    @property
    def wakeup(self) -> float:
        """Time in seconds at which to ask again, or to give up."""
        times = [min(item.due, item.deadline) for item in self._watches.values()]
        return min(times, default=NEVER)

    def begin(self, call_id: int, index: int, deadline: float, now: float) -> None:
        """Begin to ask every daemon that is not known to have left.

        Parameters
        ----------
        call_id : int
            Call to answer with the report.
        index : int
            Index of the command.
        deadline : float
            Time in seconds at which the report is made in any case.
        now : float
            Time in seconds.
        """
        self._number += 1
        others = {member.name for member in self._members.members()} - {self._daemon}
        watch = _Watch(
            call_id, index, deadline, now, waiting=others, done={self._daemon}
        )
        self._watches[f"{self._name}/{self._number}"] = watch

    def take_answer(self, source: str, answer: AppliedAnswer) -> None:
        """Take in a daemon's answer."""
        watch = self._watches.get(answer.watch)
        if watch and answer.applied >= watch.index and source in watch.waiting:
            watch.waiting.discard(source)
            watch.done.add(source)

    def ask(self, now: float) -> list[Effect]:
        """Ask those that have not answered, where that is due."""
        effects: list[Effect] = []
        for name, watch in self._watches.items():
            if watch.due > now:
                continue
            watch.due = now + watch.interval
            watch.interval = min(2 * watch.interval, LAST_QUERY_SECONDS)
            query = AppliedQuery(name, watch.index)
            effects += [SendPeer(daemon, query) for daemon in sorted(watch.waiting)]
        return effects

    def take_finished(self, now: float) -> Sequence[tuple[int, int, Report]]:
        """Return call, index and report of each watch that has ended."""
        finished = []
        for name, watch in list(self._watches.items()):
            if now < watch.deadline and self._is_open(watch):
                continue
            del self._watches[name]
            report = Report(sorted(watch.done), sorted(watch.waiting))
            finished.append((watch.call_id, watch.index, report))
        return finished

    def _is_open(self, watch: _Watch) -> bool:
        if self._waits_for_ended or not watch.waiting:
            return bool(watch.waiting)
        alive = {member.name for member in self._members.members() if member.alive}
        return not watch.waiting.isdisjoint(alive)
