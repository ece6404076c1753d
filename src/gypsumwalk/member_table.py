"""Table of the daemons as one of them knows it, and how news of them merges."""

from collections import deque
from enum import IntEnum

import msgspec

from gypsumwalk.inputs import MemberChange, MembershipChanged
from gypsumwalk.views import Member

__all__ = ["MemberNews", "MemberStatus", "MemberTable"]

MAX_MEMBERS = 512
NEWS_REPEATS = 6
MAX_NEWS = 8


class MemberStatus(IntEnum):
    """State of a daemon; a later one wins over an earlier one of the same life."""

    UNKNOWN = 0
    ALIVE = 1
    LEAVING = 2
    SUSPECT = 3
    DEAD = 4
    LEFT = 5


class MemberNews(msgspec.Struct, frozen=True, array_like=True):
    """What one daemon says of another.

    Attributes
    ----------
    name : str
        Name of the daemon.
    data_centre : str
        Data centre that it stands in.
    address : str
        IP number.
    peer_port : int
        Port for other daemons.
    incarnation : int
        Incarnation, higher after every start.
    refutation : int
        How often this incarnation has contradicted news of its end.
    status : MemberStatus
        Its state.
    """

    name: str
    data_centre: str
    address: str
    peer_port: int
    incarnation: int
    refutation: int
    status: MemberStatus

    @property
    def order(self) -> tuple[int, int, int]:
        """Place of the news among all news of the daemon."""
        return self.incarnation, self.refutation, self.status


CHANGES = {
    MemberStatus.ALIVE: MemberChange.ALIVE,
    MemberStatus.SUSPECT: MemberChange.SUSPECT,
    MemberStatus.DEAD: MemberChange.DEAD,
    MemberStatus.LEAVING: MemberChange.LEFT,
    MemberStatus.LEFT: MemberChange.LEFT,
}
REACHABLE = (MemberStatus.ALIVE, MemberStatus.LEAVING, MemberStatus.SUSPECT)


class MemberTable:
    """Latest news of every daemon, and which of it is still to be passed on."""

    def __init__(self) -> None:
        self._news: dict[str, MemberNews] = {}
        self._members: list[Member] | None = None
        self._spreading: deque[list[int | str]] = deque()

    def get(self, name: str) -> MemberNews | None:
        """Return the latest news of a daemon."""
        return self._news.get(name)

    def all(self) -> list[MemberNews]:
        """Return the latest news of every daemon, ordered by name."""
        return [self._news[name] for name in sorted(self._news)]

    def members(self) -> list[Member]:
        """Return every daemon, ordered by name."""
        if self._members is None:
            self._members = [to_member(news) for news in self.all()]
        return self._members

    def merge(self, news: MemberNews) -> MembershipChanged | None:
        """Take in news of a daemon; older news is passed over.

        Parameters
        ----------
        news : MemberNews
            The news.

        Returns
        -------
        MembershipChanged or None
            The change, if there is one.
        """
        known = self._news.get(news.name)
        if known is None and len(self._news) >= MAX_MEMBERS:
            return None
        if known is not None and news.order <= known.order:
            return None
        self._news[news.name] = news
        self._members = None
        self._spread(news.name)
        same_life = known is not None and known.incarnation == news.incarnation
        if known and same_life and known.status is news.status:
            return None
        change = CHANGES.get(news.status)
        if change is None:
            return None
        return MembershipChanged(news.name, change, news.incarnation)

    def forget(self, name: str) -> None:
        """Drop a daemon that ended long ago."""
        self._news.pop(name, None)
        self._members = None

    def take_news(self) -> list[MemberNews]:
        """Return the news to send with the next message, the least told first."""
        chosen = []
        for _ in range(min(MAX_NEWS, len(self._spreading))):
            item = self._spreading.popleft()
            name, left = str(item[0]), int(item[1])
            if news := self._news.get(name):
                chosen.append(news)
            if left > 1:
                self._spreading.append([name, left - 1])
        return chosen

    def _spread(self, name: str) -> None:
        rest = [item for item in self._spreading if item[0] != name]
        self._spreading = deque([[name, NEWS_REPEATS], *rest])


def to_member(news: MemberNews) -> Member:
    """Return the view of a daemon that other parts take."""
    return Member(
        news.name,
        news.data_centre,
        news.address,
        news.peer_port,
        news.incarnation,
        alive=news.status in REACHABLE,
        leaving=news.status is MemberStatus.LEAVING,
    )
