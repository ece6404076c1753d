"""Quarantine of workers that fail what they start, and the probes that end it."""

import msgspec

from gypsumwalk._calls import PendingCalls
from gypsumwalk._proposals import PendingProposals
from gypsumwalk.effects import Effect
from gypsumwalk.heartbeats import HeartbeatTable
from gypsumwalk.instances import InstanceRecord, InstanceState
from gypsumwalk.platform import InstanceHealth, ProbeInstance
from gypsumwalk.pool_commands import QuarantineInstance, ReleaseInstance
from gypsumwalk.pools import PoolSection
from gypsumwalk.suspicion import SuspicionTable

__all__ = ["QuarantineKeeper"]

FIRST_PROBE_SECONDS = 30.0
DOUBT_PROBE_SECONDS = 10.0
MAX_PROBE_SECONDS = 600.0


class QuarantineKeeper:
    """Proposes quarantines and releases while this daemon leads.

    Parameters
    ----------
    pools : PoolSection
        Instances and their pools.
    heartbeats : HeartbeatTable
        When each instance was last heard.
    suspicion : SuspicionTable
        Evidence against workers.
    proposals : PendingProposals
        Proposals of the part that owns the keeper.
    calls : PendingCalls
        Calls of the part that owns the keeper.
    """

    def __init__(
        self,
        pools: PoolSection,
        heartbeats: HeartbeatTable,
        suspicion: SuspicionTable,
        proposals: PendingProposals,
        calls: PendingCalls,
    ) -> None:
        self._pools = pools
        self._heartbeats = heartbeats
        self._suspicion = suspicion
        self._proposals = proposals
        self._calls = calls
        self._quarantined: set[str] = set()
        self._probe_at: dict[str, float] = {}
        self._pause: dict[str, float] = {}
        self._probes = 0

    def reset(self) -> None:
        """Forget what was only known here, and find the quarantined anew."""
        self._probe_at.clear()
        self._pause.clear()
        records = self._pools.list_by_state(InstanceState.QUARANTINED)
        self._quarantined = {record.name for record in records}

    def note(self, command: msgspec.Struct) -> None:
        """Take in a committed command."""
        if isinstance(command, QuarantineInstance):
            self._quarantined.add(command.instance)

    def advance(self, now: float) -> list[Effect]:
        """Propose quarantines, and probe the instances that are in it.

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
        for name in self._suspicion.list_suspects():
            record = self._pools.find(name)
            if record is not None and record.is_available:
                effects += self._quarantine(record, now)
        for name in sorted(self._quarantined):
            effects += self._probe(name, now)
        for name in self._suspicion.list_doubted():
            effects += self._probe_doubted(name, now)
        return effects

    def _probe_doubted(self, name: str, now: float) -> list[Effect]:
        if now < self._probe_at.get(name, now) or not self._serves(name, now):
            return []
        self._probe_at[name] = now + DOUBT_PROBE_SECONDS
        return self._call(name, now)

    def _quarantine(self, record: InstanceRecord, now: float) -> list[Effect]:
        members = self._pools.list_members(record.pool)
        silent = self._heartbeats.list_unresponsive(members, now)
        lost = self._pools.count_unavailable(record.pool, silent)
        if lost + 1 > self._pools.find_budget(record.pool):
            return []
        reason = "several jobs in a row failed on it that run elsewhere"
        command = QuarantineInstance(record.name, reason, silent)
        return self._proposals.propose(f"quarantine/{record.name}", command)

    def _probe(self, name: str, now: float) -> list[Effect]:
        record = self._pools.find(name)
        if record is None or record.state is not InstanceState.QUARANTINED:
            self._forget(name)
            return []
        due = self._probe_at.setdefault(name, now + FIRST_PROBE_SECONDS)
        if now < due:
            return []
        pause = min(2 * self._pause.get(name, FIRST_PROBE_SECONDS), MAX_PROBE_SECONDS)
        self._pause[name] = pause
        self._probe_at[name] = now + pause
        return self._call(name, now)

    def _serves(self, name: str, now: float) -> bool:
        record = self._pools.find(name)
        serving = record is not None and record.is_available
        return serving and not self._heartbeats.is_unresponsive(name, now)

    def _call(self, name: str, now: float) -> list[Effect]:
        self._probes += 1
        token = f"jobs/probe/{name}/{now:.3f}/{self._probes}"
        return self._calls.call(token, ProbeInstance(name), now)

    def _forget(self, name: str) -> None:
        self._quarantined.discard(name)
        self._probe_at.pop(name, None)
        self._pause.pop(name, None)

    def take_report(self, report: msgspec.Struct | None, now: float) -> list[Effect]:
        """Take in what a probe found.

        Parameters
        ----------
        report : msgspec.Struct or None
            The platform's report.
        now : float
            Time in seconds.

        Returns
        -------
        list of Effect
            A proposal to release a healthy instance.
        """
        if not isinstance(report, InstanceHealth):
            return []
        name = report.instance
        if name not in self._quarantined:
            if not report.healthy and self._serves(name, now):
                self._suspicion.condemn(name)
            return []
        if not report.healthy:
            return []
        self._suspicion.clear(name)
        return self._proposals.propose(f"release/{name}", ReleaseInstance(name))
