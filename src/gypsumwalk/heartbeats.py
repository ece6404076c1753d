"""Worker heartbeats: forwarding to the leader, and failure detection there."""

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
    "LOSS_TIMEOUT_SECONDS",
    "PEER_MESSAGES",
    "UNRESPONSIVE_SECONDS",
    "HeartbeatReceiver",
    "HeartbeatTable",
    "ReportReceipt",
    "WorkersReported",
    "extract_reports",
]

UNRESPONSIVE_SECONDS = 5.0
"""Time without a heartbeat after which an instance counts as unresponsive."""
LOSS_TIMEOUT_SECONDS = 12.0
"""Time without a heartbeat after which an instance counts as lost."""


class WorkersReported(msgspec.Struct, frozen=True, tag=True):
    """Worker reports forwarded to the leader."""

    workers: list[WorkerReport]


class ReportReceipt(msgspec.Struct, frozen=True):
    """Answer to worker reports.

    Attributes
    ----------
    leader : str
        Daemon that the reports were forwarded to.
    """

    leader: str


PEER_MESSAGES = (WorkersReported,)


def extract_reports(item: Input) -> Sequence[WorkerReport]:
    """Return the worker reports of an input, if any."""
    match item:
        case CallInput(body=ReportWorkers(workers=workers)):
            return workers
        case PeerInput(body=WorkersReported(workers=workers)):
            return workers
    return ()


class HeartbeatTable:
    """Last heartbeat and boot count of each instance, by the leader's clock."""

    def __init__(self) -> None:
        self._last_heartbeat_at: OrderedDict[str, float] = OrderedDict()
        self._rebooted: dict[str, None] = {}
        self._boots: dict[str, int] = {}
        self._timeout_restarted_at: dict[str, float] = {}
        self._leading_since = 0.0

    def reset(self, now: float) -> None:
        """Clear the heartbeats when this daemon becomes the leader.

        Loss timeouts start at ``now``; boot counts are kept.
        """
        self._last_heartbeat_at.clear()
        self._timeout_restarted_at.clear()
        self._leading_since = now

    def record_report(self, report: WorkerReport, now: float) -> None:
        """Record one heartbeat, and a reboot if the boot count changed."""
        name = report.instance
        self._last_heartbeat_at[name] = now
        self._last_heartbeat_at.move_to_end(name)
        if report.boots != self._boots.get(name, report.boots):
            self._rebooted[name] = None
        self._boots[name] = report.boots

    def restart_timeout(self, instance: str, now: float) -> None:
        """Restart the loss timeout of an instance that reboots."""
        self._timeout_restarted_at[instance] = now

    def remove(self, instance: str) -> None:
        """Remove an instance that is no longer declared."""
        self._last_heartbeat_at.pop(instance, None)
        self._boots.pop(instance, None)
        self._timeout_restarted_at.pop(instance, None)

    def find_boots(self, instance: str) -> int:
        """Return the last reported boot count of an instance, 0 if unknown."""
        return self._boots.get(instance, 0)

    def is_unresponsive(self, instance: str, now: float) -> bool:
        """Return whether an instance has sent no heartbeat recently."""
        last_heartbeat_at = self._last_heartbeat_at.get(instance)
        return (
            last_heartbeat_at is None or now - last_heartbeat_at > UNRESPONSIVE_SECONDS
        )

    def is_lost(self, instance: str, now: float) -> bool:
        """Return whether the loss timeout of an instance has expired."""
        started_at = self._last_heartbeat_at.get(instance, self._leading_since)
        started_at = max(
            started_at, self._timeout_restarted_at.get(instance, started_at)
        )
        return now - started_at > LOSS_TIMEOUT_SECONDS

    def list_timed_out(self, now: float) -> list[str]:
        """Return the instances whose last heartbeat is older than the loss timeout.

        Instances that have sent no heartbeat since the last reset are not included.
        """
        timed_out = []
        for name, last_heartbeat_at in self._last_heartbeat_at.items():
            if now - last_heartbeat_at <= LOSS_TIMEOUT_SECONDS:
                break
            timed_out.append(name)
        return timed_out

    def pop_rebooted(self) -> list[str]:
        """Return the instances that rebooted since the previous call."""
        names = list(self._rebooted)
        self._rebooted.clear()
        return names

    def list_unresponsive(self, instances: Iterable[str], now: float) -> list[str]:
        """Return the given instances that have sent no heartbeat recently."""
        return [name for name in instances if self.is_unresponsive(name, now)]


class HeartbeatReceiver:
    """Receives worker reports on any daemon and forwards them to the leader.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon.
    leadership : LeadershipView
        Current leadership.
    table : HeartbeatTable
        Heartbeats, recorded while this daemon leads.
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
        """Handle one input.

        Parameters
        ----------
        item : Input
            The input.
        now : float
            Time in seconds.

        Returns
        -------
        Sequence[Effect]
            Answer to the worker, and a message that forwards the reports.
        """
        reports = extract_reports(item)
        leader = self._leadership.leader
        if leader == self._daemon:
            for report in reports:
                self._table.record_report(report, now)
        if not isinstance(item, CallInput):
            return []
        if not leader:
            detail = "no leader is known"
            refusal = refuse(ProblemType.NO_QUORUM, Outcome.NOT_RUN, detail)
            return [Respond(item.call_id, refusal)]
        effects: list[Effect] = [
            Respond(item.call_id, Answer(200, ReportReceipt(leader)))
        ]
        if leader != self._daemon:
            body = WorkersReported(list(reports))
            effects.append(SendPeer(leader, body, reliable=True))
        return effects

    def advance(self, now: float) -> Sequence[Effect]:
        """Return no effects; only reports drive this part."""
        return []
