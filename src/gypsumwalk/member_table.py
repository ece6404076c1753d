"""Member table of a daemon, and the rules that merge updates into it."""

from collections import deque
from enum import IntEnum

import msgspec

from gypsumwalk.inputs import MemberChange, MembershipChanged
from gypsumwalk.views import Member

__all__ = ["ENDED_STATUSES", "MemberStatus", "MemberTable", "MemberUpdate"]

MAX_MEMBERS = 512
UPDATE_TRANSMISSIONS = 6
MAX_UPDATES_PER_MESSAGE = 8


class MemberStatus(IntEnum):
    """State of a daemon; higher values override lower ones of the same incarnation."""

    UNKNOWN = 0
    ALIVE = 1
    LEAVING = 2
    SUSPECT = 3
    DEAD = 4
    LEFT = 5


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """State of a daemon, as gossiped between daemons.

    Attributes
    ----------
    name : str
        Name of the daemon.
    data_centre : str
        Data centre of the daemon.
    address : str
        IP address.
    peer_port : int
        Port for messages of other daemons.
    incarnation : int
        Incarnation, higher after every start.
    refutation : int
        Number of times that this incarnation has refuted a report of its failure.
    status : MemberStatus
        State of the daemon.
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
        """Sort key among the updates of one daemon; the greatest is the latest."""
        return self.incarnation, self.refutation, self.status


CHANGE_BY_STATUS = {
    MemberStatus.ALIVE: MemberChange.ALIVE,
    MemberStatus.SUSPECT: MemberChange.SUSPECT,
    MemberStatus.DEAD: MemberChange.DEAD,
    MemberStatus.LEAVING: MemberChange.LEFT,
    MemberStatus.LEFT: MemberChange.LEFT,
}
ENDED_STATUSES = (MemberStatus.DEAD, MemberStatus.LEFT)
REACHABLE_STATUSES = (MemberStatus.ALIVE, MemberStatus.LEAVING, MemberStatus.SUSPECT)


class MemberTable:
    """Latest update of every daemon, and the queue of updates to gossip."""

    def __init__(self) -> None:
        self._updates: dict[str, MemberUpdate] = {}
        self._forgotten: dict[str, MemberUpdate] = {}
        self._members: list[Member] | None = None
        self._pending_updates: deque[list[int | str]] = deque()

    def get(self, name: str) -> MemberUpdate | None:
        """Return the latest update of a daemon, or None."""
        return self._updates.get(name)

    def list_updates(self) -> list[MemberUpdate]:
        """Return the latest update of every daemon, ordered by name."""
        return [self._updates[name] for name in sorted(self._updates)]

    def list_members(self) -> list[Member]:
        """Return every daemon, ordered by name."""
        if self._members is None:
            self._members = [to_member(update) for update in self.list_updates()]
        return self._members

    def merge(self, update: MemberUpdate) -> MembershipChanged | None:
        """Merge an update of a daemon; an outdated one is ignored.

        Parameters
        ----------
        update : MemberUpdate
            The update.

        Returns
        -------
        MembershipChanged or None
            Change of the daemon's state, or None if it has not changed.
        """
        known = self._updates.get(update.name)
        if known is None and len(self._updates) >= MAX_MEMBERS:
            return None
        if known is not None and update.order <= known.order:
            return None
        if known is None and self._is_forgotten(update):
            return None
        self._forgotten.pop(update.name, None)
        self._updates[update.name] = update
        self._members = None
        self._queue_update(update.name)
        is_same_incarnation = (
            known is not None and known.incarnation == update.incarnation
        )
        if known and is_same_incarnation and known.status is update.status:
            return None
        change = CHANGE_BY_STATUS.get(update.status)
        if change is None:
            return None
        return MembershipChanged(update.name, change, update.incarnation)

    def forget(self, name: str) -> None:
        """Remove a daemon that has ended.

        Others remove it later, and still gossip its end until then.
        """
        if update := self._updates.pop(name, None):
            self._forgotten[name] = update
        if len(self._forgotten) > MAX_MEMBERS:
            del self._forgotten[next(iter(self._forgotten))]
        self._members = None

    def take_updates(self) -> list[MemberUpdate]:
        """Return the updates for the next message, the least recently sent first.

        Each update is sent in ``UPDATE_TRANSMISSIONS`` messages.
        """
        chosen = []
        for _ in range(min(MAX_UPDATES_PER_MESSAGE, len(self._pending_updates))):
            item = self._pending_updates.popleft()
            name, left = str(item[0]), int(item[1])
            if update := self._updates.get(name):
                chosen.append(update)
            if left > 1:
                self._pending_updates.append([name, left - 1])
        return chosen

    def _is_forgotten(self, update: MemberUpdate) -> bool:
        """Tell whether an update repeats the end of a daemon that was removed."""
        forgotten = self._forgotten.get(update.name)
        is_ended = update.status in ENDED_STATUSES
        return is_ended and forgotten is not None and update.order <= forgotten.order

    def _queue_update(self, name: str) -> None:
        rest = [item for item in self._pending_updates if item[0] != name]
        self._pending_updates = deque([[name, UPDATE_TRANSMISSIONS], *rest])


def to_member(update: MemberUpdate) -> Member:
    """Return the view of a member that other parts use."""
    return Member(
        update.name,
        update.data_centre,
        update.address,
        update.peer_port,
        update.incarnation,
        alive=update.status in REACHABLE_STATUSES,
        leaving=update.status is MemberStatus.LEAVING,
    )
