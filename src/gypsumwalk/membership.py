"""Membership: daemons find each other, and notice each other's ends."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

import msgspec

from gypsumwalk.effects import Effect, Raise, Record, SendPeer
from gypsumwalk.events import Event
from gypsumwalk.inputs import Input, PeerInput, ShutdownRequested
from gypsumwalk.member_table import MemberNews, MemberStatus, MemberTable
from gypsumwalk.part import NEVER
from gypsumwalk.settings import Settings
from gypsumwalk.views import Member

__all__ = ["PEER_MESSAGES", "MembershipPart"]

PROBE_SECONDS = 1.0
ANSWER_SECONDS = 0.4
INDIRECT_SECONDS = 0.5
SUSPICION_SECONDS = 4.0
CORRELATED_SUSPICION_SECONDS = 30.0
CORRELATED_SHARE = 0.34
MIN_CORRELATED = 3
INDIRECT_PEERS = 2
EXCHANGE_SECONDS = 30.0
JOIN_SECONDS = 1.0
FORGET_SECONDS = 600.0


class Probe(msgspec.Struct, frozen=True, tag=True):
    """Asks a daemon for a sign of life.

    Attributes
    ----------
    number : int
        Number that the answer repeats.
    news : list of MemberNews
        News of daemons, the sender's own first.
    on_behalf : str
        Daemon that the answer is for, empty for the sender.
    """

    number: int
    news: list[MemberNews]
    on_behalf: str = ""


class ProbeAnswer(msgspec.Struct, frozen=True, tag=True):
    """Answer to a ``Probe``, also one that another daemon passed on."""

    number: int
    news: list[MemberNews]
    on_behalf: str = ""


class IndirectProbe(msgspec.Struct, frozen=True, tag=True):
    """Asks a daemon to probe a third one."""

    number: int
    target: str


class Exchange(msgspec.Struct, frozen=True, tag=True):
    """All that a daemon knows, sent rarely; ``reply`` asks for the same."""

    news: list[MemberNews]
    reply: bool


PEER_MESSAGES = (Probe, ProbeAnswer, IndirectProbe, Exchange)


@dataclass(slots=True)
class _Probing:
    target: str
    number: int
    indirect_due: float
    failed_due: float
    asked_others: bool = False


class MembershipPart:
    """View of all daemons, kept by probing one a second and by passing news on.

    Each daemon sends the same number of messages however many there are.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon, with the peers to begin from.
    random : Random
        Source of the order of probes.
    incarnation : int
        Incarnation of the daemon, higher after every start.
    """

    name = "membership"
    accepts: tuple[type, ...] = (*PEER_MESSAGES, ShutdownRequested)

    def __init__(self, *, settings: Settings, random: Random, incarnation: int) -> None:
        self._daemon = settings.name
        self._random = random
        self._incarnation = incarnation
        self._table = MemberTable()
        self._number = 0
        self._probing: _Probing | None = None
        self._rounds: list[str] = []
        self._probe_due = 0.0
        self._exchange_due = 0.0
        self._suspected: dict[str, float] = {}
        self._ended: dict[str, float] = {}
        self._seeds = [
            peer.name for peer in settings.peers if peer.name != self._daemon
        ]
        for peer in settings.peers:
            self._table.merge(
                MemberNews(
                    peer.name,
                    peer.data_centre,
                    peer.address,
                    peer.peer_port,
                    0,
                    0,
                    MemberStatus.UNKNOWN,
                )
            )
        self._table.merge(
            MemberNews(
                settings.name,
                settings.data_centre,
                settings.address,
                settings.peer_port,
                incarnation,
                0,
                MemberStatus.ALIVE,
            )
        )

    @property
    def incarnation(self) -> int:
        """Incarnation of this daemon, higher after every start."""
        return self._incarnation

    @property
    def wakeup(self) -> float:
        """Time in seconds at which ``advance`` is due next."""
        times = [self._probe_due, self._exchange_due]
        if probing := self._probing:
            due = probing.failed_due if probing.asked_others else probing.indirect_due
            times.append(due)
        times.append(self._find_suspicion_end())
        return min(times)

    def members(self) -> Sequence[Member]:
        """Return every known daemon, ordered by name, this one included."""
        return self._table.members()

    def find(self, name: str) -> Member | None:
        """Return one daemon, or None."""
        for member in self._table.members():
            if member.name == name:
                return member
        return None

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Take in a message, or the wish to leave."""
        if isinstance(item, ShutdownRequested):
            return self._leave(now)
        if not isinstance(item, PeerInput):
            return []
        source = item.source
        match item.body:
            case Probe() as body:
                effects = self._merge_all(body.news, now)
                news = self._make_news(source)
                answer = ProbeAnswer(body.number, news, body.on_behalf)
                return [*effects, SendPeer(source, answer)]
            case ProbeAnswer() as body:
                return self._take_answer(source, body, now)
            case IndirectProbe(number=number, target=target):
                probe = Probe(number, self._make_news(target), source)
                return [SendPeer(target, probe)]
            case Exchange() as body:
                effects = self._merge_all(body.news, now)
                if body.reply:
                    reply = Exchange(self._table.all(), reply=False)
                    effects.append(SendPeer(source, reply, reliable=True))
                return effects
        return []

    def advance(self, now: float) -> Sequence[Effect]:
        """Probe, suspect and exchange, as is due."""
        effects = self._check_probe(now)
        effects += self._end_suspected(now)
        if now >= self._probe_due:
            self._probe_due = now + PROBE_SECONDS
            effects += self._begin_probe(now)
            self._forget_ended(now)
        if now >= self._exchange_due:
            effects += self._begin_exchange(now)
        return effects

    def _leave(self, now: float) -> list[Effect]:
        own = self._own_news()
        leaving = msgspec.structs.replace(own, status=MemberStatus.LEAVING)
        effects = self._merge(leaving, now)
        others = self._list_reachable()
        probe = Probe(0, [leaving])
        return effects + [SendPeer(name, probe) for name in others]

    def _begin_probe(self, now: float) -> list[Effect]:
        target = self._choose_target()
        if not target:
            return []
        self._number += 1
        self._probing = _Probing(
            target, self._number, now + ANSWER_SECONDS, now + 2 * INDIRECT_SECONDS
        )
        return [SendPeer(target, Probe(self._number, self._make_news(target)))]

    def _choose_target(self) -> str:
        while self._rounds:
            name = self._rounds.pop()
            if self._is_probed(name):
                return name
        names = [news.name for news in self._table.all()]
        self._rounds = [name for name in names if self._is_probed(name)]
        self._random.shuffle(self._rounds)
        return self._rounds.pop() if self._rounds else ""

    def _is_probed(self, name: str) -> bool:
        news = self._table.get(name)
        if news is None or name == self._daemon:
            return False
        ended = (MemberStatus.DEAD, MemberStatus.LEFT)
        return news.status not in ended or name in self._seeds

    def _check_probe(self, now: float) -> list[Effect]:
        probing = self._probing
        if probing is None:
            return []
        if probing.asked_others:
            if now < probing.failed_due:
                return []
            self._probing = None
            return self._suspect(probing.target, now)
        if now < probing.indirect_due:
            return []
        probing.asked_others = True
        others = [name for name in self._list_reachable() if name != probing.target]
        chosen = self._random.sample(others, min(INDIRECT_PEERS, len(others)))
        request = IndirectProbe(probing.number, probing.target)
        return [SendPeer(name, request) for name in chosen]

    def _take_answer(self, source: str, body: ProbeAnswer, now: float) -> list[Effect]:
        effects = self._merge_all(body.news, now)
        if body.on_behalf and body.on_behalf != self._daemon:
            passed_on = ProbeAnswer(body.number, body.news, body.on_behalf)
            return [*effects, SendPeer(body.on_behalf, passed_on)]
        if self._probing and self._probing.number == body.number:
            self._probing = None
        return effects

    def _suspect(self, name: str, now: float) -> list[Effect]:
        news = self._table.get(name)
        suspected = (MemberStatus.ALIVE, MemberStatus.LEAVING)
        if news is None or news.status not in suspected:
            return []
        status = MemberStatus.SUSPECT
        if news.status is MemberStatus.LEAVING:
            status = MemberStatus.LEFT
        return self._merge(msgspec.structs.replace(news, status=status), now)

    def _end_suspected(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        wait = self._find_suspicion_time()
        for name, since in list(self._suspected.items()):
            if now < since + wait:
                continue
            del self._suspected[name]
            if news := self._table.get(name):
                dead = msgspec.structs.replace(news, status=MemberStatus.DEAD)
                effects += self._merge(dead, now)
        return effects

    def _find_suspicion_end(self) -> float:
        if not self._suspected:
            return NEVER
        return min(self._suspected.values()) + self._find_suspicion_time()

    def _find_suspicion_time(self) -> float:
        """Wait longer when many are suspect at once, as after a partition."""
        known = len(self._list_reachable()) + 1
        count = len(self._suspected)
        if count >= MIN_CORRELATED and count >= CORRELATED_SHARE * known:
            return CORRELATED_SUSPICION_SECONDS
        return SUSPICION_SECONDS

    def _begin_exchange(self, now: float) -> list[Effect]:
        others = self._list_reachable()
        self._exchange_due = now + EXCHANGE_SECONDS
        if not others:
            self._exchange_due = now + JOIN_SECONDS
            others = self._seeds
        if not others:
            return []
        chosen = self._random.choice(others)
        body = Exchange(self._table.all(), reply=True)
        return [SendPeer(chosen, body, reliable=True)]

    def _list_reachable(self) -> list[str]:
        members = self._table.members()
        return [
            member.name
            for member in members
            if member.alive and member.name != self._daemon
        ]

    def _forget_ended(self, now: float) -> None:
        for name, since in list(self._ended.items()):
            if now > since + FORGET_SECONDS and name not in self._seeds:
                del self._ended[name]
                self._table.forget(name)

    def _make_news(self, recipient: str) -> list[MemberNews]:
        chosen = [self._own_news(), *self._table.take_news()]
        about = self._table.get(recipient)
        if about is not None and about.status > MemberStatus.ALIVE:
            chosen.append(about)
        return list(dict.fromkeys(chosen))

    def _own_news(self) -> MemberNews:
        news = self._table.get(self._daemon)
        assert news is not None
        return news

    def _merge_all(self, items: list[MemberNews], now: float) -> list[Effect]:
        effects: list[Effect] = []
        for news in items:
            effects += self._merge(news, now)
        return effects

    def _merge(self, news: MemberNews, now: float) -> list[Effect]:
        if news.name == self._daemon:
            return self._refute(news)
        change = self._table.merge(news)
        if change is None:
            return []
        self._suspected.pop(news.name, None)
        self._ended.pop(news.name, None)
        if news.status is MemberStatus.SUSPECT:
            self._suspected[news.name] = now
        if news.status in (MemberStatus.DEAD, MemberStatus.LEFT):
            self._ended[news.name] = now
        detail = {"change": change.change.value, "incarnation": change.incarnation}
        return [Record(Event.MEMBER_CHANGED, news.name, detail), Raise(change)]

    def _refute(self, news: MemberNews) -> list[Effect]:
        own = self._own_news()
        if news.incarnation != own.incarnation or news.order <= own.order:
            return []
        status = own.status
        if news.status is MemberStatus.LEAVING:
            status = MemberStatus.LEAVING
        refuted = msgspec.structs.replace(
            own, refutation=news.refutation + 1, status=status
        )
        self._table.merge(refuted)
        return []
