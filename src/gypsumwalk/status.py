"""Status of a daemon and of its view of the system, for operators."""

from collections.abc import Sequence

import msgspec

from gypsumwalk.effects import Answer, Effect, Respond
from gypsumwalk.endpoints import Audience, BodyKind, Endpoint
from gypsumwalk.inputs import CallInput, Input
from gypsumwalk.part import NEVER
from gypsumwalk.settings import Settings
from gypsumwalk.state import ReplicatedState
from gypsumwalk.views import FolderView, LeadershipView, MembershipView

__all__ = ["ENDPOINTS", "DaemonStatus", "ShowStatus", "Status", "StatusPart"]


class ShowStatus(msgspec.Struct, frozen=True, tag=True):
    """Operator call: read the status of a daemon."""


class DaemonStatus(msgspec.Struct, frozen=True):
    """Status of one daemon in the membership view of the answering daemon."""

    name: str
    data_centre: str
    incarnation: int
    alive: bool
    leaving: bool


class Status(msgspec.Struct, frozen=True):
    """Status of the answering daemon.

    Attributes
    ----------
    name : str
        Name of the daemon.
    data_centre : str
        Data centre of the daemon.
    incarnation : int
        Incarnation, which rises with every start.
    leader : str
        Last known leader of the replicated log, or empty.
    applied : int
        Index of the last entry applied.
    generation : int
        Generation of the configuration in force.
    daemons : list of DaemonStatus
        Known daemons.
    """

    name: str
    data_centre: str
    incarnation: int
    leader: str
    applied: int
    generation: int
    daemons: list[DaemonStatus]


ENDPOINTS = (
    Endpoint("GET", "/v1/status", ShowStatus, Audience.OPERATOR, BodyKind.NONE),
)


class StatusPart:
    """Handles status calls.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon.
    state : ReplicatedState
        The replicated state.
    folder : FolderView
        Configuration in force.
    leadership : LeadershipView
        Leadership of the replicated log.
    membership : MembershipView
        View of the daemons.
    """

    name = "status"
    accepts = (ShowStatus,)
    wakeup = NEVER

    def __init__(
        self,
        *,
        settings: Settings,
        state: ReplicatedState,
        folder: FolderView,
        leadership: LeadershipView,
        membership: MembershipView,
    ) -> None:
        self._settings = settings
        self._state = state
        self._folder = folder
        self._leadership = leadership
        self._membership = membership

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Answer a status call."""
        if not isinstance(item, CallInput):
            return []
        return [Respond(item.call_id, Answer(200, self._make_status()))]

    def advance(self, now: float) -> Sequence[Effect]:
        """Return no effects, as the part has no timers."""
        return []

    def _make_status(self) -> Status:
        daemons = [
            DaemonStatus(
                member.name,
                member.data_centre,
                member.incarnation,
                member.alive,
                member.leaving,
            )
            for member in self._membership.members()
        ]
        return Status(
            name=self._settings.name,
            data_centre=self._settings.data_centre,
            incarnation=self._membership.incarnation,
            leader=self._leadership.leader,
            applied=self._state.applied,
            generation=self._folder.generation,
            daemons=daemons,
        )
