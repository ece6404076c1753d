"""Quarantine of failing workers, and health probes that release them."""

import msgspec

from gypsumwalk._platform_calls import PendingCalls
from gypsumwalk._proposals import PendingProposals
from gypsumwalk.effects import Effect
from gypsumwalk.failure_attribution import FailureAttribution
from gypsumwalk.heartbeats import HeartbeatTable
from gypsumwalk.instances import InstanceRecord, InstanceState
from gypsumwalk.platform import InstanceHealth, ProbeInstance
from gypsumwalk.pool_commands import QuarantineInstance, ReleaseInstance
from gypsumwalk.pools import PoolSection

__all__ = ["QuarantineController"]

FIRST_PROBE_DELAY_SECONDS = 30.0
"""Seconds before the first probe in quarantine; doubled after each probe."""
SUSPECT_PROBE_INTERVAL_SECONDS = 10.0
"""Seconds between probes of an instance suspected but not quarantined, and after a
probe that was not answered."""
MAX_PROBE_INTERVAL_SECONDS = 600.0
"""Upper bound in seconds of the backoff between probes in quarantine."""


class QuarantineController:
    """Quarantines failing instances and releases healthy ones, on the leader.

    Parameters
    ----------
    pools : PoolSection
        Instances and their pools.
    heartbeats : HeartbeatTable
        Time of the last heartbeat of each instance.
    failures : FailureAttribution
        Failure evidence against workers.
    proposals : PendingProposals
        Pending proposals of the owning part.
    calls : PendingCalls
        Pending platform calls of the owning part.
    """

    def __init__(
        self,
        pools: PoolSection,
        heartbeats: HeartbeatTable,
        failures: FailureAttribution,
        proposals: PendingProposals,
        calls: PendingCalls,
    ) -> None:
        self._pools = pools
        self._heartbeats = heartbeats
        self._failures = failures
        self._proposals = proposals
        self._calls = calls
        self._quarantined: set[str] = set()
        self._probe_at: dict[str, float] = {}
        self._probe_interval: dict[str, float] = {}
        self._probes = 0

    def reset(self) -> None:
        """Discard local state and reload the quarantined instances."""
        self._probe_at.clear()
        self._probe_interval.clear()
        records = self._pools.list_by_state(InstanceState.QUARANTINED)
        self._quarantined = {record.name for record in records}

    def record_command(self, command: msgspec.Struct) -> None:
        """Record the instance of a committed quarantine command."""
        if isinstance(command, QuarantineInstance):
            self._quarantined.add(command.instance)

    def advance(self, now: float) -> list[Effect]:
        """Propose quarantines, and probe suspected and quarantined instances.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Proposals, and calls to the platform.
        """
        effects: list[Effect] = []
        for name in self._failures.list_quarantine_candidates():
            record = self._pools.find(name)
            if record is not None and record.is_available:
                effects += self._quarantine(record, now)
        for name in sorted(self._quarantined):
            effects += self._probe_quarantined(name, now)
        for name in self._failures.list_probe_candidates():
            effects += self._probe_suspect(name, now)
        return effects

    def _probe_suspect(self, name: str, now: float) -> list[Effect]:
        if now < self._probe_at.get(name, now) or not self._is_serving(name, now):
            return []
        self._probe_at[name] = now + SUSPECT_PROBE_INTERVAL_SECONDS
        return self._send_probe(name, now)

    def _quarantine(self, record: InstanceRecord, now: float) -> list[Effect]:
        members = self._pools.list_members(record.pool)
        unresponsive = self._heartbeats.list_unresponsive(members, now)
        unavailable_count = self._pools.count_unavailable(record.pool, unresponsive)
        if unavailable_count + 1 > self._pools.find_budget(record.pool):
            return []
        reason = "jobs that run elsewhere failed on it, or its health probe failed"
        command = QuarantineInstance(record.name, reason, unresponsive)
        return self._proposals.propose(f"quarantine/{record.name}", command)

    def _probe_quarantined(self, name: str, now: float) -> list[Effect]:
        record = self._pools.find(name)
        if record is None or record.state is not InstanceState.QUARANTINED:
            self._forget(name)
            return []
        due = self._probe_at.setdefault(name, now + FIRST_PROBE_DELAY_SECONDS)
        if now < due:
            return []
        interval = min(
            2 * self._probe_interval.get(name, FIRST_PROBE_DELAY_SECONDS),
            MAX_PROBE_INTERVAL_SECONDS,
        )
        self._probe_interval[name] = interval
        self._probe_at[name] = now + interval
        return self._send_probe(name, now)

    def note_lost_probe(self, token: str, now: float) -> None:
        """Repeat a probe of a quarantined instance that was not answered.

        It tells nothing of the instance, so the interval does not grow.

        Parameters
        ----------
        token : str
            Token of the call.
        now : float
            Time in seconds.
        """
        name = token.split("/")[2]
        interval = self._probe_interval.get(name)
        if name in self._quarantined and interval is not None:
            self._probe_interval[name] = interval / 2
            self._probe_at[name] = now + SUSPECT_PROBE_INTERVAL_SECONDS

    def _is_serving(self, name: str, now: float) -> bool:
        record = self._pools.find(name)
        serving = record is not None and record.is_available
        return serving and not self._heartbeats.is_unresponsive(name, now)

    def _send_probe(self, name: str, now: float) -> list[Effect]:
        self._probes += 1
        token = f"jobs/probe/{name}/{now:.3f}/{self._probes}"
        return self._calls.call(token, ProbeInstance(name), now)

    def _forget(self, name: str) -> None:
        self._quarantined.discard(name)
        self._probe_at.pop(name, None)
        self._probe_interval.pop(name, None)

    def handle_probe_report(
        self, report: msgspec.Struct | None, now: float
    ) -> list[Effect]:
        """Handle the result of a health probe.

        Parameters
        ----------
        report : msgspec.Struct or None
            The platform's report, or None.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            Proposal to release a quarantined instance that is healthy.
        """
        if not isinstance(report, InstanceHealth):
            return []
        name = report.instance
        if name not in self._quarantined:
            if not report.healthy and self._is_serving(name, now):
                self._failures.record_failed_probe(name)
            return []
        if not report.healthy:
            return []
        self._failures.clear(name)
        return self._proposals.propose(f"release/{name}", ReleaseInstance(name))
