"""Checks whether lives of instances that were removed go on."""

from collections.abc import Sequence

from gypsumwalk.dispatcher import Dispatcher
from gypsumwalk.effects import CallPlatform, Effect, Propose, Record, Scalar
from gypsumwalk.events import Event
from gypsumwalk.inputs import Input, PlatformOutcome
from gypsumwalk.instance_actions import InstanceReport, RenewLease
from gypsumwalk.part import NEVER
from gypsumwalk.run_orders import CALL_SECONDS
from gypsumwalk.workload_records import RegisteredInstance, RegisterInstance

__all__ = ["LifeChecks"]

CHECK_SECONDS = 1.0
"""Interval of the calls to one life; an instance sends a heartbeat every 1.5 s."""

PROPOSAL_SECONDS = 2.0
"""Timeout of a proposal; the next heartbeat leads to a new one."""


class LifeChecks:
    """Part that asks instances which of their lives goes on, while this daemon leads.

    A heartbeat does not show that its sender is up, as it may arrive late. An answer of
    the instance itself does.

    Parameters
    ----------
    dispatcher : Dispatcher
        Leadership of this daemon, and its latest fence.
    """

    name = "lives"
    accepts: tuple[type, ...] = ()
    wakeup = NEVER

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._open_checks: dict[str, RegisteredInstance] = {}
        """Registration to restore if the instance confirms it, by the call's token."""
        self._checked_at: dict[str, float] = {}
        self._count = 0

    def check(self, registered: RegisteredInstance, now: float) -> list[Effect]:
        """Ask an instance whether a removed life that was heard from goes on.

        Parameters
        ----------
        registered : RegisteredInstance
            The life as it announced itself.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            The call; empty if this daemon does not lead or has just asked.
        """
        if not self._dispatcher.is_leading(now):
            return []
        self._forget_old_checks(now)
        if registered.life in self._checked_at:
            return []
        self._checked_at[registered.life] = now
        self._count += 1
        token = f"{self.name}/check/{self._count}"
        self._open_checks[token] = registered
        action = RenewLease(
            registered.instance,
            registered.address,
            self._dispatcher.latest_fence,
            acknowledged=0,
            lease_until=None,
            wait=0.0,
        )
        return [CallPlatform(token, action, CALL_SECONDS)]

    def handle(self, item: Input, now: float) -> Sequence[Effect]:
        """Propose to register a life again if it has answered."""
        if not isinstance(item, PlatformOutcome):
            return []
        registered = self._open_checks.pop(item.token, None)
        if registered is None or not _has_answered(registered, item):
            return []
        attributes: dict[str, Scalar] = {"address": registered.address}
        token = f"{self.name}/return/{registered.life}"
        command = RegisterInstance(registered, has_answered=True)
        return [
            Record(Event.INSTANCE_RETURNED, registered.life, attributes),
            Propose(token, command, PROPOSAL_SECONDS),
        ]

    def advance(self, now: float) -> Sequence[Effect]:
        """Do nothing, as this part has no timers."""
        return []

    def _forget_old_checks(self, now: float) -> None:
        for life, checked_at in list(self._checked_at.items()):
            if now - checked_at < CHECK_SECONDS:
                return
            del self._checked_at[life]


def _has_answered(registered: RegisteredInstance, item: PlatformOutcome) -> bool:
    report = item.report
    if not isinstance(report, InstanceReport) or report.refused == "identity":
        return False
    return report.born == registered.born
