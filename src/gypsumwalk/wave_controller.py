"""Controller of maintenance waves, and operator calls on waves."""

from collections.abc import Sequence

import msgspec

from gypsumwalk._platform_calls import PendingCalls
from gypsumwalk._proposal_answers import answer_outcome
from gypsumwalk._proposals import PendingProposals
from gypsumwalk.drain_order import DrainOrder
from gypsumwalk.effects import Answer, Effect, Propose, Record, Respond
from gypsumwalk.events import Event
from gypsumwalk.heartbeats import HeartbeatTable
from gypsumwalk.inputs import (
    CallInput,
    Committed,
    Input,
    PlatformOutcome,
    ProposalOutcome,
)
from gypsumwalk.instances import InstanceRecord, InstanceState
from gypsumwalk.operator_calls import (
    WAVE_ENDPOINTS,
    AbortWaveCall,
    DescribeWave,
    ExplainWave,
    Explanation,
    PauseWaveCall,
    StartWaveCall,
)
from gypsumwalk.operator_checks import refuse_non_operator
from gypsumwalk.platform import (
    ActionRefused,
    InstanceHealth,
    ProbeInstance,
    RebootInstance,
)
from gypsumwalk.pool_commands import CancelDrain, LoseInstance
from gypsumwalk.pools import PoolSection
from gypsumwalk.problems import Outcome, ProblemType, refuse
from gypsumwalk.state import Accepted
from gypsumwalk.views import FolderView, KeyView, LeadershipView
from gypsumwalk.wave_estimates import estimate_wave
from gypsumwalk.wave_records import (
    AbortWave,
    AcknowledgeReboot,
    ConfirmBoot,
    GrantReboot,
    GrantWaveDrain,
    ItemState,
    PauseWave,
    ReturnWaveInstance,
    StartWave,
    WaveRecord,
    WaveState,
)
from gypsumwalk.waves import WAVE_PURPOSE, WaveSection, is_window_open

__all__ = ["ENDPOINTS", "WaveController"]

ENDPOINTS = WAVE_ENDPOINTS
PERIOD_SECONDS = 1.0
"""Interval between two reconciliation passes."""
SCAN_INTERVAL_SECONDS = 10.0
"""Interval between two passes over all instances of a wave."""
REBOOT_TIMEOUT_SECONDS = 600.0
"""Time after which an unfinished reboot counts as a loss."""
ENDED_STATES = (ItemState.DONE, ItemState.SKIPPED)
"""States of instances that a wave does not wait for any more."""

WAVE_CALLS = (
    StartWaveCall,
    PauseWaveCall,
    AbortWaveCall,
    DescribeWave,
    ExplainWave,
)


class WaveController:
    """Drives the waves on the leader: drains, reboots and boot checks.

    Parameters
    ----------
    waves : WaveSection
        The waves.
    pools : PoolSection
        Instances and their pools.
    heartbeats : HeartbeatTable
        Last heartbeat of each instance.
    keys : KeyView
        Keys of operators.
    folder : FolderView
        The configuration.
    leadership : LeadershipView
        Current leadership.
    """

    name = "waves"
    accepts = (*WAVE_CALLS, GrantWaveDrain, GrantReboot, StartWave, PauseWave)

    def __init__(
        self,
        *,
        waves: WaveSection,
        pools: PoolSection,
        heartbeats: HeartbeatTable,
        keys: KeyView,
        folder: FolderView,
        leadership: LeadershipView,
    ) -> None:
        self.wakeup = 0.0
        self._waves = waves
        self._pools = pools
        self._heartbeats = heartbeats
        self._keys = keys
        self._folder = folder
        self._leadership = leadership
        self._proposals = PendingProposals(self.name)
        self._calls = PendingCalls()
        self._call_ids: dict[str, int] = {}
        self._token_count = 0
        self._is_leading = False
        self._rebooting_since: dict[str, float] = {}
        self._scan_at: dict[str, float] = {}
        self._drain_orders: dict[str, tuple[int, DrainOrder]] = {}

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
            Answers, events and proposals.
        """
        match item:
            case CallInput():
                return self._handle_call(item, now)
            case ProposalOutcome(token=token) if token in self._call_ids:
                return [Respond(self._call_ids.pop(token), answer_outcome(item))]
            case ProposalOutcome():
                self._proposals.settle(item)
            case PlatformOutcome():
                return self._handle_platform_outcome(item, now)
            case Committed(result=Accepted()):
                self.wakeup = now
                return _make_events(item.command)
        return []

    def advance(self, now: float) -> Sequence[Effect]:
        """Propose the transitions that are due.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        Sequence[Effect]
            Proposals and platform calls.
        """
        self.wakeup = now + PERIOD_SECONDS
        if not self._leadership.holds_lease(now):
            self._is_leading = False
            return []
        if not self._is_leading:
            self._is_leading = True
            self._calls.reset()
            self._rebooting_since.clear()
            self._scan_at.clear()
            self._drain_orders.clear()
        effects: list[Effect] = []
        for wave in self._waves.list_waves():
            effects += self._reconcile_wave(wave, now)
        return effects

    # Transitions of one wave.

    def _reconcile_wave(self, wave: WaveRecord, now: float) -> list[Effect]:
        effects: list[Effect] = []
        if wave.state is WaveState.RUNNING:
            correlation = self._waves.explain_correlated_losses(wave, now)
            if correlation:
                command = PauseWave(wave.name, wave.run, correlation)
                return self._proposals.propose(f"pause/{wave.name}", command)
            effects += self._grant_drains(wave, now)
        for name in self._select_instances(wave, now):
            record = self._pools.find(name)
            if record is not None:
                state = wave.items[name].state
                effects += self._reconcile_item(wave, record, state, now)
        return effects

    def _select_instances(self, wave: WaveRecord, now: float) -> list[str]:
        """Return all unfinished instances once per scan, else those out of service.

        Instances with an open reboot are unfinished, even if the wave has skipped them.
        """
        if now < self._scan_at.get(wave.name, now):
            return list(wave.away)
        self._scan_at[wave.name] = now + SCAN_INTERVAL_SECONDS
        self._drain_orders.pop(wave.name, None)
        return [
            name
            for name, item in wave.items.items()
            if item.state not in ENDED_STATES or self._has_open_reboot(name)
        ]

    def _has_open_reboot(self, name: str) -> bool:
        """Tell whether an instance can't return before its reboot is answered."""
        record = self._pools.find(name)
        return record is not None and record.reboot_index > 0

    def _find_drain_order(self, wave: WaveRecord) -> DrainOrder:
        cached = self._drain_orders.get(wave.name)
        if cached is not None and cached[0] == wave.run:
            return cached[1]
        order = DrainOrder(wave, self._pools)
        self._drain_orders[wave.name] = (wave.run, order)
        return order

    def _grant_drains(self, wave: WaveRecord, now: float) -> list[Effect]:
        table = self._folder.folder.waves.get(wave.name)
        if table is None or not is_window_open(table, now):
            return []
        headroom = table.concurrency - len(wave.away)
        effects: list[Effect] = []
        if headroom <= 0:
            return effects
        granted: dict[str, int] = {}
        for name in self._find_drain_order(wave).list_candidates(wave):
            record = self._pools.find(name)
            if record is None or headroom <= 0:
                break
            in_pool = granted.get(record.pool, 0)
            unresponsive = self._list_unresponsive(record.pool, now)
            unavailable_count = self._pools.count_unavailable(record.pool, unresponsive)
            budget = self._pools.find_budget(record.pool)
            if name in unresponsive or unavailable_count + in_pool + 1 > budget:
                continue
            granted[record.pool] = in_pool + 1
            headroom -= 1
            command = GrantWaveDrain(wave.name, wave.run, name, unresponsive)
            effects += self._proposals.propose(name, command)
        return effects

    def _list_unresponsive(self, pool: str, now: float) -> list[str]:
        return self._heartbeats.list_unresponsive(self._pools.list_members(pool), now)

    def _reconcile_item(
        self, wave: WaveRecord, record: InstanceRecord, state: ItemState, now: float
    ) -> list[Effect]:
        name = record.name
        effects: list[Effect] = []
        if record.reboot_index:
            effects += self._request_reboot(record, now)
        if state in ENDED_STATES:
            return effects
        if state is ItemState.PENDING:
            if self._waves.find_skip_reason(wave.name, record, now):
                command = ReturnWaveInstance(wave.name, name)
                effects += self._proposals.propose(name, command)
            return effects
        if record.state is not InstanceState.REBOOTING:
            self._rebooting_since.pop(name, None)
        match record.state:
            case InstanceState.DRAINING | InstanceState.DRAINED:
                effects += self._reconcile_draining(wave, record, now)
            case InstanceState.REBOOTING:
                effects += self._monitor_reboot(wave, record, now)
            case InstanceState.ACTIVE | InstanceState.LOST | InstanceState.RETIRED:
                command = ReturnWaveInstance(wave.name, name)
                effects += self._proposals.propose(name, command)
        return effects

    def _reconcile_draining(
        self, wave: WaveRecord, record: InstanceRecord, now: float
    ) -> list[Effect]:
        name = record.name
        if record.purpose != WAVE_PURPOSE + wave.name:
            return []
        if wave.state is not WaveState.RUNNING:
            reason = f"wave {wave.name} is {wave.state.value}"
            return self._proposals.propose(name, CancelDrain(name, reason))
        if record.state is InstanceState.DRAINING:
            return []
        boots = self._heartbeats.find_boots(name)
        unresponsive = self._list_unresponsive(record.pool, now)
        unavailable_count = self._pools.count_unavailable(record.pool, unresponsive)
        if unavailable_count > self._pools.find_budget(record.pool):
            return []
        command = GrantReboot(wave.name, wave.run, name, boots, unresponsive)
        return self._proposals.propose(name, command)

    def _request_reboot(self, record: InstanceRecord, now: float) -> list[Effect]:
        token = f"{self.name}/reboot/{record.name}/{record.reboot_index}"
        return self._calls.call(token, RebootInstance(record.name), now)

    def _monitor_reboot(
        self, wave: WaveRecord, record: InstanceRecord, now: float
    ) -> list[Effect]:
        name = record.name
        since = self._rebooting_since.setdefault(name, now)
        self._heartbeats.restart_timeout(name, now)
        if now - since > REBOOT_TIMEOUT_SECONDS:
            command = LoseInstance(name, "the reboot did not return")
            return self._proposals.propose(name, command)
        if record.reboot_index:
            return []
        self._token_count += 1
        token = f"{self.name}/probe/{wave.name}/{name}"
        return self._calls.call(
            f"{token}/{self._token_count}", ProbeInstance(name), now
        )

    # Platform outcomes.

    def _handle_platform_outcome(
        self, outcome: PlatformOutcome, now: float
    ) -> list[Effect]:
        answered = self._calls.settle(outcome, now)
        if not answered or not self._leadership.holds_lease(now):
            return []
        _, kind, *rest = outcome.token.split("/")
        if kind == "reboot":
            return self._acknowledge_reboot(rest[0], int(rest[1]), outcome.report)
        return self._confirm_boot(rest[0], outcome.report)

    def _acknowledge_reboot(
        self, instance: str, index: int, report: msgspec.Struct | None
    ) -> list[Effect]:
        record = self._pools.find(instance)
        if record is None or record.reboot_index != index:
            return []
        refused = report.reason if isinstance(report, ActionRefused) else ""
        command = AcknowledgeReboot(instance, index, refused)
        return self._proposals.propose(f"acknowledge/{instance}", command)

    def _confirm_boot(self, wave: str, report: msgspec.Struct | None) -> list[Effect]:
        if not isinstance(report, InstanceHealth) or not report.healthy:
            return []
        record = self._pools.find(report.instance)
        if record is None or report.boots <= record.boots:
            return []
        command = ConfirmBoot(wave, report.instance, report.boots)
        return self._proposals.propose(report.instance, command)

    # Operator calls.

    def _handle_call(self, call: CallInput, now: float) -> list[Effect]:
        if refusal := refuse_non_operator(self._keys, call.credential, now):
            return [Respond(call.call_id, refusal)]
        match call.body:
            case StartWaveCall(name=name, run=run):
                return self._propose_for(call, StartWave(name, run))
            case PauseWaveCall(name=name, run=run):
                reason = "an operator paused it"
                return self._propose_for(call, PauseWave(name, run, reason))
            case AbortWaveCall(name=name, run=run):
                return self._propose_for(call, AbortWave(name, run))
            case DescribeWave(name=name):
                return [Respond(call.call_id, self._describe(name, now))]
            case ExplainWave(name=name):
                return [Respond(call.call_id, self._explain(name))]
        return []

    def _propose_for(self, call: CallInput, command: msgspec.Struct) -> list[Effect]:
        self._token_count += 1
        token = f"{self.name}/call/{self._token_count}"
        self._call_ids[token] = call.call_id
        return [Propose(token, command)]

    def _describe(self, name: str, now: float) -> Answer:
        table = self._folder.folder.waves.get(name)
        wave = self._waves.find(name)
        if table is None and wave is None:
            return _refuse_unknown(name)
        return Answer(200, estimate_wave(name, wave, table, self._pools, now))

    def _explain(self, name: str) -> Answer:
        wave = self._waves.find(name)
        if wave is None:
            return _refuse_unknown(name)
        return Answer(200, Explanation(name, wave.state.value, list(wave.reasons)))


def _refuse_unknown(name: str) -> Answer:
    detail = f"wave {name} is not known"
    return refuse(ProblemType.NOT_FOUND, Outcome.NOT_RUN, detail)


def _make_events(command: msgspec.Struct) -> list[Effect]:
    match command:
        case GrantWaveDrain(instance=instance, wave=wave):
            return [Record(Event.INSTANCE_DRAINING, instance, {"wave": wave})]
        case GrantReboot(instance=instance, wave=wave):
            return [Record(Event.INSTANCE_REBOOTING, instance, {"wave": wave})]
        case StartWave(wave=wave, run=run):
            return [Record(Event.WAVE_STARTED, wave, {"run": run})]
        case PauseWave(wave=wave, reason=reason):
            return [Record(Event.WAVE_PAUSED, wave, {"reason": reason})]
    return []
