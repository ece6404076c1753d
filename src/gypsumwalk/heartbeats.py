"""Heartbeats of workers, as the leader hears them, and their way to the leader."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

import msgspec

from gypsumwalk.effects import Answer, Effect, Respond, SendPeer
from gypsumwalk.inputs import CallInput, Input, PeerInput
from gypsumwalk.part import NEVER
from gypsumwalk.platform import ENDPOINTS, ReportWorkers, WorkerReport
from gypsumwalk.problems import Outcome, ProblemType, refuse
from gypsumwalk.settings import Settings
from gypsumwalk.views import LeadershipView

__all__ = [
    "ENDPOINTS",
    "LOSS_SECONDS",
    "PEER_MESSAGES",
    "SILENCE_SECONDS",
    "HeartbeatPart",
    "HeartbeatTable",
    "ReportTaken",
    "WorkersReported",
    "read_reports",
]

SILENCE_SECONDS = 5.0
"""Seconds without a heartbeat after which an instance is not relied on."""
LOSS_SECONDS = 12.0
"""Seconds without a heartbeat after which an instance counts as lost."""


class WorkersReported(msgspec.Struct, frozen=True, tag=True):
    """Reports of workers, passed on to the leader."""

    workers: list[WorkerReport]


class ReportTaken(msgspec.Struct, frozen=True):
    """Answer to a report.

    Attributes
    ----------
    leader : str
        Daemon that the report was passed to.
    """

    leader: str


PEER_MESSAGES = (WorkersReported,)


def read_reports(item: Input) -> Sequence[WorkerReport]:
    """Return the workers' reports that an input carries, or none."""
    match item:
        case CallInput(body=ReportWorkers(workers=workers)):
            return workers
        case PeerInput(body=WorkersReported(workers=workers)):
            return workers
    return ()


class HeartbeatTable:
    """When the leader last heard each instance, by its own clock."""

    def __init__(self) -> None:
        self._heard: OrderedDict[str, float] = OrderedDict()
        self._rebooted: dict[str, None] = {}
        self._boots: dict[str, int] = {}
        self._excused: dict[str, float] = {}
        self._since = 0.0

    def reset(self, now: float) -> None:
        """Forget everything, as this daemon has just become the leader."""
        self._heard.clear()
        self._excused.clear()
        self._since = now

    def hear(self, report: WorkerReport, now: float) -> None:
        """Take in one heartbeat."""
        name = report.instance
        self._heard[name] = now
        self._heard.move_to_end(name)
        if report.boots != self._boots.get(name, report.boots):
            self._rebooted[name] = None
        self._boots[name] = report.boots

    def excuse(self, instance: str, now: float) -> None:
        """Count the silence of an instance that reboots from now on only."""
        self._excused[instance] = now

    def forget(self, instance: str) -> None:
        """Forget an instance that is no longer declared."""
        self._heard.pop(instance, None)
        self._boots.pop(instance, None)
        self._excused.pop(instance, None)

    def find_boots(self, instance: str) -> int:
        """Return how often an instance has booted, as it last said."""
        return self._boots.get(instance, 0)

    def is_silent(self, instance: str, now: float) -> bool:
        """Tell whether an instance was not heard of lately by this leader."""
        heard = self._heard.get(instance)
        return heard is None or now - heard > SILENCE_SECONDS

    def is_lost(self, instance: str, now: float) -> bool:
        """Tell whether an instance was silent for so long that it is lost."""
        heard = self._heard.get(instance, self._since)
        heard = max(heard, self._excused.get(instance, heard))
        return now - heard > LOSS_SECONDS

    def list_overdue(self, now: float) -> list[str]:
        """Return the instances heard once whose last heartbeat is long ago."""
        overdue = []
        for name, heard in self._heard.items():
            if now - heard <= LOSS_SECONDS:
                break
            overdue.append(name)
        return overdue

    def take_rebooted(self) -> list[str]:
        """Return the instances that have booted since the last time."""
        names = list(self._rebooted)
        self._rebooted.clear()
        return names

    def list_silent(self, instances: Iterable[str], now: float) -> list[str]:
        """Return those instances that were not heard of lately."""
        return [name for name in instances if self.is_silent(name, now)]


class HeartbeatPart:
    """Takes workers' reports on any daemon and passes them to the leader.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon.
    leadership : LeadershipView
        Who leads.
    table : HeartbeatTable
        Heartbeats, filled while this daemon leads.
    """

    name = "heartbeats"
    accepts = (ReportWorkers, WorkersReported)
    wakeup = NEVER

    def __init__(
        self,
        *,
        settings: Settings,
        leadership: LeadershipView,
        table: HeartbeatTable,
    ) -> None:
        self._daemon = settings.name
        self._leadership = leadership
        self._table = table

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Take in one input.

        Parameters
        ----------
        item : Input
            The input.
        now : float
            Time in seconds.

        Returns
        -------
        Sequence[Effect]
            Answer to the worker, and the reports for the leader.
        """
        reports = read_reports(item)
        leader = self._leadership.leader
        if leader == self._daemon:
            for report in reports:
                self._table.hear(report, now)
        if not isinstance(item, CallInput):
            return []
        if not leader:
            detail = "no leader is known"
            refusal = refuse(ProblemType.NO_QUORUM, Outcome.NOT_RUN, detail)
            return [Respond(item.call_id, refusal)]
        effects: list[Effect] = [
            Respond(item.call_id, Answer(200, ReportTaken(leader)))
        ]
        if leader != self._daemon:
            body = WorkersReported(list(reports))
            effects.append(SendPeer(leader, body, reliable=True))
        return effects

    def advance(self, now: float) -> Sequence[Effect]:
        """Do nothing; the part waits for reports only."""
        return []
